//! Ends of attempts to replace a primary: what was commanded and may still take effect is undone or followed up.

#[path = "support/sync_group.rs"]
mod support;

use hibiscusladder_core::{
    name::MemberId,
    position::Term,
    sync_group::{
        COMMAND_TIMEOUT, ClaimGrant, Failover, FailoverAction, GrantedClaim, GroupView,
        OrphanDetector, PromotionRecord, Role, Trigger,
    },
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

fn resumed(actions: &[FailoverAction]) -> Vec<MemberId> {
    let resumed = actions.iter().filter_map(|action| match action {
        FailoverAction::Resume { member } => Some(member.clone()),
        _ => None,
    });
    resumed.collect()
}

/// Guards against a replica that receives nothing from the new primary, and a group that never commits again: the replica
/// holds a term above that of the new primary, which an earlier attempt or this one has commanded.
#[test_case(3; "hold of this attempt above an earlier one")]
#[test_case(7; "higher hold of another attempt")]
fn failover_releases_holds_above_the_new_term(held: u64) {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 2), at(500));
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    failover.step(&view, &[], true, at(1000));
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(2000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), held), at(2000));
    let actions = failover.step(&view, &[], true, at(2010));
    assert!(actions.contains(&FailoverAction::Ended { replaced: true }), "{actions:?}");
    assert!(resumed(&actions).contains(&id("c")), "{actions:?}");
    for member in ["b", "c"] {
        let role = if member == "b" { Role::Primary } else { Role::Replica };
        view.observe(&id(member), status(role, 2, position(1, 9), 0), at(2200));
    }
    failover.step(&view, &[], true, at(2300));
    assert!(failover.is_idle());
}

/// Guards against a primary that is replaced, with the next hold one higher, because members hold a term which an attempt has
/// left that nobody carries on: each replacement would leave a hold again.
#[test]
fn failover_for_an_orphaned_term_releases_the_members() {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 5), at(500));
    let mut failover = claimed(Trigger::Orphaned, &view, 1000);
    assert!(failover.step(&view, &[], false, at(1010)).is_empty(), "the primary has not answered");
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(1020));
    let actions = failover.step(&view, &[], false, at(1030));
    let resume = FailoverAction::Resume { member: id("c") };
    assert_eq!(actions, [resume, FailoverAction::Repaired]);
    assert_eq!(failover.fence(), None);
}

/// Guards against the release of members for a primary that does not answer or may have been replaced: it would acknowledge
/// commits that the member lacks which was promoted.
#[test_case(false, true; "the primary does not answer")]
#[test_case(true, false; "the promoted member does not answer")]
fn failover_for_an_orphaned_term_of_a_replaced_primary(primary: bool, promoted: bool) {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 5), at(500));
    let mut failover = Failover::default();
    assert!(failover.start(Trigger::Orphaned, &view, at(1000)));
    failover.step(&view, &[], false, at(1000));
    let latest = PromotionRecord {
        replaced: Term(1),
        member: id("b"),
        members: 3,
        position: position(1, 9),
    };
    let granted = GrantedClaim {
        grant: ClaimGrant::new(7, at(1000)),
        repeats_term: false,
        latest: Some(latest),
        may_lack_records: false,
    };
    failover.claimed(Some(granted), at(1000));
    if primary {
        view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(1020));
    } else {
        view.poll_sent(&id("a"), at(1010));
    }
    if promoted {
        view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(1020));
    } else {
        view.poll_sent(&id("b"), at(1010));
    }
    assert!(failover.step(&view, &[], false, at(1100)).is_empty());
    let actions = failover.step(&view, &[], false, at(1900));
    assert!(resumed(&actions).is_empty(), "{actions:?}");
    assert!(failover.fence().is_some(), "the primary is replaced");
}

/// Guards against writes that are stopped for seconds by a hold which nobody needs, as when a member comes back with it, and
/// against the release of members that a running attempt needs.
#[test_case(false, 1100, true; "no attempt is announced")]
#[test_case(true, 1100, false; "an attempt is announced")]
#[test_case(true, 5100, true; "an attempt takes too long")]
fn orphan_detector_after_a_hold(announced: bool, ms: u64, is_orphaned: bool) {
    let mut view = polled(0);
    let mut orphans = OrphanDetector::default();
    orphans.observe(&view, at(50));
    assert!(!orphans.is_fenced());
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 5), at(100));
    for now in (100..=100 + ms).step_by(100) {
        if announced {
            view.fence(Term(5), at(now));
        }
        orphans.observe(&view, at(now));
    }
    assert!(orphans.is_fenced());
    assert_eq!(orphans.is_orphaned(at(100 + ms)), is_orphaned);
}

/// Guards against a primary that is replaced without need while an instance that has just started waits for the answers of members:
/// nobody holds a term then.
#[test]
fn orphan_detector_while_first_answers_are_awaited() {
    let mut view = GroupView::default();
    view.set_members(["a", "b", "c"].map(|name| (id(name), None)), at(0));
    let mut orphans = OrphanDetector::default();
    for now in (0..3000).step_by(100) {
        view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(now));
        view.poll_cancelled(&id("b"), at(now.saturating_sub(100)));
        view.poll_sent(&id("b"), at(now));
        orphans.observe(&view, at(now));
        assert!(orphans.is_fenced(), "{now}");
        assert!(!orphans.is_orphaned(at(now)), "{now}");
    }
}
