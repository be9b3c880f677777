//! The other instances, as far as they are known and heard.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId};

use crate::message::{GroupInfo, Registration, Status};

/// Time between two messages to an instance.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time since its last message after which an instance counts as not heard; four messages.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a holder that did not answer is the last choice.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// What the instance says of itself, once that is known.
    registration: Option<Registration>,
    /// Until when the instance is the last choice as a holder.
    deprioritised_until: Instant,
    /// Process and sending time of the latest message.
    latest_message: Option<(u64, u64)>,
    last_received: Option<Instant>,
    registered_at: Instant,
    version: u64,
    members_revision: u64,
    suspected: BTreeMap<Box<str>, u64>,
    confirmed: BTreeMap<Box<str>, u64>,
}

impl Peer {
    const fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            registration: None,
            deprioritised_until: Instant::new(Duration::ZERO),
            latest_message: None,
            last_received: None,
            registered_at: now,
            version: 0,
            members_revision: 0,
            suspected: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.last_received.is_some_and(|last_received| now.since(last_received) < PEER_TIMEOUT)
    }
}

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: InstanceId,
    started: u64,
    peers: BTreeMap<InstanceId, Peer>,
}

/// What a message meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// Sending time of the own message that it answers.
    pub acknowledged: Option<Instant>,
    /// Whether the sender had not been heard for a while.
    pub regained: bool,
    /// Whether the sender was not known.
    pub new: bool,
}

