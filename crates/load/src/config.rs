//! Description of a run as a TOML file.

use std::{str::FromStr, time::Duration};

use serde::Deserialize;

use crate::error::LoadError;

/// Longest run, so that load always ends by itself.
pub const MAX_RUN: Duration = Duration::from_secs(3600);

/// Everything that a run needs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadConfig {
    /// Length, targets and seed.
    pub run: RunConfig,
    /// Workspaces that offer load.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspaceLoad>,
    /// Faults on a timetable.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultConfig>,
}

/// Length, targets and seed of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunConfig {
    /// Seconds of load.
    pub seconds: u64,
    /// Entry instances as `host:port`; sessions roam over them.
    pub targets: Vec<String>,
    /// Seed of the random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Milliseconds after which an unanswered statement counts as failed.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Admin addresses of the emulated databases, for the share of reads on replicas.
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
    /// Key that is sent as the password.
    pub key: String,
    /// Concurrent sessions.
    pub sessions: u32,
    /// Requests per second that all its sessions offer together.
    pub offered_rate: f64,
    /// Requests per second that the contract promises.
    pub contract_rate: f64,
    /// Requests at once that the contract promises.
    pub contract_burst: f64,
    /// Shares of the kinds of request.
    #[serde(default)]
    pub mix: Mix,
    /// A session moves to another target after this many requests; zero keeps it.
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

/// One HTTP request to an emulator's admin address at a point of the run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultConfig {
    /// Milliseconds after the start of load.
    pub at_ms: u64,
    /// Admin address as `host:port`.
    pub address: String,
    /// Path of the request, such as `/admin/members/m1`.
    pub path: String,
    /// JSON body.
    pub body: String,
}

impl FromStr for LoadConfig {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let cfg: Self = toml::from_str(text)?;
        cfg.check()?;
        Ok(cfg)
    }
}

impl LoadConfig {
    /// Length of the run.
    pub const fn length(&self) -> Duration {
        Duration::from_secs(self.run.seconds)
    }

    fn check(&self) -> Result<(), LoadError> {
        let length = self.length();
        if length.is_zero() || length > MAX_RUN {
            return Err(value(
                "run.seconds",
                self.run.seconds.to_string(),
                "use 1 to 3600 seconds",
            ));
        }
        if self.run.targets.is_empty() {
            return Err(value("run.targets", "empty".to_owned(), "name at least one `host:port`"));
        }
        if let Some(target) = self.addresses().find(|address| !is_loopback(address)) {
            return Err(value(
                "run.targets",
                target.to_owned(),
                "use a loopback address such as 127.0.0.1:6432",
            ));
        }
        self.workspaces.iter().try_for_each(WorkspaceLoad::check)
    }

    fn addresses(&self) -> impl Iterator<Item = &String> {
        let faults = self.faults.iter().map(|fault| &fault.address);
        self.run.targets.iter().chain(&self.run.database_admin).chain(faults)
    }
}

impl WorkspaceLoad {
    fn check(&self) -> Result<(), LoadError> {
        if self.sessions == 0 {
            return Err(value("workspace.sessions", "0".to_owned(), "use at least one session"));
        }
        let rates = [self.offered_rate, self.contract_rate, self.contract_burst];
        if rates.iter().any(|rate| !rate.is_finite() || *rate <= 0.0) {
            return Err(value("workspace rates", format!("{rates:?}"), "use positive numbers"));
        }
        if self.mix.read + self.mix.stale_read + self.mix.write == 0 {
            return Err(value(
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

const fn value(key: &'static str, problem: String, remedy: &'static str) -> LoadError {
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
