//! Roles of instances in a fleet: hubs for messages between instances, and holders of connections to a member.
//!
//! A small fleet is flat: all instances are hubs and connect to all members. In a large fleet, the number of messages
//! would grow with the square of the number of instances, and members could not accept a connection from each instance.
//! All instances compute the same roles from the same list, without exchanging messages.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::topology::{Connections, Profile, Topology};
//!
//! let profile = |name: String| Profile {
//!     name: name.as_str().into(),
//!     data_centre: "bern-nord".into(),
//!     region: "mittelland".into(),
//!     capacity: 120,
//! };
//! let fleet = Topology::new((0..40).map(|number| profile(format!("i-{number}"))));
//! assert_eq!(fleet.hubs().count(), 2);
//! let connections = Connections { accepted: 32, workspaces: 4 };
//! let holders = fleet.holders(&"m-1".into(), &"bern-nord".into(), connections);
//! let holders = holders.expect("a large fleet");
//! assert_eq!(holders.len(), 2);
//! let small = Topology::new((0..8).map(|number| profile(format!("i-{number}"))));
//! assert!(small.holders(&"m-1".into(), &"bern-nord".into(), connections).is_none());
//! ```

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    membership,
    name::{DataCentre, InstanceId, MemberId},
    succession::Place,
};

/// Largest number of instances for which all of them are hubs, whatever their regions.
const MAX_FLAT_INSTANCES: usize = 12;
/// Number of hubs in each region of a larger fleet; one of them may fail.
const HUBS_PER_REGION: usize = 2;
/// Number of holders of the connections to a member; one of them may fail.
pub const HOLDERS_PER_MEMBER: usize = 2;
/// Largest number of instances that serve a member while its holders cannot reach it.
pub const STANDBYS_PER_MEMBER: usize = 4;
/// Capacity, in thousandths of a core, for each hash with which an instance competes for the members.
const CAPACITY_PER_DRAW: u32 = 40;
/// Number of connections per instance that a member has to accept, so that all instances of a flat fleet connect to it.
const MIN_CONNECTIONS_PER_INSTANCE: usize = 2;

/// Time that a new connection occupies a slot of its member.
const OPENING_TIME: Duration = Duration::from_millis(12);
/// Time that a call through a holder takes longer, within a region.
const HOP_TIME: Duration = Duration::from_millis(3);

/// Connections to a member, and the workspaces that they are divided among.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// Connections that the member accepts from all instances together.
    pub accepted: usize,
    /// Number of workspaces; a connection serves one of them.
    pub workspaces: usize,
}

/// Properties of an instance that decide its roles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// Identifier of the instance.
    pub name: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Box<str>,
    /// Processing capacity, in thousandths of a core.
    pub capacity: u32,
}

/// The instances of a fleet, and the hubs among them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    instances: BTreeMap<InstanceId, Profile>,
    hubs: BTreeSet<InstanceId>,
    /// Instances that would be hubs if all present ones were lost.
    successors: BTreeSet<InstanceId>,
    /// Instances of each region that are no hubs, in the order in which they become hubs; empty in a flat fleet.
    standins: BTreeMap<Box<str>, Vec<InstanceId>>,
}

impl Topology {
    /// Chooses the hubs among `instances`; the order of `instances` does not matter.
    pub fn new<I>(instances: I) -> Self
    where
        I: IntoIterator<Item = Profile>,
    {
        Self::with_replaced(instances, &BTreeSet::new())
    }

