//! Polls the members and sends control commands to them.
//!
//! Each poll has a cost, so answers to callers' statements and messages of other instances replace polls where they
//! carry the same information. In a flat fleet, one instance polls a primary without traffic; the others poll it only
//! when no recent leadership proof has reached them. In a larger fleet, hubs poll, and other instances tell them which
//! members are slow.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    membership,
    name::{InstanceId, MemberId},
    position::Term,
    roster::FleetRole,
    sync_group::{MemberStatus, PROOF_WINDOW, Role, SUSPICION_TIMEOUT},
};
use hibiscusladder_io::clock::within;
use serde_json::json;

use crate::{
    adapter::{MemberCommand, Platform, UpstreamPort},
    events::{self, Event},
    group_state::{GroupState, PollState},
    lease::Lease,
    member_path::{self, MemberPath},
    node::Node,
    pool::{AcquireError, Pool, Purpose, Values},
    tunnel::{self, Call, ControlCommand, RemoteStatus, Reply},
};

/// Longest wait for a connection for a poll.
const CONNECTION_WAIT: Duration = Duration::from_millis(200);
/// Time after which a poll no longer counts as running, for one whose task has failed.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the answer to a poll or another control command.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the newest leadership proof at which the first-ranked instance of a flat fleet polls, or the first-ranked hub
/// of a region in a larger fleet.
const FIRST_POLL_AGE: Duration = Duration::from_millis(350);
/// Age at which the other hubs of a region poll. A proof of the first-ranked one reaches them with one message.
const SECOND_POLL_AGE: Duration = Duration::from_millis(700);
/// Age at which the other instances of a flat fleet poll. A proof reaches them with two messages of another instance.
const OTHER_POLL_AGE: Duration = Duration::from_millis(900);
/// Age at which an instance polls that is no hub and hears from none.
const LAST_POLL_AGE: Duration = Duration::from_millis(1150);
/// Step between the ages at which the other instances of a flat fleet poll, one after the other by rank.
const POLL_AGE_STEP: Duration = Duration::from_millis(30);
/// Time between polls of a member that is being promoted.
const PROMOTED_INTERVAL: Duration = Duration::from_millis(100);
/// Time between polls of a member for which a poll was requested, of an unresponsive primary, of replicas that hold a term,
/// and of members whose answers renew a leadership proof that is due.
const PRIORITY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between polls of a member that has not answered yet, and of all members while the group has no leader.
const UNKNOWN_INTERVAL: Duration = Duration::from_millis(400);
/// Time between polls of an unresponsive replica.
const UNRESPONSIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between polls of a replica for which none of the other intervals holds; these polls report its lag.
const REPLICA_INTERVAL: Duration = Duration::from_secs(6);

/// Sends the polls of a group that are due.
///
/// A follower sends none: hubs poll the members and send what they learn.
pub fn send_due_polls<P>(node: &Rc<Node<P>>, group: &Rc<GroupState>, role: FleetRole, now: Instant)
where
    P: Platform,
{
    if role == FleetRole::Follower {
        return;
    }
    let due = due_members(node, group, role, now);
    for member in due {
        group.poll_requested.borrow_mut().remove(&member);
        let mut polls = group.polls.borrow_mut();
        let logged_lost = polls.get(&member).is_some_and(|last| last.logged_lost);
        polls.insert(member.clone(), PollState { sent: Some(now), running: true, logged_lost });
        drop(polls);
        let (node, group) = (node.clone(), group.clone());
        node.clone().spawn(async move { poll(&node, &group, &member).await });
    }
}

fn due_members<P>(
    node: &Node<P>,
    group: &GroupState,
    role: FleetRole,
    now: Instant,
) -> Vec<MemberId>
where
    P: Platform,
{
    let view = group.view.borrow();
    let poll_requested = group.poll_requested.borrow();
    let polls = group.polls.borrow();
    let leader = view.leader(now);
    let proof_age =
        view.leader_proven_until(now).map(|until| PROOF_WINDOW.saturating_sub(until.since(now)));
    let proof_due = proof_age.is_none_or(|age| age >= poll_age(node, group, now));
    let failover = group.failover.borrow();
    let proof_replica = leader.as_ref().and_then(|leader| {
        let others = view.members().filter(|member| **member != leader.member);
        others.min_by_key(|member| view.unanswered_for(member, now)).cloned()
    });
    let is_hub = role == FleetRole::Hub;
    let uncertain = view.is_leader_uncertain();
    let interval = |member: &MemberId| -> Duration {
        let leads = leader.as_ref().is_some_and(|leader| leader.member == *member);
        let unresponsive = !view.unanswered_for(member, now).is_zero();
        if !is_hub && !poll_requested.contains(member) && !(leads && (unresponsive || proof_due)) {
            // Without a hub, the answers to requests show most of what polls would.
            return Duration::MAX;
        }
        if failover.promoting() == Some(member) {
            PROMOTED_INTERVAL
        } else if poll_requested.contains(member)
            || (leads && unresponsive)
            || (!leads && failover.held_since().is_some())
        {
            PRIORITY_INTERVAL
        } else if view.status(member).is_none() || leader.is_none() {
            UNKNOWN_INTERVAL
        } else if proof_due && (leads || uncertain || proof_replica.as_ref() == Some(member)) {
            PRIORITY_INTERVAL
        } else if unresponsive {
            UNRESPONSIVE_INTERVAL
        } else {
            REPLICA_INTERVAL
        }
    };
    let due = view.members().filter(|member| {
        let last = polls.get(*member).copied().unwrap_or_default();
        let since_last_poll = last.sent.map_or(Duration::MAX, |sent| now.since(sent));
        let interval = interval(member);
        let running = last.running && since_last_poll < POLL_TIMEOUT;
        !running && interval < Duration::MAX && since_last_poll >= interval
    });
    due.cloned().collect()
}

