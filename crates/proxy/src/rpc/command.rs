//! Commands that other threads send to the RPC thread.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::channel::oneshot;
use hibiscusladder_core::{
    config::Changes,
    membership::Heartbeat,
    name::{Database, MemberId},
    position::Position,
    share::{HandedOverShare, Loan},
};
use hibiscusladder_proto::{request::Envelope, share::AddressedLoanRequest};
use smol::channel::{Receiver, Sender};

use super::RpcError;
use crate::home::{Chunk, Exchange};

type Answer<T> = oneshot::Sender<Result<T, RpcError>>;

/// A call to the instance at `address`; its result is sent to `answer`, or as chunks for a forwarded request. Cancel
/// requests report no result.
pub(super) enum Command {
    Call {
        address: Arc<str>,
        envelope: Envelope,
        data: Bytes,
        keeps_transaction: bool,
        chunks: Sender<Chunk>,
        batches: Receiver<Exchange>,
    },
    ReadIndex {
        address: Arc<str>,
        database: Database,
        answer: Answer<Option<Position>>,
    },
    Heartbeat {
        address: Arc<str>,
        beat: Heartbeat,
        answer: Answer<Heartbeat>,
    },
    Changes {
        address: Arc<str>,
        since: u64,
        wait: Duration,
        answer: Answer<Changes>,
    },
    Borrow {
        address: Arc<str>,
        requests: Vec<AddressedLoanRequest>,
        answer: Answer<Vec<Option<Loan>>>,
    },
    HandOver {
        address: Arc<str>,
        member: MemberId,
        shares: Vec<HandedOverShare>,
        answer: Answer<bool>,
    },
    Status {
        address: Arc<str>,
        answer: Answer<String>,
    },
    Cancel {
        address: Arc<str>,
        token: u64,
    },
    CancelSession {
        address: Arc<str>,
        process: u32,
        secret: u32,
    },
}
