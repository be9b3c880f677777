//! Messages between instances: demand and tokens, what is known about primaries, and versions.
//!
//! Each instance sends one datagram to each other one every [`SEND_INTERVAL`], and at once when a primary is being
//! replaced. Times go as ages at the sending. A message also names the latest message of the receiver that the sender
//! has, so the receiver knows a time of its own clock before which the message was not sent, and counts ages from there.

use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{DataCentre, InstanceId, MemberId, Workspace},
    position::{Lsn, Position, Term},
    sync_group::{LeaderNews, LeaderPosition},
};
use hibiscusladder_io::{clock::within, http::HttpClient};
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    adapter::Platform,
    events::{self, Event},
    node::{GroupState, Node},
    snapshot::Snapshot,
    status_page::DIRECTORY_PATH,
};

/// Time between two messages to an instance.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time since its last message after which an instance counts as not heard; four messages.
const SILENCE: Duration = Duration::from_millis(1000);
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Time for which another instance has to be ahead before the gateway acts on it; the store is faster.
const BEHIND_PATIENCE: Duration = Duration::from_millis(1000);
/// Time limit for the configuration of another instance.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a holder that did not answer is the last choice.
const HOLDER_PAUSE: Duration = Duration::from_millis(1000);
/// Instances that are asked for tokens at once.
const ASKED: usize = 3;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What the sender knows and needs.
    Status(Status),
    /// Asks for tokens.
    Ask(Tokens),
    /// Passes on tokens.
    Gift(Tokens),
}

/// Tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tokens {
    /// Name of the sender.
    pub from: Box<str>,
    /// The workspace.
    pub workspace: Box<str>,
    /// Their number.
    pub tokens: f32,
}

/// What an instance needs of a workspace's rate, what it has, and what it passes on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: Box<str>,
    /// Operations per second that the sender needs tokens for.
    pub rate: f32,
    /// Operations per second at all instances, as far as the sender knows.
    pub total: f32,
    /// Tokens at the sender.
    pub level: f32,
    /// Tokens that the sender passes on to the receiver.
    pub gift: f32,
}

impl Demand {
    /// Creates the entry for a workspace from rate, total, level and gift.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more precision than f32 has"
    )]
    pub fn new(workspace: &Workspace, numbers: [f64; 4]) -> Self {
        let [rate, total, level, gift] = numbers.map(|number| number as f32);
        Self { workspace: workspace.as_str().into(), rate, total, level, gift }
    }
}

/// What the sender knows about a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupNews {
    /// The group.
    pub group: Box<str>,
    /// Its primary.
    pub leader: Option<LeaderEntry>,
    /// Term that the sender makes the replicas hold, and whether all do.
    pub fence: Option<(u64, bool)>,
    /// Highest term for which the sender has discarded its proofs.
    pub confirmed: u64,
    /// Term of a primary that the sender cannot use.
    pub suspected: Option<u64>,
}

/// A primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// The member.
    pub member: Box<str>,
    /// Its term.
    pub term: u64,
    /// Age of the newest proof of its office, in microseconds.
    pub proof_age: Option<u64>,
    /// Its newest position as term and number, and the age in microseconds.
    pub position: Option<(u64, u64, u64)>,
}

/// What an instance tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the sender.
    pub from: Box<str>,
    /// Start of the sender's process on its clock, in nanoseconds.
    pub started: u64,
    /// Sending time on the sender's clock, in nanoseconds.
    pub sent: u64,
    /// Process and sending time of the receiver's latest message that the sender has.
    pub answers: Option<(u64, u64)>,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Revision of the newest entry of a member that the sender has.
    pub members: u64,
    /// Groups.
    pub groups: Vec<GroupNews>,
    /// Demand by workspace.
    pub demands: Vec<Demand>,
}

/// How an instance registers itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Address for messages of other instances.
    pub address: SocketAddr,
    /// Address for calls of other instances.
    pub tunnels: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    /// What the instance says of itself, once that is known.
    registration: Option<Registration>,
    /// Until when the instance is the last choice as a holder.
    troubled_until: Instant,
    /// Process and sending time of the latest message.
    latest: Option<(u64, u64)>,
    heard: Option<Instant>,
    registered: Instant,
    version: u64,
    members: u64,
    suspected: BTreeMap<Box<str>, u64>,
    confirmed: BTreeMap<Box<str>, u64>,
}

