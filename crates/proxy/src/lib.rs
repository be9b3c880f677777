//! The daemon: client side, forwarding, upstream pools, platform client and control tasks.

pub mod clock;
pub mod control;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod settings;
pub mod trace;
