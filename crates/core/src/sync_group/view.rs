//! View of a group at one instance, from polls, requests and other instances: members, leader and leadership proofs.

mod logs;
mod proofs;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use self::{logs::KnownLogs, proofs::Uncertainty};
use super::{
    BARRIER_TTL, CONFIRMATION_AGE, FENCE_TTL, Leader, LeaderInfo, LeaderPosition, ListedMember,
    MemberStatus, PROOF_WINDOW, Role, SUSPICION_TIMEOUT,
    acknowledged::AcknowledgedCommits,
    departures::Departures,
    member::{Member, REPORT_TTL},
};
use crate::{
    clock::Instant,
    name::MemberId,
    position::{Position, Term},
};

/// Number of positions of the leader that are kept.
const MAX_POSITIONS: usize = 64;
/// Minimum time between two kept positions; 64 cover 3 s, which is longer than the largest age that a read allows.
const POSITION_SPACING: Duration = Duration::from_millis(50);

/// View of one group at one instance: status of the members, leader, its positions and leadership proofs.
#[derive(Debug, Clone)]
pub struct GroupView {
    members: BTreeMap<MemberId, Member>,
    leader_term: Term,
    positions: VecDeque<LeaderPosition>,
    /// Sending time of the newest recorded leadership proof. Proofs by polls are derived from the poll answers, and
    /// recorded here only when an uncertainty begins.
    proof_sent: Option<Instant>,
    /// Time at which all replicas were last known to hold a higher term than the leader's; proofs whose requests were
    /// sent up to then do not count.
    proofs_discarded_at: Option<Instant>,
    uncertainty: Option<Uncertainty>,
    /// Term that replicas are being commanded to hold, and the time at which this information expires.
    fence: Option<(Term, Instant)>,
    /// Term that all replicas hold, as far as they are listed, and the time at which this information expires. What
    /// primaries of lower terms acknowledge may be lost.
    barrier: Option<(Term, Instant)>,
    /// Replicas that left the group, or lost their logs, during the leader's term.
    departures: Departures,
    /// Replicas that may have left the group during that term before its members were first known.
    earlier_departures: Departures,
    /// Logs whose members need not be listed.
    known_logs: KnownLogs,
    /// Commits whose acknowledgements this instance and others have passed on.
    acknowledged: AcknowledgedCommits,
    /// Whether the members have been known.
    is_listed: bool,
}

impl Default for GroupView {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            leader_term: Term::default(),
            positions: VecDeque::new(),
            proof_sent: None,
            proofs_discarded_at: None,
            uncertainty: Some(Uncertainty { term: None, hold_observed: None }),
            fence: None,
            barrier: None,
            departures: Departures::default(),
            earlier_departures: Departures::default(),
            known_logs: KnownLogs::default(),
            acknowledged: AcknowledgedCommits::default(),
            is_listed: false,
        }
    }
}

impl GroupView {
    /// Sets the members of the group, and drops the state of all others, which have been gone since `gone_since`.
    pub fn set_members<I>(&mut self, members: I, gone_since: Instant)
    where
        I: IntoIterator,
        I::Item: Into<ListedMember>,
    {
        let mut previous = std::mem::take(&mut self.members);
        self.members = members
            .into_iter()
            .map(|listed| {
                let ListedMember { member, log, published } = listed.into();
                let state = previous.remove(&member).unwrap_or_default();
                (member, Member { log: Some(log), published, ..state })
            })
            .collect();
        if !std::mem::replace(&mut self.is_listed, !self.members.is_empty()) {
            self.earlier_departures.record(gone_since, &self.positions);
        }
        let leader_term = self.leader_term();
        for state in previous.into_values() {
            let is_primary = state.is_primary_of(leader_term);
            let Some(log) = state.log else { continue };
            self.known_logs.unlisted.insert(log.clone());
            if !is_primary {
                let received = state.latest.map(|(status, _)| status.received);
                self.departures.record_absent(log, received, gone_since, &self.positions);
            }
        }
        for state in self.members.values() {
            let Some(log) = &state.log else { continue };
            self.known_logs.unlisted.remove(log);
            // The member may have been listed under its present id before the former one was dropped.
            if let Some((status, _)) = state.latest {
                self.departures.returned(log, status.received);
            }
        }
    }

    /// Drops the answers of a member that was restarted. `now` is when the restart became known.
    pub fn reset_member(&mut self, member: &MemberId, now: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        let before_restart = state.latest.map(|(status, _)| (status.received, now));
        *state = Member {
            log: state.log.take(),
            published: state.published,
            before_restart: before_restart.or(state.before_restart),
            ..Member::default()
        };
    }

