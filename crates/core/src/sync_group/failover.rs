//! The replacement of a primary, as one instance carries it out.

use std::time::Duration;

use super::{GroupView, PROOF_WINDOW};
use crate::{
    clock::{Instant, with_drift},
    name::MemberId,
    position::Term,
};

/// Time between two repetitions of an order that has not taken effect.
const REPEAT: Duration = Duration::from_millis(150);
/// Time between two repetitions of a promotion, which takes effect after some hundred milliseconds.
const PROMOTE_REPEAT: Duration = Duration::from_millis(700);
/// Longest time for a claim of the duty.
const CLAIM_BOUND: Duration = Duration::from_secs(2);
/// Longest time until all replicas hold the new term.
const FENCE_BOUND: Duration = Duration::from_secs(10);
/// Longest time from the promotion until the new primary answers.
const PROMOTE_BOUND: Duration = Duration::from_secs(5);
/// Time from the announcement of a planned replacement until the replicas are told to hold, in which writes end.
const QUIESCE: Duration = Duration::from_millis(250);
/// Pause after an attempt that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// It answers no poll.
    Silent,
    /// It is going to stop.
    Leaving,
    /// It answers, but its commits do not complete.
    Stalled,
    /// Members hold a term that nobody was promoted to.
    Orphaned,
}

impl Trigger {
    /// Name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Leaving => "leaving",
            Self::Stalled => "stalled",
            Self::Orphaned => "orphaned",
        }
    }
}

/// What the owner of a [`Failover`] has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverAction {
    /// Claim the duty, and report the generation number with [`Failover::claimed`].
    Claim,
    /// Tell a replica to hold `term`.
    Hold {
        /// The replica.
        member: MemberId,
        /// The term.
        term: Term,
    },
    /// Let `member` lead the next term.
    Promote {
        /// The replica with the longest log.
        member: MemberId,
        /// Generation number of the claim.
        generation: u64,
    },
    /// Tell a replica to receive again.
    Resume {
        /// The replica.
        member: MemberId,
    },
    /// The attempt ended.
    Ended {
        /// Whether a new primary answers.
        replaced: bool,
    },
}

#[derive(Debug, Clone)]
enum Stage {
    Idle,
    Claiming,
    Fencing { generation: u64, held_since: Option<Instant> },
    Promoting { generation: u64, member: MemberId },
}

/// State machine of one instance's attempts to replace the primary of a group.
///
/// The owner calls [`step`](Self::step) at least every 100 ms while an attempt runs.
#[derive(Debug, Clone)]
pub struct Failover {
    stage: Stage,
    trigger: Trigger,
    /// Term of the primary that is replaced.
    replaced: Term,
    /// Term that the replicas are to hold.
    target: Term,
    stage_started: Instant,
    last_order: Option<Instant>,
    pause_until: Instant,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            trigger: Trigger::Silent,
            replaced: Term::default(),
            target: Term::default(),
            stage_started: Instant::default(),
            last_order: None,
            pause_until: Instant::default(),
        }
    }
}

impl Failover {
    /// Whether an attempt is running.
    pub const fn is_running(&self) -> bool {
        !matches!(self.stage, Stage::Idle)
    }

    /// Begins an attempt unless one runs or has just failed; returns whether it began.
    pub fn start(&mut self, trigger: Trigger, view: &GroupView, now: Instant) -> bool {
        if self.is_running() || now < self.pause_until {
            return false;
        }
        self.trigger = trigger;
        self.replaced = view.leader_term();
        self.target = view.highest_term().next();
        self.enter(Stage::Claiming, now);
        true
    }

    /// Reports the answer to [`FailoverAction::Claim`]; `None` when another instance has the duty.
    pub fn claimed(&mut self, generation: Option<u64>, now: Instant) {
        if !matches!(self.stage, Stage::Claiming) {
            return;
        }
        match generation {
            Some(generation) => self.enter(Stage::Fencing { generation, held_since: None }, now),
            None => {
                self.pause_until = now.plus(RETRY_PAUSE);
                self.enter(Stage::Idle, now);
            }
        }
    }

    /// Term that the replicas are to hold, and whether all of them do, while an attempt runs.
    pub const fn fence(&self) -> Option<(Term, bool)> {
        match self.stage {
            Stage::Fencing { held_since, .. } => Some((self.target, held_since.is_some())),
            Stage::Promoting { .. } => Some((self.target, true)),
            Stage::Idle | Stage::Claiming => None,
        }
    }

    /// Member that is being promoted.
    pub const fn promoting(&self) -> Option<&MemberId> {
        match &self.stage {
            Stage::Promoting { member, .. } => Some(member),
            _ => None,
        }
    }

