//! Sends and receives messages between instances: demand and tokens, the state of groups, and versions.
//!
//! An instance sends a status message every [`SEND_INTERVAL`], and at once when the state of a failover changes.
//! Clocks of different instances are not compared: times are sent as ages. Each message acknowledges the latest message
//! of its receiver, which gives the receiver a time on its own clock before which the message was not sent. The
//! receiver subtracts the ages from that time.

mod content;

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, MemberId, Workspace},
    position::{Lsn, Position, Term},
    roster::FleetRole,
    share::TokenRequest,
    store_version::StoreVersion,
    sync_group::{LeaderInfo, LeaderPosition},
};
use hibiscusladder_io::clock::within;
use serde_json::json;

use crate::{
    adapter::Platform,
    evacuations::EvacuationHost,
    events::{self, Event},
    group_state::GroupState,
    message::{
        self, AcknowledgedSection, Datagram, Extension, GroupInfo, LeavingSection, PaceSection,
        SectionKind, Sections, Status, StoreContactSection, StoreSection, TokenRequestMessage,
        TokenTransferMessage,
    },
    node::Node,
    peers::{SEND_INTERVAL, nanos},
    promotion_records, relay,
};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Number of rounds of messages of which one tells the positions of acknowledged commits.
const ROUNDS_PER_POSITIONS: usize = 4;

/// Receives and handles datagrams for as long as the process runs.
pub async fn receive_all<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, address)) = node.datagrams.recv_from(&mut buf).await else { continue };
        // A datagram that cannot be decoded comes from another version or another program.
        let Ok((datagram, extension, sections)) = message::decode(&buf[..length]) else {
            continue;
        };
        let now = node.now();
        match datagram {
            Datagram::Status(status) => {
                handle_status(&node, &status, (&extension, &sections), address, now);
            }
            Datagram::TokenRequest(message) => transfer_tokens(&node, &message, address, now),
            Datagram::TokenTransfer(transfer) => {
                node.admission.borrow_mut().receive(&transfer, now)
            }
        }
    }
}

fn handle_status<P>(
    node: &Rc<Node<P>>,
    status: &Status,
    (extension, sections): (&Extension, &Sections),
    address: SocketAddr,
    now: Instant,
) where
    P: Platform,
{
    let received = node.peers.borrow_mut().receive(status, address, now);
    let Some(received) = received else { return };
    let from = InstanceId::new(&status.from);
    if received.is_unregistered {
        node.roster.borrow_mut().request_list();
        node.roster_changed.notify(usize::MAX);
    }
    if received.regained || received.is_unregistered {
        events::log(
            Event::PeerRegained,
            json!({ "instance": from.as_str(), "new": received.is_unregistered }),
        );
    }
    let store: Option<StoreSection> = sections.get(SectionKind::Store);
    if let Some(store) = store {
        node.store_era.record_told(store.era, now);
    }
    node.peers.borrow_mut().record_extension(&from, extension, store.unwrap_or_default());
    if let Some(sent) = received.acknowledged
        && let Some(section) = sections.get::<StoreContactSection>(SectionKind::StoreContact)
    {
        node.succession.record_told(section.into(), sent);
    }
    if let Some(section) = sections.get(SectionKind::Promotions) {
        let mut claims = node.failover_claims.borrow_mut();
        let is_group = |group: &Group| node.group(group).is_some();
        promotion_records::receive(&mut claims, &section, is_group, &node.metrics, now);
    }
    if let Some(section) = sections.get::<AcknowledgedSection>(SectionKind::Acknowledged) {
        for (group, term, lsn) in &section.positions {
            if let Some(group) = node.group_named(group) {
                let position = Position::new(Term(*term), Lsn(*lsn));
                group.view.borrow_mut().learn_acknowledged(position);
            }
        }
    }
    if let Some(LeavingSection { members }) = sections.get(SectionKind::Leaving) {
        node.members.borrow_mut().learn_leaving(&members, now);
    }
    let topology = node.topology();
    let is_hub = topology.is_hub(&from);
    node.admission.borrow_mut().record_peer(&from, &status.demands, is_hub, now);
    // An instance that is no hub expects an answer to each of its messages, and one that was not live has to learn of
    // fences at once.
    let mut must_answer = !is_hub && topology.is_hub(node.instance())
        || is_hub && (received.regained || received.is_unregistered);
    // Until this instance is registered, a failover may not wait for its confirmation, so it uses no proofs.
    if node.roster.borrow().is_registered() {
        for info in &status.groups {
            if let Some(group) = node.group_named(&info.group) {
                let acknowledged = received.acknowledged;
                must_answer |= merge_group_info(node, &group, info, (&from, acknowledged), now);
            }
        }
    }
    merge_extension(node, extension, is_hub, now);
    merge_pace(node, status, sections, is_hub, now);
    if let Some(notice) = sections.get(SectionKind::Evacuations)
        && node.evacuations.receive(&notice, received.acknowledged, now)
    {
        node.evacuations_changed();
    }
    if node.role() == FleetRole::Follower {
        relay::catch_up(node, now);
    }
    if must_answer {
        let demanded = status.demands.iter().map(|demand| demand.workspace.clone());
        let demanded = (!is_hub).then(|| demanded.collect());
        send_to(node, &from, demanded.as_ref(), now);
    }
}

