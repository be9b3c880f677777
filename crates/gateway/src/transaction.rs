//! A caller's transaction, which holds one connection from its first statement to its end.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::name::MemberId;
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::Platform,
    channel::{Attempt, Channel, Run, is_idle},
    events::{self, Event},
    model::{Answer, Code, Failure, Query, TransactionState},
    node::Node,
    pool::Values,
    reads::{
        self, Choice, Floor, Request, capacity_wait, choices, doubting, is_over, longest_patience,
        note_answer, note_retry, retry_pause, wait_for_change,
    },
    tunnel::Payload,
    writes::{self, note_commit, note_unknown, note_write},
};

/// Causes for which a member that lives did not begin a transaction.
const BUSY_CAUSES: [&str; 2] = [Code::Busy.as_str(), Code::TooMany.as_str()];

/// A transaction that the caller has begun.
pub struct Transaction<P>
where
    P: Platform,
{
    /// The request with which it began; its time of arrival decides what its reads have to see.
    pub request: Request,
    /// Whether it only reads.
    pub read_only: bool,
    /// The member and the way to it, from the first statement on.
    channel: Option<(MemberId, Channel<P>)>,
    wrote: bool,
}

impl<P> Transaction<P>
where
    P: Platform,
{
    /// A transaction that no member knows of yet.
    pub const fn new(request: Request, read_only: bool) -> Self {
        Self { request, read_only, channel: None, wrote: false }
    }

    /// Runs a read or a write.
    pub async fn run(
        &mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
        payload: &Payload,
        writes: bool,
    ) -> Answer {
        let failed = TransactionState::Failed;
        if let Err(failure) = self.begin(node, values, id).await {
            return Answer::failed(failure, failed);
        }
        self.wrote |= writes;
        match self.send(node, values, id, payload).await {
            Attempt::Answered(answer) if !is_idle(&answer) => {
                if answer.outcome.is_err() {
                    self.abandon(node, None);
                    return Answer { state: failed, ..answer };
                }
                answer
            }
            Attempt::Broken => Answer::failed(self.lose(node, id, "no whole answer"), failed),
            _ => Answer::failed(self.lose(node, id, "the connection broke"), failed),
        }
    }

    /// Commits, and returns the session's new floor with the answer when something was kept.
    pub async fn commit(
        mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
        text: &str,
    ) -> (Answer, Option<Floor>) {
        let idle = TransactionState::Idle;
        if let Err(failure) = self.begin(node, values, id).await {
            return (Answer::failed(failure, idle), None);
        }
        let sent = node.now();
        let payload = Payload::Text(text.into());
        let attempt = self.send(node, values, id, &payload).await;
        if self.wrote {
            note_write(node, &self.request, matches!(attempt, Attempt::Answered(_)));
        }
        match attempt {
            Attempt::Answered(answer) if is_idle(&answer) => {
                let kept = self.wrote && answer.outcome.is_ok();
                if let Some(member) = self.member().filter(|_| kept) {
                    note_commit(node, &self.request, &member, answer.position, sent);
                }
                let floor = answer.position.filter(|_| kept);
                (answer, floor.map(|position| Floor { position, at: node.now() }))
            }
            // Nothing of the commit was sent, or there is nothing to keep.
            Attempt::NotRun(_) | Attempt::Unreachable => {
                (Answer::failed(self.lose(node, id, "the commit was not sent"), idle), None)
            }
            _ if !self.wrote => {
                let failure = self.lose(node, id, "no answer to the commit of reads");
                (Answer::failed(failure, idle), None)
            }
            _ => (self.unknown(node), None),
        }
    }

    /// Rolls back in the background, because the caller asked for it with `query` or without being asked.
    pub fn abandon(&mut self, node: &Node<P>, query: Option<&Query>) {
        let Some((_, channel)) = self.channel.take() else { return };
        let request = query.map(|query| (query.id.clone(), query.text.clone()));
        node.spawn(channel.rollback(request));
    }

    async fn send(
        &mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
        payload: &Payload,
    ) -> Attempt {
        let limit = node.time_for(self.request.route.statement_timeout);
        let Some((member, channel)) = &mut self.channel else { return Attempt::Unreachable };
        let sent = node.now();
        let running = channel
            .run(node, Run { id, payload, values, after: None, limit, patience: Duration::ZERO });
        let attempt = doubting(node, &self.request, member, running).await;
        if matches!(attempt, Attempt::Answered(_)) {
            note_answer(node, &self.request, member, None, sent);
        }
        attempt
    }

    fn member(&self) -> Option<MemberId> {
        self.channel.as_ref().map(|(member, _)| member.clone())
    }

    fn unknown(&self, node: &Node<P>) -> Answer {
        if let Some(member) = self.member() {
            note_unknown(node, &self.request, &member, "commit");
        }
        let detail = "the member did not answer the commit; read the items before trying again";
        Answer::failed(Failure::new(Code::Unknown, detail), TransactionState::Idle)
    }

    /// Closes the connection, which rolls back.
    fn lose(&mut self, node: &Node<P>, id: &str, reason: &'static str) -> Failure {
        if let Some((member, _)) = self.channel.take() {
            events::note(
                Event::TransactionEnded,
                json!({
                    "request": id, "reason": reason, "member": member.as_str(),
                    "workspace": self.request.workspace.as_str(),
                    "age_ms": crate::events::millis(node.now().since(self.request.arrived)),
                }),
            );
        }
        aborted(reason)
    }

    /// Begins the transaction at a member, unless that was done before.
    async fn begin(
        &mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
    ) -> Result<(), Failure> {
        if self.channel.is_some() {
            return Ok(());
        }
        let begun = node.now();
        let mut busy = false;
        let mut avoid: Vec<MemberId> = Vec::new();
        while !is_over(node, begun) {
            let candidates = self.candidates(node);
            if candidates.is_empty() {
                wait_for_change(node, &self.request).await;
                continue;
            }
            let Some(choice) = candidates.iter().find(|choice| !avoid.contains(&choice.member))
            else {
                if busy && node.now().since(begun) >= capacity_wait(node, &self.request) {
                    break;
                }
                avoid.clear();
                sleep(retry_pause(node)).await;
                continue;
            };
            match self.begin_at(node, values, choice).await {
                Ok(channel) => {
                    self.channel = Some((choice.member.clone(), channel));
                    return Ok(());
                }
                Err(cause) => {
                    busy = BUSY_CAUSES.contains(&cause);
                    note_retry(node, id, cause, &choice.member);
                }
            }
            avoid.push(choice.member.clone());
        }
        events::note(
            Event::RequestRefused,
            json!({
                "request": id, "workspace": self.request.workspace.as_str(),
                "group": self.request.route.group.as_str(), "reason": "no member to begin at",
                "version": node.version(),
            }),
        );
        Err(aborted("no member could begin the transaction; try again in 500 ms"))
    }

    fn candidates(&self, node: &Node<P>) -> Vec<Choice> {
        let mut candidates = choices(node, &self.request);
        if !self.read_only {
            let primary = writes::primary(node, &self.request, node.now());
            candidates.retain(|choice| choice.primary && Some(&choice.member) == primary.as_ref());
        }
        candidates
    }

    async fn begin_at(
        &self,
        node: &Rc<Node<P>>,
        values: &Values,
        choice: &Choice,
    ) -> Result<Channel<P>, &'static str> {
        let limit = node.time_for(self.request.route.statement_timeout);
        let patience = longest_patience(node, &self.request);
        let mut channel = reads::open(node, &self.request, &choice.member, patience)
            .await
            .map_err(|attempt| cause_of(&attempt))?;
        let run = Run { values, ..self.request.run(choice.after, limit, patience) };
        let running = channel.run(node, run);
        match doubting(node, &self.request, &choice.member, running).await {
            Attempt::Answered(answer) => match answer.outcome {
                Ok(_) if answer.state == TransactionState::Open => Ok(channel),
                Ok(_) => Err("not_begun"),
                Err(failure) => Err(failure.code.as_str()),
            },
            attempt => Err(cause_of(&attempt)),
        }
    }
}

const fn cause_of(attempt: &Attempt) -> &'static str {
    match attempt {
        Attempt::Answered(_) => "answered",
        Attempt::NotRun(code) => code.as_str(),
        Attempt::Unreachable => "unreachable",
        Attempt::Broken => "broken",
    }
}

fn aborted(reason: &'static str) -> Failure {
    Failure::new(Code::Aborted, format!("rolled back: {reason}"))
}
