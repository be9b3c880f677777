//! Clients that misbehave, at gateway processes with little memory and few descriptors.
//!
//! One test runs at a time. Each checks the same four things: the process stays alive, its memory and open descriptors
//! stay under the limits of its settings, an ordinary request is answered while the clients are connected, and a message
//! of the greatest legal size is answered after they have left.

mod clients;
#[path = "../gateway/fleet.rs"]
#[allow(dead_code, reason = "the tests of the gateway use the rest")]
mod fleet;
mod limits;
mod messages;
mod peers;
mod serve;
mod slow;
#[path = "../support/mod.rs"]
mod support;
mod watched;
