//! Decides when a process that has just started uses the configuration that it read from the store.
//!
//! A store that was restored from an older copy may contain a withdrawn key until the operator has written the configuration
//! again. A process that starts then cannot tell by itself, so it compares the version with those of the live instances first.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     first_configuration::{COMPARE_TIME, Fleet, is_confirmed},
//! };
//!
//! let start = Instant::default();
//! let fleet = Fleet { others: Some(3), heard_since: Some(start), newest: 8 };
//! let later = start.plus(COMPARE_TIME);
//! assert!(is_confirmed(8, fleet, later));
//! assert!(!is_confirmed(7, fleet, later), "another instance has a newer one");
//! ```

use std::time::Duration;

use crate::clock::Instant;

/// Time from the first message of another instance after which every live one has sent its version; instances send messages
/// every 250 ms.
pub const COMPARE_TIME: Duration = Duration::from_millis(500);

/// What a process knows about the configurations of the other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Number of other instances that are registered; `None` before the first list.
    pub others: Option<usize>,
    /// When the first message of another instance came.
    pub heard_since: Option<Instant>,
    /// Highest version of the configuration at a live instance; 0 if none has one.
    pub newest: u64,
}

/// Whether a configuration of `version` that a recently restored store contains is confirmed by the other instances.
///
/// The caller uses it as well when the time has passed in which the operator writes the configuration again.
pub fn is_confirmed(version: u64, fleet: Fleet, now: Instant) -> bool {
    let has_compared = match fleet.heard_since {
        Some(since) => now.since(since) >= COMPARE_TIME,
        None => fleet.others == Some(0),
    };
    has_compared && fleet.newest <= version
}
