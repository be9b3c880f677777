//! Execution of one batch of messages on a connection, with request ids and the release of the answer.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use hibiscusladder_core::{
    at_most_once::{RequestDecision, SendState},
    clock::Instant,
    outcome::{Execution as Outcome, Refusal, RefusalKind},
    position::{Position, Term},
    request::StatementClass,
};
use hibiscusladder_proto::reply::{ReplyEnd, TransactionStatus};

use super::{
    Member,
    record::{self, RequestKey},
    response_writer::ResponseWriter,
};
use crate::{
    caller::frame::{Fields, Frame},
    upstream::{
        BackendState, PooledConnection, Probe, QueryResult, UpstreamError,
        connection::{command_tag, error_fields, query_message, with_timeout},
    },
};

/// Largest part of an answer, in bytes, that is held back until the gate is open.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Time limit for sending a cancel request and for the member's next message.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATEs with which a member rejects a statement before it changes anything, although another member may accept
/// it: fenced or replica, too many connections, starting up.
const REJECTED_STATES: [&str; 3] = ["25006", "53300", "57P03"];

/// End of an answered batch, with the connection on which it ran.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) end: ReplyEnd,
    pub(super) pooled: PooledConnection,
}

/// Runs batches on a connection.
///
/// The connection is returned in [`Finished`] only; after an error it is closed, since its state is unknown.
#[derive(Debug)]
pub(super) struct Execution<'a> {
    member: &'a Member,
    pooled: Option<PooledConnection>,
    class: StatementClass,
    deadline: Instant,
    sent: SendState,
    /// Term whose gate has to be open when an answer is released; `None` for reads that may be stale.
    ///
    /// On the primary it is the term in which the member was primary before the statement was sent. A term that
    /// the home learns later does not confirm the answer of an older primary.
    term: Option<Term>,
}

/// Transaction status, command tags and error of an answer, collected while it was forwarded.
#[derive(Debug)]
struct Answer {
    status: TransactionStatus,
    tags: Vec<String>,
    sqlstate: Option<String>,
}

impl<'a> Execution<'a> {
    /// Prepares the execution of a batch on `pooled`; `term` is the one whose gate has to be open for the answer.
    pub(super) const fn new(
        member: &'a Member,
        pooled: PooledConnection,
        class: StatementClass,
        term: Option<Term>,
        deadline: Instant,
    ) -> Self {
        Self { member, pooled: Some(pooled), class, deadline, sent: SendState::NotSent, term }
    }

    /// Runs a batch outside a transaction that the client began earlier.
    pub(super) async fn run(
        &mut self,
        data: &Bytes,
        frames: &[Frame],
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        let with_position_query =
            self.class.needs_primary() && !starts_with_any(frames, &["begin", "start"]);
        let answer = self.run_batch(data, with_position_query, writer).await?;
        self.check_rejected(&answer, writer)?;
        let position =
            self.position_after(&answer, with_position_query, self.class.needs_primary()).await?;
        self.release(answer, position, writer).await
    }

    /// Runs a further batch of a transaction.
    pub(super) async fn continue_open(
        &mut self,
        data: &Bytes,
        frames: &[Frame],
        on_primary: bool,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        let with_position_query = on_primary && starts_with_any(frames, &["commit", "end"]);
        let answer = self.run_batch(data, with_position_query, writer).await?;
        let position = self.position_after(&answer, with_position_query, on_primary).await?;
        self.release(answer, position, writer).await
    }

    /// Position after a batch; `None` when the batch has not ended its transaction, or cannot have committed.
    ///
    /// `queried` means that the query for the position was sent with the batch, so that its answer has to be read.
    async fn position_after(
        &mut self,
        answer: &Answer,
        queried: bool,
        may_commit: bool,
    ) -> Result<Option<Position>, Refusal> {
        let position = match (queried, answer.status) {
            (true, _) => self.read_position().await?,
            (false, TransactionStatus::Idle) if may_commit => self.query_position().await?,
            _ => None,
        };
        Ok(position.filter(|_| answer.status == TransactionStatus::Idle))
    }

    /// Runs a batch that begins a transaction with a request id.
    pub(super) async fn begin_recorded(
        &mut self,
        key: &RequestKey,
        data: &Bytes,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        self.ensure_table().await?;
        writer.hold();
        let answer = self.run_batch(data, false, writer).await?;
        if answer.status != TransactionStatus::Open {
            self.check_rejected(&answer, writer)?;
            return self.release(answer, None, writer).await;
        }
        // The transaction has not been committed, so a request that fails from here on counts as not run.
        let timeout = self.answer_timeout();
        let connection = &mut self.connection()?.connection;
        let inserted = with_timeout(timeout, key.insert_id(connection)).await;
        if !inserted.map_err(|error| self.not_run(&error))? {
            let refusal = Refusal::not_run(RefusalKind::RequestIdReused)
                .detail("the transaction with this request id has already committed");
            return Err(refusal);
        }
        self.release(answer, None, writer).await
    }

