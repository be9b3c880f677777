//! Requests that sessions make, and what became of them.

use std::time::Duration;

use crate::error::ClientError;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Read of the session's own row.
    Read,
    /// Read of a table whose route allows stale data.
    StaleRead,
    /// Write with a request id.
    Write,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer was right.
    Done,
    /// A read did not return the session's last acknowledged write.
    Stale,
    /// Refused as "not run" because of a rate or a queue.
    RefusedForRate,
    /// Refused as "not run" for another reason.
    RefusedNotRun,
    /// The outcome is unknown.
    Unknown,
    /// The session learned that a write was lost at a promotion.
    WriteLost,
}

/// One finished request.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// Index of the workspace in the description of the run.
    pub workspace: usize,
    /// Kind of request.
    pub kind: Kind,
    /// When it was offered, after the start of load.
    pub offered: Duration,
    /// When it was answered, after the start of load.
    pub answered: Duration,
    /// What became of it.
    pub outcome: Outcome,
    /// Whether rate and burst of the contract covered it when it was offered.
    pub entitled: bool,
}

impl Record {
    /// Time from offer to answer.
    pub const fn latency(&self) -> Duration {
        self.answered.saturating_sub(self.offered)
    }
}

impl Outcome {
    /// Sorts an error by what the proxy said of the execution.
    pub fn of_error(error: &ClientError) -> Self {
        match error {
            ClientError::Server { sqlstate, .. } if sqlstate == "53400" => Self::RefusedForRate,
            ClientError::Server { sqlstate, .. } if sqlstate == "HL001" => Self::WriteLost,
            ClientError::Server { message, .. } if message.starts_with("not run") => {
                Self::RefusedNotRun
            }
            _ => Self::Unknown,
        }
    }
}
