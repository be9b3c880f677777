//! Proof of the age of a copy of the configuration.

use std::time::Duration;

use crate::clock::Instant;

/// The most recent proof that a revision was the newest one of the store.
///
/// Times are of the receiver's clock. A proof is dated to when its request was sent, less the age in the answer, so a
/// slow answer makes the copy look older and never fresher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    revision: u64,
    proved_at: Option<Instant>,
}

impl Freshness {
    /// Records the proof in the answer to a request sent at `sent`: `revision` was the newest one at most `age` before
    /// the answer.
    ///
    /// Returns whether the proof is newer than the one held.
    pub fn record_proof(&mut self, revision: u64, sent: Instant, age: Duration) -> bool {
        // A time before the origin of the clock cannot be represented.
        let Some(since_origin) = sent.since_origin().checked_sub(age) else { return false };
        let proved_at = Instant::new(since_origin);
        if revision < self.revision || self.proved_at.is_some_and(|held| held >= proved_at) {
            return false;
        }
        self.revision = revision;
        self.proved_at = Some(proved_at);
        true
    }

    /// Revision that was proved to be the newest.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Time of the proof on the receiver's clock; `None` without a proof.
    pub const fn proved_at(&self) -> Option<Instant> {
        self.proved_at
    }

    /// Age of the proof at `now`; `None` without a proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }
}