impl Peer {
    const fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            registration: None,
            troubled_until: Instant::new(Duration::ZERO),
            latest: None,
            heard: None,
            registered: now,
            version: 0,
            members: 0,
            suspected: BTreeMap::new(),
            confirmed: BTreeMap::new(),
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENCE)
    }
}

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: InstanceId,
    started: u64,
    peers: BTreeMap<InstanceId, Peer>,
}

/// What a message meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// Sending time of the own message that it answers.
    pub asked: Option<Instant>,
    /// Whether the sender had not been heard for a while.
    pub regained: bool,
    /// Whether the sender was not known.
    pub new: bool,
}

impl Peers {
    /// Creates the state of an instance that was started at `now` and knows no other.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self { own, started: nanos(now), peers: BTreeMap::new() }
    }

    /// Records the registrations of all instances; one that is not listed is forgotten unless it was heard since.
    pub fn register(&mut self, listed: &[(InstanceId, Registration)], now: Instant) {
        self.peers.retain(|name, peer| {
            peer.is_live(now) || listed.iter().any(|(listed, _)| listed == name)
        });
        for (name, registration) in listed.iter().filter(|(name, _)| *name != self.own) {
            let peer = self.peers.entry(name.clone());
            let peer = peer.or_insert_with(|| Peer::new(registration.address, now));
            peer.registration = Some(registration.clone());
            if !peer.is_live(now) {
                peer.address = registration.address;
            }
        }
    }

    /// The registrations of the other instances, as far as they are known.
    pub fn registrations(&self) -> impl Iterator<Item = (&InstanceId, &Registration)> {
        self.peers.iter().filter_map(|(name, peer)| Some((name, peer.registration.as_ref()?)))
    }

    /// Addresses of some holders, those in trouble last.
    pub fn holders(&self, names: &[InstanceId], now: Instant) -> Vec<(InstanceId, SocketAddr)> {
        let known = names.iter().filter_map(|name| Some((name, self.peers.get(name)?)));
        let mut known: Vec<(&InstanceId, &Peer)> = known.collect();
        known.sort_by_key(|(_, peer)| now < peer.troubled_until);
        let addresses = known
            .into_iter()
            .filter_map(|(name, peer)| Some((name.clone(), peer.registration.as_ref()?.tunnels)));
        addresses.collect()
    }

    /// Records that a holder did not answer.
    pub fn note_trouble(&mut self, name: &InstanceId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.troubled_until = now.plus(HOLDER_PAUSE);
        }
    }

    /// Records that the holder with this address for calls did not answer.
    pub fn note_trouble_at(&mut self, address: SocketAddr, now: Instant) {
        let at = |peer: &&mut Peer| {
            peer.registration.as_ref().is_some_and(|known| known.tunnels == address)
        };
        for peer in self.peers.values_mut().filter(at) {
            peer.troubled_until = now.plus(HOLDER_PAUSE);
        }
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

    /// Instances that have been neither heard nor newly registered for `silence`.
    pub fn silent(&self, silence: Duration, now: Instant) -> Vec<InstanceId> {
        let silent = self.peers.iter().filter(|(_, peer)| {
            now.since(peer.heard.map_or(peer.registered, |heard| heard.max(peer.registered)))
                >= silence
        });
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Number of live instances that cannot use the primary of `term`.
    pub fn suspecting(&self, group: &str, term: u64, now: Instant) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.filter(|peer| peer.suspected.get(group).is_some_and(|known| *known >= term)).count()
    }

    /// Whether all known instances have discarded their proofs for `term`.
    pub fn all_confirmed(&self, group: &str, term: u64) -> bool {
        let confirmed = |peer: &Peer| peer.confirmed.get(group).is_some_and(|known| *known >= term);
        self.peers.values().all(confirmed)
    }

    /// Records a message from `address`; `None` when a newer one came before it.
    pub fn receive(
        &mut self,
        status: &Status,
        address: SocketAddr,
        now: Instant,
    ) -> Option<Received> {
        if *status.from == *self.own.as_str() {
            return None;
        }
        let started = self.started;
        let name = InstanceId::new(&status.from);
        let new = !self.peers.contains_key(&name);
        let peer = self.peers.entry(name).or_insert_with(|| Peer::new(address, now));
        if peer.latest.is_some_and(|latest| latest >= (status.started, status.sent)) {
            return None;
        }
        let regained = !peer.is_live(now) && peer.heard.is_some();
        peer.address = address;
        peer.latest = Some((status.started, status.sent));
        peer.heard = Some(now);
        peer.version = status.version;
        peer.members = status.members;
        peer.suspected = suspected(status);
        peer.confirmed =
            status.groups.iter().map(|news| (news.group.clone(), news.confirmed)).collect();
        let answers = status.answers.filter(|(process, _)| *process == started);
        let asked = answers.map(|(_, sent)| Instant::new(Duration::from_nanos(sent)));
        Some(Received { asked, regained, new })
    }

    fn address(&self, name: &InstanceId) -> Option<SocketAddr> {
        self.peers.get(name).map(|peer| peer.address)
    }

    /// A live instance with a newer configuration than `version`.
    fn ahead(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        let ahead = self.peers.values().filter(|peer| peer.is_live(now) && peer.version > version);
        ahead.max_by_key(|peer| peer.version).map(|peer| peer.address)
    }

    /// The live instance with the newest configuration and members.
    fn newest(&self, now: Instant) -> Option<SocketAddr> {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.max_by_key(|peer| (peer.version, peer.members)).map(|peer| peer.address)
    }

    /// Whether a live instance has newer entries of members than `revision`.
    fn members_ahead(&self, revision: u64, now: Instant) -> bool {
        self.peers.values().any(|peer| peer.is_live(now) && peer.members > revision)
    }

    /// Instances that have just become silent.
    fn newly_silent(&mut self, now: Instant) -> Vec<InstanceId> {
        let newly = self.peers.iter().filter(|(_, peer)| {
            let silence = peer.heard.map_or(Duration::ZERO, |heard| now.since(heard));
            silence >= SILENCE && silence < SILENCE + SEND_INTERVAL
        });
        newly.map(|(name, _)| name.clone()).collect()
    }
}

