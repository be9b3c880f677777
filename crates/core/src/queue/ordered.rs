//! Order of the requests that wait for the slots of one member, by urgency within fair shares.
//!
//! Handles an overload in which not all requests can meet their targets. Requests whose target can still be met go before
//! late ones, and within both those of a higher priority; a workspace may get ahead of its fair share of the slot time by
//! [`HEAD_START`] only. A lower priority that waits gets a guaranteed part. A request that cannot start within its
//! limit is refused: on arrival, when it becomes late, or when more urgent requests displace it.
//!
//! Requests without urgency are served in the order of [`FairQueue`](super::FairQueue).
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     name::Workspace,
//!     queue::{NewRequest, OrderedQueue, Urgency, WorkKind},
//! };
//!
//! let now = Instant::default();
//! let limit = now.plus(Duration::from_secs(4));
//! let club = Workspace::new("club");
//! let mut queue = OrderedQueue::new(1);
//! let request = |priority: u32, target_ms| {
//!     let target = Some(Duration::from_millis(target_ms));
//!     let kind = WorkKind(priority.into());
//!     let urgency = Urgency { priority, kind, arrived: now, target, limit };
//!     NewRequest::new(&club, limit).urgency(urgency)
//! };
//! queue.push(request(1, 800), "enquiry", now).unwrap();
//! queue.push(request(0, 500), "posting", now).unwrap();
//!
//! let started = queue.pop(now).unwrap();
//! assert_eq!(started.item, "posting");
//! queue.finish(started.ticket, now.plus(Duration::from_millis(3)));
//! assert_eq!(queue.pop(now).unwrap().item, "enquiry");
//! ```

mod backlog;
mod guarantee;
mod index;
mod service_times;
mod urgency;
mod waiting;
mod workspace;

use std::{collections::HashMap, time::Duration};

use self::{
    backlog::{Backlog, Capacity, Usage},
    guarantee::{Guarantee, guaranteed_part},
    index::Index,
    service_times::{ServiceTimes, bounded, seconds},
    urgency::Level,
    waiting::{Timers, Waiting},
    workspace::{Flow, Tag},
};
pub use self::{
    urgency::{Urgency, WorkKind},
    waiting::{NewRequest, Refused, RefusedReason, RequestId},
};
use super::{
    fair::{Started, Ticket},
    flow::INITIAL_COST_S,
};
use crate::{clock::Instant, name::Workspace, priority};

/// Slot time by which a workspace may get ahead of its fair share for the sake of urgent requests. It covers a burst of some
/// dozen requests; a workspace that floods is ahead by it only once.
pub const HEAD_START: Duration = Duration::from_millis(250);
/// Head start of a workspace against one whose priority is lower by one.
const PRIORITY_STEP: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct Running {
    workspace: Workspace,
    level: Level,
    /// Kind of work; `None` without urgency.
    kind: Option<WorkKind>,
    started: Instant,
    /// Expected cost, in seconds of slot time.
    cost_s: f64,
    /// Slot time charged so far, in seconds.
    charged: f64,
}

/// Requests that wait for the slots of one member.
#[derive(Debug)]
pub struct OrderedQueue<T> {
    slots: usize,
    flows: HashMap<Workspace, Flow>,
    index: Index,
    requests: HashMap<RequestId, Waiting<T>>,
    timers: Timers,
    running: HashMap<Ticket, Running>,
    refused: Vec<Refused<T>>,
    backlog: Backlog,
    usage: Usage,
    guarantee: Guarantee,
    service_times: ServiceTimes,
    /// Sum of the weights of the workspaces with waiting or running requests.
    active_weight: f64,
    virtual_time: f64,
    next_id: u64,
}

