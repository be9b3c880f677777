//! Calls between instances.
//!
//! The RPC system is bound to one thread. [`Rpc`] starts that thread and is the handle through which all other
//! parts of the process make calls. Each connection is checked by pings; when one is not answered in time, the
//! connection is replaced, and the calls on it fail.

mod client;
mod command;
mod peer;
mod server;
mod thread;

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::channel::oneshot;
use hibiscusladder_core::{
    config::Changes,
    membership::Heartbeat,
    name::{Database, MemberId},
    outcome::{Refusal, RefusalKind},
    position::Position,
    share::{HandedOverShare, Loan},
};
use hibiscusladder_proto::{reply::ReplyEnd, request::Envelope, share::AddressedLoanRequest};
use smol::{
    channel::{self, Sender},
    net::TcpListener,
};
use thiserror::Error;

use self::command::Command;
pub use self::server::{ControlService, Services, SessionCancel};
use crate::home::{Call, Chunk};

/// Capacity of the queue of commands for the RPC thread; when it is full, forwarded requests are refused and other
/// commands wait.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Capacity of the queue of chunks for a slow reader of an answer.
const CHUNKS_BUFFERED: usize = 2;

/// Failure of a call to another instance.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RpcError {
    /// No connection could be opened; the call was certainly not sent.
    #[error("instance {address} cannot be reached: {reason}")]
    NotSent {
        /// RPC address of the instance.
        address: Arc<str>,
        /// Cause of the failure, for the log.
        reason: String,
    },
    /// The connection failed after the call may have been sent, the answer took too long, or the other instance
    /// rejected the call.
    #[error("the call to instance {address} failed: {reason}")]
    MaybeSent {
        /// RPC address of the instance.
        address: Arc<str>,
        /// Cause of the failure, for the log.
        reason: String,
    },
    /// The RPC thread has ended.
    #[error("the instance is shutting down")]
    Stopped,
}

/// Handle of the RPC thread; clones share the thread.
#[derive(Debug, Clone)]
pub struct Rpc {
    commands: Sender<Command>,
}

impl Rpc {
    /// Starts the thread; it ends when all handles are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let (commands, receiver) = channel::bounded(MAX_QUEUED_COMMANDS);
        thread::start(receiver)?;
        Ok(Self { commands })
    }

    /// Starts a request at the home on the instance at `address`; with `keeps_transaction`, a transaction that the
    /// request opens stays open for further batches.
    pub fn call(
        &self,
        address: &Arc<str>,
        envelope: Envelope,
        data: Bytes,
        keeps_transaction: bool,
    ) -> Call {
        let (chunks, answer) = channel::bounded(CHUNKS_BUFFERED);
        let (exchanges, batches) = channel::bounded(1);
        let address = Arc::clone(address);
        let refusal_sender = chunks.clone();
        let command = Command::Call { address, envelope, data, keeps_transaction, chunks, batches };
        if self.commands.try_send(command).is_err() {
            let refusal = Refusal::not_run(RefusalKind::NoMember)
                .detail("too many calls to other instances wait");
            let _ = refusal_sender.try_send(Chunk::End(ReplyEnd::refused(refusal)));
        }
        Call { chunks: answer, exchanges }
    }

    /// The present position of the primary of `database`, from its home at `address`; `None` when the home could not
    /// confirm a position.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn read_index(
        &self,
        address: &Arc<str>,
        database: &Database,
    ) -> Result<Option<Position>, RpcError> {
        let (address, database) = (Arc::clone(address), database.clone());
        self.send_command(|answer| Command::ReadIndex { address, database, answer }).await
    }

    /// Sends `beat` to the instance at `address` and returns its heartbeat in answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn heartbeat(
        &self,
        address: &Arc<str>,
        beat: Heartbeat,
    ) -> Result<Heartbeat, RpcError> {
        let address = Arc::clone(address);
        self.send_command(|answer| Command::Heartbeat { address, beat, answer }).await
    }

    /// Configuration changes after the revision `since`; the other instance waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn changes(
        &self,
        address: &Arc<str>,
        since: u64,
        wait: Duration,
    ) -> Result<Changes, RpcError> {
        let address = Arc::clone(address);
        self.send_command(|answer| Command::Changes { address, since, wait, answer }).await
    }

    /// Requests loans from homes on the instance at `address`; returns one result for each request, in the same order,
    /// which is `None` when the lender grants no loan.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn borrow(
        &self,
        address: &Arc<str>,
        requests: Vec<AddressedLoanRequest>,
    ) -> Result<Vec<Option<Loan>>, RpcError> {
        let address = Arc::clone(address);
        self.send_command(|answer| Command::Borrow { address, requests, answer }).await
    }

    /// Announces to the next home of `member` at `address` that this instance no longer uses its lease, and passes on
    /// the contents of its shares; returns whether any of them belong to a workspace that has a contract there.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn hand_over(
        &self,
        address: &Arc<str>,
        member: &MemberId,
        shares: Vec<HandedOverShare>,
    ) -> Result<bool, RpcError> {
        let (address, member) = (Arc::clone(address), member.clone());
        self.send_command(|answer| Command::HandOver { address, member, shares, answer }).await
    }

    /// Status of the instance at `address` as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when the instance does not answer.
    pub async fn status(&self, address: &Arc<str>) -> Result<String, RpcError> {
        let address = Arc::clone(address);
        self.send_command(|answer| Command::Status { address, answer }).await
    }

    /// Cancels the statement of the request with `token` at the home on the instance at `address`.
    pub async fn cancel(&self, address: &Arc<str>, token: u64) {
        let address = Arc::clone(address);
        let _ = self.commands.send(Command::Cancel { address, token }).await;
    }

    /// Cancels the statement of a client that is connected to the instance at `address`.
    pub async fn cancel_session(&self, address: &Arc<str>, process: u32, secret: u32) {
        let address = Arc::clone(address);
        let _ = self.commands.send(Command::CancelSession { address, process, secret }).await;
    }

    async fn send_command<F, T>(&self, command: F) -> Result<T, RpcError>
    where
        F: FnOnce(oneshot::Sender<Result<T, RpcError>>) -> Command,
    {
        let (answer, receiver) = oneshot::channel();
        self.commands.send(command(answer)).await.map_err(|_| RpcError::Stopped)?;
        receiver.await.map_err(|_| RpcError::Stopped)?
    }
}

/// Serves the calls of other instances on `listener`, on the current thread, until the listener fails.
///
/// # Errors
///
/// Returns an error when the listener fails.
pub async fn serve<C, S>(listener: TcpListener, services: Services<C, S>) -> io::Result<()>
where
    C: ControlService,
    S: SessionCancel,
{
    server::serve(listener, services).await
}
