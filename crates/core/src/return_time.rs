//! Retry delays of refused callers.
//!
//! Handles the wave of callers that come back after an overload, a failover or a start. A delay covers the expected wait, so
//! that a caller that retries finds capacity and is not served before those that waited. Callers that are refused
//! at the same time are given times one after the other, at the rate at which they can be served, the most urgent first.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, return_time::{ReturnTimes, Refusal, latest_return}};
//!
//! let limit = Duration::from_secs(4);
//! let refusal = |priority| Refusal {
//!     priority,
//!     expected_wait: Duration::from_millis(300),
//!     spacing: Duration::from_millis(10),
//!     latest: latest_return(limit, Duration::ZERO, Duration::from_millis(10)),
//!     jitter: 0.0,
//! };
//! let now = Instant::default();
//! let mut times = ReturnTimes::default();
//! assert_eq!(times.book(&refusal(1), now), Duration::from_millis(300));
//! assert_eq!(times.book(&refusal(1), now), Duration::from_millis(310));
//! // A more urgent caller goes before those that were booked.
//! assert_eq!(times.book(&refusal(0), now), Duration::from_millis(300));
//! assert_eq!(times.book(&refusal(1), now), Duration::from_millis(330));
//! ```

use std::time::Duration;

use crate::{
    clock::Instant,
    priority::{self, CLASSES},
};

/// Expected time without a primary: suspicion after 0.8 s, holds, proofs that run out after 1.3 s, and the promotion.
const EXPECTED_FAILOVER: Duration = Duration::from_secs(3);
/// Divisor of the time that a failover has taken which gives its least expected rest.
const OVERDUE_DIVISOR: u32 = 4;
/// Expected time from the start of a process to its first answer.
const EXPECTED_START: Duration = Duration::from_secs(2);
/// Least expected rest of a failover or a start.
const MIN_REST: Duration = Duration::from_millis(200);
/// Divisor of a delay that gives its largest jitter.
const JITTER_DIVISOR: u32 = 4;
/// Divisor of a route's limit that gives the least delay that may still be of use, since the caller's own limit may be longer.
const MIN_LATEST_DIVISOR: u32 = 4;

/// Reason for which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The workspace is at the limit of its contract.
    Tokens,
    /// The members have no capacity.
    Capacity,
    /// No member may run the request until a failover has ended.
    Failover,
    /// The instance has just started.
    Start,
    /// The instance stops.
    Stop,
}

impl Cause {
    /// Name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Tokens => "tokens",
            Self::Capacity => "capacity",
            Self::Failover => "failover",
            Self::Start => "start",
            Self::Stop => "stop",
        }
    }
}

/// Expected rest of a failover that has taken `elapsed` so far.
///
/// The rest grows again once the expected time has passed, because a failover that is overdue may wait for a second claimant.
pub fn failover_rest(elapsed: Duration) -> Duration {
    EXPECTED_FAILOVER.saturating_sub(elapsed).max(elapsed / OVERDUE_DIVISOR).max(MIN_REST)
}

/// Expected rest of the start of a process that has run for `age`.
pub fn start_rest(age: Duration) -> Duration {
    EXPECTED_START.saturating_sub(age).max(MIN_REST)
}

/// Longest delay of use: a caller that returns later cannot be served within the limit of its route. `used` is the time since
/// its request arrived, and `service` the time that it takes to run.
pub fn latest_return(limit: Duration, used: Duration, service: Duration) -> Duration {
    let left = limit.saturating_sub(used).saturating_sub(service);
    left.max(limit / MIN_LATEST_DIVISOR)
}

/// A refusal, for which a time of return is to be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Time after which there is capacity for the first caller that returns.
    pub expected_wait: Duration,
    /// Time for which one caller uses the capacity.
    pub spacing: Duration,
    /// Longest delay of use, as of [`latest_return`].
    pub latest: Duration,
    /// Random number from 0 to 1.
    pub jitter: f64,
}

/// Times that were given to callers of one capacity.
#[derive(Debug, Clone, Default)]
pub struct ReturnTimes {
    /// Time from which the next caller may return, by priority.
    next: [Instant; CLASSES],
}

impl ReturnTimes {
    /// Books a time of return and returns the delay until then.
    ///
    /// A caller for which no time is left is not booked; its delay is drawn from the second half of the time of use.
    pub fn book(&mut self, refusal: &Refusal, now: Instant) -> Duration {
        let Refusal { expected_wait, spacing, latest, .. } = *refusal;
        let jitter = if refusal.jitter.is_nan() { 0.0 } else { refusal.jitter.clamp(0.0, 1.0) };
        let priority = priority::class(refusal.priority);
        let start = now.plus(expected_wait).max(self.next[priority]);
        let delay = start.since(now);
        if delay >= latest {
            return latest.mul_f64(f64::midpoint(1.0, jitter));
        }
        // A calendar that is full is free again later, also when the capacity was none for a moment.
        let end = now.plus(latest);
        for next in &mut self.next[priority..] {
            *next = (*next).max(start).plus(spacing).min(end.max(*next));
        }
        let spread = (delay / JITTER_DIVISOR).max(spacing);
        (delay + spread.mul_f64(jitter)).min(latest)
    }
}
