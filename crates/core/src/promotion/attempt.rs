//! The stages of one attempt: claim, raise, fence, promote.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    AbandonReason, DRAIN_GRACE, DRAIN_POLL_INTERVAL, DRAIN_TIMEOUT, Promotion, PromotionAction,
    RESEND_INTERVAL, StoreAnswer, TermRecord, Timeline,
};
use crate::{
    clock::{Instant, with_drift},
    name::{InstanceId, MemberId},
    position::{Position, Term},
    quorum::{MemberReport, QuorumView},
};

/// Where an attempt is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// A leaving primary takes no writes until a replica has caught up.
    Draining { polled: Option<Instant> },
    /// The store was asked for the term.
    Claiming,
    /// The record is read because the answer to the claim was lost.
    ReadingBack,
    /// The members are raised.
    Raising,
    /// A majority was raised; the window passes.
    Fencing,
    /// A member was asked to become primary.
    Promoting { member: MemberId, term_members: Vec<MemberId>, sent: Instant },
}

/// One attempt for one term.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) term: Term,
    pub(super) stage: Stage,
    pub(super) stage_started: Instant,
    /// Primary that is handed over; it is chosen again only when no other member has its whole log.
    pub(super) leaving: Option<MemberId>,
    raised: BTreeSet<MemberId>,
    refused: BTreeMap<MemberId, Option<InstanceId>>,
    raise_sent: BTreeMap<MemberId, Instant>,
    timeline: Timeline,
}

impl Attempt {
    pub(super) const fn new(term: Term, silent_since: Instant, now: Instant) -> Self {
        Self {
            term,
            stage: Stage::Claiming,
            stage_started: now,
            leaving: None,
            raised: BTreeSet::new(),
            refused: BTreeMap::new(),
            raise_sent: BTreeMap::new(),
            timeline: Timeline {
                silent_since,
                detected: now,
                agreed: now,
                fenced: now,
                promoted: now,
                published: None,
            },
        }
    }

    /// Starts with waiting for a replica to catch up with the leaving primary.
    pub(super) fn drain(&mut self, primary: MemberId) {
        self.leaving = Some(primary);
        self.stage = Stage::Draining { polled: None };
    }

    /// Whether a replica has everything that the leaving primary holds since its last writes finished.
    fn is_caught_up(&self, quorum: &QuorumView) -> bool {
        let Some(primary) = &self.leaving else { return true };
        let settled = self.stage_started.plus(DRAIN_GRACE);
        let Some(last) = quorum.report(primary).filter(|report| report.sent >= settled) else {
            return false;
        };
        let mut others = quorum.reports().filter(|report| report.member != *primary);
        others.any(|report| report.sent >= settled && report.position >= last.position)
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_started = now;
    }

    fn start_raising(&mut self, now: Instant) {
        self.timeline.agreed = now;
        self.enter(Stage::Raising, now);
    }

    const fn is_claiming(&self) -> bool {
        matches!(self.stage, Stage::Claiming | Stage::ReadingBack)
    }

    const fn is_raising(&self) -> bool {
        matches!(self.stage, Stage::Raising | Stage::Fencing)
    }

    /// Members that have to be raised and were not asked lately.
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

    /// Whether enough members that answer polls may still accept the term.
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

    /// Whether one other claimant has the majority.
    fn lost_to_another(&self, quorum: &QuorumView) -> bool {
        self.refused.values().any(|claimant| {
            self.refused.values().filter(|other| *other == claimant).count() >= quorum.majority()
        })
    }

    /// The most advanced raised member, once a majority of the members reported its final position.
    ///
    /// A report with the attempt's term was made after the raise, which ended the replication of the old term.
    fn choose(&self, quorum: &QuorumView) -> Option<MemberId> {
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
        let stays = |report: &&&MemberReport| Some(&report.member) != self.leaving.as_ref();
        let mut equal = reports.iter().filter(|report| report.position == best);
        let first = equal.clone().next()?;
        Some(equal.find(stays).unwrap_or(first).member.clone())
    }

    fn term_members(&self, quorum: &QuorumView) -> Vec<MemberId> {
        quorum.members().iter().filter(|member| self.raised.contains(*member)).cloned().collect()
    }
}

impl Promotion {
    pub(super) fn take_claim(
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

    pub(super) fn take_read_back(
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

    /// Continues with the record that the store holds instead of, or because of, the claim.
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
            self.lose(record.term, now, actions);
        } else {
            attempt.stage = Stage::Claiming;
            actions.push(PromotionAction::Claim { term: attempt.term });
        }
        self.note_record(record, now);
    }

    pub(super) fn take_raise(
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
            self.lose(term, now, actions);
        } else if claimant.as_ref() == Some(&self.settings.instance) {
            attempt.raised.insert(member);
        } else {
            attempt.refused.insert(member, claimant);
        }
    }

    pub(super) fn take_promotion(
        &mut self,
        member: &MemberId,
        term: Term,
        accepted: bool,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let Some(attempt) = &self.attempt else { return };
        let Stage::Promoting { member: asked, .. } = &attempt.stage else { return };
        if attempt.term != term || asked != member {
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
        self.learn_from_reports(quorum, now, actions);
        self.drain(quorum, now, actions);
        self.leave_claim(now);
        self.raise(quorum, now, actions);
        self.fence(quorum, now, actions);
        self.promote(now, actions);
    }

    /// Takes from the polls what answers that were lost would have said.
    fn learn_from_reports(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        for report in quorum.reports() {
            self.take_raise(
                report.member.clone(),
                report.term,
                report.claimant.clone(),
                now,
                actions,
            );
            if report.is_primary() {
                self.take_promotion(&report.member, report.term, true, now, actions);
            }
        }
    }

    /// Polls until a replica has the whole log of the leaving primary, then claims the term.
    fn drain(&mut self, quorum: &QuorumView, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = &mut self.attempt else { return };
        let started = attempt.stage_started;
        let caught_up = attempt.is_caught_up(quorum);
        let Stage::Draining { polled } = &mut attempt.stage else { return };
        if caught_up {
            attempt.enter(Stage::Claiming, now);
            actions.push(PromotionAction::Claim { term: attempt.term });
        } else if now.since(started) >= DRAIN_TIMEOUT {
            self.abandon(AbandonReason::NotCaughtUp, now, actions);
        } else if polled.is_none_or(|polled| now.since(polled) >= DRAIN_POLL_INTERVAL) {
            *polled = Some(now);
            let members = quorum.members().iter().cloned();
            actions.extend(members.map(|member| PromotionAction::Poll { member }));
        }
    }

    /// Continues without the store when it does not answer in time.
    fn leave_claim(&mut self, now: Instant) {
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
            if attempt.lost_to_another(quorum) {
                self.pending.note_lost(term, now);
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
        let Some(member) = attempt.choose(quorum) else { return };
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

    /// Repeats the request to the chosen member. Another member is never asked in the same term.
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

    /// Leaves the term to another claimant.
    fn lose(&mut self, term: Term, now: Instant, actions: &mut Vec<PromotionAction>) {
        self.pending.note_lost(term, now);
        self.abandon(AbandonReason::Superseded, now, actions);
    }

    fn complete(&mut self, now: Instant, actions: &mut Vec<PromotionAction>) {
        let Some(attempt) = self.attempt.take() else { return };
        let Stage::Promoting { member, term_members, .. } = attempt.stage else { return };
        self.timeline = Some(Timeline { promoted: now, ..attempt.timeline });
        self.completed = Some(now);
        self.publisher.start(attempt.term, member.clone(), term_members, now);
        actions.push(PromotionAction::Poll { member });
    }
}
