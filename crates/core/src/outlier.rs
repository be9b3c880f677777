//! Members that fail a part of their requests although their health is good.
//!
//! The failure is that of one member of a group: it answers some requests with errors, sheds or resets them, or is silent,
//! while its status says that it is well. Its outcomes are compared with those of the other members, and it is
//! ejected from selection for reads for a time that doubles with each repetition. While it is ejected, it gets a probe
//! from time to time. After the time it is used again, and judged by new outcomes.
//!
//! A false ejection moves its load to the others, so a member is ejected only if it fails several times as often as they do,
//! with enough outcomes at both; never more than one of three, and never the only one that can serve.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{clock::Instant, outlier::Outliers};
//!
//! let now = Instant::default();
//! let mut outliers = Outliers::default();
//! for _ in 0..40 {
//!     outliers.record(&"m-1".into(), false, now);
//!     outliers.record(&"m-2".into(), true, now);
//! }
//! assert!(outliers.is_ejected(&"m-1".into(), now));
//! assert!(!outliers.is_ejected(&"m-2".into(), now));
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, name::MemberId};

/// Time constant with which outcomes lose their weight; some seconds of outcomes decide.
const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Fewest outcomes of a member, and of the others together, that are compared.
const LEAST_OUTCOMES: f64 = 20.0;
/// Part of failed requests from which a member is ejected.
const FAILED_PART: f64 = 0.2;
/// Factor by which a member has to fail more often than the others.
const FACTOR: f64 = 4.0;
/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time without an ejection after which the next one is the first again.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time between two probes of an ejected member.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Outcomes {
    succeeded: f64,
    failed: f64,
    at: Instant,
}

impl Outcomes {
    const fn new(at: Instant) -> Self {
        Self { succeeded: 0.0, failed: 0.0, at }
    }

    fn decayed(self, now: Instant) -> Self {
        let age = now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let weight = (-age).exp();
        Self { succeeded: self.succeeded * weight, failed: self.failed * weight, at: now }
    }

    fn count(&self) -> f64 {
        self.succeeded + self.failed
    }
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Instant,
    length: Duration,
    probed_at: Instant,
}

/// Outcomes of the members of one group, and which member is ejected.
#[derive(Debug, Default)]
pub struct Outliers {
    outcomes: BTreeMap<MemberId, Outcomes>,
    /// Last ejection of each member.
    ejections: BTreeMap<MemberId, Ejection>,
}

impl Outliers {
    /// Records the outcome of a read at a member; returns the length of the ejection that begins with it.
    pub fn record(
        &mut self,
        member: &MemberId,
        is_success: bool,
        now: Instant,
    ) -> Option<Duration> {
        let outcomes = self.outcomes.entry(member.clone()).or_insert(Outcomes::new(now));
        *outcomes = outcomes.decayed(now);
        if is_success {
            outcomes.succeeded += 1.0;
            return None;
        }
        outcomes.failed += 1.0;
        self.judge(member, now)
    }

    /// Whether a member is ejected.
    pub fn is_ejected(&self, member: &MemberId, now: Instant) -> bool {
        self.ejections.get(member).is_some_and(|ejection| now < ejection.until)
    }

    /// Whether an ejected member gets a probe now, which counts as sent.
    pub fn take_probe(&mut self, member: &MemberId, now: Instant) -> bool {
        let ejection = self.ejections.get_mut(member).filter(|ejection| now < ejection.until);
        let due = ejection.filter(|ejection| now.since(ejection.probed_at) >= PROBE_INTERVAL);
        due.map(|ejection| ejection.probed_at = now).is_some()
    }

    /// Forgets a member that is gone or was restarted.
    pub fn remove(&mut self, member: &MemberId) {
        self.outcomes.remove(member);
        self.ejections.remove(member);
    }

    /// Number of ejected members.
    pub fn ejected(&self, now: Instant) -> usize {
        self.ejections.values().filter(|ejection| now < ejection.until).count()
    }

    fn judge(&mut self, member: &MemberId, now: Instant) -> Option<Duration> {
        if self.ejected(now) > 0 {
            return None;
        }
        let own = self.outcomes.get(member)?.decayed(now);
        let others = self.outcomes.iter().filter(|(other, _)| *other != member);
        let others = others.map(|(_, outcomes)| outcomes.decayed(now));
        let others = others.fold(Outcomes::new(now), |sum, outcomes| Outcomes {
            succeeded: sum.succeeded + outcomes.succeeded,
            failed: sum.failed + outcomes.failed,
            at: now,
        });
        if own.count() < LEAST_OUTCOMES || others.count() < LEAST_OUTCOMES {
            return None;
        }
        let own_part = own.failed / own.count();
        let other_part = others.failed / others.count();
        if own_part < FAILED_PART || own_part < other_part * FACTOR {
            return None;
        }
        let last = self.ejections.get(member);
        let last = last.filter(|last| now.since(last.until) < FORGET_AFTER);
        let length = last.map_or(FIRST_EJECTION, |last| (last.length * 2).min(LONGEST_EJECTION));
        let ejection = Ejection { until: now.plus(length), length, probed_at: now };
        self.ejections.insert(member.clone(), ejection);
        // It is judged by new outcomes when it is used again.
        self.outcomes.insert(member.clone(), Outcomes::new(now));
        Some(length)
    }
}
