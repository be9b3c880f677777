//! Client side: accepts connections of PostgreSQL clients and runs their batches.
//!
//! A client connects with the workspace as its user and a key as its password. Its messages are collected into
//! batches that end in `Query` or `Sync`; each batch is authorised, classified and dispatched on its own.

mod answer;
mod authorise;
mod batch;
mod cancel;
mod filter;
pub mod frame;
mod local;
mod message;
mod plan;
mod session;
mod startup;
mod tls;
mod welcome;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::io::{AsyncRead, AsyncWrite};
use rustix::net::sockopt;
use smol::{
    Timer,
    future::FutureExt,
    net::{TcpListener, TcpStream},
};

pub use self::tls::{Tls, TlsError};
use self::{
    cancel::Sessions,
    session::Session,
    startup::{Greeting, Opening},
};
use crate::{classify::Classifier, node::Node, route::Router, rpc::SessionCancel};

/// Longest time from the connection to the end of the start-up.
const STARTUP_BOUND: Duration = Duration::from_secs(10);
/// Silence after which the system probes a client connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// Time after which a client that acknowledges nothing is disconnected.
const USER_TIMEOUT: Duration = Duration::from_secs(30);

/// The client side of one instance.
#[derive(Debug)]
pub struct Entry {
    router: Arc<Router>,
    classifier: Classifier,
    sessions: Sessions,
    tls: Option<Tls>,
    clients: AtomicUsize,
}

impl Entry {
    /// Creates the client side that sends its requests through `router`.
    pub fn new(router: Arc<Router>, tls: Option<Tls>) -> Arc<Self> {
        let sessions = Sessions::new(router.node().id());
        Arc::new(Self {
            router,
            classifier: Classifier::default(),
            sessions,
            tls,
            clients: AtomicUsize::new(0),
        })
    }

    /// State of the instance.
    pub fn node(&self) -> &Node {
        self.router.node()
    }

    /// Connections of clients that are open.
    pub fn clients(&self) -> usize {
        self.clients.load(Ordering::Acquire)
    }
}

impl SessionCancel for Entry {
    async fn cancel_session(&self, process: u32, secret: u32) {
        let Some(running) = self.sessions.find(process, secret) else { return };
        running.cancel(&self.router).await;
    }
}

/// Accepts clients on `listener` until it fails.
///
/// # Errors
///
/// Returns an error when the listener fails.
pub async fn serve(listener: TcpListener, entry: Arc<Entry>) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let entry = Arc::clone(&entry);
        smol::spawn(async move {
            let counted = Counted::new(&entry);
            if let Err(error) = set_options(&stream) {
                spdlog::debug!("entry: options of a client connection were not set: {error}");
            }
            client(stream, &entry).await;
            drop(counted);
        })
        .detach();
    }
}

/// Serves one connection, from its first byte.
async fn client(stream: TcpStream, entry: &Arc<Entry>) {
    let opening = startup::open(stream, entry.tls.as_ref());
    let timeout = async {
        Timer::after(STARTUP_BOUND).await;
        Opening::Closed
    };
    match opening.or(timeout).await {
        Opening::Plain(greeting) => greet(*greeting, entry).await,
        Opening::Encrypted(greeting) => greet(*greeting, entry).await,
        Opening::Cancel { process, secret } => cancel::request(entry, process, secret).await,
        Opening::Closed => {}
    }
}

async fn greet<S>(greeting: Greeting<S>, entry: &Arc<Entry>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let start = async { Session::start(greeting, entry).await };
    let timeout = async {
        Timer::after(STARTUP_BOUND).await;
        None
    };
    if let Some(session) = start.or(timeout).await {
        session.run().await;
    }
}

/// Lets the system find clients that are gone.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    let timeout = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, timeout)?;
    Ok(())
}

/// Counts a connection while it is open.
struct Counted {
    entry: Arc<Entry>,
}

impl Counted {
    fn new(entry: &Arc<Entry>) -> Self {
        entry.clients.fetch_add(1, Ordering::AcqRel);
        Self { entry: Arc::clone(entry) }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.entry.clients.fetch_sub(1, Ordering::AcqRel);
    }
}
