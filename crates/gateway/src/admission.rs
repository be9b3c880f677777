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
    share::{Allotment, AllotmentPart, Limits, TokenRequest},
};
use hibiscusladder_io::clock::within;
use serde_json::{Value, json};

use crate::{
    adapter::Platform,
    in_flight::{InFlight, InFlightGuard},
    message::{Demand, TokenRequestMessage, TokenTransferMessage},
    messenger,
    metrics::Stage,
    model::{Code, Failure},
    node::Node,
    operation::NO_WORKSPACE,
};

/// Part of the target time of an operation for which it may wait for its allotment; a longer wait would make the
/// refusal late.
const WAIT_DIVISOR: u32 = 5;
/// Demand in operations per second below which a workspace is not named in messages.
const MIN_DEMAND: f64 = 0.01;
/// Time between two requests for tokens of a workspace; more than a round trip within a region.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Instances that are asked at once for tokens that accrue at all of them.
const MAX_DONORS: usize = 3;
/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Operations of a workspace that wait, and the tokens that were asked for.
#[derive(Debug, Default)]
struct Waiting {
    operations: InFlight,
    requested_at: Instant,
    /// Tokens asked for since `requested_at` that have not come.
    outstanding: f64,
    /// Number of rounds of questions, which go to one lender after the other.
    round: usize,
}

/// A question for tokens.
struct DonorRequest {
    /// Who is asked; empty when nothing is known yet of a workspace that was idle until now.
    donors: Vec<InstanceId>,
    /// Number of the round of questions.
    round: usize,
    request: TokenRequest,
}

/// Allotments of all workspaces at one instance.
#[derive(Debug, Default)]
pub struct Admission {
    allotments: HashMap<Workspace, Allotment>,
    waiting: HashMap<Workspace, Waiting>,
    /// Notified when tokens have come.
    changed: Rc<Notify>,
}

impl Admission {
    /// Brings the allotments in line with the configured limits and the part of this instance.
    pub fn configure(
        &mut self,
        limits: &BTreeMap<Workspace, Limits>,
        part: AllotmentPart,
        now: Instant,
    ) {
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
        let admitted = if first { allotment.try_admit(now) } else { allotment.retry_admit(now) };
        admitted.map_err(Some)
    }

    /// Adds this instance's part of the operations that `tokens` grants each workspace.
    pub fn grant(&mut self, tokens: &BTreeMap<Workspace, f64>, now: Instant) {
        for (workspace, tokens) in tokens {
            if let Some(allotment) = self.allotments.get_mut(workspace) {
                allotment.grant(*tokens, now);
            }
        }
    }

    /// What decides about a workspace's operations here, for the log.
    pub fn allotment_fields(&self, workspace: &Workspace, now: Instant) -> Value {
        self.allotments.get(workspace).map_or(Value::Null, |allotment| {
            let limits = allotment.limits();
            json!({
                "workspace": workspace.as_str(), "rate": limits.rate, "burst": limits.capacity,
                "tokens": allotment.level(now), "capacity": allotment.capacity(),
                "demand": allotment.demand(now), "demand_of_all": allotment.known_total(now),
            })
        })
    }

    /// Records what another instance needs and has, and takes what it passes on.
    pub fn record_peer(
        &mut self,
        peer: &InstanceId,
        demands: &[Demand],
        is_hub: bool,
        now: Instant,
    ) {
        for demand in demands {
            let Some(allotment) = self.allotments.get_mut(&*demand.workspace) else { continue };
            allotment.record_peer(peer, demand.rate.into(), demand.level.into(), is_hub, now);
            allotment.record_total(demand.total.into(), now);
            allotment.receive(demand.transfer.into(), now);
        }
        self.changed.notify(usize::MAX);
    }

    /// Takes tokens that another instance passes on.
    pub fn receive(&mut self, transfer: &TokenTransferMessage, now: Instant) {
        let tokens = f64::from(transfer.tokens);
        if let Some(allotment) = self.allotments.get_mut(&*transfer.workspace) {
            allotment.receive(tokens, now);
        }
        if let Some(waiting) = self.waiting.get_mut(&*transfer.workspace) {
            waiting.outstanding = (waiting.outstanding - tokens).max(0.0);
            self.changed.notify(usize::MAX);
        }
    }

