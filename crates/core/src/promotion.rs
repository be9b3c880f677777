//! Promotion of a new primary for a database, as one instance attempts it.
//!
//! Every home may attempt a promotion. The attempt claims a term in the platform's store, raises a majority of the
//! members to the term, waits until no older acknowledgement can be released (see [`crate::quorum`]), promotes the
//! most advanced raised member and publishes it. A member accepts one claimant for each term, so at most one
//! attempt for a term gets a majority, also without the store. Within a term, an attempt promotes only one
//! member. A late message of an abandoned attempt is harmless: the members reject lower terms, and a majority
//! that was raised to a term keeps all lower terms fenced.
//!
//! The caller records polls in the [`QuorumView`] first and then passes [`PromotionEvent::Tick`], also at least every
//! 50 ms while an attempt runs.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     name::MemberId,
//!     position::Term,
//!     promotion::{Promotion, PromotionAction, PromotionEvent, PromotionSettings},
//!     quorum::{MemberReport, MemberRole, POLL_INTERVAL, QuorumView, REPORT_WINDOW},
//! };
//!
//! let members: Vec<MemberId> = ["a", "b", "c"].map(MemberId::from).into();
//! let mut quorum = QuorumView::new(members.clone(), REPORT_WINDOW);
//! let mut promotion = Promotion::new(PromotionSettings::new("i1".into(), "bern-nord".into()));
//! let start = Instant::default();
//! let report = |member: &str, role, source_silent, sent| MemberReport {
//!     member: member.into(),
//!     role,
//!     term: Term(1),
//!     claimant: None,
//!     promoted_term: Term(1),
//!     position: Default::default(),
//!     term_start: Default::default(),
//!     term_members: Vec::new(),
//!     source_silent,
//!     sent,
//!     received: sent,
//! };
//! quorum.record(report("a", MemberRole::Primary, None, start));
//!
//! // The primary misses three polls, and the replicas receive nothing from it either.
//! let now = start.plus(4 * POLL_INTERVAL);
//! for poll in 1..=3 {
//!     quorum.poll_sent(&"a".into(), start.plus(poll * POLL_INTERVAL));
//! }
//! let silent = Some(Duration::from_millis(900));
//! quorum.record(report("b", MemberRole::Replica, silent, now));
//! quorum.record(report("c", MemberRole::Replica, silent, now));
//! let actions = promotion.handle(PromotionEvent::Tick, &quorum, now);
//! assert_eq!(actions, [PromotionAction::Claim { term: Term(2) }]);
//! ```

mod attempt;
mod message;
mod propagation;
mod settings;
mod suspicion;

pub use message::{
    AbandonReason, PromotionAction, PromotionEvent, Publication, StoreAnswer, TermRecord, Timeline,
};
pub use settings::{
    AGREEMENT_TTL, CATCH_UP_GRACE, CATCH_UP_POLL_INTERVAL, CATCH_UP_TIMEOUT, CLAIM_WAIT,
    DETECT_MISSES, PENDING_CLAIM_GRACE, PromotionSettings, REPEAT_INTERVAL, RESEND_INTERVAL,
    RETRY_JITTER, SOURCE_TIMEOUT, STAGE_TIMEOUT,
};

use self::{
    attempt::Attempt,
    propagation::{Followers, Publisher},
    suspicion::{Agreements, PendingTerm, Suspicion},
};
use crate::{clock::Instant, name::MemberId, position::Term, quorum::QuorumView};

/// State machine of the promotions that one instance attempts for one database.
#[derive(Debug, Clone)]
pub struct Promotion {
    settings: PromotionSettings,
    attempt: Option<Attempt>,
    agreements: Agreements,
    pending: PendingTerm,
    /// Term of the leaving primary that has to be replaced; `None` without a planned replacement.
    planned_replacement_term: Option<Term>,
    /// Newest known record of the store.
    record: Option<TermRecord>,
    /// Term of the last attempt of this instance; 0 before the first one.
    last_attempt_term: Term,
    backoff_until: Option<Instant>,
    /// Time at which this instance last completed a promotion; its polls show the new primary a moment later.
    last_completion: Option<Instant>,
    followers: Followers,
    publisher: Publisher,
    timeline: Option<Timeline>,
}

impl Promotion {
    /// Creates a state machine without an attempt.
    pub fn new(settings: PromotionSettings) -> Self {
        Self {
            settings,
            attempt: None,
            agreements: Agreements::default(),
            pending: PendingTerm::default(),
            planned_replacement_term: None,
            record: None,
            last_attempt_term: Term::default(),
            backoff_until: None,
            last_completion: None,
            followers: Followers::default(),
            publisher: Publisher::default(),
            timeline: None,
        }
    }

    /// Handles an event and returns the actions to take, in order.
    pub fn handle(
        &mut self,
        event: PromotionEvent,
        quorum: &QuorumView,
        now: Instant,
    ) -> Vec<PromotionAction> {
        let mut actions = Vec::new();
        // The time limit is checked before the event is handled: a claimant that was paused must not act on an answer
        // that arrived during the pause.
        self.abandon_overdue(now, &mut actions);
        self.record_terms(quorum, now);
        self.apply_event(event, now, &mut actions);
        self.advance_attempt(quorum, now, &mut actions);
        self.start_if_needed(quorum, now, &mut actions);
        self.propagate(quorum, now, &mut actions);
        actions
    }

    /// The primary that has missed enough polls of this instance to be suspected, and its term, to send to other
    /// instances; `None` when no primary is suspected.
    pub fn suspected_primary(&self, quorum: &QuorumView, now: Instant) -> Option<(MemberId, Term)> {
        let (primary, term) = quorum.last_primary()?;
        (quorum.missed_polls(&primary, now) >= self.settings.detect_misses)
            .then_some((primary, term))
    }

