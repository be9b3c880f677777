//! State machine with which one instance replaces the primary of a group.

mod action;
mod ending;
mod stage;

use std::{collections::BTreeSet, time::Duration};

pub use self::action::{FailoverAction, GrantedClaim};
use self::stage::{Demotion, Fencing, Promotion, Stage};
use super::{
    COMMAND_TIMEOUT, ClaimGrant, Demand, GroupView, MAX_PROMOTION_TIME, PROOF_WINDOW,
    PromotionRecord, PromotionRule, SUSPICION_TIMEOUT, Stop, Trigger, Verdict,
};
use crate::{
    clock::{Instant, with_drift},
    name::MemberId,
    position::Term,
};

/// Time after which a command that has not taken effect is sent again.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which a promotion that has not taken effect is requested again.
const PROMOTE_RETRY_INTERVAL: Duration = Duration::from_millis(1500);
/// Time before the end of a claim at which it is renewed.
const RENEW_BEFORE: Duration = Duration::from_millis(1000);
/// Time between two attempts to renew a claim.
const RENEW_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time before the end of a claim that cannot be renewed at which the attempt ends, so that the replicas are released.
const RELEASE_TIME: Duration = Duration::from_millis(300);
/// Longest wait for the answer to a failover claim or its renewal.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time until all replicas hold the new term and the proofs for the old one have expired or were discarded.
const FENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Like [`FENCE_TIMEOUT`], if the primary answers; the fence stops writes that it could have run.
const ANSWERING_FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the last demote command after which an attempt that is given up no longer waits for an answer of the member: the
/// command may take effect for a part of it, and polls show its effect in the rest.
const SETTLE_TIMEOUT: Duration = COMMAND_TIMEOUT.saturating_add(SUSPICION_TIMEOUT);
/// Longest time until a replaced primary that answers has been demoted.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time from the first promotion command until the new primary answers.
const PROMOTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the announcement of a planned replacement and the hold commands, in which running writes complete.
const QUIESCE_TIME: Duration = Duration::from_millis(250);
/// Time after a failed attempt in which no new attempt starts.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// State machine of one instance's attempts to replace the primary of a group.
///
/// The owner calls [`step`](Self::step) at least every 100 ms while an attempt runs.
#[derive(Debug, Clone)]
pub struct Failover {
    stage: Stage,
    trigger: Trigger,
    /// Term of the primary that is replaced.
    old_term: Term,
    /// Term that the replicas have to hold.
    target_term: Term,
    /// Latest claim that was granted, also after the attempt has ended.
    grant: Option<ClaimGrant>,
    /// Whether confirmations of other instances may be for an earlier attempt.
    repeats_term: bool,
    /// Whether a renewal of the claim has not been answered.
    is_renewing: bool,
    /// When the latest renewal was sent.
    renewal_sent: Instant,
    stage_started: Instant,
    last_command: Option<Instant>,
    /// Demotion of the replaced primary that this attempt has commanded.
    demotion: Option<Demotion>,
    /// Members that this attempt has commanded to hold the term.
    commanded: BTreeSet<MemberId>,
    backoff_until: Instant,
    /// Latest era of the store that is known.
    era: u64,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            trigger: Trigger::Silent,
            old_term: Term::default(),
            target_term: Term::default(),
            grant: None,
            repeats_term: false,
            is_renewing: false,
            renewal_sent: Instant::default(),
            stage_started: Instant::default(),
            last_command: None,
            demotion: None,
            commanded: BTreeSet::new(),
            backoff_until: Instant::default(),
            era: 0,
        }
    }
}