fn suspected(status: &Status) -> BTreeMap<Box<str>, u64> {
    let suspected = |news: &GroupNews| Some((news.group.clone(), news.suspected?));
    status.groups.iter().filter_map(suspected).collect()
}

fn nanos(instant: Instant) -> u64 {
    u64::try_from(instant.since_origin().as_nanos()).unwrap_or(u64::MAX)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Receives messages for as long as the process runs.
pub async fn receive_all<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, address)) = node.datagrams.recv_from(&mut buf).await else { continue };
        // A datagram that cannot be read comes from another version or another program.
        let Ok(datagram) = postcard::from_bytes::<Datagram>(&buf[..length]) else { continue };
        let now = node.now();
        match datagram {
            Datagram::Status(status) => take_status(&node, &status, address, now),
            Datagram::Ask(ask) => give(&node, &ask, address, now),
            Datagram::Gift(gift) => node.admission.borrow_mut().receive(&gift, now),
        }
    }
}

fn take_status<P>(node: &Rc<Node<P>>, status: &Status, address: SocketAddr, now: Instant)
where
    P: Platform,
{
    let received = node.peers.borrow_mut().receive(status, address, now);
    let Some(received) = received else { return };
    let from = InstanceId::new(&status.from);
    if received.new {
        node.strangers.notify(usize::MAX);
    }
    if received.regained || received.new {
        events::note(
            Event::PeerRegained,
            json!({ "instance": from.as_str(), "new": received.new }),
        );
    }
    let topology = node.topology();
    let is_hub = topology.is_hub(&from);
    node.admission.borrow_mut().note(&from, &status.demands, is_hub, now);
    // An instance that is no hub asks by its message.
    let mut answer = !is_hub && topology.is_hub(node.instance());
    for news in &status.groups {
        if let Some(state) = node.group_named(&news.group) {
            answer |= take_news(&state, news, received.asked, now);
        }
    }
    if answer {
        send_to(node, &[from], now);
    }
}

