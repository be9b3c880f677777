//! State of the other instances, from their registrations and messages.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId, store_version::StoreVersion};

use crate::message::{Extension, GroupInfo, Registration, Status, StoreSection};

/// Time between two rounds of messages.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time since its last message after which an instance no longer counts as live; four messages.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which the removal of an instance is known. A store is restored from a copy that is some seconds old.
const REMOVED_TIME: Duration = Duration::from_secs(600);
/// Time without a message after which a registration that a restore has brought back is removed; an instance that has
/// registered under the name sends messages by then.
const LEFTOVER_TIME: Duration = Duration::from_secs(10);
/// Time for which a holder that did not answer is used last.
const DEPRIORITISED_TIME: Duration = Duration::from_millis(1000);
/// Number of lists without the registration of an instance after which its messages no longer cause another list. Instances
/// of other versions may have registrations that cannot be read.
const MAX_MISSED_LISTS: u8 = 4;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// `None` until the registration has been read from the store.
    registration: Option<Registration>,
    /// Whether the latest list lacks the registration, and a restored store may do so.
    is_kept: bool,
    /// Until when the instance is used last among the holders of a member.
    deprioritised_until: Instant,
    /// `started` and `sent` of the latest message.
    latest_message: Option<(u64, u64)>,
    last_received: Option<Instant>,
    /// Since when this instance gets regular messages from the peer if both run; `None` while it gets none.
    expected_since: Option<Instant>,
    version: u64,
    members_version: StoreVersion,
    suspected: BTreeMap<Box<str>, u64>,
    confirmed: BTreeMap<Box<str>, u64>,
    /// List of the instances that the peer offers.
    roster: Option<OfferedRoster>,
    /// Digest of the member entries that the peer has read.
    members_digest: Option<u64>,
    /// Whether [`Peers::newly_unresponsive`] has returned the peer since its last message.
    reported_lost: bool,
    /// Whether [`Received::is_unregistered`] was set for the peer since it was last registered, or since the latest list that
    /// counts in `missed_lists`.
    reported_unregistered: bool,
    /// Lists without the registration of the peer since it was reported as unregistered, up to [`MAX_MISSED_LISTS`].
    missed_lists: u8,
}

impl Peer {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            registration: None,
            is_kept: false,
            deprioritised_until: Instant::new(Duration::ZERO),
            latest_message: None,
            last_received: None,
            expected_since: None,
            version: 0,
            members_version: StoreVersion::new(0, 0),
            suspected: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            roster: None,
            members_digest: None,
            reported_lost: false,
            reported_unregistered: false,
            missed_lists: 0,
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.last_received.is_some_and(|last_received| now.since(last_received) < PEER_TIMEOUT)
    }
}

/// Version of a list of instances, and a digest of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferedRoster {
    /// Version of the store at which the list was read.
    pub version: StoreVersion,
    /// Digest of the registrations, equal for equal lists.
    pub digest: u64,
}

/// State of the other instances, by name.
#[derive(Debug)]
pub struct Peers {
    own: InstanceId,
    started: u64,
    /// When the first message of another instance came.
    heard_since: Option<Instant>,
    peers: BTreeMap<InstanceId, Peer>,
    /// Instances whose registrations were removed, with the time of the removal and when a restored store had them again.
    removed: BTreeMap<InstanceId, (Instant, Option<Instant>)>,
}

/// Result of receiving a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// When this process sent the message that the received one acknowledges; `None` when it acknowledges no message of
    /// this process.
    pub acknowledged: Option<Instant>,
    /// Whether the sender was not live before, but had sent messages earlier.
    pub regained: bool,
    /// Whether the sender has no registration that was read; set for the first such message only.
    pub is_unregistered: bool,
}

