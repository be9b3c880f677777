//! A pool with a bounded number of connections to one member.

use std::{
    ops::{Deref, DerefMut},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use smol::{
    Timer, future,
    lock::{Semaphore, SemaphoreGuardArc},
};
use thiserror::Error;

use super::{Connection, UpstreamError, connection::with_timeout};
use crate::{node::lock, settings::UpstreamSettings};

/// Longest time for the reset of a session, after which the connection is closed, and for ending one backend.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of attempts to end the backends of closed connections, and the wait after each failed one.
const TERMINATE_ATTEMPTS: usize = 5;
const TERMINATE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// No connection could be acquired; nothing was sent on behalf of the caller.
#[derive(Debug, Error)]
pub enum PoolError {
    /// The member could not be reached or rejected the connection.
    #[error("no connection to the member: {0}")]
    Connect(#[from] UpstreamError),
    /// All connections stayed in use for the given time.
    #[error("all connections to the member stayed in use for {} ms", .0.as_millis())]
    Exhausted(Duration),
}

/// A pool of connections to one member; clones share the connections.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: String,
    database: String,
    credentials: UpstreamSettings,
    application: String,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<IdleConnection>>,
    /// Incremented by [`Pool::clear`]; connections of an older generation do not return to the pool.
    generation: AtomicU64,
    /// Number of open connections, idle or in use.
    open: AtomicUsize,
    /// Whether a task of [`Pool::open_in_advance`] runs.
    opening_in_advance: AtomicBool,
    /// Process ids of backends whose connections were closed and that are still to be ended.
    closed_backends: Mutex<Vec<i32>>,
    /// Whether a task that ends backends runs.
    terminating: AtomicBool,
}

impl Shared {
    async fn connect(&self) -> Result<Connection, UpstreamError> {
        Connection::open(&self.address, &self.database, &self.credentials, &self.application).await
    }
}

/// A connection that counts as open until it is dropped; its backend is then ended.
#[derive(Debug)]
pub(crate) struct CountedConnection {
    connection: Connection,
    shared: Arc<Shared>,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
        // When packets to the member are lost, it does not detect that the connection was closed: the backend would
        // keep its locks and count against the connection limit.
        let pid = self.connection.cancel_key().backend_pid();
        lock(&self.shared.closed_backends).push(pid);
        if !self.shared.terminating.swap(true, Ordering::AcqRel) {
            smol::spawn(terminate_closed_backends(Arc::clone(&self.shared))).detach();
        }
    }
}

/// Ends the backends of closed connections until none is left to end.
async fn terminate_closed_backends(shared: Arc<Shared>) {
    loop {
        terminate_with_retries(&shared).await;
        shared.terminating.store(false, Ordering::Release);
        let more = !lock(&shared.closed_backends).is_empty();
        if !more || shared.terminating.swap(true, Ordering::AcqRel) {
            return;
        }
    }
}

/// Tries to end the backends of closed connections, up to [`TERMINATE_ATTEMPTS`] times.
async fn terminate_with_retries(shared: &Shared) {
    let mut closed_backends = Vec::new();
    for _ in 0..TERMINATE_ATTEMPTS {
        closed_backends.append(&mut lock(&shared.closed_backends));
        match terminate(shared, closed_backends).await {
            Ok(()) => return,
            Err(left) => closed_backends = left,
        }
        Timer::after(TERMINATE_RETRY_DELAY).await;
    }
    // A member that cannot be reached ends its backends when it restarts or its own keepalive fails.
    spdlog::warn!(
        "home: could not end the backends of {} closed connections at {}",
        closed_backends.len(),
        shared.address
    );
}

/// Ends backends through a new connection.
///
/// # Errors
///
/// Returns the backends that may still run.
async fn terminate(shared: &Shared, mut closed_backends: Vec<i32>) -> Result<(), Vec<i32>> {
    let opened = shared.connect().await;
    let Ok(mut connection) = opened else { return Err(closed_backends) };
    while let Some(pid) = closed_backends.last() {
        let sql = format!("SELECT pg_terminate_backend({pid})");
        if with_timeout(RESET_TIMEOUT, connection.query(&sql)).await.is_err() {
            return Err(closed_backends);
        }
        closed_backends.pop();
    }
    Ok(())
}

impl Deref for CountedConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for CountedConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: CountedConnection,
    committed: bool,
    generation: u64,
}

/// A connection that is in use by one transaction.
///
/// Dropping it closes the connection; [`PooledConnection::release`] returns the connection to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    pub(crate) connection: CountedConnection,
    committed: bool,
    generation: u64,
    pool: Pool,
    permit: SemaphoreGuardArc,
}

