//! The proxy process: client sessions, request routing and forwarding between instances, connection pools to the
//! members, the platform client and the control tasks.
//!
//! [`serve`] runs an instance. The path of a request is [`caller`] → [`classify`] → [`route`] → [`home`] →
//! [`upstream`]; a request for a member whose home is another instance goes there through [`rpc`].

pub mod caller;
pub mod classify;
pub mod control;
pub mod home;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod route;
pub mod rpc;
pub mod serve;
pub mod settings;
pub mod trace;
pub mod upstream;

pub use hibiscusladder_io::clock;
