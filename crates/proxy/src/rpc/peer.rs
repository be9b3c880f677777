//! Outgoing connections to other instances, at most one for each address.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use event_listener::Event;
use futures::AsyncReadExt;
use hibiscusladder_proto::instance_capnp::instance;
use smol::{LocalExecutor, Timer, future::FutureExt, lock::Mutex, net::TcpStream};

use super::RpcError;

/// Time limit for the set-up of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the answer to a ping and the next ping on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answered ping after which a connection counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a failed set-up during which calls to the address fail without another attempt.
const FAILURE_TTL: Duration = Duration::from_millis(200);

/// A connection to another instance.
pub(super) struct Peer {
    pub(super) client: instance::Client,
    closed: Cell<bool>,
    closed_event: Event,
}

impl Peer {
    /// Completes when the connection was closed or is lost.
    pub(super) async fn wait_closed(&self) {
        loop {
            let listener = self.closed_event.listen();
            if self.closed.get() {
                return;
            }
            listener.await;
        }
    }

    fn mark_closed(&self) {
        self.closed.set(true);
        self.closed_event.notify(usize::MAX);
    }
}

/// State of the connection to one address, with the time and reason of the last failed set-up.
#[derive(Default)]
struct AddressState {
    peer: Option<Rc<Peer>>,
    failed: Option<(Instant, String)>,
}

/// All connections of the RPC thread by address.
pub(super) struct PeerConnections<'a> {
    executor: Rc<LocalExecutor<'a>>,
    addresses: RefCell<HashMap<Arc<str>, Rc<Mutex<AddressState>>>>,
}

impl<'a> PeerConnections<'a> {
    pub(super) fn new(executor: Rc<LocalExecutor<'a>>) -> Self {
        Self { executor, addresses: RefCell::default() }
    }

    /// Returns the connection to `address`, which is set up when there is none.
    pub(super) async fn get(&self, address: &Arc<str>) -> Result<Rc<Peer>, RpcError> {
        let state = Rc::clone(self.addresses.borrow_mut().entry(Arc::clone(address)).or_default());
        let mut state = state.lock().await;
        if let Some(peer) = state.peer.as_ref().filter(|peer| !peer.closed.get()) {
            return Ok(Rc::clone(peer));
        }
        state.peer = None;
        if let Some((at, reason)) = &state.failed
            && at.elapsed() < FAILURE_TTL
        {
            return Err(RpcError::NotSent { address: Arc::clone(address), reason: reason.clone() });
        }
        match connect(address).await {
            Ok(stream) => {
                let peer = self.start(stream);
                state.failed = None;
                state.peer = Some(Rc::clone(&peer));
                Ok(peer)
            }
            Err(reason) => {
                state.failed = Some((Instant::now(), reason.clone()));
                Err(RpcError::NotSent { address: Arc::clone(address), reason })
            }
        }
    }

    /// Starts the RPC system of a connection and its pings.
    fn start(&self, stream: TcpStream) -> Rc<Peer> {
        let (reader, writer) = stream.split();
        let network = twoparty::VatNetwork::new(
            reader,
            writer,
            Side::Client,
            super::server::reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: instance::Client = system.bootstrap(Side::Server);
        let peer = Rc::new(Peer { client, closed: Cell::new(false), closed_event: Event::new() });
        let monitored = Rc::clone(&peer);
        let connection = async move {
            let ended = async {
                let _ = system.await;
            };
            ended.or(ping_until_lost(&monitored)).await;
            monitored.mark_closed();
        };
        self.executor.spawn(connection).detach();
        peer
    }
}

async fn connect(address: &str) -> Result<TcpStream, String> {
    let connect = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        Ok(stream)
    };
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis()))
    };
    connect.or(timeout).await
}

/// Sends pings; completes when one fails or is not answered in time.
async fn ping_until_lost(peer: &Peer) {
    loop {
        let answered = async { peer.client.ping_request().send().promise.await.is_ok() };
        let timeout = async {
            Timer::after(PEER_TIMEOUT - PING_INTERVAL).await;
            false
        };
        if !answered.or(timeout).await {
            return;
        }
        Timer::after(PING_INTERVAL).await;
    }
}
