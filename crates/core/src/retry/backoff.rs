//! Pauses between attempts.

use std::time::Duration;

/// Pauses that double up to a maximum, each spread over its upper half.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates pauses that begin at `first` and end at `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        let first = first.min(max);
        Self { first, max, next: first }
    }

    /// The next pause: between half and all of its length, by `random` from 0 to 1.
    ///
    /// The spread keeps callers that failed together from coming back together.
    pub fn next(&mut self, random: f64) -> Duration {
        let pause = self.next;
        self.next = pause.saturating_mul(2).min(self.max);
        pause.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
    }

    /// Begins anew after a success.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }
}
