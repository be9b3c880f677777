//! Attempts to replace a primary, step by step.

#[path = "support/sync_group.rs"]
mod support;

use hibiscusladder_core::{
    clock::{Instant, with_drift},
    position::{Position, Term},
    sync_group::{
        CLAIM_VALIDITY, ClaimGrant, Failover, FailoverAction, GrantedClaim, GroupView,
        MAX_PROMOTION_TIME, PROOF_WINDOW, PromotionRecord, Role, TAKEOVER_DELAY, Trigger,
        may_take_over,
    },
};
use support::{at, claimed, hold_all, id, polled, position, silent_primary, status};
use test_case::test_case;

/// Asserts that the next step promotes `member`, whose log ends at `end`, after the promotion was recorded.
fn assert_promotes(
    failover: &mut Failover,
    view: &GroupView,
    (member, end): (&str, Position),
    confirmed: bool,
    now: Instant,
) {
    let promotion = PromotionRecord {
        replaced: view.leader_term(),
        member: id(member),
        members: 3,
        position: end,
    };
    let actions = failover.step(view, &[], confirmed, now);
    assert_eq!(actions, [FailoverAction::Renew { promotion: Some(promotion) }]);
    assert!(failover.step(view, &[], confirmed, now).is_empty(), "not recorded yet");
    let grant = ClaimGrant::new(8, now);
    failover.renewed(Some(grant), now);
    let promote = FailoverAction::Promote { member: id(member), grant };
    assert_eq!(failover.step(view, &[], confirmed, now), [promote]);
}

fn hold(member: &str) -> FailoverAction {
    FailoverAction::Hold { member: id(member), term: Term(2) }
}

/// Whether a promotion is begun by recording it.
fn promotes(actions: &[FailoverAction]) -> bool {
    actions.iter().any(|action| matches!(action, FailoverAction::Renew { promotion: Some(_) }))
}

/// Guards against a promotion before all replicas hold the term: the old primary could still acknowledge a commit
/// through a replica that does not.
#[test]
fn failover_waits_for_every_replica() {
    let mut view = polled(0);
    view.poll_sent(&id("a"), at(100));
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    assert_eq!(failover.step(&view, &[], true, at(1000)), [hold("b"), hold("c")]);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(1010));
    failover.renewed(Some(ClaimGrant::new(8, at(4900))), at(4900));
    assert_eq!(failover.step(&view, &[], true, at(5000)), [hold("c")]);
}

/// Guards against the loss of commits that the primary of an earlier term has received as a replica, unknown to an
/// instance that could not reach it since.
#[test]
fn failover_waits_for_a_primary_of_an_earlier_term() {
    let mut view = polled(0);
    view.observe(&id("b"), status(Role::Primary, 2, position(2, 9), 0), at(2000));
    view.poll_sent(&id("b"), at(2100));
    let mut failover = claimed(Trigger::Silent, &view, 5000);
    failover.step(&view, &[], true, at(5000));
    view.observe(&id("c"), status(Role::Replica, 2, position(2, 9), 3), at(5010));
    let actions = failover.step(&view, &[], true, at(5200));
    assert!(!promotes(&actions), "{actions:?}");
    assert_eq!(actions, [FailoverAction::Demote { member: id("a"), term: Term(2) }]);
    view.observe(&id("a"), status(Role::Replica, 2, position(2, 30), 0), at(5210));
    let hold = FailoverAction::Hold { member: id("a"), term: Term(3) };
    assert_eq!(failover.step(&view, &[], true, at(5400)), [hold]);
    view.observe(&id("a"), status(Role::Replica, 2, position(2, 30), 3), at(5410));
    assert_promotes(&mut failover, &view, ("a", position(2, 30)), true, at(5500));
}

/// Guards against a promotion by an instance whose claim was not renewed, because another one has claimed meanwhile.
#[test]
fn failover_ends_when_its_claim_is_not_renewed() {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    assert!(promotes(&failover.step(&view, &[], true, at(1020))));
    failover.renewed(None, at(1030));
    let actions = failover.step(&view, &[], true, at(1040));
    assert_eq!(actions.last(), Some(&FailoverAction::Ended { replaced: false }));
    assert!(!failover.is_running());
}

