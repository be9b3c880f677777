//! Rule for a promotion: which members have to answer, from when on, and which member may become the primary.
//!
//! A primary acknowledges a commit once one replica has received it. A member may be promoted without losing such a
//! commit only if its log includes what every other member may have acknowledged. The rule has four parts:
//!
//! - Every listed member except the primary that is replaced has to hold the new term, and therefore receives nothing
//!   more. The primary of an earlier term is no exception: it may have become a replica meanwhile.
//! - Only answers to requests that were sent since the attempt was granted its claim count. An earlier attempt may have
//!   released the hold that an earlier answer reports. A member also has to go on answering: a restart ends its hold.
//! - A replaced primary that still answers is demoted. Holds alone do not stop it: a member that was gone and returns
//!   holds nothing, and receives commits before this instance lists it again. Once the primary is demoted, no member
//!   acknowledges anything until one is promoted, and the holds are confirmed once more.
//! - The promoted member has the longest log of those that answered, and that log reaches the end of the log with which
//!   the member of the latest recorded promotion began. It has the commits of all earlier terms, and the replaced primary
//!   may be the only other member that has them. Replicas that have left count up to when they were gone; if one may be
//!   back, the log has to reach the end of that of the replaced primary, as far as this is known. If no log does, the
//!   demoted primary itself is promoted again.
//!
//! A list of members lacks those that have crashed, and an instance that has just started does not know who was listed before.
//! Each acknowledged commit is in the logs of the primary and of one replica. So all logs that the group is known to have,
//! listed or not, have to be shown by the answers, except one. More may be missing only if the log of the replaced primary is
//! known to have been replicated since they were, or if an operator has declared them lost. A member that has joined lately may be
//! neither listed nor recorded, so the promoted member also has the commits whose acknowledgements the instance has passed on, and
//! those of which other instances have told it.
//!
//! A primary that answers nobody cannot be demoted. It is demoted as soon as it answers, also while the promotion takes
//! effect, and instances that know of the failover pass on no acknowledgement of its term
//! ([`GroupView::refuses`]).
//!
//! The store may have lost the record of the promotion into the replaced term. The primary of that term may then be the only
//! member that has commits of earlier terms. So the promoted member has to have an entry of the replaced term, or to have led
//! it, or every member of the group has to have answered as a replica, and the promoted one has the longest log of all.

use std::time::Duration;

use super::{GroupView, MAX_UNKNOWN_LOGS, PromotionRecord, Role};
use crate::{
    clock::Instant,
    name::{LogId, MemberId},
    position::{Position, Term},
};

/// Time without an answer after which a member may have been restarted, so that its hold no longer counts.
const HOLD_EVIDENCE_TIME: Duration = Duration::from_millis(500);
/// Members that a group has at least when the record that names their number may be lost.
const USUAL_MEMBERS: usize = 3;

/// Rule for one attempt to replace a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionRule {
    /// Term of the primary that is replaced.
    pub replaced: Term,
    /// Term that the other members have to hold.
    pub target: Term,
    /// When the attempt was granted its claim. Answers to requests that were sent before do not count.
    pub since: Instant,
    /// Latest promotion in the group; `None` when none is recorded.
    pub latest: Option<PromotionRecord>,
    /// Whether the store has lost data, so that a later promotion than `latest` may have been recorded.
    pub may_lack_records: bool,
    /// What the attempt has done to stop the replaced primary.
    pub stop: Stop,
}

/// What an attempt has done to stop the primary that it replaces.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Stop {
    /// Nothing that took effect.
    #[default]
    Pending,
    /// This member answered as a replica after it was demoted.
    Done(MemberId),
    /// No command reached the primary, although it does not count as unresponsive.
    Failed,
}

/// What a member has to do before any member is promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// Hold this term.
    Hold(Term),
    /// Become a replica, because this term has another primary. After that it has to hold the new term.
    Demote(Term),
}

