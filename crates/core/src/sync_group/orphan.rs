//! Detects holds that no attempt to replace the primary needs any more.
//!
//! The load: an instance has replicas hold a term and is killed or cut off, or a member comes back with the hold of an attempt
//! that has ended long ago. The replicas receive nothing then, and no write completes until somebody releases them.

use std::time::Duration;

use super::{FENCE_TTL, GroupView};
use crate::{clock::Instant, position::Term};

/// Time after which a hold counts as orphaned although an attempt is announced; longer than most attempts take.
const LONGEST_ATTEMPT: Duration = Duration::from_secs(5);
/// Time without an announced attempt after which a hold counts as orphaned; each announcement counts for [`FENCE_TTL`]
/// already.
const UNANNOUNCED_TIME: Duration = FENCE_TTL;

/// Since when writes to the leader have been stopped.
#[derive(Debug, Clone, Default)]
pub struct OrphanDetector {
    /// Term of the leader, and since when it has been fenced.
    fenced: Option<(Term, Instant)>,
    /// Since when members have held a higher term without an announced attempt.
    unannounced_since: Option<Instant>,
}

impl OrphanDetector {
    /// Records the state of the group; to be called at least every 100 ms.
    pub fn observe(&mut self, view: &GroupView, now: Instant) {
        let fenced = view.leader(now).filter(|leader| leader.fenced);
        self.fenced = fenced.map(|leader| {
            let known = self.fenced.filter(|(term, _)| *term == leader.term);
            known.unwrap_or((leader.term, now))
        });
        // After a start, or beside an attempt, the leader is fenced without a hold that anybody has seen.
        let is_held = self.fenced.is_some_and(|(term, _)| view.is_held_above(term));
        let is_unannounced = is_held && view.fenced_term(now).is_none();
        self.unannounced_since = is_unannounced.then(|| self.unannounced_since.unwrap_or(now));
    }

    /// Whether the leader is fenced, so that it may get no writes.
    pub const fn is_fenced(&self) -> bool {
        self.fenced.is_some()
    }

    /// Whether the members have to be released, or the leader replaced.
    pub fn is_orphaned(&self, now: Instant) -> bool {
        let has_passed =
            |since: Option<Instant>, time| since.is_some_and(|since| now.since(since) >= time);
        has_passed(self.fenced.map(|(_, since)| since), LONGEST_ATTEMPT)
            || has_passed(self.unannounced_since, UNANNOUNCED_TIME)
    }
}
