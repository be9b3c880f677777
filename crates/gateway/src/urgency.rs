//! Urgency of a request, as the instance of its caller sends it to the instance that holds the connections to a member.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    membership,
    name::{Database, Workspace},
    queue::{Urgency, WorkKind},
};
use serde::{Deserialize, Serialize};

/// Least limit of a request in the order of requests; clients give up an operation after 4 to 20 s.
pub const MIN_LIMIT: Duration = Duration::from_secs(4);
/// Largest limit of a request in the order of requests.
const MAX_LIMIT: Duration = Duration::from_secs(20);

/// Work that a request does at a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Work {
    /// A single read.
    Read,
    /// A single write.
    Write,
    /// The begin of a transaction, which keeps its connection afterwards.
    Begin,
}

impl Work {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Begin => "begin",
        }
    }
}

/// Part of a call that earlier versions do not have. It follows the call in the same frame, so that they ignore it.
///
/// Times are durations, because instances do not compare their clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallUrgency {
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Kind of work, equal for requests of one route that do the same at a member.
    pub kind: u64,
    /// Time from the arrival of the request within which it is to be answered, in microseconds; 0 for no target.
    pub target: u64,
    /// Time since the arrival of the request, in microseconds.
    pub used: u64,
    /// Time after which an answer is of no more use, in microseconds.
    pub left: u64,
    /// Whether the request keeps its connection after the answer.
    pub begins_transaction: bool,
    /// Whether the request may run at a primary only.
    pub needs_primary: bool,
    /// Whether the caller is refused when there is no slot for this attempt.
    pub is_final: bool,
}

/// Limit of a request whose route has the given time limit of a statement.
pub fn request_limit(statement_timeout: Duration) -> Duration {
    statement_timeout.clamp(MIN_LIMIT, MAX_LIMIT)
}

/// Kind of the requests of a route that do `work`.
pub fn work_kind(database: &Database, work: Work) -> u64 {
    membership::weight(&[work.as_str()], database.as_str())
}

/// Number from 0 to 1 that spreads the retry delays of callers; equal at all instances that handle the request `id`.
pub fn jitter(id: &str) -> f64 {
    // A double has 53 bits for the fraction.
    (membership::weight(&[], id) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Whole microseconds of a duration.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl CallUrgency {
    /// Urgency in the queue of this instance.
    pub fn in_queue(&self, now: Instant) -> Urgency {
        Urgency {
            priority: self.priority,
            kind: WorkKind(self.kind),
            arrived: now.minus(Duration::from_micros(self.used)),
            target: (self.target > 0).then(|| Duration::from_micros(self.target)),
            limit: now.plus(Duration::from_micros(self.left)),
        }
    }
}

/// A refusal by the queue of a member, as it is sent after the reply to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoSlot {
    /// Whether the request was not expected to get a slot in time; otherwise its time has passed.
    pub is_expected: bool,
    /// Expected wait, in microseconds.
    pub wait: u64,
    /// Delay after which the caller may try again, in microseconds.
    pub return_after: u64,
}

impl NoSlot {
    /// Delay after which the caller may try again.
    pub const fn return_after(&self) -> Duration {
        Duration::from_micros(self.return_after)
    }
}

/// A request for a slot of a member.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest<'a> {
    /// Workspace that the request runs for.
    pub workspace: &'a Workspace,
    /// Weight and priority of the workspace.
    pub contract: (f64, u32),
    /// Urgency; `None` for a request of an earlier version.
    pub urgency: Option<CallUrgency>,
    /// Random number from 0 to 1, as of [`jitter`].
    pub jitter: f64,
    /// Time until which the request waits for a slot and a connection.
    pub until: Instant,
}

impl SlotRequest<'_> {
    /// Whether the request keeps its connection after the answer.
    pub fn begins_transaction(&self) -> bool {
        self.urgency.is_some_and(|urgency| urgency.begins_transaction)
    }
}
