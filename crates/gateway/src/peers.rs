//! State of the other instances, from their registrations and messages.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId};

use crate::message::{GroupInfo, Registration, Status};

/// Time between two rounds of messages.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time since its last message after which an instance no longer counts as live; four messages.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a holder that did not answer is used last.
const DEPRIORITISED_TIME: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// `None` until the registration has been read from the store.
    registration: Option<Registration>,
    /// Until when the instance is used last among the holders of a member.
    deprioritised_until: Instant,
    /// `started` and `sent` of the latest message.
    latest_message: Option<(u64, u64)>,
    last_received: Option<Instant>,
    added_at: Instant,
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
            added_at: now,
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

/// State of the other instances, by name.
#[derive(Debug)]
pub struct Peers {
    own: InstanceId,
    started: u64,
    peers: BTreeMap<InstanceId, Peer>,
}

/// Result of receiving a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// When this process sent the message that the received one acknowledges; `None` when it acknowledges no message of
    /// this process.
    pub acknowledged: Option<Instant>,
    /// Whether the sender was not live before, but had sent messages earlier.
    pub regained: bool,
    /// Whether the sender was unknown before.
    pub is_new: bool,
}

impl Peers {
    /// Creates the state of an instance that was started at `now` and knows no other instance.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self { own, started: nanos(now), peers: BTreeMap::new() }
    }

    /// Records the registrations of all instances, and removes instances that are neither listed nor live.
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

    /// The registrations of the other instances that have been read from the store.
    pub fn registrations(&self) -> impl Iterator<Item = (&InstanceId, &Registration)> {
        self.peers.iter().filter_map(|(name, peer)| Some((name, peer.registration.as_ref()?)))
    }

    /// Tunnel addresses of the given holders, without those whose registration has not been read; holders that did not
    /// answer lately come last.
    pub fn tunnel_addresses(
        &self,
        names: &[InstanceId],
        now: Instant,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let holders = names.iter().filter_map(|name| Some((name, self.peers.get(name)?)));
        let mut holders: Vec<(&InstanceId, &Peer)> = holders.collect();
        holders.sort_by_key(|(_, peer)| now < peer.deprioritised_until);
        let addresses = holders
            .into_iter()
            .filter_map(|(name, peer)| Some((name.clone(), peer.registration.as_ref()?.tunnels)));
        addresses.collect()
    }

    /// Records that a holder did not answer.
    pub fn record_unreachable(&mut self, name: &InstanceId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.deprioritised_until = now.plus(DEPRIORITISED_TIME);
        }
    }

    /// Records that the holder with this tunnel address did not answer.
    pub fn record_unreachable_at(&mut self, address: SocketAddr, now: Instant) {
        let at = |peer: &&mut Peer| {
            peer.registration.as_ref().is_some_and(|registration| registration.tunnels == address)
        };
        for peer in self.peers.values_mut().filter(at) {
            peer.deprioritised_until = now.plus(DEPRIORITISED_TIME);
        }
    }

    /// Names of the other instances.
    pub fn names(&self) -> Vec<InstanceId> {
        self.peers.keys().cloned().collect()
    }

    /// Names of the live instances, whose last message came within the timeout.
    pub fn live(&self, now: Instant) -> Vec<InstanceId> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Instances that were added here, and sent their last message, at least `timeout` ago.
    pub fn unresponsive(&self, timeout: Duration, now: Instant) -> Vec<InstanceId> {
        let unresponsive = self.peers.iter().filter(|(_, peer)| {
            now.since(
                peer.last_received
                    .map_or(peer.added_at, |last_received| last_received.max(peer.added_at)),
            ) >= timeout
        });
        unresponsive.map(|(name, _)| name.clone()).collect()
    }

    /// Number of live instances that suspect the group's primary of `term` or a later one.
    pub fn suspecting(&self, group: &str, term: u64, now: Instant) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.filter(|peer| peer.suspected.get(group).is_some_and(|suspected| *suspected >= term))
            .count()
    }

    /// Whether all other instances that are registered or have sent a message, live or not, have discarded their
    /// leadership proofs for `term`.
    pub fn all_confirmed(&self, group: &str, term: u64) -> bool {
        let confirmed =
            |peer: &Peer| peer.confirmed.get(group).is_some_and(|highest| *highest >= term);
        self.peers.values().all(confirmed)
    }

    /// Records a message from `address`; `None` when it is this instance's own, or not newer than the latest one.
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
        let is_new = !self.peers.contains_key(&name);
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
        Some(Received { acknowledged, regained, is_new })
    }

    /// Address for datagrams to an instance.
    pub(crate) fn address(&self, name: &InstanceId) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// Address of an instance, with `started` and `sent` of its latest message.
    pub(crate) fn latest_message(
        &self,
        name: &InstanceId,
    ) -> Option<(SocketAddr, Option<(u64, u64)>)> {
        self.peers.get(name).map(|peer| (peer.address, peer.latest_message))
    }

    /// Start of this process on its clock, in nanoseconds.
    pub(crate) const fn started(&self) -> u64 {
        self.started
    }

    /// Address of the live instance with the newest configuration, if that is newer than `version`.
    pub(crate) fn ahead(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        let ahead = self.peers.values().filter(|peer| peer.is_live(now) && peer.version > version);
        ahead.max_by_key(|peer| peer.version).map(|peer| peer.address)
    }

    /// Address of the live instance with the newest configuration and members.
    pub(crate) fn newest(&self, now: Instant) -> Option<SocketAddr> {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.max_by_key(|peer| (peer.version, peer.members_revision)).map(|peer| peer.address)
    }

    /// Whether a live instance has newer member entries than `revision`.
    pub(crate) fn members_ahead(&self, revision: u64, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.is_live(now) && peer.members_revision > revision)
    }

    /// Instances whose timeout ended within the last send interval.
    pub(crate) fn newly_unresponsive(&mut self, now: Instant) -> Vec<InstanceId> {
        let newly_unresponsive = self.peers.iter().filter(|(_, peer)| {
            let elapsed =
                peer.last_received.map_or(Duration::ZERO, |last_received| now.since(last_received));
            elapsed >= PEER_TIMEOUT && elapsed < PEER_TIMEOUT + SEND_INTERVAL
        });
        newly_unresponsive.map(|(name, _)| name.clone()).collect()
    }
}

fn suspected(status: &Status) -> BTreeMap<Box<str>, u64> {
    let suspected = |info: &GroupInfo| Some((info.group.clone(), info.suspected?));
    status.groups.iter().filter_map(suspected).collect()
}

/// Nanoseconds since the origin of the clock, as messages carry an instant of their sender.
pub fn nanos(instant: Instant) -> u64 {
    u64::try_from(instant.since_origin().as_nanos()).unwrap_or(u64::MAX)
}
