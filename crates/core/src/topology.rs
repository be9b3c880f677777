//! Which instances carry what in a fleet: hubs for messages, and holders of connections to a member.
//!
//! A small fleet is flat: all instances are hubs and connect to all members. In a large one messages would grow with
//! the square of the fleet, and members could not accept a connection of each instance. All instances work out the same
//! answer from the same list, without any message.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::topology::{Profile, Topology};
//!
//! let profile = |name: String| Profile {
//!     name: name.as_str().into(),
//!     data_centre: "bern-nord".into(),
//!     region: "mittelland".into(),
//!     capacity: 120,
//! };
//! let fleet = Topology::new((0..40).map(|number| profile(format!("i-{number}"))));
//! assert_eq!(fleet.hubs().count(), 2);
//! let holders = fleet.holders(&"m-1".into(), &"bern-nord".into(), 32).expect("a large fleet");
//! assert_eq!(holders.len(), 2);
//! let small = Topology::new((0..8).map(|number| profile(format!("i-{number}"))));
//! assert!(small.holders(&"m-1".into(), &"bern-nord".into(), 16).is_none());
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    membership,
    name::{DataCentre, InstanceId, MemberId},
};

/// Largest fleet in which all instances are hubs.
const FLAT_INSTANCES: usize = 12;
/// Hubs in each region of a larger fleet; one may be lost.
const HUBS_PER_REGION: usize = 2;
/// Holders of the connections to a member; one may be lost.
pub const HOLDERS_PER_MEMBER: usize = 2;
/// Connections to a member for each instance below which only holders connect.
const MIN_DIRECT_CONNECTIONS: usize = 2;

/// What is known about an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// Its name.
    pub name: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Box<str>,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
}

/// The instances of a fleet and their parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    instances: BTreeMap<InstanceId, Profile>,
    hubs: BTreeSet<InstanceId>,
}

impl Topology {
    /// Works out the parts of the instances.
    pub fn new<I>(instances: I) -> Self
    where
        I: IntoIterator<Item = Profile>,
    {
        let instances: BTreeMap<InstanceId, Profile> =
            instances.into_iter().map(|profile| (profile.name.clone(), profile)).collect();
        let hubs = if instances.len() <= FLAT_INSTANCES {
            instances.keys().cloned().collect()
        } else {
            let regions: BTreeSet<&str> =
                instances.values().map(|profile| &*profile.region).collect();
            let chosen = regions.into_iter().flat_map(|region| {
                let inside = instances.values().filter(|profile| *profile.region == *region);
                strongest(region, inside.collect()).into_iter().take(HUBS_PER_REGION)
            });
            chosen.map(|profile| profile.name.clone()).collect()
        };
        Self { instances, hubs }
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Whether all instances are hubs.
    pub fn is_flat(&self) -> bool {
        self.hubs.len() == self.instances.len()
    }

    /// Whether `instance` is a hub.
    pub fn is_hub(&self, instance: &InstanceId) -> bool {
        self.hubs.contains(instance)
    }

    /// The hubs.
    pub fn hubs(&self) -> impl Iterator<Item = &InstanceId> {
        self.hubs.iter()
    }

    /// The hubs in the region of `instance`.
    pub fn regional_hubs<'a>(
        &'a self,
        instance: &InstanceId,
    ) -> impl Iterator<Item = &'a InstanceId> + use<'a> {
        let region = self.instances.get(instance).map(|profile| profile.region.clone());
        self.hubs.iter().filter(move |hub| {
            self.instances.get(*hub).map(|profile| &profile.region) == region.as_ref()
        })
    }

    /// The instances that connect to a member in `data_centre`, the preferred one first; `None` when all do.
    ///
    /// `max_connections` is what the member accepts from all of them together.
    pub fn holders(
        &self,
        member: &MemberId,
        data_centre: &DataCentre,
        max_connections: usize,
    ) -> Option<Vec<InstanceId>> {
        if self.is_flat() && max_connections >= MIN_DIRECT_CONNECTIONS * self.instances.len() {
            return None;
        }
        let near = self.instances.values().filter(|profile| profile.data_centre == *data_centre);
        let mut candidates: Vec<&Profile> = near.collect();
        if candidates.is_empty() {
            candidates = self.instances.values().collect();
        }
        let ranked = strongest(member.as_str(), candidates);
        Some(
            ranked
                .into_iter()
                .take(HOLDERS_PER_MEMBER)
                .map(|profile| profile.name.clone())
                .collect(),
        )
    }
}

/// The profiles by falling capacity; equal ones in an order that differs for each key.
fn strongest<'a>(key: &str, mut profiles: Vec<&'a Profile>) -> Vec<&'a Profile> {
    profiles.sort_by_cached_key(|profile| {
        let weight = membership::weight(&[key], profile.name.as_str());
        std::cmp::Reverse((profile.capacity, weight))
    });
    profiles
}