    /// Removes tokens that another instance asks for.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more than the precision of f32"
    )]
    pub fn transfer_requested(&mut self, message: &TokenRequestMessage, now: Instant) -> f32 {
        let allotment = self.allotments.get_mut(&*message.workspace);
        allotment
            .map_or(0.0, |allotment| allotment.transfer_requested(message.request(), now) as f32)
    }

    /// What `peer` is told, with the tokens that are passed on to it.
    pub fn advertise(&mut self, peer: &InstanceId, now: Instant) -> Vec<Demand> {
        let demands = self.allotments.iter_mut().filter_map(|(workspace, allotment)| {
            let rate = allotment.advertised_demand(now);
            let total = allotment.total_demand(now);
            if total < MIN_DEMAND {
                return None;
            }
            let transfer = allotment.transfer_surplus(peer, now);
            Some(Demand::new(workspace, [rate, total, allotment.level(now), transfer]))
        });
        demands.collect()
    }

    /// Counts an operation that waits, for as long as the returned guard lives.
    fn wait(&mut self, workspace: &Workspace) -> InFlightGuard {
        self.waiting.entry(workspace.clone()).or_default().operations.begin()
    }

    /// What to ask others for while operations of `workspace` wait, unless it was asked for a moment ago.
    fn donor_request(&mut self, workspace: &Workspace, now: Instant) -> Option<DonorRequest> {
        let allotment = self.allotments.get(workspace)?;
        let waiting = self.waiting.get_mut(workspace)?;
        let may_request = now.since(waiting.requested_at) >= REQUEST_INTERVAL;
        if may_request {
            waiting.requested_at = now;
            waiting.outstanding = 0.0;
            waiting.round += 1;
        }
        let mut request = allotment.request(waiting.operations.count(), now);
        let mut donors = allotment.donors(now);
        if allotment.depends_on_others() {
            // What comes beyond the need is lost, so one instance is asked at a time.
            request.wanted -= waiting.outstanding;
            let turn = waiting.round % donors.len().max(1);
            donors = donors.get(turn).cloned().into_iter().collect();
        } else if !may_request {
            return None;
        }
        if request.wanted < request.least || request.wanted <= 0.0 {
            return None;
        }
        waiting.outstanding += request.wanted;
        donors.truncate(MAX_DONORS);
        Some(DonorRequest { donors, round: waiting.round, request })
    }
}

/// Admits an operation of `workspace`, which may wait for a part of `target`.
///
/// A caller without a key belongs to no workspace, so no contract limits it.
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
    if workspace.as_str() == NO_WORKSPACE {
        return Ok(());
    }
    let arrived = node.now();
    let until = arrived.plus(target / WAIT_DIVISOR);
    let changed = node.admission.borrow().changed.clone();
    let mut waits = None;
    loop {
        let tokens = changed.listen();
        let now = node.now();
        let first = waits.is_none();
        let wait = match node.admission.borrow_mut().try_admit(workspace, first, now) {
            Ok(()) => {
                node.metrics.time(Stage::Admission, now.since(arrived));
                return Ok(());
            }
            Err(wait) => wait.unwrap_or(Duration::MAX),
        };
        if now >= until {
            let (shortest, longest) = RETRY_AFTER;
            return Err(Failure::retry_after(
                Code::Busy,
                "the workspace is at the limit of its contract",
                wait.clamp(shortest, longest),
            ));
        }
        waits.get_or_insert_with(|| node.admission.borrow_mut().wait(workspace));
        request_tokens(node, workspace, now);
        within(wait.min(REQUEST_INTERVAL).min(until.since(now)), tokens).await;
    }
}

fn request_tokens<P>(node: &Rc<Node<P>>, workspace: &Workspace, now: Instant)
where
    P: Platform,
{
    let donor_request = node.admission.borrow_mut().donor_request(workspace, now);
    let Some(DonorRequest { mut donors, round, request }) = donor_request else { return };
    if donors.is_empty() {
        donors = messenger::other_regional_hubs(node);
        let turn = round % donors.len().max(1);
        donors.rotate_left(turn);
        donors.truncate(1);
    }
    messenger::request_tokens(node, workspace, &donors, request);
}
