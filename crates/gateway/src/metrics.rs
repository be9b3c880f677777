//! Counters and latency histograms of an instance, in the text format of Prometheus.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt::{self, Write},
    time::Duration,
};

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/// Number of priorities with values of their own; higher ones count as the last.
const PRIORITIES: usize = 4;

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
    /// Calls to members through other instances, by the kind of these: `holder` or `standby`.
    RelayedCalls,
    /// Failovers that ended, by outcome.
    Failovers,
    /// Records of promotions that were learned from another instance or written again, and attempts whose claim the store
    /// has lost, by kind.
    PromotionRecords,
    /// Sessions accepted or refused, by result.
    Sessions,
    /// Peers that were refused or closed, by limit.
    LimitedPeers,
}

impl Counter {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answers => "answers_total",
            Self::Retries => "retries_total",
            Self::StoreCalls => "store_calls_total",
            Self::MemberConnections => "member_connections_total",
            Self::RelayedCalls => "relayed_calls_total",
            Self::Failovers => "failovers_total",
            Self::PromotionRecords => "promotion_records_total",
            Self::Sessions => "sessions_total",
            Self::LimitedPeers => "limited_peers_total",
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

impl Histogram {
    fn record(&mut self, took: Duration) {
        self.count += 1;
        self.sum += took;
        for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(&mut self.buckets) {
            if took <= Duration::from_millis(*bound) {
                *bucket += 1;
            }
        }
    }

    /// Writes buckets, sum and count with `label`, which is a name and a quoted value.
    fn write<W>(&self, out: &mut W, metric: &str, label: &str) -> fmt::Result
    where
        W: Write,
    {
        for (bound, bucket) in BUCKET_BOUNDS_MS.iter().zip(self.buckets) {
            let bound = Duration::from_millis(*bound).as_secs_f64();
            writeln!(out, "{metric}_bucket{{{label},le=\"{bound}\"}} {bucket}")?;
        }
        let (count, sum) = (self.count, self.sum.as_secs_f64());
        writeln!(out, "{metric}_bucket{{{label},le=\"+Inf\"}} {count}")?;
        writeln!(out, "{metric}_sum{{{label}}} {sum}")?;
        writeln!(out, "{metric}_count{{{label}}} {count}")
    }
}

#[derive(Debug, Default)]
struct State {
    counters: BTreeMap<(Counter, &'static str), u64>,
    histograms: BTreeMap<Stage, Histogram>,
    /// Waits for a slot, by priority.
    slot_waits: [Histogram; PRIORITIES],
    /// Requests without a slot, by priority and by whether they were refused before their time had passed.
    no_slots: [[u64; 2]; PRIORITIES],
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
        self.state.borrow_mut().histograms.entry(stage).or_default().record(took);
    }

    /// Records the wait of a request for a slot.
    pub fn time_slot_wait(&self, priority: u32, waited: Duration) {
        self.state.borrow_mut().slot_waits[priority_index(priority)].record(waited);
    }

    /// Counts a request that got no slot; `is_expected` tells whether it was refused before its time had passed.
    pub fn count_no_slot(&self, priority: u32, is_expected: bool) {
        let mut state = self.state.borrow_mut();
        state.no_slots[priority_index(priority)][usize::from(is_expected)] += 1;
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
            let label = format!("stage=\"{}\"", stage.as_str());
            histogram.write(out, "hibiscus_stage_seconds", &label)?;
        }
        for (priority, histogram) in state.slot_waits.iter().enumerate() {
            if histogram.count > 0 {
                let label = format!("priority=\"{priority}\"");
                histogram.write(out, "hibiscus_slot_wait_seconds", &label)?;
            }
        }
        for (priority, counts) in state.no_slots.iter().enumerate() {
            for (reason, count) in ["expired", "expected"].iter().zip(counts) {
                if *count > 0 {
                    writeln!(
                        out,
                        "hibiscus_no_slot_total{{priority=\"{priority}\",reason=\"{reason}\"}} {count}"
                    )?;
                }
            }
        }
        Ok(())
    }
}

fn priority_index(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(usize::MAX).min(PRIORITIES - 1)
}
