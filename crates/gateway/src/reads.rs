//! Single reads: choice of the member, retries and hedging.

use std::{rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use hibiscusladder_core::{
    clock::Instant,
    membership,
    name::{MemberId, Workspace},
    position::Position,
};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::{Value, json};

use crate::{
    adapter::Platform,
    channel::{self, Attempt, Channel, Run, is_idle},
    directory::{Consistency, Route},
    events::{self, Event},
    metrics::Counter,
    model::{Answer, Code, Failure, TransactionState},
    node::Node,
    pool::{OPENING_S, Values},
    tunnel::Payload,
};

/// Longest time for which a request waits for a member that can run it.
pub const MEMBER_WAIT: Duration = Duration::from_millis(4500);
/// Wait for a slot of a busy member after which another member is tried; a few statements.
const FIRST_PATIENCE: Duration = Duration::from_millis(40);
/// Part of a statement's time limit for which a holder lets it wait for a slot; the rest is for running it.
const PATIENCE_PART: u32 = 2;
/// Time without an answer after which a read is sent to a second member as well.
const HEDGE_AFTER: Duration = Duration::from_millis(250);
/// Time without an answer after which a member is polled.
const DOUBT_AFTER: Duration = Duration::from_millis(220);
/// Pause before members are tried again that could not run a request a moment ago.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Pause before holders are asked again that had too many requests waiting; several statements end meanwhile.
const CAPACITY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a refused caller is told to come back; about half of a change of primary.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest sleep while no member can run a request.
const CHANGE_WAIT: Duration = Duration::from_millis(100);
/// Time since the first unanswered poll after which a replica gets no reads.
const REPLICA_SILENCE: Duration = Duration::from_millis(500);
/// Part of the drain time for which a leaving primary still gets work.
const DRAIN_PART: (u32, u32) = (3, 4);

/// The newest commit of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Floor {
    /// Position that includes it.
    pub position: Position,
    /// When it was acknowledged.
    pub at: Instant,
}

/// A request with all that is needed to run it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id, chosen by the caller.
    pub id: Box<str>,
    /// What to run.
    pub payload: Payload,
    /// Workspace that it runs for.
    pub workspace: Workspace,
    /// Values of the session.
    pub values: Rc<Values>,
    /// Route of the database.
    pub route: Rc<Route>,
    /// When it had arrived, or its transaction had begun.
    pub arrived: Instant,
    /// Newest commit of the session.
    pub floor: Option<Floor>,
}

impl Request {
    /// The request's statement for a connection, for which a holder waits for `patience` at most.
    pub fn run(&self, after: Option<Position>, limit: Duration, patience: Duration) -> Run<'_> {
        Run { id: &self.id, payload: &self.payload, values: &self.values, after, limit, patience }
    }
}

/// Where a read may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The member.
    pub member: MemberId,
    /// Position that its log has to include.
    pub after: Option<Position>,
    /// Whether it is the primary.
    pub primary: bool,
}

/// The members that may run a read, best first.
pub fn choices<P>(node: &Node<P>, req: &Request) -> Vec<Choice>
where
    P: Platform,
{
    let Some(state) = node.group(&req.route.group) else { return Vec::new() };
    let now = node.now();
    let view = state.view.borrow();
    let consistency = req.route.consistency;
    let oldest = earlier(req.arrived, consistency.max_age());
    let own = match consistency {
        Consistency::ReadYourWrites(_) => req.floor,
        Consistency::Primary | Consistency::Bounded(_) => None,
    };
    let leader = view.leader(now);
    let mut choices: Vec<(f64, Choice)> = Vec::new();
    if let Some(leader) = &leader {
        let certain = view.leader_proven_until(now).is_some_and(|until| oldest < until);
        let has_own = own.is_none_or(|own| own.position.term <= leader.term);
        let reachable = view.silent_for(&leader.member, now) < REPLICA_SILENCE;
        if certain && has_own && reachable && takes_work(node, &leader.member, true, now) {
            push(node, req, &mut choices, &leader.member, None, true);
        }
    }
    let bound = match consistency {
        Consistency::Primary => None,
        Consistency::Bounded(_) | Consistency::ReadYourWrites(_) => view.position_at(oldest, now),
    };
    if let Some(bound) = bound {
        let after = own.map_or(bound.position, |own| own.position.max(bound.position));
        // The newest commit that the replica has to have applied was made at this time.
        let newest = own.map_or(bound.sent, |own| own.at.max(bound.sent));
        for member in view.members() {
            let lag = view.status(member).map_or(Duration::ZERO, |status| status.lag);
            let is_leader = leader.as_ref().is_some_and(|leader| leader.member == *member);
            let applied = lag <= now.since(newest);
            let reachable = view.silent_for(member, now) < REPLICA_SILENCE;
            if !is_leader && applied && reachable && takes_work(node, member, false, now) {
                push(node, req, &mut choices, member, Some(after), false);
            }
        }
    }
    drop(view);
    prefer_one_replica(node, req, &mut choices);
    choices.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    choices.into_iter().map(|(_, choice)| choice).collect()
}

