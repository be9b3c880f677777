//! Sessions, their lost writes, and the choice of the member for a read.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use hibiscusladder_core::{
    outcome::RefusalKind,
    position::{Position, Term},
    quorum::{Gate, PositionProof},
    read_index::{READ_INDEX_TIMEOUT, ReadIndex, ReadIndexAnswer},
    read_route::{LEAVING_GRACE, ReadDecision, ReadRequirement, ReadRouter, Replica},
    session::Session,
    term_history::{PositionStatus, TermHistory},
};
use support::{at, position};
use test_case::test_case;

const RETAINED: PositionStatus = PositionStatus::Retained;

const fn lost(term_start: Position) -> PositionStatus {
    PositionStatus::Lost { term_start }
}

fn history(starts: &[(u64, Position)]) -> TermHistory {
    let mut history = TermHistory::default();
    for (term, start) in starts {
        history.record(Term(*term), *start);
    }
    history
}

/// Guards against lost writes that count as retained, also over several promotions and with terms that no later term
/// continued.
#[test_case(&[], position(1, 5), RETAINED; "nothing is known")]
#[test_case(&[(2, position(1, 90))], position(1, 90), RETAINED; "at the start of the next term")]
#[test_case(&[(2, position(1, 90))], position(1, 91), lost(position(1, 90)); "past the start of the next term")]
#[test_case(&[(2, position(1, 90)), (3, position(2, 200))], position(1, 95), lost(position(1, 90)); "lost two terms ago")]
#[test_case(&[(2, position(1, 90)), (3, position(1, 95))], position(2, 94), lost(position(1, 90)); "its term was not continued")]
#[test_case(&[(2, position(1, 90)), (3, position(1, 95))], position(1, 93), RETAINED; "retained by the term that was continued")]
#[test_case(&[(4, position(3, 95))], position(1, 10), lost(position(0, 0)); "terms in between are unknown")]
#[test_case(&[(2, position(2, 90))], position(1, 10), lost(position(0, 0)); "the continued term is unknown")]
#[test_case(&[(2, position(2, 90)), (2, position(1, 90))], position(1, 10), RETAINED; "the continued term is learned later")]
#[test_case(&[(2, position(1, 90))], position(3, 10), RETAINED; "newer than all known terms")]
fn position_status_follows_continued_terms(
    starts: &[(u64, Position)],
    written: Position,
    expected: PositionStatus,
) {
    assert_eq!(history(starts).position_status(written), expected);
}

/// Guards against members whose position is high enough although their log lacks the entry.
#[test_case(position(2, 90), position(2, 90), true; "same term")]
#[test_case(position(4, 120), position(2, 90), true; "current log")]
#[test_case(position(2, 99), position(2, 100), false; "too short")]
#[test_case(position(3, 120), position(2, 90), false; "log of a term that was not continued")]
#[test_case(position(4, 120), position(3, 100), false; "entry of a term that was not continued")]
fn reaches_follows_continued_terms(end: Position, needed: Position, expected: bool) {
    let history = history(&[(2, position(1, 50)), (3, position(2, 70)), (4, position(2, 100))]);
    assert_eq!(history.reaches(end, needed), expected);
}

/// Guards against a loss that is not reported, or reported twice.
#[test]
fn session_reports_loss_once_also_after_it_moved_on() {
    let mut session = Session::with_position(position(1, 95));
    session.committed(position(2, 120));
    assert_eq!(session.check(&TermHistory::default()), None);
    let history = history(&[(2, position(1, 90))]);
    let kind = RefusalKind::WriteLost { lost: position(1, 95), term_start: position(1, 90) };
    assert_eq!(session.check(&history), Some(kind));
    assert_eq!(session.check(&history), None);
    assert_eq!(session.position(), Some(position(2, 120)));
}

/// Router of an instance in data centre `near`, with primary `a` of term 2 that is at 2:100, and replicas `b` (near)
/// and `c` (in the region) at the given positions.
fn router(b: Position, c: Position) -> ReadRouter {
    let mut router = ReadRouter::new("near".into()).region(["near".into(), "middle".into()]);
    for (member, data_centre) in [("a", "far"), ("b", "near"), ("c", "middle")] {
        router.add(Replica::new(member.into(), data_centre.into()));
    }
    router.record_term(Term(2), position(1, 90));
    router.set_primary(Some(("a".into(), Term(2))));
    router.observe(&"a".into(), position(2, 100), at(0));
    router.record_proof(PositionProof { sent: at(0), position: position(2, 100) });
    router.observe(&"b".into(), b, at(10));
    router.observe(&"c".into(), c, at(10));
    router
}

fn replica(member: &str) -> ReadDecision {
    ReadDecision::Replica { member: member.into(), term: Term(2) }
}

fn primary() -> ReadDecision {
    ReadDecision::Primary { member: "a".into(), term: Term(2) }
}

/// Guards against reads on replicas that lack the session's writes, and against reads at the primary or a farther
/// replica that a nearer one could serve.
#[test_case(position(2, 100), position(2, 100), 50, replica("b"); "nearest replica that has it")]
#[test_case(position(2, 99), position(2, 100), 50, replica("c"); "replica of the region")]
#[test_case(position(2, 99), position(2, 99), 60, primary(); "primary when the wait is over")]
#[test_case(position(1, 120), position(1, 120), 60, primary(); "old term is behind at any offset")]
#[test_case(position(3, 120), position(2, 99), 60, primary(); "log that was not continued is not compared")]
fn route_needs_position(b: Position, c: Position, now: u64, expected: ReadDecision) {
    let requirement = ReadRequirement::Position(position(2, 100));
    assert_eq!(router(b, c).route(requirement, at(10), at(now)), expected);
}

