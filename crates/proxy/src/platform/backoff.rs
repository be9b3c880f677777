//! Random delays between failed attempts, so that instances do not call the platform at the same moment.

use std::time::Duration;

/// Largest delay after the first failure; it doubles with each further failure.
const BASE_DELAY: Duration = Duration::from_millis(100);

/// Largest delay after any number of failures; with 620 instances this limits them to about 150 calls per second.
const MAX_DELAY: Duration = Duration::from_secs(8);

/// Exponential backoff with full jitter: each delay is random between zero and a limit that doubles.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let max = BASE_DELAY.saturating_mul(1 << self.failures.min(10)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        random_up_to(max)
    }

    /// Records a success, so that the next failure starts with the shortest delays again.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}

/// Returns a random duration from zero to `max`.
pub fn random_up_to(max: Duration) -> Duration {
    let random = getrandom::u32().unwrap_or(u32::MAX / 2);
    max.mul_f64(f64::from(random) / f64::from(u32::MAX))
}
