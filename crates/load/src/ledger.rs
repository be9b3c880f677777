//! Checks after the run that acknowledged writes exist once and refused ones do not exist.

use std::collections::{HashMap, HashSet};

use crate::operation::Outcome;

/// What the ledger table holds against what the sessions were told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct LedgerCheck {
    /// Writes that were acknowledged but are not in the table.
    pub lost: u64,
    /// Writes that are in the table more than once.
    pub doubled: u64,
    /// Writes that were refused as "not run" but are in the table.
    pub wrongly_not_run: u64,
    /// Writes whose outcome was unknown and that are in the table.
    pub unknown_present: u64,
    /// Writes whose outcome was unknown and that are not in the table.
    pub unknown_absent: u64,
}

/// Compares the ids in the table with the outcomes that the sessions were told.
pub fn compare<S>(told: &HashMap<String, Outcome, S>, table: &[String]) -> LedgerCheck
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
    for (id, outcome) in told {
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
