//! Share of this instance in the allowance of a cold member, and updates of the limits of members.

use hibiscusladder_core::{
    cold::{ColdLimits, Share},
    membership,
    name::{InstanceId, MemberId},
};

use super::Node;
use crate::{
    adapter::{Platform, Target},
    slot_queue,
};

impl<P> Node<P>
where
    P: Platform,
{
    /// Updates the limits of a member from the configuration and from the instances that hold connections to it.
    pub(super) fn update_cold(&self, target: &Target, holders: Option<&[InstanceId]>) {
        let directory = self.directory();
        let group = directory.as_ref().and_then(|directory| directory.groups.get(&target.group));
        let tolerance = self.cold.tolerance();
        let limits = group.and_then(|group| group.cold).map(|cold| ColdLimits {
            rate: cold.rate,
            overage: tolerance.overage,
            slack: tolerance.slack,
            longest: cold.duration,
        });
        let now = self.now();
        let share = limits.and_then(|_| self.cold_share(&target.member, holders));
        self.cold.gate(&target.member, now).set_limits(limits, share, now);
    }

    /// Updates how many statements may run at members that do not answer for a while.
    pub fn update_paces(&self) {
        for pool in self.pools.borrow().values() {
            slot_queue::update_pace(pool);
        }
    }

    /// Updates which members are evacuated, since they are cold when they come back.
    pub(super) fn update_evacuated_members(&self) {
        let now = self.now();
        for (id, member) in self.members.borrow().iter() {
            let is_evacuated = self.evacuations.is_evacuated(&member.record.data_centre);
            self.cold.set_evacuated(id, is_evacuated, now);
        }
    }

    /// Share of this instance; `None` while it holds no connections or does not know the others that do.
    fn cold_share(&self, member: &MemberId, holders: Option<&[InstanceId]>) -> Option<Share> {
        if !self.knows_fleet() {
            return None;
        }
        let topology = self.topology();
        let own = self.instance();
        if let Some(holders) = holders {
            let rank = holders.iter().position(|holder| holder == own)?;
            return Some(Share { holders: holders.len(), rank });
        }
        let weight = |name: &InstanceId| membership::weight(&[member.as_str()], name.as_str());
        let own_weight = weight(own);
        let rank = topology.hubs().filter(|name| weight(name) > own_weight).count();
        Some(Share { holders: topology.len(), rank })
    }
}
