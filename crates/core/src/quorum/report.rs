//! Report of a member: its answer to one poll.

use std::time::Duration;

use crate::{
    clock::Instant,
    name::{InstanceId, MemberId},
    position::{Position, Term},
};

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// Accepts writes under its promoted term.
    Primary,
    /// Applies the log of a primary.
    Replica,
    /// Was primary until it was raised to a higher term; rejects writes.
    Fenced,
}

/// State of a member in its answer to one poll (`group_status()`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Member that answered.
    pub member: MemberId,
    /// Role in the group at the time of the answer.
    pub role: MemberRole,
    /// Highest term that the member accepted; it rejects lower ones.
    pub term: Term,
    /// Instance that raised the member to its term; `None` when the member reports none.
    pub claimant: Option<InstanceId>,
    /// Newest term for which the member was promoted, or for which its log has a promotion.
    pub promoted_term: Term,
    /// End of the member's log.
    pub position: Position,
    /// Position at which the newest term in the log began; see [`TermHistory`](crate::term_history::TermHistory).
    pub term_start: Position,
    /// Members that were raised to the newest term in the log.
    pub term_members: Vec<MemberId>,
    /// Time since the member last received data from its replication source; `None` on a primary.
    pub source_silent: Option<Duration>,
    /// Time at which the poll was sent.
    pub sent: Instant,
    /// Time at which the answer arrived.
    pub received: Instant,
}

impl MemberReport {
    /// Whether the member was primary of the term that it reported.
    pub fn is_primary(&self) -> bool {
        self.role == MemberRole::Primary && self.promoted_term == self.term
    }

    /// Newest term that began in the member's log. A replica may report this term only in `term_start`, and a former
    /// primary may still report the term of its own promotion in `promoted_term`.
    pub fn log_term(&self) -> Term {
        self.promoted_term.max(self.term_start.term)
    }
}
