//! The gateway: a proxy whose instances connect directly to the members of synchronously replicated groups.
//!
//! Instances share nothing but a store, and tell each other their demand. What a particular platform speaks comes in
//! through the traits of [`adapter`]; decisions that must hold whatever the network does are in `hibiscusladder-core`.
//!
//! The path of a request is [`session`] → [`operation`] → [`reads`] or [`writes`] → [`pool`] → member.

pub mod adapter;
pub mod admission;
pub mod channel;
pub mod control;
pub mod directory;
pub mod failover_claim;
pub mod events;
pub mod slot_queue;
pub mod holder;
pub mod lease;
pub mod message;
pub mod messenger;
pub mod metrics;
pub mod model;
pub mod monitor;
pub mod node;
pub mod operation;
pub mod peers;
pub mod pool;
pub mod reads;
pub mod member_table;
pub mod serve;
pub mod session;
pub mod settings;
pub mod snapshot;
pub mod status_page;
pub mod sync;
pub mod in_flight;
pub mod transaction;
pub mod tunnel;
pub mod writes;
