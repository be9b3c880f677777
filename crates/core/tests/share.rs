//! The rules of the share protocol, each in isolation.

use std::time::Duration;

use hibiscusladder_core::{
    clock::{Instant, with_drift},
    name::MemberId,
    position::Term,
    share::{DIVISION_GRACE, Division, Divisions, Loan, LoanRequest, MAX_LOAN_DURATION, Share},
};
use test_case::test_case;

/// 100 requests/s and a burst of 60 over three members of one database: a member has 10 + 70/3 requests/s, the anchor
/// and its term part.
fn division() -> Division {
    Division::new(100.0, 60.0).database("a".into(), 3)
}

fn members() -> Vec<MemberId> {
    ["a-1", "a-2", "a-3"].map(MemberId::from).into()
}

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_secs(100) + Duration::from_millis(ms))
}

fn share_with(member: &str, divisions: Divisions, now: Instant) -> Share {
    let mut share = Share::new("w".into(), "a".into(), member.into(), divisions, now);
    share.set_term(Term(1), &members(), now);
    renew_proofs(&mut share, now);
    share
}

/// Proves lease and gate for 1 s from `now`.
fn renew_proofs(share: &mut Share, now: Instant) {
    share.renew_lease(now.plus(Duration::from_secs(1)));
    share.set_gate(Term(1), now.plus(Duration::from_secs(1)));
}

/// Shares that have been in use for 10 s and are full at `at(0)`.
fn full_shares() -> (Share, Share) {
    let start = Instant::new(Duration::from_secs(90));
    let mut shares =
        ["a-1", "a-2"].map(|name| share_with(name, Divisions::for_new_contract(division()), start));
    for share in &mut shares {
        renew_proofs(share, at(0));
    }
    shares.into()
}

fn admit_all(share: &mut Share, now: Instant) -> u32 {
    (0..200).map(|_| u32::from(share.try_admit(1.0, now).is_ok())).sum()
}

fn borrow(borrower: &mut Share, lender: &mut Share, now: Instant) -> (LoanRequest, Loan) {
    admit_all(borrower, now);
    let request = borrower.loan_request(now).expect("requests were refused");
    let loan = lender.lend(&request, now).expect("the lender is idle");
    (request, loan)
}

fn approx_eq(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.01
}

/// Guards against a member that uses more or less than its part.
#[test]
fn share_part_is_a_third() {
    let (mut share, _) = full_shares();
    let limits = share.limits(at(0));
    assert!(approx_eq(limits.rate, 33.333) && approx_eq(limits.capacity, 20.0), "{limits:?}");
    assert_eq!(admit_all(&mut share, at(0)), 20);
    assert_eq!(admit_all(&mut share, at(300)), 10);
}

/// Guards against a paused home that continues to admit requests after another one took over.
#[test]
fn share_refuses_without_lease() {
    let (mut share, _) = full_shares();
    share.set_gate(Term(1), at(5_000));
    assert_eq!(admit_all(&mut share, at(1_000)), 0);
    assert!(share.clone().hand_over(at(1_000)).is_none());
    share.renew_lease(at(2_000));
    assert_eq!(admit_all(&mut share, at(1_000)), 20);
}

/// Guards against the use of the term part by a home that a promotion may have left out: only the anchor remains.
#[test]
fn share_uses_only_the_anchor_with_closed_gate() {
    let (mut share, _) = full_shares();
    share.renew_lease(at(60_000));
    assert_eq!(admit_all(&mut share, at(1_000)), 6);
    assert_eq!(admit_all(&mut share, at(11_000)), 6);
    // The gate is proved to have been open for the same term, so the part was not in use elsewhere.
    share.set_gate(Term(1), at(12_000));
    assert_eq!(admit_all(&mut share, at(11_000)), 14);
}

/// Guards against a refill of the term part for a time in which another term or division may have been in force.
#[test_case(true; "new term")]
#[test_case(false; "new division")]
fn share_is_not_refilled_for_unproved_time(term_changes: bool) {
    let (mut share, _) = full_shares();
    admit_all(&mut share, at(900));
    let now = at(20_000);
    share.renew_lease(at(60_000));
    if term_changes {
        share.set_term(Term(2), &members(), now);
        share.set_gate(Term(2), at(60_000));
    } else {
        share.set_division(Division::new(1_000.0, 60.0).database("a".into(), 3), now);
        share.set_gate(Term(1), at(60_000));
    }
    // The anchor, and the term part for the 100 ms for which the gate was proved open.
    assert_eq!(admit_all(&mut share, now), 8);
}

