//! Comparison of the ledger table with the outcomes that were reported to the sessions.

use std::collections::HashMap;

use hibiscusladder_load::{
    ledger::{LedgerCheck, compare},
    operation::Outcome,
};
use test_case::test_case;

/// Guards against a run that passes although a write was lost, doubled, or executed despite "not run".
#[test_case(Outcome::Done, &["a"], LedgerCheck::default() ; "present_once")]
#[test_case(Outcome::Done, &[], LedgerCheck { lost: 1, ..LedgerCheck::default() } ; "lost")]
#[test_case(Outcome::Done, &["a", "a"], LedgerCheck { doubled: 1, ..LedgerCheck::default() } ; "doubled")]
#[test_case(Outcome::RefusedNotRun, &["a"], LedgerCheck { wrongly_not_run: 1, ..LedgerCheck::default() } ; "ran")]
#[test_case(Outcome::Unknown, &["a"], LedgerCheck { unknown_present: 1, ..LedgerCheck::default() } ; "unknown")]
fn compare_finds(outcome: Outcome, table: &[&str], expected: LedgerCheck) {
    let outcomes = HashMap::from([("a".to_owned(), outcome)]);
    let table: Vec<_> = table.iter().map(|id| (*id).to_owned()).collect();
    assert_eq!(compare(&outcomes, &table), expected);
}
