//! The session of one client: reads batches, runs them through the router and relays the answers.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bytes::BytesMut;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use hibiscusladder_core::{
    budget::Activity,
    name::MemberId,
    outcome::{Refusal, RefusalKind},
    position::Position,
    read_route::ReadRequirement,
    request::StatementClass,
    session::Session as Positions,
};
use hibiscusladder_io::clock::within;
use hibiscusladder_proto::reply::{ReplyEnd, TransactionStatus};
use smol::{
    Timer,
    channel::{self, Receiver, Sender},
    future::FutureExt,
};

use super::{
    Entry, answer,
    authorise::{Authorised, Identity},
    batch::{Batch, Collector},
    cancel::CancelHandle,
    filter::ReplyFilter,
    frame::{Frame, FrameError, FrameReader},
    ledger::Account,
    local::LocalSettings,
    plan::{self, Plan, Statements},
};
use crate::{
    classify::{Effect, TransactionEffect},
    home::{Chunk, Exchange},
    node::Node,
    route::{Progress, Request},
    trace::Hop,
};

/// Idle time after which a draining instance closes a session.
///
/// Without this time, a client could receive the error together with the end of an answer and mistake it for the
/// answer.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// Longest time that a client gets to read a fatal error before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The client has disconnected, or its connection was closed.
pub(super) struct Disconnected;

/// The session of one client.
pub(super) struct Session<'a, S> {
    pub(super) entry: &'a Arc<Entry>,
    pub(super) reader: FrameReader<S>,
    pub(super) collector: Collector,
    pub(super) identity: Identity,
    pub(super) settings: LocalSettings,
    pub(super) statements: Statements,
    pub(super) account: Account,
    pub(super) transaction: Option<OpenTransaction>,
    pub(super) process: u32,
    pub(super) cancel_handle: Arc<CancelHandle>,
}

/// A transaction that is open at a home, across batches.
pub(super) struct OpenTransaction {
    exchanges: Sender<Exchange>,
    request: Request,
    status: TransactionStatus,
    prepared: HashSet<String>,
}

/// End of an answer that was relayed to the client.
struct RelayedReply {
    end: ReplyEnd,
    /// Number of `Parse` messages that succeeded; the upstream skips those after an error.
    parsed: usize,
}

/// Next event of a session.
enum Input {
    Batch(Batch),
    Failed(FrameError),
    Closed,
    Draining,
}

