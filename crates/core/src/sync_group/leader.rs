//! What an instance knows about the primary of a group, and sends to other instances.

use crate::{
    clock::Instant,
    name::MemberId,
    position::{Position, Term},
};

/// The primary of the highest term that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Member that is primary.
    pub member: MemberId,
    /// Term for which it is primary.
    pub term: Term,
    /// Whether the leader is being replaced, so that no write may be sent to it.
    pub fenced: bool,
}

/// Position that the leader had at or after `sent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderPosition {
    /// Time at which the answered request was sent.
    pub sent: Instant,
    /// Position in the answer.
    pub position: Position,
}

/// Information on the leader of a group that instances exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderInfo {
    /// Member that is the leader.
    pub member: MemberId,
    /// Term of the leader.
    pub term: Term,
    /// Sending time of the request behind the newest leadership proof; `None` without a proof.
    pub proof_sent: Option<Instant>,
    /// Newest known position of the leader; `None` before it answered.
    pub position: Option<LeaderPosition>,
}
