//! What one instance knows about the members of a group.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{MemberStatus, PROOF_WINDOW, Role};
use crate::{
    clock::Instant,
    name::MemberId,
    position::{Position, Term},
};

/// Positions of the primary that are kept; 32 cover 9 s of polls.
const MAX_POSITIONS: usize = 32;

/// The primary of the highest term that is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The member.
    pub member: MemberId,
    /// Its term.
    pub term: Term,
    /// Whether some member holds a higher term, so that the leader is being replaced and no write may reach it.
    pub fenced: bool,
}

#[derive(Debug, Clone, Default)]
struct Member {
    /// Role that the member has published, for the time before it answers.
    published: Option<Role>,
    latest: Option<(MemberStatus, Instant)>,
    /// Sending time of the first poll since the latest answer.
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

/// Answers of the members of one group, and what follows from them.
#[derive(Debug, Clone, Default)]
pub struct GroupView {
    members: BTreeMap<MemberId, Member>,
    leader_term: Term,
    positions: VecDeque<LeaderPosition>,
    /// Time up to which a replica that is gone may have received commits that no other replica has.
    lost_until: Option<Instant>,
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
    pub fn forget(&mut self, member: &MemberId) {
        if let Some(state) = self.members.get_mut(member) {
            *state = Member { published: state.published, ..Member::default() };
        }
    }

    /// Records the answer to a poll that was sent at `sent`.
    pub fn observe(&mut self, member: &MemberId, status: MemberStatus, sent: Instant) {
        let Some(state) = self.members.get_mut(member) else { return };
        if state.latest.is_some_and(|(_, latest)| latest > sent) {
            return;
        }
        state.latest = Some((status, sent));
        state.unanswered_since = state.unanswered_since.filter(|since| *since > sent);
        if status.role != Role::Primary || status.term < self.leader_term {
            return;
        }
        if status.term > self.leader_term {
            self.leader_term = status.term;
            self.positions.clear();
            self.lost_until = None;
        }
        if self.positions.len() == MAX_POSITIONS {
            self.positions.pop_front();
        }
        self.positions.push_back(LeaderPosition { sent, position: status.received });
    }

    /// Records that a poll was sent at `sent`.
    pub fn poll_sent(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.members.get_mut(member) {
            state.unanswered_since.get_or_insert(sent);
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

    /// Time for which `member` has left polls unanswered.
    pub fn silent_for(&self, member: &MemberId, now: Instant) -> Duration {
        let since = self.members.get(member).and_then(|state| state.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// The highest term that had a primary, as far as is known.
    pub fn leader_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.term);
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

    /// The highest term that any member knows of.
    pub fn highest_term(&self) -> Term {
        let terms = self.answers().map(|(_, status, _)| status.highest_term());
        terms.max().unwrap_or_default().max(self.leader_term)
    }

    /// The primary of the highest known term; `None` while a newer one is known to exist without having answered.
    pub fn leader(&self) -> Option<Leader> {
        let (member, status, _) = self
            .answers()
            .filter(|(_, status, _)| status.role == Role::Primary)
            .max_by_key(|(_, status, _)| status.term)?;
        (status.term >= self.leader_term()).then(|| Leader {
            member: member.clone(),
            term: status.term,
            fenced: self.answers().any(|(_, other, _)| other.held > status.term),
        })
    }

    /// Time up to which no other primary can have acknowledged a commit, exclusive.
    ///
    /// A read may run at the leader if it arrived before this time.
    pub fn certain_until(&self) -> Option<Instant> {
        let leader = self.leader()?;
        let (_, in_office) = self.members.get(&leader.member)?.latest.as_ref()?;
        let others = self.answers().filter(|(member, _, _)| **member != leader.member);
        let unfenced = others
            .filter(|(_, status, _)| status.highest_term() <= leader.term)
            .map(|(_, _, sent)| sent)
            .max();
        let witnessed = if self.members.len() == 1 { Some(*in_office) } else { unfenced };
        witnessed.map(|sent| sent.min(*in_office).plus(PROOF_WINDOW))
    }

    /// A position that includes every commit acknowledged before `oldest`.
    ///
    /// It is the lowest known one, so that replicas have most likely reached it.
    pub fn position_at(&self, oldest: Instant) -> Option<LeaderPosition> {
        if self.certain_until().is_none_or(|until| oldest >= until) {
            return None;
        }
        self.positions.iter().find(|known| known.sent >= oldest).copied()
    }

    fn answers(&self) -> impl Iterator<Item = (&MemberId, &MemberStatus, Instant)> {
        self.members.iter().filter_map(|(member, state)| {
            state.latest.as_ref().map(|(status, sent)| (member, status, *sent))
        })
    }
}
