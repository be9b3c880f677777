//! Whether a statement may have reached an upstream.

use crate::outcome::{Execution, Refusal, RefusalKind};

/// Whether a statement may have reached an upstream. It only moves from `NotSent` to `MaybeSent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum SendState {
    /// No byte of the statement was handed to a connection to an upstream.
    #[default]
    NotSent,
    /// At least one byte was handed to a connection.
    MaybeSent,
}

impl SendState {
    /// The state to record immediately before the first byte is handed to the connection.
    #[must_use]
    pub const fn sending(self) -> Self {
        Self::MaybeSent
    }

    /// Whether the statement ran, as reported to the client when it fails without an answer of the upstream.
    pub const fn execution(self) -> Execution {
        match self {
            Self::NotSent => Execution::NotRun,
            Self::MaybeSent => Execution::Unknown,
        }
    }

    /// The refusal of a statement that failed without an answer of the upstream.
    pub const fn refusal(self, kind: RefusalKind) -> Refusal {
        match self {
            Self::NotSent => Refusal::not_run(kind),
            Self::MaybeSent => Refusal::unknown(kind),
        }
    }
}
