//! Failover claims: the right of one instance to replace a group's primary.
//!
//! A claim is an object in the store, one for each group. It is replaced only if it has not changed since it was read,
//! so each generation number is given to one claimant only. The rules for how long a claimant may act, and who may claim after
//! the store has lost data, are in [`hibiscusladder_core::sync_group`].

use std::{cell::RefCell, time::Duration};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{Group, InstanceId},
    position::Term,
    roster::Freshness,
    store_version::StoreVersion,
    sync_group::{
        ClaimGrant, GrantedClaim, PromotionRecord, RecordedPromotion, generation_era, may_claim,
        next_generation, record_generation,
    },
};
use hibiscusladder_io::clock::BootClock;
use thiserror::Error;

use crate::{
    adapter::{Collection, Store, StoreError},
    claim_table::{Claim, FailoverClaims, RecordedClaim},
    metrics::{Counter, Metrics},
    store_era::SharedStoreEra,
};

/// Reason why a failover was not claimed.
#[derive(Debug, Error)]
pub enum ClaimError {
    /// The claims could not be read.
    #[error("the claims cannot be read: {0}")]
    NotListed(StoreError),
    /// The claim was granted, but the logs of the group could not be read.
    #[error("the recorded logs of the group cannot be read: {0}")]
    LogsUnknown(StoreError),
    /// Another instance may be acting under its claim, or under one that the store has lost.
    #[error("another instance may act until its claim has ended, or a claim that the store lost")]
    Waiting,
    /// There is no higher generation number.
    #[error(
        "no generation number follows in era {0}; check that the era of the store did not fall"
    )]
    NoNumber(u64),
    /// Another instance has claimed meanwhile, or the store lost data, or its answer is not known.
    #[error("the claim was not written")]
    NotWritten,
}

/// What is needed to read and write failover claims.
#[derive(Debug)]
pub struct ClaimClient<'a, S> {
    /// Client of the store.
    pub store: &'a S,
    /// Era of the store.
    pub era: &'a SharedStoreEra,
    /// Claims and records that this instance knows.
    pub table: &'a RefCell<FailoverClaims>,
    /// Counters of the calls.
    pub metrics: &'a Metrics,
    /// This instance.
    pub instance: &'a InstanceId,
}

