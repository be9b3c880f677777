//! One instance's part in changes of the primary of a database.
//!
//! Every home may attempt a promotion. The attempt claims a term in the platform's store, raises a majority of the
//! members to the term, waits until no older acknowledgement can be released (see [`crate::quorum`]), promotes the
//! most advanced raised member and publishes it. A member accepts one claimant for each term, so at most one
//! attempt for a term gets a majority, also without the store. Within a term, an attempt asks only one member to
//! become primary. A late message of an abandoned attempt is harmless: the members reject lower terms, and a term
//! that was raised on a majority stays fenced.
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
//!     quorum::{MemberReport, MemberRole, POLL_INTERVAL, REPORT_WINDOW, QuorumView},
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
//! // The primary misses three polls, and the replicas do not hear it either.
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
mod settings;
mod spread;
mod suspicion;

pub use message::{
    AbandonReason, PromotionAction, PromotionEvent, Publication, StoreAnswer, TermRecord, Timeline,
};
pub use settings::{
    AGREEMENT_TTL, CLAIM_WAIT, DETECT_MISSES, DRAIN_GRACE, DRAIN_POLL_INTERVAL, DRAIN_TIMEOUT,
    PENDING_CLAIM_GRACE, PromotionSettings, REPEAT_INTERVAL, RESEND_INTERVAL, RETRY_JITTER,
    SOURCE_TIMEOUT, STAGE_TIMEOUT,
};

use self::{
    attempt::Attempt,
    spread::{Followers, Publisher},
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
    handover: Option<Term>,
    record: Option<TermRecord>,
    last_attempt: Term,
    backoff_until: Option<Instant>,
    /// Time of the last promotion that this instance completed; its polls take a moment to show the new primary.
    completed: Option<Instant>,
    followers: Followers,
    publisher: Publisher,
    timeline: Option<Timeline>,
}

impl Promotion {
    /// Creates a state machine that attempts nothing yet.
    pub fn new(settings: PromotionSettings) -> Self {
        Self {
            settings,
            attempt: None,
            agreements: Agreements::default(),
            pending: PendingTerm::default(),
            handover: None,
            record: None,
            last_attempt: Term::default(),
            backoff_until: None,
            completed: None,
            followers: Followers::default(),
            publisher: Publisher::default(),
            timeline: None,
        }
    }

    /// Takes an event and returns what has to be done, in order.
    pub fn handle(
        &mut self,
        event: PromotionEvent,
        quorum: &QuorumView,
        now: Instant,
    ) -> Vec<PromotionAction> {
        let mut actions = Vec::new();
        // The clock comes before the event: a claimant that was paused must not act on an answer that waited.
        self.abandon_overdue(now, &mut actions);
        self.note_terms(quorum, now);
        self.take_event(event, now, &mut actions);
        self.advance_attempt(quorum, now, &mut actions);
        self.start_if_needed(quorum, now, &mut actions);
        self.spread(quorum, now, &mut actions);
        actions
    }

    /// The primary that this instance finds silent, and its term, to be told to other instances.
    pub fn suspected_primary(&self, quorum: &QuorumView, now: Instant) -> Option<(MemberId, Term)> {
        let (primary, term) = quorum.last_primary()?;
        (quorum.missed_polls(&primary, now) >= self.settings.detect_misses)
            .then_some((primary, term))
    }

    /// Term of the attempt that is running.
    pub fn attempt_term(&self) -> Option<Term> {
        self.attempt.as_ref().map(|attempt| attempt.term)
    }