    /// Records the answer to a poll that was sent at `sent`.
    pub fn observe(&mut self, member: &MemberId, status: MemberStatus, sent: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.record_answer(sent);
        if state.latest.is_some_and(|(_, latest)| latest > sent) || state.is_outdated(&status, sent)
        {
            return;
        }
        state.latest = Some((status, sent));
        if status.role == Role::Primary {
            state.led = state.led.max(Some((status.term, sent)));
        }
        let lost_log =
            state.before_restart.take().filter(|(received, _)| status.received < *received);
        if let Some((_, until)) = lost_log {
            self.departures.record_lost_log(until, &self.positions);
        }
        if let Some(log) = &state.log {
            self.departures.returned(log, status.received);
        }
        if status.role == Role::Primary {
            self.record_leader_position(
                status.term,
                LeaderPosition { sent, position: status.received },
            );
        }
        self.mark_uncertain(status.held, sent);
        self.resolve_uncertainty();
    }

    /// Records that `member` acknowledged a commit that was sent at `sent`, with the position of the commit.
    ///
    /// A replica received the commit, so not all replicas held a higher term when it was sent.
    pub fn commit_acknowledged(&mut self, member: &MemberId, position: Position, sent: Instant) {
        self.record_leader(member, position.term, Some(sent), LeaderPosition { sent, position });
        self.record_proof(position.term, sent);
        self.end_uncertainty(position.term, sent);
    }

    /// Records that the acknowledgement of a commit which was sent at `sent`, with its position, arrived at `now` and is passed
    /// on.
    pub fn commit_passed_on(&mut self, position: Position, sent: Instant, now: Instant) {
        self.acknowledged.record(position, sent, now);
    }

    /// Records a position up to which commits were acknowledged at another instance, which has passed them on.
    pub fn learn_acknowledged(&mut self, position: Position) {
        self.acknowledged.learn(position);
    }

    /// Position up to which commits of the latest term were acknowledged, at least, for other instances.
    pub const fn acknowledged_position(&self) -> Option<Position> {
        self.acknowledged.latest()
    }

    /// When this instance has last passed on the acknowledgement of a commit; `None` before the first.
    pub const fn passed_on_at(&self) -> Option<Instant> {
        self.acknowledged.recorded_at()
    }

    /// Position up to which commits of `term` were acknowledged at this instance or those that told it, at least.
    pub(super) fn acknowledged(&self, term: Term) -> Option<Position> {
        self.acknowledged.reached(term)
    }

    /// Records that `member` answered a request that was sent at `sent`. The position in the answer is used only when
    /// the member is the leader.
    pub fn answered(&mut self, member: &MemberId, position: Option<Position>, sent: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.record_answer(sent);
        let is_leader = state.latest.is_some_and(|(status, _)| {
            status.role == Role::Primary && status.term == self.leader_term
        });
        if let Some(position) = position.filter(|_| is_leader) {
            self.record_leader_position(self.leader_term, LeaderPosition { sent, position });
        }
    }

