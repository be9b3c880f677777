//! The table of known instances.

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

/// Default silence after which a neighbour is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Default silence after which a neighbour is dead.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Time for which a dead instance is remembered, so that old reports do not bring it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Distances on the ring of a data centre at which the neighbours sit, in both directions.
///
/// Up to nine instances, these are all others. The wide steps pass a report through hundreds of instances in few
/// heartbeats.
const NEIGHBOUR_STEPS: [usize; 4] = [1, 2, 5, 17];
/// Instances of one data centre that are all neighbours of each other.
const FULL_MESH: usize = 2 * NEIGHBOUR_STEPS.len() + 1;
/// Neighbours in each other data centre.
const REMOTE_NEIGHBOURS: usize = 2;
/// Relays of the configuration in each data centre.
const RELAYS: usize = 2;
/// Reports in one heartbeat.
const MAX_RECENT: usize = 16;
/// Heartbeats in which one report is passed on: a few for each of up to 14 neighbours.
const REPORT_SENDS: u32 = 42;

/// An instance whose state changed in this instance's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The instance with its new state.
    pub instance: InstanceInfo,
    /// State before; absent for an instance that was unknown.
    pub before: Option<InstanceState>,
}

#[derive(Debug, Clone)]
struct Known {
    info: InstanceInfo,
    /// Place on the ring of its data centre.
    place: u64,
    /// When it last sent or answered something; reports by others do not count.
    heard: Option<Instant>,
    /// Since when it is a neighbour, so that its silence means something.
    watched: Option<Instant>,
    /// When the platform's list last named it.
    listed: Option<Instant>,
    changed: Instant,
    /// Heartbeats in which the newest report is still to be passed on.
    sends_left: u32,
}

/// The instances known to one instance.
#[derive(Debug, Clone)]
pub struct Membership {
    me: InstanceInfo,
    /// This instance's place on the ring.
    place: u64,
    others: BTreeMap<InstanceId, Known>,
    suspect_after: Duration,
    dead_after: Duration,
    /// Changes that were found outside of [`Membership::tick`].
    changes: Vec<StateChange>,
    /// The dead instance that was tried last.
    tried: Option<InstanceId>,
}

impl Membership {
    /// Creates the table of `me`, which is the only instance in it.
    pub fn new(me: InstanceInfo) -> Self {
        Self {
            place: ring_place(&me.id),
            me,
            others: BTreeMap::new(),
            suspect_after: SUSPECT_AFTER,
            dead_after: DEAD_AFTER,
            changes: Vec::new(),
            tried: None,
        }
    }

    /// Sets the silence after which a neighbour is suspected, and the one after which it is dead.
    #[must_use]
    pub const fn timeouts(mut self, suspect_after: Duration, dead_after: Duration) -> Self {
        self.suspect_after = suspect_after;
        self.dead_after = dead_after;
        self
    }

    /// This instance.
    pub const fn me(&self) -> &InstanceInfo {
        &self.me
    }

