//! Failover claims, attempts and records of promotions after the store was restored from an older copy.

#[path = "support/sync_group.rs"]
mod support;

use std::time::Duration;

use hibiscusladder_core::{
    name::Group,
    position::{Position, Term},
    store_version::StoreVersion,
    sync_group::{
        ClaimGrant, Failover, FailoverAction, GrantedClaim, GroupView, PreviousClaim,
        PromotionRecord, PromotionRecords, PromotionRule, RecordedPromotion, Role, Stop,
        TAKEOVER_DELAY, Trigger, Verdict, may_claim, next_generation, record_generation,
    },
};
use support::{at, claimed, group, hold_all, id, position, silent_primary, status};
use test_case::test_case;

const ERA: u64 = 1 << 32;

fn previous(generation: u64, era: u64, revision: u64) -> PreviousClaim {
    let version = StoreVersion::new(era, revision);
    PreviousClaim { generation, version, is_own: false, seen_at: at(0) }
}

/// Guards against a number that is lower than one that was used, or equal to it: before a data loss, in the new era, or in two
/// eras that follow each other at once.
#[test_case(None, 0, Some(1); "first claim")]
#[test_case(Some((7, 0, 90)), 0, Some(8); "later claim")]
#[test_case(Some((ERA - 1, 0, 90)), 0, None; "highest number")]
#[test_case(None, 2, Some(2 * ERA + 1); "first claim of an era")]
#[test_case(Some((7, 1, 90)), 1, Some(ERA + 91); "claim of an earlier era")]
#[test_case(Some((ERA + 91, 1, 120)), 1, Some(ERA + 121); "claim of this era")]
#[test_case(Some((ERA + 91, 3, 90)), 3, Some(3 * ERA + 91); "two data losses")]
#[test_case(Some((ERA + 7, 1, 1 << 40)), 1, Some(ERA + 8); "revision beyond the counter")]
#[test_case(Some((7, 0, 90)), 1, None; "read in an earlier era")]
#[test_case(Some((2 * ERA + 7, 1, 90)), 1, None; "number of a later era")]
#[test_case(None, ERA, None; "era beyond the number")]
fn next_generation_is_higher(replaced: Option<(u64, u64, u64)>, era: u64, next: Option<u64>) {
    let replaced = replaced.map(|(generation, era, revision)| previous(generation, era, revision));
    assert_eq!(next_generation(replaced.as_ref(), era), next);
}

/// Guards against a number that is given twice: a write that was based on a revision of the era before has replaced the claim
/// with that revision in the new era.
#[test]
fn next_generation_after_a_late_write() {
    let first = next_generation(Some(&previous(5, 1, 40)), 1);
    // The first claim got revision 41, and the late write replaced it with number 6 of era 0.
    let second = next_generation(Some(&previous(6, 1, 42)), 1);
    assert!(first.is_some() && second > first, "{first:?}, {second:?}");
}

/// Guards against two claimants at once: a claim that was lost, or one that a late write has replaced, may still be valid.
#[test_case(None, 0, 0, true; "first claim")]
#[test_case(None, 1, 3499, false; "the first claim may be lost")]
#[test_case(None, 1, 3500, true; "a lost claim has ended")]
#[test_case(Some((7, false, 0)), 1, 3499, false; "claim of the copy")]
#[test_case(Some((7, true, 0)), 1, 3499, false; "own claim of the copy")]
#[test_case(Some((7, true, 5000)), 1, 60_000, false; "own late write")]
#[test_case(Some((7, true, 1500)), 1, 60_000, true; "own late write has ended")]
#[test_case(Some((ERA, false, 0)), 1, 3499, false; "only a record was written")]
#[test_case(Some((ERA + 7, false, 0)), 1, 10, true; "claim of this era that has ended")]
#[test_case(Some((ERA + 7, false, 5000)), 1, 10, false; "claim of this era")]
#[test_case(Some((ERA + 7, true, 5000)), 1, 10, true; "own claim of this era")]
#[test_case(Some((ERA + 7, true, 0)), 2, 3499, false; "two data losses")]
#[test_case(Some((7, true, 5000)), 0, 0, true; "own claim without a data loss")]
#[test_case(Some((7, false, 5000)), 0, 60_000, false; "other claim without a data loss")]
fn may_claim_at_5000(replaced: Option<(u64, bool, u64)>, era: u64, known_for: u64, expected: bool) {
    let replaced = replaced.map(|(generation, is_own, seen_at)| PreviousClaim {
        is_own,
        seen_at: at(seen_at),
        ..previous(generation, era, 90)
    });
    let known_for = Duration::from_millis(known_for);
    assert_eq!(may_claim(replaced.as_ref(), era, known_for, at(5000)), expected);
}

