//! A caller's request on its way to a member: waits, retries and outcomes that reads, writes and transactions share.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{MemberId, Workspace},
    position::Position,
    return_time::Cause,
    roster::FleetRole,
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::{Value, json};

use crate::{
    adapter::Platform,
    channel::{self, Channel, ChannelRequest, RunOutcome, StatementRun},
    directory::Route,
    events::{self, Event},
    metrics::Counter,
    model::{Answer, Code, Failure, TransactionState},
    node::Node,
    pool::Values,
    refusal::{Delay, RefusedRequest},
    tunnel::Payload,
    urgency::{CallUrgency, NoSlot, Work, micros, request_limit, work_kind},
};

/// Longest time for which a request may wait for a member that can run it, unless its limit is much longer.
const MEMBER_WAIT: Duration = Duration::from_millis(4500);
/// Part of a limit, as numerator and denominator, for which a request waits; the rest is left for running it, since a write that
/// is cut off has an unknown outcome.
const WAIT_PART: (u32, u32) = (3, 4);
/// Divisor of a statement's time limit that gives its longest wait for a slot of a holder; the rest of the limit is
/// left for running it.
const CONNECTION_WAIT_DIVISOR: u32 = 2;
/// Time without an answer after which a member is polled.
const POLL_AFTER: Duration = Duration::from_millis(220);
/// Delay before the members are tried again after none of them ran a request.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before holders without a free slot are tried again; several statements end meanwhile.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for a change of the group while no member can run a request.
const CHANGE_WAIT: Duration = Duration::from_millis(100);

/// Reason of a refusal for lack of a member in a data centre that is not evacuated.
const EVACUATED: &str = "the members that could run it are in evacuated data centres";
/// Reason of a refusal while a group without a primary waits for members that may have the latest commits alone.
const AWAITS_LOGS: &str = "members that may have the latest commits are down";

/// Latest acknowledged commit of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastCommit {
    /// Position that includes all commits of the session.
    pub position: Position,
    /// When the latest commit was acknowledged.
    pub at: Instant,
}

/// A caller's request with everything that is needed to run it at a member.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id of the request, chosen by the caller.
    pub id: Box<str>,
    /// Statement to run.
    pub payload: Payload,
    /// Workspace that the request runs for.
    pub workspace: Workspace,
    /// Values of the session.
    pub values: Rc<Values>,
    /// Route of the database.
    pub route: Rc<Route>,
    /// When the request arrived; for a transaction, when its begin arrived.
    pub arrived: Instant,
    /// Latest commit of the session; `None` before the first.
    pub last_commit: Option<LastCommit>,
}

impl Request {
    /// The request's statement with time limits: `limit` for running it, and that of `attempt` for a holder's wait for
    /// a connection.
    pub fn statement_run(
        &self,
        after: Option<Position>,
        limit: Duration,
        attempt: &Attempt,
    ) -> StatementRun<'_> {
        StatementRun {
            id: &self.id,
            payload: &self.payload,
            values: &self.values,
            after,
            limit,
            connection_wait: attempt.connection_wait,
            urgency: attempt.urgency,
        }
    }
}

/// One attempt to run a request at a member.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Longest wait for a connection to the member.
    pub connection_wait: Duration,
    /// Urgency in the queue of the member; `None` without priorities.
    pub urgency: Option<CallUrgency>,
}

/// What an attempt is made for.
#[derive(Debug, Clone, Copy)]
pub struct Purpose<'a> {
    /// Member that is to run the request.
    pub member: &'a MemberId,
    /// Work that the request does there.
    pub work: Work,
    /// Whether the request may run at a primary only.
    pub needs_primary: bool,
    /// Time from which the target and the limit of the request count.
    pub since: Instant,
    /// Longest wait for a connection to the member.
    pub connection_wait: Duration,
    /// Whether the caller is refused when there is no slot in that time.
    pub is_final: bool,
}

/// An attempt to run a request.
pub fn attempt<P>(node: &Node<P>, req: &Request, purpose: &Purpose<'_>) -> Attempt
where
    P: Platform,
{
    let Purpose { member, work, connection_wait, .. } = *purpose;
    if !node.settings.priorities {
        return Attempt { connection_wait, urgency: None };
    }
    let used = node.now().since(purpose.since);
    let left = request_limit(req.route.statement_timeout).saturating_sub(used);
    // The answer has a way to go.
    let round_trip = node.pool(member).map_or(Duration::ZERO, |pool| pool.round_trip());
    let urgency = CallUrgency {
        priority: req.route.priority,
        kind: work_kind(&req.route.database, work),
        target: micros(req.route.target_latency.saturating_sub(round_trip)),
        used: micros(used),
        left: micros(left),
        begins_transaction: work == Work::Begin,
        needs_primary: purpose.needs_primary,
        is_final: purpose.is_final,
    };
    Attempt { connection_wait: connection_wait.min(left), urgency: Some(urgency) }
}

/// Whether a request that has waited since `since` has to be refused now, because its wait or the instance ends.
pub fn is_past_deadline<P>(node: &Node<P>, req: &Request, since: Instant) -> bool
where
    P: Platform,
{
    let left = member_wait(node, req).saturating_sub(node.now().since(since));
    node.limit_to_deadline(left).is_zero()
}

/// Longest time for which a request may wait for a member that can run it.
fn member_wait<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if !node.settings.priorities {
        return MEMBER_WAIT;
    }
    let (numerator, denominator) = WAIT_PART;
    MEMBER_WAIT.max(request_limit(req.route.statement_timeout) * numerator / denominator)
}

