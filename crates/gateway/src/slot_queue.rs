//! Limits the statements that run at a member at once, and orders the requests that wait for its slots or connections.
//!
//! A member rejects statements beyond its own short queue, and opening a connection costs it as much as a statement.
//! Requests therefore wait at the instance that holds the connections, where a workspace with an idle connection may
//! go before others for a limited time.
//!
//! A request that begins a transaction first waits for one of the connections that transactions may keep. Without
//! priorities, requests wait for slots only, in the order of the fair queue.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures::channel::oneshot;
use hibiscusladder_core::{
    clock::Clock,
    name::Workspace,
    queue::{FairQueue, RequestId, Ticket},
};
use hibiscusladder_io::clock::{BootClock, within};

use crate::{
    adapter::Platform,
    pool::{Pool, PoolLimits},
    slot_order::SlotOrder,
    urgency::{NoSlot, SlotRequest},
};

/// Longest slot time by which a workspace without an idle connection may fall behind one with an idle connection; as
/// much as opening about ten connections.
const REUSE_HEAD_START: Duration = Duration::from_millis(120);
/// Weight of each request without priorities; the rates of workspaces are limited by the admission.
const WEIGHT: u32 = 1;
/// Part of the connections that open transactions may keep, as numerator and denominator. The rest is left to single
/// statements while callers pause in their transactions.
const TRANSACTION_PART: (usize, usize) = (3, 4);

/// Queue of the requests that wait for a slot of one member.
pub struct SlotQueue<P>
where
    P: Platform,
{
    limits: Cell<PoolLimits>,
    /// Statements that the pace of the member allows at once; `None` in steady service.
    pace: Cell<Option<u32>>,
    /// Connections that open transactions keep without a slot.
    kept: Cell<usize>,
    lines: Lines<P>,
}

enum Lines<P>
where
    P: Platform,
{
    /// Requests wait for slots in the order of arrival within a workspace.
    Fair(RefCell<FairQueue<oneshot::Sender<Permit<P>>>>),
    /// Requests wait for slots and connections in the order of their urgency.
    Ordered(Box<OrderedLines<P>>),
}

struct OrderedLines<P>
where
    P: Platform,
{
    slots: RefCell<SlotOrder<Waiter<P>>>,
    /// Connections that transactions may keep.
    transactions: RefCell<SlotOrder<Waiter<P>>>,
}

type Waiter<P> = oneshot::Sender<Result<Permit<P>, NoSlot>>;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line {
    /// A slot for a statement.
    Slot,
    /// A connection that a transaction may keep.
    Transaction,
}

impl<P> SlotQueue<P>
where
    P: Platform,
{
    /// Creates a queue with the limits of a pool. `with_priorities` selects the order by urgency.
    pub fn new(limits: PoolLimits, with_priorities: bool) -> Self {
        let lines = if with_priorities {
            let (slots, transactions) = (RefCell::default(), RefCell::default());
            Lines::Ordered(Box::new(OrderedLines { slots, transactions }))
        } else {
            Lines::Fair(RefCell::new(FairQueue::new(0)))
        };
        let queue =
            Self { limits: Cell::new(limits), pace: Cell::new(None), kept: Cell::new(0), lines };
        queue.update_slots();
        queue
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: PoolLimits) {
        self.limits.set(limits);
        self.update_slots();
    }

    fn update_slots(&self) {
        let PoolLimits { open, running, .. } = self.limits.get();
        let running = running.into_iter().chain(self.pace.get()).min();
        match &self.lines {
            Lines::Fair(queue) => queue.borrow_mut().set_slots(running.unwrap_or(u32::MAX)),
            Lines::Ordered(lines) => {
                // With a single connection, a statement waits for it until the transaction has ended.
                let free = open.saturating_sub(self.kept.get()).max(open.min(1));
                let free = u32::try_from(free).unwrap_or(u32::MAX);
                lines
                    .slots
                    .borrow_mut()
                    .set_slots(running.map_or(free, |running| running.min(free)));
                let (numerator, denominator) = TRANSACTION_PART;
                let kept = (open * numerator / denominator).max(open.min(1));
                lines.transactions.borrow_mut().set_slots(u32::try_from(kept).unwrap_or(u32::MAX));
            }
        }
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        match &self.lines {
            Lines::Fair(queue) => queue.borrow().len(),
            Lines::Ordered(lines) => lines.slots.borrow().len() + lines.transactions.borrow().len(),
        }
    }

    fn order(&self, line: Line) -> Option<&RefCell<SlotOrder<Waiter<P>>>> {
        match (&self.lines, line) {
            (Lines::Fair(_), _) => None,
            (Lines::Ordered(lines), Line::Slot) => Some(&lines.slots),
            (Lines::Ordered(lines), Line::Transaction) => Some(&lines.transactions),
        }
    }
}

