//! What a platform has to provide: connections of callers and members, a store, and promotions.
//!
//! An adapter translates and decides nothing.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    name::{DataCentre, Database, Group, InstanceId, MemberId, Workspace},
    position::{Position, Term},
    sync_group::{MemberStatus, Role},
};
use smol::net::TcpStream;
use thiserror::Error;

use crate::{
    directory::Directory,
    model::{Access, Answer, Failure, Query},
};

/// The parts of a platform.
pub trait Platform: 'static {
    /// Connections of callers.
    type Caller: CallerPort;
    /// Connections to members.
    type Upstream: UpstreamPort;
    /// The store.
    type Store: Store;
    /// Promotions.
    type Promoter: Promoter;
}

/// What a caller says first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handshake {
    /// Database that it wants to use.
    pub database: Database,
    /// Key that it shows.
    pub key: Box<str>,
}

/// What a caller sends afterwards.
#[derive(Debug)]
pub enum CallerMessage {
    /// A request.
    Query(Query),
    /// The end of the session.
    Terminate,
}

/// Why nothing more comes from a connection.
#[derive(Debug, Error)]
pub enum PortError {
    /// The other end has closed it.
    #[error("the connection was closed by the other end")]
    Closed,
    /// What came is longer than a message may be.
    #[error("a message is longer than {limit} bytes; send a shorter one")]
    TooLong {
        /// Longest message, in bytes.
        limit: usize,
    },
    /// What came is no message.
    #[error("a message cannot be understood: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Connection of a caller.
pub trait CallerPort: Sized + 'static {
    /// Takes over an accepted connection.
    fn new(stream: TcpStream) -> Self;

    /// Reads what the caller says first.
    fn read_handshake(&mut self) -> impl Future<Output = Result<Handshake, PortError>>;

    /// Tells the caller that the session is open.
    fn accept(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Tells the caller why the session ends.
    fn reject(&mut self, failure: &Failure) -> impl Future<Output = io::Result<()>>;

    /// Reads the next message. A future that is dropped loses nothing that came.
    fn next(&mut self) -> impl Future<Output = Result<CallerMessage, PortError>>;

    /// Whether a message, or a part of one, has come and was not returned yet.
    fn has_pending(&self) -> bool;

    /// Answers the last query.
    fn answer(&mut self, answer: &Answer) -> impl Future<Output = io::Result<()>>;
}

/// A member, as it is connected to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The member, which refuses the connection if it is another one.
    pub member: MemberId,
    /// Its group.
    pub group: Group,
    /// Its address.
    pub address: SocketAddr,
}

/// Why a connection to a member was not opened. Nothing has run.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The member refused it.
    #[error("the member refused the connection ({0})")]
    Refused(Failure),
    /// The member does not answer.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What the gateway sends to a member.
#[derive(Debug, Clone, Copy)]
pub enum MemberCommand<'a> {
    /// A caller's statement, unchanged.
    Forward {
        /// Id of the request.
        id: &'a str,
        /// Text of the statement.
        text: &'a str,
        /// Position that the log has to include.
        after: Option<Position>,
    },
    /// A caller's execution, under the name that the statement has on this connection.
    Execute {
        /// Id of the request.
        id: &'a str,
        /// Name on this connection.
        name: &'a str,
        /// Arguments as they came.
        arguments: &'a str,
        /// Position that the log has to include.
        after: Option<Position>,
    },
    /// End the transaction and keep nothing, although no caller asked for it.
    Rollback,
    /// Set a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Name a statement on this connection.
    Prepare {
        /// Name on this connection.
        name: &'a str,
        /// Whether it reads or writes.
        access: Access,
        /// Shape of the statement.
        shape: &'a str,
    },
    /// Forget all values and names.
    Reset,
    /// Report the state.
    Status,
    /// Receive nothing from primaries below the term.
    Hold(Term),
    /// Receive again.
    Resume,
    /// Be a replica, if the own term is below the given one.
    Demote(Term),
}

