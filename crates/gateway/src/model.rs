//! What callers ask and members answer, independent of how it is written on a connection.

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

/// What a query asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction and keeps nothing.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Names a statement for later execution.
    Prepare {
        /// Name, valid in the session.
        name: Box<str>,
        /// Whether it reads or writes.
        access: Access,
        /// Shape of the statement.
        shape: Box<str>,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name of the statement.
        name: Box<str>,
        /// Its arguments, as they came.
        arguments: Box<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name of the statement.
        name: Box<str>,
    },
    /// Something that is no statement.
    Malformed,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Identifies the request; chosen by the caller.
    pub id: Box<str>,
    /// The statement as it came.
    pub text: Box<str>,
    /// The statement as it was understood.
    pub statement: Statement,
}

/// State of a session after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that can only be ended.
    Failed,
}

/// Why a request was not answered with success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Code {
    /// Not run, for want of capacity.
    Busy,
    /// Rolled back; nothing is kept.
    Aborted,
    /// Not run: the member's log lacks the position asked for.
    Lagging,
    /// Not run: the member is not the primary.
    ReadOnly,
    /// Not run: the member is another one than the caller expected.
    Misrouted,
    /// Not run: the member has too many connections.
    TooMany,
    /// Ran and failed.
    Failed,
    /// Not run: no such prepared statement.
    NoStatement,
    /// Ran past its time limit.
    Timeout,
    /// Not run: the key is not known.
    NoAuth,
    /// Not run: no route has the database's name.
    NoDatabase,
    /// Not run: the message is too long.
    TooBig,
    /// Not run: the message cannot be understood.
    Malformed,
    /// It is not known whether it ran.
    Unknown,
}

impl Code {
    /// Whether the answer says that nothing of the request is kept, so that it may be sent again.
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

/// An answer without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Why.
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

    /// A refusal that says when to come back.
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
    /// Rows as the member sent them.
    pub rows: Vec<Box<str>>,
    /// The member's proof that it ran the statement, or `-`; otherwise why there was no success.
    pub outcome: Result<Box<str>, Failure>,
    /// State of the session.
    pub state: TransactionState,
    /// Position of the member's log.
    pub position: Option<Position>,
}

impl Answer {
    /// An answer that the proxy gives by itself.
    pub fn done(state: TransactionState) -> Self {
        Self { rows: Vec::new(), outcome: Ok("-".into()), state, position: None }
    }

    /// An answer without success.
    pub const fn failed(failure: Failure, state: TransactionState) -> Self {
        Self { rows: Vec::new(), outcome: Err(failure), state, position: None }
    }

    /// The code, when there was no success.
    pub fn code(&self) -> Option<Code> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }
}
