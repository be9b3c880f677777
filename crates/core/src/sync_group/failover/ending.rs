//! The end of an attempt: what it has commanded is undone, or followed up.

use std::time::Duration;

use super::{
    COMMAND_RETRY_INTERVAL, Failover, FailoverAction, PROMOTE_RETRY_INTERVAL, RELEASE_TIME,
    RETRY_DELAY, SETTLE_TIMEOUT,
    stage::{DemotionOutcome, Fencing, Releasing, Stage},
};
use crate::{
    clock::Instant,
    name::MemberId,
    position::Term,
    sync_group::{GroupView, PromotionRule, SUSPICION_TIMEOUT, Stop},
};

impl Failover {
    /// Ends the attempt, unless a demotion that it has commanded may have taken effect or may still do so. A group whose only
    /// primary was demoted would have none after the end of the attempt.
    pub(super) fn give_up(
        &mut self,
        rule: PromotionRule,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        if self.demotion.is_none() || matches!(rule.stop, Stop::Done(_)) {
            return self.end(false, view, now);
        }
        self.enter(Stage::Settling(rule.clone()), now);
        self.step_settling(rule, view, leaving, confirmed, now)
    }

    /// Whether an attempt runs whose claim was made in an earlier era of the store.
    pub(super) fn has_lost_claim(&self) -> bool {
        let is_claimed = self.is_running() && !matches!(self.stage, Stage::Claiming);
        is_claimed && self.grant.is_some_and(|grant| grant.era() < self.era)
    }

    /// Ends an attempt whose claim the store has lost. A demotion is not followed up: the group is without a primary until the next
    /// claim.
    pub(super) fn withdraw(&mut self, view: &GroupView, now: Instant) -> Vec<FailoverAction> {
        let is_replaced = self.is_replaced(view, now);
        let may_take_effect = matches!(self.stage, Stage::Promoting(_))
            && self.last_command.is_some_and(|sent| now.since(sent) < PROMOTE_RETRY_INTERVAL);
        // The promoted member would lack what is committed after the holds were released.
        if may_take_effect && !is_replaced {
            return Vec::new();
        }
        self.end(is_replaced, view, now)
    }

    pub(super) fn step_settling(
        &mut self,
        mut rule: PromotionRule,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let superseded = self.is_replaced(view, now);
        let time_left = self.grant.map_or(Duration::ZERO, |grant| grant.time_left(now));
        let Some(demotion) = self.demotion.clone() else { return self.end(false, view, now) };
        if superseded || time_left < RELEASE_TIME {
            return self.end(superseded, view, now);
        }
        if let Some(renewal) = self.renew_if_due(now) {
            return vec![renewal];
        }
        match demotion.outcome(view) {
            DemotionOutcome::Done => {
                rule.stop = Stop::Pending;
                rule.observe_stop(view, &demotion.member);
                self.enter(Stage::Fencing(Fencing::new(rule)), now);
                self.step(view, leaving, confirmed, now)
            }
            DemotionOutcome::Unknown if now.since(demotion.last) < SETTLE_TIMEOUT => Vec::new(),
            DemotionOutcome::Failed | DemotionOutcome::Unknown => self.end(false, view, now),
        }
    }

    /// Releases the replicas until all of them have answered so. A lost answer may have hidden a hold, or a lost command a
    /// release, and a replica that goes on holding the term receives nothing.
    pub(super) fn step_releasing(
        &mut self,
        mut releasing: Releasing,
        view: &GroupView,
        now: Instant,
    ) -> Vec<FailoverAction> {
        releasing.observe(view);
        // After the end of the claim another instance may need the holds.
        let is_valid = self.grant.is_some_and(|grant| grant.is_valid(now));
        let is_superseded =
            view.leader(now).is_some_and(|leader| leader.term >= releasing.superseded_by);
        if releasing.members.is_empty() || !is_valid || is_superseded {
            self.enter(Stage::Idle, now);
            return Vec::new();
        }
        let mut actions = Vec::new();
        for (member, released) in &mut releasing.members {
            if released.is_none_or(|last| now.since(last) >= COMMAND_RETRY_INTERVAL) {
                *released = Some(now);
                actions.push(FailoverAction::Resume { member: member.clone() });
            }
        }
        self.stage = Stage::Releasing(releasing);
        actions
    }

    pub(super) fn end(
        &mut self,
        replaced: bool,
        view: &GroupView,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let mut actions = if replaced {
            let next = view.leader_term().next();
            self.release_from(next, next, view, now)
        } else {
            self.backoff_until = now.plus(RETRY_DELAY);
            self.release_from(self.target_term, self.old_term.next(), view, now)
        };
        actions.push(FailoverAction::Ended { replaced });
        actions
    }

    /// Ends the attempt and releases the replicas that may hold the term `from` or a higher one, until there is a primary of
    /// the term `superseded_by`.
    ///
    /// A promotion ends only holds up to its own term, and the platform does not take that term from the holds. A hold that an
    /// earlier attempt left may be above it, and so may that of this attempt, which is above all earlier ones.
    fn release_from(
        &mut self,
        from: Term,
        superseded_by: Term,
        view: &GroupView,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let may_hold = |member: &&MemberId| {
            let held = view.status(member).is_some_and(|status| status.held >= from);
            held || self.target_term >= from && self.commanded.contains(*member)
        };
        let members = view.members().filter(may_hold).map(|member| (member.clone(), None));
        let releasing = Releasing { from, superseded_by, members: members.collect() };
        self.enter(Stage::Releasing(releasing.clone()), now);
        self.step_releasing(releasing, view, now)
    }

    /// Releases members that hold a term without an attempt, if their primary still leads. If it does not answer, or may have
    /// been replaced, it is replaced instead.
    pub(super) fn step_repairing(
        &mut self,
        rule: PromotionRule,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        if self.is_replaced(view, now) {
            return self.end(true, view, now);
        }
        if rule.is_in_force(view, now) {
            let next = self.old_term.next();
            let mut actions = self.release_from(next, next, view, now);
            actions.push(FailoverAction::Repaired);
            return actions;
        }
        if now.since(self.stage_started) < SUSPICION_TIMEOUT {
            return Vec::new();
        }
        self.enter(Stage::Fencing(Fencing::new(rule)), now);
        self.step(view, leaving, confirmed, now)
    }
}
