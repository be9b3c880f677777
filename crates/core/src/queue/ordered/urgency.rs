//! What the order of requests takes into account about one request.

use std::time::Duration;

use crate::{clock::Instant, priority::CLASSES};

/// Kind of work. Requests of one kind take about the same time, such as the reads of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKind(pub u64);

/// Priority and time limits of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Kind of work, from which the service time is expected.
    pub kind: WorkKind,
    /// When the request arrived at the instance of its caller.
    pub arrived: Instant,
    /// Time from the arrival within which the request is to be answered; `None` when there is no target.
    pub target: Option<Duration>,
    /// Time at which an answer is of no more use.
    pub limit: Instant,
}

impl Urgency {
    /// Latest time at which a request that takes `service` may start. Half of the time between arrival and limit is kept for
    /// it at most, so that a wrong estimate does not refuse all requests of a kind.
    pub(super) fn latest_start(&self, service: Duration) -> Instant {
        self.limit.minus(service.min(self.limit.since(self.arrived) / 2))
    }
}

/// Level of a request; the lowest one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Level {
    /// Whether the request can no longer meet its target.
    pub(super) late: bool,
    /// Class of the priority.
    pub(super) priority: usize,
}

impl Level {
    /// Number of levels.
    pub(super) const COUNT: usize = 2 * CLASSES;

    /// Position among all levels.
    pub(super) const fn index(self) -> usize {
        if self.late { CLASSES + self.priority } else { self.priority }
    }
}

/// Requests of one level that have the same target; in a level, shorter targets go first. Late requests are one stream for
/// each priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Stream {
    pub(super) level: Level,
    pub(super) target: Duration,
}
