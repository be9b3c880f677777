//! The stages of one attempt: catch up (only in a planned replacement), claim, raise, fence, promote.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    AbandonReason, CATCH_UP_GRACE, CATCH_UP_POLL_INTERVAL, CATCH_UP_TIMEOUT, Promotion,
    PromotionAction, RESEND_INTERVAL, StoreAnswer, TermRecord, Timeline,
};
use crate::{
    clock::{Instant, with_drift},
    name::{InstanceId, MemberId},
    position::{Position, Term},
    quorum::{MemberReport, QuorumView},
};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// The leaving primary gets no new writes until a replica has caught up.
    CatchingUp { polled: Option<Instant> },
    /// The claim of the term was sent to the store.
    Claiming,
    /// The store's record is being read, because the answer to the claim was lost.
    ReadingBack,
    /// The members are being raised to the term.
    Raising,
    /// A majority was raised; the report window has to pass before a promotion.
    Fencing,
    /// The promotion was sent to a member.
    Promoting { member: MemberId, term_members: Vec<MemberId>, sent: Instant },
}

/// One attempt for one term.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) term: Term,
    pub(super) stage: Stage,
    pub(super) stage_started: Instant,
    /// Leaving primary of a planned replacement; it is chosen again only when no other raised member has its whole log.
    pub(super) leaving: Option<MemberId>,
    raised: BTreeSet<MemberId>,
    /// Members that accepted the term from another claimant, and that claimant; `None` when the member reports none.
    refused: BTreeMap<MemberId, Option<InstanceId>>,
    raise_sent: BTreeMap<MemberId, Instant>,
    timeline: Timeline,
}

impl Attempt {
    pub(super) const fn new(term: Term, unresponsive_since: Instant, now: Instant) -> Self {
        Self {
            term,
            stage: Stage::Claiming,
            stage_started: now,
            leaving: None,
            raised: BTreeSet::new(),
            refused: BTreeMap::new(),
            raise_sent: BTreeMap::new(),
            timeline: Timeline {
                unresponsive_since,
                detected: now,
                claim_ended: now,
                fenced: now,
                promoted: now,
                published: None,
            },
        }
    }

    /// Makes the attempt a planned replacement, which first waits for a replica to catch up with the leaving primary.
    pub(super) fn start_catch_up(&mut self, primary: MemberId) {
        self.leaving = Some(primary);
        self.stage = Stage::CatchingUp { polled: None };
    }

    /// Whether a replica has reached the position that the leaving primary reported after its last writes finished.
    fn is_caught_up(&self, quorum: &QuorumView) -> bool {
        let Some(primary) = &self.leaving else { return true };
        let grace_end = self.stage_started.plus(CATCH_UP_GRACE);
        let Some(last) = quorum.report(primary).filter(|report| report.sent >= grace_end) else {
            return false;
        };
        let mut others = quorum.reports().filter(|report| report.member != *primary);
        others.any(|report| report.sent >= grace_end && report.position >= last.position)
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_started = now;
    }

    fn start_raising(&mut self, now: Instant) {
        self.timeline.claim_ended = now;
        self.enter(Stage::Raising, now);
    }

    const fn is_claiming(&self) -> bool {
        matches!(self.stage, Stage::Claiming | Stage::ReadingBack)
    }

    const fn is_raising(&self) -> bool {
        matches!(self.stage, Stage::Raising | Stage::Fencing)
    }

    /// Members that have not answered the raise and were not sent one within [`RESEND_INTERVAL`].
    fn raises_due(&mut self, quorum: &QuorumView, now: Instant) -> Vec<MemberId> {
        let mut due = Vec::new();
        for member in quorum.members() {
            if self.raised.contains(member) || self.refused.contains_key(member) {
                continue;
            }
            let sent = self.raise_sent.get(member);
            if sent.is_none_or(|sent| now.since(*sent) >= RESEND_INTERVAL) {
                self.raise_sent.insert(member.clone(), now);
                due.push(member.clone());
            }
        }
        due
    }

