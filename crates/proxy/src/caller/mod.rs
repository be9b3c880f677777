//! Client side of the proxy.

pub mod frame;
