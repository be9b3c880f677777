//! Roles of the instances of a fleet.

use std::collections::{BTreeMap, BTreeSet};

use hibiscusladder_core::{
    name::InstanceId,
    topology::{Connections, HOLDERS_PER_MEMBER, Profile, STANDBYS_PER_MEMBER, Topology},
};
use test_case::test_case;

const DATA_CENTRES: [(&str, &str); 4] =
    [("a-1", "region-a"), ("a-2", "region-a"), ("b-1", "region-b"), ("b-2", "region-b")];

fn connections(accepted: usize, workspaces: usize) -> Connections {
    Connections { accepted, workspaces }
}

fn fleet(count: usize) -> Vec<Profile> {
    let profile = |number: usize| {
        let (data_centre, region) = DATA_CENTRES[number % DATA_CENTRES.len()];
        Profile {
            name: InstanceId::from(format!("i-{number}")),
            data_centre: data_centre.into(),
            region: region.into(),
            capacity: if number < 8 { 500 } else { 120 },
        }
    };
    (0..count).map(profile).collect()
}

/// Guards against messages that grow with the square of the fleet, and against a region without a hub.
#[test_case(8, 8; "a small fleet is flat")]
#[test_case(12, 12; "the largest flat fleet")]
#[test_case(13, 4; "the smallest with hubs")]
#[test_case(300, 4; "a large fleet")]
fn hubs_count(instances: usize, hubs: usize) {
    let topology = Topology::new(fleet(instances));
    assert_eq!(topology.hubs().count(), hubs);
    assert_eq!(topology.is_flat(), hubs == instances);
    for instance in fleet(instances) {
        assert!(topology.regional_hubs(&instance.name).count() > 0);
    }
}

/// Guards against hubs that know nothing of the hubs before them: each region has instances that become hubs next.
#[test_case(12, 0; "a flat fleet")]
#[test_case(13, 4; "the smallest with hubs")]
#[test_case(300, 4; "a large fleet")]
fn is_successor_of_lost_hubs(instances: usize, successors: usize) {
    let topology = Topology::new(fleet(instances));
    let fleet = fleet(instances).into_iter();
    let (next, rest): (Vec<_>, Vec<_>) =
        fleet.partition(|instance| topology.is_successor(&instance.name));
    assert_eq!(next.len(), successors);
    assert!(next.iter().all(|instance| !topology.is_hub(&instance.name)));
    let survivors = next.iter().chain(&rest).filter(|instance| !topology.is_hub(&instance.name));
    let later = Topology::new(survivors.cloned());
    assert!(next.iter().all(|instance| later.is_hub(&instance.name)));
}

/// Guards against instances that choose different hubs because they learned of each other in a different order.
#[test]
fn new_does_not_depend_on_the_order() {
    let mut reversed = fleet(40);
    reversed.reverse();
    assert_eq!(Topology::new(fleet(40)), Topology::new(reversed));
}

/// Number of members that each instance holds.
fn held(topology: &Topology, members: usize) -> BTreeMap<InstanceId, usize> {
    let mut held = BTreeMap::new();
    for number in 0..members {
        let member = format!("m-{number}").as_str().into();
        let (data_centre, _) = DATA_CENTRES[number % DATA_CENTRES.len()];
        let holders = topology
            .holders(&member, &data_centre.into(), connections(857, 190))
            .expect("a large fleet");
        for holder in holders {
            *held.entry(holder).or_insert(0) += 1;
        }
    }
    held
}

/// Guards against a few instances that hold the connections of all others while the rest of their data centre is idle,
/// and against weak instances that hold more than their capacity allows: each works for others in proportion to its
/// capacity.
#[test_case(60, 48; "60 instances")]
#[test_case(295, 60; "295 instances")]
#[test_case(620, 1980; "620 instances")]
fn holders_are_spread_by_capacity(instances: usize, members: usize) {
    let topology = Topology::new(fleet(instances));
    let capacity: u32 = fleet(instances).iter().map(|profile| profile.capacity).sum();
    let roles = members * HOLDERS_PER_MEMBER;
    let held = held(&topology, members);
    for profile in fleet(instances) {
        let count = held.get(&profile.name).copied().unwrap_or(0) as f64;
        if topology.is_hub(&profile.name) {
            assert_eq!(count, 0.0, "a hub works for its region already");
        }
        let part = f64::from(profile.capacity) / f64::from(capacity) * roles as f64;
        // Chance alone explains three times the root of the part beyond it.
        assert!(
            count <= part + 3.0 * part.sqrt() + 2.0,
            "{} holds {count}, not {part}",
            profile.name
        );
    }
}

