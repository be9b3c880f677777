//! Limits of the connections to a member after a loss of processes.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    connection_limit::{ConnectionLimit, reserve, standby_part},
};
use test_case::test_case;

/// Guards against holders that together fill a member, so that none can connect after a loss of all processes.
#[test_case(35, 5, 2, 5; "two connections for each slot")]
#[test_case(37, 6, 2, 6; "six slots")]
#[test_case(8, 6, 2, 2; "a quarter of a small part")]
#[test_case(1, 4, 2, 1; "one for control commands")]
#[test_case(428, 6, 2, 6; "a member that accepts many")]
fn reserve_leaves_room(part: usize, slots: usize, holders: usize, expected: usize) {
    assert_eq!(reserve(part, slots, holders), expected);
}

/// Guards against an instance that opens connections again and again while the member still counts those of lost
/// processes: 2,150 requests of one day were retried for it.
#[test]
fn refused_attempts_are_bounded_while_old_connections_last() {
    const ACCEPTED: usize = 5;
    const OLD_CONNECTIONS_END: Duration = Duration::from_secs(3);
    let mut limit = ConnectionLimit::new(30);
    let mut refusals = 0;
    let mut open = 0;
    let start = Instant::default();
    for step in 0..5_000 {
        let elapsed = Duration::from_millis(step);
        let now = start.plus(elapsed);
        if open >= limit.current(now) {
            continue;
        }
        if open >= ACCEPTED && elapsed < OLD_CONNECTIONS_END {
            limit.refused(open, now);
            refusals += 1;
        } else {
            open += 1;
        }
    }
    assert!(refusals <= 30, "{refusals} refusals in 3 s");
    assert!(open > 20, "only {open} connections 2 s after the old ones have ended");
}

/// Guards against a limit that stays at zero, so that the member is never tried again.
#[test]
fn limit_allows_one_connection_when_none_was_accepted() {
    let now = Instant::default();
    let mut limit = ConnectionLimit::new(30);
    limit.refused(0, now);
    assert_eq!(limit.current(now), 1);
}

/// Guards against a learned limit that outlives a lower configured one.
#[test]
fn configured_limit_binds_after_refusals() {
    let now = Instant::default();
    let mut limit = ConnectionLimit::new(30);
    limit.refused(20, now);
    limit.configure(10);
    assert_eq!(limit.current(now), 10);
}

/// Guards against standby instances whose connections exceed what the holders leave of the member's limit.
#[test_case(70, 5)]
#[test_case(75, 6)]
#[test_case(16, 2)]
#[test_case(857, 6)]
#[test_case(2, 2)]
fn standby_part_fits_into_the_reserve(accepted: usize, slots: usize) {
    let part = accepted / 2;
    let reserved = reserve(part, slots, 2);
    let held = part.saturating_sub(reserved).max(1);
    let control = part.saturating_sub(held).min(1);
    let standbys = 4 * standby_part(reserved, 2, 4);
    assert!(2 * (held + control) + standbys <= accepted);
}
