//! Traits that a platform implements: connections of callers, connections to members, a store, and promotions.
//!
//! An adapter translates between the platform's protocols and these types, and makes no decisions.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    member_report::MemberReport,
    name::{DataCentre, Database, Group, InstanceId, MemberId, Workspace},
    position::{Position, Term},
    roster::Freshness,
    store_version::StoreVersion,
    sync_group::{ClaimGrant, MemberStatus, Role},
};
use smol::net::TcpStream;
use thiserror::Error;

use crate::{
    directory::Directory,
    ledger::{Account, Limit},
    model::{Access, Answer, Failure, Query},
    settings::PeerLimits,
    store_era::SharedStoreEra,
};

/// The types of one platform.
pub trait Platform: 'static {
    /// Connection of a caller.
    type Caller: CallerPort;
    /// Connection to a member.
    type Upstream: UpstreamPort;
    /// Client of the store.
    type Store: Store;
    /// Client for promotions.
    type Promoter: Promoter;
}

/// First message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handshake {
    /// Name of the database that the caller requests.
    pub database: Database,
    /// Key that the caller presents; not checked yet.
    pub key: Box<str>,
}

/// Message of a caller after the handshake.
#[derive(Debug)]
pub enum CallerMessage {
    /// A request, answered with [`CallerPort::answer`].
    Query(Query),
    /// The end of the session.
    Terminate,
}

/// Reason why no further message can be read from a connection.
#[derive(Debug, Error)]
pub enum PortError {
    /// The other end has closed the connection.
    #[error("the connection was closed by the other end")]
    Closed,
    /// A message is longer than the limit.
    #[error("a message is longer than {limit} bytes; send a shorter one")]
    TooLong {
        /// Longest message, in bytes.
        limit: usize,
    },
    /// The bytes received are no valid message.
    #[error("a message cannot be understood: {reason}")]
    Malformed {
        /// Error in the message.
        reason: &'static str,
    },
    /// The peer has reached a limit.
    #[error("{}", .0.remedy())]
    Limited(Limit),
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Connection of a caller.
pub trait CallerPort: Sized + 'static {
    /// Takes over an accepted connection. What it holds is charged to `account`.
    fn new(stream: TcpStream, account: Account, limits: &PeerLimits) -> Self;

    /// Reads the handshake.
    fn read_handshake(&mut self) -> impl Future<Output = Result<Handshake, PortError>>;

    /// Confirms to the caller that the session is open.
    fn accept(&mut self) -> impl Future<Output = io::Result<()>>;

    /// Sends the reason why the session is rejected or ends.
    fn reject(&mut self, failure: &Failure) -> impl Future<Output = io::Result<()>>;

    /// Reads the next message. Dropping the future loses no received bytes.
    fn next(&mut self) -> impl Future<Output = Result<CallerMessage, PortError>>;

    /// Whether received bytes of a message have not been returned by [`next`](Self::next) yet.
    fn has_pending(&self) -> bool;

    /// Sends the answer to the latest query.
    fn answer(&mut self, answer: Answer) -> impl Future<Output = Result<(), PortError>>;
}

/// A member to connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the member. A member with another id refuses the connection.
    pub member: MemberId,
    /// Group that the member belongs to.
    pub group: Group,
    /// Address for connections of the gateway.
    pub address: SocketAddr,
}

/// Reason why a connection to a member was not opened. No statement has run.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The member refused the connection.
    #[error("the member refused the connection ({0})")]
    Refused(Failure),
    /// The member cannot be connected to, or the connection was lost.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A command that the gateway sends to a member.
