//! Exponential backoff between attempts.

use std::time::Duration;

/// Delays that double up to a maximum, with jitter over the upper half of each delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates delays that begin with `first` and double up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        let first = first.min(max);
        Self { first, max, next: first }
    }

    /// Returns the next delay, from half of its length for a `random` of 0 to its full length for 1.
    ///
    /// The jitter keeps callers that failed at the same time from retrying at the same time.
    pub fn next(&mut self, random: f64) -> Duration {
        let delay = self.next;
        self.next = delay.saturating_mul(2).min(self.max);
        delay.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
    }

    /// Returns to the first delay, after a success.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }
}
