//! What one instance knows about the members of a group.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{FENCE_TTL, MemberStatus, PROOF_WINDOW, Role};
use crate::{
    clock::Instant,
    name::MemberId,
    position::{Position, Term},
};

/// Positions of the primary that are kept.
const MAX_POSITIONS: usize = 64;
/// Least time between two positions that are kept; 64 cover 3 s, which is longer than the data of a read may be old.
const POSITION_SPACING: Duration = Duration::from_millis(50);

/// The primary of the highest term that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The member.
    pub member: MemberId,
    /// Its term.
    pub term: Term,
    /// Whether the leader is being replaced, so that no write may reach it.
    pub fenced: bool,
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Role that the member has published, for the time before it answers.
    published: Option<Role>,
    latest: Option<(MemberStatus, Instant)>,
    /// Sending time of the first question since the latest answer.
    unanswered_since: Option<Instant>,
}

/// The position that the primary had at or after a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderPosition {
    /// When it was asked.
    pub sent: Instant,
    /// What it answered.
    pub position: Position,
}

/// What an instance tells others about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderInfo {
    /// The leader.
    pub member: MemberId,
    /// Its term.
    pub term: Term,
    /// When the newest proof of its office was asked for.
    pub proof_sent: Option<Instant>,
    /// The newest position.
    pub position: Option<LeaderPosition>,
}

/// A replacement of the primary that may have taken place without the knowledge of this instance.
///
/// A promotion releases the replicas. Until they know the new primary, they and the old one answer as if nothing had
/// happened, so an answer of a single replica proves nothing.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    /// The highest term that the replicas were told to hold; unknown after a start.
    term: Option<Term>,
    /// When that was last seen.
    since: Option<Instant>,
}

/// Answers of the members of one group, and what follows from them.
#[derive(Debug, Clone)]
pub struct GroupView {
    members: BTreeMap<MemberId, Member>,
    leader_term: Term,
    positions: VecDeque<LeaderPosition>,
    /// When the newest proof that the leader was in office was asked for, beside those that follow from the answers.
    proof_sent: Option<Instant>,
    /// Proofs that were asked for up to this time do not count, because a fence was confirmed then.
    proofs_after: Option<Instant>,
    doubt: Option<Doubt>,
    /// Term that replicas are being told to hold, and until when that counts.
    fence: Option<(Term, Instant)>,
    /// Time up to which a replica that is gone may have received commits that no other replica has.
    lost_until: Option<Instant>,
}

impl Default for GroupView {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            leader_term: Term::default(),
            positions: VecDeque::new(),
            proof_sent: None,
            proofs_after: None,
            doubt: Some(Doubt { term: None, since: None }),
            fence: None,
            lost_until: None,
        }
    }
}

impl GroupView {
    /// Sets the members of the group with the roles that they have published; what is known about others is forgotten.
    pub fn set_members<I>(&mut self, members: I)
    where
        I: IntoIterator<Item = (MemberId, Option<Role>)>,
    {
        let mut known = std::mem::take(&mut self.members);
        self.members = members
            .into_iter()
            .map(|(member, published)| {
                let state = known.remove(&member).unwrap_or_default();
                (member, Member { published, ..state })
            })
            .collect();
        let lost = known.into_values().filter_map(|state| {
            let (status, sent) = state.latest?;
            let replica = status.role == Role::Replica;
            replica.then(|| state.unanswered_since.unwrap_or(sent))
        });
        self.lost_until = lost.chain(self.lost_until).max();
    }

