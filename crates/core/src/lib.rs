//! Coordination components for a database proxy, without sockets, threads or a runtime.
//!
//! The components take events and the current time and return actions, so that they can be embedded in another
//! program or driven step by step by a test.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::prelude::*;
//!
//! let before = Position::new(Term(1), Lsn(90));
//! let after = Position::new(Term(2), Lsn(10));
//! assert!(before < after);
//! ```

pub mod at_most_once;
pub mod bucket;
pub mod budget;
pub mod catch_up;
pub mod clock;
pub mod cold;
pub mod config;
pub mod connection_limit;
pub mod contract;
pub mod database;
pub mod evacuation;
pub mod first_configuration;
pub mod holder_reach;
pub mod home_lease;
pub mod home_region;
pub mod key;
pub mod member_report;
pub mod membership;
pub mod name;
pub mod outcome;
pub mod outlier;
pub mod pace;
pub mod position;
pub mod prelude;
mod priority;
pub mod promotion;
pub mod queue;
pub mod quorum;
pub mod read_index;
pub mod read_route;
pub mod request;
pub mod retry;
pub mod return_time;
pub mod roster;
pub mod session;
pub mod share;
pub mod shutdown;
pub mod store_era;
pub mod store_version;
pub mod succession;
pub mod sync_group;
pub mod term_history;
pub mod topology;