/// Reason why no member will run the request in time, so that it is refused at once instead of waiting for one; `None` if one
/// may.
pub fn hopeless_reason<P>(
    node: &Node<P>,
    req: &Request,
    needs_primary: bool,
) -> Option<&'static str>
where
    P: Platform,
{
    let (group, now) = (&req.route.group, node.now());
    if node.blocked_by_evacuation(group, needs_primary, now).is_some() {
        node.evacuations.count_refusal();
        return Some(EVACUATED);
    }
    let group = node.group(group).filter(|_| needs_primary)?;
    group.awaits_logs(now).then_some(AWAITS_LOGS)
}

/// Logs and counts that a request is sent again.
pub fn record_retry<P>(node: &Node<P>, id: &str, cause: &'static str, member: &MemberId)
where
    P: Platform,
{
    node.metrics.count(Counter::Retries, cause);
    events::log(
        Event::RequestRetried,
        json!({ "request": id, "cause": cause, "member": member.as_str() }),
    );
}

/// Refuses a request that did not run, with the time after which the caller may try again. `no_slot` is the refusal of a
/// member's queue, if one is the reason.
pub fn refuse<P>(
    node: &Node<P>,
    req: &Request,
    reason: &'static str,
    cause: Cause,
    no_slot: Option<NoSlot>,
) -> Answer
where
    P: Platform,
{
    let delay = return_delay(node, req, cause, no_slot);
    log_outcome(node, req, Event::RequestRefused, refusal_fields(req, reason, delay, no_slot));
    let failure = Failure::retry_after(Code::Busy, reason, delay.after);
    Answer::failed(failure, TransactionState::Idle)
}

/// Fields of the log line of a refusal.
pub fn refusal_fields(req: &Request, reason: &str, delay: Delay, no_slot: Option<NoSlot>) -> Value {
    json!({
        "reason": reason, "cause": delay.cause.as_str(), "priority": req.route.priority,
        "retry_after_ms": events::millis(delay.after),
        "expected_wait_ms": no_slot.filter(|no_slot| no_slot.is_expected).map(|no_slot| no_slot.wait / 1000),
    })
}

/// Time after which the caller of a refused request may try again.
pub fn return_delay<P>(
    node: &Node<P>,
    req: &Request,
    cause: Cause,
    no_slot: Option<NoSlot>,
) -> Delay
where
    P: Platform,
{
    let now = node.now();
    let refused = RefusedRequest {
        id: &req.id,
        priority: req.route.priority,
        used: now.since(req.arrived),
        limit: request_limit(req.route.statement_timeout),
    };
    let service = node.service_time(&req.route.group);
    let after = match cause {
        Cause::Failover => {
            // Each instance refuses callers for the same primary.
            let instances = u32::try_from(node.topology().len()).unwrap_or(u32::MAX);
            let part = service.saturating_mul(instances) / node.slots(&req.route.group);
            // The replacement of an evacuated primary began with the evacuation, not with this request.
            let elapsed = node.blocked_by_evacuation(&req.route.group, true, now);
            let elapsed = elapsed.unwrap_or(refused.used);
            node.refusals.for_running_failover(&refused, &req.route.group, (elapsed, part), now)
        }
        _ => {
            let booked = no_slot.map(|no_slot| no_slot.return_after());
            node.refusals.for_capacity(&refused, booked, service)
        }
    };
    Delay { cause, after }
}

/// Logs the end of a request without success, with the fields of `inputs` and the state that the decision was based on.
pub fn log_outcome<P>(node: &Node<P>, req: &Request, event: Event, inputs: Value)
where
    P: Platform,
{
    let term = node.group(&req.route.group).map(|group| group.view.borrow().leader_term().0);
    let mut fields = json!({
        "request": req.id, "workspace": req.workspace.as_str(), "group": req.route.group.as_str(),
        "term": term, "version": node.version(),
        "waited_ms": crate::events::millis(node.now().since(req.arrived)),
    });
    events::extend(&mut fields, inputs);
    events::log(event, fields);
}

/// Waits for a change of the group of a request, at most for 100 ms.
pub async fn wait_for_change<P>(node: &Node<P>, req: &Request)
where
    P: Platform,
{
    match node.group(&req.route.group) {
        Some(group) => group.wait_for_change(CHANGE_WAIT).await,
        None => sleep(CHANGE_WAIT).await,
    }
}

/// Longest wait of one attempt for a connection to a busy member.
///
/// Without holders, an instance has few connections to a member, and one of them is soon returned. While a primary does
/// not answer, all of them are in use, and the request waits for the next primary.
pub fn max_connection_wait<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if node.settings.priorities {
        let (numerator, denominator) = WAIT_PART;
        return req.route.statement_timeout * numerator / denominator;
    }
    let holder_wait = req.route.statement_timeout / CONNECTION_WAIT_DIVISOR;
    if node.uses_holders(&req.route.group) { holder_wait } else { MEMBER_WAIT }
}