/// A slot for one statement, or a connection that a transaction may keep. Dropping it grants it to the next request.
pub struct Permit<P>
where
    P: Platform,
{
    pool: Rc<Pool<P>>,
    line: Line,
    /// `None` when the requests of the pool do not wait.
    ticket: Option<Ticket>,
    /// Time for which the request waited.
    waited: Duration,
    /// Number of the statement for the pace of the member.
    number: Option<u64>,
    /// Kind of the work; `None` without priorities.
    kind: Option<u64>,
}

impl<P> Permit<P>
where
    P: Platform,
{
    fn new(pool: &Rc<Pool<P>>, line: Line, ticket: Ticket, waited: Duration) -> Self {
        let pace = pool.pace.as_ref().filter(|_| line == Line::Slot);
        let number = pace.map(|pace| pace.begin(BootClock.now()));
        Self { pool: pool.clone(), line, ticket: Some(ticket), waited, number, kind: None }
    }

    /// Kind of the work; `None` without priorities.
    pub const fn kind(&self) -> Option<u64> {
        self.kind
    }

    /// Time for which the request waited.
    pub const fn waited(&self) -> Duration {
        self.waited
    }
}

impl<P> Drop for Permit<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        if let (Some(pace), Some(number)) = (&self.pool.pace, self.number) {
            pace.end(number);
        }
        let now = BootClock.now();
        let queue = &self.pool.slot_queue;
        match &queue.lines {
            Lines::Fair(fair) => fair.borrow_mut().finish(ticket, now),
            Lines::Ordered(_) => {
                if let Some(order) = queue.order(self.line) {
                    order.borrow_mut().finish(ticket, now);
                }
            }
        }
        grant(&self.pool, self.line);
    }
}

/// A connection that an open transaction keeps without a slot. Dropping it leaves the connection to others.
pub struct KeptConnection<P>
where
    P: Platform,
{
    pool: Rc<Pool<P>>,
}

impl<P> KeptConnection<P>
where
    P: Platform,
{
    /// Counts a connection as kept by a transaction.
    pub fn new(pool: Rc<Pool<P>>) -> Self {
        pool.slot_queue.kept.set(pool.slot_queue.kept.get() + 1);
        pool.slot_queue.update_slots();
        Self { pool }
    }
}

impl<P> Drop for KeptConnection<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let queue = &self.pool.slot_queue;
        queue.kept.set(queue.kept.get() - 1);
        queue.update_slots();
        grant(&self.pool, Line::Slot);
    }
}

/// What a request got: a slot, and with it the right to keep a connection if it begins a transaction.
pub struct Permits<P>
where
    P: Platform,
{
    /// Slot for the statement.
    pub slot: Permit<P>,
    /// Connection that the transaction may keep.
    pub transaction: Option<Permit<P>>,
}

/// Waits for a slot.
///
/// # Errors
///
/// There is no slot in time. Without priorities, or for a request of an earlier version, nothing is known about the wait.
pub async fn acquire<P>(
    pool: &Rc<Pool<P>>,
    request: &SlotRequest<'_>,
) -> Result<Permits<P>, Option<NoSlot>>
where
    P: Platform,
{
    let Lines::Fair(queue) = &pool.slot_queue.lines else {
        let transaction = if request.begins_transaction() {
            Some(wait(pool, Line::Transaction, request).await?)
        } else {
            None
        };
        let mut slot = wait(pool, Line::Slot, request).await?;
        slot.kind = request.urgency.map(|urgency| urgency.kind);
        return Ok(Permits { slot, transaction });
    };
    if pool.slot_queue.limits.get().running.is_none() && pool.slot_queue.pace.get().is_none() {
        let (pool, line) = (pool.clone(), Line::Slot);
        let waited = Duration::ZERO;
        let slot = Permit { pool, line, ticket: None, waited, number: None, kind: None };
        return Ok(Permits { slot, transaction: None });
    }
    let (sender, granted) = oneshot::channel();
    let now = BootClock.now();
    let pushed = queue.borrow_mut().push(request.workspace, WEIGHT, sender, request.until, now);
    pushed.map_err(|_| None)?;
    grant(pool, Line::Slot);
    let granted = within(request.until.since(now), granted).await;
    let slot = granted.and_then(Result::ok).ok_or(None)?;
    Ok(Permits { slot, transaction: None })
}

