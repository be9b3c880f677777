//! Lease on a member: the exclusive, time-limited right of one instance to act as its home.
//!
//! The lease depends on a session-level advisory lock at the member itself and on polls over the connection that
//! holds the lock. A poll that was answered proves that the lock was still held after the poll was sent, so the
//! lease is valid for the window from that time. A successor terminates the connection of an unresponsive holder,
//! takes the lock and waits for the window, extended by the drift bound; a poll that is sent after the wait and
//! answered makes the lease valid.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::{Instant, with_drift},
//!     home_lease::{HomeLease, LEASE_WINDOW, LeaseAction, LeaseEvent},
//! };
//!
//! let mut lease = HomeLease::new(LEASE_WINDOW);
//! let start = Instant::default();
//! assert_eq!(lease.handle(LeaseEvent::Connected, start), Some(LeaseAction::TryLock));
//! lease.handle(LeaseEvent::LockTaken { sent: start }, start);
//! assert!(!lease.valid(start));
//!
//! let later = start.plus(with_drift(LEASE_WINDOW));
//! lease.handle(LeaseEvent::PollAnswered { sent: later }, later);
//! assert!(lease.valid(later));
//! assert!(!lease.valid(later.plus(LEASE_WINDOW)));
//! ```

use std::time::Duration;

use crate::clock::{Instant, with_drift};

/// Time for which an answered poll keeps the lease valid, from when the poll was sent.
///
/// It covers three polls. After a change of home without handover, the member has no home for this time.
pub const LEASE_WINDOW: Duration = Duration::from_secs(1);

/// Event of a lease, mostly on the control connection to the member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The control connection is ready.
    Connected,
    /// `pg_try_advisory_lock`, sent at `sent`, answered true.
    LockTaken {
        /// Time at which the statement was sent.
        sent: Instant,
    },
    /// `pg_try_advisory_lock` answered false.
    LockBusy,
    /// `pg_locks` was answered with the backend that holds the lock.
    Holder {
        /// Process id of the backend; `None` when the lock is free by now.
        pid: Option<i32>,
    },
    /// The instance that holds the lock is suspected or dead.
    HolderUnresponsive,
    /// The holder announced that it stopped using its lease and is about to release the lock.
    ///
    /// The holder releases the lock only after the announcement was answered.
    HandedOver,
    /// `pg_terminate_backend` was answered.
    Terminated,
    /// A poll on the control connection, sent at `sent`, was answered.
    PollAnswered {
        /// Time at which the poll was sent.
        sent: Instant,
    },
    /// The control connection was lost, and the lock with it.
    ConnectionLost,
    /// This instance stops acting as home: it no longer uses the lease and announces that to its successor.
    Stop,
    /// The successor answered the announcement, or there is no successor: the lock can be released.
    Release,
    /// Time passed; a busy lock is tried again.
    Tick,
}

/// Action that the owner of a [`HomeLease`] has to take on the control connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send `pg_try_advisory_lock`.
    TryLock,
    /// Look up the backend that holds the lock in `pg_locks`.
    FindHolder,
    /// Send `pg_terminate_backend`.
    Terminate {
        /// Process id of the backend.
        pid: i32,
    },
    /// Send `pg_advisory_unlock`; the lease is no longer used.
    Unlock,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Disconnected,
    Locking,
    Busy,
    /// `polled` is the sending time of the newest answered poll, at first of the statement that took the lock.
    Held {
        usable_from: Instant,
        polled: Instant,
    },
    Stopping,
}

/// State machine of the lease of one instance on one member.
#[derive(Debug, Clone)]
pub struct HomeLease {
    window: Duration,
    state: State,
    /// End of the last validity of the lease; `None` before the first one and after a stop.
    valid_until: Option<Instant>,
    /// Time at which the previous holder's announcement of a handover arrived; `None` once this instance has the lock.
    handed_over: Option<Instant>,
    /// Whether to terminate the connection that holds the lock, because its instance does not respond.
    terminate_holder: bool,
}

