//! What instances tell each other.

use std::net::SocketAddr;

use hibiscusladder_core::{
    name::{DataCentre, Workspace},
    share::TokenRequest,
};
use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What the sender knows and needs.
    Status(Status),
    /// Asks for tokens.
    TokenRequest(TokenRequestMessage),
    /// Passes on tokens.
    TokenTransfer(TokenTransferMessage),
}

/// Tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenTransferMessage {
    /// The workspace.
    pub workspace: Box<str>,
    /// Their number.
    pub tokens: f32,
}

/// A request for tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequestMessage {
    /// The workspace.
    pub workspace: Box<str>,
    /// Tokens that the sender can use.
    pub wanted: f32,
    /// Fewer are of no use to it.
    pub least: f32,
}

impl TokenRequestMessage {
    /// Creates the message for a request.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "requests are multiples of a part that f32 holds exactly"
    )]
    pub fn new(workspace: &Workspace, request: TokenRequest) -> Self {
        let (wanted, least) = (request.wanted as f32, request.least as f32);
        Self { workspace: workspace.as_str().into(), wanted, least }
    }

    /// What is asked for.
    pub fn request(&self) -> TokenRequest {
        TokenRequest { wanted: self.wanted.into(), least: self.least.into() }
    }
}

/// What an instance needs of a workspace's rate, what it has, and what it passes on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: Box<str>,
    /// Operations per second that the sender needs tokens for.
    pub rate: f32,
    /// Operations per second at all instances, as far as the sender knows.
    pub total: f32,
    /// Tokens at the sender.
    pub level: f32,
    /// Tokens that the sender passes on to the receiver.
    pub transfer: f32,
}

impl Demand {
    /// Creates the entry for a workspace from rate, total, level and gift.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more precision than f32 has"
    )]
    pub fn new(workspace: &Workspace, numbers: [f64; 4]) -> Self {
        let [rate, total, level, transfer] = numbers.map(|number| number as f32);
        Self { workspace: workspace.as_str().into(), rate, total, level, transfer }
    }
}

/// What the sender knows about a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// The group.
    pub group: Box<str>,
    /// Its primary.
    pub leader: Option<LeaderEntry>,
    /// Term that the sender makes the replicas hold, and whether all do.
    pub fence: Option<(u64, bool)>,
    /// Highest term for which the sender has discarded its proofs.
    pub confirmed: u64,
    /// Term of a primary that the sender cannot use.
    pub suspected: Option<u64>,
}

/// A primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// The member.
    pub member: Box<str>,
    /// Its term.
    pub term: u64,
    /// Age of the newest proof of its office, in microseconds.
    pub proof_age: Option<u64>,
    /// Its newest position as term and number, and the age in microseconds.
    pub position: Option<(u64, u64, u64)>,
}

/// What an instance tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the sender.
    pub from: Box<str>,
    /// Start of the sender's process on its clock, in nanoseconds.
    pub started: u64,
    /// Sending time on the sender's clock, in nanoseconds.
    pub sent: u64,
    /// Process and sending time of the receiver's latest message that the sender has.
    pub acknowledged: Option<(u64, u64)>,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Revision of the newest entry of a member that the sender has.
    pub members_revision: u64,
    /// Groups.
    pub groups: Vec<GroupInfo>,
    /// Demand by workspace.
    pub demands: Vec<Demand>,
}

/// How an instance registers itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address for messages of other instances.
    pub address: SocketAddr,
    /// Address for calls of other instances.
    pub tunnels: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
}