/// Sends a workspace's reads to one replica where other instances hold the connections, so that these are used again.
fn prefer_one_replica<P>(node: &Node<P>, req: &Request, choices: &mut [(f64, Choice)])
where
    P: Platform,
{
    if node.topology().is_flat() {
        return;
    }
    let weight = |member: &MemberId| membership::weight(&[req.workspace.as_str()], member.as_str());
    let replicas = || choices.iter().filter(|(_, choice)| !choice.primary);
    let preferred = replicas().map(|(_, choice)| weight(&choice.member)).max();
    for (expected, choice) in choices.iter_mut() {
        if !choice.primary && Some(weight(&choice.member)) != preferred {
            *expected += OPENING_S;
        }
    }
}

fn push<P>(
    node: &Node<P>,
    req: &Request,
    choices: &mut Vec<(f64, Choice)>,
    member: &MemberId,
    after: Option<Position>,
    primary: bool,
) where
    P: Platform,
{
    let Some(pool) = node.pool(member) else { return };
    let now = node.now();
    // A replica that lags is left out unless the session has nothing else; the primary cannot lag.
    if !primary && pool.is_lagging(now) {
        return;
    }
    let expected = pool.expected_s(&req.workspace, now);
    choices.push((expected, Choice { member: member.clone(), after, primary }));
}

/// Whether new work may be given to a member. A leaving primary serves until it is replaced, for a part of the time.
pub fn takes_work<P>(node: &Node<P>, member: &MemberId, primary: bool, now: Instant) -> bool
where
    P: Platform,
{
    let (part, whole) = DRAIN_PART;
    let limit = node.settings.drain * part / whole;
    node.member(member).is_some_and(|known| match known.leaving_since {
        None => true,
        Some(since) => primary && now.since(since) < limit,
    })
}

/// The instant `by` before `at`.
fn earlier(at: Instant, by: Duration) -> Instant {
    Instant::new(at.since_origin().saturating_sub(by))
}

/// Runs a single read, at other members if necessary.
pub async fn run<P>(node: &Rc<Node<P>>, req: &Rc<Request>) -> Answer
where
    P: Platform,
{
    let mut avoid: Vec<MemberId> = Vec::new();
    let mut offered = false;
    let mut busy = false;
    let mut patience = longest_patience(node, req).min(FIRST_PATIENCE);
    loop {
        let now = node.now();
        if is_over(node, req.arrived) {
            let reason = if offered { "no member answered" } else { "no member with recent data" };
            return refuse(node, req, reason);
        }
        let mut choices = choices(node, req);
        if choices.is_empty() {
            wait_for_change(node, req).await;
            continue;
        }
        choices.retain(|choice| !avoid.contains(&choice.member));
        let Some(choice) = choices.first() else {
            if busy && now.since(req.arrived) >= capacity_wait(node, req) {
                return refuse(node, req, "the members are at capacity");
            }
            avoid.clear();
            let first_round = patience < longest_patience(node, req);
            patience = longest_patience(node, req);
            sleep(if first_round { RETRY_PAUSE } else { retry_pause(node) }).await;
            continue;
        };
        offered = true;
        let second = choices.get(1);
        let (attempt, member) = attempt_hedged(node, req, choice, second, patience).await;
        busy = attempt.is_busy();
        if let Some(answer) = settle(node, req, attempt, &member) {
            return answer;
        }
        avoid.push(member);
    }
}