impl Peers {
    /// Creates the state of an instance that was started at `now` and knows no other instance.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self {
            own,
            started: nanos(now),
            heard_since: None,
            peers: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Records the registrations of all instances, and removes instances that are neither listed nor live. While the store
    /// may lack registrations (`may_lack`), those that are not listed are kept, and those that had been removed are left out
    /// until they send messages.
    pub fn register(
        &mut self,
        listed: &[(InstanceId, Registration)],
        may_lack: bool,
        now: Instant,
    ) {
        let is_listed = |name: &InstanceId| listed.iter().any(|(listed, _)| listed == name);
        if !may_lack {
            let registered = self.peers.iter().filter(|(_, peer)| peer.registration.is_some());
            let gone = registered.filter(|(name, _)| !is_listed(name));
            self.removed.extend(gone.map(|(name, _)| (name.clone(), (now, None))));
        }
        self.peers.retain(|name, peer| {
            peer.is_live(now) || may_lack && peer.registration.is_some() || is_listed(name)
        });
        self.removed.retain(|_, (removed_at, _)| now.since(*removed_at) < REMOVED_TIME);
        for peer in self.peers.values_mut() {
            peer.is_kept = may_lack && peer.registration.is_some();
            if !may_lack {
                peer.registration = None;
            }
            // An instance sends messages before its registration is written, so that the list which they cause may lack it.
            if peer.reported_unregistered && peer.missed_lists < MAX_MISSED_LISTS {
                peer.missed_lists += 1;
                peer.reported_unregistered = false;
            }
        }
        let is_other = |name: &InstanceId| *name != self.own;
        for (name, registration) in listed.iter().filter(|(name, _)| is_other(name)) {
            let is_live = self.peers.get(name).is_some_and(|peer| peer.is_live(now));
            if let Some((_, leftover_since)) = self.removed.get_mut(name)
                && may_lack
                && !is_live
            {
                leftover_since.get_or_insert(now);
                self.peers.remove(name);
                continue;
            }
            self.removed.remove(name);
            let peer = self.peers.entry(name.clone());
            let peer = peer.or_insert_with(|| Peer::new(registration.address));
            peer.registration = Some(registration.clone());
            peer.is_kept = false;
            peer.reported_unregistered = false;
            peer.missed_lists = 0;
            if !peer.is_live(now) {
                peer.address = registration.address;
            }
        }
    }

    /// Sets for each instance whether regular messages of it are expected.
    pub fn expect_messages<F>(&mut self, is_expected: F, now: Instant)
    where
        F: Fn(&InstanceId) -> bool,
    {
        for (name, peer) in &mut self.peers {
            peer.expected_since =
                if is_expected(name) { peer.expected_since.or(Some(now)) } else { None };
        }
    }

    /// The registrations of the other instances that have been read from the store.
    pub fn registrations(&self) -> impl Iterator<Item = (&InstanceId, &Registration)> {
        self.peers.iter().filter_map(|(name, peer)| Some((name, peer.registration.as_ref()?)))
    }

    /// Whether the registration of an instance was removed before a restore of the store has brought it back, and the instance
    /// has sent no message since.
    pub fn is_leftover(&self, name: &str, now: Instant) -> bool {
        let removed = self.removed.get(name).and_then(|(_, leftover_since)| *leftover_since);
        removed.is_some_and(|since| now.since(since) >= LEFTOVER_TIME)
    }

    /// Instances that are kept although the latest list lacks their registrations.
    pub fn kept(&self) -> Vec<InstanceId> {
        let kept = self.peers.iter().filter(|(_, peer)| peer.is_kept);
        kept.map(|(name, _)| name.clone()).collect()
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

    /// Number of instances whose regular messages are expected.
    pub fn expected(&self) -> usize {
        self.peers.values().filter(|peer| peer.expected_since.is_some()).count()
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

    /// Whether the last message of an instance came within the timeout.
    pub fn is_live(&self, name: &InstanceId, now: Instant) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.is_live(now))
    }

    /// Instances whose regular messages were expected, and none came, for at least `timeout`.
    pub fn unresponsive(&self, timeout: Duration, now: Instant) -> Vec<InstanceId> {
        let unresponsive = self.peers.iter().filter(|(_, peer)| {
            let since = peer.expected_since.map(|since| peer.last_received.max(Some(since)));
            since.flatten().is_some_and(|since| now.since(since) >= timeout)
        });
        unresponsive.map(|(name, _)| name.clone()).collect()
    }

    /// Number of the live instances among `names` that suspect the group's primary of `term` or a later one.
    pub fn suspecting<'a, I>(&self, names: I, group: &str, term: u64, now: Instant) -> usize
    where
        I: IntoIterator<Item = &'a InstanceId>,
    {
        let peers = names.into_iter().filter_map(|name| self.peers.get(name));
        let live = peers.filter(|peer| peer.is_live(now));
        live.filter(|peer| peer.suspected.get(group).is_some_and(|suspected| *suspected >= term))
            .count()
    }

