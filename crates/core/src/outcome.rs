//! Typed refusals: SQLSTATE, message and hint for the client, and whether the statement ran.

use std::{fmt, time::Duration};

use crate::position::Position;

/// Whether a statement that was answered with an error may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Execution {
    /// The statement certainly did not run.
    NotRun,
    /// The statement may have run.
    Unknown,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Unknown => "outcome unknown",
        })
    }
}

/// Reason for which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The key is unknown, withdrawn, or belongs to another workspace.
    KeyRejected,
    /// The contract does not name the database.
    DatabaseNotInContract,
    /// The workspace has used up its rate and burst.
    RateExceeded,
    /// The queue of the workspace cannot serve the request within its longest wait.
    QueueFull,
    /// The instance cannot prove that its configuration is recent enough.
    ConfigUnconfirmed,
    /// No member can serve the request now.
    NoMember,
    /// No member can prove that its data is recent enough.
    StaleReadUnproved,
    /// A write of this session was lost when the primary changed.
    WriteLost {
        /// Position of the lost write.
        lost: Position,
        /// Position where the present term began.
        term_start: Position,
    },
    /// The primary's term could not be confirmed after the statement was sent.
    TermUnconfirmed,
    /// The connection to the upstream was lost after the statement was sent.
    ConnectionLost,
    /// The proxy does not support the feature.
    Unsupported,
    /// The request id was used before with other statements.
    RequestIdReused,
    /// The statement or its parameters contain the client's key.
    KeyInStatement,
    /// The transaction held its slot idle for too long and was rolled back.
    IdleInTransaction,
    /// The instance is shutting down.
    Leaving,
    /// The deadline passed, or the client cancelled the request, before the statement was sent.
    DeadlineExceeded,
    /// A message violates the protocol.
    Protocol,
}

/// An error that is returned to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Whether the statement may have run.
    pub execution: Execution,
    /// Details for the message, without secrets; may be empty.
    pub detail: String,
    /// Time after which a retry makes sense; `None` when no time is named.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a statement that did not run.
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self { kind, execution: Execution::NotRun, detail: String::new(), retry_after: None }
    }

    /// Creates the refusal of a statement that may have run.
    pub const fn unknown(kind: RefusalKind) -> Self {
        Self { kind, execution: Execution::Unknown, detail: String::new(), retry_after: None }
    }

    /// Sets the details for the message, which must not contain secrets.
    #[must_use]
    pub fn detail<S>(mut self, detail: S) -> Self
    where
        S: Into<String>,
    {
        self.detail = detail.into();
        self
    }

    /// Sets the time after which a retry makes sense.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The SQLSTATE of the refusal, five characters.
    pub const fn sqlstate(&self) -> &'static str {
        match (self.kind, self.execution) {
            (RefusalKind::KeyRejected | RefusalKind::DatabaseNotInContract, _) => "28000",
            (RefusalKind::RateExceeded | RefusalKind::QueueFull, _) => "53400",
            (RefusalKind::WriteLost { .. }, _) => "HL001",
            (RefusalKind::Unsupported, _) => "0A000",
            (RefusalKind::RequestIdReused, _) => "23505",
            (RefusalKind::KeyInStatement, _) => "22023",
            (RefusalKind::IdleInTransaction, _) => "25P03",
            (RefusalKind::Leaving, _) => "57P01",
            (RefusalKind::Protocol, _) => "08P01",
            (RefusalKind::DeadlineExceeded, Execution::NotRun) => "57014",
            (_, Execution::Unknown) => "08007",
            (_, Execution::NotRun) => "57P03",
        }
    }

    /// Hint to the client on how to resolve or avoid the refusal.
    pub const fn hint(&self) -> &'static str {
        match (self.kind, self.execution) {
            (RefusalKind::KeyRejected, _) => {
                "connect with a valid key of this workspace as the password"
            }
            (RefusalKind::DatabaseNotInContract, _) => {
                "ask the operator to add the database to the contract"
            }
            (RefusalKind::RateExceeded, _) => {
                "slow down or ask the operator for a higher rate, then try again"
            }
            (RefusalKind::WriteLost { .. }, _) => {
                "check which of the session's last writes exist and write the missing ones again"
            }
            (RefusalKind::Unsupported, _) => "use a direct connection for this feature",
            (RefusalKind::RequestIdReused, _) => "use a new request id for other statements",
            (RefusalKind::KeyInStatement, _) => {
                "remove the key from the statement and its parameters"
            }
            (RefusalKind::IdleInTransaction, _) => {
                "keep transactions short and start the transaction again"
            }
            (RefusalKind::Leaving, _) => "connect again; another instance will answer",
            (RefusalKind::Protocol, _) => "check the client library",
            (_, Execution::Unknown) => {
                "repeat the statement with the same request id to learn its outcome, or read the data to check"
            }
            (_, Execution::NotRun) => "try again later",
        }
    }

    const fn reason(&self) -> &'static str {
        match self.kind {
            RefusalKind::KeyRejected => "the key is not valid for this workspace",
            RefusalKind::DatabaseNotInContract => "the contract does not name this database",
            RefusalKind::RateExceeded => "the workspace is past its rate",
            RefusalKind::QueueFull => "the queue of the workspace is full",
            RefusalKind::ConfigUnconfirmed => "the instance cannot confirm its configuration",
            RefusalKind::NoMember => "no member of the database can serve this now",
            RefusalKind::StaleReadUnproved => "no member can prove the age of its data",
            RefusalKind::WriteLost { .. } => {
                "a write of this session was lost when the primary changed"
            }
            RefusalKind::TermUnconfirmed => "the term of the primary could not be confirmed",
            RefusalKind::ConnectionLost => "the connection to the upstream was lost",
            RefusalKind::Unsupported => "the feature is not supported",
            RefusalKind::RequestIdReused => "the request id was used with other statements",
            RefusalKind::KeyInStatement => "the statement contains the caller's key",
            RefusalKind::IdleInTransaction => "the transaction was idle for too long",
            RefusalKind::Leaving => "the instance is shutting down",
            RefusalKind::DeadlineExceeded => "the deadline passed",
            RefusalKind::Protocol => "the message violates the protocol",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.execution, self.reason())?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        if let Some(after) = self.retry_after {
            write!(f, "; try again in {} ms", after.as_millis())?;
        }
        Ok(())
    }
}

impl std::error::Error for Refusal {}
