//! Requests that wait for one capacity of a member in the order of their urgency, with the delays of those that are refused.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::Workspace,
    queue::{
        NewRequest, OrderedQueue, Refused, RefusedReason, RequestId, Started, Ticket, WorkKind,
    },
    return_time::{Refusal, ReturnTimes, latest_return},
};

use crate::urgency::{CallUrgency, NoSlot, SlotRequest, micros};

/// Longest wait of a request without urgency, as in the fair queue.
const MAX_PLAIN_WAIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    urgency: Option<CallUrgency>,
    jitter: f64,
    queued: Instant,
}

/// Requests that wait for one capacity.
#[derive(Debug)]
pub struct SlotOrder<T> {
    queue: OrderedQueue<Waiting<T>>,
    returns: ReturnTimes,
}

impl<T> Default for SlotOrder<T> {
    fn default() -> Self {
        Self { queue: OrderedQueue::new(0), returns: ReturnTimes::default() }
    }
}

impl<T> SlotOrder<T> {
    /// Changes the capacity.
    pub const fn set_slots(&mut self, slots: u32) {
        self.queue.set_slots(slots);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// The request is not expected to start in time.
    pub fn push(
        &mut self,
        request: &SlotRequest<'_>,
        item: T,
        now: Instant,
    ) -> Result<RequestId, NoSlot> {
        let (weight, priority) = request.contract;
        let new = match &request.urgency {
            Some(urgency) => NewRequest::new(request.workspace, request.until)
                .contract(weight, priority)
                .urgency(urgency.in_queue(now)),
            None => {
                let until = request.until.min(now.plus(MAX_PLAIN_WAIT));
                NewRequest::new(request.workspace, until)
            }
        };
        let waiting =
            Waiting { item, urgency: request.urgency, jitter: request.jitter, queued: now };
        let pushed = self.queue.push(new, waiting, now);
        pushed.map_err(|refused| self.no_slot(&refused, now))
    }

    /// Removes a request whose caller no longer waits.
    pub fn cancel(&mut self, id: RequestId) {
        self.queue.cancel(id);
    }

    /// The next request if there is capacity, and the requests that were refused meanwhile.
    pub fn next<F>(
        &mut self,
        now: Instant,
        slack: Duration,
        is_preferred: F,
    ) -> (Option<Started<T>>, Vec<(T, NoSlot)>)
    where
        F: Fn(&Workspace) -> bool,
    {
        let next = self.queue.pop_preferring(now, slack, is_preferred);
        let next = next.map(|started| Started {
            ticket: started.ticket,
            workspace: started.workspace,
            item: started.item.item,
            waited: started.waited,
        });
        let refused = self.queue.take_refused(now);
        let refused = refused.into_iter().map(|refused| {
            let no_slot = self.no_slot(&refused, now);
            (refused.item.item, no_slot)
        });
        let refused = refused.collect();
        (next, refused)
    }

    /// Frees the capacity of a request that has ended.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        self.queue.finish(ticket, now);
    }

    /// Refusal of a request that was queued at `queued` and whose time has passed.
    pub fn expired(
        &mut self,
        request: &SlotRequest<'_>,
        queued: Instant,
        now: Instant,
    ) -> Option<NoSlot> {
        let urgency = request.urgency?;
        let return_after = self.return_after(&urgency, request.jitter, now.since(queued), now);
        Some(NoSlot { is_expected: false, wait: 0, return_after: micros(return_after) })
    }

    fn no_slot(&mut self, refused: &Refused<Waiting<T>>, now: Instant) -> NoSlot {
        let Waiting { urgency, jitter, queued, .. } = &refused.item;
        let return_after = urgency.map_or(refused.expected, |urgency| {
            self.return_after(&urgency, *jitter, now.since(*queued), now)
        });
        NoSlot {
            is_expected: refused.reason != RefusedReason::Expired,
            wait: micros(refused.expected),
            return_after: micros(return_after),
        }
    }

    /// Delay of the caller of a request that waited here for `waited`. Only a refusal that its caller gets is booked.
    fn return_after(
        &mut self,
        urgency: &CallUrgency,
        jitter: f64,
        waited: Duration,
        now: Instant,
    ) -> Duration {
        let kind = WorkKind(urgency.kind);
        let expected_wait = self.queue.clearing_time(urgency.priority, now);
        if !urgency.is_final {
            return expected_wait;
        }
        let limit = Duration::from_micros(urgency.used.saturating_add(urgency.left));
        let used = Duration::from_micros(urgency.used) + waited;
        let refusal = Refusal {
            priority: urgency.priority,
            expected_wait,
            spacing: self.queue.spacing(urgency.priority, kind, now),
            latest: latest_return(limit, used, self.queue.service_time(kind)),
            jitter,
        };
        self.returns.book(&refusal, now)
    }
}
