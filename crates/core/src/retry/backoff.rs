//! Exponential backoff between attempts.

use std::time::Duration;

/// Pauses that double up to a maximum, with jitter over the upper half of each pause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates pauses that begin with `first` and double up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        let first = first.min(max);
        Self { first, max, next: first }
    }

    /// Returns the next pause, from half of its length for a `random` of 0 to its full length for 1.
    ///
    /// The jitter keeps callers that failed at the same time from retrying at the same time.
    pub fn next(&mut self, random: f64) -> Duration {
        let pause = self.next;
        self.next = pause.saturating_mul(2).min(self.max);
        pause.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
    }

    /// Returns to the first pause, after a success.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }
}
