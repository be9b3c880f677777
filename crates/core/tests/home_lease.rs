//! The exclusive lease on a member.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use hibiscusladder_core::{
    clock::{Instant, with_drift},
    home_lease::{HomeLease, LEASE_WINDOW, LeaseAction, LeaseEvent},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{INFINITE, at};
use test_case::test_case;

fn taken(window: Duration) -> HomeLease {
    let mut lease = HomeLease::new(window);
    assert_eq!(lease.handle(LeaseEvent::Connected, at(0)), Some(LeaseAction::TryLock));
    lease.handle(LeaseEvent::LockTaken { sent: at(0) }, at(1));
    lease
}

/// Guards against a holder that uses the lease before its predecessor's window passed, or after its own.
#[test_case(1011, 1012, true; "after the predecessor's window")]
#[test_case(1010, 1100, false; "poll sent before the drift bound passed")]
#[test_case(1100, 2099, true; "shortly before the end of its own window")]
#[test_case(1100, 2100, false; "paused past its own window")]
fn lease_is_valid_between_windows(polled: u64, now: u64, expected: bool) {
    let mut lease = taken(LEASE_WINDOW);
    lease.handle(LeaseEvent::PollAnswered { sent: at(polled) }, at(polled + 1));
    assert_eq!(lease.valid(at(now)), expected);
}

/// Guards against a successor that does not wait, or that waits after a clean handover.
#[test]
fn handover_makes_lease_usable_at_once() {
    let mut lease = HomeLease::new(LEASE_WINDOW);
    lease.handle(LeaseEvent::Connected, at(0));
    lease.handle(LeaseEvent::LockBusy, at(1));
    assert_eq!(lease.handle(LeaseEvent::HandedOver, at(5)), Some(LeaseAction::TryLock));
    lease.handle(LeaseEvent::LockTaken { sent: at(6) }, at(7));
    assert!(lease.valid(at(7)));
}

/// Guards against an old announcement that counts although another instance may have held the lease since.
#[test]
fn handover_expires() {
    let mut lease = HomeLease::new(LEASE_WINDOW);
    lease.handle(LeaseEvent::HandedOver, at(0));
    lease.handle(LeaseEvent::Connected, at(1000));
    lease.handle(LeaseEvent::LockTaken { sent: at(1000) }, at(1001));
    assert!(!lease.valid(at(1001)));
}

/// Guards against termination of a holder that answers, and against an endless wait for one that does not.
#[test]
fn unresponsive_holder_is_terminated() {
    let mut lease = HomeLease::new(LEASE_WINDOW);
    lease.handle(LeaseEvent::Connected, at(0));
    assert_eq!(lease.handle(LeaseEvent::LockBusy, at(1)), None);
    let find = lease.handle(LeaseEvent::HolderUnresponsive, at(2));
    assert_eq!(find, Some(LeaseAction::FindHolder));
    let terminate = lease.handle(LeaseEvent::Holder { pid: Some(7) }, at(3));
    assert_eq!(terminate, Some(LeaseAction::Terminate { pid: 7 }));
    assert_eq!(lease.handle(LeaseEvent::Terminated, at(4)), Some(LeaseAction::TryLock));
}

/// Guards against a lease that is used after this instance announced that it stopped.
#[test]
fn stopped_lease_is_not_valid() {
    let mut lease = taken(LEASE_WINDOW);
    lease.handle(LeaseEvent::PollAnswered { sent: at(1100) }, at(1101));
    assert!(lease.valid(at(1101)));
    lease.handle(LeaseEvent::Stop, at(1102));
    assert!(!lease.valid(at(1102)));
    assert_eq!(lease.handle(LeaseEvent::Release, at(1103)), Some(LeaseAction::Unlock));
}

/// Guards against a second wait when only the connection was replaced while the lease of this instance was valid.
#[test]
fn own_lease_survives_reconnect() {
    let mut lease = taken(LEASE_WINDOW);
    lease.handle(LeaseEvent::PollAnswered { sent: at(1100) }, at(1101));
    lease.handle(LeaseEvent::ConnectionLost, at(1200));
    assert!(!lease.valid(at(1200)));
    lease.handle(LeaseEvent::Connected, at(1210));
    lease.handle(LeaseEvent::LockTaken { sent: at(1211) }, at(1212));
    assert!(lease.valid(at(1212)));
}

/// Runs three homes of one member with pauses and lost connections and returns whether two of them ever held a valid
/// lease at the same time.
fn two_homes_overlap(seed: u64, window: Duration) -> bool {
    const STEP: Duration = Duration::from_millis(10);
    let mut rng = StdRng::seed_from_u64(seed);
    let rates: Vec<f64> = (0..3).map(|_| rng.random_range(0.9955..1.0045)).collect();
    let mut homes = vec![HomeLease::new(window); 3];
    let mut paused = [Duration::ZERO; 3];
    let mut holder: Option<usize> = None;
    let mut now = Duration::ZERO;
    for _ in 0..3000 {
        now += STEP;
        let clock = |home: usize| Instant::new(now.mul_f64(rates[home]));
        let home = rng.random_range(0..3);
        let draw = rng.random_range(0..100);
        if paused[home] <= now {
            let lock = |lease: &mut HomeLease, holder: &mut Option<usize>| {
                lease.handle(LeaseEvent::Connected, clock(home));
                let free = holder.is_none_or(|other| other == home);
                let sent = clock(home);
                let taken = LeaseEvent::LockTaken { sent };
                lease.handle(if free { taken } else { LeaseEvent::LockBusy }, sent);
                *holder = if free { Some(home) } else { *holder };
            };
            match draw {
                0..2 => paused[home] = now + Duration::from_millis(rng.random_range(100..4000)),
                2 if holder == Some(home) => {
                    homes[home].handle(LeaseEvent::ConnectionLost, clock(home));
                    holder = None;
                }
                3 => holder = None,
                4..30 if holder != Some(home) => lock(&mut homes[home], &mut holder),
                _ if holder == Some(home) => {
                    let sent = clock(home);
                    homes[home].handle(LeaseEvent::PollAnswered { sent }, sent);
                }
                _ => {}
            }
        }
        let valid = (0..3).filter(|home| homes[*home].valid(clock(*home))).count();
        if valid > 1 {
            return true;
        }
    }
    false
}

/// Guards against two homes that use the lease at the same time.
#[test]
fn two_homes_never_overlap() {
    assert_eq!((0..200).find(|seed| two_homes_overlap(*seed, LEASE_WINDOW)), None);
}

/// Shows that the window separates the homes: a lease that does not expire is valid when the successor starts.
#[test]
fn homes_overlap_without_window() {
    let mut old = HomeLease::new(INFINITE);
    old.handle(LeaseEvent::HandedOver, at(0));
    old.handle(LeaseEvent::Connected, at(0));
    old.handle(LeaseEvent::LockTaken { sent: at(0) }, at(1));
    let mut successor = taken(LEASE_WINDOW);
    let usable = successor.usable_from().expect("the lock is held");
    assert_eq!(usable, at(1).plus(with_drift(LEASE_WINDOW)));
    successor.handle(LeaseEvent::PollAnswered { sent: usable }, usable);
    assert!(successor.valid(usable) && old.valid(usable));
}