    /// Forgets the answers of a member, which was started again and holds nothing of before.
    pub fn reset_member(&mut self, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            *state = Member { published: state.published, ..Member::default() };
        }
    }

    /// Records the answer to a poll that was sent at `sent`.
    pub fn observe(&mut self, member: &MemberId, status: MemberStatus, sent: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.unanswered_since = state.unanswered_since.filter(|since| *since > sent);
        if state.latest.is_some_and(|(_, latest)| latest > sent) {
            return;
        }
        state.latest = Some((status, sent));
        if status.role == Role::Primary {
            self.note_leader(status.term, LeaderPosition { sent, position: status.received });
        }
        self.doubt_below(status.held, sent);
        self.settle_doubt();
    }

    /// Records that `member` acknowledged a commit that was sent at `sent`, with its position.
    ///
    /// A replica received the commit, so not all replicas held a higher term when it was sent.
    pub fn commit_acknowledged(&mut self, member: &MemberId, position: Position, sent: Instant) {
        self.lead(member, position.term, LeaderPosition { sent, position });
        self.prove(position.term, sent);
        self.end_doubt(position.term, sent);
    }

    /// Records that the primary answered a request that was sent at `sent`, with its position.
    pub fn answered(&mut self, member: &MemberId, position: Option<Position>, sent: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.unanswered_since = state.unanswered_since.filter(|since| *since > sent);
        let leads = state.latest.is_some_and(|(status, _)| {
            status.role == Role::Primary && status.term == self.leader_term
        });
        if let Some(position) = position.filter(|_| leads) {
            self.note_leader(self.leader_term, LeaderPosition { sent, position });
        }
    }

    /// Records what another instance knows, with its times on the own clock and not later than they were.
    pub fn merge_leader_info(&mut self, news: &LeaderInfo) {
        if news.term < self.leader_term {
            return;
        }
        if let Some(position) = news.position {
            self.lead(&news.member, news.term, position);
        }
        if let Some(proof_sent) = news.proof_sent {
            self.prove(news.term, proof_sent);
            self.end_doubt(news.term, proof_sent);
        }
    }

    /// What other instances may want to know.
    pub fn leader_info(&self, now: Instant) -> Option<LeaderInfo> {
        let leader = self.leader(now)?;
        Some(LeaderInfo {
            proof_sent: self.proved_at(&leader),
            member: leader.member,
            term: leader.term,
            position: self.positions.back().copied(),
        })
    }

    /// Records that the replicas are being told to hold `term`, so that the leader gets no more writes for a while.
    pub fn fence(&mut self, term: Term, now: Instant) {
        self.doubt_below(term, now);
        self.fence = Some((term, now.plus(FENCE_TTL)));
    }

    /// Term that replicas are being told to hold, as far as another instance said so lately.
    pub fn fenced_term(&self, now: Instant) -> Option<Term> {
        self.fence.filter(|(_, until)| now < *until).map(|(term, _)| term)
    }

    /// Discards all proofs, because all replicas hold a higher term than the leader's; no new one can follow until
    /// they are released or the term has a primary.
    pub fn discard_proofs(&mut self, now: Instant) {
        self.proofs_after = Some(now);
        self.proof_sent = None;
    }

    /// Whether the primary may have been replaced without the knowledge of this instance, so that a single replica
    /// cannot prove its office.
    pub const fn is_leader_uncertain(&self) -> bool {
        self.doubt.is_some()
    }

    /// Records that a question was sent at `sent`.
    pub fn poll_sent(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.unanswered_since.get_or_insert(sent);
        }
    }

    /// Records that the question sent at `sent` said nothing about the member.
    pub fn poll_cancelled(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.unanswered_since = state.unanswered_since.filter(|since| *since != sent);
        }
    }

    /// The members.
    pub fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.members.keys()
    }

    /// The latest answer of a member.
    pub fn status(&self, member: &MemberId) -> Option<&MemberStatus> {
        self.members.get(member)?.latest.as_ref().map(|(status, _)| status)
    }

    /// Time for which `member` has left questions unanswered.
    pub fn silent_for(&self, member: &MemberId, now: Instant) -> Duration {
        let since = self.members.get(member).and_then(|state| state.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// The highest term that had a primary, as far as is known.
    pub fn leader_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.term);
        terms.max().unwrap_or_default().max(self.leader_term)
    }

    /// The highest term that any member knows of.
    pub fn highest_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.highest_term());
        terms.max().unwrap_or_default().max(self.leader_term)
    }

    /// Whether `member` took no part in acknowledging the commits of `term`, as its primary does not.
    pub(super) fn is_primary_of(&self, member: &MemberId, term: Term) -> bool {
        let Some(state) = self.members.get(member) else { return false };
        match &state.latest {
            Some((status, _)) => status.role == Role::Primary && status.term <= term,
            None => state.published == Some(Role::Primary),
        }
    }

    /// Whether the log up to `received` has every acknowledged commit that a lost replica may have received.
    ///
    /// A commit that the primary acknowledged through the lost replica alone shows in the primary's position, once
    /// the primary has answered after the loss.
    pub(super) fn covers_lost(&self, received: Position) -> bool {
        let Some(lost) = self.lost_until else { return true };
        self.positions.back().is_some_and(|last| last.sent >= lost && received >= last.position)
    }

    /// The primary of the highest known term; `None` while a newer one is known to exist without having answered.
    pub fn leader(&self, now: Instant) -> Option<Leader> {
        let (member, status, _) = self
            .answers()
            .filter(|(_, status, _)| status.role == Role::Primary)
            .max_by_key(|(_, status, _)| status.term)?;
        let fenced = self.fence.is_some_and(|(term, until)| term > status.term && now < until);
        (status.term >= self.leader_term()).then(|| Leader {
            member: member.clone(),
            term: status.term,
            fenced: fenced || self.answers().any(|(_, other, _)| other.held > status.term),
        })
    }

    /// Time up to which no other primary can have acknowledged a commit, exclusive.
    ///
    /// A read may run at the leader if it arrived before this time.
    pub fn leader_proven_until(&self, now: Instant) -> Option<Instant> {
        let leader = self.leader(now)?;
        self.proved_at(&leader).map(|sent| sent.plus(PROOF_WINDOW))
    }

    /// A position that includes every commit acknowledged before `oldest`.
    ///
    /// It is the lowest known one, so that replicas have most likely reached it.
    pub fn position_at(&self, oldest: Instant, now: Instant) -> Option<LeaderPosition> {
        if self.leader_proven_until(now).is_none_or(|until| oldest >= until) {
            return None;
        }
        self.positions.iter().find(|known| known.sent >= oldest).copied()
    }

    /// When the newest proof of the leader's office was asked for.
    fn proved_at(&self, leader: &Leader) -> Option<Instant> {
        let polled = self.polled_at(leader).filter(|sent| Some(*sent) > self.proofs_after);
        let told = self.proof_sent.filter(|_| leader.term == self.leader_term);
        polled.max(told)
    }

    /// The earlier of the leader's latest answer and the latest answer of a replica that holds no higher term.
    fn polled_at(&self, leader: &Leader) -> Option<Instant> {
        if self.doubt.is_some() {
            return None;
        }
        let (status, in_office) = self.members.get(&leader.member)?.latest.as_ref()?;
        let others = self.answers().filter(|(member, _, _)| **member != leader.member);
        let free = others.filter(|(_, status, _)| status.highest_term() <= leader.term);
        let witnessed = free.map(|(_, _, sent)| sent).max();
        let alone = self.members.len() == 1 && status.held <= leader.term;
        let witnessed = if alone { Some(*in_office) } else { witnessed };
        witnessed.map(|sent| sent.min(*in_office))
    }

    fn lead(&mut self, member: &MemberId, term: Term, position: LeaderPosition) {
        let Some(state) = self.members.get_mut(member) else { return };
        state.unanswered_since = state.unanswered_since.filter(|since| *since > position.sent);
        let known = state
            .latest
            .is_some_and(|(status, _)| status.role == Role::Primary && status.term >= term);
        if !known {
            // Its own answers since then are newer; only a poll shows them.
            let status = MemberStatus {
                role: Role::Primary,
                term,
                received: position.position,
                held: Term::default(),
                lag: Duration::ZERO,
                connections: 0,
            };
            // This is no poll, so it must not count as one when office is to be proved.
            state.latest = Some((status, Instant::default()));
        }
        self.note_leader(term, position);
    }

    fn note_leader(&mut self, term: Term, position: LeaderPosition) {
        if term < self.leader_term {
            return;
        }
        if term > self.leader_term {
            self.leader_term = term;
            self.doubt = self.doubt.filter(|doubt| doubt.term.is_none_or(|held| held > term));
            self.positions.clear();
            self.proof_sent = None;
            self.lost_until = None;
        }
        if self.positions.back().is_some_and(|last| last.sent >= position.sent) {
            return;
        }
        let close = match self.positions.len().checked_sub(2).and_then(|at| self.positions.get(at))
        {
            Some(before) => self
                .positions
                .back()
                .is_some_and(|last| last.sent.since(before.sent) < POSITION_SPACING),
            None => false,
        };
        if close {
            self.positions.pop_back();
        } else if self.positions.len() == MAX_POSITIONS {
            self.positions.pop_front();
        }
        self.positions.push_back(position);
    }

    /// Doubts the leader's office because replicas were told at `at` to hold `held`. Earlier proofs stay.
    fn doubt_below(&mut self, held: Term, at: Instant) {
        if held <= self.leader_term() {
            return;
        }
        if self.doubt.is_none() {
            self.proof_sent = self.leader(at).and_then(|leader| self.proved_at(&leader));
        }
        let known = self.doubt.unwrap_or(Doubt { term: Some(held), since: None });
        self.doubt = Some(Doubt {
            term: known.term.map(|term| term.max(held)),
            since: known.since.max(Some(at)),
        });
    }

    /// Ends the doubt when the leader of `term` was proved to be in office by more than polls of this instance.
    fn end_doubt(&mut self, term: Term, proof_sent: Instant) {
        if term == self.leader_term {
            self.doubt = self.doubt.filter(|doubt| doubt.since >= Some(proof_sent));
        }
    }

    /// Ends the doubt when all other members answered that they hold nothing: the promoted one would have a new term.
    fn settle_doubt(&mut self) {
        let Some(doubt) = self.doubt else { return };
        let term = self.leader_term();
        let settled = |state: &Member| {
            state.latest.as_ref().is_some_and(|(status, sent)| {
                status.highest_term() <= term && Some(*sent) > doubt.since
            })
        };
        let leads = |state: &Member| {
            let status = state.latest.as_ref().map(|(status, _)| status);
            status.is_some_and(|status| status.role == Role::Primary && status.term == term)
        };
        if self.members.values().any(leads)
            && self.members.values().all(|state| leads(state) || settled(state))
        {
            self.doubt = None;
        }
    }

    fn prove(&mut self, term: Term, sent: Instant) {
        if term == self.leader_term && Some(sent) > self.proofs_after {
            self.proof_sent = self.proof_sent.max(Some(sent));
        }
    }

    fn answers(&self) -> impl Iterator<Item = (&MemberId, &MemberStatus, Instant)> {
        self.members.iter().filter_map(|(member, state)| {
            state.latest.as_ref().map(|(status, sent)| (member, status, *sent))
        })
    }
}
