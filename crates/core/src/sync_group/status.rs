//! Status that a member reports when it is polled.

use std::time::Duration;

use crate::position::{Position, Term};

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Receives the log of the primary.
    Replica,
}

/// Answer of a member to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Role that the member reports; a replaced primary may still report [`Role::Primary`].
    pub role: Role,
    /// Newest term whose primary is known to the member.
    pub term: Term,
    /// End of the log that the member has received, whether applied or not.
    pub received: Position,
    /// Term that the member holds, so that it receives nothing from primaries of lower terms; 0 when it holds none.
    pub held: Term,
    /// Delay between receiving and applying a commit.
    pub lag: Duration,
    /// Number of open connections of all clients to the member.
    pub connections: u32,
}

impl MemberStatus {
    /// The highest term in the status, with or without a primary.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.held)
    }
}
