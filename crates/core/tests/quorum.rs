//! The gate for acknowledgements, missed polls and proofs of the primary's position.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use hibiscusladder_core::{
    position::Term,
    quorum::{Gate, MemberRole, POLL_INTERVAL, QuorumView, REPORT_WINDOW},
};
use support::{INFINITE, at, group, position, report};
use test_case::test_case;

fn quorum(window: Duration, reports: &[(&str, u64, u64)]) -> QuorumView {
    let mut quorum = group(window);
    for (member, term, sent) in reports {
        let role = if *member == "a" { MemberRole::Primary } else { MemberRole::Replica };
        quorum.record(report(member, role, *term, *sent));
    }
    quorum
}

/// Guards against acknowledgements that rely on a minority, on expired reports or on a raised member.
#[test_case(&[("a", 1, 0), ("b", 1, 0)], 999, Gate::Open; "majority within the window")]
#[test_case(&[("a", 1, 0), ("b", 1, 0)], 1000, Gate::Closed; "window passed since the polls were sent")]
#[test_case(&[("a", 1, 0)], 1, Gate::Closed; "minority")]
#[test_case(&[("a", 1, 500), ("b", 1, 500), ("b", 2, 600)], 700, Gate::Closed; "raised member no longer counts")]
#[test_case(&[("a", 1, 500), ("b", 2, 400), ("b", 1, 500)], 600, Gate::Closed; "late report of a lower term is ignored")]
#[test_case(&[("a", 1, 0), ("b", 1, 900), ("b", 1, 100)], 1000, Gate::Closed; "one of two reports expired")]
#[test_case(&[("a", 1, 0), ("x", 1, 0)], 1, Gate::Closed; "unknown member does not count")]
fn gate_needs_recent_majority(reports: &[(&str, u64, u64)], now: u64, expected: Gate) {
    assert_eq!(quorum(REPORT_WINDOW, reports).gate(Term(1), at(now)), expected);
}

/// Shows that the expiry closes the gate: without it, the home of an isolated primary acknowledges without time limit.
#[test]
fn gate_stays_open_without_window() {
    let quorum = quorum(INFINITE, &[("a", 1, 0), ("b", 1, 0)]);
    assert_eq!(quorum.gate(Term(1), at(3_600_000)), Gate::Open);
}

/// Guards against a replaced primary that counts as the current one.
#[test_case(&[("a", 1, 0), ("b", 1, 0)], 10, Some(1), Some("a"); "primary of the current term")]
#[test_case(&[("a", 1, 0), ("b", 2, 0), ("c", 2, 0)], 10, Some(2), None; "raised majority has no primary yet")]
#[test_case(&[("a", 1, 0), ("b", 1, 500)], 1200, None, None; "no term is current after the window")]
fn primary_is_of_current_term(
    reports: &[(&str, u64, u64)],
    now: u64,
    term: Option<u64>,
    primary: Option<&str>,
) {
    let quorum = quorum(REPORT_WINDOW, reports);
    assert_eq!(quorum.current_term(at(now)), term.map(Term));
    assert_eq!(quorum.primary(at(now)), primary.map(Into::into));
}

/// Guards against polls that count as missed while their answer may still arrive, or that never count.
#[test]
fn missed_counts_overdue_and_failed_polls() {
    let mut quorum = group(REPORT_WINDOW);
    let member = "a".into();
    for sent in [0, 250, 500] {
        quorum.poll_sent(&member, at(sent));
    }
    assert_eq!(quorum.missed_polls(&member, at(500)), 2);
    assert_eq!(quorum.missed_polls(&member, at(500).plus(POLL_INTERVAL)), 3);
    quorum.poll_failed(&member, at(500));
    assert_eq!(quorum.missed_polls(&member, at(501)), 3);
    quorum.record(report("a", MemberRole::Primary, 1, 250));
    assert_eq!(quorum.missed_polls(&member, at(501)), 0);
}

/// Guards against proofs of age from the answers of a replaced primary.
#[test]
fn proof_needs_open_gate() {
    let isolated = quorum(REPORT_WINDOW, &[("a", 1, 0)]);
    assert_eq!(isolated.proofs(), []);
    let confirmed = quorum(REPORT_WINDOW, &[("b", 1, 0), ("a", 1, 0)]);
    assert_eq!(confirmed.proofs().len(), 1);
    assert_eq!(confirmed.proofs()[0].position, position(1, 10));
}

/// Guards against lost writes that cannot be detected because the start of a term does not name the term that it
/// continues.
#[test]
fn history_completes_start_of_new_term() {
    let mut quorum = group(REPORT_WINDOW);
    let mut raised = report("b", MemberRole::Replica, 3, 0);
    (raised.promoted_term, raised.position) = (Term(1), position(1, 90));
    quorum.record(raised);
    let mut promoted = report("b", MemberRole::Primary, 3, 250);
    (promoted.position, promoted.term_start) = (position(3, 91), position(3, 90));
    quorum.record(promoted);
    assert_eq!(quorum.history().start(Term(3)), Some(position(1, 90)));
}