/// Time after its arrival at which a request is refused when no member has capacity for it.
pub fn capacity_wait<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if node.settings.priorities {
        return request_limit(req.route.statement_timeout);
    }
    if node.uses_holders(&req.route.group) { req.route.statement_timeout } else { MEMBER_WAIT }
}

/// Time after which a read that waits for a slot of a holder may be sent to a second member as well.
pub fn hedge_slot_wait<P>(node: &Node<P>, req: &Request, connection_wait: Duration) -> Duration
where
    P: Platform,
{
    let longest = req.route.statement_timeout / CONNECTION_WAIT_DIVISOR;
    if node.uses_holders(&req.route.group) { connection_wait.min(longest) } else { Duration::ZERO }
}

/// Delay before members without a free slot are tried again.
pub fn retry_delay<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if node.uses_holders(&req.route.group) { CAPACITY_RETRY_DELAY } else { RETRY_DELAY }
}

/// Opens a channel to `member` for a request, and requests a poll of the member when it cannot be reached.
///
/// # Errors
///
/// The outcome of the attempt when no channel can be opened.
pub async fn open<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    attempt: &Attempt,
) -> Result<Channel<P>, RunOutcome>
where
    P: Platform,
{
    let connection_wait = attempt.connection_wait.min(req.route.statement_timeout);
    let request = ChannelRequest {
        id: &req.id,
        workspace: &req.workspace,
        values: &req.values,
        urgency: attempt.urgency,
        until: node.now().plus(node.limit_to_deadline(connection_wait)),
    };
    let opening = channel::open(node, member, &request);
    // Pinned here, so that the future of each session has room for it once only.
    let opening = std::pin::pin!(opening);
    let opened = node.until_deadline(opening).await;
    let opened = opened.unwrap_or(Err(RunOutcome::NotRun(Code::Busy)));
    if matches!(opened, Err(RunOutcome::Unreachable)) {
        request_poll(node, req, member);
    }
    opened
}

/// Waits for the outcome of a statement that was sent, and requests a poll of the member when that takes long. A stop of
/// the instance ends the wait.
pub async fn poll_if_slow<P, F>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    running: F,
) -> RunOutcome
where
    P: Platform,
    F: Future<Output = RunOutcome>,
{
    let mut running = std::pin::pin!(running);
    if let Some(outcome) = within(POLL_AFTER, &mut running).await {
        return outcome;
    }
    request_poll(node, req, member);
    node.until_deadline(running).await.unwrap_or(RunOutcome::ConnectionLost)
}

fn request_poll<P>(node: &Node<P>, req: &Request, member: &MemberId)
where
    P: Platform,
{
    if let Some(group) = node.group(&req.route.group) {
        if node.role() == FleetRole::Follower {
            group.record_slow(member);
        } else {
            group.request_poll(member, node.now());
        }
    }
}

/// Records that `member` refused a request that was sent at `sent` because it is not the primary, and requests a poll of it.
/// Nothing else does where hubs still take it for the primary.
pub fn record_read_only<P>(node: &Node<P>, req: &Request, member: &MemberId, sent: Instant)
where
    P: Platform,
{
    let Some(group) = node.group(&req.route.group) else { return };
    group.view.borrow_mut().refused_as_replica(member, sent);
    group.log_leader_change(Some(member), node.now());
    if node.role() == FleetRole::Follower {
        group.record_slow(member);
    } else {
        group.poll_requested.borrow_mut().insert(member.clone());
    }
}

/// Records that `member` answered a request that was sent at `sent`.
pub fn record_answer<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    position: Option<Position>,
    sent: Instant,
) where
    P: Platform,
{
    if let Some(group) = node.group(&req.route.group) {
        group.view.borrow_mut().answered(member, position, sent);
        group.record_answer(node.now());
    }
}
