//! A waiting request, and the times at which waiting requests change.

use std::{collections::BTreeSet, time::Duration};

use thiserror::Error;

use super::{
    service_times::seconds,
    urgency::{Level, Stream, Urgency, WorkKind},
    workspace::Place,
};
use crate::{clock::Instant, name::Workspace, priority};

/// Target by which requests without one are ordered among others; they never count as late.
const ASSUMED_TARGET: Duration = Duration::from_secs(1);
/// Least and largest weight of a workspace.
const WEIGHT_RANGE: (f64, f64) = (1.0 / 1024.0, 1024.0);

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub(super) u64);

/// A request to be queued.
#[derive(Debug, Clone, Copy)]
pub struct NewRequest<'a> {
    pub(super) workspace: &'a Workspace,
    pub(super) weight: f64,
    pub(super) workspace_priority: u32,
    pub(super) urgency: Option<Urgency>,
    pub(super) start_by: Instant,
}

impl<'a> NewRequest<'a> {
    /// Creates a request without urgency that has to start until `start_by`, of a workspace with the weight 1.
    pub const fn new(workspace: &'a Workspace, start_by: Instant) -> Self {
        Self { workspace, weight: 1.0, workspace_priority: 0, urgency: None, start_by }
    }

    /// Sets priority and time limits.
    #[must_use]
    pub const fn urgency(mut self, urgency: Urgency) -> Self {
        self.urgency = Some(urgency);
        self
    }

    /// Sets weight and priority of the workspace: its part of the slot time in relation to others, and its rank among
    /// them, of which 0 is the highest.
    #[must_use]
    pub const fn contract(mut self, weight: f64, priority: u32) -> Self {
        let (least, largest) = WEIGHT_RANGE;
        // A weight that is not a number counts as the least one.
        self.weight = if weight > least { weight.min(largest) } else { least };
        self.workspace_priority = priority;
        self
    }
}

/// Reason for which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedReason {
    /// It is not expected to start within its limit.
    TooLate,
    /// More urgent requests arrived, and it is not expected to start within its limit any more.
    Displaced,
    /// It did not start within its limit.
    Expired,
}

impl RefusedReason {
    /// Name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::Displaced => "displaced",
            Self::Expired => "expired",
        }
    }
}

/// A request that was refused and has not run.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("the expected wait of {} ms is too long; try again later", expected.as_millis())]
pub struct Refused<T> {
    /// The request as it was pushed.
    pub item: T,
    /// Reason for which the request was refused.
    pub reason: RefusedReason,
    /// Expected wait of the request; zero for one that expired.
    pub expected: Duration,
}

#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) id: RequestId,
    pub(super) workspace: Workspace,
    pub(super) item: T,
    pub(super) urgency: Option<Urgency>,
    pub(super) stream: Stream,
    /// Time by which the request is ordered in its line.
    order: Instant,
    /// When the request becomes late; `None` when it is late or never will be.
    late_at: Option<Instant>,
    pub(super) start_by: Instant,
    pub(super) queued: Instant,
    /// Expected cost, in seconds of slot time.
    pub(super) cost_s: f64,
}

impl<T> Waiting<T> {
    /// Assigns a request to its level; it takes `cost_s` on average, and hardly ever more than `needed`.
    pub(super) fn new(
        id: RequestId,
        new: &NewRequest<'_>,
        item: T,
        cost_s: f64,
        needed: Duration,
        now: Instant,
    ) -> Self {
        let start_by = new.urgency.map_or(new.start_by, |urgency| {
            new.start_by.min(urgency.latest_start(seconds(cost_s)))
        });
        let priority = new.urgency.map_or(0, |urgency| priority::class(urgency.priority));
        let arrived = new.urgency.map_or(now, |urgency| urgency.arrived);
        // A target that the service time alone exceeds would make each request of its kind late.
        let target = new.urgency.and_then(|urgency| urgency.target).filter(|time| *time > needed);
        let level = Level { late: false, priority };
        let late_at = target.map(|target| arrived.plus(target - needed));
        let waiting = Self {
            id,
            workspace: new.workspace.clone(),
            item,
            urgency: new.urgency,
            stream: Stream { level, target: target.unwrap_or(ASSUMED_TARGET) },
            order: late_at.unwrap_or_else(|| arrived.plus(ASSUMED_TARGET)),
            late_at,
            start_by,
            queued: now,
            cost_s,
        };
        if late_at.is_some_and(|late_at| late_at < now) { waiting.into_late() } else { waiting }
    }

    /// The request as one that can no longer meet its target.
    pub(super) fn into_late(mut self) -> Self {
        let priority = self.stream.level.priority;
        self.stream = Stream { level: Level { late: true, priority }, target: Duration::ZERO };
        // One attempt may have less time than another, so the limit of the request counts.
        self.order = self.urgency.map_or(self.start_by, |urgency| urgency.limit);
        self.late_at = None;
        self
    }

    pub(super) fn kind(&self) -> Option<WorkKind> {
        self.urgency.map(|urgency| urgency.kind)
    }

    pub(super) const fn place(&self) -> Place {
        (self.order, self.id.0)
    }

    pub(super) fn refuse(self, reason: RefusedReason, expected: Duration) -> Refused<T> {
        Refused { item: self.item, reason, expected }
    }
}

/// Times at which waiting requests become late or have to be refused.
#[derive(Debug, Default)]
pub(super) struct Timers {
    late_at: BTreeSet<(Instant, RequestId)>,
    start_by: BTreeSet<(Instant, RequestId)>,
}

impl Timers {
    pub(super) fn insert<T>(&mut self, waiting: &Waiting<T>) {
        self.start_by.insert((waiting.start_by, waiting.id));
        if let Some(late_at) = waiting.late_at {
            self.late_at.insert((late_at, waiting.id));
        }
    }

    pub(super) fn remove<T>(&mut self, waiting: &Waiting<T>) {
        self.start_by.remove(&(waiting.start_by, waiting.id));
        if let Some(late_at) = waiting.late_at {
            self.late_at.remove(&(late_at, waiting.id));
        }
    }

    /// A request that has to be refused by now.
    pub(super) fn expired(&self, now: Instant) -> Option<RequestId> {
        self.start_by.first().filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    /// A request that has become late by now.
    pub(super) fn turned_late(&self, now: Instant) -> Option<RequestId> {
        self.late_at.first().filter(|(at, _)| *at < now).map(|(_, id)| *id)
    }

    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.start_by.first().map(|(at, _)| *at)
    }
}
