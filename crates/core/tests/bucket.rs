//! Token buckets whose limits change.

use std::time::Duration;

use hibiscusladder_core::{bucket::TokenBucket, clock::Instant};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

/// Guards against a new bucket that admits a burst at once, which the next home of a member must not do.
#[test]
fn new_is_empty() {
    assert!(TokenBucket::new(10.0, 5.0, at(0)).try_take(1.0, at(0)).is_err());
    assert!(TokenBucket::filled(10.0, 5.0, at(0)).try_take(5.0, at(0)).is_ok());
}

/// Guards against accrual at the new rate for the time before a change, and against tokens above the capacity.
#[test]
fn set_limits_counts_from_then_on() {
    let mut bucket = TokenBucket::new(10.0, 50.0, at(0));
    bucket.set_limits(1_000.0, 50.0, at(1_000));
    assert_eq!(bucket.tokens(at(1_000)), 10.0);
    bucket.set_limits(1_000.0, 4.0, at(1_000));
    bucket.set_limits(0.0, 50.0, at(1_000));
    assert_eq!(bucket.tokens(at(9_000)), 4.0);
}

/// Guards against a retry time that is too short, or that is finite although the tokens can never accrue.
#[test_case(10.0, 5.0, 1.0, Duration::from_millis(100); "one token")]
#[test_case(10.0, 5.0, 6.0, Duration::MAX; "past the capacity")]
#[test_case(0.0, 5.0, 1.0, Duration::MAX; "no rate")]
#[test_case(f64::NAN, 5.0, 1.0, Duration::MAX; "rate is not a number")]
#[test_case(-1.0, 5.0, 1.0, Duration::MAX; "negative rate")]
fn try_take_returns_the_wait(rate: f64, capacity: f64, n: f64, wait: Duration) {
    assert_eq!(TokenBucket::new(rate, capacity, at(0)).try_take(n, at(0)), Err(wait));
}

/// Guards against tokens that are created when they are moved between buckets.
#[test]
fn add_and_remove_keep_the_sum() {
    let mut lender = TokenBucket::filled(0.0, 5.0, at(0));
    let mut borrower = TokenBucket::new(0.0, 3.0, at(0));
    let moved = lender.remove(4.0, at(0));
    borrower.add(moved, at(0));
    assert_eq!((lender.tokens(at(0)), borrower.tokens(at(0))), (1.0, 3.0));
    assert_eq!(lender.remove(4.0, at(0)), 1.0);
}
