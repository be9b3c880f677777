//! Settings and faults of the platform.

use serde::{Deserialize, Serialize};

/// Settings of the platform emulator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 chooses a free one.
    pub listen: String,
    /// Time that each call of the store takes, in milliseconds.
    pub latency_ms: u64,
    /// Events that a watch can resume from.
    pub kept_events: usize,
    /// Time until a change of an instance shows in the list, in milliseconds.
    pub list_lag_ms: u64,
    /// Time between two connections to an instance's health address, in milliseconds.
    pub health_interval_ms: u64,
    /// Time without an accepted health connection after which an instance is not listed, in milliseconds.
    pub health_timeout_ms: u64,
    /// Faults at the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            latency_ms: 2,
            kept_events: 10_000,
            list_lag_ms: 1_000,
            health_interval_ms: 500,
            health_timeout_ms: 5_000,
            faults: PlatformFaults::default(),
        }
    }
}

/// Faults of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether connections are accepted but no request is served.
    pub outage: bool,
    /// What happens to requests during an outage.
    pub outage_mode: OutageMode,
    /// Additional time for each request, in milliseconds.
    pub delay_ms: u64,
    /// Number of next changes that take effect and whose answers are lost.
    pub drop_answers: u64,
}

/// What happens to requests during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    /// Requests are answered with status 503.
    #[default]
    Fail,
    /// Requests are not answered; their connections close when the outage ends.
    Hang,
}
