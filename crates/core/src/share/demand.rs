//! Estimate of the requests per second that arrive at a share.

use std::time::Duration;

use crate::clock::Instant;

/// Time over which arrivals count. With 500 ms, requests within the rate were rejected more often after demand had
/// moved (docs/limits.md).
const MEMORY: Duration = Duration::from_millis(250);

/// Arrivals weighted by their age.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    rate: f64,
    updated: Instant,
    memory: Duration,
}

impl Demand {
    pub(super) const fn new(now: Instant) -> Self {
        Self::with_memory(MEMORY, now)
    }

    /// Creates an estimate that counts arrivals over `memory`.
    pub(super) const fn with_memory(memory: Duration, now: Instant) -> Self {
        Self { rate: 0.0, updated: now, memory }
    }

    pub(super) fn record(&mut self, n: f64, now: Instant) {
        self.rate = self.rate(now) + n / self.memory.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Requests per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / self.memory.as_secs_f64();
        self.rate * (-age).exp()
    }
}
