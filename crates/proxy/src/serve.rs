//! Starts, runs and drains an instance: its listeners, request path and control tasks.
//!
//! # Example
//!
//! ```no_run
//! use hibiscusladder_proxy::{serve::{self, Listeners}, settings::Settings};
//!
//! # fn example(settings: Settings) -> Result<(), serve::ServeError> {
//! let listeners = Listeners::bind(&settings)?;
//! smol::block_on(serve::run(settings, listeners, smol::future::pending()))
//! # }
//! ```

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    sync::Arc,
    thread,
    time::Duration,
};

use miette::Diagnostic;
use smol::{Task, net::TcpListener};
use thiserror::Error;

use crate::{
    caller::{self, Entry, Tls, TlsError},
    clock::sleep,
    control::{Confirmations, Control, ControlHandler},
    home::Homes,
    metrics::Metrics,
    node::Node,
    platform::PlatformClient,
    route::Router,
    rpc::{self, Rpc, Services, SessionCancel},
    settings::Settings,
    trace::{TraceError, Tracer},
};

/// Longest wait, at a shutdown, for the release of the locks on members.
const LOCK_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Wait after a failure to accept a client connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between checks, during a drain, for open client connections and requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An instance could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum ServeError {
    /// Another process listens on an address.
    #[error("the address {address} of [instance] {key} is in use")]
    #[diagnostic(
        code(hibiscusladder::port_in_use),
        help("end the process that listens there, or set another port for `{key}`")
    )]
    PortInUse {
        /// Address that is in use.
        address: SocketAddr,
        /// Key of the address in the section `[instance]`.
        key: &'static str,
    },
    /// An address cannot be bound.
    #[error("the address {address} of [instance] {key} cannot be used: {reason}")]
    #[diagnostic(
        code(hibiscusladder::address),
        help("set an address of this machine and a port that the process may use for `{key}`")
    )]
    Address {
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Key of the address in the section `[instance]`.
        key: &'static str,
        /// Error of the operating system.
        reason: String,
    },
    /// The certificate or its key cannot be loaded.
    #[error(transparent)]
    #[diagnostic(code(hibiscusladder::tls), help("check the files of [tls] cert and key"))]
    Tls(#[from] TlsError),
    /// The UDP socket for metrics cannot be opened.
    #[error("metrics cannot be sent: {0}")]
    #[diagnostic(code(hibiscusladder::metrics), help("check [metrics] statsd"))]
    Metrics(io::Error),
    /// The exporter of traces cannot be built.
    #[error(transparent)]
    #[diagnostic(code(hibiscusladder::trace), help("check [trace] otlp"))]
    Trace(#[from] TraceError),
    /// A thread cannot be started.
    #[error("a thread cannot be started: {0}")]
    #[diagnostic(code(hibiscusladder::thread), help("raise the limit of threads of the process"))]
    Thread(io::Error),
}

/// Bound addresses of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for client connections.
    pub clients: StdListener,
    /// Listener for calls of other instances.
    pub rpc: StdListener,
    /// Listener of the HTTP server for the health check.
    pub health: StdListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key of the address that cannot be bound.
    pub fn bind(settings: &Settings) -> Result<Self, ServeError> {
        let instance = &settings.instance;
        Ok(Self {
            clients: bind(instance.listen, "listen")?,
            rpc: bind(instance.rpc, "rpc")?,
            health: bind(instance.health, "health")?,
        })
    }
}

fn bind(address: SocketAddr, key: &'static str) -> Result<StdListener, ServeError> {
    StdListener::bind(address).map_err(|error| match error.kind() {
        io::ErrorKind::AddrInUse => ServeError::PortInUse { address, key },
        _ => ServeError::Address { address, key, reason: error.to_string() },
    })
}

fn listener(
    std: StdListener,
    address: SocketAddr,
    key: &'static str,
) -> Result<TcpListener, ServeError> {
    let failed = |error: io::Error| ServeError::Address { address, key, reason: error.to_string() };
    std.set_nonblocking(true).map_err(failed)?;
    smol::Async::try_from(std).map(TcpListener::from).map_err(failed)
}

/// Runs an instance until `shutdown` completes, then drains it: hands over its members and lets running requests end,
/// for up to `drain_time` of the settings.
///
/// # Errors
///
/// Returns an error when the instance cannot start.
pub async fn run<F>(settings: Settings, listeners: Listeners, shutdown: F) -> Result<(), ServeError>
where
    F: Future<Output = ()>,
{
    let instance = Instance::start(settings, listeners)?;
    shutdown.await;
    instance.leave().await;
    Ok(())
}

