//! Known instances and the choice of homes and relays among them.

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

/// Immutable snapshot of the known instances, including this one.
#[derive(Debug)]
pub struct Peers {
    membership: Membership,
    topology: Arc<[DataCentreSettings]>,
    /// Cache of the homes computed so far. The snapshot never changes, so entries stay valid. Without the cache, an
    /// instance in a fleet of 620 spent most of its processor time on ranking all instances for every member each
    /// second.
    homes: Mutex<HashMap<MemberKey, Option<InstanceId>>>,
}

impl Peers {
    pub(super) fn new(membership: Membership, topology: Arc<[DataCentreSettings]>) -> Self {
        Self { membership, topology, homes: Mutex::default() }
    }

    /// The instance `id`; `None` when it is not known.
    pub fn get(&self, id: &InstanceId) -> Option<&InstanceInfo> {
        self.membership.instance(id)
    }

    /// All known instances in any state, this one first.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.membership.instances()
    }

    /// All known instances in any state without this one.
    pub fn others(&self) -> impl Iterator<Item = &InstanceInfo> {
        let own = &self.membership.own_info().id;
        self.membership.instances().filter(move |info| info.id != *own)
    }

    /// The instances of a data centre that watch the store for the others, the preferred one first.
    pub fn relays(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        self.membership.relays(data_centre)
    }

    /// Home of `member` in `data_centre`, or in the nearest data centre with a live instance, if any.
    pub fn home(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> Option<&InstanceInfo> {
        let key = (database.clone(), member.clone(), data_centre.clone());
        let home =
            lock(&self.homes).entry(key).or_insert_with_key(|key| self.choose_home(key)).clone();
        self.membership.instance(&home?)
    }

    fn choose_home(&self, (database, member, data_centre): &MemberKey) -> Option<InstanceId> {
        let nearest = nearest(&self.topology, data_centre);
        self.membership.home(database, member, data_centre, &nearest)
    }

    /// Whether an instance that ranks above this one as home of `member` is known but not live.
    ///
    /// Such an instance may hold the lock of the member without being able to hand it over.
    pub fn preferred_is_gone(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> bool {
        let key = ["home", database.as_str(), member.as_str()];
        let own_info = self.membership.own_info();
        let mut data_centres = vec![data_centre.clone()];
        data_centres.extend(nearest(&self.topology, data_centre));
        let distance =
            |info: &InstanceInfo| data_centres.iter().position(|dc| *dc == info.data_centre);
        let rank = |info: &InstanceInfo| (distance(info), Reverse(weight(&key, info.id.as_str())));
        let own = rank(own_info);
        self.others().any(|info| info.state != InstanceState::Live && rank(info) < own)
    }
}

/// The other data centres of the topology, those in the same region first.
fn nearest(topology: &[DataCentreSettings], data_centre: &DataCentre) -> Vec<DataCentre> {
    let region = topology.iter().find(|entry| entry.data_centre == *data_centre);
    let region = region.map(|entry| entry.region.as_str());
    let is_near = |entry: &&DataCentreSettings| Some(entry.region.as_str()) == region;
    let others = || topology.iter().filter(|entry| entry.data_centre != *data_centre);
    let near = others().filter(is_near);
    let far = others().filter(|entry| !is_near(entry));
    near.chain(far).map(|entry| entry.data_centre.clone()).collect()
}
