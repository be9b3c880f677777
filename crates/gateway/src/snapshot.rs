//! Configuration, members and instances in one page, which instances of earlier versions request.

use std::net::SocketAddr;

use hibiscusladder_core::{
    name::{DataCentre, Group, InstanceId, MemberId},
    sync_group::Role,
};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{MemberRecord, Platform},
    directory::Directory,
    message::Registration,
    node::Node,
};

/// State of the store as one instance knows it, encoded by position.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    directory: Directory,
    members: Vec<MemberEntry>,
    instances: Vec<(InstanceId, Registration)>,
    /// Revision of the newest member entry.
    revision: u64,
}

/// Entry of a member, as instances send it to each other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MemberEntry {
    pub(crate) id: MemberId,
    group: Group,
    address: SocketAddr,
    data_centre: DataCentre,
    leaving: bool,
    primary: Option<bool>,
    started_ms: u64,
    slots: u32,
}

impl Snapshot {
    /// Captures what this instance knows; `None` before its first configuration.
    pub fn capture<P>(node: &Node<P>) -> Option<Self>
    where
        P: Platform,
    {
        let directory = (*node.directory()?).clone();
        let members = node.members.borrow();
        let listed = members.iter().filter(|(_, member)| member.lapsed_since.is_none());
        let members = listed.map(|(id, member)| MemberEntry::new(id, &member.record)).collect();
        let instances = node.registrations().into_iter().collect();
        Some(Self { directory, members, instances, revision: node.members_version().revision })
    }
}

impl MemberEntry {
    pub(crate) fn new(id: &MemberId, record: &MemberRecord) -> Self {
        Self {
            id: id.clone(),
            group: record.group.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            leaving: record.leaving,
            primary: record.role.map(|role| role == Role::Primary),
            started_ms: record.started_ms,
            slots: record.slots,
        }
    }

    /// The entry with the number of its report, which is sent beside it.
    pub(crate) fn into_record(self, sequence: u64) -> (MemberId, MemberRecord) {
        let role = |primary| if primary { Role::Primary } else { Role::Replica };
        let record = MemberRecord {
            group: self.group,
            address: self.address,
            data_centre: self.data_centre,
            leaving: self.leaving,
            role: self.primary.map(role),
            started_ms: self.started_ms,
            slots: self.slots,
            cold_remaining: None,
            sequence,
        };
        (self.id, record)
    }
}