/// Whether a request that began to wait at `since` has to get its final answer now.
pub fn is_over<P>(node: &Node<P>, since: Instant) -> bool
where
    P: Platform,
{
    let left = MEMBER_WAIT.saturating_sub(node.now().since(since));
    node.time_for(left).is_zero()
}

/// The final answer that an attempt gives, if it gives one.
fn settle<P>(node: &Node<P>, req: &Request, attempt: Attempt, member: &MemberId) -> Option<Answer>
where
    P: Platform,
{
    let cause = match attempt {
        Attempt::Answered(answer) => match answer.code() {
            Some(code) if is_repeatable(code) => code.as_str(),
            _ => return Some(answer),
        },
        Attempt::NotRun(code) => code.as_str(),
        Attempt::Unreachable => "unreachable",
        Attempt::Broken => "broken",
    };
    note_retry(node, &req.id, cause, member);
    None
}

/// Whether a read that was answered with `code` may succeed elsewhere.
const fn is_repeatable(code: Code) -> bool {
    code.is_promise() || matches!(code, Code::Failed | Code::NoStatement)
}

/// Notes that a request is sent again.
pub fn note_retry<P>(node: &Node<P>, id: &str, cause: &'static str, member: &MemberId)
where
    P: Platform,
{
    node.metrics.count(Counter::Retries, cause);
    events::note(
        Event::RequestRetried,
        json!({ "request": id, "cause": cause, "member": member.as_str() }),
    );
}

/// Refuses a request that did not run, and says when to come back.
pub fn refuse<P>(node: &Node<P>, req: &Request, reason: &'static str) -> Answer
where
    P: Platform,
{
    note_outcome(node, req, Event::RequestRefused, json!({ "reason": reason }));
    let failure = Failure::retry_after(Code::Busy, reason, RETRY_AFTER);
    Answer::failed(failure, TransactionState::Idle)
}

/// Notes the end of a request without success, with `inputs` and what is believed about its group.
pub fn note_outcome<P>(node: &Node<P>, req: &Request, event: Event, inputs: Value)
where
    P: Platform,
{
    let term = node.group(&req.route.group).map(|state| state.view.borrow().leader_term().0);
    let mut fields = json!({
        "request": req.id, "workspace": req.workspace.as_str(), "group": req.route.group.as_str(),
        "term": term, "version": node.version(),
        "waited_ms": crate::events::millis(node.now().since(req.arrived)),
    });
    events::extend(&mut fields, inputs);
    events::note(event, fields);
}

/// Waits until something has changed about the group of a request, or for a moment.
pub async fn wait_for_change<P>(node: &Node<P>, req: &Request)
where
    P: Platform,
{
    match node.group(&req.route.group) {
        Some(state) => state.changed(CHANGE_WAIT).await,
        None => sleep(CHANGE_WAIT).await,
    }
}

type Outcome = (Attempt, MemberId);

/// Sends a read to a second member when the first one does not answer; the first whole answer counts.
async fn attempt_hedged<P>(
    node: &Rc<Node<P>>,
    req: &Rc<Request>,
    first: &Choice,
    second: Option<&Choice>,
    patience: Duration,
) -> Outcome
where
    P: Platform,
{
    let mut running = boxed_attempt(node, req, first, patience);
    let Some(second) = second else { return running.await };
    // A read that waits for a slot at a holder is not sent to a second member.
    let waits = if node.topology().is_flat() { Duration::ZERO } else { patience };
    if let Some(outcome) = within(HEDGE_AFTER + waits, &mut running).await {
        return outcome;
    }
    note_retry(node, &req.id, "slow", &first.member);
    let hedge = boxed_attempt(node, req, second, patience);
    let (outcome, other) = match futures::future::select(running, hedge).await {
        futures::future::Either::Left(ended) | futures::future::Either::Right(ended) => ended,
    };
    if !matches!(outcome.0, Attempt::Answered(_)) {
        return other.await;
    }
    // The slower member finishes, so that its connection can be used again.
    node.spawn(other.map(|_| ()));
    outcome
}

fn boxed_attempt<P>(
    node: &Rc<Node<P>>,
    req: &Rc<Request>,
    choice: &Choice,
    patience: Duration,
) -> LocalBoxFuture<'static, Outcome>
where
    P: Platform,
{
    let (node, req, choice) = (node.clone(), req.clone(), choice.clone());
    async move {
        let attempt = attempt(&node, &req, &choice, patience).await;
        (attempt, choice.member)
    }
    .boxed_local()
}

async fn attempt<P>(node: &Node<P>, req: &Request, choice: &Choice, patience: Duration) -> Attempt
where
    P: Platform,
{
    let limit = node.time_for(req.route.statement_timeout);
    let mut channel = match open(node, req, &choice.member, patience).await {
        Ok(channel) => channel,
        Err(attempt) => return attempt,
    };
    let sent = node.now();
    let running = channel.run(node, req.run(choice.after, limit, patience));
    match doubting(node, req, &choice.member, running).await {
        Attempt::Answered(answer) if is_idle(&answer) => {
            note_answer(node, req, &choice.member, answer.position, sent);
            if let Some(pool) = node.pool(&choice.member) {
                pool.note_lagging(answer.code() == Some(Code::Lagging), node.now());
            }
            Attempt::Answered(answer)
        }
        Attempt::Answered(_) => Attempt::Broken,
        other => other,
    }
}

/// Longest wait of one attempt for a busy member.
///
/// Where an instance has few connections of its own, one is soon given back; while a primary is dark all of them are
/// in use, and its successor will serve.
pub fn longest_patience<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    let part = req.route.statement_timeout / PATIENCE_PART;
    if node.topology().is_flat() { MEMBER_WAIT } else { part }
}

/// Time from its arrival after which a request is refused when no member has a slot for it.
pub fn capacity_wait<P>(node: &Node<P>, req: &Request) -> Duration
where
    P: Platform,
{
    if node.topology().is_flat() { MEMBER_WAIT } else { req.route.statement_timeout }
}

/// Pause before members are tried again that had no slot for a request.
pub fn retry_pause<P>(node: &Node<P>) -> Duration
where
    P: Platform,
{
    if node.topology().is_flat() { RETRY_PAUSE } else { CAPACITY_PAUSE }
}

/// Opens a way to `member` for a request.
///
/// # Errors
///
/// The attempt's outcome when there is none.
pub async fn open<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    patience: Duration,
) -> Result<Channel<P>, Attempt>
where
    P: Platform,
{
    let until = node.now().plus(node.time_for(patience.min(req.route.statement_timeout)));
    let opened = channel::open(node, member, &req.workspace, &req.values, until).await;
    if matches!(opened, Err(Attempt::Unreachable)) {
        doubt(node, req, member);
    }
    opened
}

/// Waits for `answer`, and has the member polled when it takes long.
pub async fn doubting<P, F>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    answer: F,
) -> F::Output
where
    P: Platform,
    F: Future,
{
    let mut answer = std::pin::pin!(answer);
    if let Some(answer) = within(DOUBT_AFTER, &mut answer).await {
        return answer;
    }
    doubt(node, req, member);
    answer.await
}

fn doubt<P>(node: &Node<P>, req: &Request, member: &MemberId)
where
    P: Platform,
{
    if let Some(state) = node.group(&req.route.group) {
        state.doubt(member);
    }
}

/// Records that `member` answered a request that was sent at `sent`.
pub fn note_answer<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    position: Option<Position>,
    sent: Instant,
) where
    P: Platform,
{
    if let Some(state) = node.group(&req.route.group) {
        state.view.borrow_mut().answered(member, position, sent);
    }
}