    /// Runs a batch in a transaction that the home begins and commits, and that also records the request id.
    pub(super) async fn run_recorded(
        &mut self,
        key: &RequestKey,
        data: &Bytes,
        frames: &[Frame],
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        self.ensure_table().await?;
        // Only the id is inserted here; without a commit, that has no effect.
        let timeout = self.answer_timeout();
        let connection = &mut self.connection()?.connection;
        let decision = with_timeout(timeout, key.begin_with_id(connection)).await;
        match decision.map_err(|error| self.not_run(&error))? {
            RequestDecision::Run => {}
            RequestDecision::Reject => {
                return Err(Refusal::not_run(RefusalKind::RequestIdReused));
            }
            RequestDecision::Return(outcome) => {
                return self.answer_recorded(frames, &outcome, writer).await;
            }
        }
        writer.hold();
        let answer = match self.run_batch(data, false, writer).await {
            Ok(answer) => answer,
            // The transaction was not committed, and the member rolls it back with the connection.
            Err(refusal) => return Err(not_committed(refusal, frames)),
        };
        if answer.status == TransactionStatus::Idle {
            // The batch ended the transaction by itself.
            let position = self.query_position().await?;
            return self.release(answer, position, writer).await;
        }
        if answer.sqlstate.is_some() {
            return self.roll_back(answer, writer).await;
        }
        self.commit_recorded(key, frames, answer, writer).await
    }

    async fn commit_recorded(
        &mut self,
        key: &RequestKey,
        frames: &[Frame],
        mut answer: Answer,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        let tag = answer.tags.last().cloned().unwrap_or_default();
        let committed = self.commit(&key.outcome_statement(&tag)).await;
        match committed {
            Ok(position) => {
                answer.status = TransactionStatus::Idle;
                self.release(answer, position, writer).await
            }
            Err(UpstreamError::ErrorResponse { sqlstate, message }) => {
                Err(Refusal::not_run(RefusalKind::NoMember)
                    .detail(format!("the commit was rejected: {sqlstate} {message}")))
            }
            Err(error) => self.resolve_lost_commit(key, frames, &error, writer).await,
        }
    }

    /// Records the outcome, commits and queries the position; the three statements are sent together.
    async fn commit(&mut self, outcome: &str) -> Result<Option<Position>, UpstreamError> {
        let timeout = self.answer_timeout();
        let pooled = self.pooled.as_mut().ok_or(UpstreamError::Closed)?;
        let mut messages = BytesMut::new();
        messages.put(query_message(outcome));
        messages.put(query_message("COMMIT"));
        messages.put(query_message("SELECT group_position()"));
        let connection = &mut pooled.connection;
        with_timeout(timeout, async {
            connection.send(&messages).await?;
            let recorded = connection.read_result().await;
            let committed = connection.read_result().await;
            let position = connection.read_result().await;
            // A failed step makes the later ones fail, so the first error is the cause.
            recorded?;
            if committed?.tag != "COMMIT" {
                let message = "the transaction was rolled back".to_owned();
                return Err(UpstreamError::ErrorResponse { sqlstate: "40000".to_owned(), message });
            }
            Ok(parse_position(&position?))
        })
        .await
    }

    /// Looks up the outcome of a commit whose answer was not received.
    async fn resolve_lost_commit(
        &mut self,
        key: &RequestKey,
        frames: &[Frame],
        error: &UpstreamError,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        spdlog::warn!(
            "home: no answer to a commit at member {}, looking up its outcome: {error}",
            self.member.id
        );
        let connection_lost =
            || Refusal::unknown(RefusalKind::ConnectionLost).detail(error.to_string());
        self.pooled = None;
        let mut probe = Probe::open(&self.member.pool).await.map_err(|_| connection_lost())?;
        let result = probe.query(&key.lookup_statement()).await.map_err(|_| connection_lost())?;
        let Some(RequestDecision::Return(outcome)) = key.recorded(&result) else {
            return Err(connection_lost());
        };
        let wait = self.deadline.since(self.member.node.now());
        let pooled = self.member.pool.acquire(wait).await.map_err(|_| connection_lost())?;
        self.pooled = Some(pooled);
        writer.discard();
        self.answer_recorded(frames, &outcome, writer).await
    }

    async fn answer_recorded(
        &mut self,
        frames: &[Frame],
        outcome: &str,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        writer.push_bytes(&record::replay(frames, outcome));
        let position = self.query_position().await?;
        let answer = Answer { status: TransactionStatus::Idle, tags: Vec::new(), sqlstate: None };
        self.release(answer, position, writer).await
    }

