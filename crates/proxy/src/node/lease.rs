//! Lease of a home on its member.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::clock::{Instant, with_drift};

use super::lock;

/// Time for which a successful poll on the connection that holds the lock supports the lease.
pub const LEASE_WINDOW: Duration = Duration::from_secs(1);

/// The lease on one member, as the control connection reports it.
#[derive(Debug, Default)]
pub struct Lease {
    state: Mutex<Option<LeaseState>>,
    changed: Event,
    epoch: Mutex<u64>,
}

/// State of a lock that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeaseState {
    acquired: Instant,
    sent: Instant,
}

impl Lease {
    /// Whether the home may act on the member at `now`.
    pub fn usable(&self, now: Instant) -> bool {
        lock(&self.state).is_some_and(|state| {
            now.since(state.acquired) >= with_drift(LEASE_WINDOW)
                && now.since(state.sent) < LEASE_WINDOW
        })
    }

    /// When the lock was acquired; absent when it is not held.
    pub fn acquired(&self) -> Option<Instant> {
        lock(&self.state).map(|state| state.acquired)
    }

    /// Number of times the lock was acquired; state that belongs to a lease is void in another epoch.
    pub fn epoch(&self) -> u64 {
        *lock(&self.epoch)
    }

    /// Completes when the lock is acquired, confirmed or lost.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Records that the lock was acquired by a statement sent at `sent` and answered at `now`.
    pub fn acquire(self: &Arc<Self>, sent: Instant, now: Instant) {
        *lock(&self.epoch) += 1;
        *lock(&self.state) = Some(LeaseState { acquired: now, sent });
        self.changed.notify(usize::MAX);
    }

    /// Records a successful poll on the connection that holds the lock.
    pub fn confirm(&self, sent: Instant) {
        if let Some(state) = &mut *lock(&self.state) {
            state.sent = state.sent.max(sent);
        }
        self.changed.notify(usize::MAX);
    }

    /// Records that the lock was released or its connection lost.
    pub fn lose(&self) {
        *lock(&self.state) = None;
        self.changed.notify(usize::MAX);
    }
}
