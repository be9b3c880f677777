//! Calls from one instance to another that holds the connections to a member.
//!
//! Frames of a length and a `postcard` body on a TCP connection of its own for each call that is under way. A
//! transaction keeps its tunnel; when a tunnel breaks, the holder closes the member's connection, which rolls back.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hibiscusladder_io::clock::within;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::net::TcpStream;

use crate::model::{Access, Code, Failure, TransactionState};

/// Longest frame: a message of a caller with its values, or an answer.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Longest time for opening a tunnel: a round trip between regions, and one lost packet within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle tunnels to one instance that are kept.
const MAX_IDLE_TUNNELS: usize = 8;

/// What a holder is asked for.
#[derive(Debug, Serialize, Deserialize)]
pub enum Call {
    /// Run a statement, on the connection of the open transaction if there is one.
    Run(RunCall),
    /// End the transaction without keeping anything, with the caller's request if there was one.
    Rollback {
        /// Id and text of the caller's request.
        request: Option<(Box<str>, Box<str>)>,
    },
    /// Send an order that is answered with a status.
    Control {
        /// The member.
        member: Box<str>,
        /// The order.
        command: ControlCommand,
    },
}

/// A statement to be run.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunCall {
    /// The member.
    pub member: Box<str>,
    /// Workspace that it runs for.
    pub workspace: Box<str>,
    /// Values of the session.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// Id of the request.
    pub id: Box<str>,
    /// The statement.
    pub statement: Payload,
    /// Term and number of the position that the log has to include.
    pub after: Option<(u64, u64)>,
    /// Time limit in microseconds.
    pub limit: u64,
    /// Longest wait for a connection in microseconds.
    pub connection_wait: u64,
}

/// A statement that is ready to be sent to any member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Text of the caller.
    Text(Box<str>),
    /// Execution of a prepared statement.
    Execute {
        /// Whether it reads or writes.
        access: Access,
        /// Shape of the statement.
        shape: Box<str>,
        /// Arguments as they came.
        arguments: Box<str>,
    },
}

/// An order that is answered with a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Report the state.
    Status,
    /// Receive nothing from primaries below the term.
    Hold(u64),
    /// Receive again.
    Resume,
    /// Be a replica, if the own term is below the given one.
    Demote(u64),
}

/// Answer of a holder.
#[derive(Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The member answered.
    Answered(RemoteAnswer),
    /// The member did not run the statement.
    NotRun(Code),
    /// The member cannot be reached, or the holder is stopping; nothing was sent.
    Unreachable,
    /// It was sent, and there was no whole answer.
    ConnectionLost,
    /// Answer to an order.
    Status(Option<RemoteStatus>),
}

/// A member's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct RemoteAnswer {
    /// Rows as the member sent them.
    pub rows: Vec<Box<str>>,
    /// The member's proof, or code and explanation.
    pub outcome: Result<Box<str>, (Code, Box<str>)>,
    /// State of the session.
    pub state: TransactionState,
    /// Term and number of the position.
    pub position: Option<(u64, u64)>,
}

/// A member's status.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RemoteStatus {
    /// Whether it is the primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// Term and number of the position received.
    pub received: (u64, u64),
    /// Term that it holds.
    pub held: u64,
    /// Its lag in microseconds.
    pub lag: u64,
    /// Open connections.
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

/// The position of a term and a number.
pub const fn position((term, number): (u64, u64)) -> hibiscusladder_core::position::Position {
    use hibiscusladder_core::position::{Lsn, Position, Term};
    Position::new(Term(term), Lsn(number))
}

/// A connection that carries frames.
#[derive(Debug)]
pub struct FrameStream {
    stream: TcpStream,
}

impl FrameStream {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without the option small frames wait for acknowledgements; a failure only costs time.
        let _ = stream.set_nodelay(true);
        Self { stream }
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn send<T>(&mut self, message: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let frame =
            postcard::to_extend(message, vec![0; LENGTH_BYTES]).map_err(io::Error::other)?;
        let length = u32::try_from(frame.len() - LENGTH_BYTES).map_err(io::Error::other)?;
        let mut frame = frame;
        frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        self.stream.write_all(&frame).await
    }

    /// Reads a frame.
    ///
    /// # Errors
    ///
    /// The connection broke, or what came is no such frame.
    pub async fn receive<T>(&mut self) -> io::Result<T>
    where
        T: DeserializeOwned,
    {
        let mut length = [0; LENGTH_BYTES];
        self.stream.read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await?;
        postcard::from_bytes(&body).map_err(io::Error::other)
    }

    /// Whether the other end has closed the connection or sent something that nothing asked for.
    fn is_stale(&self) -> bool {
        self.stream.peek(&mut [0]).now_or_never().is_some()
    }
}

/// Idle tunnels by the address of the holder.
#[derive(Debug, Default, Clone)]
pub struct Tunnels {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<FrameStream>>>>,
}

impl Tunnels {
    /// A tunnel to the instance at `address`.
    ///
    /// # Errors
    ///
    /// The instance does not answer.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Tunnel> {
        while let Some(stream) = self.take(address) {
            if !stream.is_stale() {
                return Ok(self.tunnel(address, stream));
            }
        }
        let connecting = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        Ok(self.tunnel(address, FrameStream::new(stream)))
    }

    /// Closes the idle tunnels to an instance, which may have gone silent.
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

/// A tunnel in use. Dropping it keeps it for the next call, or closes it when an answer is outstanding or a transaction
/// is open.
#[derive(Debug)]
pub struct Tunnel {
    tunnels: Tunnels,
    address: SocketAddr,
    stream: Option<FrameStream>,
    reusable: bool,
}

impl Tunnel {
    /// Address of the holder.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and reads the reply.
    ///
    /// # Errors
    ///
    /// The tunnel broke; the call may have run.
    pub async fn call(&mut self, call: &Call) -> io::Result<Reply> {
        self.reusable = false;
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        stream.send(call).await?;
        let reply: Reply = stream.receive().await?;
        self.reusable = match &reply {
            Reply::Answered(answer) => answer.state == TransactionState::Idle,
            _ => true,
        };
        Ok(reply)
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