#[derive(Debug, Clone, Copy)]
pub enum MemberCommand<'a> {
    /// Runs a caller's statement, unchanged.
    Forward {
        /// Id of the caller's request.
        id: &'a str,
        /// Text of the statement, as the caller sent it.
        text: &'a str,
        /// Position that the member's log has to include; `None` for any.
        after: Option<Position>,
    },
    /// Executes a statement that was prepared on this connection.
    Execute {
        /// Id of the caller's request.
        id: &'a str,
        /// Name of the statement on this connection, which may differ from the caller's name.
        name: &'a str,
        /// Arguments, as the caller sent them.
        arguments: &'a str,
        /// Position that the member's log has to include; `None` for any.
        after: Option<Position>,
    },
    /// Rolls back the transaction without a request of a caller.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// New content of the value.
        value: &'a str,
    },
    /// Prepares a statement on this connection.
    Prepare {
        /// Name of the statement on this connection.
        name: &'a str,
        /// Whether the statement reads or writes.
        access: Access,
        /// Shape of the statement.
        shape: &'a str,
    },
    /// Clears all values and prepared statements of the connection.
    Reset,
    /// Reports the status and changes nothing.
    Status,
    /// Holds the given term: the replica receives nothing from primaries of lower terms.
    Hold(Term),
    /// Ends the hold, so that the replica receives from primaries again.
    Resume,
    /// Makes the member a replica if its term is below the given one.
    Demote(Term),
}

/// Connection to a member.
pub trait UpstreamPort: Sized + 'static {
    /// Connects to `target` for `workspace`. What an answer holds is charged to `account`.
    fn connect(
        target: &Target,
        workspace: &Workspace,
        account: Account,
    ) -> impl Future<Output = Result<Self, ConnectError>>;

    /// Sends a command.
    fn send(&mut self, command: MemberCommand<'_>) -> impl Future<Output = io::Result<()>>;

    /// Reads the complete answer to the oldest unanswered command.
    fn receive(&mut self) -> impl Future<Output = io::Result<Answer>>;

    /// Whether the member has closed the connection or sent bytes that answer no command.
    fn is_stale(&mut self) -> bool;

    /// Parses the answer to [`MemberCommand::Status`], [`MemberCommand::Hold`], [`MemberCommand::Resume`] or
    /// [`MemberCommand::Demote`]; `None` when it has no status.
    fn status(answer: &Answer) -> Option<MemberStatus>;
}

/// Kind of objects in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Collection {
    /// The configuration, one object whose content is [`Content::Directory`].
    Configuration,
    /// Entries of the members, which register themselves.
    Members,
    /// Registrations of the gateway's instances.
    Instances,
    /// Failover claims by group.
    FailoverClaims,
    /// Logs of the groups, by group.
    GroupLogs,
    /// Members that an operator has declared lost, whose addresses are the names of the objects.
    LostMembers,
    /// Evacuated data centres, whose names are those of the objects.
    Evacuations,
}

impl Collection {
    /// Name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Members => "members",
            Self::Instances => "instances",
            Self::FailoverClaims => "duties",
            Self::GroupLogs => "group_logs",
            Self::LostMembers => "lost_members",
            Self::Evacuations => "evacuations",
        }
    }
}

/// Entry of a member in the store, written by the member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Group that the member belongs to.
    pub group: Group,
    /// Address for connections of the gateway.
    pub address: SocketAddr,
    /// Data centre in which the member runs.
    pub data_centre: DataCentre,
    /// Whether the member is draining before a stop.
    pub leaving: bool,
    /// Role that the member reports; `None` when the entry has none.
    pub role: Option<Role>,
    /// Start of the member's process, in Unix milliseconds.
    pub started_ms: u64,
    /// Statements that the member runs at once.
    pub slots: u32,
    /// Time for which the member remains cold after it wrote the entry; `None` when the entry comes from another instance,
    /// and in the member table.
    pub cold_remaining: Option<Duration>,
    /// Number of the member's report since the start of its process.
    pub sequence: u64,
}

impl MemberRecord {
    /// Number of the report among all reports of the member.
    pub const fn report(&self) -> MemberReport {
        MemberReport { born: self.started_ms, sequence: self.sequence }
    }
}

/// Content of an object in the store.
#[derive(Debug, Clone)]
pub enum Content {
    /// One version of the configuration.
    Directory(Rc<Directory>),
    /// An entry of a member.
    Member(MemberRecord),
    /// The request to evacuate the data centre that the object is named for.
    Evacuation,
    /// The word of an operator that the member at the address that the object is named for is lost, with its log.
    LostMember,
    /// Text that an instance of the gateway wrote.
    GatewayText(Box<str>),
    /// Content that cannot be decoded.
    Unreadable {
        /// Error of the decoding.
        reason: Box<str>,
    },
}

