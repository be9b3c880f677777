//! Effects of evacuated data centres on the members, requests and failovers of an instance.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    evacuation::{PromotionMember, Service, excluded_members},
    name::{Group, MemberId},
    roster::FleetRole,
    sync_group::{GroupView, Role},
};
use hibiscusladder_io::clock::within;

use super::Node;
use crate::{
    adapter::{Collection, Platform},
    evacuations::{EvacuationHost, EvacuationState},
    member_table::Member,
    metrics::Counter,
    monitor::hub_rank,
};

/// Time between two checks of the role of this instance.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of instances with short watches, so that one of them soon notices when a watch is no longer answered.
const SHORT_WATCHERS: usize = 2;

impl<P> EvacuationHost for Node<P>
where
    P: Platform,
{
    type Store = P::Store;

    fn store(&self) -> &Self::Store {
        &self.store
    }

    fn evacuations(&self) -> &EvacuationState {
        &self.evacuations
    }

    fn now(&self) -> Instant {
        self.now()
    }

    fn reads_store(&self) -> bool {
        self.reads_store()
    }

    fn watches_briefly(&self) -> bool {
        self.role() != FleetRole::Hub
            || hub_rank(self, Collection::Evacuations.as_str(), self.now()) < SHORT_WATCHERS
    }

    fn count_call(&self, result: &'static str) {
        self.metrics.count(Counter::StoreCalls, result);
    }

    async fn wait_for_role(&self) {
        within(ROLE_CHECK_INTERVAL, self.roster_changed.listen()).await;
    }

    fn evacuations_changed(&self) {
        self.update_evacuated_members();
        self.announce();
        self.evaluate_now.notify(usize::MAX);
        for group in self.groups() {
            group.notify();
        }
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// The new work that a member may get under the evacuations in force.
    pub fn evacuation_service(&self, member: &MemberId, is_primary: bool, now: Instant) -> Service {
        if self.evacuations.is_empty() {
            return Service::Any;
        }
        let Some(entry) = self.member(member) else { return Service::Any };
        let has_successor = is_primary && self.has_member_elsewhere(&entry.record.group);
        self.evacuations.service(&entry.record.data_centre, is_primary, has_successor, now)
    }

    /// Whether a member of the group is neither evacuated nor leaving, so that it may replace the primary.
    fn has_member_elsewhere(&self, group: &Group) -> bool {
        let members = self.members.borrow();
        let mut members = members.in_group(group);
        members.any(|(_, member)| {
            member.is_active() && !self.evacuations.is_evacuated(&member.record.data_centre)
        })
    }

    /// Whether the primary of a group has to be replaced because its data centre is evacuated, and can be.
    pub fn is_evacuated_primary(&self, primary: &MemberId) -> bool {
        let Some(entry) = self.member(primary) else { return false };
        self.evacuations.is_evacuated(&entry.record.data_centre)
            && self.has_member_elsewhere(&entry.record.group)
    }

    /// The members of a group that must not be promoted: those that are leaving, and evacuated ones as of [`excluded_members`].
    pub fn members_not_promoted(&self, group: &Group, view: &GroupView) -> Vec<MemberId> {
        let members = self.members.borrow();
        let leaving = members.in_group(group).filter(|(_, member)| !member.is_active());
        let mut excluded: Vec<MemberId> = leaving.map(|(id, _)| id.clone()).collect();
        if self.evacuations.is_empty() {
            return excluded;
        }
        let replicas = members.in_group(group).filter_map(|(id, member)| {
            let status = view.status(id);
            let is_primary = status.is_some_and(|status| status.role == Role::Primary);
            if is_primary || !member.is_active() {
                return None;
            }
            Some(PromotionMember {
                member: id.clone(),
                is_evacuated: self.evacuations.is_evacuated(&member.record.data_centre),
                received: status.map(|status| status.received),
            })
        });
        excluded.extend(excluded_members(&replicas.collect::<Vec<_>>()));
        excluded
    }

    /// Time for which an evacuation has kept the requests of a group from running: all members are evacuated, or, for
    /// requests that need the primary, the primary no longer gets work. `None` when no evacuation does so.
    pub fn blocked_by_evacuation(
        &self,
        group: &Group,
        needs_primary: bool,
        now: Instant,
    ) -> Option<Duration> {
        if self.evacuations.is_empty() {
            return None;
        }
        let evacuated_for =
            |member: &Member| self.evacuations.evacuated_for(&member.record.data_centre, now);
        let members = self.members.borrow();
        let times: Option<Vec<Duration>> =
            members.in_group(group).map(|(_, member)| evacuated_for(member)).collect();
        if let Some(blocked) = times.and_then(|times| times.into_iter().min()) {
            return Some(blocked);
        }
        drop(members);
        if !needs_primary {
            return None;
        }
        let leader = self.group(group)?.view.borrow().leader(now)?.member;
        if self.evacuation_service(&leader, true, now) != Service::None {
            return None;
        }
        evacuated_for(&self.member(&leader)?)
    }

    /// Whether an open transaction at a member has to end, because the time that an evacuation leaves it is over.
    pub fn ends_transactions_at(&self, member: &MemberId, now: Instant) -> bool {
        !self.evacuations.is_empty()
            && self.member(member).is_some_and(|entry| {
                let data_centre = &entry.record.data_centre;
                self.evacuations.ends_transactions(data_centre, self.settings.drain, now)
            })
    }
}
