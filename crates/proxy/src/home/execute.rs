//! Runs one batch of messages on a connection and relays the answer.

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
    outlet::Outlet,
    record::{self, RequestKey},
};
use crate::{
    caller::frame::{Fields, Frame},
    upstream::{
        BackendState, PooledConnection, Probe, QueryResult, UpstreamError,
        connection::{command_tag, error_fields, query_message, with_timeout},
    },
};

/// Largest part of an answer that is held back until it may be released, in bytes.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Time that a member gets to confirm a cancelled statement.
const CANCEL_BOUND: Duration = Duration::from_secs(1);
/// SQLSTATEs with which a member rejects a statement before it changes anything, and which another member may not
/// have: fenced or replica, too many connections, starting up.
const REJECTED_STATES: [&str; 3] = ["25006", "53300", "57P03"];

/// A batch that was answered, with the connection on which it ran.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) end: ReplyEnd,
    pub(super) pooled: PooledConnection,
}

/// Runs batches on a connection.
///
/// The connection is returned in [`Finished`] only; after an error it is closed, since its state is in doubt.
#[derive(Debug)]
pub(super) struct Execution<'a> {
    member: &'a Member,
    pooled: Option<PooledConnection>,
    class: StatementClass,
    deadline: Instant,
    sent: SendState,
    /// Term whose gate has to be open when an answer is released; absent for reads that may be stale.
    ///
    /// On the primary it is the term in which the member was primary before the statement was sent. A term that
    /// the home learns of later does not confirm what an older primary answered.
    term: Option<Term>,
}

/// What the relayed answer showed.
#[derive(Debug)]
struct Answer {
    status: TransactionStatus,
    tags: Vec<String>,
    sqlstate: Option<String>,
}