impl<'a, S> Session<'a, S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Serves the client until it disconnects or its connection is closed.
    pub(super) async fn run(mut self) {
        loop {
            let served = match self.next_input().await {
                Input::Batch(Batch::Terminate) | Input::Closed => return,
                Input::Batch(batch) => {
                    self.account.set_activity(Activity::Running);
                    let served = self.serve(batch).await;
                    self.reader.release();
                    self.account.set_activity(Activity::Idle);
                    served
                }
                Input::Failed(error) => {
                    if matches!(error, FrameError::NoMemory | FrameError::TooSlow) {
                        self.entry.node().metrics().count("entry.limited");
                        self.account.log_limited(&error.to_string());
                    }
                    let refusal = Refusal::not_run(RefusalKind::Protocol).detail(error.to_string());
                    self.close(&refusal).await
                }
                Input::Draining => self.close(&Refusal::not_run(RefusalKind::Leaving)).await,
            };
            if served.is_err() {
                return;
            }
        }
    }

    /// Reads the next batch; between transactions, a shutdown ends the wait for a batch.
    async fn next_input(&mut self) -> Input {
        loop {
            let between_batches = self.transaction.is_none() && self.collector.is_idle();
            let node = self.entry.node();
            let reader = &mut self.reader;
            let next = async { Some(reader.next().await) };
            let next =
                if between_batches { next.or(wait_for_drain(node)).await } else { next.await };
            let frame = match next {
                None => return Input::Draining,
                Some(Ok(Some(frame))) => frame,
                Some(Ok(None)) => return Input::Closed,
                Some(Err(error)) => return Input::Failed(error),
            };
            self.reader.keep(frame.size());
            match self.collector.push(frame) {
                Ok(Some(batch)) => return Input::Batch(batch),
                Ok(None) => {}
                Err(error) => return Input::Failed(error),
            }
        }
    }

    /// Authorises a batch, runs it and answers it.
    async fn serve(&mut self, batch: Batch) -> Result<(), Disconnected> {
        if self.transaction.is_none() && self.entry.node().is_draining() {
            return self.close(&Refusal::not_run(RefusalKind::Leaving)).await;
        }
        let authorised = match self.identity.authorise(self.entry.node()) {
            Ok(authorised) => authorised,
            Err(refusal) => {
                self.entry.node().metrics().count("entry.rejected");
                return self.close(&refusal).await;
            }
        };
        let started = self.entry.node().now();
        self.entry.node().metrics().count("entry.batches");
        let mut span = self.entry.node().tracer().span(Hop::Caller, "");
        span.attribute("workspace", self.identity.workspace.as_str());
        span.attribute("database", self.identity.database.as_str());
        let parent = span.trace_parent();
        let served = self.run_batch(batch, &authorised, &parent).await;
        let node = self.entry.node();
        node.metrics().time("entry.batch_time", node.now().since(started));
        served
    }

    async fn run_batch(
        &mut self,
        batch: Batch,
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<(), Disconnected> {
        match batch {
            Batch::Simple(frame) => {
                let result = self.run_simple(&frame, authorised, parent).await?;
                self.finish_batch(result).await
            }
            Batch::Extended(frames) if frames.is_empty() => self.finish_batch(Ok(())).await,
            Batch::Extended(frames) => {
                let result = self.run_extended(&frames, authorised, parent).await?;
                self.finish_batch(result).await
            }
            Batch::Flushed(frames) => self.run_flushed(&frames, authorised, parent).await,
            Batch::Invalid(reason) => {
                let refusal = Refusal::not_run(RefusalKind::Protocol).detail(reason);
                self.write_error(&refusal).await
            }
            Batch::InvalidWithoutSync(reason) => {
                let refusal = Refusal::not_run(RefusalKind::Protocol).detail(reason);
                self.finish_batch(Err(refusal)).await
            }
            Batch::Terminate => Err(Disconnected),
        }
    }

    async fn run_simple(
        &mut self,
        frame: &Frame,
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        let plan = match plan::simple(&self.entry.classifier, frame) {
            Ok(plan) => plan,
            Err(refusal) => return Ok(Err(refusal)),
        };
        if let Some(setting) = plan.settings.first() {
            let mut buf = BytesMut::new();
            let applied = self.settings.apply(setting);
            if applied.is_ok() {
                self.settings.answer_simple(setting, &mut buf);
                self.write(&buf).await?;
            }
            return Ok(applied);
        }
        self.run_plan(plan, authorised, parent).await
    }

    async fn run_extended(
        &mut self,
        frames: &[Frame],
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        let empty = HashSet::new();
        let on_upstream = self.transaction.as_ref().map_or(&empty, |open| &open.prepared);
        let classifier = &self.entry.classifier;
        let plan = match plan::extended(classifier, &mut self.statements, on_upstream, frames) {
            Ok(plan) => plan,
            Err(refusal) => return Ok(Err(refusal)),
        };
        if plan.settings.is_empty() {
            return self.run_plan(plan, authorised, parent).await;
        }
        if plan.executes {
            for setting in &plan.settings {
                if let Err(refusal) = self.settings.apply(setting) {
                    return Ok(Err(refusal));
                }
            }
        }
        let mut buf = BytesMut::new();
        self.settings.answer_extended(frames, &self.statements, &mut buf);
        self.write(&buf).await?;
        Ok(Ok(()))
    }

    /// Runs the messages before a `Flush`, whose answers the client waits for before it sends `Sync`.
    async fn run_flushed(
        &mut self,
        frames: &[Frame],
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<(), Disconnected> {
        let executes = frames.iter().any(|frame| frame.kind() == b'E');
        let result = if executes {
            Err(Refusal::not_run(RefusalKind::Unsupported).detail("Flush after Execute; send Sync"))
        } else {
            self.run_extended(frames, authorised, parent).await?
        };
        if let Err(refusal) = result {
            self.collector.skip_to_sync();
            return self.write_error(&refusal).await;
        }
        Ok(())
    }

    /// Runs a planned batch on an upstream, in the open transaction if there is one.
    async fn run_plan(
        &mut self,
        plan: Plan,
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        if self.identity.key.as_ref().is_some_and(|key| key.is_in(&plan.data)) {
            self.entry.node().metrics().count("entry.key_in_statement");
            return Ok(Err(Refusal::not_run(RefusalKind::KeyInStatement)));
        }
        let mut span = self.entry.node().tracer().span(Hop::Entry, parent);
        let result = match self.transaction.take() {
            Some(open) => self.run_in_transaction(open, plan, authorised).await?,
            None => self.run_outside_transaction(plan, authorised, &span.trace_parent()).await?,
        };
        if let Err(refusal) = &result {
            span.fail(refusal.sqlstate());
        }
        Ok(result)
    }

    /// Runs a batch outside a transaction.
    async fn run_outside_transaction(
        &mut self,
        plan: Plan,
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        let request = match self.build_request(&plan, authorised, parent).await {
            Ok(request) => request,
            Err(refusal) => return Ok(Err(refusal)),
        };
        self.cancel_handle.set_request(&request.database, &request.progress, request.cancel_token);
        let dispatched = self.entry.router.dispatch(&request).await;
        let dispatched = match dispatched {
            Ok(dispatched) => dispatched,
            Err(refusal) => {
                self.cancel_handle.clear_request();
                if let RefusalKind::WriteLost { term_start, .. } = refusal.kind {
                    self.settings.session = Positions::with_position(term_start);
                }
                return Ok(Err(refusal));
            }
        };
        let chunks = dispatched.call.chunks;
        let reply = self.relay(Some(dispatched.first), &chunks, &plan).await?;
        let RelayedReply { end, parsed } = reply;
        self.cancel_handle.clear_request();
        let member = request.progress.member();
        if end.status != TransactionStatus::Idle {
            let prepared = plan.prepared.into_iter().take(parsed).collect();
            let exchanges = dispatched.call.exchanges;
            let status = end.status;
            self.transaction = Some(OpenTransaction { exchanges, request, status, prepared });
        }
        self.finish_reply(end, member.as_ref()).await
    }

    /// Runs a batch in the open transaction.
    async fn run_in_transaction(
        &mut self,
        mut open: OpenTransaction,
        plan: Plan,
        authorised: &Authorised,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        if let Err(refusal) = &authorised.key_check {
            self.transaction = Some(open);
            return Ok(Err(refusal.clone()));
        }
        let node = self.entry.node();
        open.request.deadline = node.now().plus(node.settings().times.statement);
        open.request.class = match plan.effect {
            Effect::Write => StatementClass::Write,
            Effect::Nothing | Effect::Read => StatementClass::Read,
        };
        open.request.request_id = None;
        let member = open.request.progress.member();
        let Some(member) = member else { return Ok(Err(transaction_lost())) };
        let remaining = node.settings().times.statement;
        let envelope = open.request.envelope(&member, remaining, Arc::from(""));
        let (chunks, receiver) = channel::bounded(2);
        let exchange = Exchange { envelope, data: plan.data.clone(), chunks };
        if open.exchanges.send(exchange).await.is_err() {
            return Ok(Err(transaction_lost()));
        }
        let request = &open.request;
        self.cancel_handle.set_request(&request.database, &request.progress, request.cancel_token);
        let RelayedReply { end, parsed } = self.relay(None, &receiver, &plan).await?;
        self.cancel_handle.clear_request();
        if end.status != TransactionStatus::Idle {
            open.status = end.status;
            open.prepared.extend(plan.prepared.into_iter().take(parsed));
            self.transaction = Some(open);
        }
        self.finish_reply(end, Some(&member)).await
    }

    /// Builds the request of a batch for the router.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the batch needs a valid key and has none, or when a write of the session was lost.
    async fn build_request(
        &mut self,
        plan: &Plan,
        authorised: &Authorised,
        parent: &Arc<str>,
    ) -> Result<Request, Refusal> {
        let class = classify(plan, authorised)?;
        let identity = &self.identity;
        let router = &self.entry.router;
        let session = &mut self.settings.session;
        if let Some(kind) = router.check_session(&identity.database, session) {
            return Err(Refusal::not_run(kind));
        }
        let position = match session.read_requirement(class) {
            ReadRequirement::Position(position) => Some(position),
            ReadRequirement::ReadIndex => {
                let position = router.read_index(&identity.database).await;
                if let Some(position) = position {
                    session.record_proved_position(position);
                }
                position
            }
            ReadRequirement::Age(_) | ReadRequirement::Primary => None,
        };
        let session_request_id = if plan.executes { self.settings.request_id.take() } else { None };
        let node = self.entry.node();
        let key = identity.key.as_ref().filter(|_| authorised.key_check.is_ok());
        Ok(Request {
            workspace: identity.workspace.clone(),
            database: identity.database.clone(),
            key: key.map(|key| key.key().id().clone()),
            request_id: plan.request_id.clone().or(session_request_id).filter(|_| plan.executes),
            class,
            position,
            deadline: node.now().plus(node.settings().times.statement),
            revision: node.config_revision(),
            trace_parent: Arc::clone(parent),
            cancel_token: self.entry.sessions.next_token(),
            progress: Arc::new(Progress::default()),
            data: plan.data.clone(),
            keeps_transaction: plan.transaction_effect == TransactionEffect::Begin,
        })
    }

    /// Relays the answer to the client, without the answers to messages that the entry added.
    async fn relay(
        &mut self,
        first: Option<Chunk>,
        chunks: &Receiver<Chunk>,
        plan: &Plan,
    ) -> Result<RelayedReply, Disconnected> {
        let mut filter = ReplyFilter::new(plan);
        let mut next = first;
        loop {
            let chunk = match next.take() {
                Some(chunk) => chunk,
                None => chunks.recv().await.unwrap_or_else(|_| Chunk::End(connection_lost())),
            };
            match chunk {
                Chunk::Data(data) => {
                    let data = filter.apply(data);
                    self.write(&data).await?;
                }
                Chunk::End(end) => return Ok(RelayedReply { end, parsed: filter.parsed() }),
            }
        }
    }

    /// Records the position at the end of an answer of `member` and sends it to the client.
    async fn finish_reply(
        &mut self,
        end: ReplyEnd,
        member: Option<&MemberId>,
    ) -> Result<Result<(), Refusal>, Disconnected> {
        let mut lost_write = None;
        if let Some(position) = end.position {
            lost_write = self.record_commit(position, member).await;
            let mut buf = BytesMut::new();
            answer::put_position(&mut buf, position);
            self.write(&buf).await?;
        }
        Ok(end.refusal.or(lost_write).map_or(Ok(()), Err))
    }

    /// Records the position of a commit, and returns a refusal when a write of an older term was lost.
    ///
    /// The new position is sent to the client only after this check: if the client used it on another connection, the
    /// loss would not be reported there.
    async fn record_commit(
        &mut self,
        position: Position,
        member: Option<&MemberId>,
    ) -> Option<Refusal> {
        let session = &mut self.settings.session;
        let is_newer_term =
            session.position().is_some_and(|previous| previous.term < position.term);
        session.committed(position);
        if !is_newer_term {
            return None;
        }
        let router = &self.entry.router;
        let history = router.history_with(&self.identity.database, position.term, member).await;
        let kind = session.check(&history)?;
        let detail = format!("the statement itself was committed at {position}");
        Some(Refusal::unknown(kind).detail(detail))
    }

    /// Ends the answer to a batch with the error, if there is one, and `ReadyForQuery`.
    async fn finish_batch(&mut self, result: Result<(), Refusal>) -> Result<(), Disconnected> {
        let mut buf = BytesMut::new();
        if let Err(refusal) = &result {
            self.count_refusal(refusal);
            answer::put_error(&mut buf, refusal);
        }
        let status = self.transaction.as_ref().map_or(TransactionStatus::Idle, |open| open.status);
        answer::put_ready(&mut buf, status);
        self.write(&buf).await
    }

    /// Sends an error without `ReadyForQuery`, which follows the client's `Sync`.
    async fn write_error(&mut self, refusal: &Refusal) -> Result<(), Disconnected> {
        self.count_refusal(refusal);
        let mut buf = BytesMut::new();
        answer::put_error(&mut buf, refusal);
        self.write(&buf).await
    }

    /// Sends a fatal error and closes the connection; always returns an error.
    async fn close(&mut self, refusal: &Refusal) -> Result<(), Disconnected> {
        self.count_refusal(refusal);
        let mut buf = BytesMut::new();
        answer::put_fatal(&mut buf, refusal);
        if self.write(&buf).await.is_ok() {
            // Closing with unread messages would reset the connection, and the client might not receive the error.
            let read = async { while let Ok(Some(_)) = self.reader.next().await {} };
            let timer = async {
                Timer::after(LINGER_TIMEOUT).await;
            };
            read.or(timer).await;
        }
        let _ = self.reader.stream().close().await;
        Err(Disconnected)
    }

    fn count_refusal(&self, refusal: &Refusal) {
        let metrics = self.entry.node().metrics();
        metrics.count_tagged("entry.refusals", "sqlstate", refusal.sqlstate());
    }

    pub(super) async fn write(&mut self, bytes: &[u8]) -> Result<(), Disconnected> {
        let limit = self.entry.node().settings().times.client_answer;
        let stream = self.reader.stream();
        let write = async {
            stream.write_all(bytes).await.map_err(|_| Disconnected)?;
            stream.flush().await.map_err(|_| Disconnected)
        };
        within(limit, write).await.unwrap_or_else(|| {
            self.entry.node().metrics().count("entry.limited");
            self.account.log_limited("an answer was not read in time");
            Err(Disconnected)
        })
    }
}

impl<S> Drop for Session<'_, S> {
    fn drop(&mut self) {
        self.entry.sessions.remove(self.process);
    }
}