    async fn roll_back(
        &mut self,
        mut answer: Answer,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        let timeout = self.answer_timeout();
        let connection = &mut self.connection()?.connection;
        let done = with_timeout(timeout, connection.query("ROLLBACK")).await;
        done.map_err(|error| self.not_run(&error))?;
        answer.status = TransactionStatus::Idle;
        self.check_rejected(&answer, writer)?;
        self.release(answer, None, writer).await
    }

    /// Creates the table of request ids, once in each term.
    async fn ensure_table(&mut self) -> Result<(), Refusal> {
        let member = self.member;
        let Some(term) = member.primary_term() else {
            return Err(member.no_member("it is not the primary"));
        };
        let mut created_in = member.record_table_term.lock().await;
        if *created_in == Some(term) {
            return Ok(());
        }
        let timeout = self.answer_timeout();
        let connection = &mut self.connection()?.connection;
        let result = with_timeout(timeout, connection.query(record::CREATE_TABLE)).await;
        result.map_err(|error| self.not_run(&error))?;
        *created_in = Some(term);
        Ok(())
    }

    /// Sends a batch and forwards its answer up to `ReadyForQuery`. With `with_position_query`, a query for the
    /// position is sent behind the batch, and its answer is left to be read.
    async fn run_batch(
        &mut self,
        data: &Bytes,
        with_position_query: bool,
        writer: &mut ResponseWriter,
    ) -> Result<Answer, Refusal> {
        if with_position_query {
            let mut messages = BytesMut::with_capacity(data.len() + 64);
            messages.put_slice(data);
            messages.put(query_message("SELECT group_position()"));
            self.send(&messages).await?;
        } else {
            self.send(data).await?;
        }
        self.read_answer(writer).await
    }

    async fn read_answer(&mut self, writer: &mut ResponseWriter) -> Result<Answer, Refusal> {
        let gated = self.term.is_some();
        let mut answer =
            Answer { status: TransactionStatus::Idle, tags: Vec::new(), sqlstate: None };
        loop {
            let frame = self.next_frame().await?;
            match frame.kind() {
                b'Z' => {
                    answer.status = status(&frame);
                    return Ok(answer);
                }
                b'C' => {
                    if gated {
                        writer.hold();
                    }
                    answer.tags.push(command_tag(&frame));
                }
                b's' if gated => writer.hold(),
                b'E' => answer.sqlstate = Some(error_fields(&frame).0),
                _ => {}
            }
            if writer.held_bytes() + frame.size() > MAX_HELD_BYTES {
                let detail = "the answer is too large to be held until the commit is confirmed";
                return Err(self.sent.refusal(RefusalKind::Unsupported).detail(detail));
            }
            if writer.push(&frame).await.is_err() {
                return Err(self.sent.refusal(RefusalKind::ConnectionLost));
            }
        }
    }

    /// Waits until the gate is open and releases the answer.
    async fn release(
        &mut self,
        answer: Answer,
        position: Option<Position>,
        writer: &mut ResponseWriter,
    ) -> Result<Finished, Refusal> {
        if let Some(term) = self.term {
            let term = position.map_or(term, |position| position.term.max(term));
            self.member.wait_gate_open(term).await?;
        }
        writer.release();
        let mut pooled =
            self.pooled.take().ok_or_else(|| self.connection_lost(&UpstreamError::Closed))?;
        if self.class.needs_primary() && answer.status == TransactionStatus::Idle {
            pooled.record_commit();
        }
        let position = position.filter(|_| answer.sqlstate.is_none());
        let end = ReplyEnd { status: answer.status, position, refusal: None };
        Ok(Finished { end, pooled })
    }

    /// Returns "not run" when the member rejected the statement with one of [`REJECTED_STATES`], so that the entry
    /// instance can choose another member.
    fn check_rejected(&self, answer: &Answer, writer: &mut ResponseWriter) -> Result<(), Refusal> {
        let Some(sqlstate) = &answer.sqlstate else { return Ok(()) };
        let rejected = REJECTED_STATES.contains(&sqlstate.as_str());
        if !rejected || !answer.tags.is_empty() || writer.has_sent() {
            return Ok(());
        }
        writer.discard();
        Err(self.member.no_member(&format!("it rejected the statement with {sqlstate}")))
    }

    async fn query_position(&mut self) -> Result<Option<Position>, Refusal> {
        self.send(&query_message("SELECT group_position()")).await?;
        self.read_position().await
    }

