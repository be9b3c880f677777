//! Requests to cold members.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    cold::{ColdLimits, ColdMember, HANDOVER_TIME, Share},
};
use test_case::test_case;

/// Time between two attempts of a holder.
const STEP_MS: usize = 5;

const fn limits(rate: f64) -> ColdLimits {
    ColdLimits { rate, overage: 1.5, slack: 5.0, longest: Duration::from_secs(8) }
}

const fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(100_000 + ms))
}

/// Times of the requests that holders send to a cold member in `ms`, when each always has one.
fn sent(holders: &mut [ColdMember], from: u64, ms: u64) -> Vec<Instant> {
    let times = (from..from + ms).step_by(STEP_MS).map(at);
    times
        .flat_map(|now| {
            let count = holders.iter_mut().map(|holder| {
                std::iter::from_fn(|| holder.try_admit(true, now).ok()).take(100).count()
            });
            vec![now; count.sum()]
        })
        .collect()
}

/// Largest number of requests within any second.
fn busiest_second(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let later = times.iter().filter(|time| *time >= from);
        later.filter(|time| time.since(*from) <= Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

fn holders(count: usize, rate: f64) -> Vec<ColdMember> {
    let holder = |rank| {
        let mut member = ColdMember::new(at(0));
        member.set_limits(Some(limits(rate)), Some(Share { holders: count, rank }), at(0));
        member
    };
    (0..count).map(holder).collect()
}

/// Guards against holders that together send a cold member more than its allowance, and against an allowance that is
/// not used.
#[test_case(2, 12.0; "two holders")]
#[test_case(2, 1.0; "small rate")]
#[test_case(12, 12.0; "flat fleet")]
#[test_case(12, 0.5; "flat fleet with few requests")]
#[test_case(1, 300.0; "large rate")]
fn try_admit_keeps_the_allowance(count: usize, rate: f64) {
    let mut holders = holders(count, rate);
    // Requests come after a pause, when everything that can be stored is.
    let mut times = sent(&mut holders, 3000, 1500);
    // The process of one holder is restarted, and the next one becomes a holder in place of another.
    holders[0] = ColdMember::new(at(4500));
    let share = Share { holders: count, rank: 0 };
    holders[0].set_limits(Some(limits(rate)), Some(share), at(4500));
    times.extend(sent(&mut holders, 4500, 3000));
    let busiest = busiest_second(&times);
    assert!(busiest as f64 <= limits(rate).allowance(), "{busiest}");
    // Whole requests of three seconds of the 4.5.
    assert!(times.len() as f64 >= (3.0 * rate).floor().min(36.0), "{} requests", times.len());
}

/// Guards against two instances that both use the part of a holder while it is passed on.
#[test]
fn set_limits_waits_before_a_larger_share() {
    let mut member = ColdMember::new(at(0));
    member.set_limits(Some(limits(12.0)), Some(Share { holders: 2, rank: 0 }), at(0));
    assert!(sent(std::slice::from_mut(&mut member), 0, 1000).is_empty());
    let two = sent(std::slice::from_mut(&mut member), 2000, 2000).len();
    // The other holder is gone.
    member.set_limits(Some(limits(12.0)), Some(Share { holders: 1, rank: 0 }), at(4000));
    let handover = sent(std::slice::from_mut(&mut member), 4000, 995);
    assert!(handover.len() <= 7, "{} requests in {HANDOVER_TIME:?}", handover.len());
    let one = sent(std::slice::from_mut(&mut member), 5000, 2000).len();
    assert!(one > two, "{one} after {two}");
    // A smaller share holds at once.
    member.set_limits(Some(limits(12.0)), None, at(7000));
    assert_eq!(member.try_admit(true, at(7000)), Err(Duration::MAX));
}

/// Guards against a restarted member that gets the load of a warm one, and against a warm one that stays limited because
/// its entries are not read.
#[test]
fn is_cold_until_an_entry_shows_otherwise() {
    let mut member = ColdMember::new(at(0));
    assert!(!member.is_cold(at(0)), "there is no limit");
    member.set_limits(Some(limits(12.0)), Some(Share { holders: 1, rank: 0 }), at(0));
    assert!(member.is_cold(at(7999)) && !member.is_cold(at(8000)));
    member.record_remaining(Duration::from_secs(3), at(100));
    assert!(member.is_cold(at(3099)) && !member.is_cold(at(3100)));
    member.record_remaining(Duration::ZERO, at(200));
    assert_eq!((member.is_cold(at(200)), member.remaining(at(200))), (false, Duration::ZERO));
    assert!((0..1000).all(|_| member.try_admit(true, at(200)).is_ok()));
    member.assume_cold(at(300));
    assert!(member.is_cold(at(300)));
    assert!(member.try_admit(true, at(300)).is_err(), "the part starts empty");
    member.set_limits(None, None, at(400));
    assert!(!member.is_cold(at(400)));
}
