//! Slots of a member, which limit the number of requests that run at a time and are assigned by a fair queue.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::channel::oneshot;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::Workspace,
    outcome::{Refusal, RefusalKind},
    queue::{FairQueue, Started, Ticket},
};
use smol::{Timer, future::FutureExt};

use crate::{clock::BootClock, node::lock, settings::QueuePolicy};

type Waiter = oneshot::Sender<Slot>;

/// The slots of one member; clones share them.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    queue: Arc<Mutex<FairQueue<Waiter>>>,
    clock: BootClock,
    order: QueuePolicy,
}

/// A slot in use. Dropping it frees the slot and charges the workspace for the time since it was assigned.
#[derive(Debug)]
pub struct Slot {
    slot_queue: SlotQueue,
    ticket: Ticket,
}

impl SlotQueue {
    /// Creates the queue for `slots` slots; a request waits at most `max_wait`.
    pub fn new(slots: u32, max_wait: Duration, clock: BootClock) -> Self {
        let queue = FairQueue::new(slots).max_wait(max_wait);
        Self { queue: Arc::new(Mutex::new(queue)), clock, order: QueuePolicy::default() }
    }

    /// Sets the order in which waiting requests are assigned a slot; fair by default.
    #[must_use]
    pub const fn order(mut self, order: QueuePolicy) -> Self {
        self.order = order;
        self
    }

    /// Waits for a slot until `deadline`. Workspaces that compete get slot time in proportion to their `weight`.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the expected wait is too long, or when no slot was assigned before the request expired.
    pub async fn slot(
        &self,
        workspace: &Workspace,
        weight: u32,
        deadline: Instant,
    ) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let (flow, weight) = match self.order {
            QueuePolicy::Fair => (workspace.clone(), weight),
            // Within one flow the order is first in, first out.
            QueuePolicy::Fifo => (Workspace::new("all"), 1),
        };
        let now = self.clock.now();
        let pushed = lock(&self.queue).push(&flow, weight, sender, deadline, now);
        if let Err(rejected) = pushed {
            return Err(Refusal::not_run(RefusalKind::QueueFull).retry_after(rejected.retry_after));
        }
        self.start_next();
        let slot = async { receiver.await.ok() };
        slot.or(self.drop_expired_until(deadline))
            .await
            .ok_or_else(|| Refusal::not_run(RefusalKind::QueueFull))
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        lock(&self.queue).len()
    }

    /// Number of requests that use a slot.
    pub fn in_service(&self) -> usize {
        lock(&self.queue).in_service()
    }

    /// Drops expired requests from the queue as they expire; completes with `None` at `deadline`.
    async fn drop_expired_until(&self, deadline: Instant) -> Option<Slot> {
        loop {
            let now = self.clock.now();
            if now >= deadline {
                return None;
            }
            let next = lock(&self.queue).next_expiry().map_or(deadline, |next| next.min(deadline));
            Timer::after(next.since(now).max(Duration::from_millis(1))).await;
            // The senders are dropped outside the lock, since that wakes their receivers.
            let expired = lock(&self.queue).take_expired(self.clock.now());
            drop(expired);
        }
    }

    /// Assigns free slots to the next requests.
    fn start_next(&self) {
        loop {
            // The lock is not held while the slot is sent: without a receiver, dropping it locks the queue again.
            let started = lock(&self.queue).pop(self.clock.now());
            let Some(Started { ticket, item, .. }) = started else { return };
            let slot = Slot { slot_queue: self.clone(), ticket };
            drop(item.send(slot));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.slot_queue.clock.now();
        lock(&self.slot_queue.queue).finish(self.ticket, now);
        self.slot_queue.start_next();
    }
}