/// Guards against a fence that stops the writes of a primary which still runs, although a member that has to answer
/// does not.
#[test_case(Trigger::Leaving, false; "leaving")]
#[test_case(Trigger::Stalled, false; "stalled")]
#[test_case(Trigger::Silent, true; "silent")]
fn failover_starts_while_a_replica_is_unresponsive(trigger: Trigger, starts: bool) {
    let mut view = polled(0);
    view.poll_sent(&id("c"), at(100));
    assert_eq!(Failover::default().start(trigger, &view, at(1000)), starts);
}

/// Guards against a promotion while another instance may still read at the old primary.
#[test]
fn failover_waits_for_the_window_or_confirmation() {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    assert!(failover.step(&view, &[], false, at(1010)).is_empty());
    failover.renewed(Some(ClaimGrant::new(8, at(2000))), at(2000));
    let early = at(1010).plus(PROOF_WINDOW);
    assert!(failover.clone().step(&view, &[], false, early).is_empty());
    let best = ("b", position(1, 9));
    assert_promotes(&mut failover.clone(), &view, best, true, at(1020));
    let late = at(1010).plus(with_drift(PROOF_WINDOW));
    assert_promotes(&mut failover, &view, best, false, late);
}

/// Guards against stale reads with proofs that another instance has got since it confirmed the term for an earlier attempt.
#[test_case(false, true; "first attempt for the term")]
#[test_case(true, false; "later attempt for the term")]
fn failover_counts_confirmations(repeats_term: bool, promoted: bool) {
    let mut view = silent_primary(0);
    let mut failover = Failover::default();
    assert!(failover.start(Trigger::Silent, &view, at(1000)));
    failover.step(&view, &[], false, at(1000));
    let grant = ClaimGrant::new(7, at(1000));
    failover.claimed(
        Some(GrantedClaim { grant, repeats_term, latest: None, may_lack_records: false }),
        at(1000),
    );
    hold_all(&mut view, 2, 1010);
    assert_eq!(promotes(&failover.step(&view, &[], true, at(1020))), promoted);
}

/// Guards against the loss of acknowledged commits that only a leaving replica, which may not be promoted, has
/// received.
#[test]
fn failover_keeps_commits_that_only_a_leaving_replica_has() {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    let actions = failover.step(&view, &[id("b")], true, at(1020));
    assert!(actions.contains(&FailoverAction::Ended { replaced: false }), "{actions:?}");
}

/// Guards against a fence that stops writes until proofs expire, although no member can be promoted.
#[test]
fn failover_ends_at_once_without_a_candidate() {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    let actions = failover.step(&view, &[id("b")], false, at(1020));
    assert_eq!(actions.last(), Some(&FailoverAction::Ended { replaced: false }), "{actions:?}");
}

/// Guards against the loss of commits that were acknowledged through a replica which was then removed from the group.
#[test_case(1500, 9, true; "the primary answered after the removal")]
#[test_case(1500, 20, false; "the primary had a longer log after the removal")]
#[test_case(900, 9, false; "the primary did not answer after the removal")]
fn failover_after_the_removal_of_a_replica(answered: u64, primary_lsn: u64, promoted: bool) {
    let mut view = polled(0);
    view.poll_sent(&id("c"), at(1000));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, primary_lsn), 0), at(answered));
    view.poll_sent(&id("a"), at(answered + 10));
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(1400));
    let mut failover = claimed(Trigger::Silent, &view, 3000);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(3010));
    let actions = failover.step(&view, &[], true, at(3020));
    assert_eq!(promotes(&actions), promoted, "{actions:?}");
}

/// Guards against the loss of commits that a replica received between its last answer and its removal from the group, or
/// before it was restarted without its log.
#[test_case(1500, 9, false; "the primary answered only before the replica was gone")]
#[test_case(2500, 9, true; "the primary answered after the replica was gone")]
#[test_case(2500, 20, false; "the primary had a longer log then")]
fn failover_after_a_replica_was_gone_without_an_unanswered_poll(
    answered: u64,
    primary_lsn: u64,
    promoted: bool,
) {
    for restarted in [false, true] {
        let mut view = polled(0);
        view.observe(&id("a"), status(Role::Primary, 1, position(1, primary_lsn), 0), at(answered));
        view.poll_sent(&id("a"), at(answered + 10));
        if restarted {
            view.reset_member(&id("c"), at(2000));
            view.observe(&id("c"), status(Role::Replica, 1, position(1, 0), 0), at(2600));
        } else {
            view.set_members(["a", "b"].map(|name| (id(name), None)), at(2000));
        }
        let mut failover = claimed(Trigger::Silent, &view, 3000);
        view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(3010));
        view.observe(&id("c"), status(Role::Replica, 1, position(1, 0), 2), at(3010));
        let actions = failover.step(&view, &[], true, at(3020));
        assert_eq!(promotes(&actions), promoted, "restarted: {restarted}, {actions:?}");
    }
}