    /// Whether the members that accepted the term and the undecided ones that answer polls still make a majority.
    fn may_get_majority(&self, quorum: &QuorumView, detect_misses: u32, now: Instant) -> bool {
        if self.refused.is_empty() {
            return true;
        }
        let possible = quorum.members().iter().filter(|member| {
            let undecided = !self.refused.contains_key(*member);
            let answers = quorum.missed_polls(member, now) < detect_misses;
            self.raised.contains(*member) || (undecided && answers)
        });
        possible.count() >= quorum.majority()
    }

    /// Whether a majority accepted the term from one other claimant.
    fn is_taken(&self, quorum: &QuorumView) -> bool {
        self.refused.values().any(|claimant| {
            self.refused.values().filter(|other| *other == claimant).count() >= quorum.majority()
        })
    }

    /// The most advanced raised member, once a majority of the members reported its final position.
    ///
    /// A report with the attempt's term was made after the raise, which ended the replication of the old term.
    fn choose_candidate(&self, quorum: &QuorumView) -> Option<MemberId> {
        let reports: Vec<&MemberReport> = quorum
            .members()
            .iter()
            .filter(|member| self.raised.contains(*member))
            .filter_map(|member| quorum.report(member))
            .filter(|report| report.term == self.term)
            .collect();
        if reports.len() < quorum.majority() {
            return None;
        }
        let best: Position = reports.iter().map(|report| report.position).max()?;
        let is_not_leaving =
            |report: &&&MemberReport| Some(&report.member) != self.leaving.as_ref();
        let mut equal = reports.iter().filter(|report| report.position == best);
        let first = equal.clone().next()?;
        Some(equal.find(is_not_leaving).unwrap_or(first).member.clone())
    }

    fn term_members(&self, quorum: &QuorumView) -> Vec<MemberId> {
        quorum.members().iter().filter(|member| self.raised.contains(*member)).cloned().collect()
    }
}

impl Promotion {
    pub(super) fn claim_answered(
        &mut self,
        term: Term,
        answer: StoreAnswer,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.term != term || attempt.stage != Stage::Claiming {
            return;
        }
        match answer {
            StoreAnswer::Stored | StoreAnswer::Unavailable => attempt.start_raising(now),
            StoreAnswer::Unknown => {
                attempt.stage = Stage::ReadingBack;
                actions.push(PromotionAction::ReadBack);
            }
            StoreAnswer::Conflict(record) => self.compare_claim(record, now, actions),
        }
    }

    pub(super) fn read_back_answered(
        &mut self,
        record: Option<TermRecord>,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.stage != Stage::ReadingBack {
            return;
        }
        match record {
            None => attempt.start_raising(now),
            Some(record) => self.compare_claim(record, now, actions),
        }
    }

    /// Compares the claim with the record in the store, and continues the attempt, repeats the claim or abandons it.
    fn compare_claim(
        &mut self,
        record: TermRecord,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        let own = record.claimant.as_ref() == Some(&self.settings.instance);
        if record.term == attempt.term && own {
            attempt.start_raising(now);
        } else if record.term >= attempt.term {
            self.abandon_superseded(record.term, now, actions);
        } else {
            attempt.stage = Stage::Claiming;
            actions.push(PromotionAction::Claim { term: attempt.term });
        }
        self.set_record(record, now);
    }

    pub(super) fn raise_answered(
        &mut self,
        member: MemberId,
        term: Term,
        claimant: Option<InstanceId>,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        if !attempt.is_raising() || term < attempt.term {
            return;
        }
        if term > attempt.term {
            self.abandon_superseded(term, now, actions);
        } else if claimant.as_ref() == Some(&self.settings.instance) {
            attempt.raised.insert(member);
        } else {
            attempt.refused.insert(member, claimant);
        }
    }

    pub(super) fn promote_answered(
        &mut self,
        member: &MemberId,
        term: Term,
        accepted: bool,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &self.attempt else { return };
        let Stage::Promoting { member: candidate, .. } = &attempt.stage else { return };
        if attempt.term != term || candidate != member {
            return;
        }
        if accepted {
            self.complete(now, actions);
        } else {
            self.abandon(AbandonReason::Rejected, now, actions);
        }
    }

    pub(super) fn advance_attempt(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        self.apply_reports(quorum, now, actions);
        self.wait_for_catch_up(quorum, now, actions);
        self.continue_without_store(now);
        self.raise(quorum, now, actions);
        self.fence(quorum, now, actions);
        self.promote(now, actions);
    }