/// An attempt under a claim of era 0 that waits until proofs end, with both replicas held.
fn holding() -> (GroupView, Failover) {
    let mut view = silent_primary(0);
    let mut failover = claimed(Trigger::Silent, &view, 1000);
    assert_eq!(failover.step(&view, &[], false, at(1000)).len(), 2);
    hold_all(&mut view, 2, 1010);
    assert!(failover.step(&view, &[], false, at(1020)).is_empty());
    (view, failover)
}

fn resumes() -> Vec<FailoverAction> {
    ["b", "c"].map(|member| FailoverAction::Resume { member: id(member) }).into()
}

/// Guards against two claimants at once, and against replicas that receive nothing after an attempt: the store loses data while
/// the attempt waits. It releases what it holds until its claim ends.
#[test]
fn failover_ends_when_its_claim_is_lost() {
    let (view, mut failover) = holding();
    failover.observe_era(1);
    let mut expected = resumes();
    expected.push(FailoverAction::Ended { replaced: false });
    assert_eq!(failover.step(&view, &[], true, at(1100)), expected);
    assert_eq!(failover.step(&view, &[], true, at(1300)), resumes(), "no answer yet");
    assert!(failover.step(&view, &[], true, at(3300)).is_empty(), "the claim has ended");
}

/// Guards against a promotion that is requested under a lost claim: the data loss becomes known while the promotion is being
/// recorded, before or after the answer of the store.
#[test_case(true; "before the answer")]
#[test_case(false; "after the answer")]
fn failover_promotes_nothing_under_a_lost_claim(is_before: bool) {
    let (view, mut failover) = holding();
    let actions = failover.step(&view, &[], true, at(1030));
    assert!(matches!(actions[..], [FailoverAction::Renew { promotion: Some(_) }]), "{actions:?}");
    if is_before {
        failover.observe_era(1);
    }
    failover.renewed(Some(ClaimGrant::new(8, at(1030))), at(1040));
    failover.observe_era(1);
    let actions = failover.step(&view, &[], false, at(1050));
    let is_promotion = |action: &FailoverAction| matches!(action, FailoverAction::Promote { .. });
    assert!(!actions.iter().any(is_promotion), "{actions:?}");
    assert!(!failover.is_running());
}

/// Guards against the loss of commits that replicas receive between their release and a promotion that takes effect late: the
/// data loss becomes known after the request.
#[test]
fn failover_keeps_holds_while_a_promotion_may_take_effect() {
    let (view, mut failover) = holding();
    failover.step(&view, &[], true, at(1030));
    failover.renewed(Some(ClaimGrant::new(8, at(1030))), at(1040));
    let actions = failover.step(&view, &[], false, at(1050));
    assert!(matches!(actions[..], [FailoverAction::Promote { .. }]), "{actions:?}");
    failover.observe_era(1);
    assert!(failover.step(&view, &[], false, at(2540)).is_empty());
    assert_eq!(failover.fence(), Some((Term(2), true)), "its term is still being replaced");
    let mut expected = resumes();
    expected.push(FailoverAction::Ended { replaced: false });
    assert_eq!(failover.step(&view, &[], false, at(2550)), expected);
}

