//! Tests of the order of a member's entries.

use hibiscusladder_core::member_report::{KnownReport, MemberReport};
use test_case::test_case;

const fn report(born: u64, sequence: u64) -> MemberReport {
    MemberReport { born, sequence }
}

/// Guards against an entry from before a restore that makes a draining member look ready, or an earlier process look like
/// the present one; and against rules for stores that are never restored.
#[test_case(report(10, 6), 2, false; "older report")]
#[test_case(report(10, 7), 2, true; "same report")]
#[test_case(report(10, 8), 2, true; "newer report")]
#[test_case(report(9, 90), 2, false; "earlier process")]
#[test_case(report(11, 1), 2, true; "later process")]
#[test_case(report(0, 1), 2, true; "start not stated")]
#[test_case(report(10, 6), 1, false; "older report of another instance")]
#[test_case(report(10, 6), 0, true; "store without eras")]
fn is_replaced_by_orders_reports(next: MemberReport, era: u64, expected: bool) {
    let known = KnownReport::new(report(10, 7), era.min(1));
    assert_eq!(known.is_replaced_by(next, era), expected);
}

/// Guards against a restore that brings back a member which had left, and against one that keeps a member away whose entry
/// was merely not written again yet.
#[test]
fn is_replaced_by_after_a_removal() {
    let mut left = KnownReport::new(report(10, 7), 1);
    left.set_missing(1);
    left.set_missing(2);
    assert!(!left.is_replaced_by(report(10, 7), 2));
    assert!(left.is_replaced_by(report(10, 8), 2));
    assert!(left.is_replaced_by(report(10, 7), 1), "written again in the same era");
    let mut lost = KnownReport::new(report(10, 7), 1);
    lost.set_missing(2);
    assert!(lost.is_replaced_by(report(10, 7), 2));
}
