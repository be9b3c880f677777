//! Slow start of an upstream that has become available again.

use std::time::Duration;

use crate::clock::Instant;

/// Raises the part of the work that an upstream receives linearly from a tenth to all of it.
///
/// An upstream that was unavailable has cold caches; full load at once would make it time out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStart {
    started: Instant,
    ramp: Duration,
}

impl SlowStart {
    const FIRST_FRACTION: f64 = 0.1;

    /// Creates the slow start of an upstream that became available at `started` and receives all work after `ramp`.
    pub const fn new(started: Instant, ramp: Duration) -> Self {
        Self { started, ramp }
    }

    /// Fraction of the work that the upstream receives, from 0.1 to 1.
    pub fn fraction(&self, now: Instant) -> f64 {
        let passed = now.since(self.started);
        if passed >= self.ramp {
            return 1.0;
        }
        let progress = passed.as_secs_f64() / self.ramp.as_secs_f64();
        Self::FIRST_FRACTION + (1.0 - Self::FIRST_FRACTION) * progress
    }

    /// Number of the `full` slots that may be used, at least one unless `full` is 0.
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