/// Guards against a new home that uses limits that the previous home lent.
#[test]
fn share_starts_empty_and_with_the_anchor() {
    let mut share = share_with("a-1", Divisions::for_new_contract(division()), at(0));
    assert_eq!(admit_all(&mut share, at(0)), 0);
    let end = at(0).plus(with_drift(MAX_LOAN_DURATION));
    renew_proofs(&mut share, at(1_500));
    assert!(approx_eq(share.limits(at(1_999)).rate, 10.0));
    renew_proofs(&mut share, end);
    assert!(approx_eq(share.limits(end).rate, 33.333));
}

/// Guards against a part that is used twice while two homes have different divisions: the smaller part applies.
#[test]
fn share_uses_the_smaller_part_after_a_new_division() {
    let (mut share, _) = full_shares();
    let wider = Division::new(100.0, 60.0).database("a".into(), 3).database("b".into(), 3);
    share.set_division(wider, at(0));
    assert!(approx_eq(share.limits(at(0)).rate, 100.0 / 6.0));
    share.set_division(division(), at(100));
    let end = at(100).plus(DIVISION_GRACE);
    for (now, rate) in [(at(200), 100.0 / 6.0), (end, 33.333)] {
        renew_proofs(&mut share, now);
        assert!(approx_eq(share.limits(now).rate, rate), "{:?}", share.limits(now));
    }
}

/// Guards against a restarted process that assumes that its first division is the only one in use.
#[test]
fn share_of_an_existing_contract_waits() {
    let mut share = share_with("a-1", Divisions::for_existing_contract(division(), at(0)), at(0));
    renew_proofs(&mut share, at(7_900));
    assert_eq!(admit_all(&mut share, at(7_900)), 0);
    renew_proofs(&mut share, at(8_900));
    assert!(admit_all(&mut share, at(8_900)) > 0);
}

/// Guards against a lower rate that applies only after the grace period.
#[test]
fn share_lowers_its_rate_at_once() {
    let (mut share, _) = full_shares();
    share.set_division(Division::new(10.0, 6.0).database("a".into(), 3), at(0));
    assert_eq!(admit_all(&mut share, at(0)), 2);
}

/// Guards against loans that the lender continues to use, or uses again before they end at the borrower.
#[test]
fn lend_moves_rate_and_tokens() {
    let (mut borrower, mut lender) = full_shares();
    let (request, loan) = borrow(&mut borrower, &mut lender, at(0));
    let before = 100.0 / 3.0;
    assert!(approx_eq(lender.limits(at(0)).rate, before - loan.rate));
    assert!(borrower.accept(&request, &loan, at(0), at(50)));
    assert_eq!(f64::from(admit_all(&mut borrower, at(50))), (loan.tokens + 1.6).floor());
    assert!(f64::from(admit_all(&mut lender, at(50))) <= 20.0 - loan.tokens);

    let ends = [at(0).plus(MAX_LOAN_DURATION), at(0).plus(with_drift(MAX_LOAN_DURATION))];
    for (now, lender_rate) in [(ends[0], before - loan.rate), (ends[1], before)] {
        renew_proofs(&mut lender, now);
        renew_proofs(&mut borrower, now);
        assert!(approx_eq(lender.limits(now).rate, lender_rate));
        assert!(approx_eq(borrower.limits(now).rate, before));
    }
}

/// Guards against accepting a loan after it became void, when the lender no longer accounts for it.
#[test_case("term"; "another term")]
#[test_case("division"; "another division")]
#[test_case("late"; "the loan has ended")]
#[test_case("gate"; "the gate is closed")]
fn accept_refuses(reason: &str) {
    let (mut borrower, mut lender) = full_shares();
    let (request, loan) = borrow(&mut borrower, &mut lender, at(0));
    let mut now = at(50);
    match reason {
        "term" => {
            borrower.set_term(Term(2), &members(), now);
            borrower.set_gate(Term(2), at(1_000));
        }
        "division" => borrower.set_division(Division::new(50.0, 60.0).database("a".into(), 3), now),
        "late" => {
            now = at(2_000);
            renew_proofs(&mut borrower, now);
        }
        _ => now = at(1_000),
    }
    assert!(!borrower.accept(&request, &loan, at(0), now));
}

