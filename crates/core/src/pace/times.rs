//! Times of the answers of one member, by kind of work.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::Instant;

/// Time over which the shortest time of an answer is kept; between one and two of these windows.
const BEST_WINDOW: Duration = Duration::from_secs(30);
/// Age up to which an answer shows the present state of a member.
const RECENT: Duration = Duration::from_secs(5);
/// Weight of a new answer in the usual time.
const WEIGHT: f64 = 0.2;
/// Kinds of work that are told apart; a group has a few routes, each with a few kinds.
const MAX_KINDS: usize = 64;
/// Shortest time that is told apart from zero, in seconds. Shorter ones are those of the network and the schedulers.
const LEAST_S: f64 = 0.002;

#[derive(Debug, Clone, Copy)]
struct KindTimes {
    /// Shortest times in this and in the previous window, in seconds.
    best_s: [f64; 2],
    window_began: Instant,
    usual_s: f64,
    at: Instant,
}

/// Times of the answers of one member.
#[derive(Debug, Default)]
pub(super) struct Times {
    kinds: BTreeMap<u64, KindTimes>,
    /// Average factor by which answers were slower than the best of their kind.
    slowdown: Option<(f64, Instant)>,
}

impl Times {
    /// Records an answer that took `service_s`; returns the best time of its kind before it.
    pub(super) fn record(&mut self, kind: u64, service_s: f64, now: Instant) -> Option<f64> {
        let service_s = service_s.max(LEAST_S);
        let best = self.best_s(kind);
        if let Some(best) = best {
            let factor = (service_s / best).max(1.0);
            let average = self.slowdown.map_or(factor, |(average, at)| {
                if is_recent(at, now) { average + (factor - average) * WEIGHT } else { factor }
            });
            self.slowdown = Some((average, now));
        }
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return None;
        }
        let first =
            KindTimes { best_s: [f64::MAX; 2], window_began: now, usual_s: service_s, at: now };
        let times = self.kinds.entry(kind).or_insert(first);
        if now.since(times.window_began) >= BEST_WINDOW {
            times.best_s = [f64::MAX, times.best_s[0]];
            times.window_began = now;
        }
        times.best_s[0] = times.best_s[0].min(service_s);
        times.usual_s = if is_recent(times.at, now) {
            times.usual_s + (service_s - times.usual_s) * WEIGHT
        } else {
            service_s
        };
        times.at = now;
        best
    }

    fn best_s(&self, kind: u64) -> Option<f64> {
        self.kinds.get(&kind).map(|times| times.best_s[0].min(times.best_s[1]))
    }

    /// Usual time of a kind of work, in seconds, if there were answers lately.
    pub(super) fn usual_s(&self, kind: u64, now: Instant) -> Option<f64> {
        self.kinds.get(&kind).filter(|times| is_recent(times.at, now)).map(|times| times.usual_s)
    }

    /// Factor by which answers were slower than the best of their kind lately.
    pub(super) fn slowdown(&self, now: Instant) -> Option<f64> {
        self.slowdown.filter(|(_, at)| is_recent(*at, now)).map(|(factor, _)| factor)
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.since(at) < RECENT
}
