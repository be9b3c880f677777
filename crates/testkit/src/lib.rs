//! Tools for tests of the proxy: a relay with faults, a checker of client histories, child processes and scripted
//! scenarios of the coordination parts.
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
