//! Tests of the first configuration of a process that starts after a restore of the store.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    first_configuration::{Fleet, is_confirmed},
};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

/// Guards against a withdrawn key that a process uses because it started right after a restore, and against a process that
/// waits for instances that do not exist.
#[test_case(None, None, 0, false; "list not read yet")]
#[test_case(Some(0), None, 0, true; "no other instance")]
#[test_case(Some(3), None, 0, false; "no message yet")]
#[test_case(Some(3), Some(501), 4, false; "too few messages")]
#[test_case(Some(3), Some(500), 4, true; "older ones")]
#[test_case(Some(3), Some(500), 5, true; "the same one")]
#[test_case(Some(3), Some(500), 6, false; "a newer one")]
#[test_case(Some(0), Some(500), 6, false; "a newer one at an instance without registration")]
fn is_confirmed_compares(others: Option<usize>, heard: Option<u64>, newest: u64, expected: bool) {
    let fleet = Fleet { others, heard_since: heard.map(at), newest };
    assert_eq!(is_confirmed(5, fleet, at(1000)), expected);
}
