//! Retry delays of refused callers.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    return_time::{Refusal, ReturnTimes, failover_rest, latest_return, start_rest},
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn refusal(priority: u32, expected_wait: u64, jitter: f64) -> Refusal {
    Refusal {
        priority,
        expected_wait: ms(expected_wait),
        spacing: ms(10),
        latest: ms(4000),
        jitter,
    }
}

/// Guards against callers that come back together: those refused in one moment return at the rate of the capacity, the
/// most urgent first.
#[test]
fn book_spreads_callers() {
    let now = Instant::new(ms(10_000));
    let mut times = ReturnTimes::default();
    let ordinary: Vec<Duration> =
        (0..100).map(|_| times.book(&refusal(1, 500, 0.0), now)).collect();
    assert!(ordinary.windows(2).all(|pair| pair[1] - pair[0] == ms(10)), "{ordinary:?}");
    let urgent: Vec<Duration> = (0..10).map(|_| times.book(&refusal(0, 500, 0.0), now)).collect();
    assert_eq!((urgent[0], urgent[9]), (ms(500), ms(590)));
    assert_eq!(times.book(&refusal(1, 500, 0.0), now), ms(500 + 110 * 10));
    // Bookings that have passed are free again.
    let later = now.plus(Duration::from_secs(60));
    assert_eq!(times.book(&refusal(1, 500, 0.0), later), ms(500));
}

/// Guards against a caller that returns before those that waited, because jitter made its delay shorter than the expected
/// wait, and against delays after which the route's limit has passed.
#[test]
fn book_stays_between_expected_wait_and_latest() {
    let now = Instant::new(ms(10_000));
    for jitter in [0.0, 0.5, 1.0, f64::NAN, -3.0, 9.0] {
        let mut times = ReturnTimes::default();
        for _ in 0..1000 {
            let delay = times.book(&refusal(2, 700, jitter), now);
            assert!((ms(700)..=ms(4000)).contains(&delay), "{delay:?}");
        }
    }
    // A wait beyond the limit: callers are spread over the second half, and nothing is booked.
    let mut times = ReturnTimes::default();
    let delays = [0.0, 0.5, 1.0].map(|jitter| times.book(&refusal(0, 9000, jitter), now));
    assert_eq!(delays, [ms(2000), ms(3000), ms(4000)]);
    assert_eq!(times.book(&refusal(0, 100, 0.0), now), ms(100));
    // A capacity that was none for a moment.
    let none = Refusal { spacing: Duration::MAX, ..refusal(0, 100, 0.0) };
    times.book(&none, now);
    assert_eq!(times.book(&refusal(0, 100, 0.0), now), ms(2000));
    assert_eq!(times.book(&refusal(0, 100, 0.0), now.plus(ms(5000))), ms(100));
}

/// Guards against retries at a fixed interval during a long failover, and against a delay of zero.
#[test]
fn rest_follows_the_elapsed_time() {
    assert_eq!(failover_rest(Duration::ZERO), ms(3000));
    assert_eq!(failover_rest(ms(1000)), ms(2000));
    assert_eq!(failover_rest(ms(2900)), ms(725));
    assert_eq!(failover_rest(ms(8000)), ms(2000));
    assert_eq!(start_rest(ms(500)), ms(1500));
    assert_eq!(start_rest(ms(9000)), ms(200));
}

/// Guards against a delay that ends after the limit of the route, and against none at all for a caller whose own limit is
/// longer.
#[test]
fn latest_return_follows_the_limit() {
    assert_eq!(latest_return(ms(4000), ms(1000), ms(15)), ms(2985));
    assert_eq!(latest_return(ms(4000), ms(3900), ms(15)), ms(1000));
}
