//! A request in progress, the same for homes here and on other instances.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use hibiscusladder_proto::{reply::ReplyEnd, request::Envelope};
use smol::channel::{Receiver, Sender};

use crate::{node::lock, upstream::CancelKey};

/// Part of an answer.
#[derive(Debug)]
pub enum Chunk {
    /// Messages of the answer, cut anywhere.
    Data(Bytes),
    /// The end; nothing follows.
    End(ReplyEnd),
}

/// A batch of messages of a client, and where its answer goes.
#[derive(Debug)]
pub struct Exchange {
    /// Description of the batch.
    pub envelope: Envelope,
    /// Messages of the client.
    pub data: Bytes,
    /// Receives the answer.
    pub chunks: Sender<Chunk>,
}

/// A request in progress. Dropping `chunks` cancels the statement; dropping `exchanges` rolls the transaction back.
#[derive(Debug)]
pub struct Call {
    /// The answer to the first batch.
    pub chunks: Receiver<Chunk>,
    /// Takes further batches of the transaction.
    pub exchanges: Sender<Exchange>,
}

/// Requests in progress by their cancel tokens.
#[derive(Debug, Default)]
pub(super) struct Cancels {
    requests: Mutex<HashMap<u64, State>>,
}

#[derive(Debug, Default)]
struct State {
    cancelled: bool,
    key: Option<CancelKey>,
}

/// Removes a request when it ends.
#[derive(Debug)]
pub(super) struct Registered {
    cancels: Arc<Cancels>,
    token: u64,
}

impl Cancels {
    /// Marks the request as cancelled; returns what is needed to cancel its statement when it has a connection.
    pub(super) fn cancel(&self, token: u64) -> Option<CancelKey> {
        let mut requests = lock(&self.requests);
        let state = requests.get_mut(&token)?;
        state.cancelled = true;
        state.key.clone()
    }

    pub(super) fn register(self: &Arc<Self>, token: u64) -> Registered {
        lock(&self.requests).insert(token, State::default());
        Registered { cancels: Arc::clone(self), token }
    }

    pub(super) fn len(&self) -> usize {
        lock(&self.requests).len()
    }
}

impl Registered {
    /// Notes the connection on which the request's statements run.
    pub(super) fn connected(&self, key: &CancelKey) {
        if let Some(state) = lock(&self.cancels.requests).get_mut(&self.token) {
            state.key = Some(key.clone());
        }
    }

    /// What is needed to cancel the statement that runs now.
    pub(super) fn key(&self) -> Option<CancelKey> {
        lock(&self.cancels.requests).get(&self.token)?.key.clone()
    }

    /// Notes that the request has no connection any more.
    pub(super) fn disconnected(&self) {
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

impl Drop for Registered {
    fn drop(&mut self) {
        lock(&self.cancels.requests).remove(&self.token);
    }
}
