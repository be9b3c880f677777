//! Homes of members: execution of requests at the members that this instance is home of.
//!
//! A request is admitted by the share of its workspace, waits for a slot in the fair queue, runs on a connection
//! that no other request uses meanwhile, and is answered when the gate of the term is open.
//!
//! [`Homes::call`] starts a request; the answer arrives as [`Chunk`]s.

mod admission;
mod call;
mod contracts;
mod execute;
mod gate;
mod member;
mod read_index;
mod record;
mod response_writer;
mod shares;
mod transaction;
mod upkeep;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use hibiscusladder_core::{
    name::{Database, MemberId},
    outcome::{Refusal, RefusalKind},
    position::Position,
    share::{HandedOverShare, Loan},
};
use hibiscusladder_proto::{reply::ReplyEnd, request::Envelope, share::AddressedLoanRequest};
use smol::channel;

pub use self::{
    admission::SlotQueue,
    call::{Call, Chunk, Exchange},
    member::Member,
};
use self::{call::CancelRegistry, contracts::ContractDivisions, transaction::Transaction};
use crate::{
    node::{Node, lock},
    rpc::Rpc,
};

/// Capacity of the queue of chunks for a slow reader of an answer; when it is full, the answer is no longer read from
/// the member.
const CHUNKS_BUFFERED: usize = 4;

/// The homes of one instance, created on demand for each member.
#[derive(Debug)]
pub struct Homes {
    node: Arc<Node>,
    members: Mutex<HashMap<MemberId, Arc<Member>>>,
    cancels: Arc<CancelRegistry>,
    contracts: Arc<ContractDivisions>,
}

impl Homes {
    /// Creates the homes of `node` and starts to follow the contracts in its configuration.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let contracts = ContractDivisions::follow(&node);
        Arc::new(Self { node, members: Mutex::default(), cancels: Arc::default(), contracts })
    }

    /// Starts the periodic work: connections are opened in advance, and loans are requested from other homes when a
    /// workspace needs more than its share.
    pub fn start_upkeep(self: &Arc<Self>, rpc: &Rpc) {
        smol::spawn(upkeep::run(Arc::downgrade(self), rpc.clone())).detach();
    }

    /// Starts a request. With `keeps_transaction`, a transaction that the request opens stays open for further batches.
    pub fn call(&self, envelope: Envelope, data: bytes::Bytes, keeps_transaction: bool) -> Call {
        let (chunks, receiver) = channel::bounded(CHUNKS_BUFFERED);
        let (exchanges, batches) = channel::bounded(1);
        match self.member(&envelope.head.database, &envelope.member) {
            Some(member) => {
                let first = Exchange { envelope, data, chunks };
                let cancels = Arc::clone(&self.cancels);
                let transaction = Transaction::new(member, cancels, keeps_transaction);
                smol::spawn(transaction.run(first, batches)).detach();
            }
            None => {
                let refusal = Refusal::not_run(RefusalKind::NoMember)
                    .detail(format!("member {} is not configured here", envelope.member));
                let _ = chunks.try_send(Chunk::End(ReplyEnd::refused(refusal)));
            }
        }
        Call { chunks: receiver, exchanges }
    }

    /// Cancels the statement of the request with `token`, when the request is in progress at this instance.
    pub async fn cancel(&self, token: u64) {
        if let Some(key) = self.cancels.cancel(token)
            && let Err(error) = key.cancel().await
        {
            spdlog::warn!("home: sending a cancel request to a member failed: {error}");
        }
    }

    /// The present position of the primary of `database`; `None` when this instance cannot act as its home, the member
    /// does not answer or the gate is closed.
    pub async fn read_index(&self, database: &Database) -> Option<Position> {
        let group = self.node.group(database)?;
        let primary = group.view().primary.clone()?;
        self.member(database, &primary)?.read_index().await
    }

    /// The home of `member`, created when there is none; `None` when the configuration does not contain the member.
    pub fn member(&self, database: &Database, member: &MemberId) -> Option<Arc<Member>> {
        let group = self.node.group(database)?;
        let view = group.view();
        let record = view.member(member)?;
        let mut members = lock(&self.members);
        if let Some(existing) = members.get(member)
            && existing.matches(record)
        {
            return Some(Arc::clone(existing));
        }
        let home = Member::new(&self.node, &group, &self.contracts, record);
        members.insert(member.clone(), Arc::clone(&home));
        Some(home)
    }

    /// Lends a part of a workspace's share to another home; `None` when the lender grants nothing.
    pub fn lend(&self, addressed: &AddressedLoanRequest) -> Option<Loan> {
        self.member_by_id(&addressed.lender)?.shares.lend(&addressed.request)
    }

    /// Ends the shares of `member` and returns their contents for its next home.
    ///
    /// This is called while the lease is still usable; afterwards, this home admits nothing under the same lease.
    pub fn hand_over(&self, member: &MemberId) -> Vec<HandedOverShare> {
        self.member_by_id(member).map(|home| home.shares.hand_over()).unwrap_or_default()
    }

    /// Takes over the tokens that the last home of `member` did not use, at once or when the lease becomes usable.
    /// Returns whether any of them belong to a workspace that has a contract.
    pub fn take_over(&self, member: &MemberId, handed_over: &[HandedOverShare]) -> bool {
        let Some(home) = self.member_by_id(member) else { return false };
        home.shares.take_over(handed_over)
    }

    /// The homes of the members on which this instance has a usable lease.
    fn own_members(&self) -> Vec<Arc<Member>> {
        let groups = self.node.groups();
        let mut own = Vec::new();
        for (database, group) in groups.iter() {
            for record in &group.view().members {
                let lease = self.node.lease(&record.id);
                if lease.is_some_and(|lease| lease.usable(self.node.now())) {
                    own.extend(self.member(database, &record.id));
                }
            }
        }
        own
    }

    fn member_by_id(&self, id: &MemberId) -> Option<Arc<Member>> {
        let groups = self.node.groups();
        let database = groups.iter().find(|(_, group)| group.view().member(id).is_some());
        self.member(database?.0, id)
    }

    /// Number of requests in progress, waiting or running, at all homes of this instance.
    pub fn active(&self) -> usize {
        self.cancels.len()
    }
}