    /// Whether all other instances that are registered or have sent a message confirmed lately that they have discarded
    /// their leadership proofs for `term`.
    pub fn all_confirmed(&self, group: &str, term: u64, now: Instant) -> bool {
        let confirmed =
            |peer: &Peer| peer.confirmed.get(group).is_some_and(|highest| *highest >= term);
        self.peers.values().all(|peer| confirmed(peer) && peer.is_live(now))
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
        self.heard_since.get_or_insert(now);
        let name = InstanceId::new(&status.from);
        let peer = self.peers.entry(name).or_insert_with(|| Peer::new(address));
        if peer.latest_message.is_some_and(|latest| latest >= (status.started, status.sent)) {
            return None;
        }
        let regained = !peer.is_live(now) && peer.last_received.is_some();
        let is_unregistered = peer.registration.is_none() && !peer.reported_unregistered;
        peer.reported_unregistered |= is_unregistered;
        peer.reported_lost = false;
        peer.address = address;
        peer.latest_message = Some((status.started, status.sent));
        peer.last_received = Some(now);
        peer.version = status.version;
        // The era follows with the sections of the message.
        peer.members_version = StoreVersion::new(0, status.members_revision);
        peer.suspected = suspected(status);
        peer.confirmed =
            status.groups.iter().map(|info| (info.group.clone(), info.confirmed)).collect();
        let acknowledged = status.acknowledged.filter(|(process, _)| *process == started);
        let acknowledged = acknowledged.map(|(_, sent)| Instant::new(Duration::from_nanos(sent)));
        Some(Received { acknowledged, regained, is_unregistered })
    }

    /// Records what the extension of the message received last, and its section on the store, say about the sender.
    pub fn record_extension(
        &mut self,
        name: &InstanceId,
        extension: &Extension,
        store: StoreSection,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.members_version.era = store.members;
            peer.roster = extension.roster.map(|roster| OfferedRoster {
                version: StoreVersion::new(store.roster, roster.revision),
                digest: roster.digest,
            });
            peer.members_digest = extension.members;
        }
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

    /// When the first message of another instance came; `None` before.
    pub(crate) const fn heard_since(&self) -> Option<Instant> {
        self.heard_since
    }

    /// Highest version of the configuration at a live instance; 0 if none has one.
    pub(crate) fn newest_version(&self, now: Instant) -> u64 {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.map(|peer| peer.version).max().unwrap_or(0)
    }

    /// The live instances with the newest configuration, if that is newer than `version`.
    pub(crate) fn ahead(&self, version: u64, now: Instant) -> Vec<InstanceId> {
        let live = || self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        let newest = self.newest_version(now);
        let ahead = live().filter(|(_, peer)| peer.version == newest && newest > version);
        ahead.map(|(name, _)| name.clone()).collect()
    }

    /// A live instance that offers another list of instances than the one with `digest`.
    pub(crate) fn offers_other_roster(&self, digest: u64, now: Instant) -> Option<InstanceId> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        let mut others = live.filter(|(_, peer)| {
            peer.roster.is_some_and(|offered| offered.version.era > 0 && offered.digest != digest)
        });
        others.next().map(|(name, _)| name.clone())
    }

    /// Version of the newest list of instances that a live instance offers, with the name of that instance.
    pub fn newest_roster(&self, now: Instant) -> Option<(OfferedRoster, InstanceId)> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        let offered = live.filter_map(|(name, peer)| Some((peer.roster?, name.clone())));
        offered.max_by_key(|(roster, _)| roster.version)
    }

    /// The live instances with the newest member entries, if these are newer than `version`. With `digest`, also those
    /// whose entries of the same version differ from the ones with this digest: they have noticed the removal of a
    /// member.
    pub fn members_ahead(
        &self,
        version: StoreVersion,
        digest: Option<u64>,
        now: Instant,
    ) -> Vec<InstanceId> {
        let live = || self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        let newest = live().map(|(_, peer)| peer.members_version).max().unwrap_or_default();
        let differs = |peer: &Peer| {
            peer.members_version == version
                && digest.is_some()
                && peer.members_digest.is_some_and(|other| Some(other) != digest)
        };
        let ahead = live().filter(|(_, peer)| {
            peer.members_version == newest && (newest > version || differs(peer))
        });
        ahead.map(|(name, _)| name.clone()).collect()
    }

    /// Instances that were live and no longer are; each is returned once.
    pub fn newly_unresponsive(&mut self, now: Instant) -> Vec<InstanceId> {
        let mut lost = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.last_received.is_some() && !peer.is_live(now) && !peer.reported_lost {
                peer.reported_lost = true;
                lost.push(name.clone());
            }
        }
        lost
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
