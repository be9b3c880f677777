//! Messages between instances: demand, grants, suspicions and the version of the configuration.
//!
//! Each instance sends one datagram to each other one every [`SEND_INTERVAL`]. A message names the sending time of
//! the latest message that it answers, on the clock of the instance that it goes to, so that a grant's time is
//! counted from before it was given.

use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, Workspace},
};
use hibiscusladder_io::{
    clock::{sleep, within},
    http::HttpClient,
};
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::net::UdpSocket;

use crate::{
    adapter::Platform,
    directory::Directory,
    events::{self, Event},
    node::Node,
    status_page::DIRECTORY_PATH,
};

/// Time between two messages to an instance.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time since its last message after which an instance counts as not heard; four messages.
const SILENCE: Duration = Duration::from_millis(1000);
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Time for which another instance has to be ahead before its configuration is asked for; the store is faster.
const BEHIND_PATIENCE: Duration = Duration::from_millis(1500);
/// Time limit for the configuration of another instance.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);

/// What an instance needs of a workspace's rate, and what it grants to the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: Box<str>,
    /// Operations per second that arrive at the sender.
    pub rate: f32,
    /// Operations per second that the sender grants to the receiver.
    pub grant: f32,
}

impl Demand {
    /// Creates the entry for a workspace.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "rates need no more than the precision of f32"
    )]
    pub fn new(workspace: &Workspace, rate: f64, grant: f64) -> Self {
        Self { workspace: workspace.as_str().into(), rate: rate as f32, grant: grant as f32 }
    }
}

/// A primary that the sender cannot use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Its group.
    pub group: Box<str>,
    /// Its term.
    pub term: u64,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub from: Box<str>,
    /// Start of the sender's process on its clock, in nanoseconds.
    pub started: u64,
    /// Sending time on the sender's clock, in nanoseconds.
    pub sent: u64,
    /// Process of the receiver that the sender last heard, and the sending time of what it heard.
    pub answers: Option<(u64, u64)>,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Primaries that the sender cannot use.
    pub suspects: Vec<Suspect>,
    /// Demand by workspace.
    pub demands: Vec<Demand>,
}

/// How an instance registers itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Grows with each renewal.
    pub renewals: u64,
    /// Start of the process on its clock, in nanoseconds.
    pub started: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// Process and sending time of the latest message.
    latest: Option<(u64, u64)>,
    heard: Option<Instant>,
    version: u64,
    suspects: Vec<Suspect>,
}

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: InstanceId,
    started: u64,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Peers {
    /// Creates the state of an instance that was started at `now` and knows no other.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self { own, started: nanos(now), peers: BTreeMap::new() }
    }

    /// Start of this process on its clock, in nanoseconds.
    pub const fn started(&self) -> u64 {
        self.started
    }

    /// Records the registration of an instance.
    pub fn register(&mut self, name: InstanceId, registration: &Registration) {
        if name == self.own {
            return;
        }
        let address = registration.address;
        let peer = self.peers.entry(name).or_insert_with(|| Peer {
            address,
            latest: None,
            heard: None,
            version: 0,
            suspects: Vec::new(),
        });
        peer.address = address;
    }

    /// Forgets an instance whose registration is gone.
    pub fn unregister(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Forgets the instances that are not among `listed`.
    pub fn keep(&mut self, listed: &[InstanceId]) {
        self.peers.retain(|name, _| listed.contains(name));
    }

    /// Number of registered instances, with this one.
    pub fn instances(&self) -> usize {
        1 + self.peers.len()
    }

    /// Names of the other instances.
    pub fn names(&self) -> Vec<InstanceId> {
        self.peers.keys().cloned().collect()
    }

    /// Names of the instances that were heard lately.
    pub fn live(&self, now: Instant) -> Vec<InstanceId> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Number of live instances that cannot use the primary of `term`.
    pub fn suspecting(&self, group: &Group, term: u64, now: Instant) -> usize {
        let suspects = |peer: &&Peer| {
            peer.suspects
                .iter()
                .any(|suspect| *suspect.group == *group.as_str() && suspect.term >= term)
        };
        self.peers.values().filter(|peer| peer.is_live(now)).filter(suspects).count()
    }

    /// Records a message; returns the sending time of the own message that it answers, if that was this process.
    ///
    /// An instance that is not registered, or a message that is older than another one, has no effect.
    pub fn receive(&mut self, message: &Message, now: Instant) -> Option<Received> {
        let started = self.started;
        let peer = self.peers.get_mut(&*message.from)?;
        if peer.latest.is_some_and(|latest| latest >= (message.started, message.sent)) {
            return None;
        }
        let regained = !peer.is_live(now) && peer.heard.is_some();
        peer.latest = Some((message.started, message.sent));
        peer.heard = Some(now);
        peer.version = message.version;
        peer.suspects.clone_from(&message.suspects);
        let answers = message.answers.filter(|(process, _)| *process == started);
        let asked = answers.map(|(_, sent)| Instant::new(Duration::from_nanos(sent)));
        Some(Received { asked, regained })
    }

    /// A live instance with a newer configuration than `version`.
    fn ahead(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        let ahead = self.peers.values().filter(|peer| peer.is_live(now) && peer.version > version);
        ahead.max_by_key(|peer| peer.version).map(|peer| peer.address)
    }

    /// Instances that are no longer heard, and forgets what they said.
    fn fall_silent(&mut self, now: Instant) -> Vec<InstanceId> {
        let mut silent = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.heard.is_some() && !peer.is_live(now) && !peer.suspects.is_empty() {
                peer.suspects.clear();
            }
            if peer.heard.is_some_and(|heard| {
                let silence = now.since(heard);
                silence >= SILENCE && silence < SILENCE + SEND_INTERVAL
            }) {
                silent.push(name.clone());
            }
        }
        silent
    }
}

