//! Calls from one instance to another that holds the connections to a member.
//!
//! A tunnel is a TCP connection that carries frames of a length and a `postcard` body, for one call at a time. The body may
//! be followed by [`Sections`], which earlier versions ignore. A transaction keeps its tunnel. When a tunnel is lost, the holder closes the connection to the member, which rolls the
//! transaction back.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hibiscusladder_core::budget::Activity;
use hibiscusladder_io::{clock::within, socket::reset_on_close};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::{future::yield_now, net::TcpStream};

use crate::{
    ledger::{Account, Charge, Ledger, Limit},
    message::Sections,
    model::{Access, Code, Failure, TransactionState},
    settings::PeerLimits,
};

/// Longest body of a frame: a caller's message with the values of its session, or an answer.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of a frame that are received between two charges.
const CHUNK_BYTES: usize = 16 << 10;
/// Bytes of a frame that are part of the charge of the connection.
const FREE_BYTES: usize = 16 << 10;
/// Number of times that a frame is in memory: its body, its message, and the command to the member.
const FRAME_COPIES: usize = 3;
/// Bytes of the length at the start of a frame.
const LENGTH_BYTES: usize = 4;
/// Longest time for opening a tunnel: a round trip between regions, and one lost packet within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest number of idle tunnels to one instance that are kept.
const MAX_IDLE_TUNNELS: usize = 8;

/// A call to a holder. Calls are encoded by position.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Runs a statement, on the connection of the tunnel's open transaction if there is one.
    Run(RunCall),
    /// Rolls back the tunnel's open transaction.
    Rollback {
        /// Id and text of the caller's rollback; `None` when the gateway ends the transaction.
        request: Option<(Box<str>, Box<str>)>,
    },
    /// Sends a control command to a member.
    #[serde(rename = "Order")]
    Control {
        /// Member that the command is for.
        member: Box<str>,
        /// The command to send.
        #[serde(rename = "order")]
        command: ControlCommand,
    },
}

/// A statement to run at a member.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunCall {
    /// Member that runs the statement.
    pub member: Box<str>,
    /// Workspace that the statement runs for.
    pub workspace: Box<str>,
    /// Values of the caller's session by name.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Id of the caller's request.
    pub id: Box<str>,
    /// Statement to run.
    pub statement: Payload,
    /// Term and log sequence number of a position that the member's log has to include, if the read needs one.
    pub after: Option<(u64, u64)>,
    /// Time limit of the whole call, in microseconds.
    pub limit: u64,
    /// Longest wait for a connection to the member, in microseconds.
    #[serde(rename = "patience")]
    pub connection_wait: u64,
}

/// A statement in a form that any member can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Text of the statement, as the caller sent it.
    Text(Box<str>),
    /// Execution of a statement that the caller has prepared.
    Execute {
        /// Whether the statement reads or writes.
        access: Access,
        /// Shape of the statement, which the connection has to have prepared.
        shape: Box<str>,
        /// Arguments, as the caller sent them.
        arguments: Box<str>,
    },
}

/// A command to a member that is answered with its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Reports the status and changes nothing.
    Status,
    /// Holds the given term: the replica receives nothing from primaries of lower terms.
    Hold(u64),
    /// Ends the hold, so that the replica receives from primaries again.
    Resume,
    /// Makes the member a replica if its term is below the given one.
    Demote(u64),
}

/// Answer of a holder to a [`Call`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The member answered.
    Answered(RemoteAnswer),
    /// The member did not run the statement, for the reason of the code.
    NotRun(Code),
    /// The member cannot be reached, or the holder is stopping. The statement was not sent.
    Unreachable,
    /// The statement was sent, but no complete answer came; it may have run.
    #[serde(rename = "Broken")]
    ConnectionLost,
    /// Answer to a control command; `None` when the member gave none.
    Status(Option<RemoteStatus>),
}

/// Answer of a member to a statement.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteAnswer {
    /// Rows as the member sent them.
    pub rows: Vec<Box<str>>,
    /// The member's confirmation that it ran the statement, or code and explanation of a failure.
    pub outcome: Result<Box<str>, (Code, Box<str>)>,
    /// State of the session after the answer.
    pub state: TransactionState,
    /// Term and log sequence number of the member's position, if it reported one.
    pub position: Option<(u64, u64)>,
}