/// Guards against equally near replicas of which the first serves all reads, and against reads at a replica that is
/// farther away or lacks the position.
#[test]
fn route_round_robin_alternates_between_equally_near() {
    let mut router = router(position(2, 100), position(2, 100));
    for member in ["d", "e"] {
        router.add(Replica::new(member.into(), "near".into()));
    }
    router.observe(&"d".into(), position(2, 100), at(10));
    router.observe(&"e".into(), position(2, 99), at(10));
    for requirement in
        [ReadRequirement::Position(position(2, 100)), ReadRequirement::Age(Duration::from_secs(1))]
    {
        let decide = |sequence| router.route_round_robin(requirement, at(10), at(20), sequence);
        let decisions: Vec<_> = (0..4).map(decide).collect();
        assert_eq!(decisions, ["b", "d", "b", "d"].map(replica), "{requirement:?}");
    }
}

/// Guards against waiting for replicas that cannot catch up in time.
#[test]
fn route_waits_only_for_replica_with_small_lag() {
    let mut router = router(position(2, 99), position(1, 1));
    let requirement = ReadRequirement::Position(position(2, 100));
    assert_eq!(router.route(requirement, at(10), at(20)), primary());
    router.record_proof(PositionProof { sent: at(5), position: position(2, 101) });
    router.observe(&"b".into(), position(2, 100), at(20));
    let requirement = ReadRequirement::Position(position(2, 101));
    let wait = ReadDecision::Wait { member: "b".into(), until: at(70) };
    assert_eq!(router.route(requirement, at(20), at(30)), wait);
}

/// Guards against reads for a session whose position is of an unknown term, and against reads without a primary.
#[test]
fn route_refuses_unknown_term() {
    let mut router = router(position(2, 100), position(2, 100));
    let refused = ReadDecision::Refuse(RefusalKind::NoMember);
    assert_eq!(router.route(ReadRequirement::Position(position(3, 1)), at(10), at(10)), refused);
    router.set_primary(Some(("a".into(), Term(3))));
    assert_eq!(router.route(ReadRequirement::Position(position(2, 50)), at(10), at(10)), refused);
    router.set_primary(None);
    assert_eq!(router.route(ReadRequirement::Primary, at(10), at(10)), refused);
}

/// Guards against stale reads on data that is older than allowed or whose age is not proved.
#[test_case(position(2, 100), 60, replica("b"); "age is proved")]
#[test_case(position(2, 99), 60, primary(); "nothing proves the age")]
#[test_case(position(2, 100), 500, primary(); "proof is too old")]
fn route_needs_proved_age(b: Position, now: u64, expected: ReadDecision) {
    let requirement = ReadRequirement::Age(Duration::from_millis(100));
    let mut router = router(b, position(2, 1));
    assert_eq!(router.route(requirement, at(now), at(now)), expected);
    router.set_primary(None);
    router.remove(&"a".into());
    let proved = matches!(expected, ReadDecision::Replica { .. });
    let without = router.route(requirement, at(now), at(now));
    assert_eq!(without == ReadDecision::Refuse(RefusalKind::StaleReadUnproved), !proved);
}

/// Guards against new reads for leaving or unresponsive members.
#[test]
fn route_avoids_leaving_and_unresponsive_members() {
    let mut router = router(position(2, 100), position(2, 100));
    let requirement = ReadRequirement::Position(position(2, 100));
    router.set_leaving(&"b".into(), true, at(20));
    assert_eq!(router.route(requirement, at(20), at(20)), replica("c"));
    assert_eq!(router.route(requirement, at(1010), at(1010)), primary());
    router.set_leaving(&"a".into(), true, at(1010));
    assert_eq!(router.route(requirement, at(1010), at(1020)), primary());
    let late = at(1010).plus(LEAVING_GRACE);
    let refused = ReadDecision::Refuse(RefusalKind::NoMember);
    assert_eq!(router.route(requirement, late, late), refused);
}

/// Guards against readers that share the answer to a query that was sent before they arrived, and against answers of a
/// replaced primary.
#[test]
fn read_index_answers_only_earlier_readers_with_open_gate() {
    let mut index = ReadIndex::new();
    index.add_reader(1);
    index.add_reader(2);
    let first = index.start_query(at(0)).expect("two readers wait");
    index.add_reader(3);
    let second = index.start_query(at(1)).expect("one reader waits");
    let unconfirmed = ReadIndexAnswer::Unconfirmed;
    assert_eq!(index.answered(second, position(1, 9), Gate::Closed), [(3, unconfirmed)]);
    let answer = ReadIndexAnswer::Position(position(1, 7));
    assert_eq!(index.answered(first, position(1, 7), Gate::Open), [(1, answer), (2, answer)]);
    assert_eq!(index.answered(first, position(1, 7), Gate::Open), []);

    index.add_reader(4);
    index.start_query(at(10)).expect("one reader waits");
    assert_eq!(index.expire(at(10).plus(READ_INDEX_TIMEOUT)), [(4, unconfirmed)]);
}
