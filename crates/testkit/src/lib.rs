//! Test tools for the proxy: a TCP relay that injects faults, a consistency checker for client histories, child
//! processes of a binary under test, and scripted scenarios for the coordination components.
//!
//! # Example
//!
//! ```
//! use std::net::TcpListener;
//!
//! use hibiscusladder_testkit::fault_proxy::FaultProxy;
//!
//! let target = TcpListener::bind("127.0.0.1:0")?;
//! let proxy = FaultProxy::start(target.local_addr()?)?;
//! proxy.change(|faults| faults.freeze = true);
//! assert!(proxy.faults().freeze);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod fault_proxy;
pub mod history;
pub mod ports;
pub mod process;
pub mod scenario;
