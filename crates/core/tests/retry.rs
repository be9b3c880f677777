//! Retry budget, backoff and slow start.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    retry::{Backoff, RetryBudget, SlowStart},
};
use test_case::test_case;

fn at(s: u64) -> Instant {
    Instant::new(Duration::from_secs(s))
}

/// Guards against retries that multiply the load of a failing upstream.
#[test_case(0, 3; "the minimum")]
#[test_case(100, 20; "a fifth of the traffic")]
fn budget_allows(requests: u32, retries: usize) {
    let mut budget = RetryBudget::default();
    for _ in 0..requests {
        budget.record_request(at(100));
    }
    let mut taken = |now| (0..200).filter(|_| budget.try_retry(now)).count();
    assert_eq!(taken(at(109)), retries);
    // At 110 s only the retries are still in the window, at 119 s neither requests nor retries.
    assert_eq!(taken(at(110)), 0);
    assert_eq!(taken(at(119)), 3);
}

/// Guards against synchronised attempts, and against delays without an upper limit.
#[test]
fn backoff_grows_and_spreads() {
    let ms = Duration::from_millis;
    let mut backoff = Backoff::new(ms(100), ms(300));
    let mut range = || (backoff.clone().next(0.0), backoff.next(1.0));
    assert_eq!(range(), (ms(50), ms(100)));
    assert_eq!(range(), (ms(100), ms(200)));
    assert_eq!(range(), (ms(150), ms(300)));
    assert_eq!(range(), (ms(150), ms(300)));
    backoff.reset();
    assert_eq!(backoff.next(1.0), ms(100));
}

/// Guards against full load on an upstream that has just become available, and against one that receives no work.
#[test_case(0, 1; "at the start")]
#[test_case(5, 2; "half-way")]
#[test_case(10, 5; "at the end")]
fn slow_start_limit(s: u64, slots: u32) {
    let start = SlowStart::new(at(0), Duration::from_secs(10));
    assert_eq!(start.limit(5, at(s)), slots);
    assert_eq!(start.limit(0, at(s)), 0);
}