/// Result of applying a [`PromotionRule`] to what an instance knows about the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// These members have not met their demands yet.
    Waiting(Vec<(MemberId, Demand)>),
    /// All members have answered, and none that may be promoted has all acknowledged commits.
    NoCandidate,
    /// These logs are not listed, and commits may be in them alone, whatever the listed members answer.
    LacksLogs(Vec<LogId>),
    /// All members have answered, and one may be promoted once this primary, which still answers, has been demoted.
    Running(MemberId),
    /// All members have answered, and this one may be promoted.
    Candidate {
        /// Member with the longest log.
        member: MemberId,
        /// End of its log, which no longer changes.
        position: Position,
    },
}

impl PromotionRule {
    /// Applies the rule. `leaving` lists the members that may not be promoted.
    pub fn verdict(&self, view: &GroupView, leaving: &[MemberId], now: Instant) -> Verdict {
        if self.lacks_logs(view, now) {
            return Verdict::LacksLogs(view.absent_logs().into_iter().collect());
        }
        let mut demands = Vec::new();
        let mut logs = Vec::new();
        for member in self.required(view) {
            match self.held_log(view, member, now) {
                Ok(position) => logs.push((member, position)),
                Err(demand) => demands.push((member.clone(), demand)),
            }
        }
        if logs.is_empty() || !demands.is_empty() {
            return Verdict::Waiting(demands);
        }
        let longest = logs.iter().map(|(_, position)| *position).max();
        let candidate = logs.iter().find(|(member, position)| {
            Some(*position) == longest
                && *position >= self.first_position()
                && self.has_passed_on(view, *position)
                && !leaving.contains(member)
                && self.covers_unlisted(view, *position)
        });
        let candidate = candidate.map(|(member, position)| (*member, *position));
        let running = self.running_primary(view, now);
        // Once it is demoted, it may be promoted again whatever the others lack.
        if let (Stop::Pending, Some(primary), Some(_)) = (&self.stop, running, candidate) {
            return Verdict::Running(primary.clone());
        }
        let candidate = candidate.filter(|log| self.has_earlier_commits(view, *log, now));
        let chosen = match (&self.stop, running) {
            (Stop::Done(stopped), None) => {
                candidate.or_else(|| self.stopped_log(view, stopped, now))
            }
            (Stop::Failed, Some(_)) if self.may_lack_members(view) => None,
            _ => candidate,
        };
        chosen.map_or(Verdict::NoCandidate, |(member, position)| Verdict::Candidate {
            member: member.clone(),
            position,
        })
    }