    /// Handles reports from polls like answers to raises and promotions, because those answers may have been lost.
    fn apply_reports(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        for report in quorum.reports() {
            self.raise_answered(
                report.member.clone(),
                report.term,
                report.claimant.clone(),
                now,
                actions,
            );
            if report.is_primary() {
                self.promote_answered(&report.member, report.term, true, now, actions);
            }
        }
    }

    /// Polls until a replica has the whole log of the leaving primary, then claims the term.
    fn wait_for_catch_up(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &mut self.attempt else { return };
        let started = attempt.stage_started;
        let caught_up = attempt.is_caught_up(quorum);
        let Stage::CatchingUp { polled } = &mut attempt.stage else { return };
        if caught_up {
            attempt.enter(Stage::Claiming, now);
            actions.push(PromotionAction::Claim { term: attempt.term });
        } else if now.since(started) >= CATCH_UP_TIMEOUT {
            self.abandon(AbandonReason::NotCaughtUp, now, actions);
        } else if polled.is_none_or(|polled| now.since(polled) >= CATCH_UP_POLL_INTERVAL) {
            *polled = Some(now);
            let members = quorum.members().iter().cloned();
            actions.extend(members.map(|member| PromotionAction::Poll { member }));
        }
    }

    /// Continues with the raise when the store does not answer the claim in time.
    fn continue_without_store(&mut self, now: Instant) {
        let Some(attempt) = &mut self.attempt else { return };
        let waited = now.since(attempt.stage_started);
        if attempt.is_claiming() && waited >= self.settings.claim_wait {
            attempt.start_raising(now);
        }
    }

    fn raise(&mut self, quorum: &QuorumView, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        if !attempt.is_raising() {
            return;
        }
        let term = attempt.term;
        let due = attempt.raises_due(quorum, now);
        actions.extend(due.into_iter().map(|member| PromotionAction::Raise { member, term }));
        if attempt.stage != Stage::Raising {
            return;
        }
        if attempt.raised.len() >= quorum.majority() {
            attempt.enter(Stage::Fencing, now);
        } else if !attempt.may_get_majority(quorum, self.settings.detect_misses, now) {
            if attempt.is_taken(quorum) {
                self.pending.record_taken(term, now);
            }
            self.abandon(AbandonReason::NoMajority, now, actions);
        }
    }

    fn fence(&mut self, quorum: &QuorumView, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        let waited = now.since(attempt.stage_started);
        if attempt.stage != Stage::Fencing || waited < with_drift(self.settings.window) {
            return;
        }
        let Some(member) = attempt.choose_candidate(quorum) else { return };
        let (term, term_members) = (attempt.term, attempt.term_members(quorum));
        attempt.timeline.fenced = now;
        let stage = Stage::Promoting {
            member: member.clone(),
            term_members: term_members.clone(),
            sent: now,
        };
        attempt.enter(stage, now);
        actions.push(PromotionAction::Promote { member, term, term_members });
    }

    /// Resends the promotion to the chosen member. No other member is promoted in the same term.
    fn promote(&mut self, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        let term = attempt.term;
        let Stage::Promoting { member, term_members, sent } = &mut attempt.stage else { return };
        if now.since(*sent) >= RESEND_INTERVAL {
            *sent = now;
            let (member, term_members) = (member.clone(), term_members.clone());
            actions.push(PromotionAction::Promote { member, term, term_members });
        }
    }

    /// Abandons the attempt because another claimant has `term`.
    fn abandon_superseded(&mut self, term: Term, now: Instant, actions: &mut Vec<PromotionAction>) {
        self.pending.record_taken(term, now);
        self.abandon(AbandonReason::Superseded, now, actions);
    }

    fn complete(&mut self, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = self.attempt.take() else { return };
        let Stage::Promoting { member, term_members, .. } = attempt.stage else { return };
        self.timeline = Some(Timeline { promoted: now, ..attempt.timeline });
        self.last_completion = Some(now);
        self.publisher.start(attempt.term, member.clone(), term_members, now);
        actions.push(PromotionAction::Poll { member });
    }
}
