//! Requests of callers and answers of members, independent of the protocol of a connection.

use std::{borrow::Cow, fmt, time::Duration};

use hibiscusladder_core::position::Position;
use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
}

/// A caller's statement, as far as the gateway distinguishes statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction may only read.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Box<str>,
        /// New content of the value.
        value: Box<str>,
    },
    /// Prepares a statement for later execution.
    Prepare {
        /// Name of the statement, valid in the session.
        name: Box<str>,
        /// Whether the statement reads or writes.
        access: Access,
        /// Shape of the statement, opaque to the gateway.
        shape: Box<str>,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name of the statement.
        name: Box<str>,
        /// Arguments, as the caller sent them.
        arguments: Box<str>,
    },
    /// Removes a prepared statement from the session.
    Deallocate {
        /// Name of the statement.
        name: Box<str>,
    },
    /// A text that is no statement, or a statement that callers may not send.
    Malformed,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Id of the request, chosen by the caller.
    pub id: Box<str>,
    /// Text of the statement, as the caller sent it.
    pub text: Box<str>,
    /// Statement that `text` was parsed into; [`Statement::Malformed`] when a caller may send no such statement.
    pub statement: Statement,
}

/// Transaction state of a session after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open that has failed and can only be ended.
    Failed,
}

/// Kind of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Code {
    /// Not run, for lack of capacity.
    Busy,
    /// Rolled back, so nothing was committed.
    Aborted,
    /// Not run: the member's log does not include the required position.
    Lagging,
    /// Not run: the member is not the primary.
    ReadOnly,
    /// Not run: the connection led to another member than the one that it was opened for.
    Misrouted,
    /// Not run: the member has too many connections.
    TooMany,
    /// The statement ran and failed.
    Failed,
    /// Not run: no prepared statement has this name.
    NoStatement,
    /// The statement exceeded its time limit.
    Timeout,
    /// Not run: no workspace has the key.
    NoAuth,
    /// Not run: no route has the database's name.
    NoDatabase,
    /// Not run: the message is too long.
    TooBig,
    /// Not run: the message cannot be parsed, or is not valid in the state of the session.
    Malformed,
    /// The outcome is unknown: the statement may have run.
    Unknown,
}

impl Code {
    /// Whether the code guarantees that the request had no effect, so that it may be sent again.
    pub const fn is_safe_to_retry(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Aborted
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooMany
        )
    }

    /// Name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooMany => "too_many",
            Self::Failed => "failed",
            Self::NoStatement => "no_statement",
            Self::Timeout => "timeout",
            Self::NoAuth => "no_auth",
            Self::NoDatabase => "no_database",
            Self::TooBig => "too_big",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
        }
    }
}

/// A failure with its explanation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure.
    pub code: Code,
    /// Explanation for a person, with the remedy.
    pub detail: Cow<'static, str>,
}

impl Failure {
    /// Creates a failure with an explanation.
    pub fn new<D>(code: Code, detail: D) -> Self
    where
        D: Into<Cow<'static, str>>,
    {
        Self { code, detail: detail.into() }
    }

    /// Creates a refusal of a request that did not run, with the time after which the caller may try again.
    pub fn retry_after(code: Code, reason: &str, after: Duration) -> Self {
        Self::new(code, format!("not run: {reason}; try again in {} ms", after.as_millis().max(1)))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.detail)
    }
}

/// Answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Rows, as the member sent them.
    pub rows: Vec<Box<str>>,
    /// The member's confirmation that it ran the statement, `-` for an answer of the gateway itself, or the failure.
    pub outcome: Result<Box<str>, Failure>,
    /// Transaction state of the session after the answer.
    pub state: TransactionState,
    /// Position of the member's log; `None` when the member reported none or did not take part.
    pub position: Option<Position>,
}

impl Answer {
    /// Creates a successful answer of the gateway itself.
    pub fn done(state: TransactionState) -> Self {
        Self { rows: Vec::new(), outcome: Ok("-".into()), state, position: None }
    }

    /// Creates an answer with a failure.
    pub const fn failed(failure: Failure, state: TransactionState) -> Self {
        Self { rows: Vec::new(), outcome: Err(failure), state, position: None }
    }

    /// Code of the failure; `None` after success.
    pub fn code(&self) -> Option<Code> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }
}