impl Peers {
    /// Creates the state of an instance that was started at `now` and knows no other.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self { own, started: nanos(now), peers: BTreeMap::new() }
    }

    /// Records the registrations of all instances; one that is not listed is forgotten unless it was heard since.
    pub fn register(&mut self, listed: &[(InstanceId, Registration)], now: Instant) {
        self.peers.retain(|name, peer| {
            peer.is_live(now) || listed.iter().any(|(listed, _)| listed == name)
        });
        for (name, registration) in listed.iter().filter(|(name, _)| *name != self.own) {
            let peer = self.peers.entry(name.clone());
            let peer = peer.or_insert_with(|| Peer::new(registration.address, now));
            peer.registration = Some(registration.clone());
            if !peer.is_live(now) {
                peer.address = registration.address;
            }
        }
    }

    /// The registrations of the other instances, as far as they are known.
    pub fn registrations(&self) -> impl Iterator<Item = (&InstanceId, &Registration)> {
        self.peers.iter().filter_map(|(name, peer)| Some((name, peer.registration.as_ref()?)))
    }

    /// Addresses of some holders, those in trouble last.
    pub fn holders(&self, names: &[InstanceId], now: Instant) -> Vec<(InstanceId, SocketAddr)> {
        let known = names.iter().filter_map(|name| Some((name, self.peers.get(name)?)));
        let mut known: Vec<(&InstanceId, &Peer)> = known.collect();
        known.sort_by_key(|(_, peer)| now < peer.deprioritised_until);
        let addresses = known
            .into_iter()
            .filter_map(|(name, peer)| Some((name.clone(), peer.registration.as_ref()?.tunnels)));
        addresses.collect()
    }

    /// Records that a holder did not answer.
    pub fn record_unreachable(&mut self, name: &InstanceId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.deprioritised_until = now.plus(UNREACHABLE_PAUSE);
        }
    }

    /// Records that the holder with this address for calls did not answer.
    pub fn record_unreachable_at(&mut self, address: SocketAddr, now: Instant) {
        let at = |peer: &&mut Peer| {
            peer.registration.as_ref().is_some_and(|known| known.tunnels == address)
        };
        for peer in self.peers.values_mut().filter(at) {
            peer.deprioritised_until = now.plus(UNREACHABLE_PAUSE);
        }
    }

    /// Names of the other instances.
    pub fn names(&self) -> Vec<InstanceId> {
        self.peers.keys().cloned().collect()
    }

    /// Names of the instances that were heard lately.
    pub fn live(&self, now: Instant) -> Vec<InstanceId> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Instances that have been neither heard nor newly registered for `silence`.
    pub fn silent(&self, timeout: Duration, now: Instant) -> Vec<InstanceId> {
        let silent =
            self.peers.iter().filter(|(_, peer)| {
                now.since(peer.last_received.map_or(peer.registered_at, |last_received| {
                    last_received.max(peer.registered_at)
                })) >= timeout
            });
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Number of live instances that cannot use the primary of `term`.
    pub fn suspecting(&self, group: &str, term: u64, now: Instant) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.filter(|peer| peer.suspected.get(group).is_some_and(|known| *known >= term)).count()
    }

    /// Whether all known instances have discarded their proofs for `term`.
    pub fn all_confirmed(&self, group: &str, term: u64) -> bool {
        let confirmed = |peer: &Peer| peer.confirmed.get(group).is_some_and(|known| *known >= term);
        self.peers.values().all(confirmed)
    }

    /// Records a message from `address`; `None` when a newer one came before it.
    pub fn receive(
        &mut self,
        status: &Status,
        address: SocketAddr,
        now: Instant,
    ) -> Option<Received> {
        if *status.from == *self.own.as_str() {
            return None;
        }
        let started = self.started;
        let name = InstanceId::new(&status.from);
        let new = !self.peers.contains_key(&name);
        let peer = self.peers.entry(name).or_insert_with(|| Peer::new(address, now));
        if peer.latest_message.is_some_and(|latest| latest >= (status.started, status.sent)) {
            return None;
        }
        let regained = !peer.is_live(now) && peer.last_received.is_some();
        peer.address = address;
        peer.latest_message = Some((status.started, status.sent));
        peer.last_received = Some(now);
        peer.version = status.version;
        peer.members_revision = status.members_revision;
        peer.suspected = suspected(status);
        peer.confirmed =
            status.groups.iter().map(|info| (info.group.clone(), info.confirmed)).collect();
        let acknowledged = status.acknowledged.filter(|(process, _)| *process == started);
        let acknowledged = acknowledged.map(|(_, sent)| Instant::new(Duration::from_nanos(sent)));
        Some(Received { acknowledged, regained, new })
    }

    /// Address for messages of an instance.
    pub(crate) fn address(&self, name: &InstanceId) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Address of an instance, and process and sending time of its latest message.
    pub(crate) fn latest_message(
        &self,
        name: &InstanceId,
    ) -> Option<(SocketAddr, Option<(u64, u64)>)> {
        self.peers.get(name).map(|peer| (peer.address, peer.latest_message))
    }

    /// Start of this process, as it stands in messages.
    pub(crate) const fn started(&self) -> u64 {
        self.started
    }

    /// A live instance with a newer configuration than `version`.
    pub(crate) fn ahead(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        let ahead = self.peers.values().filter(|peer| peer.is_live(now) && peer.version > version);
        ahead.max_by_key(|peer| peer.version).map(|peer| peer.address)
    }

    /// The live instance with the newest configuration and members.
    pub(crate) fn newest(&self, now: Instant) -> Option<SocketAddr> {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.max_by_key(|peer| (peer.version, peer.members_revision)).map(|peer| peer.address)
    }

    /// Whether a live instance has newer entries of members than `revision`.
    pub(crate) fn members_ahead(&self, revision: u64, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.is_live(now) && peer.members_revision > revision)
    }

    /// Instances that have just become silent.
    pub(crate) fn newly_silent(&mut self, now: Instant) -> Vec<InstanceId> {
        let newly = self.peers.iter().filter(|(_, peer)| {
            let silence =
                peer.last_received.map_or(Duration::ZERO, |last_received| now.since(last_received));
            silence >= PEER_TIMEOUT && silence < PEER_TIMEOUT + SEND_INTERVAL
        });
        newly.map(|(name, _)| name.clone()).collect()
    }
}

fn suspected(status: &Status) -> BTreeMap<Box<str>, u64> {
    let suspected = |info: &GroupInfo| Some((info.group.clone(), info.suspected?));
    status.groups.iter().filter_map(suspected).collect()
}

/// An instant of this process as it stands in messages.
pub fn nanos(instant: Instant) -> u64 {
    u64::try_from(instant.since_origin().as_nanos()).unwrap_or(u64::MAX)
}
