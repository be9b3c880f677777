//! Which instance acts when hubs are lost or have lost the store.

use std::{collections::BTreeSet, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::InstanceId,
    succession::{
        ContactAges, FREEZE, Place, RETURN_TIME, Reach, STORE_LOSS_TIME, STORE_STALE, Succession,
        TAKEOVER_TIME, TURN, TakeoverCause,
    },
    topology::{Profile, Topology},
};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(250);

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn fleet(count: usize) -> Vec<Profile> {
    let profile = |number: usize| Profile {
        name: InstanceId::from(format!("i-{number}")),
        data_centre: if number.is_multiple_of(2) { "a-1" } else { "b-1" }.into(),
        region: if number.is_multiple_of(2) { "region-a" } else { "region-b" }.into(),
        capacity: if number < 8 { 500 } else { 120 },
    };
    (0..count).map(profile).collect()
}

fn hubs_of(topology: &Topology, instance: &InstanceId) -> Vec<InstanceId> {
    topology.regional_hubs(instance).cloned().collect()
}

/// Guards against a fleet of 620 in which all instances read the store at once, or replace the hubs at once, when all hubs
/// are lost: at each time one pair of each region has its turn.
#[test]
fn lost_hubs_give_turns_to_pairs() {
    let profiles = fleet(620);
    let topology = Topology::new(profiles.clone());
    let others: Vec<_> =
        profiles.iter().filter(|profile| !topology.is_hub(&profile.name)).collect();
    let mut states: Vec<Succession> = others.iter().map(|_| Succession::default()).collect();
    let (mut readers, mut candidates) = (BTreeSet::new(), BTreeSet::new());
    let mut now = at(0);
    while now < at(0).plus(TAKEOVER_TIME + 5 * TURN) {
        let (mut reading, mut taking_over) = (0, 0);
        for (profile, state) in others.iter().zip(&mut states) {
            let hubs = hubs_of(&topology, &profile.name);
            state.observe(&hubs, false, now);
            let place = topology.place(&profile.name);
            if state.reads_store(place, now) {
                reading += 1;
                state.record_contact(false, now);
                readers.insert(profile.name.clone());
            }
            if state.takeover(&hubs, place.expect("no hub"), now).is_some() {
                taking_over += 1;
                candidates.insert(profile.name.clone());
            }
        }
        assert!(reading <= 4 && taking_over <= 4, "{reading} and {taking_over} at {now:?}");
        now = now.plus(STEP);
    }
    assert!(
        readers.len() >= 20 && candidates.len() == 20,
        "{} {}",
        readers.len(),
        candidates.len()
    );
}

/// Guards against new hubs that are replaced before they could have sent a message, against a takeover right after this
/// process was frozen, and against one while a hub is live.
#[test_case(false, false, true; "lost")]
#[test_case(true, false, false; "other hubs")]
#[test_case(false, true, false; "frozen")]
fn takeover_needs_silence(other_hubs: bool, freeze: bool, expected: bool) {
    let hubs = ["h-1".into(), "h-2".into()];
    let others = ["h-3".into(), "h-4".into()];
    let place = Place { pair: 0, pairs: 3 };
    let mut succession = Succession::default();
    let mut now = at(0);
    succession.observe(&hubs, true, now);
    while now < at(0).plus(TAKEOVER_TIME + STEP) {
        now = now.plus(STEP);
        succession.observe(&hubs, false, now);
    }
    if freeze {
        now = now.plus(FREEZE);
        succession.observe(&hubs, false, now);
    }
    let hubs = if other_hubs { &others } else { &hubs };
    assert_eq!(succession.takeover(hubs, place, now).is_some(), expected);
    succession.observe(hubs, true, now);
    assert_eq!(succession.takeover(hubs, place, now), None);
}

/// Guards against instances that go on without newer data because their hubs are live and have lost the store, against more
/// than one reader, and against hubs that keep duties for which they need the store.
#[test]
fn reads_store_while_hubs_have_lost_it() {
    let hubs = ["h-1".into(), "h-2".into()];
    let (first, second) = (Place { pair: 0, pairs: 3 }, Place { pair: 1, pairs: 3 });
    let (mut reader, mut other) = (Succession::default(), Succession::default());
    let last_contact = at(10_000);
    let mut now = at(0);
    while now < last_contact.plus(STORE_LOSS_TIME + STEP) {
        for (state, place) in [(&mut reader, first), (&mut other, second)] {
            state.observe(&hubs, true, now);
            if now <= last_contact {
                let age = Some(Duration::ZERO);
                state.record_told(ContactAges { hubs: age, any: age }, now);
            }
            let reads = state.reads_store(Some(place), now);
            let is_due = now.since(last_contact) >= STORE_STALE;
            assert_eq!(reads, is_due && place == first, "{place:?} at {now:?}");
            if reads {
                state.record_contact(false, now);
            }
        }
        other.record_told(reader.contact_ages(false, now), now);
        now = now.plus(STEP);
    }
    assert_eq!(reader.takeover(&hubs, first, now), Some(TakeoverCause::NoStore));
    assert_eq!(other.takeover(&hubs, second, now), None);
    let age = Some(Duration::ZERO);
    reader.record_told(ContactAges { hubs: age, any: age }, now);
    assert!(!reader.reads_store(Some(first), now), "a hub has the store again");
}

