//! The configuration: routes, groups, workspaces and their keys.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use hibiscusladder_core::{
    name::{Database, Group, Region, Workspace},
    share::Limits,
};
use serde::{Deserialize, Serialize};

/// Consistency of the reads of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// A read sees every commit that was acknowledged before it arrived.
    Primary,
    /// A read may miss commits that were acknowledged within the given time before it arrived.
    Bounded(Duration),
    /// Like `Bounded`, but a read sees every commit of its own session.
    ReadYourWrites(Duration),
}

impl Consistency {
    /// Largest age of the data that a read may see; zero when it has to see every acknowledged commit.
    pub const fn max_age(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded(age) | Self::ReadYourWrites(age) => age,
        }
    }
}

/// Route of the requests for one database.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name under which callers connect.
    pub database: Database,
    /// Group whose members serve the database.
    pub group: Group,
    /// Consistency of its reads.
    pub consistency: Consistency,
    /// Time limit of a single statement.
    pub statement_timeout: Duration,
    /// Time within which an operation is to be answered.
    #[serde(rename = "target")]
    pub target_latency: Duration,
    /// Whether callers without a valid key are served too.
    pub public: bool,
    /// Urgency of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Regions in which its requests may run; empty when all are allowed.
    pub allowed_regions: BTreeSet<Region>,
}

/// Limits of a group's members.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GroupLimits {
    /// Connections that a member accepts from all clients together.
    pub max_connections: usize,
    /// Limit of a member that has just started; `None` when it takes requests as any other.
    pub cold: Option<ColdLimit>,
}

/// Requests that a member may get while it is cold, because its start is not long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Time from its start for which a member is cold.
    pub duration: Duration,
    /// Requests per second that a cold member may get from all instances together.
    pub rate: f64,
}

/// One version of the whole configuration.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Version, which grows with each change of the configuration.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<Database, Route>,
    /// Groups by name.
    pub groups: BTreeMap<Group, GroupLimits>,
    /// Contracts by workspace.
    pub workspaces: BTreeMap<Workspace, Contract>,
    /// Workspace of each key.
    pub keys: HashMap<Box<str>, Workspace>,
    /// Time after which an idle transaction may be ended.
    pub transaction_idle: Duration,
}

/// Contract of a workspace, which holds over all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Contract {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may be admitted at once.
    pub burst: f64,
    /// Urgency of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Regions in which its requests may run; empty when all are allowed.
    pub allowed_regions: BTreeSet<Region>,
}

impl Contract {
    /// Rate and burst.
    pub const fn limits(&self) -> Limits {
        Limits { rate: self.rate, capacity: self.burst }
    }
}

impl fmt::Debug for Directory {
    /// Prints the numbers of entries, and no keys.
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
