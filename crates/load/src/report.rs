//! Report of a run, as a text table and as JSON.

use std::fmt;

use serde::Serialize;

use crate::{fault::FaultRecord, ledger::LedgerCheck, measure::Measures, operation::Record};

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Measures of the run and of each workspace.
    pub measures: Measures,
    /// Share of reads that replicas served, from 0 to 1; `None` when no database admin address was given or one did not
    /// answer.
    pub replica_share: Option<f64>,
    /// Comparison of the ledger tables with the outcomes of the writes.
    pub ledger: LedgerCheck,
    /// One line for each injected fault, with its time, request and result.
    pub faults: Vec<String>,
    /// Records of all requests, for plots and further checks; not part of the JSON.
    #[serde(skip)]
    pub records: Vec<Record>,
}

impl Report {
    /// Describes each fault of a run in one line.
    pub fn describe_faults(faults: &[FaultRecord]) -> Vec<String> {
        faults
            .iter()
            .map(|fault| {
                let result = fault.error.as_deref().unwrap_or("done");
                format!("{:.3} s: {}: {result}", fault.at.as_secs_f64(), fault.request)
            })
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
            "workspace",
            "offered",
            "covered",
            "done",
            "refused",
            "not run",
            "unknown",
            "goodput",
            "p50 ms",
            "p99 ms"
        )?;
        for workspace in &self.measures.workspaces {
            writeln!(
                f,
                "{:<16} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8.4} {:>9.1} {:>9.1}",
                workspace.workspace,
                workspace.offered,
                workspace.entitled,
                workspace.done,
                workspace.wrongly_refused,
                workspace.refused_not_run,
                workspace.unknown,
                workspace.goodput,
                workspace.p50_ms,
                workspace.p99_ms
            )?;
        }
        match self.replica_share {
            Some(share) => writeln!(f, "reads served by replicas: {:.1}%", share * 100.0)?,
            None => writeln!(f, "reads served by replicas: not measured (set run.database_admin)")?,
        }
        writeln!(
            f,
            "longest gap in writes: {:.0} ms, from {:.0} ms",
            self.measures.write_gap_ms, self.measures.write_gap_from_ms
        )?;
        writeln!(
            f,
            "worst-served workspace: {} ({:.4})",
            self.measures.worst_served, self.measures.worst_goodput
        )?;
        writeln!(f, "refused inside the rate: {:.4}%", self.measures.wrongful_refusals * 100.0)?;
        writeln!(f, "reads that missed an own write: {}", self.measures.stale_reads)?;
        let ledger = self.ledger;
        writeln!(
            f,
            "writes lost {}, doubled {}, wrongly \"not run\" {}, unknown {} (present {})",
            ledger.lost,
            ledger.doubled,
            ledger.wrongly_not_run,
            ledger.unknown_present + ledger.unknown_absent,
            ledger.unknown_present
        )?;
        self.faults.iter().try_for_each(|fault| writeln!(f, "fault at {fault}"))
    }
}