/// Parts of a running instance.
struct Instance {
    node: Arc<Node>,
    homes: Arc<Homes>,
    entry: Arc<Entry>,
    accept_task: Task<()>,
    control: Control,
    tracer: Tracer,
}

impl Instance {
    fn start(settings: Settings, listeners: Listeners) -> Result<Self, ServeError> {
        let addresses = settings.instance.clone();
        let clients = listener(listeners.clients, addresses.listen, "listen")?;
        let rpc_listener = listener(listeners.rpc, addresses.rpc, "rpc")?;
        let health = listener(listeners.health, addresses.health, "health")?;
        let tls = settings.tls.as_ref().map(Tls::load).transpose()?;
        let metrics = settings.statsd.map_or_else(|| Ok(Metrics::disabled()), Metrics::to_statsd);
        let metrics = metrics.map_err(ServeError::Metrics)?;
        let tracer = tracer(&settings)?;
        let platform =
            PlatformClient::new(&settings.platform.address, settings.times.platform_call);
        let node = Node::with_tracer(settings, metrics, tracer.clone());
        let homes = Homes::new(Arc::clone(&node));
        let rpc = Rpc::start().map_err(ServeError::Thread)?;
        let router = Router::new(Arc::clone(&node), Arc::clone(&homes), rpc.clone());
        let entry = Entry::new(router, tls);
        let confirmations: Arc<Confirmations> = Arc::default();
        let handler =
            ControlHandler::new(Arc::clone(&node), platform.clone(), Arc::clone(&confirmations));
        let services = Services {
            homes: Arc::clone(&homes),
            control: Arc::new(handler),
            sessions: Arc::clone(&entry),
        };
        serve_calls(rpc_listener, services).map_err(ServeError::Thread)?;
        let control = Control::start(&node, &platform, &confirmations, health, &rpc, &homes);
        let accept_task = smol::spawn(accept(clients, Arc::clone(&entry)));
        spdlog::info!(
            "entry: instance {} in {} listens on {}",
            node.id(),
            node.data_centre(),
            addresses.listen
        );
        Ok(Self { node, homes, entry, accept_task, control, tracer })
    }

    /// Hands over the members, waits for clients and requests to end, and stops all tasks.
    async fn leave(self) {
        spdlog::info!("entry: draining");
        self.node.start_drain();
        if !self.control.wait_for_lock_release(LOCK_RELEASE_TIMEOUT).await {
            spdlog::warn!("home: some locks on members were not released in time");
        }
        let until = self.node.now().plus(self.node.settings().times.drain_time);
        let busy = || self.entry.clients() > 0 || self.homes.active() > 0;
        while busy() && self.node.now() < until {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        if busy() {
            let clients = self.entry.clients();
            spdlog::warn!("entry: {clients} clients were still connected after drain_time");
        }
        self.accept_task.cancel().await;
        self.control.stop().await;
        self.tracer.shutdown();
        spdlog::info!("entry: stopped");
    }
}

/// Accepts clients until the task is cancelled.
async fn accept(listener: TcpListener, entry: Arc<Entry>) {
    loop {
        if let Err(error) = caller::serve(listener.clone(), Arc::clone(&entry)).await {
            // The usual cause is the limit of open files, which is temporary.
            spdlog::error!("entry: could not accept a client connection: {error}");
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

fn tracer(settings: &Settings) -> Result<Tracer, TraceError> {
    let Some(url) = &settings.otlp else {
        return Ok(Tracer::disabled());
    };
    let instance = &settings.instance;
    Tracer::to_otlp(url, instance.id.as_str(), instance.data_centre.as_str())
}

/// Serves calls of other instances on a separate thread, since the RPC system is bound to one thread.
fn serve_calls<S>(listener: TcpListener, services: Services<ControlHandler, S>) -> io::Result<()>
where
    S: SessionCancel,
{
    let serve = move || {
        if let Err(error) = smol::block_on(rpc::serve(listener, services)) {
            spdlog::error!("home: the listener for calls of other instances failed: {error}");
        }
    };
    thread::Builder::new().name("rpc-server".to_owned()).spawn(serve).map(drop)
}
