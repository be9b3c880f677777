//! A caller's transaction, which holds one connection from its first statement to its end.

use std::{rc::Rc, time::Duration};

use hibiscusladder_core::name::MemberId;
use hibiscusladder_io::clock::{sleep, within};
use serde_json::json;

use crate::{
    adapter::{Order, Platform},
    events::{self, Event},
    model::{Answer, Code, Failure, Query, TransactionState},
    node::Node,
    pool::{Lease, Values},
    reads::{
        Attempt, Choice, Floor, MEMBER_WAIT, Payload, Request, acquire, choices, doubting,
        note_answer, note_retry, send, wait_for_change,
    },
    writes::{self, note_commit, note_unknown},
};

/// Longest wait for the answer to a rollback; after it the connection is closed, which rolls back as well.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before members are tried again that could not begin a transaction a moment ago.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A transaction that the caller has begun.
pub struct Transaction<P>
where
    P: Platform,
{
    /// The request with which it began; its time of arrival decides what its reads have to see.
    pub request: Request,
    /// Whether it only reads.
    pub read_only: bool,
    lease: Option<Lease<P>>,
    wrote: bool,
}

impl<P> Transaction<P>
where
    P: Platform,
{
    /// A transaction that no member knows of yet.
    pub const fn new(request: Request, read_only: bool) -> Self {
        Self { request, read_only, lease: None, wrote: false }
    }

    /// Sets a value on the connection, if there is one.
    ///
    /// # Errors
    ///
    /// The connection broke; the transaction is rolled back.
    pub async fn set_value(&mut self, name: &str, value: &str) -> Result<(), Failure> {
        let limit = self.request.route.statement_timeout;
        let Some(lease) = &mut self.lease else { return Ok(()) };
        match within(limit, lease.set_value(name, value)).await {
            Some(Ok(())) => Ok(()),
            _ => {
                self.lease = None;
                Err(aborted("the connection to the member broke"))
            }
        }
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
        if let Err(failure) = self.begin(node, values, id).await {
            return Answer::failed(failure, TransactionState::Failed);
        }
        let limit = self.request.route.statement_timeout;
        let Some(lease) = &mut self.lease else {
            return Answer::failed(aborted("there is no connection"), TransactionState::Failed);
        };
        self.wrote |= writes;
        let member = lease.pool().target.member.clone();
        let sent = node.now();
        let answered = doubting(node, &self.request, &member, send(lease, id, payload, None));
        let answered = within(limit, answered).await;
        if matches!(answered, Some(Ok(_))) {
            note_answer(node, &self.request, &member, None, sent);
        }
        match answered {
            Some(Ok(answer)) if answer.state != TransactionState::Idle => {
                if answer.outcome.is_err() {
                    self.abandon(node, None);
                    return Answer { state: TransactionState::Failed, ..answer };
                }
                answer
            }
            outcome => {
                let reason =
                    if outcome.is_some() { "the connection broke" } else { "no answer in time" };
                let failure = self.lose(node, id, reason);
                Answer::failed(failure, TransactionState::Failed)
            }
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
        if let Err(failure) = self.begin(node, values, id).await {
            return (Answer::failed(failure, TransactionState::Idle), None);
        }
        let limit = self.request.route.statement_timeout;
        let Some(lease) = &mut self.lease else {
            let failure = aborted("there is no connection");
            return (Answer::failed(failure, TransactionState::Idle), None);
        };
        let member = lease.pool().target.member.clone();
        let payload = Payload::Text(text.into());
        let sent = node.now();
        let answered = doubting(node, &self.request, &member, send(lease, id, &payload, None));
        let answered = within(limit, answered).await;
        if self.wrote
            && let Some(state) = node.group(&self.request.route.group)
        {
            state.note_write(matches!(answered, Some(Ok(_))), node.now());
        }
        match answered {
            Some(Ok(answer)) if answer.state == TransactionState::Idle => {
                if self.wrote && answer.outcome.is_ok() {
                    note_commit(node, &self.request, &member, answer.position, sent);
                }
                let floor = answer.position.filter(|_| self.wrote && answer.outcome.is_ok());
                (answer, floor.map(|position| Floor { position, at: node.now() }))
            }
            _ if !self.wrote => {
                let failure = self.lose(node, id, "no answer to the commit of reads");
                (Answer::failed(failure, TransactionState::Idle), None)
            }
            _ => {
                lease.pool().drop_idle();
                note_unknown(node, &self.request, &member, "commit");
                let detail =
                    "the member did not answer the commit; read the items before trying again";
                let failure = Failure::new(Code::Unknown, detail);
                (Answer::failed(failure, TransactionState::Idle), None)
            }
        }
    }

    /// Rolls back in the background, because the caller asked for it with `query` or without being asked.
    pub fn abandon(&mut self, node: &Node<P>, query: Option<&Query>) {
        let Some(mut lease) = self.lease.take() else { return };
        let own = query.map(|query| (query.id.clone(), query.text.clone()));
        node.spawn(async move {
            let order = match &own {
                Some((id, text)) => Order::Forward { id, text, after: None },
                None => Order::Rollback,
            };
            // Without an answer the connection is closed, which rolls back as well.
            within(ROLLBACK_TIMEOUT, lease.exchange(order)).await;
        });
    }

    /// Closes the connection, which rolls back.
    fn lose(&mut self, node: &Node<P>, id: &str, reason: &'static str) -> Failure {
        if let Some(lease) = self.lease.take() {
            lease.pool().drop_idle();
            events::note(
                Event::TransactionEnded,
                json!({
                    "request": id, "reason": reason, "member": lease.pool().target.member.as_str(),
                    "workspace": self.request.workspace.as_str(),
                    "age_ms": node.now().since(self.request.arrived).as_millis() as u64,
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
        if self.lease.is_some() {
            return Ok(());
        }
        let until = node.now().plus(MEMBER_WAIT);
        let mut avoid: Vec<MemberId> = Vec::new();
        while node.now() < until {
            let candidates = self.candidates(node);
            if candidates.is_empty() {
                wait_for_change(node, &self.request).await;
                continue;
            }
            let Some(choice) = candidates.iter().find(|choice| !avoid.contains(&choice.member))
            else {
                avoid.clear();
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match self.begin_at(node, values, choice).await {
                Ok(lease) => {
                    self.lease = Some(lease);
                    return Ok(());
                }
                Err(cause) => note_retry(node, id, cause, &choice.member),
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

    /// The caller's own statement.
    fn begin_text(&self) -> &str {
        match &self.request.payload {
            Payload::Text(text) => text,
            Payload::Execute { .. } => "",
        }
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
    ) -> Result<Lease<P>, &'static str> {
        let limit = self.request.route.statement_timeout;
        let until = node.now().plus(limit);
        let mut lease =
            acquire(node, &self.request, &choice.member, until).await.map_err(|attempt| {
                match attempt {
                    Attempt::NotRun(code) => code.as_str(),
                    _ => "unreachable",
                }
            })?;
        let begin =
            Order::Forward { id: &self.request.id, text: self.begin_text(), after: choice.after };
        let beginning = async {
            lease.set_values(values).await?;
            lease.exchange(begin).await
        };
        match within(limit, beginning).await {
            Some(Ok(answer)) => match answer.outcome {
                Ok(_) if answer.state == TransactionState::Open => Ok(lease),
                Ok(_) => Err("not_begun"),
                Err(failure) => Err(failure.code.as_str()),
            },
            _ => {
                lease.pool().drop_idle();
                Err("broken")
            }
        }
    }
}

fn aborted(reason: &'static str) -> Failure {
    Failure::new(Code::Aborted, format!("rolled back: {reason}"))
}
