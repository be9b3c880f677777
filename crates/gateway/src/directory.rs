//! The configuration that is in force: routes, groups, workspaces and their keys.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use hibiscusladder_core::{
    name::{Database, Group, Workspace},
    share::Limits,
};
use serde::{Deserialize, Serialize};

/// What the reads of a route may miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Nothing that was acknowledged before the read arrived.
    Primary,
    /// Only what was acknowledged within the given time before the read arrived.
    Bounded(Duration),
    /// As for `Bounded`, and nothing of the same session.
    ReadYourWrites(Duration),
}

impl Consistency {
    /// Age of the data that a read may see; zero when it has to see everything.
    pub const fn max_age(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded(age) | Self::ReadYourWrites(age) => age,
        }
    }
}

/// Where the requests for a database go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name that callers ask for.
    pub database: Database,
    /// Members that serve it.
    pub group: Group,
    /// What its reads may miss.
    pub consistency: Consistency,
    /// Longest time for a single statement.
    pub statement_timeout: Duration,
    /// Time within which an operation is to be answered.
    pub target: Duration,
    /// Whether callers need no key.
    pub public: bool,
}

/// Settings of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLimits {
    /// Connections that a member accepts from all clients together.
    pub max_connections: usize,
}

/// One version of the whole configuration.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Version, which grows with each change.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<Database, Route>,
    /// Groups by name.
    pub groups: BTreeMap<Group, GroupLimits>,
    /// Limits of the workspaces.
    pub workspaces: BTreeMap<Workspace, RateLimits>,
    /// Workspace of each key.
    pub keys: HashMap<Box<str>, Workspace>,
    /// Time after which an idle transaction may be ended.
    pub transaction_idle: Duration,
}

/// Rate and burst of a workspace over all instances, in operations.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimits {
    /// Operations per second.
    pub rate: f64,
    /// Operations at once.
    pub burst: f64,
}

impl From<RateLimits> for Limits {
    fn from(limits: RateLimits) -> Self {
        Self { rate: limits.rate, capacity: limits.burst }
    }
}

impl fmt::Debug for Directory {
    /// Shows no key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Directory")
            .field("version", &self.version)
            .field("routes", &self.routes.len())
            .field("groups", &self.groups.len())
            .field("workspaces", &self.workspaces.len())
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}
