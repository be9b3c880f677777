//! Estimate of the requests per second that arrive at a share.

use std::time::Duration;

use crate::clock::Instant;

/// Time constant with which arrivals decay. With 500 ms, requests within the rate were rejected more often after demand
/// had moved (docs/limits.md).
const TIME_CONSTANT: Duration = Duration::from_millis(250);

/// Arrival rate in which each arrival decays exponentially with its age.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    rate: f64,
    updated: Instant,
    time_constant: Duration,
}

impl Demand {
    pub(super) const fn new(now: Instant) -> Self {
        Self::with_time_constant(TIME_CONSTANT, now)
    }

    /// Creates an estimate in which arrivals decay with `time_constant`.
    pub(super) const fn with_time_constant(time_constant: Duration, now: Instant) -> Self {
        Self { rate: 0.0, updated: now, time_constant }
    }

    pub(super) fn record(&mut self, n: f64, now: Instant) {
        self.rate = self.rate(now) + n / self.time_constant.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Requests per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / self.time_constant.as_secs_f64();
        self.rate * (-age).exp()
    }
}
