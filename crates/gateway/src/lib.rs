//! The gateway: a proxy whose instances connect directly to the members of synchronously replicated groups.
//!
//! Instances share a store and exchange messages with their demand and the state of the groups. The traits of
//! [`adapter`] connect a platform with its protocols. Decisions that have to be correct whatever the network does are
//! made in `hibiscusladder-core`.
//!
//! In a small fleet, called flat, all instances are hubs. In a larger one, a few instances of each region are hubs.
//! Hubs watch the store, poll the members and send what they learn to the other instances, their followers. Where a member
//! does not accept enough connections for all instances to reuse theirs, a few of them, its holders, have the connections
//! and run calls for the others.
//!
//! The path of a request is [`session`] → [`operation`] → [`reads`] or [`writes`] → [`pool`] → member.

pub mod acquisition;
pub mod adapter;
pub mod admission;
pub mod channel;
pub mod claim_table;
pub mod cold;
pub mod control;
pub mod directory;
pub mod evacuations;
pub mod events;
pub mod failover_claim;
pub mod group_logs;
pub mod group_state;
pub mod holder;
pub mod in_flight;
pub mod lease;
pub mod ledger;
pub mod listener;
pub mod member_path;
pub mod member_table;
pub mod message;
pub mod messenger;
pub mod metrics;
pub mod model;
pub mod monitor;
pub mod node;
pub mod operation;
pub mod outliers;
pub mod pace;
pub mod peers;
pub mod pool;
pub mod promotion_records;
pub mod reads;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod serve;
pub mod service_time;
pub mod session;
pub mod settings;
pub mod slot_order;
pub mod slot_queue;
pub mod snapshot;
pub mod status_page;
pub mod store_era;
pub mod succession;
pub mod sync;
pub mod tasks;
pub mod token_order;
pub mod transaction;
pub mod tunnel;
pub mod urgency;
pub mod writes;