/// Guards against a failover that is refused because a replica was restarted, although it has kept its log.
#[test]
fn failover_after_a_replica_was_restarted_with_its_log() {
    let mut view = silent_primary(0);
    view.reset_member(&id("c"), at(2000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 0), at(2600));
    let mut failover = claimed(Trigger::Silent, &view, 3000);
    hold_all(&mut view, 2, 3010);
    assert!(promotes(&failover.step(&view, &[], true, at(3020))));
}

/// Guards against commits that a replaced primary acknowledges through a member that returns while another one is
/// promoted: it is demoted first, and only holds that are confirmed after that count.
#[test]
fn failover_demotes_a_primary_that_answers() {
    let mut view = polled(900);
    let mut failover = claimed(Trigger::Stalled, &view, 1000);
    hold_all(&mut view, 2, 1010);
    let demote = FailoverAction::Demote { member: id("a"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(1020)), [demote]);
    assert!(failover.step(&view, &[], true, at(1030)).is_empty(), "no answer yet");
    view.observe(&id("a"), status(Role::Replica, 1, position(1, 9), 0), at(1040));
    assert_eq!(failover.step(&view, &[], true, at(1200)), [hold("b"), hold("c")]);
    hold_all(&mut view, 2, 1210);
    let replaced = ("b", position(1, 9));
    assert_promotes(&mut failover, &view, replaced, true, at(1220));
}

/// Guards against the loss of commits that a replaced primary acknowledged through a member that is not listed: a shorter
/// log than that of the primary does not do.
#[test_case(9, Some("b"); "the replica has all commits")]
#[test_case(12, Some("a"); "the primary has more commits and leads again")]
fn failover_while_a_member_is_not_listed(primary_lsn: u64, promoted: Option<&str>) {
    let mut view = polled(900);
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(950));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(960));
    let mut failover = claimed(Trigger::Stalled, &view, 1000);
    let hold_b = |view: &mut GroupView, ms| {
        view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(ms));
    };
    hold_b(&mut view, 1010);
    let demote = FailoverAction::Demote { member: id("a"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(1020)), [demote]);
    view.observe(&id("a"), status(Role::Replica, 1, position(1, primary_lsn), 0), at(1040));
    hold_b(&mut view, 1050);
    let actions = failover.step(&view, &[], true, at(1060));
    let recorded = actions.iter().find_map(|action| match action {
        FailoverAction::Renew { promotion } => promotion.clone(),
        _ => None,
    });
    assert_eq!(recorded.map(|record| record.member), promoted.map(id));
}

/// Guards against commits that a primary acknowledges which returns while the promotion of another member takes effect.
#[test]
fn failover_demotes_a_primary_that_returns() {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    assert_promotes(&mut failover, &view, ("b", position(1, 9)), true, at(1020));
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(1200));
    let demote = FailoverAction::Demote { member: id("a"), term: Term(2) };
    assert_eq!(failover.step(&view, &[], true, at(1210)), [demote]);
}

/// Guards against replicas that still hold the term after an attempt failed, so that no commit completes.
#[test]
fn failover_resumes_replicas_when_it_ends() {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(1010));
    failover.renewed(Some(ClaimGrant::new(8, at(10_900))), at(10_900));
    let actions = failover.step(&view, &[], false, at(11_100));
    let resume = FailoverAction::Resume { member: id("b") };
    assert_eq!(actions, [resume, FailoverAction::Ended { replaced: false }]);
}

/// Guards against a former claimant that releases replicas while another one has them hold a term: the old primary would
/// acknowledge commits that the next one does not have.
#[test_case(1900, 1; "claim about to end")]
#[test_case(2300, 0; "claim ended")]
fn failover_resumes_replicas_only_under_its_claim(after_ms: u64, resumed: usize) {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    let until = failover.grant().expect("the claim was granted").until;
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 2), at(1010));
    failover.renewed(None, at(1100));
    let now = at(1000 + after_ms + 150);
    assert_eq!(now < until, resumed > 0);
    failover.step(&view, &[], false, at(1000 + after_ms));
    let actions = failover.step(&view, &[], false, now);
    let resumes = actions.iter().filter(|action| matches!(action, FailoverAction::Resume { .. }));
    assert_eq!(resumes.count(), resumed, "{actions:?}");
    assert!(!failover.is_running());
}

