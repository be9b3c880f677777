//! Sends and receives messages between instances: demand and tokens, the state of groups, and versions.
//!
//! An instance sends a status message every [`SEND_INTERVAL`], and at once when the state of a failover changes.
//! Clocks of different instances are not compared: times are sent as ages. Each message acknowledges the latest message
//! of its receiver, which gives the receiver a time on its own clock before which the message was not sent. The
//! receiver subtracts the ages from that time.

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
    message::{
        Datagram, GroupInfo, LeaderEntry, Status, TokenRequestMessage, TokenTransferMessage,
    },
    node::{GroupState, Node},
    peers::{SEND_INTERVAL, nanos},
    snapshot::Snapshot,
    status_page::SNAPSHOT_PATH,
};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Time for which another instance has to have newer data before a hub acts on it; the hub's own watch of the store
/// usually delivers the data earlier.
const BEHIND_GRACE: Duration = Duration::from_millis(1000);
/// Longest time for fetching the [`Snapshot`] of another instance.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(1);

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Receives and handles datagrams for as long as the process runs.
pub async fn receive_all<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, address)) = node.datagrams.recv_from(&mut buf).await else { continue };
        // A datagram that cannot be decoded comes from another version or another program.
        let Ok(datagram) = postcard::from_bytes::<Datagram>(&buf[..length]) else { continue };
        let now = node.now();
        match datagram {
            Datagram::Status(status) => handle_status(&node, &status, address, now),
            Datagram::TokenRequest(message) => transfer_tokens(&node, &message, address, now),
            Datagram::TokenTransfer(transfer) => {
                node.admission.borrow_mut().receive(&transfer, now)
            }
        }
    }
}

fn handle_status<P>(node: &Rc<Node<P>>, status: &Status, address: SocketAddr, now: Instant)
where
    P: Platform,
{
    let received = node.peers.borrow_mut().receive(status, address, now);
    let Some(received) = received else { return };
    let from = InstanceId::new(&status.from);
    if received.is_new {
        node.unknown_peers.notify(usize::MAX);
    }
    if received.regained || received.is_new {
        events::log(
            Event::PeerRegained,
            json!({ "instance": from.as_str(), "new": received.is_new }),
        );
    }
    let topology = node.topology();
    let is_hub = topology.is_hub(&from);
    node.admission.borrow_mut().record_peer(&from, &status.demands, is_hub, now);
    // An instance that is no hub expects an answer to each of its messages.
    let mut must_answer = !is_hub && topology.is_hub(node.instance());
    for info in &status.groups {
        if let Some(group) = node.group_named(&info.group) {
            must_answer |= merge_group_info(&group, info, received.acknowledged, now);
        }
    }
    if must_answer {
        send_to(node, &[from], now);
    }
}

/// Merges the state of a group at another instance; returns whether a confirmation of its fence is due at once.
fn merge_group_info(
    group: &GroupState,
    info: &GroupInfo,
    acknowledged: Option<Instant>,
    now: Instant,
) -> bool {
    let mut view = group.view.borrow_mut();
    if let (Some(leader), Some(acknowledged)) = (&info.leader, acknowledged) {
        let at = |age: u64| {
            Instant::new(acknowledged.since_origin().saturating_sub(Duration::from_micros(age)))
        };
        view.merge_leader_info(&LeaderInfo {
            member: MemberId::new(&leader.member),
            term: Term(leader.term),
            proof_sent: leader.proof_age.map(at),
            position: leader.position.map(|(term, lsn, age)| LeaderPosition {
                sent: at(age),
                position: Position::new(Term(term), Lsn(lsn)),
            }),
        });
    }
    if let Some(leader) = view.leader(now).filter(|leader| info.suspected == Some(leader.term.0)) {
        group.request_poll(&leader.member);
    }
    let Some((term, held)) = info.fence else {
        drop(view);
        group.log_leader_change(None, now);
        return false;
    };
    view.fence(Term(term), now);
    let confirms = held && group.confirmed.get() < term;
    if confirms {
        view.discard_proofs(now);
        group.confirmed.set(term);
    }
    drop(view);
    group.log_leader_change(None, now);
    confirms
}

/// Transfers the tokens that another instance requests, as far as they are not needed here.
fn transfer_tokens<P>(
    node: &Rc<Node<P>>,
    message: &TokenRequestMessage,
    address: SocketAddr,
    now: Instant,
) where
    P: Platform,
{
    let tokens = node.admission.borrow_mut().transfer_requested(message, now);
    if tokens <= 0.0 {
        return;
    }
    let transfer = TokenTransferMessage { workspace: message.workspace.clone(), tokens };
    send_datagram(node, address, &Datagram::TokenTransfer(transfer));
}

/// Sends a request for tokens of a workspace to each of `donors`.
pub fn request_tokens<P>(
    node: &Rc<Node<P>>,
    workspace: &Workspace,
    donors: &[InstanceId],
    request: TokenRequest,
) where
    P: Platform,
{
    let datagram = Datagram::TokenRequest(TokenRequestMessage::new(workspace, request));
    for donor in donors {
        let address = node.peers.borrow().address(donor);
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
        // A lost datagram is not sent again. The next status message carries newer state, and tokens are requested
        // again while operations wait for them; tokens that a lost datagram transfers are not replaced.
        let _ = sender.datagrams.send_to(&bytes, address).await;
    });
}

