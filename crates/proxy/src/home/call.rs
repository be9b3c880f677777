//! Requests in progress, represented in the same way for homes on this instance and on others.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use hibiscusladder_proto::{reply::ReplyEnd, request::Envelope};
use smol::channel::{Receiver, Sender};

use crate::{node::lock, upstream::CancelKey};

/// Part of an answer to a batch.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the member's messages; a chunk may begin or end within a message.
    Data(Bytes),
    /// End of the answer; no further chunk follows.
    End(ReplyEnd),
}

/// A batch of messages of a client, and the channel for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// Member, workspace, class and deadline of the batch.
    pub envelope: Envelope,
    /// Messages of the client in the PostgreSQL protocol.
    pub data: Bytes,
    /// Sends the answer to the entry; when the receiver is dropped, the batch is cancelled.
    pub chunks: Sender<Chunk>,
}

/// A request in progress. Dropping `chunks` cancels the statement; dropping `exchanges` rolls the transaction back.
#[derive(Debug)]
pub struct Call {
    /// Receives the answer to the first batch.
    pub chunks: Receiver<Chunk>,
    /// Sends further batches of the transaction.
    pub exchanges: Sender<Exchange>,
}

/// Requests in progress by their cancel tokens.
#[derive(Debug, Default)]
pub(super) struct CancelRegistry {
    requests: Mutex<HashMap<u64, CancelState>>,
}

#[derive(Debug, Default)]
struct CancelState {
    cancelled: bool,
    key: Option<CancelKey>,
}

/// Entry of one request in the registry; dropping it removes the entry.
#[derive(Debug)]
pub(super) struct CancelRegistration {
    cancels: Arc<CancelRegistry>,
    token: u64,
}

impl CancelRegistry {
    /// Marks the request as cancelled; returns the key to cancel its statement, when the request has a connection.
    pub(super) fn cancel(&self, token: u64) -> Option<CancelKey> {
        let mut requests = lock(&self.requests);
        let state = requests.get_mut(&token)?;
        state.cancelled = true;
        state.key.clone()
    }

    pub(super) fn register(self: &Arc<Self>, token: u64) -> CancelRegistration {
        lock(&self.requests).insert(token, CancelState::default());
        CancelRegistration { cancels: Arc::clone(self), token }
    }

    pub(super) fn len(&self) -> usize {
        lock(&self.requests).len()
    }
}

impl CancelRegistration {
    /// Records the connection on which the request's statements run.
    pub(super) fn set_connection(&self, key: &CancelKey) {
        if let Some(state) = lock(&self.cancels.requests).get_mut(&self.token) {
            state.key = Some(key.clone());
        }
    }

    /// Key to cancel the statement that runs now; `None` without a connection.
    pub(super) fn cancel_key(&self) -> Option<CancelKey> {
        lock(&self.cancels.requests).get(&self.token)?.key.clone()
    }

    /// Records that the request has no connection any more.
    pub(super) fn clear_connection(&self) {
        if let Some(state) = lock(&self.cancels.requests).get_mut(&self.token) {
            state.key = None;
        }
    }

    /// Whether the request was cancelled since the last call.
    pub(super) fn take_cancelled(&self) -> bool {
        let mut requests = lock(&self.cancels.requests);
        requests.get_mut(&self.token).is_some_and(|state| std::mem::take(&mut state.cancelled))
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        lock(&self.cancels.requests).remove(&self.token);
    }
}