/// Guards against a change of the fleet that closes the connections to most members.
#[test]
fn holders_change_for_few_members() {
    let before = Topology::new(fleet(295));
    let after =
        Topology::new(fleet(295).into_iter().filter(|profile| profile.name.as_str() != "i-100"));
    let holders = |topology: &Topology, number: usize| {
        let member = format!("m-{number}").as_str().into();
        topology.holders(&member, &"a-1".into(), connections(857, 190))
    };
    for number in 0..200 {
        let (before, after) = (holders(&before, number), holders(&after, number));
        let had = before.as_ref().is_some_and(|names| names.contains(&"i-100".into()));
        assert!(had || before == after, "member {number} has other holders");
    }
}

/// Guards against members that no instance connects to.
#[test]
fn holders_of_an_unknown_data_centre() {
    let topology = Topology::new(fleet(60));
    let holders = topology.holders(&"m".into(), &"elsewhere".into(), connections(32, 70));
    assert_eq!(holders.map(|holders| holders.len()), Some(HOLDERS_PER_MEMBER));
}

/// Guards against an instance that is taken for lost because its messages go to others.
#[test]
fn receives_from_follows_the_messages() {
    let topology = Topology::new(fleet(60));
    let hubs: Vec<&InstanceId> = topology.hubs().collect();
    let followers = fleet(60).into_iter().filter(|profile| !topology.is_hub(&profile.name));
    for follower in followers {
        let regional: Vec<&InstanceId> = topology.regional_hubs(&follower.name).collect();
        for hub in &hubs {
            assert_eq!(topology.receives_from(hub, &follower.name), regional.contains(hub));
            assert!(topology.receives_from(hub, hubs[0]));
        }
        assert!(!topology.receives_from(&follower.name, &"i-59".into()));
    }
}

/// Guards against instances that open a connection for most requests, because each has fewer than there are workspaces,
/// and against a needless hop where connections are reused anyway.
#[test_case(8, 21, 8, true; "two connections for eight workspaces")]
#[test_case(8, 16, 8, true; "as few as an instance can use")]
#[test_case(8, 55, 8, false; "six connections for eight workspaces")]
#[test_case(2, 24, 2, false; "one for each workspace and more")]
#[test_case(8, 12, 1, true; "one connection, which polls use as well")]
#[test_case(60, 857, 8, true; "a large fleet")]
fn needs_holders_by_cost(instances: usize, accepted: usize, workspaces: usize, expected: bool) {
    let topology = Topology::new(fleet(instances));
    assert_eq!(topology.needs_holders(connections(accepted, workspaces)), expected);
}

/// Guards against standby instances that the partition separates from the member together with its holders.
#[test]
fn standbys_are_spread_over_other_data_centres() {
    let topology = Topology::new(fleet(40));
    let member = "m-1".into();
    let holders =
        topology.holders(&member, &"a-1".into(), connections(70, 70)).expect("a large fleet");
    let standbys = topology.standbys(&member, &holders);
    assert_eq!(standbys.len(), STANDBYS_PER_MEMBER);
    assert!(standbys.iter().all(|standby| !holders.contains(standby)));
    let data_centre = |name: &InstanceId| {
        fleet(40)
            .into_iter()
            .find(|profile| profile.name == *name)
            .map(|profile| profile.data_centre)
    };
    let first: BTreeSet<_> = standbys.iter().take(3).map(data_centre).collect();
    assert_eq!(first.len(), 3, "the first three are in different data centres");
    assert!(!first.contains(&data_centre(&holders[0])));
}
