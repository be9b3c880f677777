//! Views of groups with a synchronous replica: leadership proofs and positions.

#[path = "support/sync_group.rs"]
mod support;

use hibiscusladder_core::{
    position::Term,
    sync_group::{
        BARRIER_TTL, FENCE_TTL, LeaderInfo, LeaderPosition, PROOF_WINDOW, Role, SUSPICION_TIMEOUT,
    },
};
use support::{at, group, hold_all, id, polled, position, status};
use test_case::test_case;

/// Guards against stale reads at a replaced primary: a promotion ends the hold of the replicas, and until they know the
/// new primary they answer polls as before the fence.
#[test_case(true; "fence announced by another instance")]
#[test_case(false; "fence observed at a replica")]
fn leader_proven_until_needs_all_replicas_after_a_fence(announced: bool) {
    let mut view = polled(0);
    if announced {
        view.fence(Term(2), at(500));
    } else {
        view.observe(&id("c"), status(Role::Replica, 1, position(1, 9), 2), at(500));
    }
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(3000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 9), 0), at(3000));
    let before = view.leader_proven_until(at(3000));
    assert!(before <= Some(at(500).plus(PROOF_WINDOW)), "{before:?}");
    // No promotion took place if the other replica holds no higher term either.
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(3100));
    assert_eq!(view.leader_proven_until(at(3100)), Some(at(3000).plus(PROOF_WINDOW)));
    // From then on one replica suffices again.
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(4000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 9), 0), at(4000));
    assert_eq!(view.leader_proven_until(at(4000)), Some(at(4000).plus(PROOF_WINDOW)));
}

/// Guards against reads that are still refused after a fence, although an acknowledged commit proves the leadership.
#[test]
fn commit_after_a_fence_proves_leadership() {
    let mut view = polled(0);
    view.fence(Term(2), at(500));
    view.commit_acknowledged(&id("a"), position(1, 10), at(3000));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 10), 0), at(4000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 10), 0), at(4000));
    assert_eq!(view.leader_proven_until(at(4000)), Some(at(4000).plus(PROOF_WINDOW)));
}

/// Guards against stale reads of a process that starts during a failover and has not observed the fence.
#[test]
fn leader_proven_until_needs_all_replicas_after_a_start() {
    let mut view = group();
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(100));
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(100));
    assert_eq!(view.leader_proven_until(at(100)), None);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 9), 0), at(100));
    assert_eq!(view.leader_proven_until(at(100)), Some(at(100).plus(PROOF_WINDOW)));
}

/// Guards against stale reads at a replaced primary: its own answer alone proves nothing.
#[test]
fn leader_proven_until_needs_a_replica_without_hold() {
    let mut view = group();
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(100));
    assert_eq!(view.leader_proven_until(at(100)), None);
    hold_all(&mut view, 2, 100);
    assert_eq!(view.leader_proven_until(at(100)), None);
    hold_all(&mut view, 0, 150);
    assert_eq!(view.leader_proven_until(at(200)), Some(at(100).plus(PROOF_WINDOW)));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(900));
    assert_eq!(view.leader_proven_until(at(900)), Some(at(150).plus(PROOF_WINDOW)));
}

/// Guards against reads that continue at the old primary after a new one is known.
#[test]
fn leader_is_the_highest_term() {
    let mut view = polled(0);
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(10));
    let leader = view.leader(at(10)).expect("b leads");
    assert_eq!((leader.member, leader.term), (id("b"), Term(2)));
}

/// Guards against reads and writes at a primary although a replica reports a newer term.
#[test]
fn leader_is_unknown_until_the_primary_of_a_newer_term_answers() {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 2, position(2, 1), 0), at(10));
    assert_eq!(view.leader(at(10)), None);
    assert_eq!(view.leader_proven_until(at(10)), None);
}

