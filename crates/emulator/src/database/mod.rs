//! Emulator of database groups, whose members clients reach over the PostgreSQL wire protocol.
//!
//! Each member keeps its data in in-memory SQLite databases and a log of committed transactions, which replicas
//! copy with a lag. Section 5.2 of `docs/design.md` lists the control functions. All members run in one process.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_emulator::database::{Group, GroupConfig};
//!
//! let cfg = GroupConfig::single("clubes", &["c1", "c2", "c3"]);
//! let group = Group::start(cfg)?;
//! assert_eq!(group.addresses().len(), 3);
//! group.shutdown();
//! # Ok::<(), std::io::Error>(())
//! ```

mod admin;
mod config;
mod control;
mod error;
mod group;
mod infer;
mod log;
mod member;
mod replication;
mod server;
mod session;
mod sql;
mod sqlite;
mod transaction;
mod value;
mod wire;

pub use self::{
    admin::{MemberFaults, MemberReport},
    config::{DatabaseConfig, GroupConfig, MemberConfig},
    group::{Group, GroupHandle},
    log::Role,
};
