//! Measures of a run: write gap, worst-served workspace and wrongful refusals.
//!
//! The fourth measure, the share of reads on replicas, is in the [`Report`](crate::report::Report).

use std::{collections::BTreeSet, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    config::LoadConfig,
    operation::{Kind, Outcome, Record},
};

/// Largest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 2;

/// Measures of one workspace.
#[derive(Debug, Clone, Serialize)]
pub struct WorkspaceMeasure {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests that the sessions offered.
    pub offered: u64,
    /// Requests that the rate and burst of the contract covered.
    pub entitled: u64,
    /// Covered requests that were answered correctly.
    pub entitled_done: u64,
    /// All requests that were answered correctly.
    pub done: u64,
    /// Covered requests that were refused for a rate or a full queue, less the uncovered requests that were answered.
    ///
    /// When a workspace exceeds its rate, the proxy may answer any of its requests, as long as it answers as many as
    /// the contract covers.
    pub wrongly_refused: u64,
    /// Requests refused as "not run" for another reason.
    pub refused_not_run: u64,
    /// Requests whose outcome remained unknown.
    pub unknown: u64,
    /// Reads that did not return the session's own last acknowledged write.
    pub stale: u64,
    /// Median latency of correctly answered requests in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of correctly answered requests in milliseconds.
    pub p99_ms: f64,
    /// Correctly answered requests divided by covered requests, at most 1; 0 when no request was covered.
    pub goodput: f64,
}

/// Measures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// Measures of each workspace, in the order of the configuration.
    pub workspaces: Vec<WorkspaceMeasure>,
    /// Name of the workspace with the lowest goodput.
    pub worst_served: String,
    /// Goodput of the worst-served workspace.
    pub worst_goodput: f64,
    /// Sum of [`WorkspaceMeasure::wrongly_refused`] divided by all covered requests.
    pub wrongful_refusals: f64,
    /// Longest time without an acknowledged write in one database, in milliseconds.
    pub write_gap_ms: f64,
    /// Start of the longest gap, in milliseconds after the start of load.
    pub write_gap_from_ms: f64,
    /// Reads that did not return the session's own last acknowledged write.
    pub stale_reads: u64,
}

impl Measures {
    /// Computes the measures of a run from the records of all its requests.
    pub fn compute(cfg: &LoadConfig, records: &[Record]) -> Self {
        let workspaces: Vec<_> = cfg
            .workspaces
            .iter()
            .enumerate()
            .map(|(index, load)| measure_workspace(&load.name, index, records))
            .collect();
        let worst = workspaces.iter().min_by(|a, b| a.goodput.total_cmp(&b.goodput));
        let entitled: u64 = workspaces.iter().map(|workspace| workspace.entitled).sum();
        let refused: u64 = workspaces.iter().map(|workspace| workspace.wrongly_refused).sum();
        let (gap_from, gap) = longest_write_gap(cfg, records);
        Self {
            worst_served: worst.map_or_else(String::new, |workspace| workspace.workspace.clone()),
            worst_goodput: worst.map_or(0.0, |workspace| workspace.goodput),
            wrongful_refusals: ratio(refused, entitled),
            write_gap_ms: millis(gap),
            write_gap_from_ms: millis(gap_from),
            stale_reads: workspaces.iter().map(|workspace| workspace.stale).sum(),
            workspaces,
        }
    }
}

fn measure_workspace(name: &str, index: usize, records: &[Record]) -> WorkspaceMeasure {
    let own: Vec<_> = records.iter().filter(|record| record.workspace == index).collect();
    let count =
        |test: &dyn Fn(&Record) -> bool| own.iter().filter(|record| test(record)).count() as u64;
    let entitled = count(&|record| record.entitled);
    let entitled_done = count(&|record| record.entitled && record.outcome == Outcome::Done);
    let done = count(&|record| record.outcome == Outcome::Done);
    let refused = count(&|record| record.entitled && record.outcome == Outcome::RefusedForRate);
    let latencies = latency_histogram(&own);
    WorkspaceMeasure {
        workspace: name.to_owned(),
        offered: own.len() as u64,
        entitled,
        entitled_done,
        done,
        wrongly_refused: refused.saturating_sub(done - entitled_done),
        refused_not_run: count(&|record| record.outcome == Outcome::RefusedNotRun),
        unknown: count(&|record| record.outcome == Outcome::Unknown),
        stale: count(&|record| record.outcome == Outcome::Stale),
        p50_ms: quantile_ms(latencies.as_ref(), 0.5),
        p99_ms: quantile_ms(latencies.as_ref(), 0.99),
        goodput: ratio(done.min(entitled), entitled),
    }
}

fn latency_histogram(records: &[&Record]) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS).ok()?;
    for record in records.iter().filter(|record| record.outcome == Outcome::Done) {
        let micros = u64::try_from(record.latency().as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros.max(1));
    }
    Some(histogram)
}

fn quantile_ms(histogram: Option<&Histogram<u64>>, quantile: f64) -> f64 {
    histogram.map_or(0.0, |histogram| micros_to_ms(histogram.value_at_quantile(quantile)))
}

/// Start and length of the longest write gap in any database.
fn longest_write_gap(cfg: &LoadConfig, records: &[Record]) -> (Duration, Duration) {
    let databases: BTreeSet<&str> =
        cfg.workspaces.iter().map(|load| load.database.as_str()).collect();
    let gaps = databases.into_iter().map(|database| {
        let of_database = |record: &&Record| cfg.workspaces[record.workspace].database == database;
        let database_records: Vec<Record> = records.iter().filter(of_database).copied().collect();
        write_gap(&database_records, cfg.duration())
    });
    gaps.max_by_key(|gap| gap.1).unwrap_or_default()
}

/// Start and length of the longest time without an acknowledged write, from the first acknowledged write to `end`; from
/// 0 to `end` when no write was acknowledged.
fn write_gap(records: &[Record], end: Duration) -> (Duration, Duration) {
    let mut acked: Vec<_> = records
        .iter()
        .filter(|record| record.kind == Kind::Write && record.outcome == Outcome::Done)
        .map(|record| record.answered)
        .collect();
    acked.push(end);
    acked.sort_unstable();
    let gaps = acked.windows(2).map(|pair| (pair[0], pair[1].saturating_sub(pair[0])));
    gaps.max_by_key(|gap| gap.1).unwrap_or((Duration::ZERO, end))
}

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { part as f64 / total as f64 }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn micros_to_ms(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
