//! Expected service times by kind of work.

use std::{collections::HashMap, time::Duration};

use super::urgency::WorkKind;

/// Service time that is assumed before the first sample, in seconds.
const INITIAL_MEAN_S: f64 = 0.005;
/// Weight of the newest sample in mean and deviation.
const SAMPLE_WEIGHT: f64 = 0.125;
/// Largest ratio of a sample to the mean, so that one statement that hangs does not make all others look impossible.
const MAX_GROWTH: f64 = 4.0;
/// Least bound of a sample, in seconds, so that the mean of a very short kind can grow.
const MIN_BOUND_S: f64 = 0.02;
/// Multiple of the deviation that is added to the mean for the time that a request needs.
const DEVIATIONS: f64 = 2.0;
/// Largest number of kinds; further ones share one estimate.
const MAX_KINDS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl Estimate {
    const INITIAL: Self = Self { mean_s: INITIAL_MEAN_S, deviation_s: 0.0 };

    fn record(&mut self, sample_s: f64) {
        let sample_s = bounded(sample_s, self.mean_s);
        let error = sample_s - self.mean_s;
        self.mean_s += SAMPLE_WEIGHT * error;
        self.deviation_s += SAMPLE_WEIGHT * (error.abs() - self.deviation_s);
    }
}

/// Service times of one queue.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    kinds: HashMap<WorkKind, Estimate>,
    /// Estimate over all kinds, for those without a sample.
    all: Estimate,
}

impl ServiceTimes {
    pub(super) fn new() -> Self {
        Self { kinds: HashMap::new(), all: Estimate::INITIAL }
    }

    /// Records that a request took `used`.
    pub(super) fn record(&mut self, kind: WorkKind, used: Duration) {
        let used = used.as_secs_f64();
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind) {
            // The first sample of a kind replaces the estimate over all kinds.
            let first = Estimate { mean_s: bounded(used, self.all.mean_s), deviation_s: 0.0 };
            self.kinds.entry(kind).or_insert(first).record(used);
        }
        self.all.record(used);
    }

    /// Mean service time in seconds.
    pub(super) fn mean_s(&self, kind: WorkKind) -> f64 {
        self.estimate(kind).mean_s
    }

    /// Time within which almost all requests of the kind are served.
    pub(super) fn needed(&self, kind: WorkKind) -> Duration {
        let Estimate { mean_s, deviation_s } = self.estimate(kind);
        seconds(mean_s + DEVIATIONS * deviation_s)
    }

    fn estimate(&self, kind: WorkKind) -> Estimate {
        self.kinds.get(&kind).copied().unwrap_or(self.all)
    }
}

/// A sample of a service time, in seconds, with its bound in relation to the mean.
pub(super) fn bounded(sample_s: f64, mean_s: f64) -> f64 {
    sample_s.min((mean_s * MAX_GROWTH).max(MIN_BOUND_S))
}

/// A duration of `seconds`, at most [`Duration::MAX`].
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
