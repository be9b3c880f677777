//! Waits for a slot and a connection of this instance, for as long as the member may run the request.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::evacuation::Service;
use smol::future::FutureExt;

use crate::{
    adapter::Platform,
    lease::Lease,
    node::Node,
    pool::{AcquireError, Pool, Values},
    urgency::SlotRequest,
};

/// Longest time between two checks whether a member is still the primary; a change of the leader is noticed at once.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks whether the time of an evacuated primary is over.
const EVACUATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for a slot and a connection of this instance. A request that needs the primary does not wait for a former one, and
/// none waits for a member that gets no work because it is evacuated.
///
/// # Errors
///
/// There is no slot or connection in time, another member is the primary, or the member is evacuated. No statement has run.
pub async fn acquire<P>(
    node: &Node<P>,
    pool: &Rc<Pool<P>>,
    request: &SlotRequest<'_>,
    values: &Values,
) -> Result<Lease<P>, AcquireError>
where
    P: Platform,
{
    if is_evacuated(node, pool) {
        return Err(AcquireError::Evacuated);
    }
    let evacuated = async {
        until_evacuated(node, pool).await;
        Err(AcquireError::Evacuated)
    };
    let acquired = acquire_unless_replaced(node, pool, request, values).or(evacuated).await;
    match &acquired {
        Ok(_) => pool.holder_reach.borrow_mut().record_answer(node.instance()),
        Err(AcquireError::Unreachable(_)) => {
            pool.holder_reach.borrow_mut().record_unreachable(node.instance(), node.now());
        }
        Err(_) => {}
    }
    if let Some(urgency) = request.urgency {
        match &acquired {
            Ok(lease) => node.metrics.time_slot_wait(urgency.priority, lease.slot_wait()),
            Err(AcquireError::NoSlot(no_slot)) => {
                node.metrics.count_no_slot(urgency.priority, no_slot.is_expected);
            }
            Err(_) => {}
        }
    }
    acquired
}

async fn acquire_unless_replaced<P>(
    node: &Node<P>,
    pool: &Rc<Pool<P>>,
    request: &SlotRequest<'_>,
    values: &Values,
) -> Result<Lease<P>, AcquireError>
where
    P: Platform,
{
    match request.urgency {
        Some(urgency) if urgency.needs_primary => {
            let replaced = async {
                until_replaced(node, pool).await;
                Err(AcquireError::Replaced)
            };
            pool.acquire(request, values).or(replaced).await
        }
        _ => pool.acquire(request, values).await,
    }
}

/// Whether the member of `pool` gets no new work because its data centre is evacuated. As long as no primary is known, the
/// instance of the caller decides.
fn is_evacuated<P>(node: &Node<P>, pool: &Pool<P>) -> bool
where
    P: Platform,
{
    if !node.evacuations.is_evacuated(&pool.data_centre) {
        return false;
    }
    let now = node.now();
    let group = node.group(&pool.target.group);
    let leader = group.and_then(|group| group.view.borrow().leader(now));
    let is_primary = leader.is_none_or(|leader| leader.member == pool.target.member);
    node.evacuation_service(&pool.target.member, is_primary, now) == Service::None
}

/// Waits until the member of `pool` gets no new work because its data centre is evacuated.
async fn until_evacuated<P>(node: &Node<P>, pool: &Pool<P>)
where
    P: Platform,
{
    let Some(group) = node.group(&pool.target.group).filter(|_| node.evacuations.is_enabled())
    else {
        return smol::future::pending().await;
    };
    while !is_evacuated(node, pool) {
        // The time of an evacuated primary ends without an event.
        let is_timed = node.evacuations.is_evacuated(&pool.data_centre);
        let interval = if is_timed { EVACUATION_CHECK_INTERVAL } else { LEADER_CHECK_INTERVAL };
        group.wait_for_change(interval).await;
    }
}

/// Waits until this instance learns that another member than that of `pool` has become the primary of its group. What it
/// knew before does not count, because the instance of the caller may know more.
async fn until_replaced<P>(node: &Node<P>, pool: &Pool<P>)
where
    P: Platform,
{
    let Some(group) = node.group(&pool.target.group) else {
        return smol::future::pending().await;
    };
    let known_term = group.view.borrow().leader_term();
    loop {
        let leader = group.view.borrow().leader(node.now());
        let is_replaced = leader.is_some_and(|leader| {
            leader.term > known_term && leader.member != pool.target.member && !leader.fenced
        });
        if is_replaced {
            return;
        }
        group.wait_for_change(LEADER_CHECK_INTERVAL).await;
    }
}
