//! The daemon of the proxy: client side, forwarding between instances, upstream pools and control tasks.

pub mod caller;
pub mod classify;
