//! Single writes, which are sent at most once.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{clock::Instant, name::MemberId, position::Position};
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::Platform,
    channel::{Attempt, is_idle},
    events::Event,
    model::{Answer, Code, Failure, TransactionState},
    node::Node,
    reads::{
        self, Floor, Request, capacity_wait, doubting, is_over, longest_patience, note_answer,
        note_outcome, note_retry, refuse, retry_pause, takes_work, wait_for_change,
    },
};

/// Time since the first unanswered question after which a primary gets no new writes.
const PRIMARY_SILENCE: Duration = Duration::from_millis(300);

/// The primary that may get a write now, unless it is being replaced.
pub fn primary<P>(node: &Node<P>, req: &Request, now: Instant) -> Option<MemberId>
where
    P: Platform,
{
    let state = node.group(&req.route.group)?;
    let view = state.view.borrow();
    let leader = view.leader(now)?;
    let silent = view.silent_for(&leader.member, now) >= PRIMARY_SILENCE;
    let usable = !leader.fenced && !silent && takes_work(node, &leader.member, true, now);
    usable.then_some(leader.member)
}

/// Runs a single write; returns the session's new floor with the answer when it was kept.
pub async fn run<P>(node: &Rc<Node<P>>, req: &Request) -> (Answer, Option<Floor>)
where
    P: Platform,
{
    loop {
        if is_over(node, req.arrived) {
            return (refuse(node, req, "the database has no primary"), None);
        }
        let Some(member) = primary(node, req, node.now()) else {
            wait_for_change(node, req).await;
            continue;
        };
        let attempt = attempt(node, req, &member).await;
        let busy = attempt.is_busy();
        if busy && node.now().since(req.arrived) >= capacity_wait(node, req) {
            return (refuse(node, req, "the primary is at capacity"), None);
        }
        match attempt {
            Attempt::Answered(answer) => {
                let floor = answer.position.filter(|_| answer.outcome.is_ok());
                let floor = floor.map(|position| Floor { position, at: node.now() });
                return (answer, floor);
            }
            Attempt::NotRun(code) => note_retry(node, &req.id, code.as_str(), &member),
            Attempt::Unreachable => note_retry(node, &req.id, "unreachable", &member),
            Attempt::Broken => return (unknown(node, req, &member), None),
        }
        if busy {
            sleep(retry_pause(node)).await;
        } else {
            wait_for_change(node, req).await;
        }
    }
}

async fn attempt<P>(node: &Node<P>, req: &Request, member: &MemberId) -> Attempt
where
    P: Platform,
{
    let limit = node.time_for(req.route.statement_timeout);
    let patience = longest_patience(node, req);
    let mut channel = match reads::open(node, req, member, patience).await {
        Ok(channel) => channel,
        Err(attempt) => return attempt,
    };
    let sent = node.now();
    let running = channel.run(node, req.run(None, limit, patience));
    let attempt = doubting(node, req, member, running).await;
    match attempt {
        Attempt::Answered(answer) if is_idle(&answer) => {
            note_write(node, req, true);
            if answer.outcome.is_ok() {
                note_commit(node, req, member, answer.position, sent);
            } else {
                note_answer(node, req, member, None, sent);
            }
            match answer.code() {
                Some(code) if code.is_promise() || code == Code::NoStatement => {
                    Attempt::NotRun(code)
                }
                _ => Attempt::Answered(answer),
            }
        }
        Attempt::Answered(_) | Attempt::Broken => {
            note_write(node, req, false);
            Attempt::Broken
        }
        other => other,
    }
}

/// Records whether a write or a commit of writes had an answer.
pub fn note_write<P>(node: &Node<P>, req: &Request, answered: bool)
where
    P: Platform,
{
    if let Some(state) = node.group(&req.route.group) {
        state.note_write(answered, node.now());
    }
}

fn unknown<P>(node: &Node<P>, req: &Request, member: &MemberId) -> Answer
where
    P: Platform,
{
    note_unknown(node, req, member, "write");
    let detail = "the member did not answer; read the item before sending the write again";
    Answer::failed(Failure::new(Code::Unknown, detail), TransactionState::Idle)
}

/// Records a commit that was sent at `sent` and acknowledged with the member's position.
pub fn note_commit<P>(
    node: &Node<P>,
    req: &Request,
    member: &MemberId,
    position: Option<Position>,
    sent: Instant,
) where
    P: Platform,
{
    let (Some(state), Some(position)) = (node.group(&req.route.group), position) else { return };
    state.view.borrow_mut().commit_acknowledged(member, position, sent);
    state.announce(Some(member), node.now());
}

/// Notes that it is not known whether a request ran.
pub fn note_unknown<P>(node: &Node<P>, req: &Request, member: &MemberId, what: &str)
where
    P: Platform,
{
    let inputs = json!({ "member": member.as_str(), "what": what });
    note_outcome(node, req, Event::RequestUnknown, inputs);
}
