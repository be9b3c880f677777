//! A request that is being dispatched, and the start of its answer.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use hibiscusladder_core::{
    clock::Instant,
    name::{Database, KeyId, MemberId, Workspace},
    outcome::{Refusal, RefusalKind},
    position::Position,
    request::{RequestHead, StatementClass},
};
use hibiscusladder_proto::request::Envelope;

use super::refusal_of;
use crate::{
    home::{Call, Chunk},
    node::lock,
};

/// Member to which a request was sent last, so that a cancel request can follow it.
#[derive(Debug, Default)]
pub struct Progress {
    member: Mutex<Option<MemberId>>,
}

impl Progress {
    /// Records that the request is sent to `member`.
    pub fn set(&self, member: &MemberId) {
        *lock(&self.member) = Some(member.clone());
    }

    /// The member to which the request was sent last; `None` before the first attempt.
    pub fn member(&self) -> Option<MemberId> {
        lock(&self.member).clone()
    }
}

/// A batch of client messages that is to be run by a member.
#[derive(Debug, Clone)]
pub struct Request {
    /// Workspace of the client, whose contract limits the request.
    pub workspace: Workspace,
    /// Database that the client connected to.
    pub database: Database,
    /// Public part of the client's key; `None` on a route that is open to all.
    pub key: Option<KeyId>,
    /// Id by which a repeated write is detected; `None` when the client gave none.
    pub request_id: Option<Arc<str>>,
    /// Class of the strictest statement in the batch.
    pub class: StatementClass,
    /// Position that the answer has to include; `None` when the session has none.
    pub position: Option<Position>,
    /// Time at which the request fails when it is not answered.
    pub deadline: Instant,
    /// Revision of the configuration with which the request was authorised.
    pub revision: u64,
    /// W3C trace context of the parent span; empty when the request is not traced.
    pub trace_parent: Arc<str>,
    /// Identifies the request in cancel requests; also rotates the choice among equally near replicas.
    pub cancel_token: u64,
    /// Shared with the handling of cancel requests: the member to which the request was sent last.
    pub progress: Arc<Progress>,
    /// Messages of the client in the PostgreSQL protocol.
    pub data: Bytes,
    /// Whether a transaction that the batch opens stays open for further batches.
    pub keeps_transaction: bool,
}

impl Request {
    /// The request as it is sent to the home of `member`, with the time `left` until its deadline. An empty
    /// `trace_parent` is replaced by the request's own.
    pub fn envelope(&self, member: &MemberId, left: Duration, trace_parent: Arc<str>) -> Envelope {
        let traced = if trace_parent.is_empty() { &self.trace_parent } else { &trace_parent };
        let head = RequestHead {
            workspace: self.workspace.clone(),
            database: self.database.clone(),
            key: self.key.clone(),
            request_id: self.request_id.clone(),
            class: self.class,
            position: self.position,
            remaining: left,
            revision: self.revision,
            trace_parent: Arc::clone(traced),
        };
        Envelope { head, member: member.clone(), cancel_token: self.cancel_token }
    }
}

/// A request whose first part of the answer has arrived.
#[derive(Debug)]
pub struct Dispatched {
    /// First part of the answer.
    pub first: Chunk,
    /// Receives the rest of the answer, and sends further batches when the transaction stays open.
    pub call: Call,
    /// Member that runs the request.
    pub member: MemberId,
}

impl Dispatched {
    /// Waits for the first part of an answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the answer is one.
    pub(super) async fn receive(call: Call, member: MemberId) -> Result<Self, Refusal> {
        let first = call.chunks.recv().await;
        // A home ends every answer with an end chunk; without one the home failed, and the outcome is unknown.
        let first = first.map_err(|_| Refusal::unknown(RefusalKind::ConnectionLost))?;
        match refusal_of(&first) {
            Some(refusal) => Err(refusal.clone()),
            None => Ok(Self { first, call, member }),
        }
    }
}
