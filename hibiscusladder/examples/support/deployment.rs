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
    /// Statements of clients that a member runs concurrently.
    pub(crate) slots: usize,
    /// Connections that a member accepts.
    pub(crate) connections: usize,
    /// Time for which a statement holds its slot, in microseconds.
    pub(crate) statement_us: u64,
    /// Lag of replicas in milliseconds.
    pub(crate) lag_ms: u64,
    /// Data centres with their instances, in the order in which the instances are started.
    #[serde(rename = "data_centre")]
    pub(crate) data_centres: Vec<DataCentreSize>,
    /// Data centres of the members of every database; empty for one member in each data centre.
    #[serde(default)]
    pub(crate) member_centres: Vec<String>,
    /// Names of the databases.
    pub(crate) databases: Vec<String>,
    /// Contract and load of each workspace.
    #[serde(rename = "workspace")]
    pub(crate) workspaces: Vec<WorkspaceSize>,
}

impl Deployment {
    /// Data centres of the members of a database, in the order of the members.
    pub(crate) fn member_centres(&self) -> Vec<&str> {
        if self.member_centres.is_empty() {
            return self.data_centres.iter().map(|centre| centre.name.as_str()).collect();
        }
        self.member_centres.iter().map(String::as_str).collect()
    }
}

/// A data centre and its instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DataCentreSize {
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
    /// Burst of the contract, in requests.
    pub(crate) burst: f64,
    /// Requests per second that the clients offer, except while the workspace floods.
    pub(crate) offered: f64,
    /// Concurrent sessions, except while the workspace floods.
    pub(crate) sessions: u32,
    /// Whether the workspace offers far more than its rate in the condition `flood`.
    #[serde(default)]
    pub(crate) floods: bool,
}
