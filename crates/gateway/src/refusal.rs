//! Retry delays of the callers that this instance refuses, by the capacity that they have to wait for.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, Workspace},
    return_time::{Cause, Refusal, ReturnTimes, failover_rest, latest_return, start_rest},
};

use crate::urgency::jitter;

/// Delays without the feature, by cause: half the duration of a failover, and a moment until another instance is used.
const FIXED_DELAY: Duration = Duration::from_millis(500);
const FIXED_STOP_DELAY: Duration = Duration::from_millis(20);
/// Shortest and longest delay for lack of tokens without the feature.
const FIXED_TOKENS_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));
/// Shortest delay of a caller whose workspace has no tokens; about two rounds of requests for tokens.
const MIN_TOKENS_DELAY: Duration = Duration::from_millis(60);
/// Time that one caller takes of an instance that has just started.
const START_SPACING: Duration = Duration::from_millis(10);
/// Time between two callers that leave a stopping instance, which others have to take over.
const STOP_SPACING: Duration = Duration::from_millis(2);
/// Statements that wait at a member itself before it rejects others.
const MEMBER_QUEUE: u32 = 40;
/// Longest delay of a caller that has to use another instance.
const MAX_STOP_DELAY: Duration = Duration::from_millis(500);

/// The capacity that a caller has to wait for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Capacity {
    Tokens(Workspace),
    Primary(Group),
    Start,
    Stop,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// Id of the request, from which the jitter is derived.
    pub id: &'a str,
    /// Priority of its route; 0 while it is not known.
    pub priority: u32,
    /// Time since its arrival.
    pub used: Duration,
    /// Time from its arrival after which an answer is of no more use.
    pub limit: Duration,
}

/// Times that were given to refused callers.
#[derive(Debug)]
pub struct Refusals {
    enabled: bool,
    started: Instant,
    times: RefCell<HashMap<Capacity, ReturnTimes>>,
}

impl Refusals {
    /// Creates the state of an instance that starts now. Without `enabled`, delays are constant.
    pub fn new(enabled: bool, now: Instant) -> Self {
        Self { enabled, started: now, times: RefCell::default() }
    }

    /// Whether delays follow from the expected wait.
    pub const fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Delay of a caller whose workspace has its next token after `wait`; `rate` is the number of tokens per second that come
    /// to this instance.
    pub fn for_tokens(
        &self,
        req: &RefusedRequest<'_>,
        workspace: &Workspace,
        wait: Duration,
        rate: f64,
        now: Instant,
    ) -> Duration {
        if !self.enabled {
            let (shortest, longest) = FIXED_TOKENS_RANGE;
            return wait.clamp(shortest, longest);
        }
        let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(req.limit);
        let wait = wait.max(MIN_TOKENS_DELAY);
        self.book(Capacity::Tokens(workspace.clone()), req, wait, spacing, now)
    }

    /// Delay of a caller whose request waited for a primary of `group` without success; `service` is the time that it takes
    /// of the primary's capacity, as far as this instance has a part in it.
    pub fn for_failover(
        &self,
        req: &RefusedRequest<'_>,
        group: &Group,
        service: Duration,
        now: Instant,
    ) -> Duration {
        self.for_running_failover(req, group, (req.used, service), now)
    }

    /// Like [`for_failover`](Self::for_failover), for a failover that has taken `elapsed` so far, and a request that did not
    /// wait for it.
    pub fn for_running_failover(
        &self,
        req: &RefusedRequest<'_>,
        group: &Group,
        (elapsed, service): (Duration, Duration),
        now: Instant,
    ) -> Duration {
        if !self.enabled {
            return FIXED_DELAY;
        }
        let rest = failover_rest(elapsed);
        self.book(Capacity::Primary(group.clone()), req, rest, service, now)
    }

    /// Delay of a caller that came before this instance had a configuration.
    pub fn for_start(&self, req: &RefusedRequest<'_>, now: Instant) -> Duration {
        if !self.enabled {
            return FIXED_DELAY;
        }
        let rest = start_rest(now.since(self.started));
        self.book(Capacity::Start, req, rest, START_SPACING, now)
    }

    /// Delay of a caller that has to use another instance, because this one stops.
    pub fn for_stop(&self, req: &RefusedRequest<'_>, now: Instant) -> Duration {
        if !self.enabled {
            return FIXED_STOP_DELAY;
        }
        let req = RefusedRequest { limit: MAX_STOP_DELAY, used: Duration::ZERO, ..*req };
        self.book(Capacity::Stop, &req, FIXED_STOP_DELAY, STOP_SPACING, now)
    }

    /// Delay of a caller for which the members have no capacity; `booked` is the delay that the queue of a member has given, if any.
    pub fn for_capacity(
        &self,
        req: &RefusedRequest<'_>,
        booked: Option<Duration>,
        service: Duration,
    ) -> Duration {
        if !self.enabled {
            return FIXED_DELAY;
        }
        booked.unwrap_or_else(|| {
            // The member itself rejected the request. Its queue is short, so capacity is back soon, but callers of other
            // instances return as well.
            let latest = latest_return(req.limit, req.used, service);
            let spread = (service * MEMBER_QUEUE).mul_f64(1.0 + jitter(req.id));
            spread.min(latest)
        })
    }

    fn book(
        &self,
        capacity: Capacity,
        req: &RefusedRequest<'_>,
        expected_wait: Duration,
        spacing: Duration,
        now: Instant,
    ) -> Duration {
        let refusal = Refusal {
            priority: req.priority,
            expected_wait,
            spacing,
            latest: latest_return(req.limit, req.used, Duration::ZERO),
            jitter: jitter(req.id),
        };
        let mut times = self.times.borrow_mut();
        times.entry(capacity).or_default().book(&refusal, now)
    }
}

/// Reason and delay of a refusal, for the log and the text that the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delay {
    /// What the caller has to wait for.
    pub cause: Cause,
    /// Time after which the caller may try again.
    pub after: Duration,
}
