//! Roles of the instances of a fleet.

use std::collections::BTreeSet;

use hibiscusladder_core::{
    name::InstanceId,
    topology::{HOLDERS_PER_MEMBER, Profile, Topology},
};
use test_case::test_case;

const DATA_CENTRES: [(&str, &str); 4] =
    [("a-1", "region-a"), ("a-2", "region-a"), ("b-1", "region-b"), ("b-2", "region-b")];

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

/// Guards against instances that choose different hubs because they learned of each other in a different order.
#[test]
fn new_does_not_depend_on_the_order() {
    let mut reversed = fleet(40);
    reversed.reverse();
    assert_eq!(Topology::new(fleet(40)), Topology::new(reversed));
}

/// Guards against weak instances that hold the connections of many others.
#[test]
fn holders_are_the_strongest_of_the_data_centre() {
    let topology = Topology::new(fleet(60));
    for member in 0..24 {
        let member = format!("m-{member}").as_str().into();
        let holders = topology.holders(&member, &"a-1".into(), 32).expect("32 are too few for 60");
        let strong: BTreeSet<InstanceId> = ["i-0", "i-4"].map(InstanceId::from).into();
        assert_eq!(holders.into_iter().collect::<BTreeSet<_>>(), strong);
    }
}

/// Guards against members that no instance connects to.
#[test]
fn holders_of_an_unknown_data_centre() {
    let topology = Topology::new(fleet(60));
    let holders = topology.holders(&"m".into(), &"elsewhere".into(), 32);
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
