//! State of one caller's session, and the handling of its requests in the order of their arrival.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{Database, Workspace},
    return_time::Cause,
};
use serde_json::{Value, json};

use crate::{
    adapter::Platform,
    admission,
    directory::Route,
    events::{self, Event},
    ledger::{Account, Charge, Limit},
    metrics::{Counter, Stage},
    model::{Access, Answer, Code, Failure, Query, Statement, TransactionState},
    node::Node,
    pool::Values,
    reads,
    refusal::RefusedRequest,
    request::{LastCommit, Request},
    transaction::Transaction,
    tunnel::Payload,
    urgency::{MIN_LIMIT, request_limit},
    writes,
};

/// Workspace name that is sent to members for callers without a valid key, whom only public routes serve.
pub const NO_WORKSPACE: &str = "-";

/// Largest size of the values and prepared statements of a session. A call to a holder carries them in a frame of at most
/// 4 MiB, with a statement of up to 1 MiB.
const MAX_STATE_BYTES: usize = 2 << 20;
/// Bytes of a value or a prepared statement besides its name and content.
const ENTRY_BYTES: usize = 128;

/// State of a session between two requests.
pub struct Session<P>
where
    P: Platform,
{
    node: Rc<Node<P>>,
    database: Database,
    key: Box<str>,
    values: Rc<Values>,
    prepared: BTreeMap<Box<str>, (Access, Box<str>)>,
    /// Charge for the values and the prepared statements.
    charge: Charge,
    /// Charge for the request that began the transaction, which is kept for as long as it is open.
    begun: Charge,
    /// Charge for the key, which may be any text on a public route.
    _key: Charge,
    last_commit: Option<LastCommit>,
    transaction: Option<Transaction<P>>,
    state: TransactionState,
    /// Reason why the gateway ended the transaction, until the caller is told.
    aborted: Option<&'static str>,
}