/// Sends status messages and catches up with newer data for as long as the process runs.
pub async fn send_all<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut behind_since = None;
    let mut round = 0;
    loop {
        within(SEND_INTERVAL, node.send_now.listen()).await;
        let now = node.now();
        for unresponsive in node.peers.borrow_mut().newly_unresponsive(now) {
            events::log(Event::PeerLost, json!({ "instance": unresponsive.as_str() }));
        }
        round += 1;
        let receivers = receivers(&node, round);
        send_to(&node, &receivers, now);
        catch_up(&node, &mut behind_since, now);
    }
}

/// The hubs in the region of this instance, without the instance itself.
pub fn other_regional_hubs<P>(node: &Node<P>) -> Vec<InstanceId>
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

/// The instances that get a message in this round: a hub sends to all other hubs, and an instance that is no hub to one
/// hub of its region after the other. In a flat fleet, each instance sends to all others.
fn receivers<P>(node: &Node<P>, round: usize) -> Vec<InstanceId>
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
    let hubs = other_regional_hubs(node);
    hubs.get(round % hubs.len().max(1)).cloned().into_iter().collect()
}

/// Renews the watches of the store when another instance has had newer data for the grace time.
///
/// A hub then also fetches the snapshot of an instance that has a newer configuration; an instance that is no hub
/// fetches that of the live instance with the newest data.
fn catch_up<P>(node: &Rc<Node<P>>, behind_since: &mut Option<Instant>, now: Instant)
where
    P: Platform,
{
    let ahead = node.peers.borrow().ahead(node.version(), now);
    let members_ahead = node.peers.borrow().members_ahead(node.members_revision(), now);
    if ahead.is_none() && !members_ahead {
        *behind_since = None;
        return;
    }
    // A hub watches the store itself and usually receives a change at the same time as the other hubs.
    let is_hub = node.topology().is_hub(node.instance());
    let grace = if is_hub { BEHIND_GRACE } else { Duration::ZERO };
    if now.since(*behind_since.get_or_insert(now)) < grace {
        return;
    }
    *behind_since = Some(now);
    node.renew_watches.notify(usize::MAX);
    let ahead = if is_hub { ahead } else { node.peers.borrow().newest(now) };
    if let Some(address) = ahead {
        let fetcher = node.clone();
        node.spawn(async move { fetch_snapshot(&fetcher, address).await });
    }
}

/// Sends a status message to the instances with the given names.
fn send_to<P>(node: &Rc<Node<P>>, names: &[InstanceId], now: Instant)
where
    P: Platform,
{
    let topology = node.topology();
    for name in names {
        let latest = node.peers.borrow().latest_message(name);
        let Some((address, acknowledged)) = latest else { continue };
        // A hub receives a fence from the instance that sets it; other instances receive it from their hubs.
        let relays_fences = !topology.is_hub(name);
        let status = Status {
            from: node.instance().as_str().into(),
            started: node.peers.borrow().started(),
            sent: nanos(now),
            acknowledged,
            version: node.version(),
            members_revision: node.members_revision(),
            groups: group_infos(node, relays_fences, now),
            demands: node.admission.borrow_mut().advertise(name, now),
        };
        send_datagram(node, address, &Datagram::Status(status));
    }
}

fn group_infos<P>(node: &Node<P>, relays_fences: bool, now: Instant) -> Vec<GroupInfo>
where
    P: Platform,
{
    let groups = node.groups();
    let info = groups.iter().map(|group| {
        let view = group.view.borrow();
        let leader = view.leader_info(now).map(|info| LeaderEntry {
            member: info.member.as_str().into(),
            term: info.term.0,
            proof_age: info.proof_sent.map(|sent| micros(now.since(sent))),
            position: info.position.map(|latest| {
                (latest.position.term.0, latest.position.lsn.0, micros(now.since(latest.sent)))
            }),
        });
        let own = group.failover.borrow().fence();
        let learned = || view.fenced_term(now).map(|term| (term, false));
        let fence = if relays_fences { own.or_else(learned) } else { own };
        GroupInfo {
            group: group.name.as_str().into(),
            leader,
            fence: fence.map(|(term, held)| (term.0, held)),
            confirmed: group.confirmed.get(),
            suspected: crate::control::suspected_term(node, group, now).map(|term| term.0),
        }
    });
    info.collect()
}

async fn fetch_snapshot<P>(node: &Rc<Node<P>>, address: SocketAddr)
where
    P: Platform,
{
    let fetched = within(SNAPSHOT_TIMEOUT, get_snapshot(address)).await;
    match fetched {
        Some(Ok(snapshot)) => snapshot.apply(node),
        Some(Err(error)) => log_fetch_failure(address, &error.to_string()),
        None => log_fetch_failure(address, "no answer in time"),
    }
}

fn log_fetch_failure(address: SocketAddr, reason: &str) {
    let fields = json!({ "instance_address": address.to_string(), "reason": reason });
    events::log(Event::PeerLost, fields);
}

async fn get_snapshot(address: SocketAddr) -> io::Result<Snapshot> {
    let req = Request::get(SNAPSHOT_PATH)
        .header(hyper::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(io::Error::other)?;
    let client = HttpClient::new(&address.to_string());
    let answer = client.send(req, SNAPSHOT_TIMEOUT).await;
    let answer = answer.map_err(hibiscusladder_io::http::HttpError::into_io)?;
    postcard::from_bytes(answer.body()).map_err(io::Error::other)
}
