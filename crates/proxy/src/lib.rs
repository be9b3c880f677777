//! The daemon: client side, forwarding, upstream pools, platform client and control tasks.

pub mod caller;
pub mod classify;
pub mod clock;
pub mod metrics;
pub mod node;
pub mod settings;
pub mod upstream;
