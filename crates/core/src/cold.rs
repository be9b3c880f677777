//! Limits the requests to a cold member, over all instances that hold connections to it.
//!
//! The load is that of a member that has just started: its caches are empty, a request takes a multiple of its usual
//! time, and the load of a warm member fills its queue until it sheds most of what arrives. The member counts as cold
//! until its entry shows otherwise, at most for the time that the configuration gives a cold start.
//!
//! The allowance is divided by [`Allotment`] in equal parts that accrue at each holder. No tokens are passed on: the
//! requests of any second stay within the allowance although messages are lost and holders restart.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, cold::{ColdLimits, ColdMember, Share}};
//!
//! let now = Instant::new(Duration::from_secs(10));
//! let limits =
//!     ColdLimits { rate: 12.0, overage: 1.5, slack: 5.0, longest: Duration::from_secs(8) };
//! let mut member = ColdMember::new(now);
//! member.set_limits(Some(limits), Some(Share { holders: 2, rank: 0 }), now);
//! assert!(member.is_cold(now), "nothing is known about it");
//! assert!(member.try_admit(true, now).is_err(), "a predecessor may have used the allowance");
//! member.record_remaining(Duration::ZERO, now);
//! assert!(member.try_admit(true, now).is_ok());
//! ```

use std::time::Duration;

use crate::{
    clock::Instant,
    share::{Allotment, AllotmentPart, Limits},
};

/// Fraction of the allowance that is not used. Requests that were sent apart may arrive within one second, when the
/// earlier ones were delayed on the way.
const ARRIVAL_MARGIN: f64 = 0.1;
/// Time after which an instance uses a larger part than before. The other holders learn of the change meanwhile, and
/// reduce theirs.
pub const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Fewest tokens that a holder's part has to store, so that a request can take one.
const LEAST_CAPACITY: f64 = 1.0;

/// Limits of the requests to a cold member from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Requests per second.
    pub rate: f64,
    /// Factor of the rate that is tolerated within one second.
    pub overage: f64,
    /// Requests that are tolerated within one second beyond that.
    pub slack: f64,
    /// Longest time for which a member is cold if its entry states none.
    pub longest: Duration,
}

impl ColdLimits {
    /// Requests that may arrive within any second.
    pub const fn allowance(&self) -> f64 {
        self.rate * self.overage + self.slack
    }

    /// What one holder may use; `None` for a holder without a part.
    ///
    /// A holder sends at most its capacity and what accrues in one second. While there are enough tokens, each holder
    /// stores one at least: where the allowance is small, less accrues, and then fewer holders have a part.
    fn part(&self, share: Share) -> Option<(Limits, AllotmentPart)> {
        let usable = self.allowance() * (1.0 - ARRIVAL_MARGIN);
        // Half of the allowance accrues at least.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let most = (usable / (2.0 * LEAST_CAPACITY)).clamp(0.0, f64::from(u32::MAX)) as usize;
        let parts = share.holders.min(most);
        if share.rank >= parts {
            return None;
        }
        let count = parts as f64;
        let rate = self.rate.min(usable - count * LEAST_CAPACITY);
        let limits = Limits { rate, capacity: (usable - rate) / count };
        Some((limits, AllotmentPart::alone(1.0 / count)))
    }
}

/// Position of an instance among the holders of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of instances that hold connections to the member.
    pub holders: usize,
    /// Number of holders that come before this instance in an order that is the same at all of them.
    pub rank: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Nothing that came after this time shows whether the member is cold.
    None { since: Instant },
    /// The member was last reported to be cold until then.
    ColdUntil(Instant),
}

/// Whether one member is cold, and what this instance may send to it.
#[derive(Debug, Clone)]
pub struct ColdMember {
    limits: Option<ColdLimits>,
    /// Share that is in force.
    share: Option<Share>,
    /// Larger share, and when it comes into force.
    next_share: Option<(Share, Instant)>,
    evidence: Evidence,
    /// `None` while the member is warm, and for an instance without a part.
    allotment: Option<Allotment>,
}

