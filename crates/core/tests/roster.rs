//! Registration of instances and their knowledge of each other.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::InstanceId,
    roster::{FleetRole, Freshness, LIST_INTERVAL, Listed, Roster, SETTLE_TIME, Step},
    store_version::StoreVersion,
    topology::{Profile, Topology},
};
use test_case::test_case;

/// Entries on a page of a list; each page is one call.
const PAGE_ENTRIES: usize = 50;
/// Cost of a call for a list that may be old, in calls for a current one.
const RECENT_COST: f64 = 0.1;
/// Age of the lists that may be old.
const RECENT_AGE_MS: u64 = 600;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn listed(ms: u64, freshness: Freshness, has_own: bool, revision: u64) -> Listed {
    Listed { sent: at(ms), freshness, has_own, version: StoreVersion::new(0, revision) }
}

/// Guards against a failover or a share of tokens of an instance whose list lacks those that start at the same time.
#[test]
fn is_complete_first_start() {
    let mut roster = Roster::default();
    roster.listed(listed(0, Freshness::Recent, false, 1), at(5));
    assert!(!roster.is_registered(), "an earlier list of another instance lacks this one");
    roster.registered(StoreVersion::new(0, 2), at(10));
    assert!(roster.is_registered() && !roster.is_complete(FleetRole::Hub));
    let settled_ms = 10 + u64::try_from(SETTLE_TIME.as_millis()).expect("short");
    assert_eq!(
        roster.next_step(FleetRole::Hub, at(20)),
        Step::Wait(Some(at(10).plus(SETTLE_TIME)))
    );
    roster.listed(listed(settled_ms, Freshness::Recent, true, 9), at(settled_ms + 5));
    assert!(roster.is_complete(FleetRole::Follower) && !roster.is_complete(FleetRole::Hub));
    let now = at(settled_ms + 5);
    assert_eq!(roster.next_step(FleetRole::Hub, now), Step::List(Freshness::Current));
    roster.listed(listed(settled_ms + 5, Freshness::Current, true, 9), at(settled_ms + 10));
    assert!(roster.is_complete(FleetRole::Hub));
}

/// Guards against a restart that waits as a first start does, although all others are in the list.
#[test]
fn is_complete_restart() {
    let mut roster = Roster::default();
    roster.listed(listed(0, Freshness::Recent, true, 7), at(5));
    assert!(roster.is_complete(FleetRole::Follower));
    assert_eq!(roster.next_step(FleetRole::Hub, at(5)), Step::List(Freshness::Current));
    assert_eq!(roster.next_step(FleetRole::Follower, at(5)), Step::Wait(None));
}

/// Guards against an instance that decides for others with the list of the store from before its own registration,
/// while the store does not answer.
#[test]
fn is_complete_needs_the_store() {
    let mut roster = Roster::default();
    for attempt in 0..5 {
        let now = at(attempt * 1000);
        assert_eq!(roster.next_step(FleetRole::Hub, now), Step::List(Freshness::Recent));
        roster.failed(now);
        assert!(matches!(roster.next_step(FleetRole::Hub, now), Step::Wait(Some(_))));
    }
    assert!(!roster.is_registered() && !roster.is_complete(FleetRole::Hub));
    // A hub that read the store before it failed sends its list.
    roster.relayed(true, StoreVersion::new(0, 40), at(5000));
    assert!(roster.is_registered() && roster.is_complete(FleetRole::Hub));
}

/// Guards against an instance that stays away after its registration was removed while it was unresponsive.
#[test]
fn relayed_without_own_registration() {
    let mut roster = Roster::default();
    roster.listed(listed(0, Freshness::Recent, false, 1), at(0));
    roster.registered(StoreVersion::new(0, 5), at(1));
    roster.relayed(false, StoreVersion::new(0, 4), at(300));
    assert!(roster.is_registered(), "the list is from before the registration");
    roster.relayed(false, StoreVersion::new(0, 90), at(70_000));
    assert_eq!(roster.next_step(FleetRole::Follower, at(70_000)), Step::Register);
}

/// Guards against an early promotion that does not wait for an instance which registered after the latest list.
#[test]
fn is_listed_since_needs_a_later_list() {
    let mut roster = Roster::default();
    roster.listed(listed(0, Freshness::Current, true, 7), at(5));
    assert!(roster.is_listed_since(at(0)) && !roster.is_listed_since(at(100)));
    assert!(matches!(roster.next_step(FleetRole::Hub, at(100)), Step::Wait(_)));
    roster.list_now();
    assert_eq!(roster.next_step(FleetRole::Hub, at(100)), Step::List(Freshness::Current));
    roster.relayed(true, StoreVersion::new(0, 8), at(101));
    assert!(!roster.is_listed_since(at(100)), "another instance may have read its list earlier");
    roster.listed(listed(102, Freshness::Current, true, 9), at(110));
    assert!(roster.is_listed_since(at(100)));
    assert!(matches!(roster.next_step(FleetRole::Hub, at(110)), Step::Wait(_)));
}

/// Guards against hubs that miss an instance whose message was lost, and against a list for each message of one that
/// is not registered.
#[test]
fn next_step_hub() {
    let mut roster = Roster::default();
    roster.listed(listed(0, Freshness::Current, true, 7), at(5));
    assert_eq!(
        roster.next_step(FleetRole::Hub, at(10)),
        Step::Wait(Some(at(0).plus(LIST_INTERVAL)))
    );
    roster.request_list();
    assert_eq!(roster.next_step(FleetRole::Hub, at(10)), Step::Wait(Some(at(1000))));
    assert_eq!(roster.next_step(FleetRole::Hub, at(1000)), Step::List(Freshness::Current));
}

