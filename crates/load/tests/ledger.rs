//! The check of the ledger table against what sessions were told.

use std::collections::HashMap;

use hibiscusladder_load::{
    ledger::{LedgerCheck, compare},
    operation::Outcome,
};
use test_case::test_case;

/// Guards against a run that passes although a write was lost, doubled, or run in spite of "not run".
#[test_case(Outcome::Done, &["a"], LedgerCheck::default() ; "present_once")]
#[test_case(Outcome::Done, &[], LedgerCheck { lost: 1, ..LedgerCheck::default() } ; "lost")]
#[test_case(Outcome::Done, &["a", "a"], LedgerCheck { doubled: 1, ..LedgerCheck::default() } ; "doubled")]
#[test_case(Outcome::RefusedNotRun, &["a"], LedgerCheck { wrongly_not_run: 1, ..LedgerCheck::default() } ; "ran")]
#[test_case(Outcome::Unknown, &["a"], LedgerCheck { unknown_present: 1, ..LedgerCheck::default() } ; "unknown")]
fn compare_finds(told: Outcome, table: &[&str], expected: LedgerCheck) {
    let told = HashMap::from([("a".to_owned(), told)]);
    let table: Vec<_> = table.iter().map(|id| (*id).to_owned()).collect();
    assert_eq!(compare(&told, &table), expected);
}
