//! Single writes. A write that may have run is not sent again.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{clock::Instant, name::MemberId, position::Position, return_time::Cause};
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::Platform,
    channel::{RunOutcome, is_idle},
    events::Event,
    model::{Answer, Code, Failure, TransactionState},
    node::Node,
    reads::accepts_work,
    request::{
        self, LastCommit, Purpose, Request, capacity_wait, hopeless_reason, is_past_deadline,
        log_outcome, max_connection_wait, poll_if_slow, record_answer, record_read_only,
        record_retry, refuse, retry_delay, wait_for_change,
    },
    urgency::Work,
};

/// Time since the first unanswered poll after which a primary gets no new writes.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(300);

/// The primary that may get a write now; `None` while it is being replaced, unresponsive, or past its drain time.
pub fn primary<P>(node: &Node<P>, req: &Request, now: Instant) -> Option<MemberId>
where
    P: Platform,
{
    let group = node.group(&req.route.group)?;
    let view = group.view.borrow();
    let leader = view.leader(now)?;
    let unresponsive = view.is_unresponsive(&leader.member, PRIMARY_TIMEOUT, now);
    let usable = !leader.fenced && !unresponsive && accepts_work(node, &leader.member, true, now);
    usable.then_some(leader.member)
}

/// Runs a single write; returns the answer, and the commit if the write was acknowledged with a position.
pub async fn run<P>(node: &Rc<Node<P>>, req: &Request) -> (Answer, Option<LastCommit>)
where
    P: Platform,
{
    loop {
        if is_past_deadline(node, req, req.arrived) {
            let reason = "the database has no primary";
            return (refuse(node, req, reason, Cause::Failover, None), None);
        }
        let Some(member) = primary(node, req, node.now()) else {
            if let Some(reason) = hopeless_reason(node, req, true) {
                return (refuse(node, req, reason, Cause::Failover, None), None);
            }
            wait_for_change(node, req).await;
            continue;
        };
        let outcome = try_member(node, req, &member).await;
        let busy = outcome.is_busy();
        let no_slot = outcome.no_slot();
        let is_hopeless = no_slot.is_some_and(|no_slot| no_slot.is_expected);
        if is_hopeless || busy && node.now().since(req.arrived) >= capacity_wait(node, req) {
            let reason = "the primary is at capacity";
            return (refuse(node, req, reason, Cause::Capacity, no_slot), None);
        }
        match outcome {
            RunOutcome::NoSlot(_) => {
                // The limit of the request is longer than that of one attempt. Its place follows from its arrival.
                record_retry(node, &req.id, "no_slot", &member);
                continue;
            }
            RunOutcome::Answered(answer) => {
                let position = answer.position.filter(|_| answer.outcome.is_ok());
                let last_commit = position.map(|position| LastCommit { position, at: node.now() });
                return (answer, last_commit);
            }
            RunOutcome::NotRun(code) => record_retry(node, &req.id, code.as_str(), &member),
            RunOutcome::Unreachable => record_retry(node, &req.id, "unreachable", &member),
            RunOutcome::ConnectionLost => return (unknown_outcome(node, req, &member), None),
        }
        if busy {
            sleep(retry_delay(node, req)).await;
        } else {
            wait_for_change(node, req).await;
        }
    }
}

async fn try_member<P>(node: &Node<P>, req: &Request, member: &MemberId) -> RunOutcome
where
    P: Platform,
{
    let purpose = Purpose {
        member,
        work: Work::Write,
        needs_primary: true,
        since: req.arrived,
        connection_wait: max_connection_wait(node, req),
        is_final: true,
    };
    let attempt = request::attempt(node, req, &purpose);
    let mut channel = match request::open(node, req, member, &attempt).await {
        Ok(channel) => channel,
        Err(outcome) => return outcome,
    };
    let limit = node.limit_to_deadline(req.route.statement_timeout);
    let sent = node.now();
    let running = channel.run(node, req.statement_run(None, limit, &attempt));
    let outcome = poll_if_slow(node, req, member, running).await;
    match outcome {
        RunOutcome::Answered(answer) if is_idle(&answer) => {
            record_write(node, req, true);
            if answer.outcome.is_ok() {
                if !record_commit(node, req, member, answer.position, sent) {
                    return RunOutcome::ConnectionLost;
                }
            } else {
                record_answer(node, req, member, None, sent);
            }
            if answer.code() == Some(Code::ReadOnly) {
                record_read_only(node, req, member, sent);
            }
            match answer.code() {
                Some(code) if code.is_safe_to_retry() || code == Code::NoStatement => {
                    RunOutcome::NotRun(code)
                }
                _ => RunOutcome::Answered(answer),
            }
        }
        RunOutcome::Answered(_) | RunOutcome::ConnectionLost => {
            record_write(node, req, false);
            RunOutcome::ConnectionLost
        }
        other => other,
    }
}

/// Records whether the primary answered a write or a commit of writes.
pub fn record_write<P>(node: &Node<P>, req: &Request, answered: bool)
where
    P: Platform,
{
    if let Some(group) = node.group(&req.route.group) {
        group.record_write(answered, node.now());
    }
}

fn unknown_outcome<P>(node: &Node<P>, req: &Request, member: &MemberId) -> Answer
where
    P: Platform,
{
    log_unknown(node, req, member, "write");
    let detail =
        "the member did not answer, or was replaced; read the item before sending the write again";
    Answer::failed(Failure::new(Code::Unknown, detail), TransactionState::Idle)
}

/// Records that `member` acknowledged a commit, which was sent at `sent`, with its position. Returns `false` if the commit
/// may be lost, because its term is being replaced; its outcome is then unknown.
pub fn record_commit<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    position: Option<Position>,
    sent: Instant,
) -> bool
where
    P: Platform,
{
    let (Some(group), Some(position)) = (node.group(&req.route.group), position) else {
        return true;
    };
    if group.view.borrow().refuses(position.term, node.now()) {
        return false;
    }
    let mut view = group.view.borrow_mut();
    view.commit_acknowledged(member, position, sent);
    view.commit_passed_on(position, sent, node.now());
    drop(view);
    group.record_answer(node.now());
    group.log_leader_change(Some(member), node.now());
    true
}

/// Logs that the outcome of a request is unknown; `kind` is `write` or `commit`.
pub fn log_unknown<P>(node: &Node<P>, req: &Request, member: &MemberId, kind: &str)
where
    P: Platform,
{
    let inputs = json!({ "member": member.as_str(), "what": kind });
    log_outcome(node, req, Event::RequestUnknown, inputs);
}
