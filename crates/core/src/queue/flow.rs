//! Requests and virtual time of one workspace.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Instant;

/// Cost that is assumed until the first request of a workspace has ended, in seconds.
pub(super) const INITIAL_COST_S: f64 = 0.005;
/// Weight of the newest cost in the exponential moving average.
pub(super) const COST_WEIGHT: f64 = 0.2;

#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) item: T,
    pub(super) deadline: Instant,
    pub(super) queued: Instant,
}

#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) waiting: VecDeque<Waiting<T>>,
    pub(super) weight: f64,
    /// Virtual time at which the next request starts, in seconds per unit of weight.
    pub(super) tag: f64,
    /// Moving average of the cost of a request, in seconds.
    pub(super) mean_cost: f64,
    pub(super) running: u32,
}

impl<T> Flow<T> {
    pub(super) const fn new(tag: f64) -> Self {
        Self { waiting: VecDeque::new(), weight: 1.0, tag, mean_cost: INITIAL_COST_S, running: 0 }
    }

    pub(super) fn is_active(&self) -> bool {
        !self.waiting.is_empty() || self.running > 0
    }

    /// Takes the first request and charges its expected cost, which is returned in seconds.
    pub(super) fn start(&mut self) -> Option<(Waiting<T>, f64)> {
        let first = self.waiting.pop_front()?;
        self.tag += self.mean_cost / self.weight;
        self.running += 1;
        Some((first, self.mean_cost))
    }

    /// Corrects the charge of a request that was charged `charged` seconds so far, and updates the mean cost.
    pub(super) fn finish(&mut self, charged: f64, used: Duration) {
        let used = used.as_secs_f64();
        self.tag += (used - charged) / self.weight;
        self.mean_cost += COST_WEIGHT * (used - self.mean_cost);
        self.running -= 1;
    }

    /// Removes the requests whose deadline has passed.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        for waiting in self.waiting.drain(..) {
            if waiting.deadline <= now {
                expired.push(waiting.item);
            } else {
                kept.push_back(waiting);
            }
        }
        self.waiting = kept;
        expired
    }

    /// Slot time that the waiting requests need, in seconds.
    pub(super) fn backlog(&self) -> f64 {
        let count = u32::try_from(self.waiting.len()).map_or(f64::MAX, f64::from);
        count * self.mean_cost
    }
}
