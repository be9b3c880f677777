//! Stages of an attempt to replace a primary.

use std::time::Duration;

use crate::{
    clock::Instant,
    name::MemberId,
    sync_group::{GroupView, PromotionRecord, PromotionRule, Stop},
};

#[derive(Debug, Clone)]
enum Stage {
    Idle,
    Claiming,
    Fencing(Fencing),
    Recording(Promotion),
    Promoting(Promotion),
    /// The claim was not renewed; the next step ends the attempt.
    ClaimLost,
}

/// An attempt that waits until a member may be promoted.
#[derive(Debug, Clone)]
struct Fencing {
    rule: PromotionRule,
    /// Since when all members that have to hold the term are known to.
    held_since: Option<Instant>,
    /// Primary that is being demoted, and since when.
    demoted: Option<(MemberId, Instant)>,
}

impl Fencing {
    const fn new(rule: PromotionRule) -> Self {
        Self { rule, held_since: None, demoted: None }
    }

    /// Records whether the primary has been demoted, or could not be for too long.
    fn observe_stop(&mut self, view: &GroupView, now: Instant) {
        let Some((member, since)) = &self.demoted else { return };
        self.rule.observe_stop(view, member);
        if self.rule.stop == Stop::Pending && now.since(*since) >= STOP_TIMEOUT {
            self.rule.stop = Stop::Failed;
        }
    }
}

/// A promotion that is being recorded or requested.
#[derive(Debug, Clone)]
struct Promotion {
    rule: PromotionRule,
    record: PromotionRecord,
    /// When the promotion was first requested; `None` before.
    requested: Option<Instant>,
}
