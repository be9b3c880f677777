//! Conditions under which an instance starts an attempt, or waits for the attempt of another claimant.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use super::{
    AGREEMENT_TTL, CATCH_UP_TIMEOUT, PENDING_CLAIM_GRACE, PromotionSettings, RETRY_JITTER,
};
use crate::{
    clock::Instant,
    name::{InstanceId, MemberId},
    position::Term,
    quorum::QuorumView,
};

/// Shortest delay before another attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reason for replacing the primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Start of the timeline; see [`Timeline::unresponsive_since`](super::Timeline::unresponsive_since).
    pub(super) unresponsive_since: Instant,
    /// The primary, when it answers but has to be replaced because it is leaving.
    pub(super) leaving: Option<MemberId>,
}

/// Latest report of an unresponsive primary from each other instance.
#[derive(Debug, Clone, Default)]
pub(super) struct Agreements(BTreeMap<InstanceId, Agreement>);

#[derive(Debug, Clone, Copy)]
struct Agreement {
    term: Term,
    at: Instant,
}

impl Agreements {
    pub(super) fn add(&mut self, instance: InstanceId, term: Term, now: Instant) {
        self.0.retain(|_, agreement| now.since(agreement.at) <= AGREEMENT_TTL);
        self.0.insert(instance, Agreement { term, at: now });
    }

    /// Whether at least one instance recently reported the primary of `term` as unresponsive.
    pub(super) fn any_recent(&self, term: Term, now: Instant) -> bool {
        let recent = |agreement: &Agreement| now.since(agreement.at) <= AGREEMENT_TTL;
        self.0.values().any(|agreement| agreement.term == term && recent(agreement))
    }
}

/// The highest known term, and the time at which it became known.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingTerm {
    term: Term,
    since: Instant,
    /// Whether another claimant has the term although this instance attempted a promotion.
    taken_by_other: bool,
}

impl PendingTerm {
    pub(super) const fn term(&self) -> Term {
        self.term
    }

    pub(super) const fn since(&self) -> Instant {
        self.since
    }

    pub(super) fn record(&mut self, term: Term, now: Instant) {
        if term > self.term {
            *self = Self { term, since: now, taken_by_other: false };
        }
    }

    /// Records that another claimant has `term`, which ended an attempt of this instance.
    pub(super) fn record_taken(&mut self, term: Term, now: Instant) {
        if term >= self.term {
            *self = Self { term, since: now, taken_by_other: true };
        }
    }

    pub(super) const fn waited(&self, now: Instant) -> Duration {
        now.since(self.since)
    }

    /// Whether another claimant has a term above the primary's, and its time to complete the promotion is not over.
    pub(super) fn is_reserved(
        &self,
        primary_term: Option<Term>,
        last_attempt_term: Term,
        settings: &PromotionSettings,
        now: Instant,
    ) -> bool {
        let has_other_claimant = self.taken_by_other || self.term > last_attempt_term;
        let in_progress = primary_term.is_some_and(|primary_term| self.term > primary_term);
        let grace = PENDING_CLAIM_GRACE + retry_delay(settings, self.term);
        has_other_claimant && in_progress && self.waited(now) < grace
    }
}

/// Whether a majority of the members reported within the window that they receive nothing from the primary.
pub(super) fn members_agree(
    quorum: &QuorumView,
    primary: &MemberId,
    settings: &PromotionSettings,
    now: Instant,
) -> bool {
    let agreeing = quorum
        .reports()
        .filter(|report| report.member != *primary)
        .filter(|report| now.since(report.sent) < quorum.window())
        .filter(|report| {
            report.source_silent.is_some_and(|silent| silent >= settings.source_timeout())
        })
        .count();
    agreeing >= quorum.majority()
}

/// Whether a replica lags so little behind the primary that it can catch up while writes are held back.
pub(super) fn may_catch_up(quorum: &QuorumView, primary: &MemberId, now: Instant) -> bool {
    let recent = quorum.proofs().iter().filter(|proof| now.since(proof.sent) < CATCH_UP_TIMEOUT);
    let Some(needed) = recent.map(|proof| proof.position).min() else { return false };
    let mut others = quorum.reports().filter(|report| report.member != *primary);
    others.any(|report| report.position >= needed && now.since(report.sent) < quorum.window())
}

/// Delay before another attempt. It is derived from the instance and the term, so that it differs between instances but
/// not between runs.
pub(super) fn retry_delay(settings: &PromotionSettings, term: Term) -> Duration {
    let mut hasher = DefaultHasher::new();
    settings.instance.hash(&mut hasher);
    term.hash(&mut hasher);
    let per_mille = u32::try_from(hasher.finish() % 1000).unwrap_or(0);
    MIN_RETRY_DELAY + RETRY_JITTER * per_mille / 1000
}
