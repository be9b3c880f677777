//! A request on its way, and the start of its answer.

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

/// Member that runs a request at present, for cancel requests.
#[derive(Debug, Default)]
pub struct Progress {
    member: Mutex<Option<MemberId>>,
}

impl Progress {
    /// Notes that the request is sent to `member`.
    pub fn set(&self, member: &MemberId) {
        *lock(&self.member) = Some(member.clone());
    }

    /// The member to which the request was sent last.
    pub fn member(&self) -> Option<MemberId> {
        lock(&self.member).clone()
    }
}

/// A batch that is to be run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Workspace of the client.
    pub workspace: Workspace,
    /// Database of the client.
    pub database: Database,
    /// Public part of the client's key.
    pub key: Option<KeyId>,
    /// Request id.
    pub request_id: Option<Arc<str>>,
    /// Class of the batch.
    pub class: StatementClass,
    /// Position that the answer has to include.
    pub position: Option<Position>,
    /// Time after which the client is not served any more.
    pub deadline: Instant,
    /// Revision of the configuration.
    pub revision: u64,
    /// Trace context of the span that the hops belong to.
    pub trace_parent: Arc<str>,
    /// Names the request when it is cancelled.
    pub cancel_token: u64,
    /// Member that runs the request at present.
    pub progress: Arc<Progress>,
    /// Messages of the client.
    pub data: Bytes,
    /// Whether the transaction that the batch opens stays open.
    pub keep: bool,
}

impl Request {
    /// The request as it is sent to the home of `member`.
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

/// A request whose answer has begun.
#[derive(Debug)]
pub struct Dispatched {
    /// First part of the answer.
    pub first: Chunk,
    /// The rest of the answer, and the transaction.
    pub call: Call,
    /// Member that runs it.
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
        // The home ends every answer; when it does not, it failed, and nothing is known.
        let first = first.map_err(|_| Refusal::unknown(RefusalKind::ConnectionLost))?;
        match refusal_of(&first) {
            Some(refusal) => Err(refusal.clone()),
            None => Ok(Self { first, call, member }),
        }
    }
}