/// Status of a member, as in [`MemberStatus`](hibiscusladder_core::sync_group::MemberStatus).
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RemoteStatus {
    /// Whether the member reports itself as the primary.
    pub primary: bool,
    /// Newest term that the member knows a primary of.
    pub term: u64,
    /// Term and log sequence number of the end of the log that the member has received.
    pub received: (u64, u64),
    /// Term that the member holds; 0 when none.
    pub held: u64,
    /// Time by which the member applies commits later than it receives them, in microseconds.
    pub lag: u64,
    /// Connections that are open at the member, from all clients.
    pub connections: u32,
}

impl From<crate::model::Answer> for RemoteAnswer {
    fn from(answer: crate::model::Answer) -> Self {
        Self {
            rows: answer.rows,
            outcome: answer.outcome.map_err(|failure| (failure.code, failure.detail.into())),
            state: answer.state,
            position: answer.position.map(|at| (at.term.0, at.lsn.0)),
        }
    }
}

impl From<RemoteAnswer> for crate::model::Answer {
    fn from(answer: RemoteAnswer) -> Self {
        Self {
            rows: answer.rows,
            outcome: answer
                .outcome
                .map_err(|(code, detail)| Failure::new(code, String::from(detail))),
            state: answer.state,
            position: answer.position.map(position),
        }
    }
}

/// Position with the given term and log sequence number.
pub const fn position((term, lsn): (u64, u64)) -> hibiscusladder_core::position::Position {
    use hibiscusladder_core::position::{Lsn, Position, Term};
    Position::new(Term(term), Lsn(lsn))
}

/// A TCP connection that carries frames.
#[derive(Debug)]
pub struct FrameStream {
    stream: TcpStream,
    charge: Charge,
    /// Time limits for the instance that has opened the connection; `None` at that instance.
    limits: Option<PeerLimits>,
}

impl FrameStream {
    /// Takes over an established connection. What it holds is charged to `account`.
    pub fn new(stream: TcpStream, account: &Account) -> Self {
        // Without this option small frames wait for acknowledgements. A failure to set it only costs time.
        let _ = stream.set_nodelay(true);
        Self { stream, charge: account.empty_charge(), limits: None }
    }

    /// Limits the time that the other end takes for each frame.
    #[must_use]
    pub const fn with_limits(mut self, limits: PeerLimits) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Sends a frame with a message and its sections.
    ///
    /// # Errors
    ///
    /// The connection was lost.
    pub async fn send<T>(&mut self, message: &T, sections: &Sections) -> io::Result<()>
    where
        T: Serialize,
    {
        let frame = vec![0; LENGTH_BYTES];
        let mut frame = postcard::to_extend(message, frame).map_err(io::Error::other)?;
        if !sections.is_empty() {
            frame = postcard::to_extend(sections, frame).map_err(io::Error::other)?;
        }
        let length = u32::try_from(frame.len() - LENGTH_BYTES).map_err(io::Error::other)?;
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        let Some(limits) = self.limits else { return self.stream.write_all(&frame).await };
        self.charge.resize_held(charged_bytes(frame.len()));
        self.set_activity(Activity::Unfinished);
        let sent = within(limits.answer, self.stream.write_all(&frame)).await;
        sent.unwrap_or_else(|| Err(self.limited(Limit::Answer)))?;
        self.charge.resize_held(0);
        self.set_activity(Activity::Idle);
        Ok(())
    }

    /// Reads a frame. Sections that cannot be decoded are left out.
    ///
    /// # Errors
    ///
    /// The connection was lost, the frame is too long, or its message does not decode.
    pub async fn receive<T>(&mut self) -> io::Result<(T, Sections)>
    where
        T: DeserializeOwned,
    {
        let mut length = [0; LENGTH_BYTES];
        self.stream.read_exact(&mut length[..1]).await?;
        self.set_activity(Activity::Unfinished);
        let body = match self.limits {
            None => self.receive_rest(length).await?,
            Some(limits) => match within(limits.message, self.receive_rest(length)).await {
                Some(body) => body?,
                None => return Err(self.limited(Limit::Message)),
            },
        };
        self.set_activity(Activity::Running);
        let (message, rest) = postcard::take_from_bytes(&body).map_err(io::Error::other)?;
        let sections = postcard::from_bytes(rest).unwrap_or_default();
        if self.limits.is_none() {
            // The session that waits for the reply is charged for it.
            self.charge.resize_held(0);
        }
        Ok((message, sections))
    }

