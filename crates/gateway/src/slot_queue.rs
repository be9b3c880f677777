//! Limits the statements that run at a member at once, and divides its slots fairly among workspaces.
//!
//! A member rejects statements beyond its own short queue, and opening a connection costs it as much as a statement.
//! Requests therefore wait at the instance that holds the connections, where a workspace with an idle connection may
//! go before others for a limited time.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures::channel::oneshot;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::Workspace,
    queue::{FairQueue, Ticket},
};
use hibiscusladder_io::clock::{BootClock, within};

use crate::{adapter::Platform, pool::Pool};

/// Longest slot time by which a workspace without an idle connection may fall behind one with an idle connection; as
/// much as opening about ten connections.
const REUSE_HEAD_START: Duration = Duration::from_millis(120);
/// Weight of each request; the rates of workspaces are limited by the admission.
const WEIGHT: u32 = 1;

/// Queue of the requests that wait for a slot of one member.
pub struct SlotQueue<P>
where
    P: Platform,
{
    /// `None` when the limit on connections suffices, so that requests do not wait here.
    slots: Cell<Option<u32>>,
    queue: RefCell<FairQueue<oneshot::Sender<Permit<P>>>>,
}

impl<P> SlotQueue<P>
where
    P: Platform,
{
    /// Creates a queue for `slots` statements at once; `None` for no limit.
    pub fn new(slots: Option<u32>) -> Self {
        let queue = FairQueue::new(slots.unwrap_or_default());
        Self { slots: Cell::new(slots), queue: RefCell::new(queue) }
    }

    /// Changes the number of slots.
    pub fn set_slots(&self, slots: Option<u32>) {
        self.slots.set(slots);
        self.queue.borrow_mut().set_slots(slots.unwrap_or(u32::MAX));
    }
}

/// A slot for one statement. Dropping it grants the slot to the next request.
pub struct Permit<P>
where
    P: Platform,
{
    pool: Rc<Pool<P>>,
    ticket: Option<Ticket>,
}

impl<P> Drop for Permit<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        self.pool.slot_queue.queue.borrow_mut().finish(ticket, BootClock.now());
        grant_free_slots(&self.pool);
    }
}

/// Waits for a slot for a statement of `workspace`; `None` when none is free until `until`.
pub async fn acquire<P>(
    pool: &Rc<Pool<P>>,
    workspace: &Workspace,
    until: Instant,
) -> Option<Permit<P>>
where
    P: Platform,
{
    if pool.slot_queue.slots.get().is_none() {
        return Some(Permit { pool: pool.clone(), ticket: None });
    }
    let (grant, granted) = oneshot::channel();
    let now = BootClock.now();
    pool.slot_queue.queue.borrow_mut().push(workspace, WEIGHT, grant, until, now).ok()?;
    grant_free_slots(pool);
    within(until.since(now), granted).await?.ok()
}

fn grant_free_slots<P>(pool: &Rc<Pool<P>>)
where
    P: Platform,
{
    loop {
        let now = BootClock.now();
        let mut queue = pool.slot_queue.queue.borrow_mut();
        let next =
            queue.pop_preferring(now, REUSE_HEAD_START, |workspace| pool.has_idle(workspace));
        drop(queue.take_expired(now));
        drop(queue);
        let Some(next) = next else { return };
        // If the request no longer waits, the permit is dropped, which returns the slot.
        let _ = next.item.send(Permit { pool: pool.clone(), ticket: Some(next.ticket) });
    }
}
