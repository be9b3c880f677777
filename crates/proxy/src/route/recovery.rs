//! Evidence that the home of a member serves again, for requests that wait for it.

use std::{collections::HashMap, time::Duration};

use hibiscusladder_core::{clock::Instant, name::MemberId};

/// Time between two retries that one instance may make without retry budget.
///
/// While a home or a primary is replaced, all requests for it fail and soon use up the retry budget. Without these
/// probes, the end of the replacement would not be noticed until the budget's window of 10 s has passed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Times at which the members last served a request, and the time of the next probe.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    served: HashMap<MemberId, Instant>,
    next_probe: Instant,
}

impl Recovery {
    /// Records that `member` served a request at `now`.
    pub(super) fn record_served(&mut self, member: &MemberId, now: Instant) {
        match self.served.get_mut(member) {
            Some(served) => *served = now,
            None => drop(self.served.insert(member.clone(), now)),
        }
    }

    /// Whether `member` served a request after `failed`, the time of a failure; a retry then needs no budget.
    pub(super) fn served_since(&self, member: &MemberId, failed: Instant) -> bool {
        self.served.get(member).is_some_and(|served| *served > failed)
    }

    /// Takes the next probe; false when it is not due yet.
    pub(super) fn try_probe(&mut self, now: Instant) -> bool {
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now.plus(PROBE_INTERVAL);
        }
        due
    }
}