    /// Reads the rest of a frame after the first byte of its length, and returns its body.
    async fn receive_rest(&mut self, mut length: [u8; LENGTH_BYTES]) -> io::Result<Vec<u8>> {
        self.stream.read_exact(&mut length[1..]).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = Vec::new();
        while body.len() < length {
            // The peer is charged for what it sends, not for what it announces.
            let received = body.len();
            body.resize(length.min(received + CHUNK_BYTES), 0);
            if self.charge.resize(charged_bytes(body.len())).is_err() {
                return Err(self.limited(Limit::Memory));
            }
            self.stream.read_exact(&mut body[received..]).await?;
            if body.len() < length {
                yield_now().await;
            }
        }
        Ok(body)
    }

    fn set_activity(&self, activity: Activity) {
        // The end that has opened the connection is not closed for others.
        if self.limits.is_some() {
            self.charge.account().set_activity(activity);
        }
    }

    fn limited(&self, limit: Limit) -> io::Error {
        self.charge.account().record_limited(limit);
        io::Error::other(limit.remedy())
    }

    /// Whether the other end has closed the connection or sent bytes that no call is waiting for.
    pub fn is_stale(&self) -> bool {
        self.stream.peek(&mut [0]).now_or_never().is_some()
    }
}

fn charged_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(FREE_BYTES) * FRAME_COPIES
}

/// Idle tunnels by the address of the holder; clones share them.
#[derive(Debug, Clone)]
pub struct Tunnels {
    ledger: Ledger,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<FrameStream>>>>,
}

impl Tunnels {
    /// Creates the state without tunnels. What they hold is charged to accounts of `ledger`.
    pub fn new(ledger: Ledger) -> Self {
        Self { ledger, idle: Rc::default() }
    }

    /// Opens a tunnel to the instance at `address`, or takes an idle one.
    ///
    /// # Errors
    ///
    /// The instance cannot be connected to, or not within the time limit.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Tunnel> {
        while let Some(stream) = self.take(address) {
            if !stream.is_stale() {
                return Ok(self.tunnel(address, stream));
            }
        }
        let connecting = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        // A call that is given up must not arrive later. Without the option it may, as long as the holder does not see
        // that the tunnel was closed.
        reset_on_close(&stream).ok();
        let account = self.ledger.open_reserved(Some(address));
        Ok(self.tunnel(address, FrameStream::new(stream, &account)))
    }

    /// Closes the idle tunnels to an instance that may have become unresponsive.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take(&self, address: SocketAddr) -> Option<FrameStream> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    fn tunnel(&self, address: SocketAddr, stream: FrameStream) -> Tunnel {
        Tunnel { tunnels: self.clone(), address, stream: Some(stream), reusable: true }
    }
}

/// A tunnel in use. Dropping it returns the connection for the next call, or closes it when an answer is outstanding or
/// a transaction is open.
#[derive(Debug)]
pub struct Tunnel {
    tunnels: Tunnels,
    address: SocketAddr,
    stream: Option<FrameStream>,
    reusable: bool,
}

impl Tunnel {
    /// Address of the holder at the other end.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and reads the reply.
    ///
    /// # Errors
    ///
    /// The tunnel was lost; the call may have run.
    pub async fn call(&mut self, call: &Call) -> io::Result<Reply> {
        let (reply, _) = self.call_with(call, &Sections::default()).await?;
        Ok(reply)
    }

    /// Like [`call`](Self::call), with sections of the call and of the reply.
    ///
    /// # Errors
    ///
    /// As for [`call`](Self::call).
    pub async fn call_with(
        &mut self,
        call: &Call,
        sections: &Sections,
    ) -> io::Result<(Reply, Sections)> {
        self.reusable = false;
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        stream.send(call, sections).await?;
        let (reply, sections) = stream.receive::<Reply>().await?;
        self.reusable = match &reply {
            Reply::Answered(answer) => answer.state == TransactionState::Idle,
            _ => true,
        };
        Ok((reply, sections))
    }
}

impl Drop for Tunnel {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take().filter(|_| self.reusable) else { return };
        let mut idle = self.tunnels.idle.borrow_mut();
        let idle = idle.entry(self.address).or_default();
        if idle.len() < MAX_IDLE_TUNNELS {
            idle.push(stream);
        }
    }
}
