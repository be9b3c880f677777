//! One request of a client and what became of it.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{name::Workspace, position::Position};

/// What a request does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Adds a value, which occurs nowhere else, to the key.
    Write {
        /// The value.
        value: Arc<str>,
    },
    /// Returns all values of the key.
    Read {
        /// The values; empty until the answer has arrived.
        values: Vec<Arc<str>>,
        /// Whether the client has asked for data that may be stale.
        stale: bool,
    },
}

/// What the client was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request succeeded.
    Done,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, or there was no answer.
    Unknown,
    /// The request did not run, and earlier writes of the session past a position were lost in a promotion.
    WriteLost {
        /// Position where the present term began.
        term_start: Position,
    },
}

/// One request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// Session, which goes on over several connections.
    pub session: Arc<str>,
    /// Workspace of the session.
    pub workspace: Workspace,
    /// Time when the request was sent, since the origin of the test.
    pub sent: Duration,
    /// Time when the answer arrived; absent when there was none.
    pub answered: Option<Duration>,
    /// What the request does.
    pub kind: Kind,
    /// Key that is read or written.
    pub key: Arc<str>,
    /// Position that the client was given with the answer.
    pub position: Option<Position>,
    /// What the client was told.
    pub outcome: Outcome,
    /// Mark that was sent in the request and has to come back in the answer.
    pub mark: Option<Arc<str>>,
    /// Mark in the answer.
    pub answer_mark: Option<Arc<str>>,
}

impl Operation {
    /// A write that was not answered.
    pub fn write(session: &str, workspace: &str, key: &str, value: &str, sent: Duration) -> Self {
        Self::new(session, workspace, key, Kind::Write { value: Arc::from(value) }, sent)
    }

    /// A read of fresh data that was not answered.
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

    /// Sets the answer.
    #[must_use]
    pub fn answered(mut self, at: Duration, outcome: Outcome) -> Self {
        self.answered = Some(at);
        self.outcome = outcome;
        self
    }

    /// Sets the values that a read returned.
    #[must_use]
    pub fn values(mut self, found: &[&str]) -> Self {
        if let Kind::Read { values, .. } = &mut self.kind {
            *values = found.iter().map(|value| Arc::from(*value)).collect();
        }
        self
    }

    /// Lets a read return data that may be stale.
    #[must_use]
    pub const fn stale(mut self) -> Self {
        if let Kind::Read { stale, .. } = &mut self.kind {
            *stale = true;
        }
        self
    }

    /// Sets the position that came with the answer.
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

    /// The value of a write.
    pub fn written_value(&self) -> Option<&Arc<str>> {
        match &self.kind {
            Kind::Write { value } => Some(value),
            Kind::Read { .. } => None,
        }
    }

    /// Whether the request has certainly used up a part of its workspace's rate.
    pub(crate) const fn is_admitted(&self) -> bool {
        matches!(self.outcome, Outcome::Done)
    }
}