/// Guards against a loan that the borrower uses beyond its term or division.
#[test_case(true; "term")]
#[test_case(false; "division")]
fn loan_is_void_in_another_term_or_division(term_changes: bool) {
    let (mut borrower, mut lender) = full_shares();
    let (request, loan) = borrow(&mut borrower, &mut lender, at(0));
    assert!(borrower.accept(&request, &loan, at(0), at(0)));
    let mut rate = 33.333;
    if term_changes {
        borrower.set_term(Term(2), &members(), at(100));
        borrower.set_gate(Term(2), at(900));
    } else {
        rate = 16.667;
        borrower.set_division(Division::new(50.0, 60.0).database("a".into(), 3), at(100));
    }
    assert!(approx_eq(borrower.limits(at(100)).rate, rate), "{:?}", borrower.limits(at(100)));
}

/// Guards against lending in another term or division, without a lease, or from tokens that the lender needs itself.
#[test_case("term"; "another term")]
#[test_case("division"; "another division")]
#[test_case("busy"; "demand of its own")]
#[test_case("lease"; "the lease has ended")]
fn lend_refuses(reason: &str) {
    let (mut borrower, mut lender) = full_shares();
    admit_all(&mut borrower, at(0));
    let mut request = borrower.loan_request(at(0)).expect("requests were refused");
    let mut now = at(0);
    match reason {
        "term" => request.term = Term(2),
        "division" => request.division += 1,
        "busy" => {
            admit_all(&mut lender, now);
        }
        _ => now = at(1_000),
    }
    assert_eq!(lender.lend(&request, now), None);
}

/// Guards against a loan to another database that outlasts a promotion in the lender's database: it ends with the
/// proof of the gate.
#[test]
fn lend_to_another_database_ends_with_the_gate() {
    let (mut borrower, mut lender) = full_shares();
    admit_all(&mut borrower, at(0));
    let mut request = borrower.loan_request(at(0)).expect("requests were refused");
    request.database = "b".into();
    let loan = lender.lend(&request, at(300)).expect("the lender is idle");
    assert_eq!(loan.duration, Duration::from_millis(700));
}

/// Guards against borrowed limits that are lent on for longer than their own loan lasts.
#[test]
fn lend_passes_on_for_the_time_left() {
    let (mut first, mut second) = full_shares();
    let (request, loan) = borrow(&mut first, &mut second, at(0));
    assert!(first.accept(&request, &loan, at(0), at(0)));
    // The demand moves to a third home, while the borrower is idle again.
    let now = at(1_700);
    renew_proofs(&mut first, now);
    let mut request = request;
    request.borrower = "a-3".into();
    request.rate = 100.0;
    let passed_on = first.lend(&request, now).expect("it holds more than its own part");
    assert!(passed_on.rate > 23.334 && passed_on.duration == Duration::from_millis(300));
}

/// Guards against tokens of the previous home that are added twice, or after the new home has refilled.
#[test]
fn take_over_adds_no_token_twice() {
    let (leaving, _) = full_shares();
    let handed = leaving.hand_over(at(0)).expect("the lease is held");
    assert!(approx_eq(handed.tokens, 20.0) && handed.lent_for.is_zero());

    let mut share = share_with("a-1", Divisions::for_new_contract(division()), at(0));
    let mut late = share.clone();
    assert!(share.take_over(&handed, at(0)));
    assert!(!share.take_over(&handed, at(0)));
    assert_eq!(admit_all(&mut share, at(0)), 20);

    for ms in [500, 1_000, 1_500, 2_100] {
        renew_proofs(&mut late, at(ms));
        admit_all(&mut late, at(ms));
    }
    renew_proofs(&mut late, at(2_500));
    admit_all(&mut late, at(2_500));
    late.take_over(&handed, at(2_500));
    assert!(admit_all(&mut late, at(2_500)) == 0);
}

/// Guards against a new home that uses at once the limits that the leaving home has lent.
#[test]
fn hand_over_names_the_loans() {
    let (mut borrower, mut leaving) = full_shares();
    borrow(&mut borrower, &mut leaving, at(0));
    let handed = leaving.hand_over(at(500)).expect("the lease is held");
    assert_eq!(handed.lent_for, with_drift(MAX_LOAN_DURATION) - Duration::from_millis(500));
    let mut share = share_with("a-2", Divisions::for_new_contract(division()), at(500));
    share.take_over(&handed, at(500));
    assert!(approx_eq(share.limits(at(500)).rate, 10.0));
}

/// Guards against a flood of loan requests by a workspace above its total rate.
#[test]
fn loan_request_backs_off_while_nothing_is_lent() {
    let (mut share, _) = full_shares();
    let mut requests = 0;
    for ms in (0..10_000).step_by(10) {
        renew_proofs(&mut share, at(ms));
        admit_all(&mut share, at(ms));
        requests += u32::from(share.loan_request(at(ms)).is_some());
    }
    assert!((10..=20).contains(&requests), "{requests}");
}
