//! Settings and faults of the platform.

use serde::{Deserialize, Serialize};

/// Settings of the platform emulator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 chooses a free one.
    pub listen: String,
    /// Delay of each call, in milliseconds.
    pub latency_ms: u64,
    /// Number of latest events that are kept; a watch that needs an older one gets status 410.
    pub kept_events: usize,
    /// Time after which a changed registration appears in the list of instances, in milliseconds.
    pub list_lag_ms: u64,
    /// Time between two checks of the health addresses, in milliseconds.
    pub health_interval_ms: u64,
    /// Time after which an instance whose health address has accepted no connection is not listed, in milliseconds.
    pub health_timeout_ms: u64,
    /// Faults that are set at the start.
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
    /// Whether no request is served, although connections are accepted; the admin interface is exempt.
    pub outage: bool,
    /// How requests fail during an outage.
    pub outage_mode: OutageMode,
    /// Delay of each call in addition to [`PlatformConfig::latency_ms`], in milliseconds.
    pub delay_ms: u64,
    /// Number of following changes that are processed but whose connections close without a response.
    pub drop_answers: u64,
}

/// How requests fail during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    /// Requests get status 503.
    #[default]
    Fail,
    /// Requests get no response; their connections close when the outage ends.
    Hang,
}