impl Failover {
    /// Whether an attempt is running.
    pub const fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Idle | Stage::Releasing(_))
    }

    /// Whether no attempt is running, and no replica is being released after one.
    pub const fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Starts an attempt unless one is running, the delay after a failed one has not passed, or a member that would have
    /// to answer does not while the primary still does; returns whether it started.
    pub fn start(&mut self, trigger: Trigger, view: &GroupView, now: Instant) -> bool {
        if self.is_running() || now < self.backoff_until {
            return false;
        }
        let (replaced, target) = (view.leader_term(), view.highest_term().next());
        let stop = Stop::Pending;
        let rule = PromotionRule {
            replaced,
            target,
            since: now,
            latest: None,
            may_lack_records: false,
            stop,
        };
        let is_unanswered =
            |member: &MemberId| view.unanswered_for(member, now) >= SUSPICION_TIMEOUT;
        if trigger.has_primary() && rule.required(view).any(is_unanswered) {
            return false;
        }
        self.trigger = trigger;
        self.old_term = replaced;
        self.target_term = target;
        self.demotion = None;
        self.commanded.clear();
        self.enter(Stage::Claiming, now);
        true
    }

    /// Reports the answer to [`FailoverAction::Claim`]; `None` when the claim was not granted.
    pub fn claimed(&mut self, granted: Option<GrantedClaim>, now: Instant) {
        if !matches!(self.stage, Stage::Claiming) {
            return;
        }
        match granted.filter(|granted| granted.grant.era() >= self.era) {
            Some(granted) => {
                let rule = PromotionRule {
                    replaced: self.old_term,
                    target: self.target_term,
                    since: now,
                    latest: granted.latest,
                    may_lack_records: granted.may_lack_records,
                    stop: Stop::Pending,
                };
                self.grant = Some(granted.grant);
                self.repeats_term = granted.repeats_term;
                self.is_renewing = false;
                let stage = match self.trigger {
                    Trigger::Orphaned => Stage::Repairing(rule),
                    _ => Stage::Fencing(Fencing::new(rule)),
                };
                self.enter(stage, now);
            }
            None => {
                self.backoff_until = now.plus(RETRY_DELAY);
                self.enter(Stage::Idle, now);
            }
        }
    }

    /// Reports the answer to [`FailoverAction::Renew`]; `None` when the claim was not renewed. A promotion is then given
    /// up.
    pub fn renewed(&mut self, grant: Option<ClaimGrant>, now: Instant) {
        self.is_renewing = false;
        let grant = grant.filter(|grant| grant.era() >= self.era);
        if let Some(grant) = grant {
            self.grant = Some(grant);
        }
        if let Stage::Recording(promotion) = self.stage.clone() {
            let next = grant.map_or(Stage::ClaimLost, |_| Stage::Promoting(promotion));
            self.enter(next, now);
        }
    }

    /// Records the latest era of the store that is known. An attempt whose claim was granted in an earlier era sends nothing
    /// more, except that it releases the replicas while the claim is valid: another instance may claim without knowing of it.
    ///
    /// Returns whether the claim of the running attempt is lost by that.
    pub fn observe_era(&mut self, era: u64) -> bool {
        let had_lost_claim = self.has_lost_claim();
        self.era = self.era.max(era);
        !had_lost_claim && self.has_lost_claim()
    }

    /// Latest claim that was granted for this or an earlier attempt; `None` before the first.
    pub const fn grant(&self) -> Option<ClaimGrant> {
        self.grant
    }

    /// Term that the replicas have to hold in this or the latest attempt.
    pub const fn target_term(&self) -> Term {
        self.target_term
    }

    /// Term that the replicas have to hold, and whether all of them hold it; `None` unless an attempt runs whose claim
    /// was granted.
    pub const fn fence(&self) -> Option<(Term, bool)> {
        match &self.stage {
            Stage::Fencing(fencing) => Some((self.target_term, fencing.held_since.is_some())),
            Stage::Recording(_) | Stage::Promoting(_) => Some((self.target_term, true)),
            // The primary may have been demoted, so that it must not get writes.
            Stage::Settling(_) => Some((self.target_term, false)),
            Stage::Idle
            | Stage::Claiming
            | Stage::ClaimLost
            | Stage::Repairing(_)
            | Stage::Releasing(_) => None,
        }
    }

    /// Since when all replicas are known to hold the term; `None` unless an attempt waits for proofs to expire.
    pub const fn held_since(&self) -> Option<Instant> {
        match &self.stage {
            Stage::Fencing(fencing) => fencing.held_since,
            _ => None,
        }
    }

    /// Member that an attempt promotes; `None` unless an attempt has reached this stage.
    pub const fn promoting(&self) -> Option<&MemberId> {
        match &self.stage {
            Stage::Promoting(promotion) => Some(&promotion.record.member),
            _ => None,
        }
    }

    /// Advances the attempt and returns the actions to take.
    ///
    /// `leaving` lists the members that may not be promoted; `confirmed` is whether all instances confirmed that they
    /// discarded their leadership proofs after all replicas held the term.
    pub fn step(
        &mut self,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        if self.has_lost_claim() {
            return self.withdraw(view, now);
        }
        match self.stage.clone() {
            Stage::Idle => Vec::new(),
            Stage::Claiming => self.step_claiming(view, now),
            Stage::Fencing(fencing) => self.step_fencing(fencing, view, leaving, confirmed, now),
            Stage::Recording(promotion) => self.step_recording(promotion, view, now),
            Stage::Settling(rule) => self.step_settling(rule, view, leaving, confirmed, now),
            Stage::Repairing(rule) => self.step_repairing(rule, view, leaving, confirmed, now),
            Stage::Releasing(releasing) => self.step_releasing(releasing, view, now),
            Stage::ClaimLost => self.end(self.is_replaced(view, now), view, now),
            Stage::Promoting(promotion) => self.step_promoting(promotion, view, leaving, now),
        }
    }

    fn step_claiming(&mut self, view: &GroupView, now: Instant) -> Vec<FailoverAction> {
        if now.since(self.stage_started) > CLAIM_TIMEOUT {
            return self.end(false, view, now);
        }
        if self.last_command.is_some() {
            return Vec::new();
        }
        self.last_command = Some(now);
        vec![FailoverAction::Claim { term: self.target_term }]
    }

    fn step_fencing(
        &mut self,
        mut fencing: Fencing,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let superseded = self.is_replaced(view, now);
        let time_left = self.grant.map_or(Duration::ZERO, |grant| grant.time_left(now));
        let longest = if self.has_answering_primary(view, now) {
            ANSWERING_FENCE_TIMEOUT
        } else {
            FENCE_TIMEOUT
        };
        let is_late = now.since(self.stage_started) > longest;
        if superseded || time_left < RELEASE_TIME {
            return self.end(superseded, view, now);
        }
        if is_late {
            return self.give_up(fencing.rule, view, leaving, confirmed, now);
        }
        if let Some(renewal) = self.renew_if_due(now) {
            return vec![renewal];
        }
        if self.trigger.is_planned() && now.since(self.stage_started) < QUIESCE_TIME {
            return Vec::new();
        }
        self.observe_demotion(&mut fencing.rule, view, now);
        let (running, chosen) = match fencing.rule.verdict(view, leaving, now) {
            Verdict::Waiting(demands) => {
                // A demoted primary proves nothing more, so the wait for its proofs goes on.
                if !matches!(fencing.rule.stop, Stop::Done(_)) {
                    fencing.held_since = None;
                }
                self.stage = Stage::Fencing(fencing);
                if !self.is_command_due(COMMAND_RETRY_INTERVAL, now) {
                    return Vec::new();
                }
                let holds = demands.iter().filter(|(_, demand)| matches!(demand, Demand::Hold(_)));
                self.commanded.extend(holds.map(|(member, _)| member.clone()));
                return demands.into_iter().map(FailoverAction::from).collect();
            }
            // Without this attempt, the group would have no primary: the demoted one may answer again.
            Verdict::NoCandidate if matches!(fencing.rule.stop, Stop::Done(_)) => {
                self.stage = Stage::Fencing(fencing);
                return Vec::new();
            }
            // The logs no longer change, so a later look would find no candidate either. A member that is not listed is
            // waited for without a hold: the primary may be the first to return.
            Verdict::NoCandidate | Verdict::LacksLogs(_) => {
                return self.give_up(fencing.rule, view, leaving, confirmed, now);
            }
            Verdict::Running(primary) => (Some(primary), None),
            Verdict::Candidate { member, position } => (None, Some((member, position))),
        };
        let since = *fencing.held_since.get_or_insert(now);
        let is_confirmed = confirmed && !self.repeats_term;
        let is_proven = is_confirmed || now.since(since) >= with_drift(PROOF_WINDOW);
        let mut actions = Vec::new();
        if let Some(member) = running.filter(|_| is_proven) {
            actions.extend(self.demote(member, now));
        }
        let rule = fencing.rule.clone();
        self.stage = Stage::Fencing(fencing);
        // Two writes of the claim at once would refuse each other.
        let Some((member, position)) = chosen.filter(|_| is_proven && !self.is_renewing) else {
            return actions;
        };
        let members = view.members().count();
        let record = PromotionRecord { replaced: self.old_term, member, members, position };
        self.enter(Stage::Recording(Promotion { rule, record, requested: None }), now);
        self.step(view, leaving, confirmed, now)
    }

    fn step_recording(
        &mut self,
        promotion: Promotion,
        view: &GroupView,
        now: Instant,
    ) -> Vec<FailoverAction> {
        if now.since(self.stage_started) > CLAIM_TIMEOUT {
            return self.end(false, view, now);
        }
        if self.last_command.is_some() {
            return Vec::new();
        }
        self.last_command = Some(now);
        vec![self.renew(Some(promotion.record), now)]
    }

    /// Renews the claim when it is about to end, unless that was tried a short time ago.
    fn renew_if_due(&mut self, now: Instant) -> Option<FailoverAction> {
        let time_left = self.grant.map_or(Duration::ZERO, |grant| grant.time_left(now));
        let may_renew = now.since(self.renewal_sent) >= RENEW_RETRY_INTERVAL;
        let is_due = time_left < RENEW_BEFORE && !self.is_renewing && may_renew;
        is_due.then(|| self.renew(None, now))
    }

    /// Records in the rule whether the primary has been demoted, or could not be for too long.
    fn observe_demotion(&self, rule: &mut PromotionRule, view: &GroupView, now: Instant) {
        let Some(demotion) = &self.demotion else { return };
        rule.observe_stop(view, &demotion.member);
        if rule.stop == Stop::Pending && now.since(demotion.first) >= STOP_TIMEOUT {
            rule.stop = Stop::Failed;
        }
    }

    const fn renew(&mut self, promotion: Option<PromotionRecord>, now: Instant) -> FailoverAction {
        self.is_renewing = true;
        self.renewal_sent = now;
        FailoverAction::Renew { promotion }
    }

    fn step_promoting(
        &mut self,
        promotion: Promotion,
        view: &GroupView,
        leaving: &[MemberId],
        now: Instant,
    ) -> Vec<FailoverAction> {
        let replaced = self.is_replaced(view, now);
        let elapsed = promotion.requested.map_or(Duration::ZERO, |requested| now.since(requested));
        if replaced || elapsed > PROMOTE_TIMEOUT {
            return self.end(replaced, view, now);
        }
        if self.last_command.is_none() {
            return self.request_promotion(promotion, view, leaving, now);
        }
        // The replaced primary may have returned since the promotion was requested.
        if let Some(primary) = promotion.rule.running_primary(view, now)
            && let Some(action) = self.demote(primary.clone(), now)
        {
            return vec![action];
        }
        // A request that is repeated later could take effect after the attempt.
        let may_repeat = elapsed + MAX_PROMOTION_TIME < PROMOTE_TIMEOUT;
        if !may_repeat || !self.is_command_due(PROMOTE_RETRY_INTERVAL, now) {
            return Vec::new();
        }
        self.enter(Stage::Recording(promotion.clone()), now);
        self.step_recording(promotion, view, now)
    }

    /// Requests a promotion if the rule still permits it: a member may have come back while the promotion was recorded.
    fn request_promotion(
        &mut self,
        promotion: Promotion,
        view: &GroupView,
        leaving: &[MemberId],
        now: Instant,
    ) -> Vec<FailoverAction> {
        let verdict = promotion.rule.verdict(view, leaving, now);
        let member = promotion.record.member.clone();
        let is_permitted =
            matches!(verdict, Verdict::Candidate { member: best, .. } if best == member);
        if !is_permitted && promotion.requested.is_none() {
            self.enter(Stage::Fencing(Fencing::new(promotion.rule)), now);
            return self.step(view, leaving, false, now);
        }
        self.last_command = Some(now);
        let requested = promotion.requested.or(Some(now));
        self.stage = Stage::Promoting(Promotion { requested, ..promotion });
        // An earlier request that has taken effect has ended the holds.
        let grant = self.grant.filter(|grant| is_permitted && grant.is_valid(now));
        grant.map(|grant| FailoverAction::Promote { member, grant }).into_iter().collect()
    }

    fn has_answering_primary(&self, view: &GroupView, now: Instant) -> bool {
        let leader = view.leader(now);
        leader.is_some_and(|leader| view.unanswered_for(&leader.member, now) < SUSPICION_TIMEOUT)
    }

    fn is_replaced(&self, view: &GroupView, now: Instant) -> bool {
        view.leader(now).is_some_and(|leader| leader.term > self.old_term)
    }

    fn is_command_due(&mut self, interval: Duration, now: Instant) -> bool {
        let due = self.last_command.is_none_or(|last| now.since(last) >= interval);
        if due {
            self.last_command = Some(now);
        }
        due
    }

    /// Demotes the replaced primary, unless that was commanded a short time ago.
    ///
    /// The command names the term that follows the replaced one, so that it has no effect on a primary of a later term,
    /// whenever it arrives.
    fn demote(&mut self, member: MemberId, now: Instant) -> Option<FailoverAction> {
        match &mut self.demotion {
            Some(demotion) if now.since(demotion.last) < COMMAND_RETRY_INTERVAL => return None,
            Some(demotion) => demotion.last = now,
            None => self.demotion = Some(Demotion::new(member.clone(), now)),
        }
        Some(FailoverAction::Demote { member, term: self.old_term.next() })
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_started = now;
        self.last_command = None;
    }
}
