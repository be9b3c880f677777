//! Lease of this instance on a member, shared between tasks.

use std::sync::Mutex;

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::Instant,
    home_lease::{HomeLease, LEASE_WINDOW, LeaseAction, LeaseEvent},
};

use super::lock;

/// The lease on one member, shared by the request path and the control connection.
#[derive(Debug)]
pub struct Lease {
    state: Mutex<State>,
    changed: Event,
    handover_announced: Event,
}

#[derive(Debug)]
struct State {
    lease: HomeLease,
    epoch: u64,
    /// Time of the last announced handover, until it is taken.
    handover_announced_at: Option<Instant>,
}

impl Default for Lease {
    fn default() -> Self {
        let state =
            State { lease: HomeLease::new(LEASE_WINDOW), epoch: 0, handover_announced_at: None };
        Self { state: Mutex::new(state), changed: Event::new(), handover_announced: Event::new() }
    }
}

impl Lease {
    /// Whether this instance may act on the member at `now`.
    pub fn usable(&self, now: Instant) -> bool {
        lock(&self.state).lease.valid(now)
    }

    /// Time from which an answered poll makes the lease valid; `None` while the lock is not held or is being released.
    pub fn usable_from(&self) -> Option<Instant> {
        lock(&self.state).lease.usable_from()
    }

    /// Whether the lock is held, possibly before the lease may be used or after it expired.
    pub fn holds_lock(&self) -> bool {
        lock(&self.state).lease.holds_lock()
    }

    /// Number of times that this instance acquired the lock. State that belongs to the lease is valid in one epoch.
    pub fn epoch(&self) -> u64 {
        lock(&self.state).epoch
    }

    /// Completes at the next event on the control connection.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Records at `now` that the former home announced a handover.
    pub fn announce_handover(&self, now: Instant) {
        lock(&self.state).handover_announced_at = Some(now);
        self.handover_announced.notify(usize::MAX);
    }

    /// Takes the time of the last announced handover; `None` when there is none or it was taken before.
    pub fn take_handover(&self) -> Option<Instant> {
        lock(&self.state).handover_announced_at.take()
    }

    /// Completes at the next announcement of a handover.
    pub fn handover_announced(&self) -> EventListener {
        self.handover_announced.listen()
    }

    /// Applies an event on the control connection and returns the action to be taken on that connection.
    pub fn handle(&self, event: LeaseEvent, now: Instant) -> Option<LeaseAction> {
        let action = {
            let mut state = lock(&self.state);
            let held = state.lease.holds_lock();
            let action = state.lease.handle(event, now);
            if !held && state.lease.holds_lock() {
                state.epoch += 1;
            }
            action
        };
        self.changed.notify(usize::MAX);
        action
    }
}