impl ColdMember {
    /// Creates the state of a member that nothing is known about.
    pub const fn new(now: Instant) -> Self {
        Self {
            limits: None,
            share: None,
            next_share: None,
            evidence: Evidence::None { since: now },
            allotment: None,
        }
    }

    /// Whether the configuration limits the requests to the member while it is cold.
    pub const fn is_limited(&self) -> bool {
        self.limits.is_some()
    }

    /// Whether the member counts as cold. Without limits, none does.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.limits.is_some_and(|limits| match self.evidence {
            Evidence::None { since } => now.since(since) < limits.longest,
            Evidence::ColdUntil(until) => now < until,
        })
    }

    /// Changes the limits, `None` for no limit, and the share of this instance, `None` while it holds no connections or
    /// does not know the other holders. A larger share comes into force after [`HANDOVER_TIME`].
    pub fn set_limits(&mut self, limits: Option<ColdLimits>, share: Option<Share>, now: Instant) {
        self.apply_next_share(now);
        self.limits = limits;
        let next = share.filter(|share| self.is_larger(*share));
        match (next, self.next_share) {
            (Some(next), Some((known, _))) if next == known => {}
            (Some(next), _) => self.next_share = Some((next, now.plus(HANDOVER_TIME))),
            (None, _) => {
                self.share = share;
                self.next_share = None;
            }
        }
        self.update(now);
    }

    /// Records what an entry of the member shows: the time for which it remains cold, zero for a warm member.
    pub fn record_remaining(&mut self, remaining: Duration, now: Instant) {
        self.evidence = Evidence::ColdUntil(now.plus(remaining));
        self.update(now);
    }

    /// Records that the member may have become cold, because it was restarted, refused connections or was evacuated.
    pub fn assume_cold(&mut self, now: Instant) {
        self.evidence = Evidence::None { since: now };
        self.update(now);
    }

    /// Whether no entry has shown lately whether the member is cold.
    pub const fn is_unknown(&self) -> bool {
        matches!(self.evidence, Evidence::None { .. })
    }

    /// Time for which the member remains cold, as far as it is known; zero for a warm one.
    pub fn remaining(&self, now: Instant) -> Duration {
        let until = match (self.evidence, self.limits) {
            (_, None) => now,
            (Evidence::None { since }, Some(limits)) => since.plus(limits.longest),
            (Evidence::ColdUntil(until), Some(_)) => until,
        };
        until.since(now)
    }

    /// Admits one request; `is_first` is false for one that was not admitted before.
    ///
    /// # Errors
    ///
    /// The time until this instance may send a request; [`Duration::MAX`] while it has no part.
    pub fn try_admit(&mut self, is_first: bool, now: Instant) -> Result<(), Duration> {
        self.apply_next_share(now);
        self.update(now);
        if !self.is_cold(now) {
            return Ok(());
        }
        let Some(allotment) = &mut self.allotment else { return Err(Duration::MAX) };
        if is_first { allotment.try_admit(now) } else { allotment.retry_admit(now) }
    }

    /// Whether `share` allows more than the one that is in force.
    fn is_larger(&self, share: Share) -> bool {
        let per_second = |share: Share| {
            let part = self.limits.and_then(|limits| limits.part(share));
            part.map_or(0.0, |(limits, part)| limits.rate * part.rate)
        };
        self.share.map_or(0.0, per_second) < per_second(share)
    }

    fn apply_next_share(&mut self, now: Instant) {
        if let Some((share, from)) = self.next_share.take_if(|(_, from)| now >= *from) {
            self.share = Some(share);
            // Its tokens accrue from then on.
            self.update(from);
        }
    }

    /// Creates, changes or removes the allotment. A new one is empty, because a predecessor may have just used the
    /// allowance.
    fn update(&mut self, now: Instant) {
        let part = match (self.limits, self.share) {
            (Some(limits), Some(share)) if self.is_cold(now) => limits.part(share),
            _ => None,
        };
        match (part, &mut self.allotment) {
            (Some((limits, part)), Some(allotment)) => allotment.set_limits(limits, part, now),
            (Some((limits, part)), none) => *none = Some(Allotment::new(limits, part, now)),
            (None, allotment) => *allotment = None,
        }
    }
}
