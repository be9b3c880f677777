//! Failover claims in the store, as an instance has read or written them, and the records of promotions in them.

use std::collections::BTreeMap;

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, MemberId},
    position::{Lsn, Position, Term},
    store_version::StoreVersion,
    sync_group::{PreviousClaim, PromotionRecord, PromotionRecords, RecordedPromotion},
};
use serde::{Deserialize, Serialize};

use crate::adapter::{Content, Listing, Object};

/// A claim as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance that has made the claim.
    #[serde(rename = "holder")]
    pub claimant: InstanceId,
    /// Number of the claim, which grows with each claim for the group.
    pub generation: u64,
    /// Term that the replicas were to hold; `None` in a claim of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
    /// Latest promotion in the group, which later claims repeat; `None` before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promotion: Option<StoredPromotion>,
}

/// A [`RecordedPromotion`] as stored, and as instances send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPromotion {
    /// Term of the primary that was replaced.
    pub replaced: u64,
    /// Member that was to become the primary.
    pub member: MemberId,
    /// Number of members in the group.
    pub members: usize,
    /// Term and log sequence number of the end of its log.
    pub position: (u64, u64),
    /// Number of the claim with which the promotion was recorded; 0 in a record of an earlier version.
    #[serde(default)]
    pub generation: u64,
}

impl From<&RecordedPromotion> for StoredPromotion {
    fn from(recorded: &RecordedPromotion) -> Self {
        let RecordedPromotion { promotion, generation } = recorded;
        let position = promotion.position;
        Self {
            replaced: promotion.replaced.0,
            member: promotion.member.clone(),
            members: promotion.members,
            position: (position.term.0, position.lsn.0),
            generation: *generation,
        }
    }
}

impl From<&StoredPromotion> for RecordedPromotion {
    fn from(stored: &StoredPromotion) -> Self {
        let (term, lsn) = stored.position;
        let promotion = PromotionRecord {
            replaced: Term(stored.replaced),
            member: stored.member.clone(),
            members: stored.members,
            position: Position::new(Term(term), Lsn(lsn)),
        };
        Self { promotion, generation: stored.generation }
    }
}

/// A claim that this instance has read or written.
#[derive(Debug, Clone)]
pub struct RecordedClaim {
    /// The claim.
    pub claim: Claim,
    /// Version of the object in the store.
    pub version: StoreVersion,
    /// When this version was first seen.
    pub seen_at: Instant,
    /// Whether this process made the claim.
    pub is_own: bool,
}

impl RecordedClaim {
    /// The claim as the one that a claim of `instance` would replace.
    pub fn previous(&self, instance: &InstanceId) -> PreviousClaim {
        PreviousClaim {
            generation: self.claim.generation,
            version: self.version,
            is_own: self.claim.claimant == *instance,
            seen_at: self.seen_at,
        }
    }
}

/// Failover claims that this instance has read or made, by group, and the latest known records of promotions.
#[derive(Debug, Default)]
pub struct FailoverClaims {
    claims: BTreeMap<Group, RecordedClaim>,
    /// Era in which the claims were last listed; `None` before.
    listed: Option<u64>,
    records: PromotionRecords,
}

impl FailoverClaims {
    /// Records claims that were listed at `now`.
    pub fn record_list(&mut self, list: &Listing, now: Instant) {
        self.listed = self.listed.max(Some(list.version.era));
        for object in &list.objects {
            self.record(object, now);
        }
    }

    /// Records a claim that was read from the store, unless one of the same or a higher version is recorded.
    pub fn record(&mut self, object: &Object, now: Instant) {
        let Content::GatewayText(text) = &object.content else { return };
        let Ok(claim) = serde_json::from_str::<Claim>(text) else { return };
        let group = Group::from(&*object.name);
        if self.claims.get(&group).is_some_and(|recorded| recorded.version >= object.version) {
            return;
        }
        self.insert(
            group,
            RecordedClaim { claim, version: object.version, seen_at: now, is_own: false },
        );
    }

    /// Records a claim that was read or written, with the promotion in it.
    pub fn insert(&mut self, group: Group, recorded: RecordedClaim) {
        if let Some(promotion) = &recorded.claim.promotion {
            self.records.learn(&group, &promotion.into(), recorded.seen_at);
        }
        self.claims.insert(group, recorded);
    }

    /// Whether the claims were listed in `era`.
    pub fn is_listed(&self, era: u64) -> bool {
        self.listed == Some(era)
    }

    /// The claim for `group` that is in the store in `era`, as far as it is known.
    pub fn current(&self, group: &Group, era: u64) -> Option<&RecordedClaim> {
        self.claims.get(group).filter(|recorded| recorded.version.era == era)
    }

    /// Records that this process made `claim`, if it is in the store in `era`; returns whether it is.
    pub fn confirm_own(&mut self, group: &Group, claim: &Claim, era: u64) -> bool {
        let recorded = self.claims.get_mut(group);
        let is_present =
            |recorded: &&mut RecordedClaim| recorded.version.era == era && recorded.claim == *claim;
        recorded.filter(is_present).map(|recorded| recorded.is_own = true).is_some()
    }

    /// Instance that made the recorded claim for `group`; `None` without a claim.
    pub fn claimant(&self, group: &Group) -> Option<&InstanceId> {
        self.claims.get(group).map(|recorded| &recorded.claim.claimant)
    }

    /// Latest known records of promotions.
    pub const fn records(&self) -> &PromotionRecords {
        &self.records
    }

    /// Records what another instance knows of a promotion in `group`; returns whether it was not known.
    pub fn learn(&mut self, group: &Group, promotion: &StoredPromotion, now: Instant) -> bool {
        self.records.learn(group, &promotion.into(), now)
    }

    /// Number of groups with a known record.
    pub fn known_records(&self) -> usize {
        self.records.groups().count()
    }

    /// Groups whose latest known record the store lacks in `era`, and that may be written by `instance` now. There is none
    /// before the claims were listed in `era`.
    pub fn lacking(&self, instance: &InstanceId, era: u64, now: Instant) -> Vec<Group> {
        let is_lacking = |group: &&Group| {
            let current = self.current(group, era);
            let stored = current.and_then(|current| current.claim.promotion.as_ref());
            let stored: Option<RecordedPromotion> = stored.map(Into::into);
            let claim = current.map(|current| current.previous(instance));
            self.records.is_rewrite_due(group, stored.as_ref(), claim.as_ref(), era, now)
        };
        let groups = self.records.groups().filter(|_| self.is_listed(era));
        groups.filter(is_lacking).cloned().collect()
    }
}
