//! What instances tell each other about themselves and others.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    name::{DataCentre, Database, InstanceId, MemberId},
    position::{Position, Term},
};

/// Whether an instance takes part, in the order in which reports of one incarnation outrank each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum InstanceState {
    /// Takes part.
    #[default]
    Live,
    /// Silent for a short time; not chosen as home.
    Suspected,
    /// Shuts down; not chosen as home.
    Leaving,
    /// Silent for a long time, or gone.
    Dead,
}

impl fmt::Display for InstanceState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// One instance as it is known to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceInfo {
    /// The instance.
    pub id: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address for other instances as `host:port`.
    pub rpc: Arc<str>,
    /// Its state.
    pub state: InstanceState,
    /// Raised by the instance itself to refute a report about it.
    pub incarnation: u64,
}

impl InstanceInfo {
    /// Creates the description of a live instance.
    pub fn new(id: &str, data_centre: &str, rpc: &str) -> Self {
        Self {
            id: InstanceId::new(id),
            data_centre: DataCentre::new(data_centre),
            rpc: Arc::from(rpc),
            state: InstanceState::Live,
            incarnation: 0,
        }
    }

    /// Whether this report outranks `other` about the same instance.
    pub(super) fn outranks(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// Term and primary of a database as an instance knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermInfo {
    /// The database.
    pub database: Database,
    /// Newest term.
    pub term: Term,
    /// Primary of the term, when known.
    pub primary: Option<MemberId>,
    /// Position at which the term began, when known.
    pub term_start: Option<Position>,
}

/// Message between neighbours.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sends it.
    pub sender: InstanceInfo,
    /// Configuration revision of the sender.
    pub revision: u64,
    /// Age of the proof that the revision was the newest; absent without a proof.
    pub proof_age: Option<Duration>,
    /// Recent reports about instances.
    pub recent: Vec<InstanceInfo>,
    /// Terms of databases.
    pub terms: Vec<TermInfo>,
}

impl Heartbeat {
    /// Creates a heartbeat that tells nothing but the sender.
    pub const fn new(sender: InstanceInfo) -> Self {
        Self { sender, revision: 0, proof_age: None, recent: Vec::new(), terms: Vec::new() }
    }
}
