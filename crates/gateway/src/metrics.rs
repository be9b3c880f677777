//! Counters and latency histograms of an instance, in the text format of Prometheus.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt::{self, Write},
    time::Duration,
};

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/// Kind of a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Answers to callers, by code.
    Answers,
    /// Requests that were sent again, by cause.
    Retries,
    /// Calls to the store, by result.
    StoreCalls,
    /// Connections to members, by kind; the only kind is `opened`.
    MemberConnections,
    /// Failovers that ended, by outcome.
    Failovers,
    /// Sessions accepted or refused, by result.
    Sessions,
}

impl Counter {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answers => "answers_total",
            Self::Retries => "retries_total",
            Self::StoreCalls => "store_calls_total",
            Self::MemberConnections => "member_connections_total",
            Self::Failovers => "failovers_total",
            Self::Sessions => "sessions_total",
        }
    }
}

/// Kind of a duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// From the arrival of a single read to its answer.
    Read,
    /// From the arrival of a single write to its answer.
    Write,
    /// From the arrival of a commit to its answer.
    Commit,
    /// Wait of an admitted operation for tokens of its workspace.
    Admission,
    /// Time for opening a channel to a member, with or without success.
    Connection,
}

impl Stage {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Commit => "commit",
            Self::Admission => "admission",
            Self::Connection => "connection",
        }
    }
}

#[derive(Debug, Default, Clone)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum: Duration,
}

#[derive(Debug, Default)]
struct State {
    counters: BTreeMap<(Counter, &'static str), u64>,
    histograms: BTreeMap<Stage, Histogram>,
}

/// Counters and histograms of one instance.
#[derive(Debug, Default)]
pub struct Metrics {
    state: RefCell<State>,
}

impl Metrics {
    /// Adds one to the counter with the given label.
    pub fn count(&self, counter: Counter, label: &'static str) {
        *self.state.borrow_mut().counters.entry((counter, label)).or_default() += 1;
    }

    /// Records the duration of a stage.
    pub fn time(&self, stage: Stage, took: Duration) {
        let mut state = self.state.borrow_mut();
        let histogram = state.histograms.entry(stage).or_default();
        histogram.count += 1;
        histogram.sum += took;
        for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(&mut histogram.buckets) {
            if took <= Duration::from_millis(*bound) {
                *bucket += 1;
            }
        }
    }

    /// Writes all counters and histograms in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// `out` returned an error.
    pub fn write<W>(&self, out: &mut W) -> fmt::Result
    where
        W: Write,
    {
        let state = self.state.borrow();
        for ((counter, label), value) in &state.counters {
            writeln!(out, "hibiscus_{}{{kind=\"{label}\"}} {value}", counter.as_str())?;
        }
        for (stage, histogram) in &state.histograms {
            let name = stage.as_str();
            for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
                let bound = Duration::from_millis(*bound).as_secs_f64();
                writeln!(
                    out,
                    "hibiscus_stage_seconds_bucket{{stage=\"{name}\",le=\"{bound}\"}} {bucket}"
                )?;
            }
            let (count, sum) = (histogram.count, histogram.sum.as_secs_f64());
            writeln!(out, "hibiscus_stage_seconds_bucket{{stage=\"{name}\",le=\"+Inf\"}} {count}")?;
            writeln!(out, "hibiscus_stage_seconds_sum{{stage=\"{name}\"}} {sum}")?;
            writeln!(out, "hibiscus_stage_seconds_count{{stage=\"{name}\"}} {count}")?;
        }
        Ok(())
    }
}
