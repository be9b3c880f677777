//! Stages of an attempt to replace a primary.

use crate::{
    clock::Instant,
    name::MemberId,
    position::Term,
    sync_group::{COMMAND_TIMEOUT, GroupView, PromotionRecord, PromotionRule, Role},
};

#[derive(Debug, Clone)]
pub(super) enum Stage {
    Idle,
    Claiming,
    Fencing(Fencing),
    Recording(Promotion),
    Promoting(Promotion),
    /// The attempt is given up, and waits until it is known whether the primary was demoted.
    Settling(PromotionRule),
    /// Members hold a term without an attempt. They are released as soon as the primary and the member that was promoted last
    /// have shown that the primary was not replaced.
    Repairing(PromotionRule),
    /// The attempt has ended, and replicas are being released that would not receive from the primary.
    Releasing(Releasing),
    /// The claim was not renewed; the next step ends the attempt.
    ClaimLost,
}

/// An attempt that waits until a member may be promoted.
#[derive(Debug, Clone)]
pub(super) struct Fencing {
    pub(super) rule: PromotionRule,
    /// Since when all members that have to hold the term are known to.
    pub(super) held_since: Option<Instant>,
}

impl Fencing {
    pub(super) const fn new(rule: PromotionRule) -> Self {
        Self { rule, held_since: None }
    }
}

/// A promotion that is being recorded or requested.
#[derive(Debug, Clone)]
pub(super) struct Promotion {
    pub(super) rule: PromotionRule,
    pub(super) record: PromotionRecord,
    /// When the promotion was first requested; `None` before.
    pub(super) requested: Option<Instant>,
}

/// Demotion of the replaced primary that an attempt has commanded.
#[derive(Debug, Clone)]
pub(super) struct Demotion {
    pub(super) member: MemberId,
    /// When it was first commanded.
    pub(super) first: Instant,
    /// When it was last commanded.
    pub(super) last: Instant,
}

/// Outcome of a demotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DemotionOutcome {
    /// The member answers as a replica.
    Done,
    /// The member answers as primary, and no command can take effect any more.
    Failed,
    /// A command may still take effect, or may have.
    Unknown,
}

impl Demotion {
    pub(super) const fn new(member: MemberId, now: Instant) -> Self {
        Self { member, first: now, last: now }
    }

    /// What the latest answer of the member shows.
    pub(super) fn outcome(&self, view: &GroupView) -> DemotionOutcome {
        match view.answer(&self.member) {
            Some((status, sent)) if status.role == Role::Replica && sent >= self.first => {
                DemotionOutcome::Done
            }
            Some((_, sent)) if sent >= self.last.plus(COMMAND_TIMEOUT) => DemotionOutcome::Failed,
            _ => DemotionOutcome::Unknown,
        }
    }
}

/// Replicas that hold a term without need, and are released.
#[derive(Debug, Clone)]
pub(super) struct Releasing {
    /// Holds of this term and above end.
    pub(super) from: Term,
    /// A primary of this term or a later one ends the release, because its promotion has changed the holds.
    pub(super) superseded_by: Term,
    /// Replicas that may still hold the term, and when they were last released; `None` before.
    pub(super) members: Vec<(MemberId, Option<Instant>)>,
}

impl Releasing {
    /// Leaves out the members that have answered after their release that they hold no such term.
    pub(super) fn observe(&mut self, view: &GroupView) {
        let from = self.from;
        self.members.retain(|(member, released)| {
            let answer = view.answer(member);
            let is_released = |released: Instant| {
                answer.is_some_and(|(status, sent)| status.held < from && sent >= released)
            };
            view.contains(member) && !released.is_some_and(is_released)
        });
    }
}
