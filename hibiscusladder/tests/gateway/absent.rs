//! Failovers while members are down that will come back with commits which no other member has.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};

use crate::fleet::{Fleet, query_once, save_logs};

/// Time from the crash of a member until no instance lists it any more (3.6 s and 2.5 s).
const UNLISTED_AFTER: Duration = Duration::from_millis(7000);
/// Time in which instances that have just started would replace a primary.
const FAILOVER_TIME: Duration = Duration::from_secs(5);
/// Time within which a request is refused that cannot be served; one that waits for a primary waits for 4.5 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time until the group serves writes again after a member with all commits is back.
const RETURN_TIMEOUT: Duration = Duration::from_secs(15);

fn write(fleet: &Fleet, key: &str, timeout: Duration) {
    let until = Instant::now() + timeout;
    let (address, text) = (fleet.gateways[0].callers, format!("WRITE {key} {key}"));
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("{key}{number}");
        let answer = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], &id, &text);
        if answer.is_ok_and(|reply| reply.outcome.is_ok()) {
            return;
        }
        assert!(Instant::now() < until, "no write: logs in {}", save_logs(fleet, "absent"));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Restarts all instances of a fleet of two whose primary (0) and only replica with its latest commit (1) are down, and waits
/// for the time in which they would replace the primary. Requests are refused at once then.
fn restart_beside_a_stale_replica() -> Fleet {
    let mut fleet = Fleet::start(2);
    write(&fleet, "a", RETURN_TIMEOUT);
    // The logs of the group are recorded within two intervals of a second.
    thread::sleep(Duration::from_millis(2500));
    fleet.standin.lock_group().set_replication_blocked(2, true);
    write(&fleet, "b", RETURN_TIMEOUT);
    for member in [0, 1] {
        fleet.standin.lock_group().set_running(member, false);
    }
    thread::sleep(UNLISTED_AFTER);
    for gateway in 0..fleet.gateways.len() {
        fleet.gateways[gateway].process.kill().expect("the process runs");
        fleet.restart(gateway);
    }
    thread::sleep(FAILOVER_TIME);
    let asked = Instant::now();
    let address = fleet.gateways[0].callers;
    let refused = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], "r", "WRITE r 1");
    assert_eq!(refused.expect("an answer").code(), Some("BUSY"));
    assert!(asked.elapsed() < REFUSAL_TIMEOUT, "{:?}", asked.elapsed());
    fleet.standin.lock_group().set_replication_blocked(2, false);
    fleet
}

/// Guards against the loss of commits when all instances restart while the primary and the only replica with its latest
/// commits are down (`review/7`), against requests that wait meanwhile, and against a group without a primary once the replica is
/// back under another id.
#[test]
fn restart_while_two_members_are_down() {
    let fleet = restart_beside_a_stale_replica();
    fleet.standin.lock_group().restart_as_new(1);
    write(&fleet, "c", RETURN_TIMEOUT);
    let group = fleet.standin.lock_group();
    let (lost, primary) = (group.lost_writes().clone(), group.primary());
    drop(group);
    assert!(lost.is_empty(), "{lost:?} lost: logs in {}", save_logs(&fleet, "absent"));
    assert_eq!(primary, 1, "logs in {}", save_logs(&fleet, "absent"));
}

/// Guards against a group that stays out of service after its members were lost for good, although an operator has said so.
#[test]
fn members_that_are_declared_lost() {
    let fleet = restart_beside_a_stale_replica();
    // One other log may be missing.
    fleet.standin.declare_lost(1);
    let until = Instant::now() + RETURN_TIMEOUT;
    while fleet.standin.lock_group().primary() != 2 {
        assert!(Instant::now() < until, "logs in {}", save_logs(&fleet, "absent"));
        thread::sleep(Duration::from_millis(20));
    }
    // A write needs a replica that receives it.
    fleet.standin.lock_group().restart_as_new(1);
    write(&fleet, "c", RETURN_TIMEOUT);
}
