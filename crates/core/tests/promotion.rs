//! The stages of a promotion.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use hibiscusladder_core::{
    clock::{Instant, with_drift},
    name::{InstanceId, MemberId},
    position::{Position, Term},
    promotion::{
        AbandonReason, CATCH_UP_TIMEOUT, Promotion, PromotionAction as Action,
        PromotionEvent as Event, PromotionSettings, RESEND_INTERVAL, STAGE_TIMEOUT, StoreAnswer,
        TermRecord,
    },
    quorum::{MemberRole, QuorumView, REPORT_WINDOW},
};
use support::{at, group, position, report};
use test_case::test_case;

/// A home in data centre `near` whose group has primary `a` of term 1.
struct Home {
    quorum: QuorumView,
    promotion: Promotion,
    now: Instant,
}

impl Home {
    fn new(window: Duration) -> Self {
        let settings = PromotionSettings::new("i1".into(), "near".into()).window(window);
        let mut quorum = group(REPORT_WINDOW);
        quorum.record(report("a", MemberRole::Primary, 1, 0));
        Self { quorum, promotion: Promotion::new(settings), now: at(0) }
    }

    /// The primary has missed three polls; the replicas report `source_silent` milliseconds without data from it.
    fn with_unresponsive_primary(window: Duration, source_silent: u64) -> Self {
        let mut home = Self::new(window);
        for sent in [250, 500, 750] {
            home.quorum.poll_sent(&"a".into(), at(sent));
        }
        home.now = at(1000);
        for member in ["b", "c"] {
            let mut report = report(member, MemberRole::Replica, 1, 990);
            report.source_silent = Some(Duration::from_millis(source_silent));
            home.quorum.record(report);
        }
        home
    }

    /// The claim of term 2 was stored, and raises were sent to the members.
    fn raising(window: Duration) -> Self {
        let mut home = Self::with_unresponsive_primary(window, 900);
        assert_eq!(home.handle(Event::Tick), [Action::Claim { term: Term(2) }]);
        let raises = home.handle(claimed(StoreAnswer::Stored));
        let members = ["a", "b", "c"].map(MemberId::from);
        let expected = members.map(|member| Action::Raise { member, term: Term(2) });
        assert_eq!(raises, expected);
        home
    }

    /// `b` and `c` were raised and reported these positions.
    fn fencing(window: Duration, b: Position, c: Position) -> Self {
        let mut home = Self::raising(window);
        for (member, last) in [("b", b), ("c", c)] {
            let mut report = report(member, MemberRole::Replica, 2, 1000);
            (report.claimant, report.position) = (Some("i1".into()), last);
            report.promoted_term = Term(1);
            home.quorum.record(report);
        }
        home.handle(Event::Tick);
        home
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.promotion.handle(event, &self.quorum, self.now)
    }

    fn after(&mut self, wait: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.plus(wait);
        self.handle(event)
    }
}

fn claimed(answer: StoreAnswer) -> Event {
    Event::Claimed { term: Term(2), answer }
}

fn record(term: u64, claimant: &str) -> TermRecord {
    TermRecord { term: Term(term), claimant: Some(claimant.into()), primary: None }
}

fn raised(member: &str, term: u64, claimant: &str) -> Event {
    let claimant = Some(InstanceId::from(claimant));
    Event::Raised { member: member.into(), term: Term(term), claimant }
}

fn agreement(data_centre: &str) -> Event {
    Event::Agreement { instance: "i2".into(), data_centre: data_centre.into(), term: Term(1) }
}

fn abandoned(reason: AbandonReason) -> Action {
    Action::Abandoned { term: Term(2), reason }
}

/// Guards against a promotion by a home that does not reach the primary although the other members and homes do.
#[test_case(900, Event::Tick, true; "members agree")]
#[test_case(100, Event::Tick, false; "members reach the primary")]
#[test_case(100, agreement("far"), true; "home of another data centre agrees")]
#[test_case(100, agreement("near"), false; "home of the same data centre agrees")]
fn attempt_needs_agreement(source_silent: u64, event: Event, expected: bool) {
    let mut home = Home::with_unresponsive_primary(REPORT_WINDOW, source_silent);
    assert_eq!(home.handle(event) == [Action::Claim { term: Term(2) }], expected);
}

/// Guards against a lost answer that counts as a failure or a success, and against two claimants that both continue.
#[test_case(Some(record(2, "i1")), 3; "own claim had taken effect")]
#[test_case(None, 3; "store cannot be read")]
#[test_case(Some(record(2, "i2")), 1; "another claimant won")]
#[test_case(Some(record(1, "i9")), 1; "claim had not taken effect")]
fn lost_answer_to_claim_is_read_back(found: Option<TermRecord>, actions: usize) {
    let mut home = Home::with_unresponsive_primary(REPORT_WINDOW, 900);
    home.handle(Event::Tick);
    assert_eq!(home.handle(claimed(StoreAnswer::Unknown)), [Action::ReadBack]);
    let next = home.handle(Event::ReadBack(found.clone()));
    assert_eq!(next.len(), actions);
    match found {
        Some(other) if other.term == Term(1) => assert_eq!(next, [Action::Claim { term: Term(2) }]),
        Some(other) if other.claimant != Some("i1".into()) => {
            assert_eq!(next, [abandoned(AbandonReason::Superseded)]);
        }
        _ => assert!(next.iter().all(|action| matches!(action, Action::Raise { .. }))),
    }
}

