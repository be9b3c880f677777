//! Proofs that the leader has not been replaced, and when it is uncertain whether it has.

use super::{GroupView, Leader, LeaderPosition, PROOF_WINDOW, Role};
use crate::{clock::Instant, position::Term, sync_group::member::Member};

/// Possible replacement of the primary that this instance has not observed.
///
/// A promotion ends the hold of the replicas. Until they know the new primary, they and the old one answer polls as
/// before the promotion, so the answer of a single replica proves nothing.
#[derive(Debug, Clone, Copy)]
pub(super) struct Uncertainty {
    /// Highest term that the replicas were commanded to hold; `None` after the start of the process, when it is
    /// unknown.
    pub(super) term: Option<Term>,
    /// Time at which a hold was last observed; `None` when the uncertainty dates from the start of the process.
    pub(super) hold_observed: Option<Instant>,
}

impl GroupView {
    /// Whether the primary may have been replaced without this instance having observed it, so that the answer of a
    /// single replica does not prove its leadership.
    pub const fn is_leader_uncertain(&self) -> bool {
        self.uncertainty.is_some()
    }

    /// Time up to which no other primary can have acknowledged a commit, exclusive; `None` without a leadership proof.
    ///
    /// A read may run at the leader if it arrived before this time.
    pub fn leader_proven_until(&self, now: Instant) -> Option<Instant> {
        let leader = self.leader(now)?;
        self.latest_proof(&leader).map(|sent| sent.plus(PROOF_WINDOW))
    }

    /// A position that includes every commit acknowledged before `oldest`; `None` when no position or leadership proof
    /// is recent enough.
    ///
    /// Of the known positions, the lowest is returned, because replicas have most likely reached it.
    pub fn position_at(&self, oldest: Instant, now: Instant) -> Option<LeaderPosition> {
        if self.leader_proven_until(now).is_none_or(|until| oldest >= until) {
            return None;
        }
        self.positions.iter().find(|position| position.sent >= oldest).copied()
    }

    /// Sending time of the newest leadership proof.
    pub(super) fn latest_proof(&self, leader: &Leader) -> Option<Instant> {
        let polled = self.poll_proof(leader).filter(|sent| Some(*sent) > self.proofs_discarded_at);
        let recorded = self.proof_sent.filter(|_| leader.term == self.leader_term);
        polled.max(recorded)
    }

    /// Sending time of the proof by polls: the earlier of the leader's latest answered poll and the latest answered
    /// poll of a replica that holds no higher term. The leader of a group of one needs no replica.
    fn poll_proof(&self, leader: &Leader) -> Option<Instant> {
        if self.uncertainty.is_some() {
            return None;
        }
        let (status, leader_sent) = self.members.get(&leader.member)?.latest.as_ref()?;
        let others = self.answers().filter(|(member, _, _)| **member != leader.member);
        let without_hold = others.filter(|(_, status, _)| status.highest_term() <= leader.term);
        let replica_sent = without_hold.map(|(_, _, sent)| sent).max();
        let is_only_member = self.is_only_member() && status.held <= leader.term;
        let replica_sent = if is_only_member { Some(*leader_sent) } else { replica_sent };
        replica_sent.map(|sent| sent.min(*leader_sent))
    }

    /// Marks the leader as uncertain because replicas were commanded to hold `held`, observed at `at`. Earlier proofs
    /// remain valid.
    pub(super) fn mark_uncertain(&mut self, held: Term, at: Instant) {
        if held <= self.leader_term() {
            return;
        }
        if self.uncertainty.is_none() {
            self.proof_sent = self.leader(at).and_then(|leader| self.latest_proof(&leader));
        }
        let current =
            self.uncertainty.unwrap_or(Uncertainty { term: Some(held), hold_observed: None });
        self.uncertainty = Some(Uncertainty {
            term: current.term.map(|term| term.max(held)),
            hold_observed: current.hold_observed.max(Some(at)),
        });
    }

    /// Ends the uncertainty when a commit or another instance proved the leadership for `term` with a request that was
    /// sent after the last observed hold.
    pub(super) fn end_uncertainty(&mut self, term: Term, proof_sent: Instant) {
        if term == self.leader_term && !self.is_behind_barrier(term, proof_sent) {
            self.uncertainty = self
                .uncertainty
                .filter(|uncertainty| uncertainty.hold_observed >= Some(proof_sent));
        }
    }

    /// Ends the uncertainty when all other members answered after the last observed hold that they hold no higher term:
    /// a promoted member would have a new term.
    pub(super) fn resolve_uncertainty(&mut self) {
        let Some(uncertainty) = self.uncertainty else { return };
        let term = self.leader_term();
        let holds_no_higher_term = |state: &Member| {
            state.latest.as_ref().is_some_and(|(status, sent)| {
                status.highest_term() <= term && Some(*sent) > uncertainty.hold_observed
            })
        };
        let is_leader = |state: &Member| {
            let status = state.latest.as_ref().map(|(status, _)| status);
            status.is_some_and(|status| status.role == Role::Primary && status.term == term)
        };
        let are_all_listed = self.members.len() > 1 || self.is_only_member();
        if are_all_listed
            && self.members.values().any(is_leader)
            && self.members.values().all(|state| is_leader(state) || holds_no_higher_term(state))
        {
            self.uncertainty = None;
        }
    }

    pub(super) fn record_proof(&mut self, term: Term, sent: Instant) {
        let counts = Some(sent) > self.proofs_discarded_at && !self.is_behind_barrier(term, sent);
        if term == self.leader_term && counts {
            self.proof_sent = self.proof_sent.max(Some(sent));
        }
    }
}