    /// The replaced primary, if it still answers as primary.
    pub fn running_primary<'a>(&self, view: &'a GroupView, now: Instant) -> Option<&'a MemberId> {
        let is_running = |member: &&MemberId| {
            view.status(member).is_some_and(|status| status.role == Role::Primary)
                && view.unanswered_for(member, now) < HOLD_EVIDENCE_TIME
        };
        self.replaced_primary(view).filter(is_running)
    }

    /// Whether the primary of the term that would be replaced leads it: it answers as primary, and no promotion into the next
    /// term has taken effect. None is on its way any more when an attempt is granted its claim.
    pub(super) fn is_in_force(&self, view: &GroupView, now: Instant) -> bool {
        let has_answered = |member: &MemberId| {
            let answer = view.answer(member).filter(|(_, sent)| *sent >= self.since);
            answer.is_some_and(|(status, _)| status.term <= self.replaced)
        };
        let next = self.latest.as_ref().filter(|latest| latest.replaced == self.replaced);
        let is_shown = if self.may_lack_record() {
            !self.may_lack_members(view) && view.members().all(has_answered)
        } else {
            next.is_none_or(|latest| has_answered(&latest.member))
        };
        is_shown && self.running_primary(view, now).is_some_and(has_answered)
    }

    /// Records whether the demoted primary has answered as a replica. Only holds that are confirmed after that count.
    pub(super) fn observe_stop(&mut self, view: &GroupView, demoted: &MemberId) {
        let answer = view.answer(demoted).filter(|(_, sent)| *sent >= self.since);
        match answer.map(|(status, sent)| (status.role, sent)) {
            Some((Role::Replica, sent)) if self.stop == Stop::Pending => {
                self.stop = Stop::Done(demoted.clone());
                self.since = sent;
            }
            // It was restarted.
            Some((Role::Primary, _)) if self.stop != Stop::Failed => self.stop = Stop::Pending,
            _ => {}
        }
    }

    /// Whether commits may be in logs alone that the answers of the listed members cannot show.
    fn lacks_logs(&self, view: &GroupView, now: Instant) -> bool {
        self.stop == Stop::Pending
            && self.running_primary(view, now).is_none()
            && self.former_primary_log(view).is_none()
            && self.unknown_logs(view) > MAX_UNKNOWN_LOGS
            && !view.can_cover_departures(self.lacks_listed(view))
    }

    /// Number of logs that the answers of the members which have to hold do not show.
    fn unknown_logs(&self, view: &GroupView) -> usize {
        let primary = self.replaced_primary(view).map(|primary| Stop::Done(primary.clone()));
        let is_primary_unknown = primary.is_some_and(|stopped| self.stop != stopped);
        let present = view.members().count() + view.given_up_logs();
        let uncounted = self.recorded_members().saturating_sub(present);
        let absent = view.absent_logs().len().max(uncounted);
        absent + view.lost_logs() + usize::from(is_primary_unknown)
    }

    /// Whether the group is known to have logs whose members are not listed.
    fn lacks_listed(&self, view: &GroupView) -> bool {
        view.lacks_count(self.recorded_members()) || !view.absent_logs().is_empty()
    }

    /// Whether the group may have members that are not listed, because they have left or are returning.
    fn may_lack_members(&self, view: &GroupView) -> bool {
        view.may_lack_members(self.recorded_members())
    }

    fn recorded_members(&self) -> usize {
        let least = if self.may_lack_record() { USUAL_MEMBERS } else { 0 };
        self.latest.as_ref().map_or(least, |latest| latest.members.max(least))
    }

    /// Whether the record of the promotion into the replaced term may be lost. A record of a later promotion includes what it
    /// says.
    fn may_lack_record(&self) -> bool {
        let known = self.latest.as_ref().map(|latest| latest.replaced.next());
        self.may_lack_records && known.is_none_or(|term| term < self.replaced)
    }

    /// Whether a member with a log up to `position` has every commit of the terms before the replaced one, also if the
    /// record that shows it may be lost.
    fn has_earlier_commits(
        &self,
        view: &GroupView,
        (member, position): (&MemberId, Position),
        now: Instant,
    ) -> bool {
        !self.may_lack_record()
            || position.term >= self.replaced
            || view.has_led(member, self.replaced)
            || self.is_longest_of_all(view, position, now)
    }

    /// Whether every member of the group has answered as a replica, and none has a longer log than up to `position`.
    fn is_longest_of_all(&self, view: &GroupView, position: Position, now: Instant) -> bool {
        let has_no_more = |member: &MemberId| {
            let answers = view.unanswered_for(member, now) < HOLD_EVIDENCE_TIME;
            let answer = view.answer(member).filter(|(_, sent)| answers && *sent >= self.since);
            answer.is_some_and(|(status, _)| {
                status.role == Role::Replica && status.received <= position
            })
        };
        !self.may_lack_members(view) && view.members().all(has_no_more)
    }

    /// Whether a log up to `position` has the commits whose acknowledgements this instance has passed on. They may be in the log
    /// of a member that has joined without being listed yet. A member that was declared lost may have had them alone.
    fn has_passed_on(&self, view: &GroupView, position: Position) -> bool {
        let acknowledged = view.acknowledged(self.replaced);
        view.given_up_logs() > 0 || acknowledged.is_none_or(|acknowledged| position >= acknowledged)
    }

    /// Whether a log up to `position` has every acknowledged commit that only members which are not listed had besides the
    /// replaced primary.
    fn covers_unlisted(&self, view: &GroupView, position: Position) -> bool {
        if let Some(end) = self.former_primary_log(view) {
            return position >= end;
        }
        if !matches!(self.stop, Stop::Done(_)) && self.unknown_logs(view) <= MAX_UNKNOWN_LOGS {
            return true;
        }
        let primary = match &self.stop {
            Stop::Done(stopped) => Some(stopped),
            Stop::Pending | Stop::Failed => self.replaced_primary(view),
        };
        let end = primary.and_then(|primary| view.status(primary)).map(|status| status.received);
        let is_covered = self.unknown_logs(view) <= MAX_UNKNOWN_LOGS
            || view.covers_departures(position, self.lacks_listed(view));
        is_covered && (!self.may_lack_members(view) || end.is_none_or(|end| position >= end))
    }

    /// End of the log of a former primary of the replaced term, which has every acknowledged commit. It no longer changes,
    /// because the member has become a replica; `None` when no such member is known.
    fn former_primary_log(&self, view: &GroupView) -> Option<Position> {
        let former = view.members().filter(|member| view.has_led(member, self.replaced));
        let mut ended = former.filter_map(|member| view.status(member));
        ended.find(|status| status.role == Role::Replica).map(|status| status.received)
    }

    /// The demoted primary with the end of its log, which has every acknowledged commit.
    fn stopped_log<'a>(
        &self,
        view: &GroupView,
        stopped: &'a MemberId,
        now: Instant,
    ) -> Option<(&'a MemberId, Position)> {
        let answers = view.unanswered_for(stopped, now) < HOLD_EVIDENCE_TIME;
        let received = view.status(stopped).filter(|_| answers)?.received;
        let may_lead = received >= self.first_position()
            && self.has_earlier_commits(view, (stopped, received), now);
        may_lead.then_some((stopped, received))
    }

    /// Members that have to hold the target term: all but the primary that is replaced.
    pub fn required<'a>(&self, view: &'a GroupView) -> impl Iterator<Item = &'a MemberId> {
        let replaced = self.replaced_primary(view);
        view.members().filter(move |member| {
            Some(*member) != replaced && self.stop != Stop::Done((*member).clone())
        })
    }

    /// End of the log of a member that holds the target term, or the demand that it has not met.
    fn held_log(
        &self,
        view: &GroupView,
        member: &MemberId,
        now: Instant,
    ) -> Result<Position, Demand> {
        let answers = view.unanswered_for(member, now) < HOLD_EVIDENCE_TIME;
        match view.answer(member) {
            Some((status, _)) if status.role == Role::Primary && status.term < self.replaced => {
                Err(Demand::Demote(self.replaced))
            }
            Some((status, sent)) if status.held >= self.target && sent >= self.since && answers => {
                Ok(status.received)
            }
            _ => Err(Demand::Hold(self.target)),
        }
    }

    /// Position that the next primary's log has to reach: the end of the log of the member that was promoted last, which
    /// had every commit of the terms before.
    fn first_position(&self) -> Position {
        self.latest.as_ref().map(|latest| latest.position).unwrap_or_default()
    }

    /// The primary of the replaced term; `None` when it is not known.
    fn replaced_primary<'a>(&self, view: &'a GroupView) -> Option<&'a MemberId> {
        let is_primary = |member: &MemberId| {
            view.status(member).is_some_and(|status| status.role == Role::Primary)
        };
        let of_term = |member: &MemberId| {
            view.status(member).is_some_and(|status| status.term == self.replaced)
        };
        let answered = view.members().find(|member| is_primary(member) && of_term(member));
        if answered.is_some() {
            return answered;
        }
        match &self.latest {
            Some(latest) if latest.replaced.next() == self.replaced => {
                // As a replica of that term, the member was restarted and then replaced.
                view.members().find(|member| **member == latest.member && !of_term(member))
            }
            // The promotion of another member may have taken effect meanwhile.
            Some(_) => None,
            None if self.may_lack_records || view.members().any(is_primary) => None,
            None => {
                // A published role names no term, but there has been no other primary.
                let mut published =
                    view.members().filter(|member| view.is_published_primary(member));
                let only = published.next();
                only.filter(|member| published.next().is_none() && view.status(member).is_none())
            }
        }
    }
}
