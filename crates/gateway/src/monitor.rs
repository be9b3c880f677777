//! Polls of the members, and orders to them.

use std::{io, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, MemberId},
    sync_group::{MemberStatus, POLL_INTERVAL, SILENCE},
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::json;

use crate::{
    adapter::{Order, Platform, UpstreamPort},
    events::{self, Event},
    node::{GroupState, Node},
    pool::{AcquireError, Lease, Pool, Values},
};

/// Longest wait for a connection for a poll.
const CONNECTION_WAIT: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a poll or an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Polls a member for as long as it is listed.
pub async fn poll_member<P>(node: Rc<Node<P>>, group: Group, member: MemberId)
where
    P: Platform,
{
    let mut lost = false;
    loop {
        let started = node.now();
        let Some(state) = node.group(&group) else { return };
        if node.member(&member).is_none_or(|known| known.record.group != group) {
            return;
        }
        poll(&node, &state, &member).await;
        let silent = state.view.borrow().silent_for(&member, node.now()) >= SILENCE;
        if silent != lost {
            lost = silent;
            let event = if lost { Event::MemberLost } else { Event::MemberRegained };
            events::note(event, json!({ "group": group.as_str(), "member": member.as_str() }));
        }
        sleep(POLL_INTERVAL.saturating_sub(node.now().since(started))).await;
    }
}

async fn poll<P>(node: &Node<P>, state: &GroupState, member: &MemberId)
where
    P: Platform,
{
    let sent = node.now();
    match order(node, state, member, Order::Status).await {
        // A poll for which no connection was free says nothing about the member.
        Ok(_) | Err(OrderError::NoConnection) => {}
        Err(OrderError::Failed(_)) => {
            state.view.borrow_mut().poll_sent(member, sent);
            state.notify();
        }
    }
}

/// Why an order to a member had no answer.
#[derive(Debug)]
pub enum OrderError {
    /// No connection was free; nothing was sent.
    NoConnection,
    /// The member does not answer, or not with a status.
    Failed(io::Error),
}

/// Sends an order that is answered with a status, and records the answer.
///
/// # Errors
///
/// The order may have taken effect unless there was no connection.
pub async fn order<P>(
    node: &Node<P>,
    state: &GroupState,
    member: &MemberId,
    order: Order<'_>,
) -> Result<MemberStatus, OrderError>
where
    P: Platform,
{
    let pool = node.pool(member).ok_or(OrderError::NoConnection)?;
    let mut lease = connection(node, &pool).await?;
    let sent = node.now();
    let exchange = within(ANSWER_TIMEOUT, lease.exchange(order)).await;
    let answer = match exchange {
        Some(Ok(answer)) => answer,
        Some(Err(error)) => {
            pool.drop_idle();
            return Err(OrderError::Failed(error));
        }
        None => {
            pool.drop_idle();
            return Err(OrderError::Failed(io::ErrorKind::TimedOut.into()));
        }
    };
    let Some(status) = P::Upstream::status(&answer) else {
        // A member without a free slot answers that it is busy, which shows that it lives.
        return Err(OrderError::NoConnection);
    };
    observe(state, member, status, sent);
    Ok(status)
}

async fn connection<P>(node: &Node<P>, pool: &Rc<Pool<P>>) -> Result<Lease<P>, OrderError>
where
    P: Platform,
{
    if let Some(lease) = pool.take_oldest() {
        return Ok(lease);
    }
    let workspace = node.any_workspace().ok_or(OrderError::NoConnection)?;
    let until = node.now().plus(CONNECTION_WAIT);
    match pool.acquire(&workspace, &Values::new(), until).await {
        Ok(lease) => Ok(lease),
        Err(AcquireError::Unreachable(error)) => Err(OrderError::Failed(error)),
        Err(AcquireError::Exhausted | AcquireError::Refused(_)) => Err(OrderError::NoConnection),
    }
}

fn observe(state: &GroupState, member: &MemberId, status: MemberStatus, sent: Instant) {
    let mut view = state.view.borrow_mut();
    view.observe(member, status, sent);
    let leader = view.leader();
    drop(view);
    let leader = leader.map(|leader| (leader.member, leader.term.0, leader.fenced));
    if *state.announced.borrow() != leader {
        events::note(
            Event::LeaderChanged,
            json!({
                "group": state.name.as_str(),
                "leader": leader.as_ref().map(|(member, _, _)| member.as_str()),
                "term": leader.as_ref().map(|(_, term, _)| *term),
                "fenced": leader.as_ref().map(|(_, _, fenced)| *fenced),
                "answered_by": member.as_str(), "held": status.held.0,
            }),
        );
        *state.announced.borrow_mut() = leader;
    }
    state.notify();
}