/// An object of the store.
#[derive(Debug, Clone)]
pub struct Object {
    /// Name within the collection.
    pub name: Box<str>,
    /// Version of its last change.
    pub version: StoreVersion,
    /// Decoded content.
    pub content: Content,
}

/// All objects of a collection.
#[derive(Debug)]
pub struct Listing {
    /// The objects, with those whose content is [`Content::Unreadable`].
    pub objects: Vec<Object>,
    /// Version of the store up to which the list is complete.
    pub version: StoreVersion,
}

/// A change of an object.
#[derive(Debug)]
pub struct StoreChange {
    /// The object after the change, or before its deletion.
    pub object: Object,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Changes of a collection since a version.
#[derive(Debug)]
pub struct StoreChanges {
    /// The changes in the order of their revisions.
    pub changes: Vec<StoreChange>,
    /// Version of the store up to which the changes are complete.
    pub version: StoreVersion,
}

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The object has another version than the call expects. Nothing was changed.
    #[error("the object was changed by another writer; read it again")]
    Conflict,
    /// There is no such object.
    #[error("there is no such object")]
    Missing,
    /// The store no longer has all changes since the revision.
    #[error("the store has dropped its history; list the objects again")]
    Compacted,
    /// The answer is of an era of the store that has been replaced. A change may have taken effect, or take effect later.
    #[error(
        "the answer of the store is of era {era}, and era {known} is known; check that the platform has one store"
    )]
    OutOfDate {
        /// Era of the answer.
        era: u64,
        /// The known era.
        known: u64,
    },
    /// The store was restored since the version on which the call is based. Revisions may have been assigned again, so that
    /// whether a change took effect is known only after the object was read again.
    #[error("the store was restored from an older copy, era {era}; read the objects again")]
    Restored {
        /// Era after the restore.
        era: u64,
    },
    /// The store refused the call. Nothing was changed.
    #[error("the store refused the call with status {status}; it may be overloaded")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No usable answer came. A change may have taken effect, or take effect later.
    #[error("the store gave no usable answer: {reason}")]
    NoAnswer {
        /// Error of the call or of its answer.
        reason: Box<str>,
    },
}

/// Client of the platform's store.
pub trait Store: 'static {
    /// The era of the store, which the client learns from every answer.
    fn era(&self) -> &Rc<SharedStoreEra>;

    /// Lists all objects of a collection. A list of recent objects costs less than one of the current ones.
    fn list(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Returns the changes of a collection since `version`; waits until there is one, at most for `wait`.
    fn watch(
        &self,
        collection: Collection,
        version: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreError>>;

    /// Creates an object, and returns its version.
    fn create(
        &self,
        collection: Collection,
        name: &str,
        text: &str,
    ) -> impl Future<Output = Result<StoreVersion, StoreError>>;

    /// Replaces an object that has `version`, and returns its new version.
    fn replace(
        &self,
        collection: Collection,
        name: &str,
        version: StoreVersion,
        text: &str,
    ) -> impl Future<Output = Result<StoreVersion, StoreError>>;

    /// Removes an object that has `version`.
    fn remove(
        &self,
        collection: Collection,
        name: &str,
        version: StoreVersion,
    ) -> impl Future<Output = Result<(), StoreError>>;
}

/// Reason why a promotion failed.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// The platform refused the promotion.
    #[error("the platform refused the promotion with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The claim ended before the request was sent. Nothing was requested.
    #[error("the claim ended before the promotion was requested")]
    ClaimEnded,
    /// No usable answer came. The promotion may have taken effect, or take effect later.
    #[error("the platform gave no usable answer: {reason}")]
    NoAnswer {
        /// Error of the call or of its answer.
        reason: Box<str>,
    },
}

/// Client for promotions, which make a member the primary of its group's next term.
pub trait Promoter: 'static {
    /// Promotes `member`, in the name of the claimant of the failover.
    ///
    /// The request carries the generation number of the claim. It is not sent after the claim has ended, and no longer
    /// arrives then.
    fn promote(
        &self,
        group: &Group,
        member: &MemberId,
        claimant: &InstanceId,
        grant: ClaimGrant,
    ) -> impl Future<Output = Result<(), PromoteError>>;
}
