//! The instances that this one knows.

use std::collections::BTreeMap;

use hibiscusladder_core::name::{DataCentre, Database, InstanceId, MemberId};

use crate::settings::Place;

/// State of an instance as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Answers heartbeats.
    Live,
    /// Silent for a short time; not chosen as home.
    Suspected,
    /// Shuts down; not chosen as home.
    Leaving,
    /// Silent for long.
    Dead,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub id: InstanceId,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for calls as `host:port`.
    pub rpc: String,
    /// State.
    pub state: PeerState,
    /// Number that is higher after each start.
    pub incarnation: u64,
}

/// Immutable view of the known instances, with the own one.
#[derive(Debug, Clone)]
pub struct Peers {
    own: InstanceId,
    peers: BTreeMap<InstanceId, Peer>,
    topology: Vec<Place>,
}

impl Peers {
    /// Creates the view of an instance that knows only itself.
    pub fn new(own: Peer, topology: &[Place]) -> Self {
        let id = own.id.clone();
        Self { own: id.clone(), peers: BTreeMap::from([(id, own)]), topology: topology.to_vec() }
    }

    /// The instance `id`.
    pub fn get(&self, id: &InstanceId) -> Option<&Peer> {
        self.peers.get(id)
    }

    /// All instances in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// All instances but the own one.
    pub fn others(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.id != self.own)
    }

    /// Home of `member` in `data_centre`, or in the nearest data centre with a live instance.
    pub fn home(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> Option<&Peer> {
        let region = self.region(data_centre);
        let live = || self.peers.values().filter(|peer| peer.state == PeerState::Live);
        let best = |candidates: Vec<&'_ Peer>| -> Option<InstanceId> {
            candidates
                .into_iter()
                .max_by_key(|peer| weight(database, member, &peer.id))
                .map(|peer| peer.id.clone())
        };
        let local = live().filter(|peer| peer.data_centre == *data_centre).collect();
        let near = || live().filter(|peer| self.region(&peer.data_centre) == region).collect();
        let id = best(local).or_else(|| best(near())).or_else(|| best(live().collect()))?;
        self.peers.get(&id)
    }

    /// Live home of `member` that would be chosen without the own instance.
    pub fn predecessor(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
    ) -> Option<&Peer> {
        let mut others = self.clone();
        others.peers.remove(&self.own);
        let id = others.home(database, member, data_centre)?.id.clone();
        self.peers.get(&id)
    }

    /// Inserts or replaces an instance.
    pub fn insert(&mut self, peer: Peer) {
        self.peers.insert(peer.id.clone(), peer);
    }

    fn region(&self, data_centre: &DataCentre) -> Option<&str> {
        self.topology
            .iter()
            .find(|place| place.data_centre == *data_centre)
            .map(|place| place.region.as_str())
    }
}

/// FNV-1a over the three names; equal on all instances.
fn weight(database: &Database, member: &MemberId, instance: &InstanceId) -> u64 {
    let names = [database.as_str(), "/", member.as_str(), "/", instance.as_str()];
    let bytes = names.iter().flat_map(|name| name.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