/// Requests the polls that the sender asks for, and records the members that do not answer polls of a hub.
fn merge_extension<P>(node: &Node<P>, extension: &Extension, is_hub: bool, now: Instant)
where
    P: Platform,
{
    let group_of = |id: &MemberId| node.group(&node.member(id)?.record.group);
    let polls_members = node.role() != FleetRole::Follower;
    for id in extension.slow.iter().map(|id| MemberId::new(id)).filter(|_| polls_members) {
        if let Some(group) = group_of(&id) {
            group.request_poll(&id, now);
        }
    }
    for id in extension.unresponsive.iter().map(|id| MemberId::new(id)).filter(|_| is_hub) {
        if let Some(group) = group_of(&id).filter(|_| !polls_members) {
            group.view.borrow_mut().report_unresponsive(&id, now);
            group.notify();
        }
    }
}

/// Records which members holders have found overloaded, and which are cold, as a hub with the same or newer entries reports.
fn merge_pace<P>(node: &Node<P>, status: &Status, sections: &Sections, is_hub: bool, now: Instant)
where
    P: Platform,
{
    let Some(section) = sections.get::<PaceSection>(SectionKind::Pace) else { return };
    let own = (node.instance(), node.role() == FleetRole::Hub);
    node.paces.receive(&section.pace, &InstanceId::new(&status.from), own, now);
    let store: StoreSection = sections.get(SectionKind::Store).unwrap_or_default();
    let version = StoreVersion::new(store.members, status.members_revision);
    let is_newer = version >= node.members_version();
    if let Some(cold) = section.cold.filter(|_| is_hub && is_newer) {
        node.cold.merge(&cold, node.role() != FleetRole::Follower, now);
    }
}

/// Merges the state of a group at another instance; returns whether a confirmation of its fence is due at once.
///
/// `acknowledged` is when this instance sent the message that the one with this state acknowledges.
fn merge_group_info<P>(
    node: &Node<P>,
    group: &GroupState,
    info: &GroupInfo,
    (from, acknowledged): (&InstanceId, Option<Instant>),
    now: Instant,
) -> bool
where
    P: Platform,
{
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
    let suspected = view.leader(now).filter(|leader| info.suspected == Some(leader.term.0));
    let Some((term, held)) = info.fence else {
        let is_replaced = |term: u64| info.leader.as_ref().is_none_or(|leader| leader.term >= term);
        let abandoned = group.held_by.borrow_mut().take_if(|(claimant, _)| claimant == from);
        if let Some((_, term)) = abandoned.filter(|(_, term)| !is_replaced(*term)) {
            view.failover_abandoned(Term(term));
        }
        drop(view);
        if let Some(leader) = suspected.filter(|_| node.role() != FleetRole::Follower) {
            group.request_poll(&leader.member, now);
        }
        group.log_leader_change(None, now);
        return false;
    };
    let is_news = view.fenced_term(now).is_none_or(|known| known < Term(term));
    view.fence(Term(term), now);
    let confirms = held && view.confirmed_term(now).is_none_or(|confirmed| confirmed < Term(term));
    if held {
        view.replicas_hold(Term(term), now);
        *group.held_by.borrow_mut() = Some((from.clone(), term));
    }
    drop(view);
    if is_news && node.role() == FleetRole::Hub && !node.topology().is_flat() {
        node.announce();
    }
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
    send_extended(node, address, datagram, &Extension::default(), &Sections::default());
}

