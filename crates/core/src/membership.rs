//! Membership of the fleet: which instances are live, which is the home of a member, and which relay the configuration.
//!
//! Instances exchange heartbeats with a bounded number of neighbours and pass on recent changes of state, so the
//! work of one instance does not grow with the fleet.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     membership::{Heartbeat, InstanceInfo, Membership},
//! };
//!
//! let now = Instant::default();
//! let here = "stgo-a".into();
//! let first = InstanceInfo::new("i-1", "stgo-a", "10.0.0.1:7000");
//! let second = InstanceInfo::new("i-2", "stgo-a", "10.0.0.2:7000");
//! let mut members = Membership::new(first);
//! members.receive(&Heartbeat::new(second), now);
//! assert_eq!(members.relays(&here).len(), 2);
//!
//! // `i-2` sends nothing for longer than 1.5 s and is no longer chosen.
//! members.tick(now);
//! members.tick(now.plus(Duration::from_secs(2)));
//! let home = members.home(&"padron".into(), &"padron-1".into(), &here, &[]);
//! assert_eq!(home, Some("i-1".into()));
//! ```

mod heartbeat;
mod members;
mod rendezvous;

pub use self::{
    heartbeat::{Heartbeat, InstanceInfo, InstanceState, TermInfo},
    members::{Membership, StateChange},
    rendezvous::{highest, weight},
};
