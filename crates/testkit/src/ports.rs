//! Free loopback ports for processes under test that cannot choose one themselves.
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

/// First port of the range from which ports are handed out.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
///
/// The range lies below 32768, the default start of the ephemeral ports of Linux. Outgoing connections and listeners
/// on port 0 get ephemeral ports, so such a port could be taken before the process under test binds it.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports that processes with successive ids try, so that concurrent tests rarely try the
/// same ports.
const PROCESS_STRIDE: u32 = 61;

/// Number of ports that this process has tried.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback port that no process listens on and that this process has not handed out before.
///
/// # Errors
///
/// Returns an error when all ports are in use.
pub fn free_port() -> io::Result<u16> {
    let start = process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let candidate = start.wrapping_add(TRIED_PORTS.fetch_add(1, Ordering::Relaxed));
        let offset = u16::try_from(candidate % u32::from(PORT_COUNT)).unwrap_or_default();
        let port = FIRST_PORT + offset;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no port between 12000 and 32000 is free"))
}
