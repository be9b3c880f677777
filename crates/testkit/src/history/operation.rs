//! A request of a client and its outcome.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{name::Workspace, position::Position};

/// Operation that a request performs on its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Adds a unique value to the key.
    Write {
        /// Value that no other write adds.
        value: Arc<str>,
    },
    /// Returns all values of the key.
    Read {
        /// Values in the answer; empty until it has arrived.
        values: Vec<Arc<str>>,
        /// Whether the client accepts stale data; the session's own writes may then be missing.
        stale: bool,
    },
}

/// Outcome of a request as reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded.
    Done,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, or there was no answer.
    Unknown,
    /// The request did not run, and earlier writes of the session past `term_start` were lost in a promotion.
    WriteLost {
        /// Position at which the current term began.
        term_start: Position,
    },
}

/// A request of a client, with its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// Session that sent the request; a session may use several connections in succession.
    pub session: Arc<str>,
    /// Workspace of the session.
    pub workspace: Workspace,
    /// Time when the request was sent, since the origin of the test.
    pub sent: Duration,
    /// Time when the answer arrived, since the origin of the test; `None` without an answer.
    pub answered: Option<Duration>,
    /// Operation on the key, with its values.
    pub kind: Kind,
    /// Key that the request reads or writes.
    pub key: Arc<str>,
    /// Position of the session that came with the answer; `None` when there was none.
    pub position: Option<Position>,
    /// Outcome as reported to the client; unknown without an answer.
    pub outcome: Outcome,
    /// Mark sent in the request, which the answer has to repeat; `None` for a request without a mark.
    pub mark: Option<Arc<str>>,
    /// Mark received in the answer; `None` without a mark.
    pub answer_mark: Option<Arc<str>>,
}

impl Operation {
    /// Creates a write without an answer.
    pub fn write(session: &str, workspace: &str, key: &str, value: &str, sent: Duration) -> Self {
        Self::new(session, workspace, key, Kind::Write { value: Arc::from(value) }, sent)
    }

    /// Creates a read of fresh data without an answer.
    pub fn read(session: &str, workspace: &str, key: &str, sent: Duration) -> Self {
        Self::new(session, workspace, key, Kind::Read { values: Vec::new(), stale: false }, sent)
    }

    fn new(session: &str, workspace: &str, key: &str, kind: Kind, sent: Duration) -> Self {
        Self {
            session: Arc::from(session),
            workspace: Workspace::new(workspace),
            sent,
            answered: None,
            kind,
            key: Arc::from(key),
            position: None,
            outcome: Outcome::Unknown,
            mark: None,
            answer_mark: None,
        }
    }

    /// Sets the time and the outcome of the answer.
    #[must_use]
    pub fn answered(mut self, at: Duration, outcome: Outcome) -> Self {
        self.answered = Some(at);
        self.outcome = outcome;
        self
    }

    /// Sets the values that a read returned; has no effect on a write.
    #[must_use]
    pub fn values(mut self, found: &[&str]) -> Self {
        if let Kind::Read { values, .. } = &mut self.kind {
            *values = found.iter().map(|value| Arc::from(*value)).collect();
        }
        self
    }

    /// Makes a read accept stale data; has no effect on a write.
    #[must_use]
    pub const fn stale(mut self) -> Self {
        if let Kind::Read { stale, .. } = &mut self.kind {
            *stale = true;
        }
        self
    }

    /// Sets the position of the session that came with the answer.
    #[must_use]
    pub const fn at_position(mut self, position: Position) -> Self {
        self.position = Some(position);
        self
    }

    /// Sets the marks of the request and of the answer.
    #[must_use]
    pub fn marks(mut self, sent: &str, received: &str) -> Self {
        self.mark = Some(Arc::from(sent));
        self.answer_mark = Some(Arc::from(received));
        self
    }

    /// Value that a write adds; `None` for a read.
    pub fn written_value(&self) -> Option<&Arc<str>> {
        match &self.kind {
            Kind::Write { value } => Some(value),
            Kind::Read { .. } => None,
        }
    }

    /// Whether the request was certainly admitted, and so counts against the rate limit of its workspace.
    pub(crate) const fn is_admitted(&self) -> bool {
        matches!(self.outcome, Outcome::Done)
    }
}
