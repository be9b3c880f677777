//! Membership table of one instance: the known instances with their states.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Heartbeat, InstanceInfo, InstanceState,
    rendezvous::{highest, weight},
};
use crate::{
    clock::Instant,
    name::{DataCentre, Database, InstanceId, MemberId},
};

/// Default time without a message after which a neighbour is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Default time without a message after which a neighbour is dead.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Time for which a dead instance is kept in the table, so that old reports do not make it live again.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Distances on the ring of a data centre at which an instance has neighbours, in both directions.
///
/// With up to nine instances, all others are neighbours. The wide steps propagate a report through hundreds of
/// instances in few heartbeats.
const NEIGHBOUR_STEPS: [usize; 4] = [1, 2, 5, 17];
/// Largest number of instances of one data centre that are all neighbours of each other.
const FULL_MESH_INSTANCES: usize = 2 * NEIGHBOUR_STEPS.len() + 1;
/// Number of neighbours in each other data centre.
const REMOTE_NEIGHBOURS: usize = 2;
/// Number of relays of the configuration in each data centre.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Largest number of reports in one heartbeat.
const MAX_REPORTS: usize = 16;
/// Number of heartbeats that propagate one report: a few for each of up to 14 neighbours.
const REPORT_PROPAGATIONS: u32 = 42;

/// Change of an instance's state in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The instance with its new state.
    pub instance: InstanceInfo,
    /// Previous state; `None` for an instance that was unknown.
    pub before: Option<InstanceState>,
}

#[derive(Debug, Clone)]
struct Peer {
    info: InstanceInfo,
    /// Position on the ring of the instance's data centre.
    ring_position: u64,
    /// Time of the last message or answer from the instance itself; reports by others do not count.
    last_received: Option<Instant>,
    /// Time since which the instance is a neighbour, so that missing messages count; `None` when it is no neighbour.
    watched_since: Option<Instant>,
    /// Time at which the platform's list last included the instance.
    last_listed: Option<Instant>,
    changed_at: Instant,
    /// Number of heartbeats that still have to propagate the newest report about the instance.
    propagations_left: u32,
}

/// Membership table of one instance: all known instances, including itself, with their states.
#[derive(Debug, Clone)]
pub struct Membership {
    own_info: InstanceInfo,
    /// Position of this instance on the ring of its data centre.
    ring_position: u64,
    peers: BTreeMap<InstanceId, Peer>,
    suspect_after: Duration,
    dead_after: Duration,
    /// Changes since the last [`Membership::tick`], which returns them.
    changes: Vec<StateChange>,
    /// Dead instance among the last [`Membership::targets`].
    last_tried_dead: Option<InstanceId>,
}

impl Membership {
    /// Creates the table of the instance `own_info`, which is its only entry.
    pub fn new(own_info: InstanceInfo) -> Self {
        Self {
            ring_position: hash_ring_position(&own_info.id),
            own_info,
            peers: BTreeMap::new(),
            suspect_after: SUSPECT_AFTER,
            dead_after: DEAD_AFTER,
            changes: Vec::new(),
            last_tried_dead: None,
        }
    }

    /// Sets the times without a message after which a neighbour is suspected, and after which it is dead.
    #[must_use]
    pub const fn timeouts(mut self, suspect_after: Duration, dead_after: Duration) -> Self {
        self.suspect_after = suspect_after;
        self.dead_after = dead_after;
        self
    }

    /// The instance that owns the table.
    pub const fn own_info(&self) -> &InstanceInfo {
        &self.own_info
    }

