//! What the succession of hubs needs of an instance.

use std::rc::Rc;

use hibiscusladder_core::{
    clock::Instant,
    name::InstanceId,
    roster::{FleetRole, Freshness},
    succession::UNHEARD_AFTER,
    topology::Topology,
};

use super::Node;
use crate::{
    adapter::{Object, Platform, StoreError},
    metrics::Counter,
    succession::{SuccessionHost, SuccessionState},
    sync,
};

impl<P> SuccessionHost for Node<P>
where
    P: Platform,
{
    type Store = P::Store;

    fn store(&self) -> &Self::Store {
        &self.store
    }

    fn succession(&self) -> &SuccessionState {
        &self.succession
    }

    fn now(&self) -> Instant {
        self.now()
    }

    fn instance(&self) -> &InstanceId {
        self.instance()
    }

    fn topology(&self) -> Rc<Topology> {
        self.topology()
    }

    fn is_live(&self, instance: &InstanceId) -> bool {
        self.peers.borrow().is_live(instance, self.now())
    }

    fn expected_and_heard(&self) -> (usize, usize) {
        let peers = self.peers.borrow();
        let expected = peers.expected();
        let silent = peers.unresponsive(UNHEARD_AFTER, self.now()).len();
        (expected, expected.saturating_sub(silent))
    }

    fn is_listed_since(&self, since: Instant) -> bool {
        self.roster.borrow().is_listed_since(since)
    }

    fn list_soon(&self) {
        self.roster.borrow_mut().list_now();
        self.roster_changed.notify(usize::MAX);
    }

    async fn list_instances(&self) -> Result<Vec<Object>, StoreError> {
        sync::list_instances(self, Freshness::Current, &mut None).await
    }

    fn count_write(&self, is_written: bool) {
        self.metrics
            .count(Counter::StoreCalls, if is_written { "written" } else { "write_failed" });
    }

    fn part_changed(&self) {
        self.update_allotments();
    }

    fn announce_takeover(&self) {
        self.succession.announce();
        self.announce();
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Whether this instance reads the store: a hub, or a stand-in while no hub has the store.
    pub fn reads_store(&self) -> bool {
        self.role() == FleetRole::Hub || self.stands_in()
    }

    /// Whether this instance reads the store in place of the hubs.
    fn stands_in(&self) -> bool {
        let place = self.topology().place(self.instance());
        self.succession.reads_store(place, self.now())
    }

    /// Role of this instance for its list of the others: without a live hub, only stand-ins list the registrations.
    pub fn roster_role(&self) -> FleetRole {
        match self.role() {
            FleetRole::Hub => FleetRole::Hub,
            _ if self.stands_in() => FleetRole::Orphan,
            _ => FleetRole::Follower,
        }
    }

    /// Records that the store answered a call.
    pub fn record_store_contact(&self) {
        self.succession.record_contact(self.role() == FleetRole::Hub, self.now());
    }
}