impl<S> ClaimClient<'_, S>
where
    S: Store,
{
    /// Claims the failover of `group`, for which the replicas are to hold `term`.
    ///
    /// # Errors
    ///
    /// Another instance may still be acting, or the claim cannot be written.
    pub async fn claim(&self, group: &Group, term: Term) -> Result<GrantedClaim, ClaimError> {
        if !self.is_listed() {
            self.list().await.map_err(ClaimError::NotListed)?;
        }
        let era = self.era.known();
        let replaced = self.current(group, era);
        let previous = replaced.as_ref().map(|replaced| replaced.previous(self.instance));
        let now = BootClock.now();
        if !self.is_listed() || !may_claim(previous.as_ref(), era, self.known_for(now), now) {
            return Err(ClaimError::Waiting);
        }
        let repeats =
            |replaced: &RecordedClaim| replaced.claim.fence.is_none_or(|fence| fence >= term.0);
        let repeats_term = replaced.as_ref().is_some_and(repeats);
        let grant = self.write(group, replaced, era, Some(term.0), None).await?;
        let table = self.table.borrow();
        let latest = table.records().latest(group);
        // A claim for the term may be lost unless a promotion was recorded since the data loss.
        let is_of_era = latest.is_some_and(|latest| generation_era(latest.generation) == era);
        Ok(GrantedClaim {
            grant,
            repeats_term: repeats_term || era > 0 && !is_of_era,
            latest: latest.map(|latest| latest.promotion.clone()),
            may_lack_records: era > 0,
        })
    }

    /// Renews this process's own claim of this era, and records a promotion with it if there is one; `None` when another
    /// instance has claimed meanwhile, when the store has lost data since the claim, or when the claim cannot be written.
    pub async fn renew(
        &self,
        group: &Group,
        promotion: Option<&PromotionRecord>,
    ) -> Option<ClaimGrant> {
        let era = self.era.known();
        let own = self.current(group, era).filter(|recorded| recorded.is_own)?;
        if !own.previous(self.instance).is_of_era(era) {
            return None;
        }
        let fence = own.claim.fence;
        self.write(group, Some(own), era, fence, promotion).await.ok()
    }

    /// Writes the latest known record of `group` to the store, which lacks it. The claim in the store keeps its claimant, and
    /// nobody gets the right to act.
    ///
    /// # Errors
    ///
    /// The claim has changed meanwhile, or the store does not answer. The claims were read again then, if possible.
    pub async fn write_record(&self, group: &Group) -> Result<(), ClaimError> {
        let era = self.era.known();
        let replaced = self.current(group, era);
        let previous = replaced.as_ref().map(|replaced| replaced.previous(self.instance));
        let generation =
            record_generation(previous.as_ref(), era).ok_or(ClaimError::NoNumber(era))?;
        let promotion = self.table.borrow().records().latest(group).map(Into::into);
        let previous = replaced.as_ref().map(|replaced| &replaced.claim);
        let claim = Claim {
            claimant: previous.map_or(self.instance, |claim| &claim.claimant).clone(),
            generation,
            fence: previous.and_then(|claim| claim.fence),
            promotion,
        };
        let base = replaced.map(|replaced| replaced.version);
        match self.put(group, base, era, &claim).await {
            Ok(version) => {
                let seen_at = BootClock.now();
                let recorded = RecordedClaim { claim, version, seen_at, is_own: false };
                self.table.borrow_mut().insert(group.clone(), recorded);
                Ok(())
            }
            Err(_) => {
                // Also after a lost answer: the list shows whether the record was written.
                let _ = self.list().await;
                Err(ClaimError::NotWritten)
            }
        }
    }

    /// Whether the claims were listed in the known era.
    pub fn is_listed(&self) -> bool {
        self.table.borrow().is_listed(self.era.known())
    }

    /// Reads all claims from the store.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn list(&self) -> Result<(), StoreError> {
        let listed = self.store.list(Collection::FailoverClaims, Freshness::Current).await;
        let label = if listed.is_ok() { "listed" } else { "list_failed" };
        self.metrics.count(Counter::StoreCalls, label);
        self.table.borrow_mut().record_list(&listed?, BootClock.now());
        Ok(())
    }

    /// Time for which the era has been known; zero before the first answer.
    fn known_for(&self, now: Instant) -> Duration {
        let learned_at = self.era.get().learned_at();
        learned_at.map_or(Duration::ZERO, |learned_at| now.since(learned_at))
    }

    fn current(&self, group: &Group, era: u64) -> Option<RecordedClaim> {
        self.table.borrow().current(group, era).cloned()
    }

    /// Writes the claim that follows `replaced`, with a new record or the latest known one.
    async fn write(
        &self,
        group: &Group,
        replaced: Option<RecordedClaim>,
        era: u64,
        fence: Option<u64>,
        promotion: Option<&PromotionRecord>,
    ) -> Result<ClaimGrant, ClaimError> {
        let requested_at = BootClock.now();
        let previous = replaced.as_ref().map(|replaced| replaced.previous(self.instance));
        let generation =
            next_generation(previous.as_ref(), era).ok_or(ClaimError::NoNumber(era))?;
        let new = promotion
            .map(|promotion| RecordedPromotion { promotion: promotion.clone(), generation });
        let promotion = match &new {
            Some(new) => Some(new.into()),
            None => self.table.borrow().records().latest(group).map(Into::into),
        };
        let claim = Claim { claimant: self.instance.clone(), generation, fence, promotion };
        let base = replaced.map(|replaced| replaced.version);
        match self.put(group, base, era, &claim).await {
            Ok(version) => {
                self.metrics.count(Counter::StoreCalls, "claimed");
                let seen_at = BootClock.now();
                let recorded = RecordedClaim { claim, version, seen_at, is_own: true };
                self.table.borrow_mut().insert(group.clone(), recorded);
                Ok(ClaimGrant::new(generation, requested_at))
            }
            Err(error) => {
                self.metrics.count(Counter::StoreCalls, "claim_failed");
                let is_written = self.resolve_failed_write(group, &claim, era, &error).await;
                let grant = is_written.then(|| ClaimGrant::new(generation, requested_at));
                grant.ok_or(ClaimError::NotWritten)
            }
        }
    }

    /// Writes a claim that is based on `base`, or on a list of `era` without a claim for the group.
    async fn put(
        &self,
        group: &Group,
        base: Option<StoreVersion>,
        era: u64,
        claim: &Claim,
    ) -> Result<StoreVersion, StoreError> {
        let text = serde_json::to_string(claim);
        let text =
            text.map_err(|error| StoreError::NoAnswer { reason: error.to_string().into() })?;
        let (collection, name) = (Collection::FailoverClaims, group.as_str());
        let version = match base {
            Some(base) => self.store.replace(collection, name, base, &text).await?,
            None => self.store.create(collection, name, &text).await?,
        };
        // The write may have taken effect on an object of a later era, whose claim it must not count as.
        SharedStoreEra::check_base(version, era)?;
        Ok(version)
    }

    /// Reads the claims again after a failed write. Returns whether the claim is in the store in the same era: the write may
    /// have taken effect although its answer was lost.
    async fn resolve_failed_write(
        &self,
        group: &Group,
        claim: &Claim,
        era: u64,
        error: &StoreError,
    ) -> bool {
        self.list().await.is_ok()
            && matches!(error, StoreError::NoAnswer { .. })
            && self.table.borrow_mut().confirm_own(group, claim, era)
    }
}
