//! Sends and receives messages between instances: demand and tokens, what is known about primaries, and versions.
//!
//! Each instance sends one datagram to each other one every [`SEND_INTERVAL`], and at once when a primary is being
//! replaced. Times go as ages at the sending. A message also names the latest message of the receiver that the sender
//! has, so the receiver knows a time of its own clock before which the message was not sent, and counts ages from there.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, MemberId, Workspace},
    position::{Lsn, Position, Term},
    share::TokenRequest,
    sync_group::{LeaderInfo, LeaderPosition},
};
use hibiscusladder_io::{clock::within, http::HttpClient};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

use crate::{
    adapter::Platform,
    events::{self, Event},
    message::{Ask, Datagram, GroupNews, LeaderEntry, Status, Tokens},
    node::{GroupState, Node},
    peers::{SEND_INTERVAL, nanos},
    snapshot::Snapshot,
    status_page::DIRECTORY_PATH,
};

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Time for which another instance has to be ahead before the gateway acts on it; the store is faster.
const BEHIND_PATIENCE: Duration = Duration::from_millis(1000);
/// Time limit for the configuration of another instance.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);

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
        view.merge_leader_info(&LeaderInfo {
            member: MemberId::new(&leader.member),
            term: Term(leader.term),
            proof_sent: leader.proof_age.map(at),
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
fn give<P>(node: &Rc<Node<P>>, ask: &Ask, address: SocketAddr, now: Instant)
where
    P: Platform,
{
    let tokens = node.admission.borrow_mut().give(ask, now);
    if tokens <= 0.0 {
        return;
    }
    let gift = Tokens { workspace: ask.workspace.clone(), tokens };
    send_datagram(node, address, &Datagram::Gift(gift));
}

/// Asks other instances for tokens of a workspace.
pub fn ask<P>(
    node: &Rc<Node<P>>,
    workspace: &Workspace,
    lenders: &[InstanceId],
    request: TokenRequest,
) where
    P: Platform,
{
    let datagram = Datagram::Ask(Ask::new(workspace, request));
    for lender in lenders {
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
    for name in names {
        let latest = node.peers.borrow().latest(name);
        let Some((address, answers)) = latest else { continue };
        // Hubs hear of a fence from the instance that sets it; the others hear of it from their hubs.
        let relayed = !topology.is_hub(name);
        let status = Status {
            from: node.instance().as_str().into(),
            started: node.peers.borrow().started(),
            sent: nanos(now),
            answers,
            version: node.version(),
            members: node.members_revision(),
            groups: group_news(node, relayed, now),
            demands: node.admission.borrow_mut().tell(name, now),
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
        let leader = view.leader_info(now).map(|news| LeaderEntry {
            member: news.member.as_str().into(),
            term: news.term.0,
            proof_age: news.proof_sent.map(|proved| micros(now.since(proved))),
            position: news.position.map(|known| {
                (known.position.term.0, known.position.lsn.0, micros(now.since(known.sent)))
            }),
        });
        let own = state.failover.borrow().fence();
        let heard = || view.fenced_term(now).map(|term| (term, false));
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
