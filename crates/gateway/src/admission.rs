//! Admission of operations against the rate and burst of their workspace.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, Workspace},
    share::Allotment,
};
use hibiscusladder_io::clock::sleep;

use crate::{
    adapter::Platform,
    directory::RateLimits,
    metrics::Stage,
    model::{Code, Failure},
    node::Node,
    peers::Demand,
};

/// Part of the target time of an operation for which it may wait for its allotment; a longer wait would make the
/// refusal late.
const WAIT_PART: u32 = 5;
/// Pause between two tries of one operation, at least; grants of other instances may come meanwhile.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Allotments of all workspaces at one instance.
#[derive(Debug, Default)]
pub struct Admission {
    allotments: HashMap<Workspace, Allotment>,
}

impl Admission {
    /// Brings the allotments in line with the configured limits and the number of instances.
    pub fn configure(
        &mut self,
        limits: &BTreeMap<Workspace, RateLimits>,
        instances: usize,
        now: Instant,
    ) {
        self.allotments.retain(|workspace, _| limits.contains_key(workspace));
        for (workspace, limits) in limits {
            let limits = (*limits).into();
            match self.allotments.get_mut(workspace) {
                Some(allotment) => allotment.set_limits(limits, instances, now),
                None => {
                    let allotment = Allotment::new(limits, instances, now);
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

    /// Records what another instance needs and grants.
    pub fn note(
        &mut self,
        peer: &InstanceId,
        demands: &[Demand],
        asked: Option<Instant>,
        now: Instant,
    ) {
        for demand in demands {
            let Some(allotment) = self.allotments.get_mut(&*demand.workspace) else { continue };
            allotment.note_demand(peer, f64::from(demand.rate), now);
            if let Some(asked) = asked {
                allotment.note_grant(peer, f64::from(demand.grant), asked, now);
            }
        }
    }

    /// What this instance needs and grants from now on, by the instance that it has to be told.
    pub fn plan(
        &mut self,
        peers: &[InstanceId],
        now: Instant,
    ) -> BTreeMap<InstanceId, Vec<Demand>> {
        let mut messages: BTreeMap<InstanceId, Vec<Demand>> =
            peers.iter().map(|peer| (peer.clone(), Vec::new())).collect();
        for (workspace, allotment) in &mut self.allotments {
            let rate = allotment.demand(now);
            let plan = allotment.plan(now);
            for (peer, demands) in &mut messages {
                let grant = plan.get(peer).copied().unwrap_or_default();
                demands.push(Demand::new(workspace, rate, grant));
            }
        }
        messages
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
    let mut first = true;
    loop {
        let now = node.now();
        let wait = match node.admission.borrow_mut().try_admit(workspace, first, now) {
            Ok(()) => {
                node.metrics.time(Stage::Admission, now.since(arrived));
                return Ok(());
            }
            Err(wait) => wait.unwrap_or(Duration::MAX),
        };
        first = false;
        if now.plus(wait) > until {
            let after = wait.clamp(Duration::from_millis(100), Duration::from_secs(5));
            return Err(Failure::retry_after(
                Code::Busy,
                "the workspace is at the limit of its contract",
                after,
            ));
        }
        sleep(wait.max(MIN_PAUSE)).await;
    }
}
