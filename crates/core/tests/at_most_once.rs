//! Request ids and the rule for sending a statement again.

use hibiscusladder_core::{
    at_most_once::{
        Failure, RequestDecision, RequestRecord, Resend, SendState, StatementDigest, decide,
    },
    outcome::{Execution, RefusalKind},
    request::StatementClass,
};
use test_case::test_case;

/// Guards against a second execution of a recorded request, and against returning the outcome of other statements.
#[test]
fn decide_runs_a_request_id_once() {
    let digest = StatementDigest::of(["INSERT INTO t VALUES ($1)", "1"]);
    let record = RequestRecord { digest, outcome: "INSERT 0 1".into() };
    assert_eq!(decide(None, digest), RequestDecision::Run);
    assert_eq!(decide(Some(&record), digest), RequestDecision::Return("INSERT 0 1".into()));
    let other = StatementDigest::of(["INSERT INTO t VALUES ($1)", "2"]);
    let refusal = decide(Some(&record), other).refusal().expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.execution),
        (RefusalKind::RequestIdReused, Execution::NotRun)
    );
}

/// Guards against different requests with the same digest.
#[test]
fn digest_separates_parts() {
    assert_ne!(StatementDigest::of(["ab", "c"]), StatementDigest::of(["a", "bc"]));
    let digest = StatementDigest::of(["a"]);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("12".parse::<StatementDigest>().is_err());
}

const WRITE: StatementClass = StatementClass::Write;
const READ: StatementClass = StatementClass::Read;

/// Guards against a second send of a statement that may have run, and against failures that a retry would hide.
#[test_case(SendState::NotSent, WRITE, false, None, Resend::Allowed; "write that was not sent")]
#[test_case(SendState::MaybeSent, WRITE, false, None, Resend::Never; "write without answer")]
#[test_case(SendState::MaybeSent, WRITE, true, None, Resend::AfterLookup; "write with id without answer")]
#[test_case(SendState::MaybeSent, WRITE, false, Some("25006"), Resend::Allowed; "write that a fenced primary rejected")]
#[test_case(SendState::MaybeSent, WRITE, false, Some("57P01"), Resend::Never; "write when the upstream stopped")]
#[test_case(SendState::MaybeSent, WRITE, true, Some("23505"), Resend::Never; "write that the upstream answered")]
#[test_case(SendState::MaybeSent, READ, false, None, Resend::Allowed; "read without answer")]
#[test_case(SendState::MaybeSent, READ, false, Some("42601"), Resend::Never; "read that the upstream answered")]
fn resend_follows_send_state(
    sent: SendState,
    class: StatementClass,
    has_request_id: bool,
    sqlstate: Option<&str>,
    expected: Resend,
) {
    let mut failure = Failure::new(sent).class(class).request_id(has_request_id);
    if let Some(sqlstate) = sqlstate {
        failure = failure.sqlstate(sqlstate);
    }
    assert_eq!(failure.resend(), expected);
    assert_eq!(failure.in_transaction(true).resend(), Resend::Never);
}

/// Guards against "not run" for a statement that may have been sent.
#[test]
fn refusal_reports_send_state() {
    let kind = RefusalKind::ConnectionLost;
    assert_eq!(SendState::NotSent.refusal(kind).execution, Execution::NotRun);
    assert_eq!(SendState::NotSent.sending().refusal(kind).execution, Execution::Unknown);
}
