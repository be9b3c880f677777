//! Pace of one member.

use std::{collections::BTreeMap, time::Duration};

use super::{Change, Outcome, Peers, times::Times};
use crate::clock::Instant;

/// Answers of a round in steady service, and fewest of one that shows that a member is slow. Of a member that fails 4% of
/// its requests at random, half of eight fail once in 6,000 rounds, which is once in some minutes, half of 16 once in ten
/// million.
const MIN_ROUND: u32 = 16;
/// Factor over the best time of the member, and over the usual time of its peers, from which an answer is slow. A member
/// with two holders that fills its slots and a short queue stays below.
const SLOW_FACTOR: f64 = 4.0;
/// Time in seconds that an answer may take beyond that. An instance with 0.12 cores is held back by its scheduler for as
/// long.
const SLOW_MARGIN_S: f64 = 0.1;
/// Longest time for which answers that are slow in relation to the peers keep the limit from growing. A member may be
/// slower than its peers in steady service as well.
const LONGEST_HOLD: Duration = Duration::from_secs(2);
/// Time without an answer after which a statement leaves its place to another one.
const PLACE_TIME: Duration = Duration::from_millis(500);
/// Time without an answer here after which the report of another holder counts.
const OWN_ANSWER_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The member is new at this holder, or another holder has found it overloaded.
    Starting,
    /// The limit has no effect.
    Steady,
    /// This holder has found the member overloaded.
    Recovering,
}

/// Answers since the last change of the limit.
#[derive(Debug, Clone, Copy, Default)]
struct Round {
    answered: u32,
    bad: u32,
    /// Answers that were slow in relation to the member's own best time and to the peers.
    slow: u32,
    /// Answers that were slow in relation to the peers.
    slower_than_peers: u32,
    /// Most statements that ran at once.
    peak: u32,
}

#[derive(Debug)]
pub(super) struct MemberPace {
    most: u32,
    limit: u32,
    phase: Phase,
    /// Limit up to which each round doubles it.
    threshold: u32,
    changed_at: Instant,
    /// What was sent before does not count in the round.
    round_began: Instant,
    round: Round,
    running: BTreeMap<u64, Instant>,
    times: Times,
    answered_at: Option<Instant>,
}

impl MemberPace {
    pub(super) fn new(most: u32, now: Instant) -> Self {
        let mut pace = Self {
            most: most.max(1),
            limit: 1,
            phase: Phase::Starting,
            threshold: u32::MAX,
            changed_at: now,
            round_began: now,
            round: Round::default(),
            running: BTreeMap::new(),
            times: Times::default(),
            answered_at: None,
        };
        pace.set_most(most);
        pace
    }

    pub(super) const fn times(&self) -> &Times {
        &self.times
    }

    pub(super) fn set_most(&mut self, most: u32) {
        self.most = most.max(1);
        if self.phase != Phase::Steady && self.limit >= self.most {
            self.phase = Phase::Steady;
        }
    }

    pub(super) fn limit(&self, now: Instant) -> Option<u32> {
        if self.phase == Phase::Steady {
            return None;
        }
        let stale = self.running.values().filter(|began| now.since(**began) >= PLACE_TIME).count();
        let stale = u32::try_from(stale).unwrap_or(u32::MAX);
        let limit = self.limit.saturating_add(stale);
        (limit < self.most).then_some(limit)
    }

    pub(super) fn begin(&mut self, number: u64, now: Instant) {
        self.running.insert(number, now);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.round.peak = self.round.peak.max(running);
    }

    pub(super) fn end(&mut self, number: u64) {
        self.running.remove(&number);
    }

