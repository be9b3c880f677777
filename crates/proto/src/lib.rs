//! Messages between instances: the Cap'n Proto schema, its generated code and conversions from and to core types.
//!
//! The generated module is committed, so a build needs no schema compiler. `examples/generate.rs` regenerates it.

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic, clippy::unwrap_used, clippy::use_self)]
#[allow(clippy::cast_possible_truncation)]
#[rustfmt::skip]
pub mod instance_capnp;
pub mod config;
pub mod membership;
pub mod reply;
pub mod request;
pub mod share;
