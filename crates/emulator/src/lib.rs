//! Emulators of the systems outside the proxy, for tests and experiments.
//!
//! [`platform`] emulates the platform's object store and instance list over HTTP and JSON, [`database`] a group
//! of database members that speak the PostgreSQL wire protocol. Both run on threads of their own and stop when
//! their handle is dropped.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_emulator::platform::{Platform, PlatformConfig};
//!
//! let platform = Platform::start(PlatformConfig::default())?;
//! assert!(platform.url().starts_with("http://127.0.0.1:"));
//! platform.shutdown();
//! # Ok::<(), std::io::Error>(())
//! ```

mod http;
mod runtime;
pub mod database;
pub mod platform;
