//! Emulators of the systems that the proxy depends on, for tests and experiments.
//!
//! [`platform`] emulates the platform's object store and instance list over HTTP and JSON, [`database`] groups of
//! database members that speak the PostgreSQL wire protocol. Each runs on its own threads and stops when its
//! handle is dropped.
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
