//! The part of the slot time that keeps lower priorities from starving.

use super::backlog::Backlog;
use crate::priority::CLASSES;

/// Slot time that lower priorities are owed together for each unit that higher ones get while they wait.
const GUARANTEED_PART: f64 = 0.25;

/// Fraction of the slot time that each of `lower` priorities gets while all of them and a higher one wait.
pub(super) fn guaranteed_part(lower: usize) -> f64 {
    GUARANTEED_PART / (1.0 + GUARANTEED_PART) / lower.max(1) as f64
}

/// Slot time that is owed to each priority, in seconds.
///
/// While requests of a lower priority wait, they are owed [`GUARANTEED_PART`] of the slot time that higher ones get.
#[derive(Debug, Default)]
pub(super) struct Guarantee {
    owed_s: [f64; CLASSES],
}

impl Guarantee {
    /// Records that a request of the given priority starts, which takes `cost_s`; `backlog` is what waits without it.
    pub(super) fn record_start(&mut self, priority: usize, cost_s: f64, backlog: &Backlog) {
        self.owed_s[priority] = (self.owed_s[priority] - cost_s).max(0.0);
        let is_waiting = |lower: &usize| backlog.of_priority(*lower).0 > 0;
        let waiting = (priority + 1..CLASSES).filter(is_waiting).count();
        for lower in 0..CLASSES {
            if !is_waiting(&lower) {
                // A priority without waiting requests gains no credit for later.
                self.owed_s[lower] = 0.0;
            } else if lower > priority {
                self.owed_s[lower] += cost_s * GUARANTEED_PART / waiting as f64;
            }
        }
    }

    /// The priority whose next request is paid for by what it is owed; the most urgent of several.
    pub(super) fn due(&self, backlog: &Backlog) -> Option<usize> {
        (1..CLASSES).find(|priority| {
            let owed_s = self.owed_s[*priority];
            if owed_s <= 0.0 {
                return false;
            }
            let (count, cost_s) = backlog.of_priority(*priority);
            count > 0 && owed_s >= cost_s / count as f64
        })
    }
}