impl HomeLease {
    /// Creates a lease that is not held.
    ///
    /// An effectively infinite `window` disables the expiry, which only tests do.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            state: State::Disconnected,
            valid_until: None,
            handed_over: None,
            terminate_holder: false,
        }
    }

    /// Handles an event and returns the action to take, if any.
    pub fn handle(&mut self, event: LeaseEvent, now: Instant) -> Option<LeaseAction> {
        match event {
            LeaseEvent::Connected => self.try_lock(),
            LeaseEvent::LockTaken { sent } => self.lock_taken(sent, now),
            LeaseEvent::LockBusy => self.lock_busy(),
            LeaseEvent::Holder { pid } => self.holder_found(pid),
            LeaseEvent::HolderUnresponsive => self.holder_unresponsive(),
            LeaseEvent::HandedOver => self.handed_over(now),
            LeaseEvent::Terminated => self.try_lock(),
            LeaseEvent::PollAnswered { sent } => self.poll_answered(sent),
            LeaseEvent::ConnectionLost => self.connection_lost(),
            LeaseEvent::Stop => self.stop(),
            LeaseEvent::Release => self.release(),
            LeaseEvent::Tick => self.tick(),
        }
    }

    /// Whether the lease may be used at `now`.
    pub fn valid(&self, now: Instant) -> bool {
        match self.state {
            State::Held { usable_from, polled } => {
                polled >= usable_from && now.since(polled) < self.window
            }
            _ => false,
        }
    }

    /// Whether the lock is held, possibly before the lease may be used or after it expired.
    pub const fn holds_lock(&self) -> bool {
        matches!(self.state, State::Held { .. } | State::Stopping)
    }

    /// Earliest sending time of a poll whose answer makes the lease valid; `None` unless the lock is held for use.
    pub const fn usable_from(&self) -> Option<Instant> {
        match self.state {
            State::Held { usable_from, .. } => Some(usable_from),
            _ => None,
        }
    }

    fn try_lock(&mut self) -> Option<LeaseAction> {
        self.state = State::Locking;
        Some(LeaseAction::TryLock)
    }

    fn lock_taken(&mut self, sent: Instant, now: Instant) -> Option<LeaseAction> {
        if self.state != State::Locking {
            return None;
        }
        let usable_from = self.usable_after_lock_taken(sent, now);
        self.state = State::Held { usable_from, polled: sent };
        self.handed_over = None;
        self.terminate_holder = false;
        self.update_validity();
        None
    }

    /// Earliest sending time of a poll whose answer makes the lease valid.
    ///
    /// A free lock does not prove that its last holder stopped using the lease: the holder's connection may have been
    /// lost a moment ago. A handover within the window proves it, and so does this instance's own unexpired lease. An
    /// instance that took the lock in between and lost it cannot use its lease later either, because a lease needs a
    /// poll that was sent and answered after the wait.
    fn usable_after_lock_taken(&self, sent: Instant, now: Instant) -> Instant {
        let handed_over =
            self.handed_over.is_some_and(|announced| now.since(announced) < self.window);
        let has_unexpired_lease = self.valid_until.is_some_and(|until| now < until);
        if handed_over || has_unexpired_lease { sent } else { now.plus(with_drift(self.window)) }
    }

    fn lock_busy(&mut self) -> Option<LeaseAction> {
        self.state = State::Busy;
        self.terminate_holder.then_some(LeaseAction::FindHolder)
    }

    fn holder_found(&mut self, pid: Option<i32>) -> Option<LeaseAction> {
        if self.state != State::Busy {
            return None;
        }
        match pid {
            Some(pid) if self.terminate_holder => Some(LeaseAction::Terminate { pid }),
            Some(_) => None,
            None => self.try_lock(),
        }
    }

    fn holder_unresponsive(&mut self) -> Option<LeaseAction> {
        if self.holds_lock() {
            return None;
        }
        self.terminate_holder = true;
        (self.state == State::Busy).then_some(LeaseAction::FindHolder)
    }

    fn handed_over(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.holds_lock() {
            return None;
        }
        self.handed_over = Some(now);
        (self.state == State::Busy).then(|| self.try_lock()).flatten()
    }

    fn poll_answered(&mut self, sent: Instant) -> Option<LeaseAction> {
        if let State::Held { usable_from, polled } = self.state {
            self.state = State::Held { usable_from, polled: polled.max(sent) };
            self.update_validity();
        }
        None
    }

    fn connection_lost(&mut self) -> Option<LeaseAction> {
        self.state = State::Disconnected;
        None
    }

    fn stop(&mut self) -> Option<LeaseAction> {
        self.valid_until = None;
        self.terminate_holder = false;
        self.state = if self.holds_lock() { State::Stopping } else { State::Disconnected };
        None
    }

    fn release(&mut self) -> Option<LeaseAction> {
        let held = self.holds_lock();
        self.stop();
        self.state = State::Disconnected;
        held.then_some(LeaseAction::Unlock)
    }

    fn tick(&mut self) -> Option<LeaseAction> {
        (self.state == State::Busy).then(|| self.try_lock()).flatten()
    }

    /// Updates the end of the validity when the newest answered poll makes the lease valid.
    fn update_validity(&mut self) {
        let State::Held { usable_from, polled } = self.state else { return };
        if polled >= usable_from {
            self.valid_until = Some(polled.plus(self.window));
        }
    }
}
