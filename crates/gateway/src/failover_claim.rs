//! Failover claims: the right of one instance to replace a group's primary.
//!
//! A claim is an object in the store, one for each group. It is replaced only if it has not changed since it was read,
//! so each generation number is given to one claimant only. The rule for how long a claimant may act is in
//! [`hibiscusladder_core::sync_group`].

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, MemberId},
    position::{Lsn, Position, Term},
    roster::Freshness,
    store_version::StoreVersion,
    sync_group::{
        ClaimGrant, GrantedClaim, PreviousClaim, PromotionRecord, may_claim, next_generation,
    },
};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::{Collection, Content, Listing, Object, Platform, Store, StoreError},
    metrics::Counter,
    node::Node,
};

/// A claim as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance that has made the claim.
    #[serde(rename = "holder")]
    pub claimant: InstanceId,
    /// Number of the claim, which grows by one with each claim for the group.
    pub generation: u64,
    /// Term that the replicas were to hold; `None` in a claim of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<u64>,
    /// Latest promotion in the group, which later claims repeat; `None` before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promotion: Option<StoredPromotion>,
}

/// A [`PromotionRecord`] as stored.
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
}

impl From<&PromotionRecord> for StoredPromotion {
    fn from(promotion: &PromotionRecord) -> Self {
        let position = promotion.position;
        Self {
            replaced: promotion.replaced.0,
            member: promotion.member.clone(),
            members: promotion.members,
            position: (position.term.0, position.lsn.0),
        }
    }
}

impl From<&StoredPromotion> for PromotionRecord {
    fn from(stored: &StoredPromotion) -> Self {
        let (term, lsn) = stored.position;
        Self {
            replaced: Term(stored.replaced),
            member: stored.member.clone(),
            members: stored.members,
            position: Position::new(Term(term), Lsn(lsn)),
        }
    }
}

#[derive(Debug, Clone)]
struct RecordedClaim {
    claim: Claim,
    version: StoreVersion,
    seen_at: Instant,
    /// Whether this process made the claim.
    is_own: bool,
}

impl RecordedClaim {
    fn previous(&self, instance: &InstanceId) -> PreviousClaim {
        PreviousClaim {
            generation: self.claim.generation,
            version: self.version,
            is_own: self.claim.claimant == *instance,
            seen_at: self.seen_at,
        }
    }
}

/// Failover claims that this instance has read or made, by group.
#[derive(Debug, Default)]
pub struct FailoverClaims {
    claims: BTreeMap<Box<str>, RecordedClaim>,
    listed: bool,
}

impl FailoverClaims {
    /// Records a claim that was read from the store, unless one of the same or a higher version is recorded.
    pub fn record(&mut self, object: &Object, now: Instant) {
        let Content::GatewayText(text) = &object.content else { return };
        let Ok(claim) = serde_json::from_str::<Claim>(text) else { return };
        if self.claims.get(&object.name).is_some_and(|recorded| recorded.version >= object.version)
        {
            return;
        }
        let recorded =
            RecordedClaim { claim, version: object.version, seen_at: now, is_own: false };
        self.claims.insert(object.name.clone(), recorded);
    }

    /// Instance that made the recorded claim for `group`; `None` without a claim.
    pub fn claimant(&self, group: &Group) -> Option<&InstanceId> {
        self.claims.get(group.as_str()).map(|recorded| &recorded.claim.claimant)
    }
}

/// Claims the failover of `group`, for which the replicas are to hold `term`; `None` when another instance may still be
/// acting, or when the claim cannot be written.
pub async fn claim<P>(node: &Node<P>, group: &Group, term: Term) -> Option<GrantedClaim>
where
    P: Platform,
{
    if !node.failover_claims.borrow().listed {
        list(node).await.ok()?;
    }
    let recorded = node.failover_claims.borrow().claims.get(group.as_str()).cloned();
    let previous = recorded.as_ref().map(|recorded| recorded.previous(node.instance()));
    if !may_claim(previous.as_ref(), 0, Duration::ZERO, node.now()) {
        return None;
    }
    let promotion = recorded.as_ref().and_then(|recorded| recorded.claim.promotion.clone());
    let latest = promotion.as_ref().map(PromotionRecord::from);
    let repeats_term = recorded
        .as_ref()
        .is_some_and(|recorded| recorded.claim.fence.is_none_or(|fence| fence >= term.0));
    let grant = write(node, group, recorded, Some(term.0), promotion).await?;
    Some(GrantedClaim { grant, repeats_term, latest, may_lack_records: false })
}