/// Registrations in the store, with the time of each, and the cost of the calls.
#[derive(Default)]
struct Store {
    entries: BTreeMap<usize, u64>,
    calls: f64,
}

impl Store {
    fn list(&mut self, freshness: Freshness, now_ms: u64) -> Vec<usize> {
        let (cost, age) = match freshness {
            Freshness::Current => (1.0, 0),
            Freshness::Recent => (RECENT_COST, RECENT_AGE_MS),
        };
        let known = self.entries.iter().filter(|(_, written)| **written + age <= now_ms);
        let known: Vec<usize> = known.map(|(number, _)| *number).collect();
        self.calls += cost * known.len().div_ceil(PAGE_ENTRIES).max(1) as f64;
        known
    }
}

fn topology(numbers: &[usize]) -> Topology {
    Topology::new(numbers.iter().map(|number| Profile {
        name: name(*number),
        data_centre: format!("dc-{}", number % 6).into(),
        region: format!("region-{}", number % 2).into(),
        capacity: if *number < 18 { 500 } else { 120 },
    }))
}

fn name(number: usize) -> InstanceId {
    format!("i-{number}").into()
}

/// Starts a fleet of `count` instances within 300 ms; returns the cost of the calls in the first 30 s.
fn start_fleet(count: usize, store: &mut Store) -> f64 {
    store.calls = 0.0;
    let start_ms = 60_000;
    let mut fleet: Vec<(Roster, FleetRole)> =
        (0..count).map(|_| (Roster::default(), FleetRole::Follower)).collect();
    for step in 0..3000 {
        let now_ms = start_ms + step * 10;
        for (number, (roster, role)) in fleet.iter_mut().enumerate() {
            if now_ms < start_ms + (number as u64 * 37) % 300 {
                continue;
            }
            match roster.next_step(*role, at(now_ms)) {
                Step::List(freshness) => {
                    let known = store.list(freshness, now_ms);
                    let has_own = known.contains(&number);
                    roster.listed(listed(now_ms, freshness, has_own, now_ms), at(now_ms));
                    let is_hub = topology(&known).is_hub(&name(number));
                    *role = if is_hub { FleetRole::Hub } else { FleetRole::Follower };
                }
                Step::Register => {
                    store.calls += 1.0;
                    store.entries.insert(number, now_ms);
                    roster.registered(StoreVersion::new(0, now_ms), at(now_ms));
                }
                Step::Wait(_) => {}
            }
        }
    }
    let hubs = topology(&(0..count).collect::<Vec<_>>());
    for (number, (roster, role)) in fleet.iter().enumerate() {
        assert!(roster.is_complete(*role), "instance {number}");
        assert_eq!(*role == FleetRole::Hub, hubs.is_hub(&name(number)));
    }
    store.calls
}

/// Guards against calls to the store that grow with the square of the fleet when all instances start at once, for the
/// first time or after a loss of power.
#[test_case(295)]
#[test_case(620)]
fn next_step_all_start_at_once(count: usize) {
    let mut store = Store::default();
    let first = start_fleet(count, &mut store);
    assert!(first <= 5.0 * count as f64, "{first} calls at the first start of {count}");
    for written in store.entries.values_mut() {
        *written = 0;
    }
    let restart = start_fleet(count, &mut store);
    assert!(restart <= 2.0 * count as f64, "{restart} calls at a restart of {count}");
}

/// Guards against an instance whose registration a restored store lacks, and that does not write it again or stops its work
/// until it has; and against one that goes on for longer than others count on it.
#[test]
fn next_step_registers_again_after_a_restore() {
    let mut roster = Roster::default();
    roster.registered(StoreVersion::new(1, 530), at(0));
    roster.relayed(true, StoreVersion::new(1, 540), at(100));
    roster.relayed(false, StoreVersion::new(2, 521), at(5000));
    assert_eq!(roster.next_step(FleetRole::Follower, at(5000)), Step::Register);
    assert!(roster.is_registered() && roster.is_complete(FleetRole::Follower));
    let mut written = roster.clone();
    written.registered(StoreVersion::new(2, 525), at(5100));
    assert_eq!(written.next_step(FleetRole::Follower, at(5100)), Step::Wait(None));
    roster.failed(at(34_900));
    assert!(roster.is_registered());
    roster.failed(at(35_000));
    assert!(!roster.is_registered());
}

/// Guards against a hub that goes on with the list from before a restore until the next one is due.
#[test]
fn next_step_lists_after_a_restore() {
    let mut roster = Roster::default();
    roster.registered(StoreVersion::new(1, 4), at(0));
    roster.listed(listed(1000, Freshness::Current, true, 5), at(1000));
    assert!(matches!(roster.next_step(FleetRole::Hub, at(1100)), Step::Wait(_)));
    roster.store_restored();
    assert_eq!(roster.next_step(FleetRole::Hub, at(1100)), Step::List(Freshness::Current));
    assert_eq!(roster.next_step(FleetRole::Orphan, at(1100)), Step::List(Freshness::Recent));
    assert_eq!(roster.next_step(FleetRole::Follower, at(1100)), Step::Wait(None));
}