    /// Whether the home of the primary has to hold new writes back, because the primary is being handed over.
    pub fn holds_writes(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.leaving.is_some())
    }

    /// Times of the last promotion that this instance completed.
    pub const fn timeline(&self) -> Option<&Timeline> {
        self.timeline.as_ref()
    }

    fn take_event(
        &mut self,
        event: PromotionEvent,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        match event {
            PromotionEvent::Tick => {}
            PromotionEvent::Record(record) => self.note_record(record, now),
            PromotionEvent::Agreement { instance, data_centre, term } => {
                if instance != self.settings.instance && data_centre != self.settings.data_centre {
                    self.agreements.add(instance, term, now);
                }
            }
            PromotionEvent::Claimed { term, answer } => {
                self.take_claim(term, answer, now, actions);
            }
            PromotionEvent::ReadBack(record) => self.take_read_back(record, now, actions),
            PromotionEvent::Raised { member, term, claimant } => {
                self.take_raise(member, term, claimant, now, actions);
            }
            PromotionEvent::Promoted { member, term, accepted } => {
                self.take_promotion(&member, term, accepted, now, actions);
            }
            PromotionEvent::Published { term, answer } => self.take_publication(term, answer, now),
            PromotionEvent::Handover { term } => self.handover = Some(term),
        }
    }

    fn note_record(&mut self, record: TermRecord, now: Instant) {
        if self.record.as_ref().is_some_and(|known| known.term > record.term) {
            return;
        }
        if record.primary.is_none() && record.claimant.as_ref() != Some(&self.settings.instance) {
            self.pending.note(record.term, now);
        }
        self.record = Some(record);
    }

    fn note_terms(&mut self, quorum: &QuorumView, now: Instant) {
        for report in quorum.reports() {
            self.pending.note(report.term, now);
        }
    }

    /// Starts an attempt when the primary has to be replaced and nobody else is at it.
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
        let known = self.record.as_ref().map_or_else(Term::default, |record| record.term);
        let highest = quorum.highest_term().unwrap_or_default();
        let term = highest.max(known).max(self.last_attempt).next();
        self.last_attempt = term;
        self.handover = None;
        let mut attempt = Attempt::new(term, suspicion.silent_since, now);
        if let Some(primary) = suspicion.leaving {
            attempt.drain(primary);
        } else {
            actions.push(PromotionAction::Claim { term });
        }
        self.attempt = Some(attempt);
    }

    /// Ends the attempt; the next one waits for a time that differs between instances.
    fn abandon(&mut self, reason: AbandonReason, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = self.attempt.take() else { return };
        self.backoff_until = Some(now.plus(suspicion::retry_wait(&self.settings, attempt.term)));
        actions.push(PromotionAction::Abandoned { term: attempt.term, reason });
    }

    fn abandon_overdue(&mut self, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &self.attempt else { return };
        if now.since(attempt.stage_started) > self.settings.stage_timeout {
            self.abandon(AbandonReason::StageBound, now, actions);
        }
    }

    /// Why a new primary is needed now.
    fn suspicion(&self, quorum: &QuorumView, now: Instant) -> Option<Suspicion> {
        let primary = quorum.last_primary();
        let primary_term = primary.as_ref().map(|(_, term)| *term);
        if self.pending.held_by_another(primary_term, self.last_attempt, &self.settings, now) {
            return None;
        }
        let Some((primary, term)) = primary else {
            return self.no_primary(quorum, now);
        };
        if quorum.highest_term() > Some(term) {
            return self.no_primary(quorum, now);
        }
        let silent_since = quorum.last_answered(&primary).unwrap_or(now);
        if self.handover == Some(term) && suspicion::may_catch_up(quorum, &primary, now) {
            return Some(Suspicion { silent_since: now, leaving: Some(primary) });
        }
        let silent = quorum.missed_polls(&primary, now) >= self.settings.detect_misses;
        let agreed = self.agreements.hold(term, now)
            || suspicion::members_agree(quorum, &primary, &self.settings, now);
        (silent && agreed).then_some(Suspicion { silent_since, leaving: None })
    }

    /// A term was raised, but nobody became its primary; or the group never had one.
    fn no_primary(&self, quorum: &QuorumView, now: Instant) -> Option<Suspicion> {
        let heard =
            quorum.reports().filter(|report| now.since(report.sent) < quorum.window()).count();
        let waited = self.pending.waited(now);
        let own = self.pending.term() <= self.last_attempt;
        let settling = self.completed.is_some_and(|at| now.since(at) < PENDING_CLAIM_GRACE);
        let patient = !settling && (own || waited >= PENDING_CLAIM_GRACE);
        let suspicion = Suspicion { silent_since: self.pending.since(), leaving: None };
        (heard >= quorum.majority() && patient).then_some(suspicion)
    }
}