    /// All known instances, this one first.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceInfo> {
        std::iter::once(&self.own_info).chain(self.peers.values().map(|peer| &peer.info))
    }

    /// The instance `id`; `None` when it is unknown.
    pub fn instance(&self, id: &InstanceId) -> Option<&InstanceInfo> {
        if *id == self.own_info.id {
            return Some(&self.own_info);
        }
        self.peers.get(id).map(|peer| &peer.info)
    }

    /// Merges the platform's list of instances. The list lags, so it adds unknown instances and marks instances as
    /// leaving or dead, but never makes an instance live again.
    pub fn seed<I>(&mut self, listed: I, now: Instant)
    where
        I: IntoIterator<Item = InstanceInfo>,
    {
        for mut info in listed {
            let id = info.id.clone();
            match self.peers.get(&id) {
                None if id == self.own_info.id => {
                    info.incarnation = self.own_info.incarnation;
                    self.apply_report(&info, now);
                }
                None => {
                    self.apply_report(&info, now);
                    self.stop_propagation(&id);
                }
                Some(peer) if info.state != InstanceState::Live => {
                    info.incarnation = peer.info.incarnation;
                    self.apply_report(&info, now);
                }
                Some(_) => {}
            }
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.last_listed = Some(now);
            }
        }
    }

    /// The instances to send a heartbeat to: a bounded number of neighbours by ring order, and one of the dead
    /// instances, a different one in each call, so that the two sides of a partition find each other when it ends.
    pub fn targets(&mut self) -> Vec<InstanceInfo> {
        let mut chosen = self.neighbours();
        self.last_tried_dead = self.next_dead();
        chosen.extend(self.last_tried_dead.clone());
        let peers = chosen.iter().filter_map(|id| self.peers.get(id));
        peers.map(|peer| peer.info.clone()).collect()
    }

    /// Creates a heartbeat to `to`, or the answer to a heartbeat from it. The caller sets `revision`, `proof_age` and
    /// `terms`.
    pub fn heartbeat(&mut self, to: &InstanceId) -> Heartbeat {
        let mut beat = Heartbeat::new(self.own_info.clone());
        let about_receiver = self.peers.get(to).map(|peer| &peer.info);
        beat.recent
            .extend(about_receiver.filter(|info| info.state != InstanceState::Live).cloned());
        let others = self.peers.iter_mut().filter(|(id, _)| *id != to).map(|(_, peer)| peer);
        let mut pending: Vec<_> = others.filter(|peer| peer.propagations_left > 0).collect();
        pending.sort_by_key(|peer| std::cmp::Reverse((peer.propagations_left, peer.changed_at)));
        pending.truncate(MAX_REPORTS - beat.recent.len());
        for peer in pending {
            peer.propagations_left -= 1;
            beat.recent.push(peer.info.clone());
        }
        beat
    }

    /// Merges a received heartbeat, or the answer to a sent one.
    pub fn receive(&mut self, beat: &Heartbeat, now: Instant) {
        self.apply_self_report(&beat.sender, now);
        for info in &beat.recent {
            self.apply_report(info, now);
        }
    }

    /// Records that `id` answered a request other than a heartbeat at `now`.
    pub fn record_answer(&mut self, id: &InstanceId, now: Instant) {
        let Some(peer) = self.peers.get(id) else { return };
        let mut info = peer.info.clone();
        if info.state == InstanceState::Suspected {
            info.state = InstanceState::Live;
        }
        self.apply_self_report(&info, now);
    }

    /// Records that a connection to `id` failed, which makes it suspected at once.
    pub fn unreachable(&mut self, id: &InstanceId, now: Instant) {
        let Some(peer) = self.peers.get(id) else { return };
        if peer.info.state == InstanceState::Live {
            let info = InstanceInfo { state: InstanceState::Suspected, ..peer.info.clone() };
            self.replace(info, now);
        }
    }

    /// Marks this instance as leaving, which the next heartbeats announce.
    pub fn leave(&mut self) {
        self.own_info.state = InstanceState::Leaving;
        self.own_info.incarnation += 1;
    }

    /// Marks neighbours without recent messages as suspected or dead, and returns all state changes since the last
    /// call.
    pub fn tick(&mut self, now: Instant) -> Vec<StateChange> {
        self.watch_neighbours(now);
        let reports: Vec<_> =
            self.peers.values().filter_map(|peer| self.suspicion_report(peer, now)).collect();
        for info in reports {
            self.replace(info, now);
        }
        self.peers.retain(|_, peer| {
            let newest =
                peer.last_listed.map_or(peer.changed_at, |listed| listed.max(peer.changed_at));
            peer.info.state != InstanceState::Dead || now.since(newest) < DEAD_RETENTION
        });
        std::mem::take(&mut self.changes)
    }

    /// The home of a member in `data_centre`: the live instance of highest weight there, or in the first data centre of
    /// `nearest` that has a live instance; `None` when none has.
    pub fn home(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
        nearest: &[DataCentre],
    ) -> Option<InstanceId> {
        let key = ["home", database.as_str(), member.as_str()];
        let mut candidates = std::iter::once(data_centre).chain(nearest);
        candidates.find_map(|candidate| self.choose(&key, candidate, 1).pop())
    }

    /// The instances of `data_centre` that watch the store and relay its changes to the others, the preferred one
    /// first.
    pub fn relays(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        self.choose(&["relay", data_centre.as_str()], data_centre, RELAYS_PER_DATA_CENTRE)
    }

    /// The live instances of a data centre, including this one if it is live there.
    pub fn live<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a InstanceInfo> {
        self.instances().filter(move |info| {
            info.data_centre == *data_centre && info.state == InstanceState::Live
        })
    }

    fn choose(&self, key: &[&str], data_centre: &DataCentre, count: usize) -> Vec<InstanceId> {
        let live = self.live(data_centre).map(|info| info.id.as_str());
        highest(key, live, count).into_iter().map(InstanceId::new).collect()
    }

    fn data_centres(&self) -> BTreeSet<DataCentre> {
        self.instances().map(|info| info.data_centre.clone()).collect()
    }

    /// The instances of a data centre that are not dead, in ring order. Suspected ones stay on the ring, so that they
    /// receive the suspicion and can refute it.
    fn ring(&self, data_centre: &DataCentre) -> Vec<(u64, &InstanceId)> {
        let own_info = std::iter::once((self.ring_position, &self.own_info));
        let all = own_info.chain(self.peers.values().map(|peer| (peer.ring_position, &peer.info)));
        let present = all.filter(|(_, info)| {
            info.data_centre == *data_centre && info.state != InstanceState::Dead
        });
        let mut ring: Vec<_> = present.map(|(position, info)| (position, &info.id)).collect();
        ring.sort_unstable();
        ring
    }

    fn neighbours(&self) -> BTreeSet<InstanceId> {
        let mut chosen: BTreeSet<InstanceId> = self.local_neighbours().into_iter().collect();
        for data_centre in self.data_centres() {
            if data_centre != self.own_info.data_centre {
                chosen.extend(self.remote_neighbours(&data_centre));
            }
        }
        chosen
    }

    /// The dead instance that follows the last tried one in the order of identifiers.
    fn next_dead(&self) -> Option<InstanceId> {
        let dead = || {
            self.peers
                .values()
                .map(|peer| &peer.info)
                .filter(|info| info.state == InstanceState::Dead)
        };
        let later = dead().find(|info| Some(&info.id) > self.last_tried_dead.as_ref());
        later.or_else(|| dead().next()).map(|info| info.id.clone())
    }

    fn watch_neighbours(&mut self, now: Instant) {
        let neighbours = self.neighbours();
        for (id, peer) in &mut self.peers {
            let since = peer.watched_since.unwrap_or(now);
            peer.watched_since = neighbours.contains(id).then_some(since);
        }
    }

    fn local_neighbours(&self) -> Vec<InstanceId> {
        let ring = self.ring(&self.own_info.data_centre);
        let others = ring.iter().filter(|(_, id)| **id != self.own_info.id);
        if ring.len() <= FULL_MESH_INSTANCES {
            return others.map(|(_, id)| (*id).clone()).collect();
        }
        let own_index = ring.iter().position(|(_, id)| **id == self.own_info.id);
        let Some(own_index) = own_index else { return Vec::new() };
        let size = ring.len();
        let both_ways = |step: usize| [own_index + step, own_index + size - step % size];
        let indexes = NEIGHBOUR_STEPS.into_iter().flat_map(both_ways);
        let chosen = indexes.map(|index| ring[index % size].1.clone());
        chosen.filter(|id| *id != self.own_info.id).collect()
    }

    fn remote_neighbours(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        let ring = self.ring(data_centre);
        let next =
            ring.iter().position(|(position, _)| *position > self.ring_position).unwrap_or(0);
        let from_next = ring.iter().cycle().skip(next).take(ring.len());
        from_next.take(REMOTE_NEIGHBOURS).map(|(_, id)| (*id).clone()).collect()
    }

    /// The report that `peer` is suspected or dead, when its messages have been missing for long enough.
    fn suspicion_report(&self, peer: &Peer, now: Instant) -> Option<InstanceInfo> {
        let missing_for =
            now.since(peer.watched_since?.max(peer.last_received.unwrap_or_default()));
        let state = match peer.info.state {
            InstanceState::Dead => return None,
            _ if missing_for >= self.dead_after => InstanceState::Dead,
            InstanceState::Live if missing_for >= self.suspect_after => InstanceState::Suspected,
            _ => return None,
        };
        Some(InstanceInfo { state, ..peer.info.clone() })
    }

    /// Applies the report of an instance about itself, which outranks suspicion of the same incarnation.
    ///
    /// An instance that is known as dead or leaving does not become live again in the same incarnation. A dead one
    /// receives the report that it is dead with the next heartbeat and refutes it with a higher incarnation.
    fn apply_self_report(&mut self, info: &InstanceInfo, now: Instant) {
        if info.id == self.own_info.id {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&info.id) {
            let newer = info.outranks(&peer.info);
            let dead = peer.info.state == InstanceState::Dead;
            if info.incarnation < peer.info.incarnation || (dead && !newer) {
                return;
            }
            peer.last_received = peer.last_received.max(Some(now));
            if peer.info.state == InstanceState::Leaving && !newer {
                return;
            }
        }
        self.replace(info.clone(), now);
        if let Some(peer) = self.peers.get_mut(&info.id) {
            peer.last_received = peer.last_received.max(Some(now));
        }
    }

    /// Applies the report of one instance about another.
    fn apply_report(&mut self, info: &InstanceInfo, now: Instant) {
        if info.id == self.own_info.id {
            self.apply_report_about_self(info);
            return;
        }
        let Some(peer) = self.peers.get(&info.id) else {
            self.replace(info.clone(), now);
            return;
        };
        // A recent message of the instance itself is better evidence than the suspicion of another instance.
        let unresponsive = peer
            .last_received
            .is_none_or(|last_received| now.since(last_received) >= self.suspect_after);
        let newer = info.incarnation > peer.info.incarnation;
        if (unresponsive || newer || info.state == InstanceState::Leaving)
            && info.outranks(&peer.info)
        {
            self.replace(info.clone(), now);
            self.restart_watch(&info.id, now);
        }
    }

    /// Stops the propagation of a report from the platform's list. The other instances read the list themselves, so
    /// the space in heartbeats is left for reports that the list lacks.
    fn stop_propagation(&mut self, id: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.propagations_left = 0;
        }
    }

    /// Restarts the time without a message after a report that the instance is live, which is newer information.
    fn restart_watch(&mut self, id: &InstanceId, now: Instant) {
        let Some(peer) = self.peers.get_mut(id) else { return };
        if peer.info.state == InstanceState::Live {
            peer.watched_since = peer.watched_since.map(|_| now);
        }
    }

    /// Refutes a report that this instance is suspected or dead. A report that it is leaving is adopted, because only
    /// the instance itself or the platform issues it.
    fn apply_report_about_self(&mut self, info: &InstanceInfo) {
        if info.incarnation < self.own_info.incarnation || info.state <= self.own_info.state {
            return;
        }
        if info.state == InstanceState::Leaving {
            let before = Some(self.own_info.state);
            self.leave();
            self.changes.push(StateChange { instance: self.own_info.clone(), before });
        } else {
            self.own_info.incarnation = info.incarnation + 1;
        }
    }

    fn replace(&mut self, info: InstanceInfo, now: Instant) {
        let before = self.peers.get(&info.id).map(|peer| peer.info.clone());
        if before.as_ref() == Some(&info) {
            return;
        }
        let old_state = before.map(|before| before.state);
        let peer = self.peers.entry(info.id.clone()).or_insert_with(|| Peer {
            info: info.clone(),
            ring_position: hash_ring_position(&info.id),
            last_received: None,
            watched_since: None,
            last_listed: None,
            changed_at: now,
            propagations_left: 0,
        });
        peer.info = info.clone();
        peer.changed_at = now;
        peer.propagations_left = REPORT_PROPAGATIONS;
        if old_state != Some(info.state) {
            self.changes.push(StateChange { instance: info, before: old_state });
        }
    }
}

fn hash_ring_position(id: &InstanceId) -> u64 {
    weight(&["ring"], id.as_str())
}