/// Connection to a member.
pub trait UpstreamPort: Sized + 'static {
    /// Connects to `target` for `workspace`.
    fn connect(
        target: &Target,
        workspace: &Workspace,
    ) -> impl Future<Output = Result<Self, ConnectError>>;

    /// Sends an order.
    fn send(&mut self, command: MemberCommand<'_>) -> impl Future<Output = io::Result<()>>;

    /// Reads the whole answer to the oldest order that has none.
    fn receive(&mut self) -> impl Future<Output = io::Result<Answer>>;

    /// Whether the connection has been closed by the member, or holds bytes that nothing asked for.
    fn is_stale(&mut self) -> bool;

    /// Reads the answer to [`MemberCommand::Status`], [`MemberCommand::Hold`], [`MemberCommand::Resume`] or
    /// [`MemberCommand::Demote`].
    fn status(answer: &Answer) -> Option<MemberStatus>;
}

/// Objects in the store that belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Collection {
    /// The configuration.
    Configuration,
    /// Members, which register themselves.
    Members,
    /// Instances of the gateway.
    Instances,
    /// Claims of the duty to replace a primary, by group.
    FailoverClaims,
}

impl Collection {
    /// Name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Members => "members",
            Self::Instances => "instances",
            Self::FailoverClaims => "duties",
        }
    }
}

/// What a member says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its group.
    pub group: Group,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is going to stop.
    pub leaving: bool,
    /// Its role as it sees itself.
    pub role: Option<Role>,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
    /// Statements that it runs at once.
    pub slots: u32,
}

/// What an object of the store holds.
#[derive(Debug, Clone)]
pub enum Content {
    /// The configuration.
    Directory(Rc<Directory>),
    /// A member.
    Member(MemberRecord),
    /// Text that the gateway wrote.
    GatewayText(Box<str>),
    /// Something that cannot be used.
    Unreadable {
        /// What is wrong with it.
        reason: Box<str>,
    },
}

/// An object of the store.
#[derive(Debug, Clone)]
pub struct Object {
    /// Its name within the collection.
    pub name: Box<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub content: Content,
}

/// All objects of a collection.
#[derive(Debug)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// Revision of the store at which the list is complete.
    pub revision: u64,
}

/// A change of an object.
#[derive(Debug)]
pub struct StoreChange {
    /// The object after the change, or before its deletion.
    pub object: Object,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// Changes since a revision.
#[derive(Debug)]
pub struct StoreChanges {
    /// The changes in order.
    pub changes: Vec<StoreChange>,
    /// Revision up to which they are complete.
    pub revision: u64,
}

/// Why a call to the store had no success.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The object was changed meanwhile; nothing was done.
    #[error("the object was changed by another writer; read it again")]
    Conflict,
    /// There is no such object.
    #[error("there is no such object")]
    Missing,
    /// The store has dropped the changes since the revision.
    #[error("the store has dropped its history; list the objects again")]
    Compacted,
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with status {status}; it may be overloaded")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// There was no usable answer; a change may take effect, also later.
    #[error("the store gave no usable answer: {reason}")]
    NoAnswer {
        /// What happened.
        reason: Box<str>,
    },
}

/// The platform's store.
pub trait Store: 'static {
    /// All objects of a collection.
    fn list(&self, collection: Collection) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Changes of a collection since `revision`; waits until there is one, at most for `wait`.
    fn watch(
        &self,
        collection: Collection,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreError>>;

    /// Creates an object, and returns its revision.
    fn create(
        &self,
        collection: Collection,
        name: &str,
        text: &str,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Replaces an object that has `revision`, and returns its new revision.
    fn replace(
        &self,
        collection: Collection,
        name: &str,
        revision: u64,
        text: &str,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Removes an object that has `revision`.
    fn remove(
        &self,
        collection: Collection,
        name: &str,
        revision: u64,
    ) -> impl Future<Output = Result<(), StoreError>>;
}

/// Why a promotion had no success.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// The platform refused it.
    #[error("the platform refused the promotion with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// There was no usable answer; it may take effect, also later.
    #[error("the platform gave no usable answer: {reason}")]
    NoAnswer {
        /// What happened.
        reason: Box<str>,
    },
}

/// Lets a member lead the next term of its group.
pub trait Promoter: 'static {
    /// Promotes `member`. `generation` grows whenever the holder of the duty changes.
    fn promote(
        &self,
        group: &Group,
        member: &MemberId,
        claimant: &InstanceId,
        generation: u64,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