/// Guards against a promotion while an acknowledgement under the old term may still be released, and shows that the
/// report window causes the wait.
#[test_case(REPORT_WINDOW; "report window")]
#[test_case(Duration::ZERO; "wait is off")]
fn promotion_waits_for_window(window: Duration) {
    let mut home = Home::fencing(window, position(1, 20), position(1, 20));
    let started = home.now;
    let mut promoted = None;
    for _ in 0..200 {
        let actions = home.after(Duration::from_millis(10), Event::Tick);
        if actions.iter().any(|action| matches!(action, Action::Promote { .. })) {
            promoted = Some(home.now.since(started));
            break;
        }
    }
    let waited = promoted.expect("a promotion");
    if window == Duration::ZERO {
        assert!(waited < REPORT_WINDOW);
    } else {
        assert!(waited >= with_drift(REPORT_WINDOW));
    }
}

/// Guards against a promotion that loses entries which a raised member has, and against two primaries of a term.
#[test_case(position(1, 20), position(1, 21), "c"; "longer log")]
#[test_case(position(2, 5), position(1, 21), "b"; "newer term")]
#[test_case(position(1, 20), position(1, 20), "b"; "first of equals")]
fn only_the_most_advanced_member_is_promoted(b: Position, c: Position, expected: &str) {
    let mut home = Home::fencing(REPORT_WINDOW, b, c);
    let promote = Action::Promote {
        member: expected.into(),
        term: Term(2),
        term_members: ["b", "c"].map(MemberId::from).into(),
    };
    let actions = home.after(with_drift(REPORT_WINDOW), Event::Tick);
    assert_eq!(actions.last(), Some(&promote));
    // The other member is as advanced now, but the first promotion may have taken effect.
    for member in ["b", "c"] {
        let mut ahead = report(member, MemberRole::Replica, 2, 2100);
        (ahead.position, ahead.promoted_term) = (position(2, 99), Term(1));
        home.quorum.record(ahead);
    }
    assert_eq!(home.after(RESEND_INTERVAL, Event::Tick), [promote]);
    let rejected = Event::Promoted { member: expected.into(), term: Term(2), accepted: false };
    assert_eq!(home.handle(rejected), [abandoned(AbandonReason::Rejected)]);
}

/// Guards against a claimant that was paused and acts on an answer that arrived during the pause.
#[test]
fn stage_is_abandoned_after_pause() {
    let mut home = Home::raising(REPORT_WINDOW);
    home.handle(raised("b", 2, "i1"));
    let late = STAGE_TIMEOUT + Duration::from_millis(1);
    let actions = home.after(late, raised("c", 2, "i1"));
    assert_eq!(actions, [abandoned(AbandonReason::StageBound)]);
}

/// Guards against a claimant that continues although the members accepted another one.
#[test_case(&[("b", 3, "i2")], AbandonReason::Superseded; "higher term")]
#[test_case(&[("b", 2, "i2"), ("c", 2, "i1")], AbandonReason::NoMajority; "one of two reachable members")]
fn attempt_ends_when_members_refuse(answers: &[(&str, u64, &str)], expected: AbandonReason) {
    let mut home = Home::raising(REPORT_WINDOW);
    let events = answers.iter().map(|(member, term, claimant)| raised(member, *term, claimant));
    let actions: Vec<Action> = events.flat_map(|event| home.handle(event)).collect();
    assert_eq!(actions, [abandoned(expected)]);
}

/// Guards against an old primary that does not rejoin the group when it returns.
#[test]
fn returning_primary_is_commanded_to_follow() {
    let mut home = Home::new(REPORT_WINDOW);
    for member in ["b", "c"] {
        let role = if member == "b" { MemberRole::Primary } else { MemberRole::Replica };
        home.quorum.record(report(member, role, 2, 500));
    }
    home.now = at(600);
    assert_eq!(home.handle(Event::Tick), []);
    home.quorum.record(report("a", MemberRole::Primary, 1, 650));
    let follow = Action::Follow { member: "a".into(), primary: "b".into(), term: Term(2) };
    assert_eq!(home.after(Duration::from_millis(600), Event::Tick), [follow]);
}

/// Guards against a planned replacement that loses writes, and one that holds back writes without a time limit.
#[test]
fn planned_replacement_waits_until_replica_has_whole_log() {
    let mut home = Home::new(REPORT_WINDOW);
    home.quorum.record(report("b", MemberRole::Replica, 1, 0));
    home.quorum.record(report("a", MemberRole::Primary, 1, 10));
    home.now = at(20);
    home.handle(Event::PlannedReplacement { term: Term(1) });
    assert!(home.promotion.holds_writes());
    let mut ahead = report("a", MemberRole::Primary, 1, 200);
    ahead.position = position(1, 11);
    home.quorum.record(ahead);
    home.quorum.record(report("b", MemberRole::Replica, 1, 200));
    let polls = home.after(Duration::from_millis(200), Event::Tick);
    assert!(polls.iter().all(|action| matches!(action, Action::Poll { .. })));
    let actions = home.after(CATCH_UP_TIMEOUT, Event::Tick);
    assert_eq!(actions, [abandoned(AbandonReason::NotCaughtUp)]);
    assert!(!home.promotion.holds_writes());
}
