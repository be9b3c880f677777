//! When an instance starts an attempt, and when it leaves that to another.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use super::{AGREEMENT_TTL, DRAIN_TIMEOUT, PENDING_CLAIM_GRACE, PromotionSettings, RETRY_JITTER};
use crate::{
    clock::Instant,
    name::{InstanceId, MemberId},
    position::Term,
    quorum::QuorumView,
};

/// Shortest wait before another attempt.
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// The primary has to be replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Sending time of the last poll that the primary answered.
    pub(super) silent_since: Instant,
    /// The primary, when it answers but is to be replaced because it is leaving.
    pub(super) leaving: Option<MemberId>,
}

/// Observations of other instances that the primary is silent.
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

    /// Whether at least one recent observation is about the primary of `term`.
    pub(super) fn hold(&self, term: Term, now: Instant) -> bool {
        let recent = |agreement: &Agreement| now.since(agreement.at) <= AGREEMENT_TTL;
        self.0.values().any(|agreement| agreement.term == term && recent(agreement))
    }
}

/// The highest term that was heard of, and since when.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingTerm {
    term: Term,
    since: Instant,
    /// Whether a majority accepted the term from another claimant than this instance.
    lost: bool,
}

impl PendingTerm {
    pub(super) const fn term(&self) -> Term {
        self.term
    }

    pub(super) const fn since(&self) -> Instant {
        self.since
    }

    pub(super) fn note(&mut self, term: Term, now: Instant) {
        if term > self.term {
            *self = Self { term, since: now, lost: false };
        }
    }

    /// Notes that another claimant got `term`, which this instance had attempted, too.
    pub(super) fn note_lost(&mut self, term: Term, now: Instant) {
        if term >= self.term {
            *self = Self { term, since: now, lost: true };
        }
    }

    pub(super) const fn waited(&self, now: Instant) -> Duration {
        now.since(self.since)
    }

    /// Whether another claimant is at a term above the primary's and has not had its time yet.
    pub(super) fn held_by_another(
        &self,
        primary: Option<Term>,
        own: Term,
        settings: &PromotionSettings,
        now: Instant,
    ) -> bool {
        let another = self.lost || self.term > own;
        let in_progress = primary.is_some_and(|primary| self.term > primary);
        let patience = PENDING_CLAIM_GRACE + retry_wait(settings, self.term);
        another && in_progress && self.waited(now) < patience
    }
}

/// Whether a majority of the members does not hear the primary.
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
        .filter(|report| report.source_silent.is_some_and(|silent| silent >= settings.silence()))
        .count();
    agreeing >= quorum.majority()
}

/// Whether a replica lags so little behind the primary that it can catch up while writes are held back.
pub(super) fn may_catch_up(quorum: &QuorumView, primary: &MemberId, now: Instant) -> bool {
    let recent = quorum.proofs().iter().filter(|proof| now.since(proof.sent) < DRAIN_TIMEOUT);
    let Some(needed) = recent.map(|proof| proof.position).min() else { return false };
    let mut others = quorum.reports().filter(|report| report.member != *primary);
    others.any(|report| report.position >= needed && now.since(report.sent) < quorum.window())
}

/// Wait before another attempt; it differs between instances and terms but not between runs.
pub(super) fn retry_wait(settings: &PromotionSettings, term: Term) -> Duration {
    let mut hasher = DefaultHasher::new();
    settings.instance.hash(&mut hasher);
    term.hash(&mut hasher);
    let per_mille = u32::try_from(hasher.finish() % 1000).unwrap_or(0);
    RETRY_WAIT + RETRY_JITTER * per_mille / 1000
}
