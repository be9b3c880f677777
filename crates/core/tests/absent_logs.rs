//! Members that are not listed, and whose logs may have commits that no listed member has.

#[path = "support/sync_group.rs"]
mod support;

use std::collections::BTreeSet;

use hibiscusladder_core::{
    name::LogId,
    position::Term,
    sync_group::{
        FailoverAction, GroupView, ListedMember, PromotionRule, Role, Stop, Trigger, Verdict,
    },
};
use support::{at, claimed, hold_all, id, polled, position, status};
use test_case::test_case;

fn logs(names: &[&str]) -> BTreeSet<LogId> {
    names.iter().map(|name| LogId::new(name)).collect()
}

/// A member that has come back under another id, with the log of an earlier one.
fn returned(member: &str, log: &str) -> ListedMember {
    ListedMember { member: id(member), log: LogId::new(log), published: None }
}

fn rule(since: u64) -> PromotionRule {
    PromotionRule {
        replaced: Term(1),
        target: Term(2),
        since: at(since),
        latest: None,
        may_lack_records: false,
        stop: Stop::Pending,
    }
}

/// The view of an instance that has started at 5000 and lists `c` only, which received less than the others.
fn started_beside_c() -> GroupView {
    let mut view = GroupView::default();
    view.set_members([(id("c"), None)], at(5000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 3), 2), at(5100));
    view
}

/// Guards against the loss of commits after a restart of the claimant while the primary and the only replica with its latest
/// commits are down (`review/7`), and against a group that stays without a primary when one of them is back.
#[test_case(&["a", "b", "c"], &[], Some("b2"); "one of two is back")]
#[test_case(&["a", "b", "c", "d"], &[], None; "one of three is back")]
#[test_case(&["a", "b", "c", "d"], &["d"], Some("b2"); "one of three is back and one declared lost")]
fn verdict_of_a_restarted_instance(recorded: &[&str], lost: &[&str], promoted: Option<&str>) {
    let mut view = started_beside_c();
    view.record_logs(logs(recorded), logs(lost));
    let lacking = rule(5050).verdict(&view, &[], at(5200));
    assert!(matches!(lacking, Verdict::LacksLogs(_)), "{lacking:?}");
    let listed = [returned("c", "c"), returned("b2", "b")];
    view.set_members(listed, at(5300));
    view.observe(&id("b2"), status(Role::Replica, 1, position(1, 9), 2), at(5400));
    let candidate = match rule(5050).verdict(&view, &[], at(5500)) {
        Verdict::Candidate { member, .. } => Some(member),
        _ => None,
    };
    assert_eq!(candidate, promoted.map(id));
}

/// Guards against a group that stays out of service although an operator has declared the logs lost which it waits for.
#[test]
fn verdict_after_the_others_were_declared_lost() {
    let mut view = started_beside_c();
    view.record_logs(logs(&["a", "b", "c"]), logs(&["a", "b"]));
    let candidate = Verdict::Candidate { member: id("c"), position: position(1, 3) };
    assert_eq!(rule(5050).verdict(&view, &[], at(5200)), candidate);
}

/// Guards against the loss of commits that the primary and a replica had which are both gone, and against a group without a
/// primary although the replica is back under another id.
#[test_case(None, None; "neither is back")]
#[test_case(Some(9), Some("b2"); "the replica is back with its log")]
#[test_case(Some(1), None; "the replica is back without its log")]
fn verdict_after_two_members_have_left(received: Option<u64>, promoted: Option<&str>) {
    let mut view = polled(0);
    view.set_members([(id("c"), None)], at(2000));
    if let Some(received) = received {
        view.set_members([returned("c", "c"), returned("b2", "b")], at(4000));
        view.observe(&id("b2"), status(Role::Replica, 1, position(1, received), 2), at(6010));
    }
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 2), at(6010));
    let candidate = match rule(6000).verdict(&view, &[], at(6020)) {
        Verdict::Candidate { member, .. } => Some(member),
        _ => None,
    };
    assert_eq!(candidate, promoted.map(id));
}

/// Guards against a hold that keeps a returned primary from committing, in an attempt that cannot succeed.
#[test]
fn failover_without_the_logs_holds_nothing() {
    let mut view = started_beside_c();
    view.record_logs(logs(&["a", "b", "c"]), logs(&[]));
    let mut failover = claimed(Trigger::Silent, &view, 6000);
    let actions = failover.step(&view, &[], true, at(6010));
    let is_hold = |action: &FailoverAction| matches!(action, FailoverAction::Hold { .. });
    assert!(!actions.iter().any(is_hold), "{actions:?}");
    assert!(actions.contains(&FailoverAction::Ended { replaced: false }), "{actions:?}");
}

