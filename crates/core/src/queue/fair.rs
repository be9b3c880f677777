//! The fair queue over all workspaces.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use thiserror::Error;

use super::flow::{Flow, Waiting};
use crate::{clock::Instant, name::Workspace};

/// Default of [`FairQueue::max_wait`].
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(2);

/// Later than every deadline.
const NEVER: Instant = Instant::new(Duration::MAX);

/// Identifies a request that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

impl Ticket {
    pub(super) const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// A request that got a slot.
#[derive(Debug, PartialEq, Eq)]
pub struct Started<T> {
    /// Argument of [`FairQueue::finish`] when the request has ended.
    pub ticket: Ticket,
    /// Workspace of the request.
    pub workspace: Workspace,
    /// The request as it was pushed.
    pub item: T,
    /// Time that the request waited in the queue.
    pub waited: Duration,
}

/// Reason for which a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The expected wait exceeds the longest wait of the queue.
    QueueFull,
    /// The expected wait exceeds the time until the request's deadline.
    DeadlineTooNear,
}

/// A request that was not queued because it would not get a slot in time.
#[derive(Debug, PartialEq, Eq, Error)]
#[error(
    "the expected wait of {} ms is too long; try again in {} ms",
    expected.as_millis(), retry_after.as_millis()
)]
pub struct Rejected<T> {
    /// The request as it was pushed.
    pub item: T,
    /// Reason for which the request was not queued.
    pub reason: RejectReason,
    /// Expected wait of the request.
    pub expected: Duration,
    /// Time after which a retry makes sense: the excess of the expected wait over the longest wait or the time left.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Running {
    workspace: Workspace,
    started: Instant,
    /// Slot time charged so far, in seconds.
    charged: f64,
}

/// One queue per workspace, in front of slots that all workspaces share.
#[derive(Debug)]
pub struct FairQueue<T> {
    slots: usize,
    max_wait: Duration,
    flows: HashMap<Workspace, Flow<T>>,
    running: HashMap<Ticket, Running>,
    expired: VecDeque<T>,
    /// Lower bound of the deadlines of all waiting requests.
    earliest_deadline: Instant,
    virtual_time: f64,
    next_ticket: u64,
}

