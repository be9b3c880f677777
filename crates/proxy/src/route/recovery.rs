//! Evidence that the home of a member serves again, for requests that wait for it.

use std::{collections::HashMap, time::Duration};

use hibiscusladder_core::{clock::Instant, name::MemberId};

/// Time between two retries of one instance that need no budget.
///
/// While a home or a primary is replaced, all requests for it fail and soon use up the retry budget. Without these
/// probes, nothing would notice the end of the replacement until the budget's window of 10 s has passed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// What an instance knows about members that refused requests.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    served: HashMap<MemberId, Instant>,
    next_probe: Instant,
}

impl Recovery {
    /// Notes that a request was served at `now`.
    pub(super) fn note_served(&mut self, member: &MemberId, now: Instant) {
        match self.served.get_mut(member) {
            Some(served) => *served = now,
            None => drop(self.served.insert(member.clone(), now)),
        }
    }

    /// Whether a request was served after one failed at `failed`; then a retry is no guess.
    pub(super) fn served_since(&self, member: &MemberId, failed: Instant) -> bool {
        self.served.get(member).is_some_and(|served| *served > failed)
    }

    /// Takes the next probe when it is due.
    pub(super) fn try_probe(&mut self, now: Instant) -> bool {
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now.plus(PROBE_INTERVAL);
        }
        due
    }
}