impl<'a> Execution<'a> {
    /// Prepares the execution of a batch; `term` is the one whose gate has to be open for the answer.
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
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        let ask = self.class.needs_primary() && !starts_with_any(frames, &["begin", "start"]);
        let answer = self.relay(data, ask, outlet).await?;
        self.check_rejected(&answer, outlet)?;
        let position = self.position_after(&answer, ask, self.class.needs_primary()).await?;
        self.release(answer, position, outlet).await
    }

    /// Runs a further batch of a transaction.
    pub(super) async fn continue_open(
        &mut self,
        data: &Bytes,
        frames: &[Frame],
        on_primary: bool,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        let ask = on_primary && starts_with_any(frames, &["commit", "end"]);
        let answer = self.relay(data, ask, outlet).await?;
        let position = self.position_after(&answer, ask, on_primary).await?;
        self.release(answer, position, outlet).await
    }

    /// Position after a batch that may have committed; `asked` when the question was sent with the batch.
    async fn position_after(
        &mut self,
        answer: &Answer,
        asked: bool,
        may_commit: bool,
    ) -> Result<Option<Position>, Refusal> {
        let position = match (asked, answer.status) {
            (true, _) => self.read_position().await?,
            (false, TransactionStatus::Idle) if may_commit => self.ask_position().await?,
            _ => None,
        };
        Ok(position.filter(|_| answer.status == TransactionStatus::Idle))
    }

    /// Runs a batch that begins a transaction with a request id.
    pub(super) async fn begin_recorded(
        &mut self,
        key: &RequestKey,
        data: &Bytes,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        self.ensure_table().await?;
        outlet.hold();
        let answer = self.relay(data, false, outlet).await?;
        if answer.status != TransactionStatus::Open {
            self.check_rejected(&answer, outlet)?;
            return self.release(answer, None, outlet).await;
        }
        // The transaction has not been committed, so nothing that fails from here on has run.
        let bound = self.silence_bound();
        let connection = &mut self.connection()?.connection;
        let claimed = with_timeout(bound, key.claim_in_transaction(connection)).await;
        if !claimed.map_err(|error| self.not_run(&error))? {
            let refusal = Refusal::not_run(RefusalKind::RequestIdReused)
                .detail("the transaction with this request id has already committed");
            return Err(refusal);
        }
        self.release(answer, None, outlet).await
    }

    /// Runs a batch in a transaction of its own that also records the request id.
    pub(super) async fn run_recorded(
        &mut self,
        key: &RequestKey,
        data: &Bytes,
        frames: &[Frame],
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        self.ensure_table().await?;
        // Only the claim is sent here; without a commit, it leaves no trace.
        let bound = self.silence_bound();
        let connection = &mut self.connection()?.connection;
        let decision = with_timeout(bound, key.claim(connection)).await;
        match decision.map_err(|error| self.not_run(&error))? {
            RequestDecision::Run => {}
            RequestDecision::Reject => {
                return Err(Refusal::not_run(RefusalKind::RequestIdReused));
            }
            RequestDecision::Return(outcome) => {
                return self.answer_recorded(frames, &outcome, outlet).await;
            }
        }
        outlet.hold();
        let answer = match self.relay(data, false, outlet).await {
            Ok(answer) => answer,
            // The transaction was not committed, and the member rolls it back with the connection.
            Err(refusal) => return Err(not_committed(refusal, frames)),
        };
        if answer.status == TransactionStatus::Idle {
            // The batch ended the transaction by itself.
            let position = self.ask_position().await?;
            return self.release(answer, position, outlet).await;
        }
        if answer.sqlstate.is_some() {
            return self.roll_back(answer, outlet).await;
        }
        self.commit_recorded(key, frames, answer, outlet).await
    }

    async fn commit_recorded(
        &mut self,
        key: &RequestKey,
        frames: &[Frame],
        mut answer: Answer,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        let tag = answer.tags.last().cloned().unwrap_or_default();
        let committed = self.commit(&key.outcome_statement(&tag)).await;
        match committed {
            Ok(position) => {
                answer.status = TransactionStatus::Idle;
                self.release(answer, position, outlet).await
            }
            Err(UpstreamError::ErrorResponse { sqlstate, message }) => {
                Err(Refusal::not_run(RefusalKind::NoMember)
                    .detail(format!("the commit was rejected: {sqlstate} {message}")))
            }
            Err(error) => self.resolve(key, frames, &error, outlet).await,
        }
    }

    /// Records the outcome and commits.
    async fn commit(&mut self, outcome: &str) -> Result<Option<Position>, UpstreamError> {
        let bound = self.silence_bound();
        let pooled = self.pooled.as_mut().ok_or(UpstreamError::Closed)?;
        let mut messages = BytesMut::new();
        messages.put(query_message(outcome));
        messages.put(query_message("COMMIT"));
        messages.put(query_message("SELECT group_position()"));
        let connection = &mut pooled.connection;
        with_timeout(bound, async {
            connection.send(&messages).await?;
            let recorded = connection.read_result().await;
            let committed = connection.read_result().await;
            let position = connection.read_result().await;
            // The failure of an earlier step is the cause of the later ones.
            recorded?;
            if committed?.tag != "COMMIT" {
                let message = "the transaction was rolled back".to_owned();
                return Err(UpstreamError::ErrorResponse { sqlstate: "40000".to_owned(), message });
            }
            Ok(parse_position(&position?))
        })
        .await
    }

    /// Looks the outcome of a commit up whose answer was lost.
    async fn resolve(
        &mut self,
        key: &RequestKey,
        frames: &[Frame],
        error: &UpstreamError,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        spdlog::warn!("home: the answer to a commit at {} was lost: {error}", self.member.id);
        let lost = || Refusal::unknown(RefusalKind::ConnectionLost).detail(error.to_string());
        self.pooled = None;
        let mut probe = Probe::open(&self.member.pool).await.map_err(|_| lost())?;
        let result = probe.query(&key.lookup_statement()).await.map_err(|_| lost())?;
        let Some(RequestDecision::Return(outcome)) = key.recorded(&result) else {
            return Err(lost());
        };
        let wait = self.deadline.since(self.member.node.now());
        let pooled = self.member.pool.acquire(wait).await.map_err(|_| lost())?;
        self.pooled = Some(pooled);
        outlet.discard();
        self.answer_recorded(frames, &outcome, outlet).await
    }

    async fn answer_recorded(
        &mut self,
        frames: &[Frame],
        outcome: &str,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        outlet.push_bytes(&record::replay(frames, outcome));
        let position = self.ask_position().await?;
        let answer = Answer { status: TransactionStatus::Idle, tags: Vec::new(), sqlstate: None };
        self.release(answer, position, outlet).await
    }

    async fn roll_back(
        &mut self,
        mut answer: Answer,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        let bound = self.silence_bound();
        let connection = &mut self.connection()?.connection;
        let done = with_timeout(bound, connection.query("ROLLBACK")).await;
        done.map_err(|error| self.not_run(&error))?;
        answer.status = TransactionStatus::Idle;
        self.check_rejected(&answer, outlet)?;
        self.release(answer, None, outlet).await
    }

    /// Creates the table of request ids once in each term.
    async fn ensure_table(&mut self) -> Result<(), Refusal> {
        let member = self.member;
        let Some(term) = member.primary_term() else {
            return Err(member.no_member("it is not the primary"));
        };
        let mut known = member.recorded_term.lock().await;
        if *known == Some(term) {
            return Ok(());
        }
        let bound = self.silence_bound();
        let connection = &mut self.connection()?.connection;
        let result = with_timeout(bound, connection.query(record::CREATE_TABLE)).await;
        result.map_err(|error| self.not_run(&error))?;
        *known = Some(term);
        Ok(())
    }

    /// Sends a batch and relays the answer up to `ReadyForQuery`.
    async fn relay(
        &mut self,
        data: &Bytes,
        ask_position: bool,
        outlet: &mut Outlet,
    ) -> Result<Answer, Refusal> {
        if ask_position {
            let mut messages = BytesMut::with_capacity(data.len() + 64);
            messages.put_slice(data);
            messages.put(query_message("SELECT group_position()"));
            self.send(&messages).await?;
        } else {
            self.send(data).await?;
        }
        self.read_answer(outlet).await
    }

    async fn read_answer(&mut self, outlet: &mut Outlet) -> Result<Answer, Refusal> {
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
                        outlet.hold();
                    }
                    answer.tags.push(command_tag(&frame));
                }
                b's' if gated => outlet.hold(),
                b'E' => answer.sqlstate = Some(error_fields(&frame).0),
                _ => {}
            }
            if outlet.held() + frame.size() > MAX_HELD_BYTES {
                let detail = "the answer is too large to be held until the commit is confirmed";
                return Err(self.sent.refusal(RefusalKind::Unsupported).detail(detail));
            }
            if outlet.push(&frame).await.is_err() {
                return Err(self.sent.refusal(RefusalKind::ConnectionLost));
            }
        }
    }

    /// Releases the answer when the gate is open.
    async fn release(
        &mut self,
        answer: Answer,
        position: Option<Position>,
        outlet: &mut Outlet,
    ) -> Result<Finished, Refusal> {
        if let Some(term) = self.term {
            let term = position.map_or(term, |position| position.term.max(term));
            self.member.open_gate(term).await?;
        }
        outlet.release();
        let mut pooled = self.pooled.take().ok_or_else(|| self.lost(&UpstreamError::Closed))?;
        if self.class.needs_primary() && answer.status == TransactionStatus::Idle {
            pooled.record_commit();
        }
        let position = position.filter(|_| answer.sqlstate.is_none());
        let end = ReplyEnd { status: answer.status, position, refusal: None };
        Ok(Finished { end, pooled })
    }

    /// Turns an error that says that this member is the wrong one into "not run", so that the entry can go on.
    fn check_rejected(&self, answer: &Answer, outlet: &mut Outlet) -> Result<(), Refusal> {
        let Some(sqlstate) = &answer.sqlstate else { return Ok(()) };
        let rejected = REJECTED_STATES.contains(&sqlstate.as_str());
        if !rejected || !answer.tags.is_empty() || outlet.has_sent() {
            return Ok(());
        }
        outlet.discard();
        Err(self.member.no_member(&format!("it rejected the statement with {sqlstate}")))
    }

    async fn ask_position(&mut self) -> Result<Option<Position>, Refusal> {
        self.send(&query_message("SELECT group_position()")).await?;
        self.read_position().await
    }

    async fn read_position(&mut self) -> Result<Option<Position>, Refusal> {
        let bound = self.silence_bound();
        let connection = &mut self.connection()?.connection;
        match with_timeout(bound, connection.read_result()).await {
            Ok(result) => Ok(parse_position(&result)),
            Err(UpstreamError::ErrorResponse { .. }) => Ok(None),
            Err(error) => Err(self.lost(&error)),
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), Refusal> {
        self.sent = self.sent.sending();
        let connection = &mut self.connection()?.connection;
        let sent = connection.send(bytes).await;
        sent.map_err(|error| self.lost(&error))
    }

    /// Reads the next message; a silent connection is checked through a new one.
    async fn next_frame(&mut self) -> Result<Frame, Refusal> {
        loop {
            let now = self.member.node.now();
            let left = self.deadline.since(now);
            if left.is_zero() {
                return self.cancel().await;
            }
            let bound = self.silence_bound().min(left);
            let connection = &mut self.connection()?.connection;
            match with_timeout(bound, connection.next()).await {
                Ok(frame) => return Ok(frame),
                Err(UpstreamError::Timeout(_)) => self.check_backend().await?,
                Err(error) => return Err(self.lost(&error)),
            }
        }
    }

    /// Returns an error when the member no longer works on the statement.
    async fn check_backend(&mut self) -> Result<(), Refusal> {
        let process = self.connection()?.connection.cancel_key().process();
        let state = async {
            let mut probe = Probe::open(&self.member.pool).await?;
            probe.backend(process).await
        };
        match state.await {
            Ok(BackendState::Active) => Ok(()),
            Ok(BackendState::Inactive) => {
                spdlog::warn!("home: the answer of {} was lost on its way", self.member.id);
                // The idle connections may have gone silent together with this one.
                self.member.pool.clear();
                Err(self.lost(&UpstreamError::Closed))
            }
            Err(error) => Err(self.lost(&error)),
        }
    }

    /// Cancels the statement after its deadline and reads what the member says to that.
    async fn cancel(&mut self) -> Result<Frame, Refusal> {
        let connection = &mut self.connection()?.connection;
        let key = connection.cancel_key().clone();
        let answer = with_timeout(CANCEL_BOUND, async {
            key.cancel().await?;
            connection.next().await
        });
        answer.await.map_err(|error| self.lost(&error))
    }

    /// Time after which a silent connection is checked, or given up when nothing was committed on it.
    fn silence_bound(&self) -> Duration {
        self.member.node.settings().times.silence_bound
    }

    fn connection(&mut self) -> Result<&mut PooledConnection, Refusal> {
        let sent = self.sent;
        self.pooled.as_mut().ok_or_else(|| sent.refusal(RefusalKind::ConnectionLost))
    }

    fn lost(&self, error: &UpstreamError) -> Refusal {
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

/// The refusal of a batch within a transaction of the home that was not committed.
///
/// A text of several statements may have committed by itself.
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
