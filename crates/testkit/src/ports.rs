//! Ports for processes that cannot choose a free one themselves.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_testkit::ports::free_port;
//!
//! assert_ne!(free_port()?, free_port()?);
//! # Ok::<(), std::io::Error>(())
//! ```

use std::{
    io,
    net::TcpListener,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// First port that is handed out.
const FIRST: u16 = 12_000;
/// Number of ports that are handed out.
///
/// They lie below 32768, where Linux begins to choose ports for outgoing connections and for listeners that ask for
/// any port. A port from that range may be taken by either before the process under test binds it.
const COUNT: u16 = 20_000;
/// Distance between the first ports of processes with successive ids, so that their tests rarely meet.
const STRIDE: u32 = 61;

/// Ports that this process has looked at.
static LOOKED_AT: AtomicU32 = AtomicU32::new(0);

/// A port of loopback that nobody listens on, and that this process has not handed out before.
///
/// # Errors
///
/// Returns an error when all ports are in use.
pub fn free_port() -> io::Result<u16> {
    let start = process::id().wrapping_mul(STRIDE);
    for _ in 0..COUNT {
        let next = start.wrapping_add(LOOKED_AT.fetch_add(1, Ordering::Relaxed));
        let offset = u16::try_from(next % u32::from(COUNT)).unwrap_or_default();
        let port = FIRST + offset;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port between 12000 and 32000 is free"))
}
