//! Size of a deployment, read from a TOML file.

use serde::Deserialize;

/// Instances, databases and workspaces of a deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Deployment {
    /// Name in the table of results.
    pub(crate) name: String,
    /// Seconds of load in each run.
    pub(crate) seconds: u64,
    /// Statements of clients that a member runs at a time.
    pub(crate) slots: usize,
    /// Connections that a member accepts.
    pub(crate) connections: usize,
    /// Time for which a statement holds its slot, in microseconds.
    pub(crate) statement_us: u64,
    /// Lag of replicas in milliseconds.
    pub(crate) lag_ms: u64,
    /// Data centres.
    #[serde(rename = "data_centre")]
    pub(crate) data_centres: Vec<Place>,
    /// Data centres of the members of every database; empty for one member in each data centre.
    #[serde(default)]
    pub(crate) member_centres: Vec<String>,
    /// Names of the databases.
    pub(crate) databases: Vec<String>,
    /// Workspaces.
    #[serde(rename = "workspace")]
    pub(crate) workspaces: Vec<WorkspaceSize>,
}

impl Deployment {
    /// Data centres of the members of a database, in the order of the members.
    pub(crate) fn member_centres(&self) -> Vec<&str> {
        if self.member_centres.is_empty() {
            return self.data_centres.iter().map(|place| place.name.as_str()).collect();
        }
        self.member_centres.iter().map(String::as_str).collect()
    }
}

/// A data centre and its instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Place {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) instances: usize,
}

/// Contract and load of a workspace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceSize {
    pub(crate) name: String,
    pub(crate) database: String,
    /// Requests per second of the contract.
    pub(crate) rate: f64,
    /// Burst of the contract.
    pub(crate) burst: f64,
    /// Requests per second that are offered when all is calm.
    pub(crate) offered: f64,
    /// Concurrent sessions.
    pub(crate) sessions: u32,
    /// Whether it is the one that floods.
    #[serde(default)]
    pub(crate) floods: bool,
}
