//! Records of promotions, and which of them is the latest after a data loss of the store.
//!
//! The store may be restored from a copy without the latest record. Instances therefore keep the latest record of each
//! group, pass recent ones on to each other, and write one that the store lacks again.

use std::{collections::BTreeMap, time::Duration};

use super::{PreviousClaim, may_take_over};
use crate::{
    clock::Instant,
    name::{Group, MemberId},
    position::{Position, Term},
};

/// Time for which a record is passed on after it became known. A copy of the store from which it is restored is some
/// seconds old, so that an older record is in the store.
const RECENT_TIME: Duration = Duration::from_secs(60);

/// A promotion, recorded in the store before it is requested, so that every instance knows with which log a term began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionRecord {
    /// Term of the primary that was replaced.
    pub replaced: Term,
    /// Member that was to become the primary.
    pub member: MemberId,
    /// Number of members in the group.
    pub members: usize,
    /// End of its log, which includes every acknowledged commit of the replaced term and of earlier ones.
    pub position: Position,
}

/// A record with the claim under which the promotion was recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedPromotion {
    /// The record.
    pub promotion: PromotionRecord,
    /// Generation number of the claim; 0 when it is not known.
    pub generation: u64,
}

impl RecordedPromotion {
    /// Whether the promotion was recorded later than `other`. Attempts to replace a term follow each other in the order of their
    /// claims.
    pub fn is_newer_than(&self, other: Option<&Self>) -> bool {
        let order = |record: &Self| (record.promotion.replaced, record.generation);
        other.is_none_or(|other| order(self) > order(other))
    }
}

/// Latest record of each group that an instance knows, from the store, its own attempts or other instances.
#[derive(Debug, Clone, Default)]
pub struct PromotionRecords {
    records: BTreeMap<Group, (RecordedPromotion, Instant)>,
}

impl PromotionRecords {
    /// Records what was learned at `now`, unless a newer record is known; returns whether it was not known.
    pub fn learn(&mut self, group: &Group, record: &RecordedPromotion, now: Instant) -> bool {
        let is_newer = record.is_newer_than(self.latest(group));
        if is_newer {
            self.records.insert(group.clone(), (record.clone(), now));
        }
        is_newer
    }

    /// Groups with a record, in the order of their names.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.records.keys()
    }

    /// Latest record of `group`; `None` when none is known.
    pub fn latest(&self, group: &Group) -> Option<&RecordedPromotion> {
        self.records.get(group).map(|(record, _)| record)
    }

    /// At most `limit` records to pass on, the most recent first.
    pub fn recent(&self, limit: usize, now: Instant) -> Vec<(&Group, &RecordedPromotion)> {
        let recent = self.records.iter().filter(|(_, (_, at))| now.since(*at) < RECENT_TIME);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        recent.into_iter().take(limit).map(|(group, (record, _))| (group, record)).collect()
    }

    /// Whether the store lacks the latest record of `group`, and an instance may write it: nobody acts under the claim
    /// in the store, whose renewals would be refused.
    pub fn is_rewrite_due(
        &self,
        group: &Group,
        stored: Option<&RecordedPromotion>,
        claim: Option<&PreviousClaim>,
        era: u64,
        now: Instant,
    ) -> bool {
        let is_lacking = self.latest(group).is_some_and(|known| known.is_newer_than(stored));
        let is_unused =
            claim.is_none_or(|claim| !claim.is_of_era(era) || may_take_over(claim.seen_at, now));
        era > 0 && is_lacking && is_unused
    }
}
