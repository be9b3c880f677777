//! Heartbeats, with which instances exchange their own state and reports on other instances.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    name::{DataCentre, Database, InstanceId, MemberId},
    position::{Position, Term},
};

/// State of an instance. Of two reports of one incarnation, the one with the later variant outranks the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum InstanceState {
    /// Running normally; may be chosen as home.
    #[default]
    Live,
    /// No message for a short time, or a connection to it failed; not chosen as home.
    Suspected,
    /// Shutting down; not chosen as home.
    Leaving,
    /// No message for a long time, or stopped.
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

/// Report on an instance: identity, address and state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceInfo {
    /// Identifier, unique in the fleet.
    pub id: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address of the instance for calls by other instances, as `host:port`.
    pub rpc: Arc<str>,
    /// State as far as the reporting instance knows it.
    pub state: InstanceState,
    /// Number that only the instance itself increments, to refute a report about it.
    pub incarnation: u64,
}

impl InstanceInfo {
    /// Creates a report on a live instance, with incarnation 0.
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

/// Newest term and primary of a database that an instance has learned of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermInfo {
    /// Database whose group has the term.
    pub database: Database,
    /// Newest known term.
    pub term: Term,
    /// Primary of the term; `None` when unknown.
    pub primary: Option<MemberId>,
    /// Position at which the term began; `None` when unknown.
    pub term_start: Option<Position>,
}

/// Message that neighbours exchange periodically.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Instance that sends the heartbeat.
    pub sender: InstanceInfo,
    /// Configuration revision of the sender.
    pub revision: u64,
    /// Age of the proof that the revision was the newest; `None` without a proof.
    pub proof_age: Option<Duration>,
    /// Recent reports about other instances, and about the receiver when the sender does not know it as live.
    pub recent: Vec<InstanceInfo>,
    /// Newest known terms of databases.
    pub terms: Vec<TermInfo>,
}

impl Heartbeat {
    /// Creates a heartbeat that describes only the sender.
    pub const fn new(sender: InstanceInfo) -> Self {
        Self { sender, revision: 0, proof_age: None, recent: Vec::new(), terms: Vec::new() }
    }
}