/// Takes over what another instance knows about a group; returns whether it waits for an answer.
fn take_news(state: &GroupState, news: &GroupNews, asked: Option<Instant>, now: Instant) -> bool {
    let mut view = state.view.borrow_mut();
    if let (Some(leader), Some(asked)) = (&news.leader, asked) {
        let at = |age: u64| {
            Instant::new(asked.since_origin().saturating_sub(Duration::from_micros(age)))
        };
        view.hear(&LeaderNews {
            member: MemberId::new(&leader.member),
            term: Term(leader.term),
            proved: leader.proof_age.map(at),
            position: leader.position.map(|(term, number, age)| LeaderPosition {
                sent: at(age),
                position: Position::new(Term(term), Lsn(number)),
            }),
        });
    }
    if let Some(leader) = view.leader(now).filter(|leader| news.suspected == Some(leader.term.0)) {
        state.doubt(&leader.member);
    }
    let Some((term, held)) = news.fence else {
        drop(view);
        state.announce(None, now);
        return false;
    };
    view.fence(Term(term), now);
    let confirms = held && state.confirmed.get() < term;
    if confirms {
        view.discard_proofs(now);
        state.confirmed.set(term);
    }
    drop(view);
    state.announce(None, now);
    confirms
}

/// Passes on tokens that another instance asks for, if they are not needed here.
fn give<P>(node: &Rc<Node<P>>, ask: &Tokens, address: SocketAddr, now: Instant)
where
    P: Platform,
{
    let tokens = node.admission.borrow_mut().give(ask, now);
    if tokens <= 0.0 {
        return;
    }
    let gift =
        Tokens { from: node.instance().as_str().into(), workspace: ask.workspace.clone(), tokens };
    send_datagram(node, address, &Datagram::Gift(gift));
}

/// Asks other instances for tokens of a workspace.
pub fn ask<P>(node: &Rc<Node<P>>, workspace: &Workspace, lenders: &[InstanceId], wanted: f64)
where
    P: Platform,
{
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more than the precision of f32"
    )]
    let tokens = Tokens {
        from: node.instance().as_str().into(),
        workspace: workspace.as_str().into(),
        tokens: wanted as f32,
    };
    let datagram = Datagram::Ask(tokens);
    for lender in lenders.iter().take(ASKED) {
        let address = node.peers.borrow().address(lender);
        if let Some(address) = address {
            send_datagram(node, address, &datagram);
        }
    }
}

fn send_datagram<P>(node: &Rc<Node<P>>, address: SocketAddr, datagram: &Datagram)
where
    P: Platform,
{
    let Ok(bytes) = postcard::to_stdvec(datagram) else { return };
    let sender = node.clone();
    node.spawn(async move {
        // A lost datagram is made up for by the next one.
        let _ = sender.datagrams.send_to(&bytes, address).await;
    });
}

/// Sends messages for as long as the process runs.
pub async fn send_all<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut behind_since = None;
    let mut turn = 0;
    loop {
        within(SEND_INTERVAL, node.urgent.listen()).await;
        let now = node.now();
        for silent in node.peers.borrow_mut().newly_silent(now) {
            events::note(Event::PeerLost, json!({ "instance": silent.as_str() }));
        }
        turn += 1;
        let receivers = receivers(&node, turn);
        send_to(&node, &receivers, now);
        catch_up(&node, &mut behind_since, now);
    }
}

/// The hubs of the own region, without this instance.
pub fn neighbours<P>(node: &Node<P>) -> Vec<InstanceId>
where
    P: Platform,
{
    let topology = node.topology();
    topology
        .regional_hubs(node.instance())
        .filter(|name| *name != node.instance())
        .cloned()
        .collect()
}

/// The instances that get a message in this turn: hubs tell all hubs, others one hub of their region after the other.
fn receivers<P>(node: &Node<P>, turn: usize) -> Vec<InstanceId>
where
    P: Platform,
{
    let topology = node.topology();
    let own = node.instance();
    if topology.is_flat() {
        return node.peers.borrow().names();
    }
    if topology.is_hub(own) {
        return topology.hubs().filter(|name| *name != own).cloned().collect();
    }
    let hubs = neighbours(node);
    hubs.get(turn % hubs.len().max(1)).cloned().into_iter().collect()
}

