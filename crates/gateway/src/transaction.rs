//! A caller's transaction, which keeps one connection from its first statement to its end.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::{clock::Instant, name::MemberId, return_time::Cause};
use hibiscusladder_io::clock::sleep;
use serde_json::json;

use crate::{
    adapter::Platform,
    channel::{Channel, RunOutcome, StatementRun, is_idle},
    directory::Consistency,
    events::{self, Event},
    model::{Answer, Code, Failure, Query, TransactionState},
    node::Node,
    pool::Values,
    reads::{Candidate, Round, all_candidates, read_candidates},
    request::{
        self, LastCommit, Purpose, Request, capacity_wait, hopeless_reason, is_past_deadline,
        max_connection_wait, poll_if_slow, record_answer, record_read_only, record_retry,
        refusal_fields, retry_delay, return_delay, wait_for_change,
    },
    tunnel::Payload,
    urgency::Work,
    writes::{self, log_unknown, record_commit, record_write},
};

/// Causes of a failed begin which show that the member responds but has no capacity.
const BUSY_CAUSES: [&str; 3] = [Code::Busy.as_str(), Code::TooMany.as_str(), "no_slot"];

/// A transaction that the caller has begun.
pub struct Transaction<P>
where
    P: Platform,
{
    /// Request that began the transaction. Its time of arrival decides which commits the reads have to see.
    pub request: Request,
    /// Whether the transaction may only read.
    pub read_only: bool,
    /// The member and the channel to it, from the first statement on.
    channel: Option<(MemberId, Channel<P>)>,
    wrote: bool,
}