    /// Term of the running attempt; `None` when no attempt is running.
    pub fn attempt_term(&self) -> Option<Term> {
        self.attempt.as_ref().map(|attempt| attempt.term)
    }

    /// Whether the home of the primary has to hold back new writes, because an attempt is replacing a leaving
    /// primary.
    pub fn holds_writes(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.leaving.is_some())
    }

    /// Times of the last promotion that this instance completed; `None` before the first one.
    pub const fn timeline(&self) -> Option<&Timeline> {
        self.timeline.as_ref()
    }

    fn apply_event(
        &mut self,
        event: PromotionEvent,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        match event {
            PromotionEvent::Tick => {}
            PromotionEvent::Record(record) => self.set_record(record, now),
            PromotionEvent::Agreement { instance, data_centre, term } => {
                if instance != self.settings.instance && data_centre != self.settings.data_centre {
                    self.agreements.add(instance, term, now);
                }
            }
            PromotionEvent::Claimed { term, answer } => {
                self.claim_answered(term, answer, now, actions);
            }
            PromotionEvent::ReadBack(record) => self.read_back_answered(record, now, actions),
            PromotionEvent::Raised { member, term, claimant } => {
                self.raise_answered(member, term, claimant, now, actions);
            }
            PromotionEvent::Promoted { member, term, accepted } => {
                self.promote_answered(&member, term, accepted, now, actions);
            }
            PromotionEvent::Published { term, answer } => self.publish_answered(term, answer, now),
            PromotionEvent::PlannedReplacement { term } => {
                self.planned_replacement_term = Some(term)
            }
        }
    }

    fn set_record(&mut self, record: TermRecord, now: Instant) {
        if self.record.as_ref().is_some_and(|current| current.term > record.term) {
            return;
        }
        if record.primary.is_none() && record.claimant.as_ref() != Some(&self.settings.instance) {
            self.pending.record(record.term, now);
        }
        self.record = Some(record);
    }

    fn record_terms(&mut self, quorum: &QuorumView, now: Instant) {
        for report in quorum.reports() {
            self.pending.record(report.term, now);
        }
    }

    /// Starts an attempt when the primary has to be replaced and no other claimant is replacing it.
    fn start_if_needed(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        if self.attempt.is_some() || self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let Some(suspicion) = self.suspicion(quorum, now) else { return };
        let recorded = self.record.as_ref().map_or_else(Term::default, |record| record.term);
        let highest = quorum.highest_term().unwrap_or_default();
        let term = highest.max(recorded).max(self.last_attempt_term).next();
        self.last_attempt_term = term;
        self.planned_replacement_term = None;
        let mut attempt = Attempt::new(term, suspicion.unresponsive_since, now);
        if let Some(primary) = suspicion.leaving {
            attempt.start_catch_up(primary);
        } else {
            actions.push(PromotionAction::Claim { term });
        }
        self.attempt = Some(attempt);
    }

    /// Ends the attempt without a primary. The wait before the next attempt differs between instances.
    fn abandon(&mut self, reason: AbandonReason, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = self.attempt.take() else { return };
        self.backoff_until = Some(now.plus(suspicion::retry_delay(&self.settings, attempt.term)));
        actions.push(PromotionAction::Abandoned { term: attempt.term, reason });
    }

    fn abandon_overdue(&mut self, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &self.attempt else { return };
        if now.since(attempt.stage_started) > self.settings.stage_timeout {
            self.abandon(AbandonReason::StageBound, now, actions);
        }
    }

    /// The reason for an attempt, if the primary has to be replaced now.
    fn suspicion(&self, quorum: &QuorumView, now: Instant) -> Option<Suspicion> {
        let primary = quorum.last_primary();
        let primary_term = primary.as_ref().map(|(_, term)| *term);
        if self.pending.is_reserved(primary_term, self.last_attempt_term, &self.settings, now) {
            return None;
        }
        let Some((primary, term)) = primary else {
            return self.suspicion_without_primary(quorum, now);
        };
        if quorum.highest_term() > Some(term) {
            return self.suspicion_without_primary(quorum, now);
        }
        let unresponsive_since = quorum.last_answered(&primary).unwrap_or(now);
        if self.planned_replacement_term == Some(term)
            && suspicion::may_catch_up(quorum, &primary, now)
        {
            return Some(Suspicion { unresponsive_since: now, leaving: Some(primary) });
        }
        let unresponsive = quorum.missed_polls(&primary, now) >= self.settings.detect_misses;
        let agreed = self.agreements.any_recent(term, now)
            || suspicion::members_agree(quorum, &primary, &self.settings, now);
        (unresponsive && agreed).then_some(Suspicion { unresponsive_since, leaving: None })
    }

    /// The reason for an attempt when a term was raised but has no primary, or when no primary is known at all.
    fn suspicion_without_primary(&self, quorum: &QuorumView, now: Instant) -> Option<Suspicion> {
        let recent_reports =
            quorum.reports().filter(|report| now.since(report.sent) < quorum.window()).count();
        let waited = self.pending.waited(now);
        let is_own_attempt = self.pending.term() <= self.last_attempt_term;
        let recently_completed =
            self.last_completion.is_some_and(|at| now.since(at) < PENDING_CLAIM_GRACE);
        let grace_over = !recently_completed && (is_own_attempt || waited >= PENDING_CLAIM_GRACE);
        let suspicion = Suspicion { unresponsive_since: self.pending.since(), leaving: None };
        (recent_reports >= quorum.majority() && grace_over).then_some(suspicion)
    }
}
