//! The instances that this one knows.

use std::{cmp::Reverse, sync::Arc};

use hibiscusladder_core::{
    membership::{InstanceInfo, InstanceState, Membership, weight},
    name::{DataCentre, Database, InstanceId, MemberId},
};

use crate::settings::Place;

/// Immutable view of the known instances, with the own one.
#[derive(Debug, Clone)]
pub struct Peers {
    membership: Membership,
    topology: Arc<[Place]>,
}

impl Peers {
    pub(super) const fn new(membership: Membership, topology: Arc<[Place]>) -> Self {
        Self { membership, topology }
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
        let nearest = nearest(&self.topology, data_centre);
        let id = self.membership.home(database, member, data_centre, &nearest)?;
        self.membership.instance(&id)
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
fn nearest(topology: &[Place], data_centre: &DataCentre) -> Vec<DataCentre> {
    let region = topology.iter().find(|place| place.data_centre == *data_centre);
    let region = region.map(|place| place.region.as_str());
    let is_near = |place: &&Place| Some(place.region.as_str()) == region;
    let others = || topology.iter().filter(|place| place.data_centre != *data_centre);
    let near = others().filter(is_near);
    let far = others().filter(|place| !is_near(place));
    near.chain(far).map(|place| place.data_centre.clone()).collect()
}
