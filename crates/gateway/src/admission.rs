//! Admission of operations against the rate and burst of their workspace.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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
use smol::future::FutureExt;

use crate::{
    adapter::Platform,
    in_flight::{InFlight, InFlightGuard},
    message::{Demand, TokenRequestMessage, TokenTransferMessage},
    messenger,
    metrics::Stage,
    model::{Code, Failure},
    node::Node,
    operation::NO_WORKSPACE,
    refusal::RefusedRequest,
    token_order::{TokenOrder, TokenPlace},
};

/// Divisor of an operation's target latency that gives its longest wait for tokens; a longer wait would make the
/// refusal late.
const WAIT_DIVISOR: u32 = 5;
/// Least total demand, in operations per second, with which a workspace is part of a status message.
const MIN_DEMAND: f64 = 0.01;
/// Time between two requests for tokens of a workspace; more than a round trip within a region.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Largest number of instances that get a request at once, if tokens accrue at this instance too.
const MAX_DONORS: usize = 3;
/// Least and largest weight of a workspace.
const WEIGHT_RANGE: (f64, f64) = (0.25, 4.0);

/// Waiting operations of a workspace, and the tokens that were requested for them.
#[derive(Debug, Default)]
struct Waiting {
    operations: InFlight,
    requested_at: Instant,
    /// Tokens that were requested since `requested_at` and have not arrived.
    outstanding: f64,
    /// Number of the round of requests; each round goes to the next donor.
    round: usize,
    /// Order in which the waiting operations take tokens; empty without priorities.
    order: TokenOrder,
}

/// An operation that is to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Operation<'a> {
    /// Id of the caller's request.
    pub id: &'a str,
    /// Workspace whose tokens it needs.
    pub workspace: &'a Workspace,
    /// Priority of its route.
    pub priority: u32,
    /// Time within which it is to be answered.
    pub target_latency: Duration,
    /// Time from its arrival after which an answer is of no more use.
    pub limit: Duration,
}

/// A request for tokens, with its receivers.
struct DonorRequest {
    /// Instances that get the request; empty while this instance does not know who has tokens, as for a workspace that
    /// was idle until now.
    donors: Vec<InstanceId>,
    /// Number of the round of requests.
    round: usize,
    request: TokenRequest,
}

/// Allotments of all workspaces at this instance.
#[derive(Debug, Default)]
pub struct Admission {
    allotments: HashMap<Workspace, Allotment>,
    waiting: HashMap<Workspace, Waiting>,
    /// Mean rate of all workspaces; 0 before the first configuration.
    mean_rate: f64,
    /// Notified when tokens may have arrived.
    changed: Rc<Notify>,
}