impl<P> Session<P>
where
    P: Platform,
{
    /// Creates the session of a caller that presented `key`.
    pub fn new(node: Rc<Node<P>>, database: Database, key: Box<str>, account: &Account) -> Self {
        let mut key_charge = account.empty_charge();
        key_charge.resize_held(key.len() + database.as_str().len());
        Self {
            node,
            database,
            key,
            values: Rc::default(),
            prepared: BTreeMap::new(),
            charge: account.empty_charge(),
            begun: account.empty_charge(),
            _key: key_charge,
            last_commit: None,
            transaction: None,
            state: TransactionState::Idle,
            aborted: None,
        }
    }

    /// Transaction state after the last answer.
    pub const fn state(&self) -> TransactionState {
        self.state
    }

    /// Route and workspace of the caller of the request `id` under the configuration in force.
    ///
    /// # Errors
    ///
    /// The instance has no configuration, the database has no route, or no workspace has the key.
    pub fn authorise(&self, id: &str) -> Result<(Rc<Route>, Workspace), Failure> {
        authorise(&self.node, &self.database, &self.key, id)
    }

    /// Answers a request that arrived at `arrived`.
    pub async fn handle(&mut self, query: Query, arrived: Instant) -> Answer {
        let answer = match self.state {
            TransactionState::Idle => self.handle_idle(&query, arrived).await,
            TransactionState::Open => self.handle_open(&query).await,
            TransactionState::Failed => self.handle_failed(&query),
        };
        self.state = answer.state;
        if self.state != TransactionState::Open
            && let Some(mut transaction) = self.transaction.take()
        {
            let rollback = matches!(query.statement, Statement::Rollback).then_some(&query);
            transaction.start_rollback(&self.node, rollback);
        }
        if self.transaction.is_none() {
            self.begun.resize_held(0);
        }
        let label = answer.code().map_or("success", Code::as_str);
        self.node.metrics.count(Counter::Answers, label);
        answer
    }

    /// Rolls back the open transaction, if any, for a reason that is not a request of the caller.
    pub fn abort(&mut self, reason: &'static str) {
        let Some(mut transaction) = self.transaction.take() else { return };
        transaction.start_rollback(&self.node, None);
        self.begun.resize_held(0);
        self.state = TransactionState::Failed;
        self.aborted = Some(reason);
        events::log(
            Event::TransactionEnded,
            json!({
                "request": transaction.request.id, "reason": reason,
                "workspace": transaction.request.workspace.as_str(),
                "age_ms": crate::events::millis(self.node.now().since(transaction.request.arrived)),
            }),
        );
    }

    async fn handle_idle(&mut self, query: &Query, arrived: Instant) -> Answer {
        match &query.statement {
            Statement::Begin { read_only } => self.begin(query, *read_only, arrived).await,
            Statement::Read => self.run_single(query, Access::Read, arrived).await,
            Statement::Write => self.run_single(query, Access::Write, arrived).await,
            Statement::Execute { name, .. } => match self.prepared.get(name) {
                Some((access, _)) => self.run_single(query, *access, arrived).await,
                None => Answer::failed(unknown_statement(), TransactionState::Idle),
            },
            Statement::Commit | Statement::Rollback => {
                let failure = Failure::new(Code::Malformed, "no transaction is open; begin one");
                Answer::failed(failure, TransactionState::Idle)
            }
            _ => self.answer_locally(query, TransactionState::Idle),
        }
    }

    async fn handle_open(&mut self, query: &Query) -> Answer {
        let open = TransactionState::Open;
        let access = match &query.statement {
            Statement::Read => Access::Read,
            Statement::Write => Access::Write,
            Statement::Execute { name, .. } => match self.prepared.get(name) {
                Some((access, _)) => *access,
                None => return Answer::failed(unknown_statement(), TransactionState::Failed),
            },
            Statement::Commit => return self.commit(query).await,
            Statement::Rollback => return Answer::done(TransactionState::Idle),
            Statement::Begin { .. } => {
                let failure = Failure::new(Code::Malformed, "a transaction is open; end it first");
                return Answer::failed(failure, TransactionState::Failed);
            }
            _ => return self.answer_locally(query, open),
        };
        let payload = self.payload(query);
        let Some(transaction) = &mut self.transaction else {
            return Answer::failed(rolled_back(), TransactionState::Failed);
        };
        let is_write = access == Access::Write;
        transaction.run(&self.node, &self.values, &query.id, &payload, is_write).await
    }

    fn handle_failed(&mut self, query: &Query) -> Answer {
        let aborted = self.aborted.take();
        match &query.statement {
            Statement::Rollback => Answer::done(TransactionState::Idle),
            Statement::Commit => Answer::failed(rolled_back(), TransactionState::Idle),
            // The caller does not know yet that the transaction has ended.
            _ if aborted.is_some() => {
                let reason = aborted.unwrap_or_default();
                let failure = Failure::new(Code::Aborted, format!("rolled back: {reason}"));
                Answer::failed(failure, TransactionState::Failed)
            }
            _ => {
                let detail = "the transaction has failed; send ROLLBACK";
                let failure = Failure::new(Code::Malformed, detail);
                Answer::failed(failure, TransactionState::Failed)
            }
        }
    }

    async fn begin(&mut self, query: &Query, read_only: bool, arrived: Instant) -> Answer {
        if self.node.transaction_time().is_zero() {
            let reason = "the instance stops";
            let refused = unknown_route(&query.id);
            let after = self.node.refusals.for_stop(&refused, self.node.now());
            let failure = Failure::retry_after(Code::Busy, reason, after);
            return Answer::failed(failure, TransactionState::Idle);
        }
        let request = match self.admit(query, arrived).await {
            Ok(request) => request,
            Err(failure) => return Answer::failed(failure, TransactionState::Idle),
        };
        // The charge for the message ends with its answer.
        self.begun.resize_held(request.id.len() + query.text.len());
        self.transaction = Some(Transaction::new(request, read_only));
        Answer::done(TransactionState::Open)
    }

    async fn run_single(&mut self, query: &Query, access: Access, arrived: Instant) -> Answer {
        let request = match self.admit(query, arrived).await {
            Ok(request) => request,
            Err(failure) => return Answer::failed(failure, TransactionState::Idle),
        };
        let (answer, stage) = if access == Access::Read {
            (reads::run(&self.node, &Rc::new(request)).await, Stage::Read)
        } else {
            let (answer, last_commit) = writes::run(&self.node, &request).await;
            self.update_last_commit(last_commit);
            (answer, Stage::Write)
        };
        self.node.metrics.time(stage, self.node.now().since(arrived));
        answer
    }

    async fn commit(&mut self, query: &Query) -> Answer {
        let Some(transaction) = self.transaction.take() else {
            return Answer::failed(rolled_back(), TransactionState::Idle);
        };
        let started = self.node.now();
        let (answer, last_commit) =
            transaction.commit(&self.node, &self.values, &query.id, &query.text).await;
        self.update_last_commit(last_commit);
        self.node.metrics.time(Stage::Commit, self.node.now().since(started));
        answer
    }

    /// Authorises an operation and admits it against the limits of its workspace.
    async fn admit(&self, query: &Query, arrived: Instant) -> Result<Request, Failure> {
        let (route, workspace) = self.authorise(&query.id).inspect_err(|failure| {
            self.log_refusal(query, failure, json!({}));
        })?;
        let operation = admission::Operation {
            id: &query.id,
            workspace: &workspace,
            priority: route.priority,
            target_latency: route.target_latency,
            limit: request_limit(route.statement_timeout),
        };
        if let Err(failure) = admission::admit(&self.node, &operation).await {
            let allotment_fields =
                self.node.admission.borrow().allotment_fields(&workspace, self.node.now());
            let inputs = json!({
                "allotment": allotment_fields, "priority": route.priority,
                "cause": Cause::Tokens.as_str(),
            });
            self.log_refusal(query, &failure, inputs);
            return Err(failure);
        }
        Ok(Request {
            id: query.id.clone(),
            payload: self.payload(query),
            workspace,
            values: self.values.clone(),
            route,
            arrived,
            last_commit: self.last_commit,
        })
    }

    fn log_refusal(&self, query: &Query, failure: &Failure, inputs: Value) {
        let mut fields = json!({
            "request": query.id, "database": self.database.as_str(),
            "code": failure.code.as_str(), "reason": failure.detail,
            "version": self.node.version(),
        });
        events::extend(&mut fields, inputs);
        events::log(Event::RequestRefused, fields);
    }

    fn payload(&self, query: &Query) -> Payload {
        if let Statement::Execute { name, arguments } = &query.statement
            && let Some((access, shape)) = self.prepared.get(name)
        {
            return Payload::Execute {
                access: *access,
                shape: shape.clone(),
                arguments: arguments.clone(),
            };
        }
        Payload::Text(query.text.clone())
    }

    /// Answers a statement that concerns only the session and needs no member.
    fn answer_locally(&mut self, query: &Query, state: TransactionState) -> Answer {
        if let Err(failure) = self.charge_state(&query.statement) {
            return Answer::failed(failure, state);
        }
        match &query.statement {
            Statement::Set { name, value } => {
                Rc::make_mut(&mut self.values).insert(name.clone(), value.clone());
            }
            Statement::Prepare { name, access, shape } => {
                self.prepared.insert(name.clone(), (*access, shape.clone()));
            }
            Statement::Deallocate { name } => {
                self.prepared.remove(name);
            }
            _ => {
                let failure = Failure::new(Code::Malformed, "the statement is not known");
                return Answer::failed(failure, state);
            }
        }
        Answer::done(state)
    }

    /// Charges the values and prepared statements that the session has after `statement`.
    fn charge_state(&mut self, statement: &Statement) -> Result<(), Failure> {
        let (name, replaced, added) = match statement {
            Statement::Set { name, value } => {
                (name, self.values.get(name).map(|old| old.len()), Some(value.len()))
            }
            Statement::Prepare { name, shape, .. } => {
                (name, self.prepared.get(name).map(|(_, old)| old.len()), Some(shape.len()))
            }
            Statement::Deallocate { name } => {
                (name, self.prepared.get(name).map(|(_, old)| old.len()), None)
            }
            _ => return Ok(()),
        };
        let size = |length: Option<usize>| length.map_or(0, |length| entry_bytes(name, length));
        let bytes = (self.charge.bytes() + size(added)).saturating_sub(size(replaced));
        if bytes > MAX_STATE_BYTES && size(added) > size(replaced) {
            self.charge.account().record_limited(Limit::SessionState);
            return Err(Failure::new(Code::TooBig, Limit::SessionState.remedy()));
        }
        self.charge.resize(bytes).map_err(|_| {
            self.charge.account().record_limited(Limit::Memory);
            Failure::new(Code::TooBig, Limit::Memory.remedy())
        })
    }

    fn update_last_commit(&mut self, last_commit: Option<LastCommit>) {
        let Some(last_commit) = last_commit else { return };
        let position = self
            .last_commit
            .map_or(last_commit.position, |previous| previous.position.max(last_commit.position));
        self.last_commit = Some(LastCommit { position, at: last_commit.at });
    }
}

