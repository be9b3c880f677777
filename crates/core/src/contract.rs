//! Contracts: what a workspace is promised.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{Database, KeyId, Workspace};

/// Everything that a workspace is promised, as one object that changes as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Workspace that the contract is for.
    pub workspace: Workspace,
    /// Databases that it may use; the members of the first one hold its share of the rate.
    pub databases: Vec<Database>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Requests that may come at once over all instances.
    pub burst: f64,
    /// Weight in the fair queue, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys that may act for the workspace.
    #[serde(default)]
    pub keys: Vec<KeyId>,
    /// Rules for statements on named tables; the first that matches counts.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A rule for statements that use only the named tables.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Tables that the rule covers, in lower case.
    pub tables: Vec<Arc<str>>,
    /// What the rule allows.
    pub rule: RouteRule,
}

/// What a route allows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteRule {
    /// Reads may be stale up to this age in milliseconds.
    StaleRead {
        /// Largest age in milliseconds.
        max_age_ms: u64,
    },
    /// Writes may not be repeated without a request id.
    Unrepeatable,
    /// Reads are open to callers without a key.
    OpenRead {
        /// Largest age in milliseconds.
        max_age_ms: u64,
    },
}

const fn default_weight() -> u32 {
    1
}