impl Admission {
    /// Updates the allotments from the configured limits and the part of this instance.
    pub fn configure(
        &mut self,
        limits: &BTreeMap<Workspace, Limits>,
        part: AllotmentPart,
        now: Instant,
    ) {
        let rates: f64 = limits.values().map(|limits| limits.rate).sum();
        self.mean_rate = rates / limits.len().max(1) as f64;
        self.allotments.retain(|workspace, _| limits.contains_key(workspace));
        self.waiting.retain(|workspace, waiting| {
            limits.contains_key(workspace) || waiting.operations.count() > 0
        });
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

    /// Admits an operation, or returns the time after which the next attempt may succeed.
    ///
    /// An operation counts as demand once, with its first attempt (`is_first`).
    ///
    /// # Errors
    ///
    /// The time until the next attempt; `None` for a workspace that is not configured.
    pub fn try_admit(
        &mut self,
        workspace: &Workspace,
        is_first: bool,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let allotment = self.allotments.get_mut(workspace).ok_or(None)?;
        let admitted = if is_first { allotment.try_admit(now) } else { allotment.retry_admit(now) };
        admitted.map_err(Some)
    }

    /// Weight of a workspace among those that wait for the same slots: the square root of its rate in relation to the mean
    /// rate. With weights as the rates themselves, small workspaces would lose most under overload.
    pub fn fair_weight(&self, workspace: &Workspace) -> f64 {
        let Some(allotment) = self.allotments.get(workspace) else { return 1.0 };
        let (least, largest) = WEIGHT_RANGE;
        let weight = (allotment.limits().rate / self.mean_rate).sqrt();
        if weight.is_finite() { weight.clamp(least, largest) } else { 1.0 }
    }

    /// Tokens of a workspace per second that come to this instance.
    fn token_rate(&self, workspace: &Workspace, now: Instant) -> f64 {
        self.allotments.get(workspace).map_or(0.0, |allotment| allotment.token_rate(now))
    }

    /// Whether an operation may take a token now; `place` is `None` for one that has just arrived.
    fn is_in_turn(
        &self,
        operation: &Operation<'_>,
        place: Option<&TokenPlace>,
        now: Instant,
    ) -> bool {
        let Some(waiting) = self.waiting.get(operation.workspace) else { return true };
        let allotment = self.allotments.get(operation.workspace);
        let tokens = allotment.map_or(0.0, |allotment| allotment.level(now));
        let target = now.plus(operation.target_latency);
        place.map_or_else(
            || waiting.order.may_pass(operation.priority, target, tokens),
            |place| waiting.order.is_in_turn(place, tokens),
        )
    }

    /// Adds this instance's part of `tokens`, which all instances together get for each workspace.
    pub fn grant(&mut self, tokens: &BTreeMap<Workspace, f64>, now: Instant) {
        for (workspace, tokens) in tokens {
            if let Some(allotment) = self.allotments.get_mut(workspace) {
                allotment.grant(*tokens, now);
            }
        }
    }

    /// State of a workspace's allotment, as fields of a log line; null for a workspace without an allotment.
    pub fn allotment_fields(&self, workspace: &Workspace, now: Instant) -> Value {
        self.allotments.get(workspace).map_or(Value::Null, |allotment| {
            let limits = allotment.limits();
            json!({
                "workspace": workspace.as_str(), "rate": limits.rate, "burst": limits.capacity,
                "tokens": allotment.level(now), "capacity": allotment.capacity(),
                "demand": allotment.demand(now),
                "demand_of_all": allotment.estimated_total_demand(now),
            })
        })
    }

    /// Records demand and tokens of another instance, and adds the tokens that it transfers.
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

    /// Adds the tokens that another instance transfers.
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

    /// Removes the tokens that another instance requests, as far as they are not needed here; returns their number.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "tokens need no more than the precision of f32"
    )]
    pub fn transfer_requested(&mut self, message: &TokenRequestMessage, now: Instant) -> f32 {
        let allotment = self.allotments.get_mut(&*message.workspace);
        allotment
            .map_or(0.0, |allotment| allotment.transfer_requested(message.request(), now) as f32)
    }

    /// Returns the demand of each workspace for a status message to `peer`, or of those in `demanded` only, and removes
    /// the tokens that the message transfers.
    pub fn advertise(
        &mut self,
        peer: &InstanceId,
        demanded: Option<&BTreeSet<Box<str>>>,
        now: Instant,
    ) -> Vec<Demand> {
        let is_demanded = |workspace: &Workspace| {
            demanded.is_none_or(|demanded| demanded.contains(workspace.as_str()))
        };
        let allotments = self.allotments.iter_mut().filter(|(workspace, _)| is_demanded(workspace));
        let demands = allotments.filter_map(|(workspace, allotment)| {
            let rate = allotment.advertised_demand(now);
            let total = allotment.total_demand(now);
            // Accruing instances know the total; a dependent one has news about its own demand only.
            let reported = if allotment.depends_on_others() { rate } else { total };
            if reported < MIN_DEMAND {
                return None;
            }
            let transfer = allotment.transfer_surplus(peer, now);
            Some(Demand::new(workspace, [rate, total, allotment.level(now), transfer]))
        });
        demands.collect()
    }

    /// Counts an operation that lets others go first; returns the time after which to try it.
    fn defer(&mut self, workspace: &Workspace, now: Instant) -> Result<(), Option<Duration>> {
        let allotment = self.allotments.get_mut(workspace).ok_or(None)?;
        Err(Some(allotment.defer(now)))
    }

    /// Counts a waiting operation for as long as the returned guard lives.
    fn begin_wait(&mut self, workspace: &Workspace) -> InFlightGuard {
        self.waiting.entry(workspace.clone()).or_default().operations.begin()
    }

    /// The request for tokens that is due while operations of `workspace` wait; `None` when enough tokens were
    /// requested within [`REQUEST_INTERVAL`].
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
            // Tokens beyond the need are lost here, so only one instance gets a request at a time.
            request.wanted -= waiting.outstanding;
            let index = waiting.round % donors.len().max(1);
            donors = donors.get(index).cloned().into_iter().collect();
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