impl<P> Transaction<P>
where
    P: Platform,
{
    /// Creates a transaction that has not begun at any member.
    pub const fn new(request: Request, read_only: bool) -> Self {
        Self { request, read_only, channel: None, wrote: false }
    }

    /// Runs a read or, if `is_write`, a write, and begins the transaction at a member before the first of them.
    pub async fn run(
        &mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
        payload: &Payload,
        is_write: bool,
    ) -> Answer {
        let failed = TransactionState::Failed;
        if let Err(failure) = self.begin(node, values, id).await {
            return Answer::failed(failure, failed);
        }
        if let Some(failure) = self.end_if_evacuated(node, id) {
            return Answer::failed(failure, failed);
        }
        self.wrote |= is_write;
        match self.send(node, values, id, payload).await {
            RunOutcome::Answered(answer) if !is_idle(&answer) => {
                if answer.outcome.is_err() {
                    self.start_rollback(node, None);
                    return Answer { state: failed, ..answer };
                }
                answer
            }
            RunOutcome::ConnectionLost => {
                Answer::failed(self.close_connection(node, id, "no whole answer"), failed)
            }
            _ => Answer::failed(self.close_connection(node, id, "the connection broke"), failed),
        }
    }

    /// Commits; returns the answer, and the commit if writes were acknowledged with a position.
    pub async fn commit(
        mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
        text: &str,
    ) -> (Answer, Option<LastCommit>) {
        let idle = TransactionState::Idle;
        if let Err(failure) = self.begin(node, values, id).await {
            return (Answer::failed(failure, idle), None);
        }
        if let Some(failure) = self.end_if_evacuated(node, id) {
            return (Answer::failed(failure, idle), None);
        }
        let sent = node.now();
        let payload = Payload::Text(text.into());
        let outcome = self.send(node, values, id, &payload).await;
        if self.wrote {
            record_write(node, &self.request, matches!(outcome, RunOutcome::Answered(_)));
        }
        match outcome {
            RunOutcome::Answered(answer) if is_idle(&answer) => {
                let has_committed_writes = self.wrote && answer.outcome.is_ok();
                if let Some(member) = self.member().filter(|_| has_committed_writes)
                    && !record_commit(node, &self.request, &member, answer.position, sent)
                {
                    return (self.unknown_outcome(node), None);
                }
                let position = answer.position.filter(|_| has_committed_writes);
                (answer, position.map(|position| LastCommit { position, at: node.now() }))
            }
            // The commit was not sent, or the member did not run it.
            RunOutcome::NotRun(_) | RunOutcome::Unreachable => (
                Answer::failed(self.close_connection(node, id, "the commit was not sent"), idle),
                None,
            ),
            _ if !self.wrote => {
                let failure = self.close_connection(node, id, "no answer to the commit of reads");
                (Answer::failed(failure, idle), None)
            }
            _ => (self.unknown_outcome(node), None),
        }
    }

    /// Rolls back in the background. `query` is the caller's rollback; `None` when the gateway ends the transaction.
    pub fn start_rollback(&mut self, node: &Node<P>, query: Option<&Query>) {
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
    ) -> RunOutcome {
        let limit = node.limit_to_deadline(self.request.route.statement_timeout);
        let Some((member, channel)) = &mut self.channel else { return RunOutcome::Unreachable };
        let sent = node.now();
        let running = channel.run(
            node,
            StatementRun {
                id,
                payload,
                values,
                after: None,
                limit,
                connection_wait: Duration::ZERO,
                urgency: None,
            },
        );
        let outcome = poll_if_slow(node, &self.request, member, running).await;
        if let RunOutcome::Answered(answer) = &outcome {
            record_answer(node, &self.request, member, None, sent);
            if answer.code() == Some(Code::ReadOnly) {
                record_read_only(node, &self.request, member, sent);
            }
        }
        outcome
    }

    /// Rolls back a transaction at a member whose data centre has been evacuated for the time that a drain leaves it.
    fn end_if_evacuated(&mut self, node: &Node<P>, id: &str) -> Option<Failure> {
        let member = self.member()?;
        let is_over = node.ends_transactions_at(&member, node.now());
        is_over.then(|| self.close_connection(node, id, "the data centre is evacuated"))
    }

    fn member(&self) -> Option<MemberId> {
        self.channel.as_ref().map(|(member, _)| member.clone())
    }

    fn unknown_outcome(&self, node: &Node<P>) -> Answer {
        if let Some(member) = self.member() {
            log_unknown(node, &self.request, &member, "commit");
        }
        let detail = "the member did not answer the commit, or was replaced; read the items before trying again";
        Answer::failed(Failure::new(Code::Unknown, detail), TransactionState::Idle)
    }

    /// Closes the connection, which rolls back, and returns the failure for the caller.
    fn close_connection(&mut self, node: &Node<P>, id: &str, reason: &'static str) -> Failure {
        if let Some((member, _)) = self.channel.take() {
            events::log(
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

    /// Begins the transaction at a member, unless it has begun already. The caller's pause before the first statement does not
    /// count as time that the request has used.
    async fn begin(
        &mut self,
        node: &Rc<Node<P>>,
        values: &Values,
        id: &str,
    ) -> Result<(), Failure> {
        if self.channel.is_some() {
            return Ok(());
        }
        let started = node.now();
        let mut busy = false;
        let mut cause = Cause::Failover;
        let mut refusal = None;
        let mut hopeless = None;
        let mut round = Round::default();
        let mut tried: Vec<MemberId> = Vec::new();
        while !is_past_deadline(node, &self.request, started) {
            let candidates = self.candidates(node);
            if candidates.is_empty() {
                let is_primary_route = self.request.route.consistency == Consistency::Primary;
                let needs_primary = !self.read_only || is_primary_route;
                hopeless = hopeless_reason(node, &self.request, needs_primary);
                if hopeless.is_some() {
                    break;
                }
                wait_for_change(node, &self.request).await;
                continue;
            }
            let Some(candidate) =
                candidates.iter().find(|candidate| !tried.contains(&candidate.member))
            else {
                refusal = std::mem::take(&mut round).refusal();
                let used = node.now().since(started);
                if refusal.is_some() || busy && used >= capacity_wait(node, &self.request) {
                    cause = Cause::Capacity;
                    break;
                }
                tried.clear();
                sleep(retry_delay(node, &self.request)).await;
                continue;
            };
            match self.begin_at(node, values, candidate, started).await {
                Ok(channel) => {
                    self.channel = Some((candidate.member.clone(), channel));
                    return Ok(());
                }
                Err(outcome) => {
                    round.record(&outcome);
                    let cause = cause_of(&outcome);
                    busy = BUSY_CAUSES.contains(&cause);
                    record_retry(node, id, cause, &candidate.member);
                }
            }
            tried.push(candidate.member.clone());
        }
        let delay = return_delay(node, &self.request, cause, refusal);
        let mut fields = json!({
            "request": id, "workspace": self.request.workspace.as_str(),
            "group": self.request.route.group.as_str(), "version": node.version(),
        });
        let reason = hopeless.unwrap_or("no member to begin at");
        events::extend(&mut fields, refusal_fields(&self.request, reason, delay, refusal));
        events::log(Event::RequestRefused, fields);
        let after = delay.after.as_millis().max(1);
        let detail =
            format!("rolled back: no member could begin the transaction; try again in {after} ms");
        Err(Failure::new(Code::Aborted, detail))
    }

    fn candidates(&self, node: &Node<P>) -> Vec<Candidate> {
        if self.read_only {
            let mut candidates = read_candidates(node, &self.request);
            let group = &self.request.route.group;
            node.outliers.order(group, &mut candidates, |candidate| &candidate.member, node.now());
            return candidates;
        }
        let mut candidates = all_candidates(node, &self.request);
        let primary = writes::primary(node, &self.request, node.now());
        candidates
            .retain(|candidate| candidate.primary && Some(&candidate.member) == primary.as_ref());
        candidates
    }

    async fn begin_at(
        &self,
        node: &Rc<Node<P>>,
        values: &Values,
        candidate: &Candidate,
        started: Instant,
    ) -> Result<Channel<P>, RunOutcome> {
        let member = &candidate.member;
        let purpose = Purpose {
            member,
            work: Work::Begin,
            needs_primary: candidate.primary,
            since: started,
            connection_wait: max_connection_wait(node, &self.request),
            is_final: true,
        };
        let attempt = request::attempt(node, &self.request, &purpose);
        let mut channel = request::open(node, &self.request, member, &attempt).await?;
        let limit = node.limit_to_deadline(self.request.route.statement_timeout);
        let run =
            StatementRun { values, ..self.request.statement_run(candidate.after, limit, &attempt) };
        let sent = node.now();
        let running = channel.run(node, run);
        match poll_if_slow(node, &self.request, &candidate.member, running).await {
            RunOutcome::Answered(answer)
                if answer.outcome.is_ok() && answer.state == TransactionState::Open =>
            {
                Ok(channel)
            }
            outcome => {
                if outcome.code() == Some(Code::ReadOnly) {
                    record_read_only(node, &self.request, &candidate.member, sent);
                }
                Err(outcome)
            }
        }
    }
}

fn cause_of(outcome: &RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Answered(answer) => answer.code().map_or("not_begun", Code::as_str),
        RunOutcome::NotRun(code) => code.as_str(),
        RunOutcome::NoSlot(_) => "no_slot",
        RunOutcome::Unreachable => "unreachable",
        RunOutcome::ConnectionLost => "broken",
    }
}

fn aborted(reason: &'static str) -> Failure {
    Failure::new(Code::Aborted, format!("rolled back: {reason}"))
}