/// Acts when other instances have had newer versions for a while.
fn catch_up<P>(node: &Rc<Node<P>>, behind_since: &mut Option<Instant>, now: Instant)
where
    P: Platform,
{
    let ahead = node.peers.borrow().ahead(node.version(), now);
    let members = node.peers.borrow().members_ahead(node.members_revision(), now);
    if ahead.is_none() && !members {
        *behind_since = None;
        return;
    }
    // A hub watches the store itself, and is told at the same time as the others.
    let is_hub = node.topology().is_hub(node.instance());
    let patience = if is_hub { BEHIND_PATIENCE } else { Duration::ZERO };
    if now.since(*behind_since.get_or_insert(now)) < patience {
        return;
    }
    *behind_since = Some(now);
    node.watches.notify(usize::MAX);
    let ahead = if is_hub { ahead } else { node.peers.borrow().newest(now) };
    if let Some(address) = ahead {
        let fetcher = node.clone();
        node.spawn(async move { fetch_directory(&fetcher, address).await });
    }
}

/// Sends the present state to some instances.
fn send_to<P>(node: &Rc<Node<P>>, names: &[InstanceId], now: Instant)
where
    P: Platform,
{
    let topology = node.topology();
    let sharing = topology.regional_hubs(node.instance()).count();
    let sharing = if topology.is_hub(node.instance()) { sharing } else { 1 };
    for name in names {
        let (address, answers) = {
            let peers = node.peers.borrow();
            let Some(peer) = peers.peers.get(name) else { continue };
            (peer.address, peer.latest)
        };
        // Hubs hear of a fence from the instance that sets it; the others hear of it from their hubs.
        let relayed = !topology.is_hub(name);
        let status = Status {
            from: node.instance().as_str().into(),
            started: node.peers.borrow().started,
            sent: nanos(now),
            answers,
            version: node.version(),
            members: node.members_revision(),
            groups: group_news(node, relayed, now),
            demands: node.admission.borrow_mut().tell(name, sharing, now),
        };
        send_datagram(node, address, &Datagram::Status(status));
    }
}

fn group_news<P>(node: &Node<P>, relayed: bool, now: Instant) -> Vec<GroupNews>
where
    P: Platform,
{
    let groups = node.groups();
    let news = groups.iter().map(|state| {
        let view = state.view.borrow();
        let leader = view.news(now).map(|news| LeaderEntry {
            member: news.member.as_str().into(),
            term: news.term.0,
            proof_age: news.proved.map(|proved| micros(now.since(proved))),
            position: news.position.map(|known| {
                (known.position.term.0, known.position.lsn.0, micros(now.since(known.sent)))
            }),
        });
        let own = state.failover.borrow().fence();
        let heard = || view.fenced(now).map(|term| (term, false));
        let fence = if relayed { own.or_else(heard) } else { own };
        GroupNews {
            group: state.name.as_str().into(),
            leader,
            fence: fence.map(|(term, held)| (term.0, held)),
            confirmed: state.confirmed.get(),
            suspected: crate::control::suspected(node, state, now).map(|term| term.0),
        }
    });
    news.collect()
}

async fn fetch_directory<P>(node: &Rc<Node<P>>, address: SocketAddr)
where
    P: Platform,
{
    let fetched = within(DIRECTORY_TIMEOUT, get_directory(address)).await;
    match fetched {
        Some(Ok(snapshot)) => snapshot.apply(node),
        Some(Err(error)) => note_unfetched(address, &error.to_string()),
        None => note_unfetched(address, "no answer in time"),
    }
}

fn note_unfetched(address: SocketAddr, reason: &str) {
    let fields = json!({ "instance_address": address.to_string(), "reason": reason });
    events::note(Event::PeerLost, fields);
}

async fn get_directory(address: SocketAddr) -> io::Result<Snapshot> {
    let req = Request::get(DIRECTORY_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let client = HttpClient::new(&address.to_string());
    let answer = client.send(req, DIRECTORY_TIMEOUT).await;
    let answer = answer.map_err(hibiscusladder_io::http::HttpError::into_io)?;
    postcard::from_bytes(answer.body()).map_err(io::Error::other)
}
