//! What a member says about itself.

use std::time::Duration;

use crate::position::{Position, Term};

/// Part that a member plays in its group, as it sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Receives the log of the primary.
    Replica,
}

/// Answer of a member to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Role as the member sees it.
    pub role: Role,
    /// Newest term that the member knows a primary of.
    pub term: Term,
    /// End of the log that the member has received, applied or not.
    pub received: Position,
    /// Term that the member holds, which stops it from receiving from primaries of lower terms; 0 when none.
    pub held: Term,
    /// Time by which the member applies commits later than it receives them.
    pub lag: Duration,
    /// Connections that are open at the member, from all clients.
    pub connections: u32,
}

impl MemberStatus {
    /// The highest term that the member knows of, with or without a primary.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.held)
    }
}