/// Completes [`DRAIN_IDLE_TIME`] after the start of a drain, or after the call when the instance drains already.
async fn wait_for_drain<T>(node: &Node) -> Option<T> {
    let drain = node.drain_started();
    if !node.is_draining() {
        drain.await;
    }
    Timer::after(DRAIN_IDLE_TIME).await;
    None
}

/// Classifies a batch by the contract; when the key check failed, only stale reads on open routes are allowed.
fn classify(plan: &Plan, authorised: &Authorised) -> Result<StatementClass, Refusal> {
    let contract = &authorised.contract;
    let writes = plan.effect == Effect::Write || !plan.tables_known;
    if let Err(refusal) = &authorised.key_check {
        let open = if writes { None } else { contract.open_read(&plan.tables) };
        return match open {
            Some(max_age) => Ok(StatementClass::StaleRead { max_age }),
            None => Err(refusal.clone()),
        };
    }
    Ok(contract.classify(&plan.tables, writes))
}

/// End of an answer that the home did not complete.
const fn connection_lost() -> ReplyEnd {
    ReplyEnd::refused(Refusal::unknown(RefusalKind::ConnectionLost))
}

/// Refusal of a batch whose transaction was rolled back because its upstream connection was lost.
fn transaction_lost() -> Refusal {
    Refusal::not_run(RefusalKind::NoMember)
        .detail("the connection of the transaction was lost and the transaction rolled back")
}
