//! Rule for failover claims: for how long a claimant may act, and from when on another instance may claim.
//!
//! The platform does not check the generation numbers of promotions, so a promotion under an old claim must not reach it
//! after one under a newer claim. A claimant therefore sends each command only while its claim is valid, checks that when
//! it sends it, and withdraws what is still on its way when the claim ends. Another instance waits until a promotion
//! that was requested at the last moment has taken effect.
//!
//! The store may be restored from an older copy, which loses the latest claims and assigns revisions again. Its era rises
//! then. A lost claim was made before the restore, so whoever has known the new era for [`TAKEOVER_DELAY`] may claim. A
//! claim that was written in the new era shows that its claimant has waited. The era is part of the generation number, so
//! that a number is higher than all numbers of claims that were lost.

use std::time::Duration;

use crate::{clock::Instant, store_version::StoreVersion};

/// Time from sending the claim for which its claimant may act.
pub const CLAIM_VALIDITY: Duration = Duration::from_millis(2300);
/// Longest time from the request of a promotion until the member is primary.
pub const MAX_PROMOTION_TIME: Duration = Duration::from_millis(1000);
/// Time without a change of the claim after which another instance may claim.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(3500);

/// Claim that was granted to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Generation number of the claim, which grows with each claim and renewal for the group.
    pub generation: u64,
    /// When the claim ends. Nothing may be sent, or be on its way, from then on.
    pub until: Instant,
}

impl ClaimGrant {
    /// Creates the grant of a claim whose request was sent at `requested_at`.
    pub const fn new(generation: u64, requested_at: Instant) -> Self {
        Self { generation, until: requested_at.plus(CLAIM_VALIDITY) }
    }

    /// Era of the store in which the claim was made.
    pub const fn era(&self) -> u64 {
        generation_era(self.generation)
    }

    /// Whether the claimant may act.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Time for which the claimant may still act.
    pub const fn time_left(&self, now: Instant) -> Duration {
        self.until.since(now)
    }
}

/// Number of bits of a generation number that count the claims of an era. The era is in the bits above.
const COUNTER_BITS: u32 = 32;
/// Highest revision from which a counter is derived. The counters above are left for stores with higher revisions.
const MAX_COUNTED_REVISION: u64 = 1 << (COUNTER_BITS - 1);

/// Era of the store in which the claim with this number was made.
pub const fn generation_era(generation: u64) -> u64 {
    generation >> COUNTER_BITS
}

/// Claim in the store that the next one replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PreviousClaim {
    /// Its generation number.
    pub generation: u64,
    /// Version of the object, as it was read.
    pub version: StoreVersion,
    /// Whether the instance that is to make the next claim has made this one.
    pub is_own: bool,
    /// When this version was first seen.
    pub seen_at: Instant,
}

impl PreviousClaim {
    /// Whether the claim was made in `era`.
    ///
    /// This is not the case for a claim that is in the store again after a restore, for one whose write was based on a
    /// revision of an earlier era, and for a record that was written again ([`record_generation`]).
    pub const fn is_of_era(&self, era: u64) -> bool {
        generation_era(self.generation) == era && self.generation > era << COUNTER_BITS
    }
}

/// Generation number of the claim that replaces `previous` in `era`; `None` when there is no higher number, or when `previous`
/// was read in another era, so that nobody may claim.
///
/// In era 0 the numbers are consecutive. In later eras the counter is also higher than the replaced revision. A write that
/// was based on a revision of the era before may have replaced a claim with a higher number than its own. Above
/// 2^31 revisions, only the counters of claims in the store are known to be lower.
pub fn next_generation(previous: Option<&PreviousClaim>, era: u64) -> Option<u64> {
    let start = era.checked_mul(1 << COUNTER_BITS)?;
    let mut next = start + 1;
    if let Some(previous) = previous {
        if previous.version.era != era {
            return None;
        }
        next = next.max(previous.generation.checked_add(1)?);
        if era > 0 && previous.version.revision < MAX_COUNTED_REVISION {
            next = next.max(start + previous.version.revision + 1);
        }
    }
    (generation_era(next) == era).then_some(next)
}

/// Generation number with which an instance that makes no claim writes a lost record of a promotion again.
///
/// It is lower than that of each claim of `era`, and not lower than that of `previous`.
pub fn record_generation(previous: Option<&PreviousClaim>, era: u64) -> Option<u64> {
    let start = era.checked_mul(1 << COUNTER_BITS)?;
    let generation = previous.map_or(start, |previous| previous.generation.max(start));
    (generation_era(generation) == era).then_some(generation)
}

/// Whether an instance may claim in `era`, which it has known for `known_for`.
///
/// In era 0 no claim was lost, so that an instance that has just started does not wait.
pub fn may_claim(
    previous: Option<&PreviousClaim>,
    era: u64,
    known_for: Duration,
    now: Instant,
) -> bool {
    let is_of_era = previous.is_some_and(|previous| previous.is_of_era(era));
    let may_be_lost = era > 0 && !is_of_era && known_for < TAKEOVER_DELAY;
    // The instance's own claim of an earlier era may have replaced a newer claim of this one.
    let is_other = |previous: &PreviousClaim| !previous.is_own || !is_of_era;
    let is_waiting = previous
        .is_some_and(|previous| is_other(previous) && !may_take_over(previous.seen_at, now));
    !may_be_lost && !is_waiting
}

/// Whether another instance may claim, after it has first seen the present claim at `seen_at`.
pub fn may_take_over(seen_at: Instant, now: Instant) -> bool {
    now.since(seen_at) >= TAKEOVER_DELAY
}