/// Guards against an attempt under a claim whose answer arrives after the data loss; two data losses in a row, and a claim of
/// the era that counts.
#[test_case(7, 1, false; "data loss while the claim was made")]
#[test_case(ERA + 7, 2, false; "second data loss")]
#[test_case(ERA + 7, 1, true; "claim of the new era")]
fn claimed_after_a_data_loss(generation: u64, era: u64, is_claimed: bool) {
    let view = silent_primary(0);
    let mut failover = Failover::default();
    assert!(failover.start(Trigger::Silent, &view, at(1000)));
    failover.step(&view, &[], false, at(1000));
    failover.observe_era(era);
    let grant = ClaimGrant::new(generation, at(1000));
    let granted = GrantedClaim { grant, repeats_term: true, latest: None, may_lack_records: true };
    failover.claimed(Some(granted), at(1010));
    assert_eq!(failover.fence().is_some(), is_claimed);
    assert_eq!(failover.step(&view, &[], false, at(1020)).is_empty(), !is_claimed);
}

fn record(replaced: u64, member: &str, end: Position) -> PromotionRecord {
    PromotionRecord { replaced: Term(replaced), member: id(member), members: 3, position: end }
}

fn rule(latest: Option<PromotionRecord>, stop: Stop) -> PromotionRule {
    let (replaced, target, since) = (Term(2), Term(3), at(5000));
    PromotionRule { replaced, target, since, latest, may_lack_records: true, stop }
}

/// The primary `b` of term 2 does not answer, or has been demoted. It may be the only member with some commits of term 1.
fn after_promotion_of_b(others: Position, stopped: Option<Position>) -> GroupView {
    let mut view = group();
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(2000));
    match stopped {
        Some(end) => view.observe(&id("b"), status(Role::Replica, 2, end, 0), at(5000)),
        None => view.poll_sent(&id("b"), at(2100)),
    }
    view.observe(&id("a"), status(Role::Replica, 2, others, 3), at(5000));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 7), 3), at(5000));
    view
}

/// Guards against the loss of commits that only the replaced primary has, when the record of its promotion is lost.
#[test_case(position(1, 9), None, None; "no entry of the replaced term")]
#[test_case(position(2, 8), None, Some("a"); "an entry of the replaced term")]
#[test_case(position(1, 8), Some(position(1, 9)), Some("b"); "the demoted primary")]
#[test_case(position(2, 9), Some(position(2, 9)), Some("a"); "as long as the demoted primary")]
fn verdict_while_the_record_may_be_lost(
    others: Position,
    stopped: Option<Position>,
    candidate: Option<&str>,
) {
    let view = after_promotion_of_b(others, stopped);
    let stop = stopped.map_or(Stop::Pending, |_| Stop::Done(id("b")));
    let verdict = rule(None, stop).verdict(&view, &[], at(5010));
    let promoted = match &verdict {
        Verdict::Candidate { member, .. } => Some(member.as_str()),
        _ => None,
    };
    assert_eq!(promoted, candidate, "{verdict:?}");
    if candidate.is_none() {
        assert_eq!(verdict, Verdict::NoCandidate);
    }
}

/// Guards against a group that gets no primary: its record of the promotion is known, or every member has answered.
#[test_case(Some(record(1, "b", position(1, 8))), false, true; "record of the promotion")]
#[test_case(Some(record(0, "a", position(1, 2))), false, false; "older record")]
#[test_case(None, true, true; "every member has answered")]
#[test_case(None, false, false; "no record")]
fn verdict_with_evidence(latest: Option<PromotionRecord>, all_answer: bool, has_candidate: bool) {
    let mut view = after_promotion_of_b(position(1, 9), None);
    if all_answer {
        // It was restarted, so that nothing shows that it has led.
        view.reset_member(&id("b"), at(4000));
        view.observe(&id("b"), status(Role::Replica, 2, position(1, 9), 3), at(5000));
    }
    let verdict = rule(latest, Stop::Pending).verdict(&view, &[], at(5010));
    assert_eq!(matches!(verdict, Verdict::Candidate { .. }), has_candidate, "{verdict:?}");
}

