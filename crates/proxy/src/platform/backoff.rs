//! Waits between attempts that fail, spread at random so that instances do not call at the same moment.

use std::time::Duration;

/// Shortest upper bound of a wait.
const BASE_DELAY: Duration = Duration::from_millis(100);

/// Longest upper bound of a wait; with 620 instances it leaves about 150 calls a second.
const MAX_DELAY: Duration = Duration::from_secs(8);

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the wait before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let bound = BASE_DELAY.saturating_mul(1 << self.failures.min(10)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        random_up_to(bound)
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}

/// A random duration from zero to `bound`.
pub fn random_up_to(bound: Duration) -> Duration {
    let random = getrandom::u32().unwrap_or(u32::MAX / 2);
    bound.mul_f64(f64::from(random) / f64::from(u32::MAX))
}