/// Age of the newest leadership proof at which this instance polls.
fn poll_age<P>(node: &Node<P>, group: &GroupState, now: Instant) -> Duration
where
    P: Platform,
{
    let topology = node.topology();
    if !topology.is_flat() {
        if !topology.is_hub(node.instance()) {
            return LAST_POLL_AGE;
        }
        let is_first = regional_rank(node, group.name.as_str(), now) == 0;
        return if is_first { FIRST_POLL_AGE } else { SECOND_POLL_AGE };
    }
    match hub_rank(node, group.name.as_str(), now) {
        0 => FIRST_POLL_AGE,
        rank => OTHER_POLL_AGE + POLL_AGE_STEP * u32::try_from(rank.min(5)).unwrap_or(0),
    }
}

/// Number of live hubs that come before this instance in the order for `key`; the order differs from key to key.
pub fn hub_rank<P>(node: &Node<P>, key: &str, now: Instant) -> usize
where
    P: Platform,
{
    let own = node.instance().as_str();
    let own_weight = membership::weight(&[key], own);
    let topology = node.topology();
    let live = node.peers.borrow().live(now);
    let hubs = live.iter().filter(|name| topology.is_hub(name));
    hubs.filter(|name| membership::weight(&[key], name.as_str()) > own_weight).count()
}

/// Like [`hub_rank`], among the hubs of the region of this instance.
fn regional_rank<P>(node: &Node<P>, key: &str, now: Instant) -> usize
where
    P: Platform,
{
    let own_weight = membership::weight(&[key], node.instance().as_str());
    let topology = node.topology();
    let peers = node.peers.borrow();
    let live = topology.regional_hubs(node.instance()).filter(|hub| peers.is_live(hub, now));
    live.filter(|hub| membership::weight(&[key], hub.as_str()) > own_weight).count()
}

async fn poll<P>(node: &Rc<Node<P>>, group: &GroupState, member: &MemberId)
where
    P: Platform,
{
    // The view of the group records the outcome, so an error needs no further handling.
    let _ = send_control(node, group, member, ControlCommand::Status, None).await;
    let unresponsive = group.view.borrow().unanswered_for(member, node.now()) >= SUSPICION_TIMEOUT;
    let mut polls = group.polls.borrow_mut();
    let poll = polls.entry(member.clone()).or_default();
    poll.running = false;
    if poll.logged_lost != unresponsive {
        poll.logged_lost = unresponsive;
        let event = if unresponsive { Event::MemberLost } else { Event::MemberRegained };
        events::log(event, json!({ "group": group.name.as_str(), "member": member.as_str() }));
    }
    drop(polls);
    group.notify();
}

/// Reason why a control command has no answer.
#[derive(Debug)]
pub enum ControlError {
    /// No connection was available. Nothing was sent, unless a holder failed during the call.
    NoConnection,
    /// The member answered without a status, as it does while it has no free slot.
    Busy,
    /// The member or its connection failed, or no answer came in time.
    Failed(io::Error),
}

/// Sends a control command to a member, and records its status in the view of the group. With `until`, the command is
/// not sent after that time, and no longer arrives then.
///
/// # Errors
///
/// The member gave no status. The command may have taken effect, except where [`ControlError`] says that nothing was
/// sent.
pub async fn send_control<P>(
    node: &Node<P>,
    group: &GroupState,
    member: &MemberId,
    command: ControlCommand,
    until: Option<Instant>,
) -> Result<MemberStatus, ControlError>
where
    P: Platform,
{
    let pool = node.pool(member).ok_or(ControlError::NoConnection)?;
    let workspace = node.any_workspace().ok_or(ControlError::NoConnection)?;
    let (sent, era) = (node.now(), node.store_era.known());
    group.view.borrow_mut().poll_sent(member, sent);
    let addresses = |names: &[InstanceId]| node.holder_addresses(names, &workspace);
    let exchanged = match member_path::choose(node.instance(), &pool, sent, addresses) {
        MemberPath::Through { instances, .. } => {
            send_control_through(node, member, instances, command, until).await
        }
        MemberPath::Direct => {
            // A claim that the store has lost allows releases only.
            let is_allowed = || match command {
                ControlCommand::Hold(_) | ControlCommand::Demote(_) => {
                    node.store_era.known() == era
                }
                ControlCommand::Status | ControlCommand::Resume => true,
            };
            let is_wanted = || is_allowed() && until.is_none_or(|until| node.now() < until);
            let sending = send_control_locally(node, &pool, member_command(command), is_wanted);
            let left = until.map_or(Duration::MAX, |until| until.since(sent));
            // Dropping the future withdraws a command that has not been delivered.
            within(left, sending).await.unwrap_or(Err(ControlError::NoConnection))
        }
    };
    let mut view = group.view.borrow_mut();
    match &exchanged {
        Ok(status) => view.observe(member, *status, sent),
        // A command without a connection says nothing about the member.
        Err(ControlError::NoConnection) => view.poll_cancelled(member, sent),
        // A member without a free slot still responds.
        Err(ControlError::Busy) => view.answered(member, None, sent),
        Err(ControlError::Failed(_)) => {}
    }
    drop(view);
    if exchanged.is_ok() {
        group.log_leader_change(Some(member), node.now());
    }
    exchanged
}