    /// Records that `member` refused a request that was sent at `sent`, because it is not the primary.
    pub fn refused_as_replica(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.record_answer(sent);
            state.refused = state.refused.max(Some(sent));
        }
    }

    /// Records the leader that another instance sent. The times in `info` have to be on the clock of this instance, and
    /// not later than the true ones.
    pub fn merge_leader_info(&mut self, info: &LeaderInfo) {
        if info.term < self.leader_term {
            return;
        }
        if let Some(position) = info.position {
            self.record_leader(&info.member, info.term, info.proof_sent, position);
        }
        if let Some(proof_sent) = info.proof_sent {
            self.record_proof(info.term, proof_sent);
            self.end_uncertainty(info.term, proof_sent);
        }
    }

    /// Information on the leader for other instances; `None` when no leader is known.
    pub fn leader_info(&self, now: Instant) -> Option<LeaderInfo> {
        let leader = self.leader(now)?;
        Some(LeaderInfo {
            proof_sent: self.latest_proof(&leader),
            member: leader.member,
            term: leader.term,
            position: self.positions.back().copied(),
        })
    }

    /// Records that the replicas are being commanded to hold `term`, which blocks writes to the leader for
    /// [`FENCE_TTL`].
    pub fn fence(&mut self, term: Term, now: Instant) {
        self.mark_uncertain(term, now);
        self.fence = Some((term, now.plus(FENCE_TTL)));
    }

    /// Term of the latest [`fence`](Self::fence); `None` when it was recorded longer than [`FENCE_TTL`] ago.
    pub fn fenced_term(&self, now: Instant) -> Option<Term> {
        self.fence.filter(|(_, until)| now < *until).map(|(term, _)| term)
    }

    /// Records that all listed replicas hold `term`. Leadership proofs for lower terms are discarded, and for
    /// [`BARRIER_TTL`] what their primaries acknowledge counts for nothing.
    ///
    /// A member that is not listed may hold nothing, so an acknowledged commit does not show that the term has not been
    /// replaced.
    pub fn replicas_hold(&mut self, term: Term, now: Instant) {
        let is_new = self.barrier.is_none_or(|(known, until)| known < term || now >= until);
        if is_new && term > self.leader_term() {
            self.proofs_discarded_at = Some(now);
            self.proof_sent = None;
        }
        let term = self.barrier.map_or(term, |(known, _)| known.max(term));
        self.barrier = Some((term, now.plus(BARRIER_TTL)));
    }

    /// Records that the failover for which the replicas held `term` was given up.
    pub fn failover_abandoned(&mut self, term: Term) {
        self.barrier = self.barrier.filter(|(known, _)| *known > term);
    }

    /// Term of the latest [`replicas_hold`](Self::replicas_hold), while it is recent enough for other instances to count on
    /// its effect; `None` otherwise.
    pub fn confirmed_term(&self, now: Instant) -> Option<Term> {
        let recent =
            |until: Instant| until.since(now) >= BARRIER_TTL.saturating_sub(CONFIRMATION_AGE);
        self.barrier.filter(|(_, until)| recent(*until)).map(|(term, _)| term)
    }

    /// Whether a commit of `term` that is acknowledged now may be missing in the log of the next primary, so that its
    /// caller must not be told that it succeeded.
    pub fn refuses(&self, term: Term, now: Instant) -> bool {
        term < self.leader_term() || self.is_behind_barrier(term, now)
    }

    fn is_behind_barrier(&self, term: Term, at: Instant) -> bool {
        self.barrier.is_some_and(|(barrier, until)| term < barrier && at < until)
    }

    /// Records that `member` was polled at `sent`.
    pub fn poll_sent(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.unanswered_since.get_or_insert(sent);
        }
    }

    /// Records that the poll sent at `sent` gave no information on the member, so that it does not count as unanswered.
    pub fn poll_cancelled(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.unanswered_since = state.unanswered_since.filter(|since| *since != sent);
        }
    }

    /// Whether the member is known to have led `term`.
    pub(super) fn has_led(&self, member: &MemberId, term: Term) -> bool {
        let led = self.members.get(member).and_then(|state| state.led);
        led.is_some_and(|(led, _)| led == term)
    }

    /// Whether the member belongs to the group.
    pub(super) fn contains(&self, member: &MemberId) -> bool {
        self.members.contains_key(member)
    }

    /// Members of the group, in the order of their identifiers.
    pub fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.members.keys()
    }

    /// Latest known status of a member; `None` before the first one, or when the member does not belong to the group.
    pub fn status(&self, member: &MemberId) -> Option<&MemberStatus> {
        self.members.get(member)?.latest.as_ref().map(|(status, _)| status)
    }

    /// Latest known status of a member, and when the answered poll was sent; the origin of the clock for a status that
    /// is not from a poll.
    pub(super) fn answer(&self, member: &MemberId) -> Option<(&MemberStatus, Instant)> {
        self.members.get(member)?.latest.as_ref().map(|(status, sent)| (status, *sent))
    }

    /// Time since the first poll that `member` has not answered; zero when no poll is unanswered.
    pub fn unanswered_for(&self, member: &MemberId, now: Instant) -> Duration {
        let since = self.members.get(member).and_then(|state| state.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Latest sending time of a request or poll that `member` has answered; `None` before the first.
    pub fn answered_at(&self, member: &MemberId) -> Option<Instant> {
        self.members.get(member)?.answered
    }

    /// Records that another instance, which polls `member`, gets no answers from it.
    pub fn report_unresponsive(&mut self, member: &MemberId, now: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.reported_until = Some(now.plus(REPORT_TTL));
        }
    }

    /// Whether `member` has not answered a poll for `timeout`, here or at another instance that reported so.
    pub fn is_unresponsive(&self, member: &MemberId, timeout: Duration, now: Instant) -> bool {
        let reported = self.members.get(member).and_then(|state| state.reported_until);
        reported.is_some_and(|until| now < until) || self.unanswered_for(member, now) >= timeout
    }

    /// The highest known term that had a primary.
    pub fn leader_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.term);
        terms.max().unwrap_or_default().max(self.leader_term)
    }

    /// The highest term that any member reported, with or without a primary.
    pub fn highest_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.highest_term());
        terms.max().unwrap_or_default().max(self.leader_term)
    }

    /// Whether `member` has published that it is the primary.
    pub(super) fn is_published_primary(&self, member: &MemberId) -> bool {
        self.members.get(member).is_some_and(|state| state.published == Some(Role::Primary))
    }

    /// The primary of the highest known term that had a primary; `None` until it is known.
    pub fn leader(&self, now: Instant) -> Option<Leader> {
        let leads = |member: &MemberId, status: &MemberStatus| {
            status.role == Role::Primary
                && self.members.get(member).is_some_and(|state| !state.has_refused())
        };
        let (member, status, _) = self
            .answers()
            .filter(|(member, status, _)| leads(member, status))
            .max_by_key(|(_, status, _)| status.term)?;
        let fenced = self.fence.is_some_and(|(term, until)| term > status.term && now < until)
            || self.is_behind_barrier(status.term, now)
            || self.awaits_first_answers(now);
        (status.term >= self.leader_term()).then(|| Leader {
            member: member.clone(),
            term: status.term,
            fenced: fenced || self.is_held_above(status.term),
        })
    }

    /// Whether a member has answered that it holds a higher term than `term`.
    pub(super) fn is_held_above(&self, term: Term) -> bool {
        self.answers().any(|(_, status, _)| status.held > term)
    }

    /// Whether the process has started lately, and a member that it has polled may still report a hold.
    fn awaits_first_answers(&self, now: Instant) -> bool {
        let is_awaited = |state: &Member| {
            state.latest.is_none()
                && state.unanswered_since.is_some_and(|since| now.since(since) < SUSPICION_TIMEOUT)
        };
        let is_starting = self.uncertainty.is_some_and(|uncertainty| uncertainty.term.is_none());
        is_starting && self.members.values().any(is_awaited)
    }

    /// Records that `member` leads `term`, as a request that was sent at `led_at` shows; `None` when nothing does but the
    /// position.
    fn record_leader(
        &mut self,
        member: &MemberId,
        term: Term,
        led_at: Option<Instant>,
        position: LeaderPosition,
    ) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.record_answer(position.sent);
        if state.contradicts(term, led_at) {
            return;
        }
        state.led = state.led.max(led_at.map(|at| (term, at)));
        let is_known_primary = state
            .latest
            .is_some_and(|(status, _)| status.role == Role::Primary && status.term >= term);
        if !is_known_primary {
            // Only a poll of the member reports the other values of its status.
            let status = MemberStatus {
                role: Role::Primary,
                term,
                received: position.position,
                held: Term::default(),
                lag: Duration::ZERO,
                connections: 0,
            };
            // This is not a poll answer, so its time must not count in a leadership proof by polls.
            state.latest = Some((status, Instant::default()));
        }
        self.record_leader_position(term, position);
    }

    fn record_leader_position(&mut self, term: Term, position: LeaderPosition) {
        if term < self.leader_term {
            return;
        }
        if term > self.leader_term {
            let is_first_term = self.leader_term == Term::default();
            self.leader_term = term;
            self.uncertainty = self
                .uncertainty
                .filter(|uncertainty| uncertainty.term.is_none_or(|held| held > term));
            self.positions.clear();
            self.proof_sent = None;
            if !is_first_term {
                // The primary of a later term began with every commit that counts.
                self.departures = Departures::default();
                self.earlier_departures = Departures::default();
                self.known_logs.unlisted.clear();
            }
        }
        if self.positions.back().is_some_and(|last| last.sent >= position.sent) {
            return;
        }
        self.departures.observe(position);
        self.earlier_departures.observe(position);
        let is_too_close =
            match self.positions.len().checked_sub(2).and_then(|at| self.positions.get(at)) {
                Some(before) => self
                    .positions
                    .back()
                    .is_some_and(|last| last.sent.since(before.sent) < POSITION_SPACING),
                None => false,
            };
        if is_too_close {
            self.positions.pop_back();
        } else if self.positions.len() == MAX_POSITIONS {
            self.positions.pop_front();
        }
        self.positions.push_back(position);
    }

    fn answers(&self) -> impl Iterator<Item = (&MemberId, &MemberStatus, Instant)> {
        self.members.iter().filter_map(|(member, state)| {
            state.latest.as_ref().map(|(status, sent)| (member, status, *sent))
        })
    }
}
