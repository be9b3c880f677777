//! The fleet as an instance knows it: registrations, roles, and the instances that it depends on.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    first_configuration::COMPARE_TIME,
    membership,
    name::{DataCentre, Group, InstanceId, Workspace},
    roster::{self, FleetRole, REGISTER_TIME},
    store_era::REWRITE_TIME,
    topology::{Profile, Topology},
};

use super::Node;
use crate::{
    adapter::Platform,
    failover_claim::ClaimClient,
    group_logs::{LogClient, LogHost},
    group_state::GroupState,
    message::Registration,
    peers::OfferedRoster,
    promotion_records::RecordHost,
};

/// Time from the first list of the instances in which hubs count as live although no message has come.
const STARTING_TIME: Duration = Duration::from_millis(1000);

impl<P> Node<P>
where
    P: Platform,
{
    /// Addresses of holders for calls, in the order of their use. Each workspace prefers one holder, so that its
    /// connections are reused.
    pub fn holder_addresses(
        &self,
        holders: &[InstanceId],
        workspace: &Workspace,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let mut holders = holders.to_vec();
        let first = membership::weight(&[], workspace.as_str()) % holders.len().max(1) as u64;
        holders.rotate_left(usize::try_from(first).unwrap_or(0));
        self.peers.borrow().tunnel_addresses(&holders, self.now())
    }

    /// Records that the holder with this tunnel address did not answer.
    pub fn record_holder_unreachable(&self, address: SocketAddr) {
        self.peers.borrow_mut().record_unreachable_at(address, self.now());
    }

    /// Replaces the registrations of the instances, of which those in `replaced` were replaced as hubs, and updates the
    /// limits that depend on them. After a restore of the store, instances are only added.
    pub fn register(
        &self,
        registrations: &[(InstanceId, Registration)],
        mut replaced: BTreeSet<InstanceId>,
    ) {
        let now = self.now();
        let may_lack = self.store_era.may_lack_writes(REGISTER_TIME, now);
        self.peers.borrow_mut().register(registrations, may_lack, now);
        if may_lack {
            let is_listed =
                |name: &InstanceId| registrations.iter().any(|(listed, _)| listed == name);
            replaced.extend(self.succession.replaced().into_iter().filter(|name| !is_listed(name)));
        }
        let mut encoded = postcard::to_stdvec(&self.registrations()).unwrap_or_default();
        if !replaced.is_empty() {
            encoded = postcard::to_extend(&replaced, encoded).unwrap_or_default();
        }
        self.succession.set_replaced(replaced);
        self.roster_digest.set(roster::digest(&encoded));
        self.update_limits();
        let topology = self.topology();
        let is_expected = |name: &InstanceId| topology.receives_from(self.instance(), name);
        self.peers.borrow_mut().expect_messages(is_expected, self.now());
        self.send_now.notify(usize::MAX);
        self.roster_changed.notify(usize::MAX);
    }

    /// Registrations of all instances that were read, and of this one, in the order of their names.
    pub fn registrations(&self) -> BTreeMap<InstanceId, Registration> {
        let peers = self.peers.borrow();
        let others =
            peers.registrations().map(|(name, registration)| (name.clone(), registration.clone()));
        others.chain([(self.instance().clone(), self.registration())]).collect()
    }

    /// Version of the list of the instances at this instance.
    pub fn roster_version(&self) -> OfferedRoster {
        OfferedRoster { version: self.roster.borrow().version(), digest: self.roster_digest.get() }
    }

    /// Role of this instance in the fleet that it knows.
    pub fn role(&self) -> FleetRole {
        let topology = self.topology();
        let now = self.now();
        // Hubs that have just been listed have not answered yet, and at the first start of a fleet the list lacks those
        // that register later.
        let is_starting = self.is_starting(now);
        if topology.is_hub(self.instance()) && (self.roster.borrow().is_settled() || !is_starting) {
            return FleetRole::Hub;
        }
        let peers = self.peers.borrow();
        if is_starting || topology.hubs().any(|hub| peers.is_live(hub, now)) {
            FleetRole::Follower
        } else {
            FleetRole::Orphan
        }
    }

    /// Whether the other instances were first listed just now, or not at all.
    fn is_starting(&self, now: Instant) -> bool {
        let known_since = self.roster.borrow().known_since();
        known_since.is_none_or(|since| now.since(since) < STARTING_TIME)
    }

    /// Whether the other instances are known well enough to decide for them or to share limits with them.
    pub fn knows_fleet(&self) -> bool {
        self.roster.borrow().is_complete(self.role()) && !self.may_lack_instances()
    }

    /// Whether the store may have been restored just before this process started, and the instances that the restored list
    /// may lack have not been heard yet. They send messages, since they kept this one in their lists.
    fn may_lack_instances(&self) -> bool {
        if !self.may_have_started_after_a_restore() {
            return false;
        }
        let heard_since = self.peers.borrow().heard_since();
        let has_heard = heard_since.is_some_and(|since| self.now().since(since) >= COMPARE_TIME);
        !has_heard || self.unmerged_roster().is_some()
    }

    /// Whether the known era is as old as this process or older, and the store may still lack writes from before it. The time
    /// is limited, so that an instance that cannot be reached does not hold this one up.
    fn may_have_started_after_a_restore(&self) -> bool {
        let era = &self.store_era;
        !self.has_merged_roster.get()
            && era.get().restored_at().is_none()
            && era.may_lack_writes(REWRITE_TIME, self.now())
    }

    /// An instance whose list this one has to merge with its own, because the one that it read may lack instances.
    pub fn unmerged_roster(&self) -> Option<InstanceId> {
        if !self.may_have_started_after_a_restore() {
            return None;
        }
        self.peers.borrow().offers_other_roster(self.roster_digest.get(), self.now())
    }

    /// Updates what depends on whether the instances are known, if that has changed since the last call. While the store was
    /// never restored, it changes with lists only, which update it themselves.
    pub fn update_fleet_knowledge(&self) {
        if self.store_era.known() == 0 {
            return;
        }
        let knows_fleet = self.knows_fleet();
        if self.knew_fleet.replace(knows_fleet) == knows_fleet {
            return;
        }
        if knows_fleet {
            // A hub may have started before the others had registered again.
            self.roster.borrow_mut().request_list();
        }
        self.update_limits();
    }

    /// Records that the list of another instance was merged with the own one.
    pub fn record_merged_roster(&self) {
        self.has_merged_roster.set(true);
    }

    /// Has messages sent at once, to the other hubs and from a hub to its followers: a fence or the configuration has
    /// changed.
    pub fn announce(&self) {
        self.has_urgent_news.set(true);
        self.send_now.notify(usize::MAX);
    }

    /// Whether [`announce`](Self::announce) was called since the last call of this method.
    pub fn take_urgent_news(&self) -> bool {
        self.has_urgent_news.take()
    }

    /// The instances that store tokens and state for this one: the hubs of its region, or while none of them is live, all
    /// hubs and the stand-ins that may have replaced them. The instance itself is not among them.
    pub fn own_hubs(&self) -> Vec<InstanceId> {
        let topology = self.topology();
        let others = |hub: &&InstanceId| *hub != self.instance();
        let regional: Vec<InstanceId> =
            topology.regional_hubs(self.instance()).filter(others).cloned().collect();
        let now = self.now();
        let peers = self.peers.borrow();
        if self.is_starting(now) || regional.iter().any(|hub| peers.is_live(hub, now)) {
            return regional;
        }
        let pairs = topology.place(self.instance()).map_or(0, |place| place.pairs);
        let pairs = self.succession.pairs_to_ask(pairs, now);
        let standins = topology.first_standins(self.instance(), pairs);
        topology.hubs().chain(standins).filter(others).cloned().collect()
    }

    /// Registration of this instance.
    pub fn registration(&self) -> Registration {
        Registration {
            address: self.settings.peers,
            tunnels: self.settings.tunnels,
            data_centre: self.settings.data_centre.clone(),
            capacity: self.settings.capacity,
        }
    }

    /// Roles of the registered instances: hubs and holders.
    pub fn topology(&self) -> Rc<Topology> {
        self.topology.borrow().clone()
    }

    pub(super) fn update_topology(&self) -> Rc<Topology> {
        let region = |data_centre: &DataCentre| {
            self.settings.regions.get(data_centre).cloned().unwrap_or_default()
        };
        let settings = &self.settings;
        let own = Profile {
            name: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            region: region(&settings.data_centre),
            capacity: settings.capacity,
        };
        let peers = self.peers.borrow();
        let others = peers.registrations().map(|(name, peer)| Profile {
            name: name.clone(),
            data_centre: peer.data_centre.clone(),
            region: region(&peer.data_centre),
            capacity: peer.capacity,
        });
        let replaced = self.succession.replaced();
        let topology = Rc::new(Topology::with_replaced(others.chain([own]), &replaced));
        *self.topology.borrow_mut() = topology.clone();
        topology
    }
}

impl<P> RecordHost for Node<P>
where
    P: Platform,
{
    type Store = P::Store;

    fn claims(&self) -> ClaimClient<'_, P::Store> {
        ClaimClient {
            store: &self.store,
            era: &self.store_era,
            table: &self.failover_claims,
            metrics: &self.metrics,
            instance: self.instance(),
        }
    }

    fn writer_rank(&self, group: &Group) -> Option<u32> {
        let rank = crate::monitor::hub_rank(self, group.as_str(), self.now());
        u32::try_from(rank).ok().filter(|_| self.is_writer())
    }

    fn is_writer(&self) -> bool {
        self.role() == FleetRole::Hub && self.knows_fleet()
    }
}

impl<P> LogHost for Node<P>
where
    P: Platform,
{
    type Store = P::Store;

    fn logs(&self) -> LogClient<'_, P::Store> {
        LogClient {
            store: &self.store,
            era: &self.store_era,
            table: &self.group_logs,
            metrics: &self.metrics,
        }
    }

    fn guarded_groups(&self) -> Vec<Rc<GroupState>> {
        if self.is_writer() { self.groups() } else { Vec::new() }
    }

    fn keeps_record(&self, group: &Group) -> bool {
        self.writer_rank(group) == Some(0)
    }
}
