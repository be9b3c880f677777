//! Which members have to answer before one is promoted, and which one it is.

#[path = "support/sync_group.rs"]
mod support;

use hibiscusladder_core::{
    position::{Position, Term},
    sync_group::{
        Demand, GroupView, LeaderInfo, LeaderPosition, PromotionRecord, PromotionRule, Role, Stop,
        Verdict,
    },
};
use support::{at, group, hold_all, id, polled, position, status};
use test_case::test_case;

/// Guards against the loss of commits that a replica has received since another attempt released the hold that an
/// earlier answer reports.
#[test_case(999, false; "before the claim")]
#[test_case(1000, true; "since the claim")]
fn verdict_counts_answers_since_the_claim(sent: u64, counts: bool) {
    let mut view = polled(0);
    view.poll_sent(&id("a"), at(100));
    hold_all(&mut view, 2, sent);
    let rule = PromotionRule {
        replaced: Term(1),
        target: Term(2),
        since: at(1000),
        latest: None,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    let candidate = Verdict::Candidate { member: id("b"), position: position(1, 9) };
    assert_eq!(rule.verdict(&view, &[], at(1010)) == candidate, counts);
}

/// Guards against the loss of commits that a replica receives after a restart, which ends its hold.
#[test_case(1400, true; "the last poll may still be answered")]
#[test_case(1600, false; "the last poll is not answered")]
fn verdict_counts_the_hold_of_a_member_that_answers(now: u64, counts: bool) {
    let mut view = polled(0);
    view.poll_sent(&id("a"), at(100));
    hold_all(&mut view, 2, 1000);
    view.poll_sent(&id("c"), at(1100));
    let rule = PromotionRule {
        replaced: Term(1),
        target: Term(2),
        since: at(1000),
        latest: None,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    let candidate = Verdict::Candidate { member: id("b"), position: position(1, 9) };
    let demands = Verdict::Waiting(vec![(id("c"), Demand::Hold(Term(2)))]);
    let expected = if counts { candidate } else { demands };
    assert_eq!(rule.verdict(&view, &[], at(now)), expected);
}

/// Guards against the loss of commits of an earlier term that only its primary and the replaced one have: a replica that
/// received nothing at that time is promoted after the replaced primary, which could not commit anything.
#[test_case(position(1, 9), true; "with the log of the replaced primary")]
#[test_case(position(1, 8), false; "with a shorter log")]
#[test_case(position(2, 8), true; "with a commit of the replaced primary")]
fn verdict_needs_the_commits_of_earlier_terms(received: Position, has_candidate: bool) {
    let mut view = group();
    view.observe(&id("b"), status(Role::Primary, 2, position(1, 9), 0), at(2000));
    view.poll_sent(&id("b"), at(2100));
    view.observe(&id("a"), status(Role::Replica, 2, received, 3), at(5000));
    view.observe(&id("c"), status(Role::Replica, 2, received, 3), at(5000));
    let latest = PromotionRecord {
        replaced: Term(1),
        member: id("b"),
        members: 3,
        position: position(1, 9),
    };
    let latest = Some(latest);
    let rule = PromotionRule {
        replaced: Term(2),
        target: Term(3),
        since: at(5000),
        latest,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    let candidate = Verdict::Candidate { member: id("a"), position: received };
    let expected = if has_candidate { candidate } else { Verdict::NoCandidate };
    assert_eq!(rule.verdict(&view, &[], at(5010)), expected);
}

/// Guards against the loss of commits of a term that this instance does not know yet: the member that was promoted for it
/// is the only one that publishes to be the primary.
#[test]
fn required_members_while_the_effect_of_a_promotion_is_unknown() {
    let mut view = GroupView::default();
    let members = [("a", Role::Replica), ("b", Role::Primary), ("c", Role::Replica)];
    view.set_members(members.map(|(name, role)| (id(name), Some(role))), at(0));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 5), 0), at(100));
    let rule = |latest| PromotionRule {
        replaced: Term(1),
        target: Term(2),
        since: at(100),
        latest,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    let requires_b = |rule: &PromotionRule| rule.required(&view).any(|member| *member == id("b"));
    assert!(!requires_b(&rule(None)), "the primary of the first term");
    let latest = PromotionRecord {
        replaced: Term(1),
        member: id("b"),
        members: 3,
        position: position(1, 9),
    };
    assert!(requires_b(&rule(Some(latest))), "the primary of a later term");
}

/// Guards against the loss of commits that only a replica had which left the group before this instance started.
#[test_case(2, 100, true; "all members are known")]
#[test_case(3, 100, false; "a member is missing, and the primary answered only before")]
#[test_case(3, 2100, true; "a member is missing, and the primary answered since")]
fn verdict_of_an_instance_that_started_late(members: usize, answered: u64, has_candidate: bool) {
    let mut view = GroupView::default();
    view.set_members(["a", "b"].map(|name| (id(name), None)), at(2000));
    view.merge_leader_info(&LeaderInfo {
        member: id("a"),
        term: Term(2),
        proof_sent: None,
        position: Some(LeaderPosition { sent: at(answered), position: position(2, 9) }),
    });
    view.poll_sent(&id("a"), at(3000));
    view.observe(&id("b"), status(Role::Replica, 2, position(2, 9), 3), at(5000));
    let latest =
        PromotionRecord { replaced: Term(1), member: id("a"), members, position: position(1, 5) };
    let latest = Some(latest);
    let rule = PromotionRule {
        replaced: Term(2),
        target: Term(3),
        since: at(5000),
        latest,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    let verdict = rule.verdict(&view, &[], at(5010));
    assert_eq!(matches!(verdict, Verdict::Candidate { .. }), has_candidate, "{verdict:?}");
}

/// Guards against a member that is left out although it was restarted as a replica after its promotion, and against a
/// promoted one that has to hold a term although this instance has no answer of it.
#[test_case(None, false; "no answer")]
#[test_case(Some((Role::Replica, 1)), false; "an answer from before its promotion")]
#[test_case(Some((Role::Primary, 2)), false; "an answer as primary")]
#[test_case(Some((Role::Replica, 2)), true; "an answer as a replica of its own term")]
fn required_members_after_a_recorded_promotion(answer: Option<(Role, u64)>, required: bool) {
    let mut view = group();
    if let Some((role, term)) = answer {
        view.observe(&id("b"), status(role, term, position(1, 9), 0), at(2000));
    }
    let latest = PromotionRecord {
        replaced: Term(1),
        member: id("b"),
        members: 3,
        position: position(1, 9),
    };
    let latest = Some(latest);
    let rule = PromotionRule {
        replaced: Term(2),
        target: Term(3),
        since: at(5000),
        latest,
        may_lack_records: false,
        stop: Stop::Pending,
    };
    assert_eq!(rule.required(&view).any(|member| *member == id("b")), required);
}
