//! Settings of an instance, read from a TOML file.
//!
//! Every fault in a file is reported at once, with its line and a remedy. Unknown keys are faults, so a
//! misspelt name cannot silently leave a default in force.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_proxy::settings::Settings;
//!
//! let faults = Settings::parse("proxy.toml", "[instance]\nid = 7\n").unwrap_err();
//! assert!(faults.errors().iter().any(|fault| fault.line() == 2));
//! ```

mod duration;
mod error;
mod policy;
mod reader;

use std::{net::SocketAddr, path::Path, path::PathBuf, time::Duration};

use hibiscusladder_core::name::{DataCentre, InstanceId};

use self::reader::Reader;
pub use self::{
    duration::{ParseDurationError, duration_text, parse_duration},
    error::{SettingsError, SettingsErrors},
    policy::{LimitPolicy, Policy, QueuePolicy, ReadPolicy},
};

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name and addresses of the instance.
    pub instance: InstanceSettings,
    /// Platform service.
    pub platform: PlatformSettings,
    /// Data centres and the regions they belong to.
    pub topology: Vec<DataCentreSettings>,
    /// Bounds on memory and connections.
    pub limits: Limits,
    /// Time bounds.
    pub times: Times,
    /// Policies, which differ from the default only in measurements.
    pub policy: Policy,
    /// Certificate for client connections; absent when they are not encrypted.
    pub tls: Option<TlsSettings>,
    /// URL to which traces are sent as OTLP over HTTP.
    pub otlp: Option<String>,
    /// Address to which metrics are sent in the statsd format.
    pub statsd: Option<SocketAddr>,
    /// Credentials for the upstreams.
    pub upstream: UpstreamSettings,
    /// Least severe level of log lines.
    pub log: LogLevel,
}

/// Name and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub rpc: SocketAddr,
    /// Address for the health check.
    pub health: SocketAddr,
    /// Addresses of other instances to start from when the platform is away.
    pub seeds: Vec<SocketAddr>,
}

/// Where the platform service is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address as `host:port`, from a URL that starts with `http://`.
    pub address: String,
}

/// A data centre with its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSettings {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Name of the region.
    pub region: String,
}

/// Bounds on memory and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Client connections that are held at a time.
    pub client_connections: u32,
    /// Largest batch of client messages in bytes.
    pub batch_bytes: u32,
    /// Requests that wait in one member's queue for one workspace.
    pub queue_length: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { client_connections: 4000, batch_bytes: 1 << 20, queue_length: 256 }
    }
}

/// Time bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Times {
    /// Age of the proof of freshness past which the configuration is in doubt.
    pub max_config_age: Duration,
    /// Longest wait for a slot.
    pub queue_wait: Duration,
    /// Longest wait for a token.
    pub admit_wait: Duration,
    /// Longest wait for a replica before a read goes to the primary.
    pub replica_wait: Duration,
    /// Longest idle time inside a transaction.
    pub idle_in_transaction: Duration,
    /// Silence of an upstream after which a statement is checked through a new connection.
    pub silence_bound: Duration,
    /// Longest time for which an answer waits for the gate.
    pub gate_wait: Duration,
    /// Longest time of one statement.
    pub statement: Duration,
    /// Longest time of a graceful shutdown.
    pub drain_time: Duration,
    /// Longest time of one call to the platform, without the wait of a watch.
    pub platform_call: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            max_config_age: Duration::from_secs(5),
            queue_wait: Duration::from_secs(2),
            admit_wait: Duration::from_millis(500),
            replica_wait: Duration::from_millis(50),
            idle_in_transaction: Duration::from_secs(5),
            silence_bound: Duration::from_secs(3),
            gate_wait: Duration::from_secs(2),
            statement: Duration::from_secs(30),
            drain_time: Duration::from_secs(20),
            platform_call: Duration::from_secs(2),
        }
    }
}

/// Certificate for client connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// File with the certificate chain in PEM form.
    pub cert: PathBuf,
    /// File with the private key in PEM form.
    pub key: PathBuf,
}

/// Credentials for the upstreams.
#[derive(Clone, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

impl std::fmt::Debug for UpstreamSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamSettings")
            .field("user", &self.user)
            .field("password", &"redacted")
            .finish()
    }
}

/// Least severe level of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Also faults that the instance deals with.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single steps.
    Debug,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file, or the one that it cannot be read.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(SettingsErrors::unreadable(&file, &error)),
        }
    }

    /// Checks the text of a file; `file` is used in messages only.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        Reader::new(file, text).settings()
    }

    /// Region of `data_centre`, when the topology names it.
    pub fn region(&self, data_centre: &DataCentre) -> Option<&str> {
        self.topology
            .iter()
            .find(|entry| entry.data_centre == *data_centre)
            .map(|entry| entry.region.as_str())
    }
}
