//! The instances that this one knows.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::{Arc, Mutex},
};

use hibiscusladder_core::{
    membership::{InstanceInfo, InstanceState, Membership, weight},
    name::{DataCentre, Database, InstanceId, MemberId},
};

use super::lock;
use crate::settings::DataCentreSettings;

/// Database and name of a member with its data centre.
type MemberKey = (Database, MemberId, DataCentre);

/// Immutable view of the known instances, with the own one.
#[derive(Debug)]
pub struct Peers {
    membership: Membership,
    topology: Arc<[DataCentreSettings]>,
    /// Homes that were asked for. The view never changes, so an entry stays right; ranking all instances anew for
    /// every member each second took most of the processor time of an instance in a fleet of 620.
    homes: Mutex<HashMap<MemberKey, Option<InstanceId>>>,
}

impl Peers {
    pub(super) fn new(membership: Membership, topology: Arc<[DataCentreSettings]>) -> Self {
        Self { membership, topology, homes: Mutex::default() }
    }

    /// The instance `id`.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceInfo> {
        self.membership.instance(id)
    }

    /// All instances.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.membership.instances()
    }

    /// All instances but the own one.
    pub fn others(&self) -> impl Iterator<Item = &InstanceInfo> {
        let own = &self.membership.me().id;
        self.membership.instances().filter(move |info| info.id != *own)
    }

    /// The relays of a data centre, the preferred one first.
    pub fn relays(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        self.membership.relays(data_centre)
    }

    /// Home of `member` in `data_centre`, or in the nearest data centre with a live instance.
    pub fn home(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> Option<&InstanceInfo> {
        let key = (database.clone(), member.clone(), data_centre.clone());
        let home = lock(&self.homes).entry(key).or_insert_with_key(|key| self.rank(key)).clone();
        self.membership.instance(&home?)
    }

    fn rank(&self, (database, member, data_centre): &MemberKey) -> Option<InstanceId> {
        let nearest = nearest(&self.topology, data_centre);
        self.membership.home(database, member, data_centre, &nearest)
    }

    /// Whether an instance that was preferred to this one as home of `member` is no longer live.
    ///
    /// Such an instance may hold the lock of the member without being able to hand it over.
    pub fn preferred_is_gone(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> bool {
        let key = ["home", database.as_str(), member.as_str()];
        let me = self.membership.me();
        let mut places = vec![data_centre.clone()];
        places.extend(nearest(&self.topology, data_centre));
        let place = |info: &InstanceInfo| places.iter().position(|p| *p == info.data_centre);
        let rank = |info: &InstanceInfo| (place(info), Reverse(weight(&key, info.id.as_str())));
        let own = rank(me);
        self.others().any(|info| info.state != InstanceState::Live && rank(info) < own)
    }
}

/// The other data centres, those of the same region first.
fn nearest(topology: &[DataCentreSettings], data_centre: &DataCentre) -> Vec<DataCentre> {
    let region = topology.iter().find(|place| place.data_centre == *data_centre);
    let region = region.map(|place| place.region.as_str());
    let is_near = |place: &&DataCentreSettings| Some(place.region.as_str()) == region;
    let others = || topology.iter().filter(|place| place.data_centre != *data_centre);
    let near = others().filter(is_near);
    let far = others().filter(|place| !is_near(place));
    near.chain(far).map(|place| place.data_centre.clone()).collect()
}
