//! Propagation of a completed promotion: the commands to follow the new primary, and the update of the store.

use std::collections::BTreeMap;

use super::{
    PENDING_CLAIM_GRACE, Promotion, PromotionAction, Publication, REPEAT_INTERVAL, RESEND_INTERVAL,
    StoreAnswer, TermRecord,
};
use crate::{
    clock::Instant,
    name::MemberId,
    position::Term,
    quorum::{MemberReport, MemberRole, QuorumView},
};

/// Members that do not follow the primary yet, and the time of the next command to each of them.
#[derive(Debug, Clone, Default)]
pub(super) struct Followers {
    next_command: BTreeMap<MemberId, Instant>,
}

impl Followers {
    /// Whether a command to follow is due for `member`. An instance other than the claimant first waits for one
    /// interval, in which the claimant sends its command.
    fn is_command_due(&mut self, member: &MemberId, is_claimant: bool, now: Instant) -> bool {
        let first = if is_claimant { now } else { now.plus(REPEAT_INTERVAL) };
        let next_command = *self.next_command.entry(member.clone()).or_insert(first);
        if now < next_command {
            return false;
        }
        self.next_command.insert(member.clone(), now.plus(REPEAT_INTERVAL));
        true
    }
}

/// The update of the store after a promotion.
#[derive(Debug, Clone, Default)]
pub(super) struct Publisher {
    /// Update that the store has not confirmed yet.
    publishing: Option<Publishing>,
    /// Term that another instance promoted and whose primary the store lacks.
    unpublished: Option<Unpublished>,
}

#[derive(Debug, Clone)]
struct Publishing {
    term: Term,
    primary: MemberId,
    term_members: Vec<MemberId>,
    started: Instant,
    sent: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Unpublished {
    term: Term,
    since: Instant,
}

impl Publisher {
    pub(super) fn start(
        &mut self,
        term: Term,
        primary: MemberId,
        term_members: Vec<MemberId>,
        now: Instant,
    ) {
        self.publishing =
            Some(Publishing { term, primary, term_members, started: now, sent: None });
    }

    /// Returns the update when it is due. The first one waits up to [`RESEND_INTERVAL`] for a report of the new
    /// primary, which has the start of the term.
    fn due_publication(&mut self, quorum: &QuorumView, now: Instant) -> Option<Publication> {
        let publishing = self.publishing.as_mut()?;
        if publishing.sent.is_some_and(|sent| now.since(sent) < REPEAT_INTERVAL) {
            return None;
        }
        let report = quorum
            .report(&publishing.primary)
            .filter(|report| report.promoted_term == publishing.term);
        if report.is_none() && now.since(publishing.started) < RESEND_INTERVAL {
            return None;
        }
        publishing.sent = Some(now);
        Some(Publication {
            term: publishing.term,
            primary: publishing.primary.clone(),
            term_start: report.map(|report| report.term_start),
            term_members: publishing.term_members.clone(),
        })
    }

    /// Whether the store has lacked the primary of `term` for so long that its claimant must have failed.
    fn is_overdue(&mut self, record: Option<&TermRecord>, term: Term, now: Instant) -> bool {
        let published = record.is_none_or(|record| {
            record.term > term || (record.term == term && record.primary.is_some())
        });
        if published {
            self.unpublished = None;
            return false;
        }
        match self.unpublished {
            Some(last) if last.term == term => now.since(last.since) >= PENDING_CLAIM_GRACE,
            _ => {
                self.unpublished = Some(Unpublished { term, since: now });
                false
            }
        }
    }
}

impl Promotion {
    pub(super) fn publish_answered(&mut self, term: Term, answer: StoreAnswer, now: Instant) {
        if self.publisher.publishing.as_ref().is_none_or(|publishing| publishing.term != term) {
            return;
        }
        match answer {
            StoreAnswer::Stored => self.finish_publication(term, now),
            StoreAnswer::Conflict(record) => {
                let done = record.term > term || (record.term == term && record.primary.is_some());
                if done {
                    self.finish_publication(term, now);
                }
                self.set_record(record, now);
            }
            StoreAnswer::Unknown | StoreAnswer::Unavailable => {}
        }
    }

    pub(super) fn propagate(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        self.publish_for_another(quorum, now);
        actions.extend(self.publisher.due_publication(quorum, now).map(PromotionAction::Publish));
        self.send_follow_commands(quorum, now, actions);
    }

    fn finish_publication(&mut self, term: Term, now: Instant) {
        let published = self.publisher.publishing.take();
        let primary = published.map(|published| published.primary);
        if self.record.as_ref().is_none_or(|record| record.term <= term) {
            let claimant = Some(self.settings.instance.clone());
            self.record = Some(TermRecord { term, claimant, primary });
        }
        if let Some(timeline) = &mut self.timeline {
            timeline.published = timeline.published.or(Some(now));
        }
    }

    /// Publishes a primary whose claimant failed before it published the primary itself.
    fn publish_for_another(&mut self, quorum: &QuorumView, now: Instant) {
        let (Some(primary), Some(term)) = (quorum.primary(now), quorum.current_term(now)) else {
            return;
        };
        if self.publisher.publishing.is_none()
            && self.publisher.is_overdue(self.record.as_ref(), term, now)
        {
            let report = quorum.report(&primary);
            let term_members = report.map(|report| report.term_members.clone());
            self.publisher.start(term, primary, term_members.unwrap_or_default(), now);
        }
    }

    /// Sends commands to follow the current primary to members that do not replicate its term.
    fn send_follow_commands(
        &mut self,
        quorum: &QuorumView,
        now: Instant,
        actions: &mut Vec<PromotionAction>,
    ) {
        let (Some(primary), Some(term)) = (quorum.primary(now), quorum.current_term(now)) else {
            return;
        };
        let is_claimant = self.last_attempt_term == term;
        for report in quorum.reports().filter(|report| report.member != primary) {
            if !needs_to_follow(report, term) {
                self.followers.next_command.remove(&report.member);
            } else if self.followers.is_command_due(&report.member, is_claimant, now) {
                let (member, primary) = (report.member.clone(), primary.clone());
                actions.push(PromotionAction::Follow { member, primary, term });
            }
        }
    }
}

/// Whether the member needs a command to follow the primary of `term`. A member with a higher term would reject it.
fn needs_to_follow(report: &MemberReport, term: Term) -> bool {
    let behind = report.term < term || report.log_term() < term;
    report.term <= term && (behind || report.role != MemberRole::Replica)
}
