//! Work that waits and work that was done, by urgency, and the waits that follow from them.

use std::{collections::BTreeMap, time::Duration};

use super::{
    service_times::seconds,
    urgency::{Level, Stream},
};
use crate::{clock::Instant, priority::CLASSES};

/// Least part of the capacity that is expected for late requests of the highest priority.
const MIN_LEFT: f64 = 1.0 / 64.0;
/// Time constant with which past slot time decays. Work of a burst that lasts for a fraction of it hardly counts as lasting.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Waiting work of one stream.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    cost_s: f64,
    count: usize,
}

/// Waiting work by stream, in seconds of slot time.
#[derive(Debug, Default)]
pub(super) struct Backlog(BTreeMap<Stream, Sum>);

impl Backlog {
    pub(super) fn add(&mut self, stream: Stream, cost_s: f64) {
        let sum = self.0.entry(stream).or_default();
        sum.cost_s += cost_s;
        sum.count += 1;
    }

    pub(super) fn remove(&mut self, stream: Stream, cost_s: f64) {
        let Some(sum) = self.0.get_mut(&stream) else { return };
        sum.cost_s = (sum.cost_s - cost_s).max(0.0);
        sum.count -= 1;
        if sum.count == 0 {
            self.0.remove(&stream);
        }
    }

    /// Work that goes before a new request of `stream`, as far as it is certain.
    pub(super) fn ahead_of(&self, stream: Stream) -> f64 {
        self.0.range(..=stream).map(|(_, sum)| sum.cost_s).sum()
    }

    /// Work of all levels up to `level`.
    pub(super) fn up_to(&self, level: Level) -> f64 {
        self.ahead_of(Stream { level, target: Duration::MAX })
    }

    /// Work up to `level` that does not have its priority.
    fn before_priority(&self, level: Level) -> f64 {
        let last = Stream { level, target: Duration::MAX };
        let before =
            self.0.range(..=last).filter(|(stream, _)| stream.level.priority != level.priority);
        before.map(|(_, sum)| sum.cost_s).sum()
    }

    /// Number of priorities with waiting requests, without the highest one.
    pub(super) fn lower_priorities(&self) -> usize {
        let mut waiting = [false; CLASSES];
        self.0.keys().for_each(|stream| waiting[stream.level.priority] = true);
        waiting[1..].iter().filter(|waiting| **waiting).count()
    }

    /// Number of requests of a class of priorities, and their work.
    pub(super) fn of_priority(&self, priority: usize) -> (usize, f64) {
        let streams = self.0.iter().filter(|(stream, _)| stream.level.priority == priority);
        streams.fold((0, 0.0), |(count, cost), (_, sum)| (count + sum.count, cost + sum.cost_s))
    }

    /// Work of all priorities up to the given class, late or not.
    pub(super) fn up_to_priority(&self, priority: usize) -> f64 {
        let streams = self.0.iter().filter(|(stream, _)| stream.level.priority <= priority);
        streams.map(|(_, sum)| sum.cost_s).sum()
    }

    /// Level of the least urgent request.
    pub(super) fn last_level(&self) -> Option<Level> {
        self.0.last_key_value().map(|(stream, _)| stream.level)
    }
}

/// Slot time that was used lately, by level, in seconds per second.
#[derive(Debug, Default)]
pub(super) struct Usage {
    rates: [f64; Level::COUNT],
    updated: Instant,
}

impl Usage {
    pub(super) fn record(&mut self, level: Level, used_s: f64, now: Instant) {
        let decay = self.decay(now);
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        self.rates[level.index()] += used_s / USAGE_TIME_CONSTANT.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Slot time per second that more urgent levels used.
    fn more_urgent(&self, level: Level, now: Instant) -> f64 {
        self.rates[..level.index()].iter().sum::<f64>() * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        (-(now.since(self.updated).as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64())).exp()
    }
}

/// Capacity of the queue, or of one workspace's share of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity<'a> {
    /// Number of slots, or the part of a share.
    pub(super) slots: f64,
    /// Fraction of the slots that each priority but the highest gets while it waits.
    pub(super) guaranteed: f64,
    pub(super) backlog: &'a Backlog,
    pub(super) usage: &'a Usage,
}

impl Capacity<'_> {
    /// Slots that more urgent levels leave for a level.
    pub(super) fn slots_for(&self, level: Level, now: Instant) -> f64 {
        let least = if level.priority > 0 { self.guaranteed } else { MIN_LEFT };
        let slots = self.slots.max(f64::MIN_POSITIVE);
        slots * (1.0 - self.usage.more_urgent(level, now) / slots).max(least)
    }

    /// Expected wait of one more request that takes `cost_s`.
    pub(super) fn expected_wait(&self, stream: Stream, cost_s: f64, now: Instant) -> Duration {
        let ahead_s = self.backlog.ahead_of(stream);
        let level = stream.level;
        let own_s = ahead_s - self.backlog.before_priority(level);
        self.wait_behind(level, ahead_s + cost_s, own_s + cost_s, cost_s, now)
    }

    /// Expected wait of the last request of a level, which takes `cost_s` and is part of the backlog.
    pub(super) fn last_wait(&self, level: Level, cost_s: f64, now: Instant) -> Duration {
        let ahead_s = self.backlog.up_to(level);
        let own_s = ahead_s - self.backlog.before_priority(level);
        self.wait_behind(level, ahead_s, own_s, cost_s, now)
    }

    /// Wait of a request that ends when the work `all_s` of its own and more urgent levels is done, or with the guaranteed
    /// part when the work `own_s` of its own priority is done.
    fn wait_behind(
        &self,
        level: Level,
        all_s: f64,
        own_s: f64,
        cost_s: f64,
        now: Instant,
    ) -> Duration {
        let in_turn_s = all_s / self.slots_for(level, now);
        let guaranteed_s = if level.priority > 0 {
            own_s / (self.slots * self.guaranteed).max(f64::MIN_POSITIVE)
        } else {
            f64::INFINITY
        };
        seconds(in_turn_s.min(guaranteed_s) - cost_s)
    }
}
