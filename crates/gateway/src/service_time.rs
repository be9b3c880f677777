//! Average service time of statements at a member.

use std::time::Duration;

use hibiscusladder_core::clock::Instant;

/// Weight of a new sample in the average.
const WEIGHT: f64 = 0.1;
/// Time without a sample after which the expected time is halfway between the measured and the assumed one.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Service time that is assumed before the first sample, in seconds.
const ASSUMED_S: f64 = 0.012;

/// Average service time of a statement, without the round trip.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    average_s: f64,
    /// Time of the latest sample.
    measured_at: Instant,
}

impl ServiceTime {
    /// Creates an average without samples.
    pub const fn new(now: Instant) -> Self {
        Self { average_s: ASSUMED_S, measured_at: now }
    }

    /// Records a sample.
    pub fn record(&mut self, service: Duration, now: Instant) {
        self.average_s += (service.as_secs_f64() - self.average_s) * WEIGHT;
        self.measured_at = now;
    }

    /// Average of the samples.
    pub fn average(&self) -> Duration {
        Duration::try_from_secs_f64(self.average_s).unwrap_or_default()
    }

    /// Expected time of the next statement, in seconds.
    pub fn expected_s(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.measured_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(half_lives);
        self.average_s * weight + ASSUMED_S * (1.0 - weight)
    }
}
