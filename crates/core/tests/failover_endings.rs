//! Ends of attempts to replace a primary: what was commanded and may still take effect is undone or followed up.

#[path = "support/sync_group.rs"]
mod support;

use hibiscusladder_core::{
    name::MemberId,
    position::Term,
    sync_group::{COMMAND_TIMEOUT, ClaimGrant, Failover, FailoverAction, GroupView, Role, Trigger},
};
use support::{at, claimed, id, polled, position, status};
use test_case::test_case;

const DEMOTE_A: u64 = 1020;

/// The attempt of an instance that lists `a` and `b` only. It has commanded `a` to become a replica, and `a` has answered
/// nothing since; then it learned that `b` lacks commits of `a`.
fn demoting() -> (GroupView, Failover) {
    let mut view = polled(900);
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(950));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(960));
    let mut failover = claimed(Trigger::Stalled, &view, 1000);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(1010));
    let demote = FailoverAction::Demote { member: id("a"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(DEMOTE_A)), [demote]);
    // The answer to an earlier poll.
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 12), 0), at(DEMOTE_A - 10));
    view.poll_sent(&id("a"), at(DEMOTE_A));
    let actions = failover.step(&view, &[], true, at(DEMOTE_A + 600));
    assert!(!actions.contains(&FailoverAction::Ended { replaced: false }), "{actions:?}");
    (view, failover)
}

fn recorded_member(actions: &[FailoverAction]) -> Option<MemberId> {
    actions.iter().find_map(|action| match action {
        FailoverAction::Renew { promotion } => {
            promotion.as_ref().map(|promotion| promotion.member.clone())
        }
        _ => None,
    })
}

/// Guards against a group that has no primary, because a demotion took effect after its attempt was given up.
#[test]
fn failover_follows_up_a_late_demotion() {
    let (mut view, mut failover) = demoting();
    assert!(failover.fence().is_some(), "writes must not go to a member that may be a replica");
    view.observe(&id("a"), status(Role::Replica, 1, position(1, 12), 0), at(1650));
    let hold = FailoverAction::Hold { member: id("b"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(1660)), [hold]);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(1670));
    let actions = failover.step(&view, &[], true, at(1700));
    assert_eq!(recorded_member(&actions), Some(id("a")), "{actions:?}");
}

/// Guards against an attempt that goes on fencing a primary whose demotion has failed, or that waits for ever for a member
/// which answers nothing.
#[test_case(true; "it answers as primary")]
#[test_case(false; "it answers nothing")]
fn failover_ends_after_a_failed_demotion(answers: bool) {
    let (mut view, mut failover) = demoting();
    failover.renewed(Some(ClaimGrant::new(8, at(2500))), at(2500));
    if answers {
        let sent = at(DEMOTE_A).plus(COMMAND_TIMEOUT);
        view.observe(&id("a"), status(Role::Primary, 1, position(1, 12), 0), sent);
    }
    let actions = failover.step(&view, &[], true, at(2600));
    let resume = FailoverAction::Resume { member: id("b") };
    assert_eq!(actions, [resume, FailoverAction::Ended { replaced: false }]);
}

/// Guards against a replica that holds the term of an attempt that has ended, because the answer to the command, or the
/// release, was lost: it would receive nothing.
#[test]
fn failover_releases_replicas_until_they_answer() {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    assert_eq!(failover.step(&view, &[], false, at(1000)).len(), 2, "both replicas are commanded");
    failover.renewed(Some(ClaimGrant::new(8, at(10_900))), at(10_900));
    let resume = |member| FailoverAction::Resume { member: id(member) };
    let actions = failover.step(&view, &[], false, at(11_100));
    let ended = FailoverAction::Ended { replaced: false };
    assert_eq!(actions, [resume("b"), resume("c"), ended]);
    assert!(!failover.is_running() && !failover.is_idle());
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(11_110));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 2), at(11_110));
    assert_eq!(failover.step(&view, &[], false, at(11_300)), [resume("c")]);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 0), at(11_310));
    assert!(failover.step(&view, &[], false, at(11_500)).is_empty());
    assert!(failover.is_idle());
}

/// Guards against a late demotion of a primary that was promoted meanwhile: terms that are only held do not count.
#[test]
fn failover_demotes_no_later_primary() {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 5), at(500));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(990));
    let mut failover = claimed(Trigger::Stalled, &view, 1000);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 6), at(1010));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 6), at(1010));
    let demote = FailoverAction::Demote { member: id("a"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(1020)), [demote]);
}

/// Guards against a group that never gets a primary again, although all members are back with their logs after a replica was
/// gone; and against the loss of commits if the replica has lost its log.
#[test_case(8, true; "with its log")]
#[test_case(3, false; "without its log")]
fn failover_after_a_replica_has_returned(received: u64, is_promoted: bool) {
    let mut view = polled(0);
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(2000));
    view.set_members(["a", "b", "c"].map(|name| (id(name), None)), at(5000));
    view.poll_sent(&id("a"), at(5000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, received), 0), at(5000));
    let mut failover = claimed(Trigger::Silent, &view, 6000);
    failover.step(&view, &[], true, at(6000));
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(6010));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, received), 2), at(6010));
    let actions = failover.step(&view, &[], true, at(6020));
    assert_eq!(recorded_member(&actions).is_some(), is_promoted, "{actions:?}");
}