    async fn read_position(&mut self) -> Result<Option<Position>, Refusal> {
        let timeout = self.answer_timeout();
        let connection = &mut self.connection()?.connection;
        match with_timeout(timeout, connection.read_result()).await {
            Ok(result) => Ok(parse_position(&result)),
            Err(UpstreamError::ErrorResponse { .. }) => Ok(None),
            Err(error) => Err(self.connection_lost(&error)),
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), Refusal> {
        self.sent = self.sent.sending();
        let connection = &mut self.connection()?.connection;
        let sent = connection.send(bytes).await;
        sent.map_err(|error| self.connection_lost(&error))
    }

    /// Reads the next message. When none arrives in time, checks on a new connection whether the statement still runs.
    async fn next_frame(&mut self) -> Result<Frame, Refusal> {
        loop {
            let now = self.member.node.now();
            let left = self.deadline.since(now);
            if left.is_zero() {
                return self.cancel().await;
            }
            let timeout = self.answer_timeout().min(left);
            let connection = &mut self.connection()?.connection;
            match with_timeout(timeout, connection.next()).await {
                Ok(frame) => return Ok(frame),
                Err(UpstreamError::Timeout(_)) => self.check_backend().await?,
                Err(error) => return Err(self.connection_lost(&error)),
            }
        }
    }

    /// Returns an error when the backend of the connection no longer runs the statement.
    async fn check_backend(&mut self) -> Result<(), Refusal> {
        let pid = self.connection()?.connection.cancel_key().backend_pid();
        let state = async {
            let mut probe = Probe::open(&self.member.pool).await?;
            probe.backend_state(pid).await
        };
        match state.await {
            Ok(BackendState::Active) => Ok(()),
            Ok(BackendState::Inactive) => {
                spdlog::warn!(
                    "home: member {} no longer runs a statement whose answer was not received",
                    self.member.id
                );
                // The idle connections may have stopped delivering together with this one.
                self.member.pool.clear();
                Err(self.connection_lost(&UpstreamError::Closed))
            }
            Err(error) => Err(self.connection_lost(&error)),
        }
    }

    /// Cancels the statement after its deadline and returns the member's next message.
    async fn cancel(&mut self) -> Result<Frame, Refusal> {
        let connection = &mut self.connection()?.connection;
        let key = connection.cancel_key().clone();
        let answer = with_timeout(CANCEL_TIMEOUT, async {
            key.cancel().await?;
            connection.next().await
        });
        answer.await.map_err(|error| self.connection_lost(&error))
    }

    /// Longest time without a message from the member; then the backend of a client's batch is checked, and the home no
    /// longer waits for the answer to a statement of its own.
    fn answer_timeout(&self) -> Duration {
        self.member.node.settings().times.silence_bound
    }

    fn connection(&mut self) -> Result<&mut PooledConnection, Refusal> {
        let sent = self.sent;
        self.pooled.as_mut().ok_or_else(|| sent.refusal(RefusalKind::ConnectionLost))
    }

    fn connection_lost(&self, error: &UpstreamError) -> Refusal {
        let kind = match self.sent {
            SendState::NotSent => RefusalKind::NoMember,
            SendState::MaybeSent => RefusalKind::ConnectionLost,
        };
        self.sent.refusal(kind).detail(error.to_string())
    }

    fn not_run(&self, error: &UpstreamError) -> Refusal {
        self.member.no_member(&error.to_string())
    }
}

/// Turns the refusal of a batch in a transaction of the home, which was not committed, into "not run".
///
/// The refusal stays as it is when the batch may have committed by itself: by a text of several statements, or by a
/// statement that commits.
fn not_committed(mut refusal: Refusal, frames: &[Frame]) -> Refusal {
    let several = frames.iter().any(|frame| {
        let text =
            Fields::new(frame.body()).text().unwrap_or_default().trim().trim_end_matches(';');
        frame.kind() == b'Q' && text.contains(';')
    });
    if !several && !starts_with_any(frames, &["commit", "end"]) {
        refusal.execution = Outcome::NotRun;
    }
    refusal
}

fn parse_position(result: &QueryResult) -> Option<Position> {
    result.value(0)?.parse().ok()
}

fn status(frame: &Frame) -> TransactionStatus {
    match frame.body().first() {
        Some(b'T') => TransactionStatus::Open,
        Some(b'E') => TransactionStatus::Failed,
        _ => TransactionStatus::Idle,
    }
}

/// Whether the text of a statement in the batch starts with one of `words`.
fn starts_with_any(frames: &[Frame], words: &[&str]) -> bool {
    frames.iter().any(|frame| {
        let mut fields = Fields::new(frame.body());
        match frame.kind() {
            b'Q' => {}
            b'P' => drop(fields.cstr()),
            _ => return false,
        }
        let text = fields.text().unwrap_or_default().trim_start();
        let end = text.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(text.len());
        words.iter().any(|word| text[..end].eq_ignore_ascii_case(word))
    })
}