/// Guards against a record that keeps a log which the group no longer needs, so that a later failover waits for it, and
/// against one that loses a log whose commits no other replica has.
#[test_case(9, false; "a replica has what the primary had since")]
#[test_case(8, true; "no replica has it")]
fn logs_to_record_after_a_departure(received: u64, is_kept: bool) {
    let mut view = polled(0);
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(2000));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(2100));
    view.observe(&id("b"), status(Role::Replica, 1, position(1, received), 0), at(2100));
    let recorded = view.logs_to_record(&logs(&["a", "b", "c"]));
    assert_eq!(recorded.contains("c"), is_kept, "{recorded:?}");
    assert!(recorded.is_superset(&logs(&["a", "b"])));
}

/// Guards against reads at a replaced primary that takes itself for the only member, because the others are not listed.
#[test]
fn leader_proven_until_needs_a_replica_of_a_recorded_group() {
    for recorded in [logs(&["a"]), logs(&["a", "b", "c"])] {
        let is_alone = recorded.len() == 1;
        let mut view = GroupView::default();
        view.record_logs(recorded, logs(&[]));
        view.set_members([(id("a"), None)], at(0));
        view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(100));
        assert_eq!(view.leader_proven_until(at(200)).is_some(), is_alone);
    }
}

/// Guards against the loss of commits that only the primary and a member have which has joined while the store was away, so
/// that it is neither listed nor recorded (`review/6`).
#[test]
fn verdict_while_a_new_member_is_not_listed() {
    let mut view = polled(0);
    for (lsn, sent) in [(20, 100), (30, 200), (31, 205)] {
        view.commit_acknowledged(&id("a"), position(1, lsn), at(sent));
        // The third commit was sent before the second was answered.
        view.commit_passed_on(position(1, lsn), at(sent), at(sent + 10));
    }
    view.poll_sent(&id("a"), at(1000));
    hold_all(&mut view, 2, 5100);
    assert_eq!(rule(5000).verdict(&view, &[], at(5200)), Verdict::NoCandidate);
    view.set_members(["a", "b", "c", "d"].map(|name| (id(name), None)), at(5300));
    view.observe(&id("d"), status(Role::Replica, 1, position(1, 21), 2), at(5310));
    let candidate = Verdict::Candidate { member: id("d"), position: position(1, 21) };
    assert_eq!(rule(5000).verdict(&view, &[], at(5400)), candidate);
}

/// Guards against the loss of such commits when the claimant has passed on none of the group, and other instances have
/// (`review/11`): also when it learns of a term before it passes on a commit of it, and when an instance tells older ones.
#[test]
fn verdict_while_others_have_passed_on_commits() {
    let mut other = polled(0);
    for (lsn, sent) in [(20, 100), (30, 200)] {
        other.commit_passed_on(position(1, lsn), at(sent), at(sent + 10));
    }
    let told = other.acknowledged_position().expect("a position");
    assert_eq!(other.passed_on_at(), Some(at(210)));
    let mut view = polled(0);
    view.learn_acknowledged(told);
    view.learn_acknowledged(position(1, 3));
    view.poll_sent(&id("a"), at(1000));
    hold_all(&mut view, 2, 5100);
    assert_eq!(rule(5000).verdict(&view, &[], at(5200)), Verdict::NoCandidate);
    view.set_members(["a", "b", "c", "d"].map(|name| (id(name), None)), at(5300));
    view.observe(&id("d"), status(Role::Replica, 1, position(1, 21), 2), at(5310));
    let candidate = Verdict::Candidate { member: id("d"), position: position(1, 21) };
    assert_eq!(rule(5000).verdict(&view, &[], at(5400)), candidate);

    view.commit_passed_on(position(1, 40), at(6000), at(6010));
    view.learn_acknowledged(position(2, 50));
    view.commit_passed_on(position(2, 60), at(7000), at(7010));
    assert_eq!(view.acknowledged_position(), Some(position(2, 50)));
}

/// Guards against requests that wait until their deadline for a primary that cannot come, and against refusals while a
/// failover is near.
#[test_case(&["a", "b", "c"], false; "only the primary does not answer")]
#[test_case(&["b", "c"], false; "only the primary is gone")]
#[test_case(&["c"], true; "the primary and a replica are gone")]
#[test_case(&["a", "c"], true; "a replica is gone and the primary does not answer")]
fn awaits_logs_without_a_primary(listed: &[&str], awaits: bool) {
    let mut view = polled(0);
    view.poll_sent(&id("a"), at(100));
    view.set_members(listed.iter().map(|name| (id(name), None)), at(2000));
    assert_eq!(view.awaits_logs(at(5000)), awaits);
}