fn send_extended<P>(
    node: &Rc<Node<P>>,
    address: SocketAddr,
    datagram: &Datagram,
    extension: &Extension,
    sections: &Sections,
) where
    P: Platform,
{
    let Ok(bytes) = message::encode(datagram, extension, sections) else { return };
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
    let mut round = 0;
    loop {
        within(SEND_INTERVAL, node.send_now.listen()).await;
        let now = node.now();
        for unresponsive in node.peers.borrow_mut().newly_unresponsive(now) {
            events::log(Event::PeerLost, json!({ "instance": unresponsive.as_str() }));
        }
        if node.evacuations.expire(now) {
            node.evacuations_changed();
        }
        round += 1;
        node.update_paces();
        let mut receivers = receivers(&node, round);
        if node.take_urgent_news() {
            receivers.extend(live_followers(&node, now));
        }
        if node.succession.take_news() {
            receivers.extend(region_of(&node));
        }
        receivers.sort();
        receivers.dedup();
        let tells_positions = round % ROUNDS_PER_POSITIONS == 0;
        let positions = tells_positions.then(|| content::acknowledged_positions(&node, now));
        for receiver in receivers {
            send_with_positions(&node, &receiver, None, positions.as_ref(), now);
        }
        relay::catch_up(&node, now);
    }
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
    let hubs = node.own_hubs();
    hubs.get(round % hubs.len().max(1)).cloned().into_iter().collect()
}

/// The live instances that get the state of the groups from this hub; none in a flat fleet, and for an instance that is
/// no hub.
fn live_followers<P>(node: &Node<P>, now: Instant) -> Vec<InstanceId>
where
    P: Platform,
{
    let topology = node.topology();
    if !topology.is_hub(node.instance()) {
        return Vec::new();
    }
    let mut live = node.peers.borrow().live(now);
    live.retain(|name| !topology.is_hub(name));
    live
}

/// The other instances of the region of this one, whether they are live or not.
fn region_of<P>(node: &Node<P>) -> Vec<InstanceId>
where
    P: Platform,
{
    let topology = node.topology();
    let own = node.instance();
    let mut names = node.peers.borrow().names();
    names.retain(|name| topology.is_same_region(name, own));
    names
}

/// Sends a status message to an instance, with the demand of the workspaces in `demanded` or of all.
fn send_to<P>(
    node: &Rc<Node<P>>,
    name: &InstanceId,
    demanded: Option<&BTreeSet<Box<str>>>,
    now: Instant,
) where
    P: Platform,
{
    send_with_positions(node, name, demanded, None, now);
}

/// Like [`send_to`], with the positions of acknowledged commits for an instance that may replace a primary.
fn send_with_positions<P>(
    node: &Rc<Node<P>>,
    name: &InstanceId,
    demanded: Option<&BTreeSet<Box<str>>>,
    positions: Option<&AcknowledgedSection>,
    now: Instant,
) where
    P: Platform,
{
    let latest = node.peers.borrow().latest_message(name);
    let Some((address, acknowledged)) = latest else { return };
    // A hub receives a fence from the instance that sets it; other instances receive it from their hubs.
    let relays_fences = !node.topology().is_hub(name);
    let status = Status {
        from: node.instance().as_str().into(),
        started: node.peers.borrow().started(),
        sent: nanos(now),
        acknowledged,
        version: node.version(),
        members_revision: node.members_version().revision,
        groups: content::group_infos(node, relays_fences, now),
        demands: node.admission.borrow_mut().advertise(name, demanded, now),
    };
    let extension = content::extension(node, relays_fences, now);
    let mut sections = content::sections(node, name, now);
    if let Some(section) = positions.filter(|section| !section.positions.is_empty())
        && content::may_replace_primaries(node, name)
    {
        // Names and numbers can always be encoded.
        let _ = sections.insert(SectionKind::Acknowledged, section);
    }
    send_extended(node, address, &Datagram::Status(status), &extension, &sections);
}