/// What a message meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// Sending time of the own message that it answers.
    pub asked: Option<Instant>,
    /// Whether the sender had not been heard for a while.
    pub regained: bool,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENCE)
    }
}

fn nanos(instant: Instant) -> u64 {
    u64::try_from(instant.since_origin().as_nanos()).unwrap_or(u64::MAX)
}

/// Receives messages for as long as the process runs.
pub async fn receive_all<P>(node: Rc<Node<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buf).await else {
            sleep(SEND_INTERVAL).await;
            continue;
        };
        // A datagram that cannot be read comes from another version or another program.
        let Ok(message) = postcard::from_bytes::<Message>(&buf[..length]) else { continue };
        let now = node.now();
        let received = node.peers.borrow_mut().receive(&message, now);
        let Some(received) = received else { continue };
        let from = InstanceId::new(&message.from);
        if received.regained {
            events::note(Event::PeerRegained, json!({ "instance": from.as_str() }));
        }
        node.admission.borrow_mut().note(&from, &message.demands, received.asked, now);
    }
}

/// Sends messages for as long as the process runs.
pub async fn send_all<P>(node: Rc<Node<P>>, socket: Rc<UdpSocket>)
where
    P: Platform,
{
    let mut behind_since = None;
    loop {
        sleep(SEND_INTERVAL).await;
        let now = node.now();
        for silent in node.peers.borrow_mut().fall_silent(now) {
            events::note(Event::PeerLost, json!({ "instance": silent.as_str() }));
        }
        for (address, datagram) in datagrams(&node, now) {
            // A lost message is repaired by the next one.
            let _ = socket.send_to(&datagram, address).await;
        }
        let ahead = node.peers.borrow().ahead(node.version(), now);
        let Some(address) = ahead else {
            behind_since = None;
            continue;
        };
        if now.since(*behind_since.get_or_insert(now)) >= BEHIND_PATIENCE {
            behind_since = Some(now);
            let node = node.clone();
            node.clone().spawn(async move { fetch_directory(&node, address).await });
        }
    }
}

fn datagrams<P>(node: &Node<P>, now: Instant) -> Vec<(SocketAddr, Vec<u8>)>
where
    P: Platform,
{
    let suspects = crate::control::suspects(node, now);
    let names = node.peers.borrow().names();
    let mut plans = node.admission.borrow_mut().plan(&names, now);
    let peers = node.peers.borrow();
    let messages = peers.peers.iter().filter_map(|(name, peer)| {
        let message = Message {
            from: node.instance().as_str().into(),
            started: peers.started,
            sent: nanos(now),
            answers: peer.latest,
            version: node.version(),
            suspects: suspects.clone(),
            demands: plans.remove(name).unwrap_or_default(),
        };
        let datagram = postcard::to_stdvec(&message).ok()?;
        Some((peer.address, datagram))
    });
    messages.collect()
}

async fn fetch_directory<P>(node: &Node<P>, address: SocketAddr)
where
    P: Platform,
{
    let fetched = within(DIRECTORY_TIMEOUT, get_directory(address)).await;
    match fetched {
        Some(Ok(directory)) => node.apply_directory(Rc::new(directory), "instance"),
        Some(Err(error)) => note_unfetched(address, &error.to_string()),
        None => note_unfetched(address, "no answer in time"),
    }
}

fn note_unfetched(address: SocketAddr, reason: &str) {
    let fields = json!({ "instance_address": address.to_string(), "reason": reason });
    events::note(Event::PeerLost, fields);
}

async fn get_directory(address: SocketAddr) -> io::Result<Directory> {
    let req = Request::get(DIRECTORY_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let client = HttpClient::new(&address.to_string());
    let answer = client.send(req, DIRECTORY_TIMEOUT).await;
    let answer = answer.map_err(hibiscusladder_io::http::HttpError::into_io)?;
    postcard::from_bytes(answer.body()).map_err(io::Error::other)
}