impl<T> FairQueue<T> {
    /// Creates a queue in front of `slots` slots, with a longest wait of 2 s.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            max_wait: DEFAULT_MAX_WAIT,
            flows: HashMap::new(),
            running: HashMap::new(),
            expired: VecDeque::new(),
            earliest_deadline: NEVER,
            virtual_time: 0.0,
            next_ticket: 0,
        }
    }

    /// Sets the longest wait of a request; 2 s by default.
    #[must_use]
    pub const fn max_wait(mut self, wait: Duration) -> Self {
        self.max_wait = wait;
        self
    }

    /// Changes the number of slots; requests that hold one keep it.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Queues a request, or rejects it when its expected wait exceeds the longest wait or its deadline.
    ///
    /// # Errors
    ///
    /// The request, which has not run, with the time after which a retry makes sense.
    pub fn push(
        &mut self,
        workspace: &Workspace,
        weight: u32,
        item: T,
        deadline: Instant,
        now: Instant,
    ) -> Result<(), Rejected<T>> {
        self.drop_expired(now);
        let flow = self.flow(workspace);
        flow.weight = f64::from(weight.max(1));
        let expected = self.expected_wait(workspace);
        let left = deadline.since(now);
        if expected > self.max_wait.min(left) || left.is_zero() {
            return Err(self.reject(item, expected, left));
        }
        let deadline = deadline.min(now.plus(self.max_wait));
        self.earliest_deadline = self.earliest_deadline.min(deadline);
        let flow = self.flow(workspace);
        flow.waiting.push_back(Waiting { item, deadline, queued: now });
        Ok(())
    }

    /// Starts the next request if a slot is free.
    pub fn pop(&mut self, now: Instant) -> Option<Started<T>> {
        self.pop_preferring(now, Duration::ZERO, |_| false)
    }

    /// Like [`pop`](Self::pop), but prefers workspaces for which `is_preferred` is true, because their requests cost
    /// less at present.
    ///
    /// A workspace that is skipped falls behind its fair share by at most `slack` of slot time.
    pub fn pop_preferring<F>(
        &mut self,
        now: Instant,
        slack: Duration,
        is_preferred: F,
    ) -> Option<Started<T>>
    where
        F: Fn(&Workspace) -> bool,
    {
        self.drop_expired(now);
        if self.running.len() >= self.slots {
            return None;
        }
        self.charge_running(now);
        let workspace = self.next_workspace(slack, is_preferred)?;
        let flow = self.flows.get_mut(&workspace)?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        let (first, charged) = flow.start()?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let running = Running { workspace: workspace.clone(), started: now, charged };
        self.running.insert(ticket, running);
        Some(Started { ticket, workspace, item: first.item, waited: now.since(first.queued) })
    }

    /// Frees the slot of `ticket` and charges its workspace the time since the start.
    ///
    /// A ticket that was finished before has no effect.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        let Some(running) = self.running.remove(&ticket) else { return };
        if let Some(flow) = self.flows.get_mut(&running.workspace) {
            flow.finish(running.charged, now.since(running.started));
        }
        self.reset_if_idle();
    }

    /// Removes and returns the requests that exceeded the longest wait or their deadline; they have not run.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        self.drop_expired(now);
        self.expired.drain(..).collect()
    }

    /// Earliest time at which a waiting request expires; `None` when none waits.
    pub fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
        waiting.map(|waiting| waiting.deadline).min()
    }

    /// Expected wait of a new request of `workspace`.
    pub fn expected_wait(&self, workspace: &Workspace) -> Duration {
        let Some(flow) = self.flows.get(workspace) else { return Duration::ZERO };
        if flow.waiting.is_empty() && self.running.len() < self.slots {
            return Duration::ZERO;
        }
        let others =
            self.flows.iter().filter(|(name, flow)| *name != workspace && flow.is_active());
        let total: f64 = others.map(|(_, other)| other.weight).sum::<f64>() + flow.weight;
        let slots = u32::try_from(self.slots).map_or(f64::MAX, f64::from);
        let served_per_second = slots * flow.weight / total;
        Duration::try_from_secs_f64(flow.backlog() / served_per_second).unwrap_or(Duration::MAX)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.waiting.is_empty())
    }

    /// Number of requests that hold a slot.
    pub fn in_service(&self) -> usize {
        self.running.len()
    }

    /// The queue of a workspace; one that was idle starts at the present virtual time and gains no credit.
    fn flow(&mut self, workspace: &Workspace) -> &mut Flow<T> {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(workspace.clone()).or_insert_with(|| Flow::new(virtual_time));
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(virtual_time);
        }
        flow
    }

    /// The waiting workspace with the lowest tag, or the preferred one with the lowest tag if that is higher by at most
    /// `slack`; equal tags are ordered by name.
    fn next_workspace<F>(&self, slack: Duration, is_preferred: F) -> Option<Workspace>
    where
        F: Fn(&Workspace) -> bool,
    {
        let waiting = || self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        let order = |(name, flow): &(&Workspace, &Flow<T>),
                     (other_name, other): &(&Workspace, &Flow<T>)| {
            flow.tag.total_cmp(&other.tag).then_with(|| name.cmp(other_name))
        };
        let first = waiting().min_by(order)?;
        let max_tag = first.1.tag + slack.as_secs_f64();
        let preferred = waiting()
            .filter(|(name, flow)| flow.tag <= max_tag && is_preferred(name))
            .min_by(order);
        Some(preferred.unwrap_or(first).0.clone())
    }

    /// Charges running requests for the time that exceeds their charge so far.
    fn charge_running(&mut self, now: Instant) {
        for running in self.running.values_mut() {
            let used = now.since(running.started).as_secs_f64();
            let excess = used - running.charged;
            let Some(flow) = self.flows.get_mut(&running.workspace) else { continue };
            if excess > 0.0 {
                flow.tag += excess / flow.weight;
                running.charged = used;
            }
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        if now < self.earliest_deadline {
            return;
        }
        for flow in self.flows.values_mut() {
            self.expired.extend(flow.remove_expired(now));
        }
        self.earliest_deadline = self.next_expiry().unwrap_or(NEVER);
    }

    /// Advances the virtual time to the highest tag when no workspace is active, so that none keeps a debt or a credit.
    fn reset_if_idle(&mut self) {
        let virtual_time = self.virtual_time;
        if !self.flows.values().any(Flow::is_active) {
            let newest = self.flows.values().map(|flow| flow.tag).fold(virtual_time, f64::max);
            self.virtual_time = newest;
        }
    }

    fn reject(&self, item: T, expected: Duration, left: Duration) -> Rejected<T> {
        let reason = if expected > self.max_wait {
            RejectReason::QueueFull
        } else {
            RejectReason::DeadlineTooNear
        };
        let retry_after = expected.saturating_sub(self.max_wait.min(left));
        Rejected { item, reason, expected, retry_after }
    }
}
