//! Connections to other instances.

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

/// Longest time for the set-up of a connection.
const CONNECT_BOUND: Duration = Duration::from_secs(1);
/// Time between two heartbeats on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a connection is given up.
const SILENCE: Duration = Duration::from_secs(2);
/// Time after a failed set-up during which calls fail without another try.
const FAILURE_MEMORY: Duration = Duration::from_millis(200);

/// A connection to another instance.
pub(super) struct Peer {
    pub(super) client: instance::Client,
    dead: Cell<bool>,
    died: Event,
}

impl Peer {
    /// Completes when the connection was given up.
    pub(super) async fn died(&self) {
        loop {
            let listener = self.died.listen();
            if self.dead.get() {
                return;
            }
            listener.await;
        }
    }

    fn give_up(&self) {
        self.dead.set(true);
        self.died.notify(usize::MAX);
    }
}

/// State of the connection to one address.
#[derive(Default)]
struct Slot {
    peer: Option<Rc<Peer>>,
    failed: Option<(Instant, String)>,
}

/// All connections of the RPC thread.
pub(super) struct Peers<'a> {
    executor: Rc<LocalExecutor<'a>>,
    slots: RefCell<HashMap<Arc<str>, Rc<Mutex<Slot>>>>,
}

impl<'a> Peers<'a> {
    pub(super) fn new(executor: Rc<LocalExecutor<'a>>) -> Self {
        Self { executor, slots: RefCell::default() }
    }

    /// The connection to `address`, set up when there is none.
    pub(super) async fn get(&self, address: &Arc<str>) -> Result<Rc<Peer>, RpcError> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(Arc::clone(address)).or_default());
        let mut slot = slot.lock().await;
        if let Some(peer) = slot.peer.as_ref().filter(|peer| !peer.dead.get()) {
            return Ok(Rc::clone(peer));
        }
        slot.peer = None;
        if let Some((at, reason)) = &slot.failed
            && at.elapsed() < FAILURE_MEMORY
        {
            return Err(RpcError::NotSent { address: Arc::clone(address), reason: reason.clone() });
        }
        match connect(address).await {
            Ok(stream) => {
                let peer = self.start(stream);
                slot.failed = None;
                slot.peer = Some(Rc::clone(&peer));
                Ok(peer)
            }
            Err(reason) => {
                slot.failed = Some((Instant::now(), reason.clone()));
                Err(RpcError::NotSent { address: Arc::clone(address), reason })
            }
        }
    }

    /// Starts the RPC system of a connection and its heartbeat.
    fn start(&self, stream: TcpStream) -> Rc<Peer> {
        let (reader, writer) = stream.split();
        let network =
            twoparty::VatNetwork::new(reader, writer, Side::Client, super::server::options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: instance::Client = system.bootstrap(Side::Server);
        let peer = Rc::new(Peer { client, dead: Cell::new(false), died: Event::new() });
        let watched = Rc::clone(&peer);
        let connection = async move {
            let ended = async {
                let _ = system.await;
            };
            ended.or(watch(&watched)).await;
            watched.give_up();
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
        Timer::after(CONNECT_BOUND).await;
        Err(format!("no connection within {} ms", CONNECT_BOUND.as_millis()))
    };
    connect.or(timeout).await
}

/// Sends heartbeats; completes when one was not answered in time.
async fn watch(peer: &Peer) {
    loop {
        let answered = async { peer.client.ping_request().send().promise.await.is_ok() };
        let silent = async {
            Timer::after(SILENCE - PING_INTERVAL).await;
            false
        };
        if !answered.or(silent).await {
            return;
        }
        Timer::after(PING_INTERVAL).await;
    }
}