/// Guards against a claim that ends while its failover goes on, and against two writes of the claim at once.
#[test]
fn failover_renews_its_claim_once() {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 2, 1010);
    assert!(failover.step(&view, &[], false, at(1010)).is_empty());
    let renew = FailoverAction::Renew { promotion: None };
    assert_eq!(failover.step(&view, &[], false, at(2400)), [renew]);
    assert!(failover.step(&view, &[], true, at(2500)).is_empty(), "the renewal is on its way");
    failover.renewed(Some(ClaimGrant::new(8, at(2400))), at(2510));
    assert_promotes(&mut failover, &view, ("b", position(1, 9)), true, at(2520));
}

/// Guards against a promotion that takes effect after its attempt has ended, and then undoes a later one.
#[test]
fn failover_requests_no_promotion_shortly_before_it_ends() {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 0);
    hold_all(&mut view, 2, 10);
    let (mut requests, mut ended) = (Vec::new(), None);
    for now in (20..9000).step_by(100).map(at) {
        for action in failover.step(&view, &[], true, now) {
            match action {
                FailoverAction::Renew { .. } => {
                    failover.renewed(Some(ClaimGrant::new(8, now)), now);
                }
                FailoverAction::Promote { grant, .. } => {
                    assert!(grant.is_valid(now));
                    requests.push(now);
                }
                FailoverAction::Ended { .. } => ended = Some(now),
                _ => {}
            }
        }
        if ended.is_some() {
            break;
        }
    }
    assert!(requests.len() > 1, "{requests:?}");
    let last = requests.last().expect("a request").plus(MAX_PROMOTION_TIME);
    assert!(ended.is_some_and(|ended| ended >= last), "{requests:?}, {ended:?}");
}

/// Guards against another instance that claims before a promotion of the last moment has taken effect.
#[test]
fn may_take_over_after_the_last_promotion() {
    let grant = ClaimGrant::new(7, at(0));
    let last_effect = with_drift(CLAIM_VALIDITY) + MAX_PROMOTION_TIME;
    assert!(grant.is_valid(at(0)) && !grant.is_valid(at(0).plus(CLAIM_VALIDITY)));
    assert!(!may_take_over(at(0), at(0).plus(last_effect)));
    assert!(may_take_over(at(0), at(0).plus(TAKEOVER_DELAY)));
}

/// Guards against a promotion without holds: a member reports to hold the highest term, and no number follows it.
#[test]
fn failover_after_the_highest_term_needs_holds() {
    let mut view = polled(0);
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), u64::MAX), at(500));
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    hold_all(&mut view, 1, 1010);
    let actions = failover.step(&view, &[], true, at(1020));
    assert!(!promotes(&actions), "{actions:?}");
}

/// Guards against UNKNOWN answers in a planned replacement: running writes can complete before the replicas hold the
/// term.
#[test]
fn failover_of_a_leaving_primary_lets_writes_complete() {
    let view = polled(0);
    let mut failover = claimed(Trigger::Leaving, &view, 1000);
    assert_eq!(failover.fence(), Some((Term(2), false)));
    assert!(failover.step(&view, &[], false, at(1100)).is_empty());
    assert_eq!(failover.step(&view, &[], false, at(1300)), [hold("b"), hold("c")]);
}

/// Guards against two instances that replace the same primary: an attempt ends when another one has succeeded.
#[test]
fn failover_ends_when_a_new_primary_answers() {
    let mut view = polled(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    view.observe(&id("c"), status(Role::Primary, 2, position(1, 9), 0), at(1100));
    let actions = failover.step(&view, &[], false, at(1100));
    assert_eq!(actions, [FailoverAction::Ended { replaced: true }]);
}

/// Guards against commands to members without a failover claim.
#[test]
fn failover_without_a_claim_does_nothing() {
    let view = polled(0);
    let mut failover = Failover::default();
    assert!(failover.start(Trigger::Silent, &view, at(1000)));
    failover.claimed(None, at(1010));
    assert!(failover.step(&view, &[], true, at(1020)).is_empty());
    assert!(
        !failover.start(Trigger::Silent, &view, at(1100)),
        "an attempt started during the pause after a failed one"
    );
}