    /// All known instances with this one.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceInfo> {
        std::iter::once(&self.me).chain(self.others.values().map(|known| &known.info))
    }

    /// One known instance.
    pub fn instance(&self, id: &InstanceId) -> Option<&InstanceInfo> {
        if *id == self.me.id {
            return Some(&self.me);
        }
        self.others.get(id).map(|known| &known.info)
    }

    /// Takes over the platform's list, which lags: it adds unknown instances and announces departures, and never
    /// brings an instance back.
    pub fn seed<I>(&mut self, listed: I, now: Instant)
    where
        I: IntoIterator<Item = InstanceInfo>,
    {
        for mut info in listed {
            let id = info.id.clone();
            match self.others.get(&id) {
                None if id == self.me.id => {
                    info.incarnation = self.me.incarnation;
                    self.hear_about(&info, now);
                }
                None => {
                    self.hear_about(&info, now);
                    self.keep_to_itself(&id);
                }
                Some(known) if info.state != InstanceState::Live => {
                    info.incarnation = known.info.incarnation;
                    self.hear_about(&info, now);
                }
                Some(_) => {}
            }
            if let Some(known) = self.others.get_mut(&id) {
                known.listed = Some(now);
            }
        }
    }

    /// The instances to send a heartbeat to: a bounded number of neighbours by ring order, and in turn one of the
    /// dead instances, so that the two sides of a partition find each other when it ends.
    pub fn targets(&mut self) -> Vec<InstanceInfo> {
        let mut chosen = self.neighbours();
        self.tried = self.next_dead();
        chosen.extend(self.tried.clone());
        let known = chosen.iter().filter_map(|id| self.others.get(id));
        known.map(|known| known.info.clone()).collect()
    }

    /// Creates a heartbeat to `to`, or an answer to one from it; `revision`, `proof_age` and `terms` are the
    /// caller's to set.
    pub fn heartbeat(&mut self, to: &InstanceId) -> Heartbeat {
        let mut beat = Heartbeat::new(self.me.clone());
        let about_receiver = self.others.get(to).map(|known| &known.info);
        beat.recent
            .extend(about_receiver.filter(|info| info.state != InstanceState::Live).cloned());
        let others = self.others.iter_mut().filter(|(id, _)| *id != to).map(|(_, known)| known);
        let mut pending: Vec<_> = others.filter(|known| known.sends_left > 0).collect();
        pending.sort_by_key(|known| std::cmp::Reverse((known.sends_left, known.changed)));
        pending.truncate(MAX_RECENT - beat.recent.len());
        for known in pending {
            known.sends_left -= 1;
            beat.recent.push(known.info.clone());
        }
        beat
    }

    /// Takes a heartbeat or the answer to one.
    pub fn receive(&mut self, beat: &Heartbeat, now: Instant) {
        self.hear_from(&beat.sender, now);
        for info in &beat.recent {
            self.hear_about(info, now);
        }
    }

    /// Records that `id` answered other traffic at `now`.
    pub fn record_answer(&mut self, id: &InstanceId, now: Instant) {
        let Some(known) = self.others.get(id) else { return };
        let mut info = known.info.clone();
        if info.state == InstanceState::Suspected {
            info.state = InstanceState::Live;
        }
        self.hear_from(&info, now);
    }

    /// Records that a connection to `id` failed, which makes it suspected at once.
    pub fn unreachable(&mut self, id: &InstanceId, now: Instant) {
        let Some(known) = self.others.get(id) else { return };
        if known.info.state == InstanceState::Live {
            let info = InstanceInfo { state: InstanceState::Suspected, ..known.info.clone() };
            self.replace(info, now);
        }
    }

    /// Announces that this instance leaves.
    pub fn leave(&mut self) {
        self.me.state = InstanceState::Leaving;
        self.me.incarnation += 1;
    }

    /// Suspects silent neighbours and returns all changes of state since the last call.
    pub fn tick(&mut self, now: Instant) -> Vec<StateChange> {
        self.watch_neighbours(now);
        let silent: Vec<_> =
            self.others.values().filter_map(|known| self.aged(known, now)).collect();
        for info in silent {
            self.replace(info, now);
        }
        self.others.retain(|_, known| {
            let newest = known.listed.map_or(known.changed, |listed| listed.max(known.changed));
            known.info.state != InstanceState::Dead || now.since(newest) < FORGET_AFTER
        });
        std::mem::take(&mut self.changes)
    }

    /// The home of a member in `data_centre`: the live instance of highest weight there, or in the first of
    /// `nearest` that has a live one.
    pub fn home(
        &self,
        database: &Database,
        member: &MemberId,
        data_centre: &DataCentre,
        nearest: &[DataCentre],
    ) -> Option<InstanceId> {
        let key = ["home", database.as_str(), member.as_str()];
        let mut places = std::iter::once(data_centre).chain(nearest);
        places.find_map(|place| self.choose(&key, place, 1).pop())
    }

    /// The instances of `data_centre` that watch the store for the others, the first one preferred.
    pub fn relays(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        self.choose(&["relay", data_centre.as_str()], data_centre, RELAYS)
    }

    /// The live instances of a data centre with this one.
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

    /// The instances of a data centre that are not dead, in ring order. Suspected ones stay on the ring, so that
    /// they are told and can refute it.
    fn ring(&self, data_centre: &DataCentre) -> Vec<(u64, &InstanceId)> {
        let me = std::iter::once((self.place, &self.me));
        let all = me.chain(self.others.values().map(|known| (known.place, &known.info)));
        let present = all.filter(|(_, info)| {
            info.data_centre == *data_centre && info.state != InstanceState::Dead
        });
        let mut ring: Vec<_> = present.map(|(place, info)| (place, &info.id)).collect();
        ring.sort_unstable();
        ring
    }

    fn neighbours(&self) -> BTreeSet<InstanceId> {
        let mut chosen: BTreeSet<InstanceId> = self.local_neighbours().into_iter().collect();
        for data_centre in self.data_centres() {
            if data_centre != self.me.data_centre {
                chosen.extend(self.remote_neighbours(&data_centre));
            }
        }
        chosen
    }

    /// The dead instance after the one that was tried last, by name.
    fn next_dead(&self) -> Option<InstanceId> {
        let dead = || {
            self.others
                .values()
                .map(|known| &known.info)
                .filter(|info| info.state == InstanceState::Dead)
        };
        let later = dead().find(|info| Some(&info.id) > self.tried.as_ref());
        later.or_else(|| dead().next()).map(|info| info.id.clone())
    }

    fn watch_neighbours(&mut self, now: Instant) {
        let neighbours = self.neighbours();
        for (id, known) in &mut self.others {
            let since = known.watched.unwrap_or(now);
            known.watched = neighbours.contains(id).then_some(since);
        }
    }

    fn local_neighbours(&self) -> Vec<InstanceId> {
        let ring = self.ring(&self.me.data_centre);
        let others = ring.iter().filter(|(_, id)| **id != self.me.id);
        if ring.len() <= FULL_MESH {
            return others.map(|(_, id)| (*id).clone()).collect();
        }
        let mine = ring.iter().position(|(_, id)| **id == self.me.id);
        let Some(mine) = mine else { return Vec::new() };
        let size = ring.len();
        let both_ways = |step: usize| [mine + step, mine + size - step % size];
        let places = NEIGHBOUR_STEPS.into_iter().flat_map(both_ways);
        let chosen = places.map(|place| ring[place % size].1.clone());
        chosen.filter(|id| *id != self.me.id).collect()
    }

    fn remote_neighbours(&self, data_centre: &DataCentre) -> Vec<InstanceId> {
        let ring = self.ring(data_centre);
        let next = ring.iter().position(|(place, _)| *place > self.place).unwrap_or(0);
        let from_next = ring.iter().cycle().skip(next).take(ring.len());
        from_next.take(REMOTE_NEIGHBOURS).map(|(_, id)| (*id).clone()).collect()
    }

    /// The report of silence that is due about an instance.
    fn aged(&self, known: &Known, now: Instant) -> Option<InstanceInfo> {
        let silence = now.since(known.watched?.max(known.heard.unwrap_or_default()));
        let state = match known.info.state {
            InstanceState::Dead => return None,
            _ if silence >= self.dead_after => InstanceState::Dead,
            InstanceState::Live if silence >= self.suspect_after => InstanceState::Suspected,
            _ => return None,
        };
        Some(InstanceInfo { state, ..known.info.clone() })
    }

    /// Takes what an instance says about itself. It outranks suspicion of the same incarnation.
    ///
    /// An instance that is known as dead or leaving is not taken back in the same incarnation. The dead one is
    /// told of the report by the next heartbeat and refutes it with a higher incarnation.
    fn hear_from(&mut self, info: &InstanceInfo, now: Instant) {
        if info.id == self.me.id {
            return;
        }
        if let Some(known) = self.others.get_mut(&info.id) {
            let newer = info.outranks(&known.info);
            let dead = known.info.state == InstanceState::Dead;
            if info.incarnation < known.info.incarnation || (dead && !newer) {
                return;
            }
            known.heard = known.heard.max(Some(now));
            if known.info.state == InstanceState::Leaving && !newer {
                return;
            }
        }
        self.replace(info.clone(), now);
        if let Some(known) = self.others.get_mut(&info.id) {
            known.heard = known.heard.max(Some(now));
        }
    }

    /// Takes what one instance says about another.
    fn hear_about(&mut self, info: &InstanceInfo, now: Instant) {
        if info.id == self.me.id {
            self.hear_about_me(info);
            return;
        }
        let Some(known) = self.others.get(&info.id) else {
            self.replace(info.clone(), now);
            return;
        };
        // Its own recent message is better evidence than another instance's suspicion.
        let silent = known.heard.is_none_or(|heard| now.since(heard) >= self.suspect_after);
        let newer = info.incarnation > known.info.incarnation;
        if (silent || newer || info.state == InstanceState::Leaving) && info.outranks(&known.info) {
            self.replace(info.clone(), now);
            self.restart_watch(&info.id, now);
        }
    }

    /// Others read the platform's list themselves; the reports are left for what it does not tell.
    fn keep_to_itself(&mut self, id: &InstanceId) {
        if let Some(known) = self.others.get_mut(id) {
            known.sends_left = 0;
        }
    }

    /// A report of life is newer than the silence seen so far.
    fn restart_watch(&mut self, id: &InstanceId, now: Instant) {
        let Some(known) = self.others.get_mut(id) else { return };
        if known.info.state == InstanceState::Live {
            known.watched = known.watched.map(|_| now);
        }
    }

    /// Refutes suspicion. Being told to leave is not refuted, since only this instance or the platform says so.
    fn hear_about_me(&mut self, info: &InstanceInfo) {
        if info.incarnation < self.me.incarnation || info.state <= self.me.state {
            return;
        }
        if info.state == InstanceState::Leaving {
            let before = Some(self.me.state);
            self.leave();
            self.changes.push(StateChange { instance: self.me.clone(), before });
        } else {
            self.me.incarnation = info.incarnation + 1;
        }
    }

    fn replace(&mut self, info: InstanceInfo, now: Instant) {
        let before = self.others.get(&info.id).map(|known| known.info.clone());
        if before.as_ref() == Some(&info) {
            return;
        }
        let old_state = before.map(|before| before.state);
        let known = self.others.entry(info.id.clone()).or_insert_with(|| Known {
            info: info.clone(),
            place: ring_place(&info.id),
            heard: None,
            watched: None,
            listed: None,
            changed: now,
            sends_left: 0,
        });
        known.info = info.clone();
        known.changed = now;
        known.sends_left = REPORT_SENDS;
        if old_state != Some(info.state) {
            self.changes.push(StateChange { instance: info, before: old_state });
        }
    }
}

fn ring_place(id: &InstanceId) -> u64 {
    weight(&["ring"], id.as_str())
}
