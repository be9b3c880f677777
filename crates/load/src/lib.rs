//! Load and experiment tool: runs client sessions with a configured request mix and rate, injects scheduled faults, and
//! computes the measures of the run.
//!
//! A run is described by a TOML file, executed by [`run::run`], and summarised in a [`report::Report`].
//!
//! # Example
//!
//! ```
//! use hibiscusladder_load::config::LoadConfig;
//!
//! let cfg: LoadConfig = r#"
//!     [run]
//!     seconds = 5
//!     targets = ["127.0.0.1:6432"]
//!
//!     [[workspace]]
//!     name = "club-1"
//!     database = "clubes-1"
//!     key = "hlk_id_secret"
//!     sessions = 4
//!     offered_rate = 20.0
//!     contract_rate = 25.0
//!     contract_burst = 10.0
//! "#
//! .parse()?;
//! assert_eq!(cfg.workspaces.len(), 1);
//! # Ok::<(), hibiscusladder_load::error::LoadError>(())
//! ```

pub mod client;
pub mod config;
pub mod entitlement;
pub mod error;
pub mod fault;
pub mod http;
pub mod ledger;
pub mod measure;
pub mod operation;
pub mod plot;
pub mod report;
pub mod run;
mod session;
