//! The slow start of an upstream that comes back.

use std::time::Duration;

use crate::clock::Instant;

/// Raises the work given to an upstream from a tenth to all of it over a time.
///
/// An upstream that was away has cold caches; full load at once would make it time out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStart {
    started: Instant,
    ramp: Duration,
}

impl SlowStart {
    const FIRST_FRACTION: f64 = 0.1;

    /// Creates the slow start of an upstream that came back at `started` and gets all work after `ramp`.
    pub const fn new(started: Instant, ramp: Duration) -> Self {
        Self { started, ramp }
    }

    /// Fraction of the work that the upstream gets.
    pub fn fraction(&self, now: Instant) -> f64 {
        let passed = now.since(self.started);
        if passed >= self.ramp {
            return 1.0;
        }
        let progress = passed.as_secs_f64() / self.ramp.as_secs_f64();
        Self::FIRST_FRACTION + (1.0 - Self::FIRST_FRACTION) * progress
    }

    /// How many of `full` slots may be used, at least one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the fraction is at most 1"
    )]
    pub fn limit(&self, full: u32, now: Instant) -> u32 {
        let limit = (f64::from(full) * self.fraction(now)) as u32;
        limit.max(1).min(full)
    }
}
