//! A caller's request on its way to a member: waits, retries and outcomes that reads, writes and transactions share.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{MemberId, Workspace},
    position::Position,
    roster::FleetRole,
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::{Value, json};

use crate::{
    adapter::Platform,
    channel::{self, Channel, RunOutcome, StatementRun},
    directory::Route,
    events::{self, Event},
    metrics::Counter,
    model::{Answer, Code, Failure, TransactionState},
    node::Node,
    pool::Values,
    tunnel::Payload,
};

/// Longest time for which a request may wait for a member that can run it.
pub const MEMBER_WAIT: Duration = Duration::from_millis(4500);
/// Divisor of a statement's time limit that gives its longest wait for a slot of a holder; the rest of the limit is
/// left for running it.
const CONNECTION_WAIT_DIVISOR: u32 = 2;
/// Time without an answer after which a member is polled.
const POLL_AFTER: Duration = Duration::from_millis(220);
/// Delay before the members are tried again after none of them ran a request.
pub const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before holders without a free slot are tried again; several statements end meanwhile.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a refused caller may try again; about half the duration of a failover.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for a change of the group while no member can run a request.
const CHANGE_WAIT: Duration = Duration::from_millis(100);

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
    /// The request's statement with time limits: `limit` for running it, and `connection_wait` for a holder's wait for
    /// a connection.
    pub fn statement_run(
        &self,
        after: Option<Position>,
        limit: Duration,
        connection_wait: Duration,
    ) -> StatementRun<'_> {
        StatementRun {
            id: &self.id,
            payload: &self.payload,
            values: &self.values,
            after,
            limit,
            connection_wait,
        }
    }
}

/// Whether a request that has waited since `since` has to be refused now, because its wait or the instance ends.
pub fn is_past_deadline<P>(node: &Node<P>, since: Instant) -> bool
where
    P: Platform,
{
    let left = MEMBER_WAIT.saturating_sub(node.now().since(since));
    node.limit_to_deadline(left).is_zero()
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

/// Refuses a request that did not run, with the time after which the caller may try again.
pub fn refuse<P>(node: &Node<P>, req: &Request, reason: &'static str) -> Answer
where
    P: Platform,
{
    log_outcome(node, req, Event::RequestRefused, json!({ "reason": reason }));
    let failure = Failure::retry_after(Code::Busy, reason, RETRY_AFTER);
    Answer::failed(failure, TransactionState::Idle)
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
    let holder_wait = req.route.statement_timeout / CONNECTION_WAIT_DIVISOR;
    if node.uses_holders(&req.route.group) { holder_wait } else { MEMBER_WAIT }
}

/// Time after its arrival at which a request is refused when no member has capacity for it.
pub fn capacity_wait<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if node.uses_holders(&req.route.group) { req.route.statement_timeout } else { MEMBER_WAIT }
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
    connection_wait: Duration,
) -> Result<Channel<P>, RunOutcome>
where
    P: Platform,
{
    let until =
        node.now().plus(node.limit_to_deadline(connection_wait.min(req.route.statement_timeout)));
    let opening = channel::open(node, member, &req.workspace, &req.values, until);
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