/// Waits in the order of urgency.
async fn wait<P>(
    pool: &Rc<Pool<P>>,
    line: Line,
    request: &SlotRequest<'_>,
) -> Result<Permit<P>, Option<NoSlot>>
where
    P: Platform,
{
    let Some(order) = pool.slot_queue.order(line) else { return Err(None) };
    let (sender, granted) = oneshot::channel();
    let now = BootClock.now();
    let pushed = order.borrow_mut().push(request, sender, now);
    // Others may have been refused for this request.
    grant(pool, line);
    // Frees the place of a request whose caller has left, or whose time has passed.
    let _place = Place { pool, line, id: pushed? };
    match within(request.until.since(now), granted).await {
        Some(Ok(granted)) => granted.map_err(Some),
        Some(Err(_)) | None => Err(order.borrow_mut().expired(request, now, BootClock.now())),
    }
}

/// Place of a request in a line.
struct Place<'a, P>
where
    P: Platform,
{
    pool: &'a Rc<Pool<P>>,
    line: Line,
    id: RequestId,
}

impl<P> Drop for Place<'_, P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if let Some(order) = self.pool.slot_queue.order(self.line) {
            order.borrow_mut().cancel(self.id);
        }
    }
}

/// Updates the statements that may run at once from the pace of the member.
pub fn update_pace<P>(pool: &Rc<Pool<P>>)
where
    P: Platform,
{
    let limit = pool.pace.as_ref().and_then(|pace| pace.limit(BootClock.now()));
    if pool.slot_queue.pace.replace(limit) != limit {
        pool.slot_queue.update_slots();
        grant(pool, Line::Slot);
    }
}

/// Grants what is free to the next requests, and answers those that the queue has refused.
fn grant<P>(pool: &Rc<Pool<P>>, line: Line)
where
    P: Platform,
{
    match &pool.slot_queue.lines {
        Lines::Fair(queue) => grant_fair(pool, queue),
        Lines::Ordered(_) => grant_ordered(pool, line),
    }
}

fn grant_fair<P>(pool: &Rc<Pool<P>>, queue: &RefCell<FairQueue<oneshot::Sender<Permit<P>>>>)
where
    P: Platform,
{
    loop {
        let now = BootClock.now();
        let mut queue = queue.borrow_mut();
        let next =
            queue.pop_preferring(now, REUSE_HEAD_START, |workspace| pool.has_idle(workspace));
        drop(queue.take_expired(now));
        drop(queue);
        let Some(next) = next else { return };
        // If the request no longer waits, the permit is dropped, which returns the slot.
        let _ = next.item.send(Permit::new(pool, Line::Slot, next.ticket, next.waited));
    }
}

fn grant_ordered<P>(pool: &Rc<Pool<P>>, line: Line)
where
    P: Platform,
{
    let Some(order) = pool.slot_queue.order(line) else { return };
    loop {
        let now = BootClock.now();
        let is_preferred = |workspace: &Workspace| line == Line::Slot && pool.has_idle(workspace);
        let (next, refused) = order.borrow_mut().next(now, REUSE_HEAD_START, is_preferred);
        for (sender, no_slot) in refused {
            // The caller may have left.
            let _ = sender.send(Err(no_slot));
        }
        let Some(next) = next else { return };
        // If the request no longer waits, the permit is dropped, which returns the slot.
        let _ = next.item.send(Ok(Permit::new(pool, line, next.ticket, next.waited)));
    }
}
