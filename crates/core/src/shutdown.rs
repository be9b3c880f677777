//! Rules for the planned stop of an instance: until when it takes new work, by when its waits end, and when the process
//! ends.
//!
//! A stopping instance goes on serving for a while, since callers may still be sent to it. Then it takes no new
//! connection, and only after that it waits for the last sessions: a session that began after the wait would be cut.
//! Every wait of a request ends early enough for its answer to be sent before the process ends.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     shutdown::{Open, Shutdown, ShutdownStep, StopPlan},
//! };
//!
//! let plan = StopPlan::new(Instant::default(), Duration::from_secs(6));
//! let mut shutdown = Shutdown::new(plan);
//! let idle = Open { listeners: 1, sessions: 0 };
//! let now = plan.serves_until();
//! assert_eq!(shutdown.step(idle, now), ShutdownStep::CloseListeners);
//! assert_eq!(shutdown.step(idle, now), ShutdownStep::Wait(plan.end()));
//! assert_eq!(shutdown.step(Open::default(), now), ShutdownStep::End);
//! ```

use std::time::Duration;

use crate::clock::Instant;

/// Shortest time from the start of a stop to the end of the process. Callers are sent to the instance until two probes of
/// its readiness have failed.
const MIN_STOP_TIME: Duration = Duration::from_millis(3200);
/// Time before the process is killed at which it ends by itself.
const END_MARGIN: Duration = Duration::from_millis(600);
/// Time before the end of the process at which every wait of a request ends; it covers two of the longest delays between
/// attempts.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    began: Instant,
    /// Time from the start of the stop until the process is killed.
    grace: Duration,
}

impl StopPlan {
    /// Creates the plan of a stop that began at `began`, of a process that is killed after `grace`.
    pub const fn new(began: Instant, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// When the stop began.
    pub const fn began(&self) -> Instant {
        self.began
    }

    /// Until when transactions may begin and stay open.
    pub fn transactions_until(&self) -> Instant {
        self.began.plus(self.grace / 2)
    }

    /// Until when the instance serves in any case; after that it ends as soon as no session is open.
    pub fn serves_until(&self) -> Instant {
        self.began.plus(MIN_STOP_TIME).min(self.waits_until())
    }

    /// When the last wait of a request ends, and new connections are taken no longer. A request that arrives later is
    /// refused at once.
    pub fn waits_until(&self) -> Instant {
        self.end().minus(ANSWER_MARGIN).max(self.began)
    }

    /// When the process ends at the latest.
    pub const fn end(&self) -> Instant {
        self.began.plus(self.grace.saturating_sub(END_MARGIN))
    }

    /// Time that a wait may take from `now` on: `longest`, or less if [`waits_until`](Self::waits_until) comes before.
    pub fn limit_wait(&self, longest: Duration, now: Instant) -> Duration {
        longest.min(self.waits_until().since(now))
    }
}

/// What a stopping process has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Open {
    /// Listeners that may still take a connection.
    pub listeners: usize,
    /// Sessions and calls that the process may not cut.
    pub sessions: usize,
}

/// What a stopping process does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Wait until something is closed, or until this time.
    Wait(Instant),
    /// Take no new connection. Listeners that have closed are no longer counted in [`Open`].
    CloseListeners,
    /// End the process.
    End,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    plan: StopPlan,
    is_closing: bool,
}

impl Shutdown {
    /// Begins a stop.
    pub const fn new(plan: StopPlan) -> Self {
        Self { plan, is_closing: false }
    }

    /// The next step. After [`ShutdownStep::Wait`] it is asked for again.
    pub fn step(&mut self, open: Open, now: Instant) -> ShutdownStep {
        let plan = self.plan;
        if now >= plan.end() || self.is_closing && open == Open::default() {
            return ShutdownStep::End;
        }
        if self.is_closing {
            return ShutdownStep::Wait(plan.end());
        }
        if now < plan.serves_until() {
            return ShutdownStep::Wait(plan.serves_until());
        }
        if open.sessions > 0 && now < plan.waits_until() {
            return ShutdownStep::Wait(plan.waits_until());
        }
        self.is_closing = true;
        ShutdownStep::CloseListeners
    }
}