/// Guards against polls that are required although acknowledged commits prove the leadership.
#[test]
fn commit_acknowledged_proves_leadership() {
    let mut view = polled(0);
    view.commit_acknowledged(&id("a"), position(1, 12), at(500));
    assert_eq!(view.leader_proven_until(at(500)), Some(at(500).plus(PROOF_WINDOW)));
}

/// Guards against a late answer of a replaced primary that counts as proof for the new one.
#[test]
fn commit_acknowledged_of_an_older_term_proves_nothing() {
    let mut view = polled(0);
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(100));
    view.commit_acknowledged(&id("a"), position(1, 12), at(2000));
    assert_eq!(view.leader(at(2000)).expect("b leads").member, id("b"));
    assert!(
        view.leader_proven_until(at(2000)).is_none_or(|until| until <= at(100).plus(PROOF_WINDOW))
    );
}

/// Guards against stale reads after a confirmed fence, when another instance still sends an older proof.
#[test]
fn discard_proofs_rejects_older_proofs_of_others() {
    let mut view = polled(100);
    view.replicas_hold(Term(2), at(300));
    assert_eq!(view.leader_proven_until(at(300)), None);
    let info = |proof_sent| LeaderInfo {
        member: id("a"),
        term: Term(1),
        proof_sent: Some(at(proof_sent)),
        position: None,
    };
    view.merge_leader_info(&info(250));
    assert_eq!(view.leader_proven_until(at(400)), None);
    view.merge_leader_info(&info(350));
    assert_eq!(view.leader_proven_until(at(400)), None, "by a member that holds nothing");
    view.failover_abandoned(Term(2));
    view.merge_leader_info(&info(350));
    assert_eq!(view.leader_proven_until(at(400)), Some(at(350).plus(PROOF_WINDOW)));
}

/// Guards against a caller that is told of a commit which the next primary may lack, and against acknowledgements that are
/// withheld for longer than the failover lasts.
#[test]
fn refuses_commits_of_a_term_that_is_replaced() {
    let mut view = polled(100);
    assert!(!view.refuses(Term(1), at(200)));
    view.replicas_hold(Term(2), at(300));
    assert!(view.refuses(Term(1), at(310)) && !view.refuses(Term(2), at(310)));
    assert!(!view.refuses(Term(1), at(300).plus(BARRIER_TTL)), "nothing more was heard");
    let mut abandoned = view.clone();
    abandoned.failover_abandoned(Term(2));
    assert!(!abandoned.refuses(Term(1), at(310)));
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(400));
    assert!(view.refuses(Term(1), at(300).plus(BARRIER_TTL)), "replaced");
}

/// Guards against stale reads: a commit that a replaced primary acknowledges through a member that holds nothing is no proof
/// that it still leads.
#[test]
fn commit_acknowledged_while_the_replicas_hold_proves_nothing() {
    let mut view = polled(100);
    view.fence(Term(2), at(300));
    view.replicas_hold(Term(2), at(300));
    view.commit_acknowledged(&id("a"), position(1, 10), at(400));
    assert!(view.is_leader_uncertain());
    assert_eq!(view.leader_proven_until(at(410)), None);
}

/// Guards against writes of an instance that has just started and may not know of a failover yet.
#[test]
fn leader_is_fenced_until_the_first_polls_are_answered() {
    let mut view = group();
    ["a", "b", "c"].iter().for_each(|member| view.poll_sent(&id(member), at(0)));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(0));
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(0));
    assert!(view.leader(at(100)).is_some_and(|leader| leader.fenced));
    let late = at(0).plus(SUSPICION_TIMEOUT);
    assert!(view.leader(late).is_some_and(|leader| !leader.fenced));
}

/// Guards against writes to a primary that is being replaced, and against a fence that never expires.
#[test]
fn fence_stops_writes_until_it_expires() {
    let mut view = polled(0);
    view.fence(Term(2), at(100));
    assert!(view.leader(at(100)).expect("a leads").fenced);
    let later = at(100).plus(FENCE_TTL);
    assert!(!view.leader(later).expect("a leads").fenced);
}