impl<T> OrderedQueue<T> {
    /// Creates a queue in front of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            flows: HashMap::new(),
            index: Index::default(),
            requests: HashMap::new(),
            timers: Timers::default(),
            running: HashMap::new(),
            refused: Vec::new(),
            backlog: Backlog::default(),
            usage: Usage::default(),
            guarantee: Guarantee::default(),
            service_times: ServiceTimes::new(),
            active_weight: 0.0,
            virtual_time: 0.0,
            next_id: 0,
        }
    }

    /// Changes the number of slots; requests that hold one keep it.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots as usize;
    }

    /// Queues a request, or refuses it when it is not expected to start in time.
    ///
    /// # Errors
    ///
    /// The request, which has not run.
    pub fn push(
        &mut self,
        new: NewRequest<'_>,
        item: T,
        now: Instant,
    ) -> Result<RequestId, Refused<T>> {
        self.refuse_expired(now);
        self.move_late(now);
        let name = new.workspace;
        let virtual_time = self.virtual_time;
        self.flows.entry(name.clone()).or_insert_with(|| Flow::new(virtual_time, INITIAL_COST_S));
        self.update(name, |flow| {
            flow.weight = new.weight;
            flow.offset =
                PRIORITY_STEP.as_secs_f64() * priority::class(new.workspace_priority) as f64;
            if !flow.is_waiting() {
                flow.tag = flow.tag.max(virtual_time);
            }
        });
        let waiting = self.place(&new, item, now);
        let expected = self.expected(&waiting, now);
        let left = waiting.start_by.since(now);
        if expected > left || left.is_zero() {
            return Err(waiting.refuse(RefusedReason::TooLate, expected));
        }
        let id = waiting.id;
        self.insert(waiting);
        self.displace(now);
        Ok(id)
    }

    /// Starts the next request if a slot is free.
    pub fn pop(&mut self, now: Instant) -> Option<Started<T>> {
        self.pop_preferring(now, Duration::ZERO, |_| false)
    }

    /// Like [`pop`](Self::pop), but prefers workspaces for which `is_preferred` is true, because their requests cost less
    /// at present.
    ///
    /// A workspace that is skipped falls behind others with equally urgent requests by at most `slack` of slot time.
    pub fn pop_preferring<F>(
        &mut self,
        now: Instant,
        slack: Duration,
        is_preferred: F,
    ) -> Option<Started<T>>
    where
        F: Fn(&Workspace) -> bool,
    {
        self.refuse_expired(now);
        self.move_late(now);
        if self.running.len() >= self.slots {
            return None;
        }
        self.charge_running(now);
        let (name, level) = self.next(slack, is_preferred)?;
        let line = self.flows.get(&name)?.lines.get(&level)?;
        let id = RequestId(line.places.first()?.1);
        self.advance_virtual_time(&name, level);
        let waiting = self.remove(id)?;
        let cost_s = self.cost_s(&name, waiting.kind());
        self.update(&name, |flow| flow.start(cost_s));
        self.guarantee.record_start(level.priority, cost_s, &self.backlog);
        let ticket = Ticket::new(self.next_id());
        let running = Running {
            workspace: name.clone(),
            level,
            kind: waiting.kind(),
            started: now,
            cost_s,
            charged: cost_s,
        };
        self.running.insert(ticket, running);
        let waited = now.since(waiting.queued);
        Some(Started { ticket, workspace: name, item: waiting.item, waited })
    }

    /// Frees the slot of `ticket` and charges its workspace the time since the start.
    ///
    /// A ticket that was finished before has no effect.
    pub fn finish(&mut self, ticket: Ticket, now: Instant) {
        let Some(running) = self.running.remove(&ticket) else { return };
        let used = now.since(running.started);
        let used_s = used.as_secs_f64();
        // A statement that hung does not show what the next ones leave to others.
        let usual_s = bounded(used_s, running.cost_s);
        self.usage.record(running.level, usual_s, now);
        if let Some(kind) = running.kind {
            self.service_times.record(kind, used);
        }
        self.update(&running.workspace, |flow| {
            flow.usage.record(running.level, usual_s, now);
            flow.finish(running.charged, used_s, running.kind.is_none());
        });
        self.reset_if_idle();
    }

    /// Removes a request whose caller no longer waits. One that has started or was refused stays as it is.
    pub fn cancel(&mut self, id: RequestId) {
        self.remove(id);
        self.reset_if_idle();
    }

    /// Removes and returns the requests that were refused while they waited; they have not run.
    pub fn take_refused(&mut self, now: Instant) -> Vec<Refused<T>> {
        self.refuse_expired(now);
        self.move_late(now);
        std::mem::take(&mut self.refused)
    }

    /// Earliest time at which a waiting request has to be refused; `None` when none waits.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.timers.next_expiry()
    }

    /// Time in which all waiting requests of the priority and of higher ones have started, late ones included.
    pub fn clearing_time(&self, priority: u32, now: Instant) -> Duration {
        let level = Level { late: false, priority: priority::class(priority) };
        let slots = self.capacity().slots_for(level, now);
        seconds(self.backlog.up_to_priority(level.priority) / slots)
    }

    /// Time that one more request of a kind takes of the capacity that all others leave to late requests of its priority.
    pub fn spacing(&self, priority: u32, kind: WorkKind, now: Instant) -> Duration {
        let level = Level { late: true, priority: priority::class(priority) };
        seconds(self.service_times.mean_s(kind) / self.capacity().slots_for(level, now))
    }

    /// Expected service time of a kind of work.
    pub fn service_time(&self, kind: WorkKind) -> Duration {
        seconds(self.service_times.mean_s(kind))
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests that hold a slot.
    pub fn in_service(&self) -> usize {
        self.running.len()
    }

    const fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Changes a workspace, and its places in the index with it.
    fn update<F>(&mut self, name: &Workspace, change: F)
    where
        F: FnOnce(&mut Flow),
    {
        let Some(flow) = self.flows.get_mut(name) else { return };
        self.index.remove(name, flow);
        self.active_weight -= flow.active_weight();
        change(flow);
        self.active_weight += flow.active_weight();
        self.index.insert(name, flow);
    }

    /// Assigns a new request to its level.
    fn place(&mut self, new: &NewRequest<'_>, item: T, now: Instant) -> Waiting<T> {
        let id = RequestId(self.next_id());
        let kind = new.urgency.map(|urgency| urgency.kind);
        let cost_s = self.cost_s(new.workspace, kind);
        let needed = kind.map(|kind| self.service_times.needed(kind)).unwrap_or_default();
        Waiting::new(id, new, item, cost_s, needed, now)
    }

    /// Expected cost of a request; `kind` is `None` for one without urgency.
    fn cost_s(&self, name: &Workspace, kind: Option<WorkKind>) -> f64 {
        match kind {
            Some(kind) => self.service_times.mean_s(kind),
            None => self.flows.get(name).map_or(INITIAL_COST_S, |flow| flow.mean_cost),
        }
    }

    fn insert(&mut self, waiting: Waiting<T>) {
        let (stream, place, cost_s) = (waiting.stream, waiting.place(), waiting.cost_s);
        let is_plain = waiting.urgency.is_none();
        self.timers.insert(&waiting);
        self.backlog.add(stream, cost_s);
        self.update(&waiting.workspace, |flow| flow.add(stream, place, cost_s, is_plain));
        self.requests.insert(waiting.id, waiting);
    }

    fn remove(&mut self, id: RequestId) -> Option<Waiting<T>> {
        let waiting = self.requests.remove(&id)?;
        let (stream, place, cost_s) = (waiting.stream, waiting.place(), waiting.cost_s);
        let is_plain = waiting.urgency.is_none();
        self.timers.remove(&waiting);
        self.backlog.remove(stream, cost_s);
        self.update(&waiting.workspace, |flow| flow.remove(stream, place, cost_s, is_plain));
        Some(waiting)
    }

    fn refuse(&mut self, id: RequestId, reason: RefusedReason, expected: Duration) {
        if let Some(waiting) = self.remove(id) {
            self.refused.push(waiting.refuse(reason, expected));
        }
    }

    /// Refuses the requests that can no longer start in time.
    fn refuse_expired(&mut self, now: Instant) {
        while let Some(id) = self.timers.expired(now) {
            self.refuse(id, RefusedReason::Expired, Duration::ZERO);
        }
    }

    /// Moves the requests whose target can no longer be met to the late ones, or refuses them when they would not start within
    /// their limits.
    fn move_late(&mut self, now: Instant) {
        while let Some(id) = self.timers.turned_late(now) {
            let Some(waiting) = self.remove(id) else { continue };
            let waiting = waiting.into_late();
            let expected = self.expected(&waiting, now);
            if expected > waiting.start_by.since(now) {
                self.refused.push(waiting.refuse(RefusedReason::TooLate, expected));
            } else {
                self.insert(waiting);
            }
        }
    }

    /// Refuses the last requests of the least urgent level that are no longer expected to start in time.
    fn displace(&mut self, now: Instant) {
        while let Some(level) = self.backlog.last_level() {
            let Some(name) = self.index.last_to_end(level) else { return };
            let Some(flow) = self.flows.get(&name) else { return };
            let last = flow.lines.get(&level).and_then(|line| line.places.last());
            let Some(waiting) = last.and_then(|(_, id)| self.requests.get(&RequestId(*id))) else {
                return;
            };
            if waiting.urgency.is_none() {
                return;
            }
            let cost_s = waiting.cost_s;
            let of_all = self.capacity().last_wait(level, cost_s, now);
            let expected = of_all.min(self.share(flow).last_wait(level, cost_s, now));
            if expected <= waiting.start_by.since(now) {
                return;
            }
            self.refuse(waiting.id, RefusedReason::Displaced, expected);
        }
    }

    /// Expected wait of a request that is not in the queue.
    fn expected(&self, waiting: &Waiting<T>, now: Instant) -> Duration {
        let Some(flow) = self.flows.get(&waiting.workspace) else { return Duration::ZERO };
        if !flow.is_waiting() && self.running.len() < self.slots {
            return Duration::ZERO;
        }
        let share = self.share(flow);
        if waiting.urgency.is_none() {
            return seconds(flow.waiting_cost() / share.slots);
        }
        let Waiting { stream, cost_s, .. } = *waiting;
        let of_all = self.capacity().expected_wait(stream, cost_s, now);
        of_all.min(share.expected_wait(stream, cost_s, now))
    }

    fn capacity(&self) -> Capacity<'_> {
        let slots = u32::try_from(self.slots).map_or(f64::MAX, f64::from);
        let guaranteed = guaranteed_part(self.backlog.lower_priorities());
        Capacity { slots, guaranteed, backlog: &self.backlog, usage: &self.usage }
    }

    /// Part of the capacity that a workspace gets while all active ones have waiting requests.
    fn share<'a>(&self, flow: &'a Flow) -> Capacity<'a> {
        let total = self.active_weight - flow.active_weight() + flow.weight;
        let whole = self.capacity();
        let slots = whole.slots * flow.weight / total;
        Capacity { slots, backlog: &flow.backlog, usage: &flow.usage, ..whole }
    }

    /// The next workspace and the level of its next request.
    fn next<F>(&self, slack: Duration, is_preferred: F) -> Option<(Workspace, Level)>
    where
        F: Fn(&Workspace) -> bool,
    {
        let lowest = self.index.lowest_key()?;
        let owed = self
            .guarantee
            .due(&self.backlog)
            .and_then(|priority| self.index.levels().find(|level| level.priority == priority));
        let highest = Tag(lowest.0 + HEAD_START.as_secs_f64());
        let is_allowed =
            |level: &Level| self.index.first_key(*level).is_some_and(|key| key <= highest);
        let level = owed.or_else(|| self.index.levels().find(is_allowed))?;
        let first = self.index.first_key(level)?;
        let max_preferred = Tag(first.0 + slack.as_secs_f64()).min(highest.max(first));
        let name = self.index.choose(level, max_preferred, is_preferred)?;
        Some((name, level))
    }

    /// Advances the virtual time to the start of a request of `name`. A workspace that goes first for its urgency only does not
    /// take others, which become active now, with it.
    fn advance_virtual_time(&mut self, name: &Workspace, level: Level) {
        let lowest = self.index.lowest_key();
        let is_in_turn = self.index.first_key(level) == lowest;
        let Some(flow) = self.flows.get(name) else { return };
        let start = match lowest {
            Some(lowest) if !is_in_turn => flow.tag.min(lowest.0),
            _ => flow.tag,
        };
        self.virtual_time = self.virtual_time.max(start);
    }

    /// Charges running requests for the time that exceeds their charge so far.
    fn charge_running(&mut self, now: Instant) {
        let mut excesses: HashMap<Workspace, f64> = HashMap::new();
        for running in self.running.values_mut() {
            let used = now.since(running.started).as_secs_f64();
            let excess = used - running.charged;
            if excess > 0.0 {
                *excesses.entry(running.workspace.clone()).or_default() += excess;
                running.charged = used;
            }
        }
        for (name, excess) in excesses {
            self.update(&name, |flow| flow.tag += excess / flow.weight);
        }
    }

    /// Advances the virtual time to the highest tag when no workspace is active, so that none keeps a debt or a credit.
    fn reset_if_idle(&mut self) {
        if self.running.is_empty() && self.requests.is_empty() {
            let tags = self.flows.values().map(|flow| flow.tag);
            self.virtual_time = tags.fold(self.virtual_time, f64::max);
            self.active_weight = 0.0;
        }
    }
}