impl Pool {
    /// Creates a pool of at most `size` connections to the member at `address` (`host:port`).
    ///
    /// `application` is the application name that the member shows for the connections.
    pub fn new(
        address: &str,
        database: &str,
        credentials: &UpstreamSettings,
        application: &str,
        size: u32,
    ) -> Self {
        let size = usize::try_from(size.max(1)).unwrap_or(1);
        let shared = Shared {
            address: address.to_owned(),
            database: database.to_owned(),
            credentials: credentials.clone(),
            application: application.to_owned(),
            permits: Arc::new(Semaphore::new(size)),
            idle: Mutex::default(),
            generation: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            opening_in_advance: AtomicBool::new(false),
            closed_backends: Mutex::default(),
            terminating: AtomicBool::new(false),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Address of the member as `host:port`.
    pub fn address(&self) -> &str {
        &self.shared.address
    }

    /// Takes an idle connection or opens one.
    ///
    /// `wait` limits the wait for a connection to be returned, not the time for opening one.
    ///
    /// # Errors
    ///
    /// Returns an error when all connections stay in use for `wait`, or when no connection can be opened.
    pub async fn acquire(&self, wait: Duration) -> Result<PooledConnection, PoolError> {
        let permit = self.acquire_permit(wait).await?;
        while let Some(mut idle) = self.pop_idle() {
            if is_usable(&mut idle.connection).await {
                let IdleConnection { connection, committed, generation } = idle;
                return Ok(PooledConnection {
                    connection,
                    committed,
                    generation,
                    pool: self.clone(),
                    permit,
                });
            }
        }
        let generation = self.shared.generation.load(Ordering::Acquire);
        let connection = self.open_counted().await?;
        Ok(PooledConnection {
            connection,
            committed: false,
            generation,
            pool: self.clone(),
            permit,
        })
    }

    /// Opens a connection that does not count towards the size of the pool, for checks of the member.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached or rejects the connection.
    pub async fn open(&self) -> Result<Connection, UpstreamError> {
        self.shared.connect().await
    }

    /// Opens connections in the background until `count` are open, so that requests need not wait for a new connection.
    pub fn open_in_advance(&self, count: usize) {
        let shared = &self.shared;
        if shared.open.load(Ordering::Acquire) >= count
            || shared.opening_in_advance.swap(true, Ordering::AcqRel)
        {
            return;
        }
        let pool = self.clone();
        smol::spawn(async move {
            while pool.shared.open.load(Ordering::Acquire) < count {
                let Some(permit) = pool.shared.permits.try_acquire_arc() else { break };
                let generation = pool.shared.generation.load(Ordering::Acquire);
                let Ok(connection) = pool.open_counted().await else { break };
                pool.push_idle(IdleConnection { connection, committed: false, generation });
                drop(permit);
            }
            pool.shared.opening_in_advance.store(false, Ordering::Release);
        })
        .detach();
    }

    /// Closes all idle connections; connections in use are closed when they are released.
    pub fn clear(&self) {
        self.shared.generation.fetch_add(1, Ordering::AcqRel);
        lock(&self.shared.idle).clear();
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        lock(&self.shared.idle).len()
    }

    async fn open_counted(&self) -> Result<CountedConnection, UpstreamError> {
        let connection = self.open().await?;
        self.shared.open.fetch_add(1, Ordering::AcqRel);
        Ok(CountedConnection { connection, shared: Arc::clone(&self.shared) })
    }

    async fn acquire_permit(&self, wait: Duration) -> Result<SemaphoreGuardArc, PoolError> {
        if let Some(permit) = self.shared.permits.try_acquire_arc() {
            return Ok(permit);
        }
        let acquire = async { Ok(self.shared.permits.acquire_arc().await) };
        with_timeout(wait, acquire).await.map_err(|_| PoolError::Exhausted(wait))
    }

    fn pop_idle(&self) -> Option<IdleConnection> {
        lock(&self.shared.idle).pop()
    }

    fn push_idle(&self, idle: IdleConnection) {
        let mut kept = lock(&self.shared.idle);
        if idle.generation == self.shared.generation.load(Ordering::Acquire) {
            kept.push(idle);
        }
    }
}

impl PooledConnection {
    /// Whether a transaction was committed on the connection since it was opened.
    ///
    /// On such a connection `group_position()` returns the position of that commit, not the member's position.
    pub const fn has_committed(&self) -> bool {
        self.committed
    }

    /// Records that a transaction was committed on the connection.
    pub const fn record_commit(&mut self) {
        self.committed = true;
    }

    /// Resets the session and returns the connection to the pool; closes the connection when the reset fails.
    pub async fn release(mut self) {
        let reset = with_timeout(RESET_TIMEOUT, self.connection.query("DISCARD ALL")).await;
        if reset.is_ok() {
            let Self { connection, committed, generation, pool, permit } = self;
            pool.push_idle(IdleConnection { connection, committed, generation });
            drop(permit);
        }
    }
}

/// Whether an idle connection has nothing to read; a message, an error or the end of the stream means that the member
/// is closing it.
async fn is_usable(connection: &mut Connection) -> bool {
    future::poll_once(connection.next()).await.is_none()
}
