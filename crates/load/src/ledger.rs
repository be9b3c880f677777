//! Check after a run that each acknowledged write is in the ledger table once, and that no refused write is in it.

use std::collections::{HashMap, HashSet};

use crate::operation::Outcome;

/// Comparison of the ledger table with the outcomes that were reported to the sessions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct LedgerCheck {
    /// Writes that were acknowledged but are not in the table.
    pub lost: u64,
    /// Rows that repeat a write that is already in the table.
    pub doubled: u64,
    /// Writes that were refused as "not run" but are in the table.
    pub wrongly_not_run: u64,
    /// Writes whose outcome was unknown and that are in the table.
    pub unknown_present: u64,
    /// Writes whose outcome was unknown and that are not in the table.
    pub unknown_absent: u64,
}

/// Compares the ids of all rows in the table with the outcomes that were reported to the sessions, by id of the write.
pub fn compare<S>(outcomes: &HashMap<String, Outcome, S>, table: &[String]) -> LedgerCheck
where
    S: std::hash::BuildHasher,
{
    let mut check = LedgerCheck::default();
    let mut seen = HashSet::new();
    for id in table {
        if !seen.insert(id.as_str()) {
            check.doubled += 1;
        }
    }
    for (id, outcome) in outcomes {
        let present = seen.contains(id.as_str());
        match (outcome, present) {
            (Outcome::Done, false) => check.lost += 1,
            (Outcome::RefusedForRate | Outcome::RefusedNotRun, true) => check.wrongly_not_run += 1,
            (Outcome::Unknown, true) => check.unknown_present += 1,
            (Outcome::Unknown, false) => check.unknown_absent += 1,
            _ => {}
        }
    }
    check
}
