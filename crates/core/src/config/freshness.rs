//! How recent a copy of the configuration provably is.

use std::time::Duration;

use crate::clock::Instant;

/// The newest proof that a revision was the store's newest one.
///
/// Times are the receiver's own: a proof counts from the moment at which it was asked for, less the age that the
/// answer gave, so a slow answer makes the copy look older and never fresher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    revision: u64,
    proved_at: Option<Instant>,
}

impl Freshness {
    /// Records that at a request sent at `asked`, `revision` had been the newest one at most `age` before.
    ///
    /// Returns whether the proof is newer than the one held.
    pub fn record_proof(&mut self, revision: u64, asked: Instant, age: Duration) -> bool {
        // A proof from before the origin of this clock has no place on it.
        let Some(since_origin) = asked.since_origin().checked_sub(age) else { return false };
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

    /// Time of the proof.
    pub const fn proved_at(&self) -> Option<Instant> {
        self.proved_at
    }

    /// Age of the proof; absent without one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }
}