/// Route and workspace for a caller that requests `database` and presents `key`. `id` spreads the retry delays of callers.
///
/// # Errors
///
/// The instance has no configuration or does not know the evacuated data centres, the database has no route, or no workspace has
/// the key.
pub fn authorise<P>(
    node: &Node<P>,
    database: &Database,
    key: &str,
    id: &str,
) -> Result<(Rc<Route>, Workspace), Failure>
where
    P: Platform,
{
    let Some(directory) = node.directory() else {
        let reason = "the instance has no configuration";
        let after = node.refusals.for_start(&unknown_route(id), node.now());
        return Err(Failure::retry_after(Code::Busy, reason, after));
    };
    if !node.evacuations.may_serve(node.now()) {
        let reason = "the instance does not know the evacuated data centres";
        let after = node.refusals.for_start(&unknown_route(id), node.now());
        return Err(Failure::retry_after(Code::Busy, reason, after));
    }
    let route = directory.routes.get(database).ok_or_else(|| {
        Failure::new(Code::NoDatabase, "no route has this name; check the name of the database")
    })?;
    let workspace = match directory.keys.get(key) {
        Some(workspace) => workspace.clone(),
        None if route.public => Workspace::new(NO_WORKSPACE),
        None => {
            return Err(Failure::new(
                Code::NoAuth,
                "the key is not known; use one of the workspace",
            ));
        }
    };
    Ok((Rc::new(route.clone()), workspace))
}

/// A request whose route is not known.
const fn unknown_route(id: &str) -> RefusedRequest<'_> {
    RefusedRequest { id, priority: 0, used: Duration::ZERO, limit: MIN_LIMIT }
}

const fn entry_bytes(name: &str, length: usize) -> usize {
    name.len() + length + ENTRY_BYTES
}

fn unknown_statement() -> Failure {
    Failure::new(Code::NoStatement, "no statement has this name; prepare it first")
}

fn rolled_back() -> Failure {
    Failure::new(Code::Aborted, "rolled back: the transaction had failed")
}