    /// Like [`new`](Self::new), where those in `replaced` become hubs after all others of their region.
    pub fn with_replaced<I>(instances: I, replaced: &BTreeSet<InstanceId>) -> Self
    where
        I: IntoIterator<Item = Profile>,
    {
        let instances: BTreeMap<InstanceId, Profile> =
            instances.into_iter().map(|profile| (profile.name.clone(), profile)).collect();
        if instances.len() <= MAX_FLAT_INSTANCES {
            let hubs = instances.keys().cloned().collect();
            return Self { instances, hubs, ..Self::default() };
        }
        let regions: BTreeSet<&str> = instances.values().map(|profile| &*profile.region).collect();
        let (mut hubs, mut successors) = (BTreeSet::new(), BTreeSet::new());
        let mut standins = BTreeMap::new();
        for region in regions {
            let inside = instances.values().filter(|profile| *profile.region == *region);
            let mut ordered = by_capacity(region, inside.collect());
            ordered.sort_by_key(|profile| replaced.contains(&profile.name));
            let mut names: Vec<_> =
                ordered.into_iter().map(|profile| profile.name.clone()).collect();
            let others = names.split_off(HUBS_PER_REGION.min(names.len()));
            hubs.extend(names);
            successors.extend(others.iter().take(HUBS_PER_REGION).cloned());
            standins.insert(region.into(), others);
        }
        Self { instances, hubs, successors, standins }
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether the fleet has no instances.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Whether all instances are hubs.
    pub fn is_flat(&self) -> bool {
        self.hubs.len() == self.instances.len()
    }

    /// Whether `instance` is a hub; `false` when it is not in the fleet.
    pub fn is_hub(&self, instance: &InstanceId) -> bool {
        self.hubs.contains(instance)
    }

    /// Whether `instance` would be a hub if all present ones were lost; `false` for a hub.
    pub fn is_successor(&self, instance: &InstanceId) -> bool {
        self.successors.contains(instance)
    }

    /// The instances of the region of `instance` that are no hubs, in the order in which they become hubs; none in a flat
    /// fleet.
    pub fn standins(&self, instance: &InstanceId) -> &[InstanceId] {
        let profile = self.instances.get(instance);
        let standins = profile.and_then(|profile| self.standins.get(&profile.region));
        standins.map_or(&[], |standins| standins)
    }

    /// Place of `instance` among the stand-ins of its region; `None` for a hub.
    pub fn place(&self, instance: &InstanceId) -> Option<Place> {
        let standins = self.standins(instance);
        let rank = standins.iter().position(|name| name == instance)?;
        let pairs = standins.len().div_ceil(HUBS_PER_REGION);
        Some(Place { pair: rank / HUBS_PER_REGION, pairs })
    }

    /// Stand-ins of the region of `instance` in the first `pairs` pairs.
    pub fn first_standins(&self, instance: &InstanceId, pairs: usize) -> &[InstanceId] {
        let standins = self.standins(instance);
        &standins[..standins.len().min(HUBS_PER_REGION.saturating_mul(pairs))]
    }

    /// Whether two instances are in the same region.
    pub fn is_same_region(&self, a: &InstanceId, b: &InstanceId) -> bool {
        let region = |name| self.instances.get(name).map(|profile| &profile.region);
        region(a).is_some() && region(a) == region(b)
    }

    /// All hubs, in the order of their identifiers.
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

    /// Whether `receiver` gets regular messages from `sender`: hubs exchange messages with all hubs, and with the other
    /// instances of their region.
    pub fn receives_from(&self, receiver: &InstanceId, sender: &InstanceId) -> bool {
        if self.is_hub(receiver) && self.is_hub(sender) {
            return true;
        }
        let region = |name| self.instances.get(name).map(|profile| &profile.region);
        (self.is_hub(receiver) || self.is_hub(sender)) && region(receiver) == region(sender)
    }

    /// Whether a few holders connect to a member for all instances.
    ///
    /// A connection belongs to one workspace. An instance with fewer connections than there are workspaces closes one
    /// for another again and again, and each new one occupies a slot of the member. A call through a holder costs one
    /// more hop instead.
    pub fn needs_holders(&self, connections: Connections) -> bool {
        if !self.is_flat() {
            return true;
        }
        let own = connections.accepted / self.instances.len().max(1);
        if own < MIN_CONNECTIONS_PER_INSTANCE {
            return true;
        }
        let reused = (own as f64 / connections.workspaces.max(1) as f64).min(1.0);
        OPENING_TIME.mul_f64(1.0 - reused) > HOP_TIME
    }

    /// The instances that connect to a member in `data_centre`, the preferred one first; `None` when all do.
    pub fn holders(
        &self,
        member: &MemberId,
        data_centre: &DataCentre,
        connections: Connections,
    ) -> Option<Vec<InstanceId>> {
        if !self.needs_holders(connections) {
            return None;
        }
        let near = self.instances.values().filter(|profile| profile.data_centre == *data_centre);
        let mut candidates: Vec<&Profile> = near.collect();
        if candidates.is_empty() {
            candidates = self.instances.values().collect();
        }
        // Hubs already work for all instances of their region.
        let others = candidates.iter().filter(|profile| !self.is_hub(&profile.name));
        let others: Vec<&Profile> = others.copied().collect();
        if others.len() >= HOLDERS_PER_MEMBER {
            candidates = others;
        }
        candidates.sort_by_cached_key(|profile| std::cmp::Reverse(holder_weight(member, profile)));
        candidates.truncate(HOLDERS_PER_MEMBER);
        Some(candidates.into_iter().map(|profile| profile.name.clone()).collect())
    }

    /// Instances that connect to a member with `holders` while none of these can reach it, the preferred one first.
    pub fn standbys(&self, member: &MemberId, holders: &[InstanceId]) -> Vec<InstanceId> {
        choose_standbys(member, holders, &self.instances)
    }
}

/// Instances that serve a member while its `holders` cannot reach it, the preferred one first. A partition often separates a
/// whole data centre, so each is in another one than those before it as far as there are enough, the holders' own last.
fn choose_standbys(
    member: &MemberId,
    holders: &[InstanceId],
    instances: &BTreeMap<InstanceId, Profile>,
) -> Vec<InstanceId> {
    let is_holder = |name: &InstanceId| holders.contains(name);
    let mut candidates: Vec<&Profile> =
        instances.values().filter(|profile| !is_holder(&profile.name)).collect();
    candidates.sort_by_cached_key(|profile| std::cmp::Reverse(holder_weight(member, profile)));
    let held = instances.values().filter(|profile| is_holder(&profile.name));
    let mut used: BTreeMap<&DataCentre, usize> =
        held.map(|profile| (&profile.data_centre, usize::MAX / 2)).collect();
    let mut ranked: Vec<(usize, usize, &Profile)> = Vec::with_capacity(candidates.len());
    for (rank, profile) in candidates.into_iter().enumerate() {
        let before = used.entry(&profile.data_centre).or_default();
        ranked.push((*before, rank, profile));
        *before += 1;
    }
    ranked.sort_by_key(|(before, rank, _)| (*before, *rank));
    ranked.truncate(STANDBYS_PER_MEMBER);
    ranked.into_iter().map(|(_, _, profile)| profile.name.clone()).collect()
}

/// Weight of an instance as a holder of a member: the highest of several hashes, whose number grows with the capacity,
/// so that instances hold members in proportion to their capacity.
fn holder_weight(member: &MemberId, profile: &Profile) -> u64 {
    let draws = (profile.capacity / CAPACITY_PER_DRAW).max(1);
    let draws = (0..draws).map(|draw| {
        let draw = draw.to_string();
        membership::weight(&[member.as_str(), &draw], profile.name.as_str())
    });
    draws.max().unwrap_or(0)
}

/// The profiles in descending order of capacity; those of equal capacity in an order that depends on `key`.
fn by_capacity<'a>(key: &str, mut profiles: Vec<&'a Profile>) -> Vec<&'a Profile> {
    profiles.sort_by_cached_key(|profile| {
        let weight = membership::weight(&[key], profile.name.as_str());
        std::cmp::Reverse((profile.capacity, weight))
    });
    profiles
}
