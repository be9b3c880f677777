//! Tests of the conversions between core types and messages.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

use std::time::Duration;

use capnp::message::Builder;
use hibiscusladder_core::{
    config::{Change, Changes, Kind},
    membership::{Heartbeat, InstanceInfo, InstanceState, TermInfo},
    outcome::{Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    request::{RequestHead, StatementClass},
    share::{HandedOverShare, Loan, LoanRequest},
};
use hibiscusladder_proto::{
    config::{read_changes, write_changes},
    instance_capnp as schema,
    membership::{read_heartbeat, write_heartbeat},
    reply::{ReplyEnd, TransactionStatus, read_end, write_end},
    request::{Envelope, read_envelope, write_envelope},
    share::{
        AddressedLoanRequest, read_hand_over, read_loan, read_loan_request, write_hand_over,
        write_loan, write_loan_request,
    },
};
use test_case::test_case;

fn position() -> Position {
    Position::new(Term(3), Lsn(4711))
}

fn envelope(class: StatementClass) -> Envelope {
    let head = RequestHead {
        workspace: "club-andino".into(),
        database: "padron".into(),
        key: Some("k1".into()),
        request_id: Some("alta-1".into()),
        class,
        position: Some(position()),
        remaining: Duration::from_millis(1234),
        revision: 17,
        trace_parent: "00-aa-bb-01".into(),
    };
    Envelope { head, member: "p1".into(), cancel_token: u64::MAX }
}

/// Guards against a field of a request that the conversion drops or changes.
#[test_case(StatementClass::Read)]
#[test_case(StatementClass::StaleRead { max_age: Duration::from_millis(250) })]
#[test_case(StatementClass::Write)]
#[test_case(StatementClass::UnrepeatableWrite)]
fn envelope_round_trip(class: StatementClass) {
    let sent = envelope(class);
    let mut message = Builder::new_default();
    write_envelope(&sent, message.init_root());
    assert_eq!(read_envelope(message.get_root_as_reader().unwrap()).unwrap(), sent);
}

/// Guards against a request without a workspace, which would run for no workspace at all.
#[test]
fn envelope_without_workspace() {
    let mut message = Builder::new_default();
    let mut head = message.init_root::<schema::request_head::Builder<'_>>();
    head.set_database("padron");
    head.set_member("p1");
    assert!(read_envelope(message.get_root_as_reader().unwrap()).is_err());
}

/// Guards against a refusal whose kind changes in the conversion, or that changes between "not run" and "outcome
/// unknown".
#[test]
fn refusal_round_trip() {
    let lost = RefusalKind::WriteLost { lost: position(), term_start: Position::default() };
    let kinds = [
        RefusalKind::KeyRejected,
        RefusalKind::DatabaseNotInContract,
        RefusalKind::RateExceeded,
        RefusalKind::QueueFull,
        RefusalKind::ConfigUnconfirmed,
        RefusalKind::NoMember,
        RefusalKind::StaleReadUnproved,
        lost,
        RefusalKind::TermUnconfirmed,
        RefusalKind::ConnectionLost,
        RefusalKind::Unsupported,
        RefusalKind::RequestIdReused,
        RefusalKind::KeyInStatement,
        RefusalKind::IdleInTransaction,
        RefusalKind::Leaving,
        RefusalKind::DeadlineExceeded,
        RefusalKind::Protocol,
    ];
    for kind in kinds {
        let after = Duration::from_millis(80);
        for refusal in [Refusal::unknown(kind), Refusal::not_run(kind).retry_after(after)] {
            let refusal = refusal.detail("member p1");
            let status = TransactionStatus::Failed;
            let sent = ReplyEnd { status, position: Some(position()), refusal: Some(refusal) };
            let mut message = Builder::new_default();
            write_end(&sent, message.init_root());
            assert_eq!(read_end(message.get_root_as_reader().unwrap()).unwrap(), sent);
        }
    }
}

/// Guards against heartbeats that lose terms, or in which a missing proof becomes a proof of age zero.
#[test]
fn heartbeat_round_trip() {
    let mut sent = Heartbeat::new(InstanceInfo::new("i1", "stgo-a", "127.0.0.1:1"));
    sent.revision = 9;
    sent.recent = [InstanceState::Suspected, InstanceState::Leaving, InstanceState::Dead]
        .map(|state| InstanceInfo { state, ..InstanceInfo::new("i2", "vld-a", "127.0.0.1:2") })
        .into();
    for (primary, term_start) in [(None, None), (Some("p1".into()), Some(position()))] {
        let database = "padron".into();
        sent.terms.push(TermInfo { database, term: Term(3), primary, term_start });
    }
    for proof_age in [None, Some(Duration::ZERO), Some(Duration::from_millis(700))] {
        sent.proof_age = proof_age;
        let mut message = Builder::new_default();
        write_heartbeat(&sent, message.init_root());
        assert_eq!(read_heartbeat(message.get_root_as_reader().unwrap()).unwrap(), sent);
    }
}

/// Guards against a deletion that is read as an object with an empty value.
#[test]
fn changes_round_trip() {
    let sent = Changes {
        revision: 12,
        proof_age: Some(Duration::from_millis(3)),
        complete: true,
        items: vec![
            Change::put(Kind::Contract, "club-andino", 11, "{\"rate\": 3.5}"),
            Change::delete(Kind::Key, "k1", 12),
        ],
    };
    let mut message = Builder::new_default();
    write_changes(&sent, message.init_root());
    assert_eq!(read_changes(message.get_root_as_reader().unwrap()).unwrap(), sent);
}

/// Guards against tokens that are gained or lost when the amounts of a loan are rounded in the conversion.
#[test]
fn loans_round_trip() {
    let request = LoanRequest {
        workspace: "club-andino".into(),
        database: "padron".into(),
        borrower: "p1".into(),
        rate: 33.333,
        tokens: 0.1,
        term: Term(3),
        division: u64::MAX,
    };
    let sent = AddressedLoanRequest { lender: "p2".into(), request };
    let mut message = Builder::new_default();
    write_loan_request(&sent, message.init_root());
    assert_eq!(read_loan_request(message.get_root_as_reader().unwrap()).unwrap(), sent);

    let duration = Duration::from_millis(1999);
    for thousandths in [1_u32, 333, 999, 1_001, 123_456_789] {
        let amount = f64::from(thousandths) / 1000.0;
        let loan = Loan { workspace: "w".into(), rate: amount, tokens: amount, duration };
        let mut message = Builder::new_default();
        write_loan(Some(&loan), message.init_root());
        assert_eq!(read_loan(message.get_root_as_reader().unwrap()).unwrap(), Some(loan));
    }
    let mut message = Builder::new_default();
    write_loan(None, message.init_root());
    assert_eq!(read_loan(message.get_root_as_reader().unwrap()).unwrap(), None);

    let (workspace, member) = ("w".into(), "p1".into());
    let hand_over = HandedOverShare { workspace, member, tokens: 7.001, lent_for: duration };
    let mut message = Builder::new_default();
    write_hand_over(&hand_over, message.init_root());
    assert_eq!(read_hand_over(message.get_root_as_reader().unwrap()).unwrap(), hand_over);
}