/// Guards against new hubs that are replaced because those before them had no store, by all stand-ins that have it.
#[test]
fn new_hubs_have_time_to_reach_the_store() {
    let place = Place { pair: 1, pairs: 3 };
    let mut succession = Succession::default();
    let mut now = at(0);
    let observe_until =
        |succession: &mut Succession, hubs: &[InstanceId], now: &mut Instant, end| {
            while *now < end {
                succession.observe(hubs, true, *now);
                succession.record_contact(false, *now);
                *now = now.plus(STEP);
            }
        };
    let (lost, new) = (["h-1".into()], ["h-2".into()]);
    let end = now.plus(STORE_LOSS_TIME + STEP);
    observe_until(&mut succession, &lost, &mut now, end);
    assert_eq!(succession.takeover(&lost, place, now), None, "hubs of an earlier version");
    succession.record_told(ContactAges::default(), now);
    assert_eq!(succession.takeover(&lost, place, now), Some(TakeoverCause::NoStore));
    let end = now.plus(STORE_LOSS_TIME - STEP);
    observe_until(&mut succession, &new, &mut now, end);
    assert_eq!(succession.takeover(&new, place, now), None);
}

/// Guards against a replaced instance that comes back before the hubs in its place have settled.
#[test]
fn may_return_after_hubs_were_live() {
    let hubs = ["h-1".into()];
    let mut succession = Succession::default();
    let mut now = at(0);
    while now < at(0).plus(RETURN_TIME) {
        succession.observe(&hubs, true, now);
        assert!(!succession.may_return(now));
        now = now.plus(STEP);
    }
    succession.observe(&hubs, true, now);
    assert!(succession.may_return(now));
    succession.observe(&hubs, false, now);
    assert!(!succession.may_return(now));
}

/// Guards against two sets of hubs that spend an allowance twice: the parts on both sides of a cut are not more than one
/// allowance, whichever side has the store.
#[test_case(20, false, false; "the new hubs hear most")]
#[test_case(20, false, true; "a frozen hub")]
#[test_case(45, false, false; "the old hubs hear most")]
#[test_case(45, true, true; "the old hubs hear most and have the store")]
fn parts_of_both_sides(heard_by_old: usize, old_has_store: bool, is_doubted: bool) {
    const OTHERS: usize = 58;
    let old = Reach {
        expected: OTHERS,
        heard: heard_by_old,
        has_silent_replaced: false,
        has_store: old_has_store,
        is_doubted,
    };
    // The instance itself is on the other side for each of them.
    let heard = OTHERS - 1 - heard_by_old;
    let new = Reach { heard, has_silent_replaced: true, has_store: true, is_doubted: false, ..old };
    assert!(old.part() + new.part() <= 1.0, "{} and {}", old.part(), new.part());
    assert!(new.part() > 0.0 && old.part() > 0.0);
}

/// Guards against hubs that lose a part of the allowance without a reason.
#[test_case(false, false, true, true; "all well")]
#[test_case(true, false, true, false; "a silent replaced instance")]
#[test_case(false, true, true, false; "doubted")]
#[test_case(false, false, false, false; "no store")]
fn part_is_whole(has_silent_replaced: bool, is_doubted: bool, has_store: bool, whole: bool) {
    let reach = Reach { expected: 30, heard: 20, has_silent_replaced, has_store, is_doubted };
    assert_eq!(reach.part() >= 1.0, whole);
    let all = Reach { heard: 30, ..reach };
    assert!(all.part() >= 1.0, "all others are heard");
}

/// Guards against roles that differ from one instance to the next, and against a region without hubs when all are replaced.
#[test]
fn replaced_instances_become_hubs_last() {
    let profiles = fleet(40);
    let before = Topology::new(profiles.clone());
    let own = &profiles[20].name;
    let replaced: BTreeSet<_> = before.hubs().cloned().collect();
    let after = Topology::with_replaced(profiles.clone(), &replaced);
    assert!(after.hubs().all(|hub| !replaced.contains(hub) && before.is_successor(hub)));
    assert_eq!(after.hubs().count(), 4);
    assert_eq!(after.standins(own).len(), 18);
    let last = after.standins(own).last().expect("a stand-in");
    assert!(replaced.contains(last));
    let all: BTreeSet<_> = profiles.iter().map(|profile| profile.name.clone()).collect();
    assert_eq!(Topology::with_replaced(profiles, &all), before);
}