    pub(super) fn record(
        &mut self,
        outcome: Outcome,
        peers: Peers,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        let (is_slow, is_slower_than_peers) = self.judge(outcome, peers, now);
        if sent < self.round_began {
            return None;
        }
        match outcome {
            Outcome::Answered { .. } => self.round.answered += 1,
            Outcome::Rejected | Outcome::Lost => self.round.bad += 1,
        }
        self.round.slow += u32::from(is_slow);
        self.round.slower_than_peers += u32::from(is_slower_than_peers);
        let Round { answered, bad, slow, .. } = self.round;
        let is_steady = self.phase == Phase::Steady;
        let is_bad =
            if is_steady { answered + bad >= MIN_ROUND && bad >= answered } else { bad > 0 };
        let is_held = now.since(self.changed_at) < LONGEST_HOLD;
        let is_slow_round = answered >= self.limit.max(MIN_ROUND) && slow == answered;
        // At one statement, slow answers have another cause than this holder.
        let may_help = is_steady || self.limit > 1 || is_held;
        if is_bad || is_slow_round && may_help {
            return self.halve(now);
        }
        let length = if is_steady { MIN_ROUND } else { self.limit };
        if answered + bad < length {
            return None;
        }
        if is_steady {
            self.begin_round(now);
            return None;
        }
        if is_held && self.round.slower_than_peers == answered {
            // A round of slow answers needs more of them to show that the member is overloaded.
            return None;
        }
        self.grow(now)
    }

    /// Whether an answer is slow for the member and its peers, and whether it is slow in relation to the peers.
    fn judge(&mut self, outcome: Outcome, peers: Peers, now: Instant) -> (bool, bool) {
        let Outcome::Answered { kind, service } = outcome else { return (false, false) };
        self.answered_at = Some(now);
        let Some(kind) = kind else { return (false, false) };
        let service_s = service.as_secs_f64();
        let best_s = self.times.record(kind, service_s, now);
        let is_slow_beside = |usual_s: f64| service_s > usual_s * SLOW_FACTOR + SLOW_MARGIN_S;
        let is_slower_than_peers = peers.usual_s.is_some_and(is_slow_beside);
        let Some(best_s) = best_s.filter(|best_s| is_slow_beside(*best_s)) else {
            return (false, is_slower_than_peers);
        };
        // Without a peer, everything may be slow.
        let is_slow = match peers {
            Peers { usual_s: Some(_), .. } => is_slower_than_peers,
            Peers { slowdown: Some(slowdown), .. } => is_slow_beside(best_s * slowdown),
            Peers { .. } => false,
        };
        (is_slow, is_slower_than_peers)
    }

    fn halve(&mut self, now: Instant) -> Option<Change> {
        if self.phase != Phase::Steady && self.limit == 1 {
            self.begin_round(now);
            return None;
        }
        let is_news = self.phase == Phase::Steady;
        let running = if self.phase == Phase::Steady { self.most } else { self.limit };
        let running = if self.round.peak > 0 { running.min(self.round.peak) } else { running };
        self.limit = (running / 2).max(1);
        // A member with a single place cannot be limited further, and a start that meets the limit of the member is none
        // of overload.
        if is_news && self.limit < self.most {
            self.phase = Phase::Recovering;
        }
        self.threshold = self.limit;
        self.changed_at = now;
        self.begin_round(now);
        (is_news && self.phase == Phase::Recovering).then_some(Change::Limited(self.limit))
    }

    fn grow(&mut self, now: Instant) -> Option<Change> {
        let doubled = self.limit.saturating_mul(2);
        self.limit = if doubled <= self.threshold { doubled } else { self.limit + 1 };
        self.changed_at = now;
        self.begin_round(now);
        if self.limit < self.most {
            return None;
        }
        let was_recovering = self.phase == Phase::Recovering;
        self.phase = Phase::Steady;
        self.threshold = u32::MAX;
        was_recovering.then_some(Change::Steady)
    }

    fn begin_round(&mut self, now: Instant) {
        self.round = Round::default();
        self.round_began = now;
    }

    pub(super) fn report(&self) -> Option<u32> {
        (self.phase == Phase::Recovering).then_some(self.limit)
    }

    pub(super) fn merge(&mut self, limit: u32, now: Instant) {
        let has_answers = self.answered_at.is_some_and(|at| now.since(at) < OWN_ANSWER_TIME);
        let own = if self.phase == Phase::Steady { self.most } else { self.limit };
        if has_answers || limit >= own {
            return;
        }
        self.limit = limit.max(1);
        self.phase = Phase::Starting;
        self.changed_at = now;
        self.begin_round(now);
    }
}