/// Renews this process's own claim, and records a promotion with it if there is one; `None` when another instance has
/// claimed meanwhile, or when the claim cannot be written.
pub async fn renew<P>(
    node: &Node<P>,
    group: &Group,
    promotion: Option<&PromotionRecord>,
) -> Option<ClaimGrant>
where
    P: Platform,
{
    let recorded = node.failover_claims.borrow().claims.get(group.as_str()).cloned();
    let own = recorded.filter(|recorded| recorded.is_own)?;
    let promotion = promotion.map(Into::into).or_else(|| own.claim.promotion.clone());
    let fence = own.claim.fence;
    write(node, group, Some(own), fence, promotion).await
}

/// Writes the claim that follows `recorded`.
async fn write<P>(
    node: &Node<P>,
    group: &Group,
    recorded: Option<RecordedClaim>,
    fence: Option<u64>,
    promotion: Option<StoredPromotion>,
) -> Option<ClaimGrant>
where
    P: Platform,
{
    let requested_at = node.now();
    let previous = recorded.as_ref().map(|recorded| recorded.previous(node.instance()));
    let generation = next_generation(previous.as_ref(), 0)?;
    let claim = Claim { claimant: node.instance().clone(), generation, fence, promotion };
    let text = serde_json::to_string(&claim).ok()?;
    let name = group.as_str();
    let written = match &recorded {
        Some(recorded) => {
            node.store.replace(Collection::FailoverClaims, name, recorded.version, &text).await
        }
        None => node.store.create(Collection::FailoverClaims, name, &text).await,
    };
    match written {
        Ok(version) => {
            node.metrics.count(Counter::StoreCalls, "claimed");
            let recorded = RecordedClaim { claim, version, seen_at: node.now(), is_own: true };
            node.failover_claims.borrow_mut().claims.insert(name.into(), recorded);
            Some(ClaimGrant::new(generation, requested_at))
        }
        Err(error) => {
            node.metrics.count(Counter::StoreCalls, "claim_failed");
            let is_written = resolve_failed_write(node, group, &claim, &error).await;
            is_written.then(|| ClaimGrant::new(generation, requested_at))
        }
    }
}

/// Reads the claims again after a failed write. Returns whether the claim is in the store: the write may have taken effect
/// although its answer was lost.
async fn resolve_failed_write<P>(
    node: &Node<P>,
    group: &Group,
    claim: &Claim,
    error: &StoreError,
) -> bool
where
    P: Platform,
{
    if list(node).await.is_err() || !matches!(error, StoreError::NoAnswer { .. }) {
        return false;
    }
    let mut failover_claims = node.failover_claims.borrow_mut();
    let recorded = failover_claims.claims.get_mut(group.as_str());
    let written = recorded.filter(|recorded| recorded.claim == *claim);
    written.map(|recorded| recorded.is_own = true).is_some()
}

/// Reads all claims from the store.
///
/// # Errors
///
/// The store does not answer.
pub async fn list<P>(node: &Node<P>) -> Result<(), StoreError>
where
    P: Platform,
{
    let listed = node.store.list(Collection::FailoverClaims, Freshness::Current).await;
    node.metrics.count(Counter::StoreCalls, if listed.is_ok() { "listed" } else { "list_failed" });
    let Listing { objects, .. } = listed?;
    let now = node.now();
    let mut failover_claims = node.failover_claims.borrow_mut();
    failover_claims.listed = true;
    for object in &objects {
        failover_claims.record(object, now);
    }
    Ok(())
}