/// Guards against bounded reads that return older data than they allow.
#[test_case(100, Some(9); "the oldest that is new enough")]
#[test_case(101, Some(15); "a newer one")]
#[test_case(401, None; "nothing is new enough")]
fn position_at_is_the_lowest_that_suffices(oldest: u64, lsn: Option<u64>) {
    let mut view = polled(100);
    view.commit_acknowledged(&id("a"), position(1, 15), at(250));
    view.commit_acknowledged(&id("a"), position(1, 20), at(400));
    let found =
        view.position_at(at(oldest), at(400)).map(|leader_position| leader_position.position);
    assert_eq!(found, lsn.map(|lsn| position(1, lsn)));
}

/// Guards against bounded reads with a position that a newer primary may have passed.
#[test]
fn position_at_needs_a_proof() {
    let view = polled(100);
    let lapsed = at(100).plus(PROOF_WINDOW);
    assert_eq!(view.position_at(lapsed, lapsed), None);
}

/// Guards against the use of a replaced primary's positions in the term of its successor.
#[test]
fn positions_of_an_older_term_are_dropped() {
    let mut view = polled(100);
    view.observe(&id("b"), status(Role::Primary, 2, position(2, 1), 0), at(200));
    view.merge_leader_info(&LeaderInfo {
        member: id("a"),
        term: Term(1),
        proof_sent: None,
        position: Some(LeaderPosition { sent: at(210), position: position(1, 99) }),
    });
    let info = view.leader_info(at(220)).expect("b leads");
    assert_eq!(info.position.map(|leader_position| leader_position.position), Some(position(2, 1)));
}

fn leader_info(proof_ms: Option<u64>, position_ms: u64) -> LeaderInfo {
    let position = LeaderPosition { sent: at(position_ms), position: position(1, 9) };
    let proof_sent = proof_ms.map(at);
    LeaderInfo { member: id("a"), term: Term(1), proof_sent, position: Some(position) }
}

/// Guards against a group that nobody knows to be without a primary: the member says that it is a replica now, and older
/// information of other instances, or their answers of the replica to reads, would make it the leader again.
#[test_case(leader_info(Some(900), 950), false; "older proof")]
#[test_case(leader_info(None, 1200), false; "newer position without a proof")]
#[test_case(leader_info(Some(1100), 1100), true; "newer proof")]
fn merge_leader_info_after_the_member_became_a_replica(info: LeaderInfo, leads: bool) {
    let mut view = polled(500);
    view.observe(&id("a"), status(Role::Replica, 1, position(1, 9), 0), at(1000));
    view.merge_leader_info(&info);
    assert_eq!(view.leader(at(1300)).is_some(), leads);
}

/// Guards against an old answer of a member that overrules later evidence that it leads.
#[test]
fn observe_answer_older_than_an_acknowledged_commit() {
    let mut view = group();
    view.commit_acknowledged(&id("a"), position(1, 9), at(1000));
    view.observe(&id("a"), status(Role::Replica, 1, position(1, 8), 0), at(900));
    assert!(view.leader(at(1300)).is_some());
    view.observe(&id("a"), status(Role::Replica, 1, position(1, 9), 0), at(1100));
    assert_eq!(view.leader(at(1300)), None);
}

/// Guards against writes that go on to a member that refuses them as a replica, at an instance that polls no members.
#[test]
fn refused_as_replica_ends_the_leadership() {
    let mut view = polled(500);
    view.refused_as_replica(&id("a"), at(1000));
    assert_eq!(view.leader(at(1010)), None);
    view.merge_leader_info(&leader_info(Some(900), 950));
    assert_eq!(view.leader(at(1020)), None);
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(1100));
    assert!(view.leader(at(1110)).is_some(), "it was restarted");
}
