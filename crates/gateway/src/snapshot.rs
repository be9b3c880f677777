//! Configuration, members and instances, as one instance sends them to another that does not watch the store or lags
//! behind it.

use std::{net::SocketAddr, rc::Rc};

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
    sync,
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

#[derive(Debug, Serialize, Deserialize)]
struct MemberEntry {
    id: MemberId,
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
        let peers = node.peers.borrow();
        let others =
            peers.registrations().map(|(name, registration)| (name.clone(), registration.clone()));
        let own = (node.instance().clone(), node.registration());
        let instances = others.chain([own]).collect();
        Some(Self { directory, members, instances, revision: node.members_revision() })
    }

    /// Applies the parts that are newer than what this instance knows.
    pub fn apply<P>(self, node: &Rc<Node<P>>)
    where
        P: Platform,
    {
        if !node.has_registrations() {
            node.register(&self.instances);
        }
        node.apply_directory(Rc::new(self.directory), "instance");
        if self.revision <= node.members_revision() {
            return;
        }
        node.record_members_revision(self.revision);
        let now = node.now();
        let listed: Vec<MemberId> = self.members.iter().map(|entry| entry.id.clone()).collect();
        for entry in self.members {
            let (id, record) = entry.into_record();
            sync::apply_member(node, id, record, now);
        }
        node.members.borrow_mut().lapse_others(&listed, now);
    }
}

impl MemberEntry {
    fn new(id: &MemberId, record: &MemberRecord) -> Self {
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

    fn into_record(self) -> (MemberId, MemberRecord) {
        let role = |primary| if primary { Role::Primary } else { Role::Replica };
        let record = MemberRecord {
            group: self.group,
            address: self.address,
            data_centre: self.data_centre,
            leaving: self.leaving,
            role: self.primary.map(role),
            started_ms: self.started_ms,
            slots: self.slots,
        };
        (self.id, record)
    }
}
