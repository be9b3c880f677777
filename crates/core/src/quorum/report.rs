//! The answer of one member to one poll.

use std::time::Duration;

use crate::{
    clock::Instant,
    name::{InstanceId, MemberId},
    position::{Position, Term},
};

/// What a member does in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// Accepts writes under its promoted term.
    Primary,
    /// Applies the log of a primary.
    Replica,
    /// Was primary until its term was raised; rejects writes.
    Fenced,
}

/// The state of a member as it answered one poll (`group_status()`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Member that answered.
    pub member: MemberId,
    /// What it does in its group.
    pub role: MemberRole,
    /// Highest term that it accepted; it rejects lower ones.
    pub term: Term,
    /// Instance that raised the member to its term.
    pub claimant: Option<InstanceId>,
    /// Newest term for which it was promoted itself, or for which a promotion is in its log.
    pub promoted_term: Term,
    /// End of its log.
    pub position: Position,
    /// Position at which the newest term in its log began; see [`TermHistory`](crate::term_history::TermHistory).
    pub term_start: Position,
    /// Members that raised to the newest term in its log.
    pub term_members: Vec<MemberId>,
    /// Time since its replication source was last heard; absent on a primary.
    pub source_silent: Option<Duration>,
    /// Time at which the poll was sent.
    pub sent: Instant,
    /// Time at which the answer arrived.
    pub received: Instant,
}

impl MemberReport {
    /// Whether the member was primary of its own term.
    pub fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary && self.promoted_term == self.term
    }

    /// Newest term that began in its log. A replica may report only the start of that term, and a former primary
    /// still the term of its own promotion.
    pub fn log_term(&self) -> Term {
        self.promoted_term.max(self.term_start.term)
    }
}
