//! Admission of operations against the rate and burst of their workspace.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, Workspace},
    share::{Allotment, Limits},
};
use hibiscusladder_io::clock::within;

use crate::{
    adapter::Platform,
    message::{Demand, Tokens},
    messenger,
    metrics::Stage,
    model::{Code, Failure},
    node::Node,
};

/// Part of the target time of an operation for which it may wait for its allotment; a longer wait would make the
/// refusal late.
const WAIT_PART: u32 = 5;
/// Longest pause between two tries of one operation.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// Demand in operations per second below which a workspace is not named in messages.
const NO_DEMAND: f64 = 0.01;
/// Time between two requests for tokens of a workspace; more than a round trip within a region.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Allotments of all workspaces at one instance.
#[derive(Debug, Default)]
pub struct Admission {
    allotments: HashMap<Workspace, Allotment>,
    asked: HashMap<Workspace, Instant>,
    /// Notified when tokens have come.
    changed: Rc<Notify>,
}

impl Admission {
    /// Brings the allotments in line with the configured limits and the part of them that accrues here.
    pub fn configure(&mut self, limits: &BTreeMap<Workspace, Limits>, part: f64, now: Instant) {
        self.allotments.retain(|workspace, _| limits.contains_key(workspace));
        for (workspace, limits) in limits {
            let limits = *limits;
            match self.allotments.get_mut(workspace) {
                Some(allotment) => allotment.set_limits(limits, part, now),
                None => {
                    let allotment = Allotment::new(limits, part, now);
                    self.allotments.insert(workspace.clone(), allotment);
                }
            }
        }
    }

    /// Admits an operation, or returns the time after which another try makes sense.
    ///
    /// # Errors
    ///
    /// The time; `None` for a workspace that is not configured.
    pub fn try_admit(
        &mut self,
        workspace: &Workspace,
        first: bool,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let allotment = self.allotments.get_mut(workspace).ok_or(None)?;
        let admitted = if first { allotment.try_admit(now) } else { allotment.try_again(now) };
        admitted.map_err(Some)
    }

    /// Records what another instance needs and has, and takes what it passes on.
    pub fn note(&mut self, peer: &InstanceId, demands: &[Demand], is_hub: bool, now: Instant) {
        for demand in demands {
            let Some(allotment) = self.allotments.get_mut(&*demand.workspace) else { continue };
            allotment.note(peer, demand.rate.into(), demand.level.into(), is_hub, now);
            allotment.note_total(demand.total.into(), now);
            allotment.receive(demand.gift.into(), now);
        }
        self.changed.notify(usize::MAX);
    }

    /// Takes tokens that another instance passes on.
    pub fn receive(&mut self, gift: &Tokens, now: Instant) {
        if let Some(allotment) = self.allotments.get_mut(&*gift.workspace) {
            allotment.receive(f64::from(gift.tokens), now);
            self.changed.notify(usize::MAX);
        }
    }

    /// Removes tokens that another instance asks for.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more than the precision of f32"
    )]
    pub fn give(&mut self, ask: &Tokens, now: Instant) -> f32 {
        let allotment = self.allotments.get_mut(&*ask.workspace);
        allotment.map_or(0.0, |allotment| allotment.give(f64::from(ask.tokens), now) as f32)
    }

    /// What `peer` is told, with the tokens that are passed on to it.
    ///
    /// `sharing` hubs serve the same instances as this one, if it is a hub.
    pub fn tell(&mut self, peer: &InstanceId, sharing: usize, now: Instant) -> Vec<Demand> {
        let demands = self.allotments.iter_mut().filter_map(|(workspace, allotment)| {
            let rate = allotment.told_demand(sharing, now);
            let total = allotment.total_demand(sharing, now);
            if total < NO_DEMAND {
                return None;
            }
            let gift = allotment.gift(peer, now);
            Some(Demand::new(workspace, [rate, total, allotment.level(now), gift]))
        });
        demands.collect()
    }

    /// The instances to ask for tokens of a workspace and their number, unless it was done a moment ago.
    fn lenders(&mut self, workspace: &Workspace, now: Instant) -> Option<(Vec<InstanceId>, f64)> {
        let asked = self.asked.get(workspace);
        if asked.is_some_and(|asked| now.since(*asked) < ASK_INTERVAL) {
            return None;
        }
        self.asked.insert(workspace.clone(), now);
        Some(self.allotments.get(workspace)?.lenders(now))
    }
}

/// Admits an operation of `workspace`, which may wait for a part of `target`.
///
/// # Errors
///
/// The refusal, which says when to come back.
pub async fn admit<P>(
    node: &Rc<Node<P>>,
    workspace: &Workspace,
    target: Duration,
) -> Result<(), Failure>
where
    P: Platform,
{
    let arrived = node.now();
    let until = arrived.plus(target / WAIT_PART);
    let changed = node.admission.borrow().changed.clone();
    let mut first = true;
    loop {
        let tokens = changed.listen();
        let now = node.now();
        let wait = match node.admission.borrow_mut().try_admit(workspace, first, now) {
            Ok(()) => {
                node.metrics.time(Stage::Admission, now.since(arrived));
                return Ok(());
            }
            Err(wait) => wait.unwrap_or(Duration::MAX),
        };
        first = false;
        let lenders = node.admission.borrow_mut().lenders(workspace, now);
        if let Some((mut lenders, wanted)) = lenders {
            if lenders.is_empty() {
                // Nothing is known yet of a workspace that was idle until now.
                lenders = messenger::neighbours(node);
            }
            messenger::ask(node, workspace, &lenders, wanted);
        }
        if now >= until {
            let after = wait.clamp(Duration::from_millis(100), Duration::from_secs(5));
            return Err(Failure::retry_after(
                Code::Busy,
                "the workspace is at the limit of its contract",
                after,
            ));
        }
        within(wait.min(MAX_PAUSE).min(until.since(now)), tokens).await;
    }
}