/// Guards against the loss of commits of a member that is not listed, when the record that names the number of members may be
/// lost.
#[test]
fn verdict_without_a_member_that_may_have_led() {
    let mut view = GroupView::default();
    view.set_members(["a", "c"].map(|name| (id(name), None)), at(2000));
    view.observe(&id("a"), status(Role::Replica, 2, position(1, 8), 3), at(5000));
    view.observe(&id("c"), status(Role::Replica, 2, position(1, 7), 3), at(5000));
    assert_eq!(rule(None, Stop::Pending).verdict(&view, &[], at(5010)), Verdict::NoCandidate);
}

fn recorded(replaced: u64, generation: u64) -> RecordedPromotion {
    RecordedPromotion { promotion: record(replaced, "b", position(1, 9)), generation }
}

/// Guards against the loss of a record that an instance knows, a record that replaces a newer one, and the end of a claim under
/// which its claimant acts.
#[test_case(None, None, 1, true; "no claim in the store")]
#[test_case(Some(recorded(1, 4)), Some((6, 0)), 1, true; "older record in the store")]
#[test_case(Some(recorded(1, 5)), Some((6, 0)), 1, false; "same record")]
#[test_case(Some(recorded(2, 3)), Some((6, 0)), 1, false; "newer record")]
#[test_case(Some(recorded(0, 1)), Some((ERA + 6, 2000)), 1, false; "claim that may be acted under")]
#[test_case(Some(recorded(0, 1)), Some((ERA + 6, 0)), 1, true; "claim that has ended")]
#[test_case(None, None, 0, false; "no data loss")]
fn is_rewrite_due_at_5000(
    stored: Option<RecordedPromotion>,
    claim: Option<(u64, u64)>,
    era: u64,
    expected: bool,
) {
    let group = Group::from("g");
    let mut records = PromotionRecords::default();
    assert!(records.learn(&group, &recorded(1, 5), at(0)));
    assert!(!records.learn(&group, &recorded(1, 4), at(10)), "older");
    let claim = claim.map(|(generation, seen_at)| PreviousClaim {
        seen_at: at(seen_at),
        ..previous(generation, era, 90)
    });
    let is_due = records.is_rewrite_due(&group, stored.as_ref(), claim.as_ref(), era, at(5000));
    assert_eq!(is_due, expected);
}

/// Guards against a record that is written with a number which a claim gets as well, or which lets an instance claim too early.
#[test]
fn record_generation_is_lower_than_that_of_a_claim() {
    let copy = previous(7, 1, 90);
    let written = record_generation(Some(&copy), 1).expect("a number");
    let marker = previous(written, 1, 91);
    assert!(next_generation(Some(&marker), 1) > Some(written));
    assert!(!may_claim(Some(&marker), 1, TAKEOVER_DELAY - Duration::from_millis(1), at(9000)));
    let claim = previous(ERA + 92, 1, 92);
    assert_eq!(record_generation(Some(&claim), 1), Some(ERA + 92), "the claim stays");
}

/// Guards against messages that grow with the number of groups, or that repeat old records for ever.
#[test]
fn recent_records_are_bounded() {
    let mut records = PromotionRecords::default();
    for (name, ms) in [("old", 0), ("x", 30_000), ("y", 40_000), ("z", 50_000)] {
        records.learn(&Group::from(name), &recorded(1, 5), at(ms));
    }
    let names = |records: &PromotionRecords, limit| {
        let recent = records.recent(limit, at(60_000));
        recent.iter().map(|(group, _)| group.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(names(&records, 8), ["z", "y", "x"]);
    assert_eq!(names(&records, 2), ["z", "y"]);
    assert!(records.latest(&Group::from("old")).is_some(), "still written if the store lacks it");
}
