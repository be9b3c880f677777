//! Emulator of the platform: a store of versioned objects with watches, and a list of instances that lags behind
//! their registrations.
//!
//! The calls are those of section 5.1 of `docs/design.md`. `PUT /admin/faults` replaces the faults; tests in the same
//! process can also do so through the handle.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_emulator::platform::{Platform, PlatformConfig, PlatformFaults};
//!
//! let platform = Platform::start(PlatformConfig::default())?;
//! platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
//! assert_eq!(platform.calls().writes, 0);
//! # Ok::<(), std::io::Error>(())
//! ```

mod config;
mod instances;
mod service;
mod store;

pub use self::{
    config::{OutageMode, PlatformConfig, PlatformFaults},
    service::CallCounts,
};

use std::{io, net::SocketAddr, sync::Arc};

use futures::FutureExt;

use self::service::Service;
use crate::{http, runtime::Runtime};

/// Number of threads that serve the platform's calls.
const THREADS: usize = 2;

/// Starts the platform emulator.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Binds the address in `cfg` and serves the platform until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be bound or a thread cannot be started.
    pub fn start(cfg: PlatformConfig) -> io::Result<PlatformHandle> {
        let listener = http::bind(&cfg.listen)?;
        let address = listener.local_addr()?;
        let runtime = Runtime::start("platform", THREADS)?;
        let service = Arc::new(Service::new(cfg));
        runtime.spawn(http::serve(listener, Arc::clone(&service), runtime.spawner()).boxed());
        runtime.spawn(Service::check_health(Arc::clone(&service)).boxed());
        spdlog::info!("emulator: platform listens on {address}");
        Ok(PlatformHandle { address, service, runtime })
    }
}

/// Handle of a running platform emulator, which stops when the handle is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    service: Arc<Service>,
    runtime: Runtime,
}

impl PlatformHandle {
    /// Address on which the platform listens, with the port that was bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base of the platform's URLs, such as `http://127.0.0.1:4711`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.service.set_faults(faults);
    }

    /// Number of calls since the start, without those of the admin interface.
    pub fn calls(&self) -> CallCounts {
        self.service.calls()
    }

    /// Stops the platform and waits until its threads have ended.
    pub fn shutdown(self) {
        drop(self.runtime);
    }
}