/// Admits an operation, which may wait for tokens for a fraction of its target latency, and no longer than a stop of the instance
/// allows.
///
/// With priorities, the operations of a workspace take its tokens in the order of their urgency, and one that has just arrived
/// does not go before those that wait. A caller without a valid key belongs to no workspace, so no contract limits its
/// operations.
///
/// # Errors
///
/// The refusal, with the time after which the caller may try again.
pub async fn admit<P>(node: &Rc<Node<P>>, operation: &Operation<'_>) -> Result<(), Failure>
where
    P: Platform,
{
    let workspace = operation.workspace;
    if workspace.as_str() == NO_WORKSPACE {
        return Ok(());
    }
    let arrived = node.now();
    let longest = operation.target_latency / WAIT_DIVISOR;
    let changed = node.admission.borrow().changed.clone();
    let mut waiting: Option<WaitingPlace<P>> = None;
    loop {
        let tokens = changed.listen();
        let now = node.now();
        let wait = match try_in_turn(node, operation, waiting.as_ref(), now) {
            Ok(()) => {
                node.metrics.time(Stage::Admission, now.since(arrived));
                return Ok(());
            }
            Err(wait) => wait.unwrap_or(Duration::MAX),
        };
        let used = now.since(arrived);
        let left = node.limit_to_deadline(longest.saturating_sub(used));
        if left.is_zero() {
            let rate = node.admission.borrow().token_rate(workspace, now);
            let refused = RefusedRequest {
                id: operation.id,
                priority: operation.priority,
                used,
                limit: operation.limit,
            };
            let after = node.refusals.for_tokens(&refused, workspace, wait, rate, now);
            let reason = "the workspace is at the limit of its contract";
            return Err(Failure::retry_after(Code::Busy, reason, after));
        }
        let waiting = waiting.get_or_insert_with(|| WaitingPlace::new(node, operation, now));
        request_tokens(node, workspace, now);
        let wait = wait.min(REQUEST_INTERVAL).min(left);
        within(wait, tokens.or(waiting.first.listen())).await;
    }
}

/// Takes a token, unless others go first.
fn try_in_turn<P>(
    node: &Node<P>,
    operation: &Operation<'_>,
    waiting: Option<&WaitingPlace<P>>,
    now: Instant,
) -> Result<(), Option<Duration>>
where
    P: Platform,
{
    let workspace = operation.workspace;
    let mut admission = node.admission.borrow_mut();
    let place = waiting.and_then(|waiting| waiting.place.as_ref());
    let is_first_try = waiting.is_none();
    if !node.settings.priorities || admission.is_in_turn(operation, place, now) {
        return admission.try_admit(workspace, is_first_try, now);
    }
    if is_first_try {
        return admission.defer(workspace, now);
    }
    let rate = admission.token_rate(workspace, now);
    Err(Duration::try_from_secs_f64(1.0 / rate).ok())
}

/// An operation that waits for tokens, with its place among those of its workspace.
struct WaitingPlace<P>
where
    P: Platform,
{
    node: Rc<Node<P>>,
    workspace: Workspace,
    /// `None` without priorities.
    place: Option<TokenPlace>,
    /// Notified when the operation has become the first.
    first: Rc<Notify>,
    _counted: InFlightGuard,
}

impl<P> WaitingPlace<P>
where
    P: Platform,
{
    fn new(node: &Rc<Node<P>>, operation: &Operation<'_>, now: Instant) -> Self {
        let workspace = operation.workspace;
        let mut admission = node.admission.borrow_mut();
        let counted = admission.begin_wait(workspace);
        let target = now.plus(operation.target_latency);
        let order = admission.waiting.get_mut(workspace).map(|waiting| &mut waiting.order);
        let entered = order
            .filter(|_| node.settings.priorities)
            .map(|order| order.enter(operation.priority, target));
        let (place, first) =
            entered.map_or_else(Default::default, |(place, first)| (Some(place), first));
        let (node, workspace) = (node.clone(), workspace.clone());
        Self { node: node.clone(), workspace, place, first, _counted: counted }
    }
}

impl<P> Drop for WaitingPlace<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        let Some(place) = &self.place else { return };
        if let Some(waiting) = self.node.admission.borrow_mut().waiting.get_mut(&self.workspace) {
            waiting.order.leave(place);
        }
    }
}

fn request_tokens<P>(node: &Rc<Node<P>>, workspace: &Workspace, now: Instant)
where
    P: Platform,
{
    let donor_request = node.admission.borrow_mut().donor_request(workspace, now);
    let Some(DonorRequest { mut donors, round, request }) = donor_request else { return };
    if donors.is_empty() {
        donors = node.own_hubs();
        let index = round % donors.len().max(1);
        donors.rotate_left(index);
        donors.truncate(1);
    }
    messenger::request_tokens(node, workspace, &donors, request);
}
