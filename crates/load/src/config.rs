//! Configuration of a run, read from a TOML file.

use std::{str::FromStr, time::Duration};

use serde::Deserialize;

use crate::error::LoadError;

/// Longest permitted run, so that load always ends by itself.
pub const MAX_RUN_DURATION: Duration = Duration::from_secs(3600);

/// Configuration of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Settings for the run as a whole, the table `[run]`.
    pub run: RunConfig,
    /// Workspaces that offer load.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspaceLoad>,
    /// Scheduled faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultConfig>,
}

/// Duration, targets and seed of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunConfig {
    /// Duration of the load in seconds, from 1 to 3600.
    pub seconds: u64,
    /// Addresses of the instances to which sessions connect in turn, as `host:port` on loopback.
    pub targets: Vec<String>,
    /// Seed of the times between requests and of the choice of their kinds.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time in milliseconds after which a connection attempt or a statement without an answer counts as failed.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Admin addresses of the emulated databases, which count the reads on replicas; without them the share of reads on
    /// replicas is not measured.
    #[serde(default)]
    pub database_admin: Vec<String>,
}

/// Load of one workspace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub name: String,
    /// Database to connect to.
    pub database: String,
    /// Key of the workspace, sent as the password.
    pub key: String,
    /// Number of concurrent sessions, at least 1.
    pub sessions: u32,
    /// Requests per second of all its sessions together.
    pub offered_rate: f64,
    /// Rate of the contract in requests per second.
    pub contract_rate: f64,
    /// Burst of the contract in requests.
    pub contract_burst: f64,
    /// Relative shares of the kinds of request.
    #[serde(default)]
    pub mix: Mix,
    /// Number of requests after which a session moves to the next target; 0 disables these moves.
    #[serde(default = "default_roam")]
    pub roam_after: u32,
}

/// Relative shares of the kinds of request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Reads that must see the session's own writes.
    pub read: u32,
    /// Reads of a table whose route allows stale data.
    pub stale_read: u32,
    /// Writes with a request id.
    pub write: u32,
}

impl Default for Mix {
    fn default() -> Self {
        Self { read: 6, stale_read: 2, write: 2 }
    }
}

/// A scheduled fault: an HTTP `PUT` request to the admin address of an emulator.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultConfig {
    /// Time of the request in milliseconds after the start of load.
    pub at_ms: u64,
    /// Admin address as `host:port` on loopback.
    pub address: String,
    /// Path of the request, such as `/admin/members/m1`.
    pub path: String,
    /// JSON body of the request.
    pub body: String,
}

impl FromStr for LoadConfig {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cfg: Self = toml::from_str(text)?;
        cfg.validate()?;
        Ok(cfg)
    }
}

impl LoadConfig {
    /// Duration of the load.
    pub const fn duration(&self) -> Duration {
        Duration::from_secs(self.run.seconds)
    }

    fn validate(&self) -> Result<(), LoadError> {
        let duration = self.duration();
        if duration.is_zero() || duration > MAX_RUN_DURATION {
            return Err(value_error(
                "run.seconds",
                self.run.seconds.to_string(),
                "use 1 to 3600 seconds",
            ));
        }
        if self.run.targets.is_empty() {
            return Err(value_error(
                "run.targets",
                "empty".to_owned(),
                "name at least one `host:port`",
            ));
        }
        if let Some(target) = self.addresses().find(|address| !is_loopback(address)) {
            return Err(value_error(
                "run.targets",
                target.to_owned(),
                "use a loopback address such as 127.0.0.1:6432",
            ));
        }
        self.workspaces.iter().try_for_each(WorkspaceLoad::validate)
    }

    fn addresses(&self) -> impl Iterator<Item = &String> {
        let faults = self.faults.iter().map(|fault| &fault.address);
        self.run.targets.iter().chain(&self.run.database_admin).chain(faults)
    }
}

impl WorkspaceLoad {
    fn validate(&self) -> Result<(), LoadError> {
        if self.sessions == 0 {
            return Err(value_error(
                "workspace.sessions",
                "0".to_owned(),
                "use at least one session",
            ));
        }
        let rates = [self.offered_rate, self.contract_rate, self.contract_burst];
        if rates.iter().any(|rate| !rate.is_finite() || *rate <= 0.0) {
            return Err(value_error(
                "workspace rates",
                format!("{rates:?}"),
                "use positive numbers",
            ));
        }
        if self.mix.read + self.mix.stale_read + self.mix.write == 0 {
            return Err(value_error(
                "workspace.mix",
                "all zero".to_owned(),
                "give at least one kind a share",
            ));
        }
        Ok(())
    }
}

fn is_loopback(address: &str) -> bool {
    address.parse::<std::net::SocketAddr>().is_ok_and(|address| address.ip().is_loopback())
}

const fn value_error(key: &'static str, problem: String, remedy: &'static str) -> LoadError {
    LoadError::Value { key, problem, remedy }
}

const fn default_seed() -> u64 {
    1
}

const fn default_timeout_ms() -> u64 {
    10_000
}

const fn default_roam() -> u32 {
    20
}