/// The command in the form that is sent to a member.
pub const fn member_command(command: ControlCommand) -> MemberCommand<'static> {
    match command {
        ControlCommand::Status => MemberCommand::Status,
        ControlCommand::Hold(term) => MemberCommand::Hold(Term(term)),
        ControlCommand::Resume => MemberCommand::Resume,
        ControlCommand::Demote(term) => MemberCommand::Demote(Term(term)),
    }
}

/// Sends a control command on a connection of this instance, if `is_wanted` once the connection is available.
///
/// # Errors
///
/// As for [`send_control`].
pub async fn send_control_locally<P, F>(
    node: &Node<P>,
    pool: &Rc<Pool<P>>,
    command: MemberCommand<'_>,
    is_wanted: F,
) -> Result<MemberStatus, ControlError>
where
    P: Platform,
    F: Fn() -> bool,
{
    let mut lease = acquire_connection(node, pool).await?;
    if !is_wanted() {
        return Err(ControlError::NoConnection);
    }
    let exchange = within(ANSWER_TIMEOUT, lease.exchange(command)).await;
    let error = match exchange {
        Some(Ok(answer)) => return P::Upstream::status(&answer).ok_or(ControlError::Busy),
        Some(Err(error)) => error,
        None => io::ErrorKind::TimedOut.into(),
    };
    pool.drop_idle();
    Err(ControlError::Failed(error))
}

/// Sends a control command through one of `instances`.
async fn send_control_through<P>(
    node: &Node<P>,
    member: &MemberId,
    instances: Vec<(InstanceId, SocketAddr)>,
    command: ControlCommand,
    until: Option<Instant>,
) -> Result<MemberStatus, ControlError>
where
    P: Platform,
{
    let call = Call::Control { member: member.as_str().into(), command };
    for (holder, address) in instances {
        let Ok(mut tunnel) = node.tunnels.open(address).await else {
            node.peers.borrow_mut().record_unreachable(&holder, node.now());
            continue;
        };
        let longest = ANSWER_TIMEOUT + CONNECTION_WAIT;
        let limit = time_left(node, until, longest).ok_or(ControlError::NoConnection)?;
        match within(limit, tunnel.call(&call)).await {
            Some(Ok(Reply::Status(Some(status)))) => return Ok(member_status(status)),
            Some(Ok(_)) => return Err(ControlError::Failed(io::ErrorKind::TimedOut.into())),
            Some(Err(_)) | None => {
                node.tunnels.drop_idle(address);
                node.peers.borrow_mut().record_unreachable(&holder, node.now());
            }
        }
    }
    Err(ControlError::NoConnection)
}

/// `longest`, or the time until `until` if that is shorter; `None` when nothing is left.
fn time_left<P>(node: &Node<P>, until: Option<Instant>, longest: Duration) -> Option<Duration>
where
    P: Platform,
{
    let left = until.map_or(longest, |until| longest.min(until.since(node.now())));
    (!left.is_zero()).then_some(left)
}

fn member_status(status: RemoteStatus) -> MemberStatus {
    MemberStatus {
        role: if status.primary { Role::Primary } else { Role::Replica },
        term: Term(status.term),
        received: tunnel::position(status.received),
        held: Term(status.held),
        lag: Duration::from_micros(status.lag),
        connections: status.connections,
    }
}

async fn acquire_connection<P>(node: &Node<P>, pool: &Rc<Pool<P>>) -> Result<Lease<P>, ControlError>
where
    P: Platform,
{
    if let Some(lease) = pool.take_oldest() {
        return Ok(lease);
    }
    let workspace = node.any_workspace().ok_or(ControlError::NoConnection)?;
    let until = node.now().plus(CONNECTION_WAIT);
    match pool.connect(Purpose::Control, &workspace, &Values::new(), until).await {
        Ok(lease) => Ok(lease),
        Err(AcquireError::Unreachable(error)) => {
            pool.holder_reach.borrow_mut().record_unreachable(node.instance(), node.now());
            Err(ControlError::Failed(error))
        }
        Err(_) => Err(ControlError::NoConnection),
    }
}
