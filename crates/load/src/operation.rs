//! Requests of the sessions and their outcomes.

use std::time::Duration;

use crate::error::ClientError;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Read of the session's own rows, which has to return its last acknowledged write.
    Read,
    /// Read of a table whose route allows stale data.
    StaleRead,
    /// Write with a request id.
    Write,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The request was answered correctly.
    Done,
    /// A read did not return the session's last acknowledged write.
    Stale,
    /// Refused as "not run" because of a rate or a queue.
    RefusedForRate,
    /// Refused as "not run" for another reason.
    RefusedNotRun,
    /// The outcome is unknown.
    Unknown,
    /// The answer reported that an earlier write of the session was lost in a promotion.
    WriteLost,
}

/// A finished request.
#[derive(Debug, Clone, Copy)]
pub struct Record {
    /// Index of the workspace in the configuration of the run.
    pub workspace: usize,
    /// Kind of request.
    pub kind: Kind,
    /// Time at which the request was due, after the start of load.
    pub offered: Duration,
    /// Time at which the outcome was known, after the start of load.
    pub answered: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Whether rate and burst of the contract covered the request when the session started it.
    pub entitled: bool,
}

impl Record {
    /// Time from when the request was due until its outcome was known.
    pub const fn latency(&self) -> Duration {
        self.answered.saturating_sub(self.offered)
    }
}

impl Outcome {
    /// Classifies an error by its SQLSTATE, and by whether the proxy reports that the request was not run.
    pub fn from_error(error: &ClientError) -> Self {
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
