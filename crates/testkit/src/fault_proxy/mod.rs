//! A TCP relay whose faults a test can change while connections are open.
//!
//! # Example
//!
//! ```
//! use std::{net::TcpListener, time::Duration};
//!
//! use hibiscusladder_testkit::fault_proxy::{Answers, FaultProxy, Faults};
//!
//! let target = TcpListener::bind("127.0.0.1:0")?;
//! let proxy = FaultProxy::start(target.local_addr()?)?;
//! proxy.set(Faults { delay: Duration::from_millis(20), ..Faults::default() });
//! proxy.change(|faults| faults.answers = Answers::Discard);
//! # Ok::<(), std::io::Error>(())
//! ```

mod faults;
mod relay;

pub use self::faults::{Answers, Faults};

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
};

use smol::{Executor, channel, future::FutureExt, net::TcpListener};

use self::relay::Connection;

/// A running relay; dropping it stops the relay and closes its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: channel::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl FaultProxy {
    /// Listens on a free port of loopback and relays to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be bound or the thread cannot be started.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(target));
        let (stop, stopped) = channel::bounded::<()>(1);
        let relay_shared = Arc::clone(&shared);
        let thread = thread::Builder::new().name("fault-proxy".to_owned()).spawn(move || {
            let executor = Arc::new(Executor::new());
            let accept = relay::accept(listener, relay_shared, Arc::clone(&executor));
            let stopped = async {
                // No message is ever sent; the channel is closed when the relay is dropped.
                stopped.recv().await.ok();
            };
            smol::block_on(executor.run(accept.or(stopped)));
        })?;
        Ok(Self { address, shared, stop, thread: Some(thread) })
    }

    /// Loopback address at which the relay accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Faults that are currently injected.
    pub fn faults(&self) -> Faults {
        self.shared.state().faults.clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: Faults) {
        self.change(|current| *current = faults);
    }

    /// Changes some of the faults and keeps the others.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        let mut state = self.shared.state();
        change(&mut state.faults);
        if state.faults.cut {
            state.close_all();
        }
    }

    /// Closes the connections that are open now; later connections are not affected.
    pub fn close_connections(&self) {
        self.shared.state().close_all();
    }

    /// Discards all further bytes on the connections that are open now, until they are closed; later connections are
    /// not affected.
    pub fn blackhole_connections(&self) {
        let state = self.shared.state();
        state.connections.iter().for_each(|connection| connection.blackhole());
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.state().connections.iter().filter(|connection| !connection.is_closed()).count()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has already reported it.
            thread.join().ok();
        }
    }
}

/// State shared by the handle of the relay and its connections.
#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    connections: Vec<Arc<Connection>>,
}

impl State {
    fn close_all(&mut self) {
        self.connections.drain(..).for_each(|connection| connection.close());
    }
}

impl Shared {
    fn new(target: SocketAddr) -> Self {
        let state = State { faults: Faults::default(), connections: Vec::new() };
        Self { target, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection; `None` while the `cut` fault is set.
    fn register(&self) -> Option<Arc<Connection>> {
        let mut state = self.state();
        if state.faults.cut {
            return None;
        }
        let connection = Arc::new(Connection::new());
        state.connections.retain(|connection| !connection.is_closed());
        state.connections.push(Arc::clone(&connection));
        Some(connection)
    }
}
