//! Description of a request, by which an instance routes, admits and runs it.

use std::{sync::Arc, time::Duration};

use crate::{
    name::{Database, KeyId, Workspace},
    position::Position,
};

/// How a statement may be routed and whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StatementClass {
    /// Reads data and must see the session's own writes.
    Read,
    /// Reads data that may be stale up to an age.
    StaleRead {
        /// Largest age of the data.
        max_age: Duration,
    },
    /// May write; includes every statement that could not be parsed.
    Write,
    /// Writes to a table whose writes may not be repeated without a request id.
    UnrepeatableWrite,
}

impl StatementClass {
    /// Whether the statement has to run on the primary.
    pub const fn needs_primary(self) -> bool {
        matches!(self, Self::Write | Self::UnrepeatableWrite)
    }
}

/// Description of a request, which instances forward together with the client's messages.
///
/// It never contains the secret of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Workspace that the key belongs to.
    pub workspace: Workspace,
    /// Database that the client connected to.
    pub database: Database,
    /// Public part of the client's key; `None` on a route that allows reads without a key.
    pub key: Option<KeyId>,
    /// Text by which the client names the write, so that it is executed at most once; `None` when the client set none.
    pub request_id: Option<Arc<str>>,
    /// Class of the strictest statement in the batch.
    pub class: StatementClass,
    /// Position that the data of the answer has to include; `None` without a requirement.
    pub position: Option<Position>,
    /// Time left until the client's deadline.
    pub remaining: Duration,
    /// Revision of the configuration with which the request was authorised.
    pub revision: u64,
    /// W3C trace context, empty when the request is not traced.
    pub trace_parent: Arc<str>,
}