    /// Advances the attempt. `leaving` names members that may not be promoted; `confirmed` says whether all instances
    /// have discarded their proofs since all replicas hold the term.
    pub fn step(
        &mut self,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        match self.stage.clone() {
            Stage::Idle => Vec::new(),
            Stage::Claiming => self.step_claiming(view, now),
            Stage::Fencing { generation, held_since } => {
                self.step_fencing(generation, held_since, view, leaving, confirmed, now)
            }
            Stage::Promoting { generation, member } => {
                self.step_promoting(generation, member, view, now)
            }
        }
    }

    fn step_claiming(&mut self, view: &GroupView, now: Instant) -> Vec<FailoverAction> {
        if now.since(self.stage_started) > CLAIM_BOUND {
            return self.end(false, view, now);
        }
        if self.last_order.is_some() {
            return Vec::new();
        }
        self.last_order = Some(now);
        vec![FailoverAction::Claim]
    }

    fn step_fencing(
        &mut self,
        generation: u64,
        held_since: Option<Instant>,
        view: &GroupView,
        leaving: &[MemberId],
        confirmed: bool,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let superseded = view.leader(now).is_some_and(|leader| leader.term > self.replaced);
        if superseded || now.since(self.stage_started) > FENCE_BOUND {
            return self.end(superseded, view, now);
        }
        if self.trigger == Trigger::Leaving && now.since(self.stage_started) < QUIESCE {
            return Vec::new();
        }
        let replicas: Vec<MemberId> = self.replicas(view).cloned().collect();
        let free: Vec<MemberId> =
            replicas.iter().filter(|member| !self.holds(view, member)).cloned().collect();
        if replicas.is_empty() || !free.is_empty() {
            self.stage = Stage::Fencing { generation, held_since: None };
            if !self.due(REPEAT, now) {
                return Vec::new();
            }
            let target = self.target;
            return free
                .into_iter()
                .map(|member| FailoverAction::Hold { member, term: target })
                .collect();
        }
        let since = held_since.unwrap_or(now);
        self.stage = Stage::Fencing { generation, held_since: Some(since) };
        if !confirmed && now.since(since) < with_drift(PROOF_WINDOW) {
            return Vec::new();
        }
        let best = replicas
            .into_iter()
            .filter(|member| !leaving.contains(member))
            .max_by_key(|member| view.status(member).map(|status| status.received));
        let Some(member) = best else { return self.end(false, view, now) };
        if !self.has_all_commits(&member, view) {
            return self.end(false, view, now);
        }
        self.enter(Stage::Promoting { generation, member }, now);
        self.step(view, leaving, confirmed, now)
    }

    fn step_promoting(
        &mut self,
        generation: u64,
        member: MemberId,
        view: &GroupView,
        now: Instant,
    ) -> Vec<FailoverAction> {
        let replaced = view.leader(now).is_some_and(|leader| leader.term > self.replaced);
        if replaced || now.since(self.stage_started) > PROMOTE_BOUND {
            return self.end(replaced, view, now);
        }
        if !self.due(PROMOTE_REPEAT, now) {
            return Vec::new();
        }
        vec![FailoverAction::Promote { member, generation }]
    }

    /// Whether the log of `member` has every commit that the old primary can have acknowledged.
    fn has_all_commits(&self, member: &MemberId, view: &GroupView) -> bool {
        let received = |member: &MemberId| view.status(member).map(|status| status.received);
        let Some(own) = received(member) else { return false };
        self.replicas(view).all(|other| received(other) <= Some(own)) && view.covers_lost(own)
    }

    fn end(&mut self, replaced: bool, view: &GroupView, now: Instant) -> Vec<FailoverAction> {
        if !replaced {
            self.pause_until = now.plus(RETRY_PAUSE);
        }
        self.enter(Stage::Idle, now);
        let held = self.replicas(view).filter(|member| self.holds(view, member));
        let resumed = held.map(|member| FailoverAction::Resume { member: member.clone() });
        resumed.chain([FailoverAction::Ended { replaced }]).collect()
    }

    /// All members but the primary that is replaced.
    fn replicas<'a>(&'a self, view: &'a GroupView) -> impl Iterator<Item = &'a MemberId> {
        view.members().filter(|member| !view.is_primary_of(member, self.replaced))
    }

    fn holds(&self, view: &GroupView, member: &MemberId) -> bool {
        view.status(member).is_some_and(|status| status.held >= self.target)
    }

    fn due(&mut self, interval: Duration, now: Instant) -> bool {
        let due = self.last_order.is_none_or(|last| now.since(last) >= interval);
        if due {
            self.last_order = Some(now);
        }
        due
    }

    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_started = now;
        self.last_order = None;
    }
}
