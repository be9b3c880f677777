//! Execution of one transaction or single batch, from admission to the end of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hibiscusladder_core::{
    clock::Instant,
    outcome::{Refusal, RefusalKind},
    position::{Position, Term},
    request::StatementClass,
    term_history::PositionStatus,
};
use hibiscusladder_proto::{
    reply::{ReplyEnd, TransactionStatus},
    request::Envelope,
};
use smol::{Timer, channel::Receiver, future::FutureExt};

use super::{
    Exchange, Member,
    admission::Slot,
    call::{CancelRegistration, CancelRegistry},
    execute::{Execution, Finished},
    member::TermRole,
    record::{self, RequestKey},
    response_writer::{Abandoned, ResponseWriter},
};
use crate::{
    caller::frame::{Frame, split_messages},
    trace::Hop,
    upstream::{PooledConnection, connection::with_timeout},
};

/// Longest wait for the lease before a request is refused, which returns it to its entry.
const LEASE_WAIT: Duration = Duration::from_millis(500);
/// Time limit for the rollback of an abandoned transaction; afterwards the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the batches of one transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    member: Arc<Member>,
    cancels: Arc<CancelRegistry>,
    keeps_transaction: bool,
}

/// An open transaction with its connection and slot.
#[derive(Debug)]
struct OpenTransaction {
    pooled: PooledConnection,
    slot: Slot,
    /// Term and role under which the transaction began.
    term_role: TermRole,
}

/// End of the answer to a batch, and the transaction when it stays open.
type BatchEnd = (ReplyEnd, Option<OpenTransaction>);

impl Transaction {
    pub(super) const fn new(
        member: Arc<Member>,
        cancels: Arc<CancelRegistry>,
        keeps_transaction: bool,
    ) -> Self {
        Self { member, cancels, keeps_transaction }
    }

    /// Runs the first batch and, when it leaves a transaction open, those that follow.
    pub(super) async fn run(self, first: Exchange, batches: Receiver<Exchange>) {
        let registration = self.cancels.register(first.envelope.cancel_token);
        let mut open = self.run_first(first, &registration).await;
        while let Some(transaction) = open {
            open = match self.next_batch(&batches).await {
                Next::Batch(exchange) => self.run_next(transaction, *exchange, &registration).await,
                Next::Dropped => {
                    registration.clear_connection();
                    roll_back(transaction);
                    return;
                }
                Next::Idle => {
                    registration.clear_connection();
                    roll_back(transaction);
                    self.report_idle(&batches).await;
                    return;
                }
            };
        }
    }

    async fn run_first(
        &self,
        exchange: Exchange,
        registration: &CancelRegistration,
    ) -> Option<OpenTransaction> {
        let Exchange { envelope, data, chunks } = exchange;
        let mut writer = ResponseWriter::new(chunks.clone());
        let work = async { Some(self.begin(&envelope, &data, &mut writer, registration).await) };
        let abandoned = async {
            chunks.closed().await;
            None
        };
        let ended = work.or(abandoned).await;
        self.finish(ended, writer, registration).await
    }

    async fn run_next(
        &self,
        transaction: OpenTransaction,
        exchange: Exchange,
        registration: &CancelRegistration,
    ) -> Option<OpenTransaction> {
        let Exchange { envelope, data, chunks } = exchange;
        let mut writer = ResponseWriter::new(chunks.clone());
        let work =
            async { Some(self.continue_open(transaction, &envelope, &data, &mut writer).await) };
        let abandoned = async {
            chunks.closed().await;
            None
        };
        let ended = work.or(abandoned).await;
        self.finish(ended, writer, registration).await
    }

    /// Sends the end of the answer to a batch. When the entry has dropped the answer (`ended` is `None`), cancels the
    /// statement at the member.
    async fn finish(
        &self,
        ended: Option<Result<BatchEnd, Refusal>>,
        writer: ResponseWriter,
        registration: &CancelRegistration,
    ) -> Option<OpenTransaction> {
        let (end, open) = match ended {
            Some(Ok(ended)) => ended,
            Some(Err(refusal)) => (ReplyEnd::refused(refusal), None),
            None => {
                // The connection was dropped with the cancelled future, but the member may still run the statement.
                if let Some(key) = registration.cancel_key() {
                    let _ = key.cancel().await;
                }
                return None;
            }
        };
        if open.is_none() {
            registration.clear_connection();
        }
        match (writer.finish(end).await, open) {
            (Ok(()), open) => open,
            (Err(Abandoned), Some(open)) => {
                registration.clear_connection();
                roll_back(open);
                None
            }
            (Err(Abandoned), None) => None,
        }
    }

    async fn begin(
        &self,
        envelope: &Envelope,
        data: &Bytes,
        writer: &mut ResponseWriter,
        registration: &CancelRegistration,
    ) -> Result<BatchEnd, Refusal> {
        let head = &envelope.head;
        let member = &self.member;
        let frames = split(data)?;
        let deadline = member.node.now().plus(head.remaining);
        let slot = self.admit(envelope, deadline).await?;
        if registration.take_cancelled() {
            return Err(cancelled());
        }
        // Position and role are valid for this term only; the gate of a later term does not confirm them.
        let term_role = member.term_role();
        let pooled = self.connect(envelope, deadline).await?;
        registration.set_connection(pooled.connection.cancel_key());
        let mut span = self.member.node.tracer().span(Hop::Upstream, &head.trace_parent);
        span.attribute("member", member.id.as_str());
        if !member.lease_usable() {
            return Err(member.no_member("the lease of its home has expired"));
        }
        if member.term_role() != term_role {
            return Err(member.no_member("the term changed before the statement was sent"));
        }
        // A write that waited for its slot may have passed the first check before new writes were delayed.
        if head.class.needs_primary() && member.group.writes_held() {
            return Err(member.no_member("it is being replaced as primary"));
        }
        self.check_primary(envelope, term_role)?;
        let term = gate_term(term_role, head.class, head.position);
        let mut execution = Execution::new(member, pooled, head.class, term, deadline);
        let finished = match request_key(envelope, &frames) {
            None => execution.run(data, &frames, writer).await,
            Some(key) if self.keeps_transaction && begins_transaction(&frames) => {
                execution.begin_recorded(&key, data, writer).await
            }
            Some(key) => execution.run_recorded(&key, data, &frames, writer).await,
        };
        if let Err(refusal) = &finished {
            span.fail(refusal.sqlstate());
        }
        let finished = finished?;
        drop(span);
        Ok(self.release_or_keep(finished, slot, term_role, self.keeps_transaction))
    }

    async fn continue_open(
        &self,
        transaction: OpenTransaction,
        envelope: &Envelope,
        data: &Bytes,
        writer: &mut ResponseWriter,
    ) -> Result<BatchEnd, Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        let term_role = transaction.term_role;
        let refusal = split(data).err().or_else(|| self.refusal_to_continue(term_role));
        if let Some(refusal) = refusal {
            roll_back(transaction);
            return Err(refusal);
        }
        let frames = split(data)?;
        let OpenTransaction { pooled, slot, .. } = transaction;
        let deadline = member.node.now().plus(head.remaining);
        let span = self.member.node.tracer().span(Hop::Upstream, &head.trace_parent);
        let term = gate_term(term_role, head.class, head.position);
        let mut execution = Execution::new(member, pooled, head.class, term, deadline);
        let on_primary = term_role.is_primary;
        let finished = execution.continue_open(data, &frames, on_primary, writer).await?;
        drop(span);
        Ok(self.release_or_keep(finished, slot, term_role, true))
    }

    /// Releases connection and slot when the transaction has ended, else keeps it open. Without `keeps_transaction`, a
    /// transaction that is still open is rolled back and the batch refused.
    fn release_or_keep(
        &self,
        finished: Finished,
        slot: Slot,
        term_role: TermRole,
        keeps_transaction: bool,
    ) -> BatchEnd {
        let Finished { mut end, pooled } = finished;
        if end.status == TransactionStatus::Idle {
            drop(slot);
            smol::spawn(pooled.release()).detach();
            return (end, None);
        }
        let open = OpenTransaction { pooled, slot, term_role };
        if keeps_transaction {
            return (end, Some(open));
        }
        roll_back(open);
        end.status = TransactionStatus::Idle;
        end.refusal = Some(
            Refusal::not_run(RefusalKind::Unsupported)
                .detail("the statement opened a transaction within a text; send BEGIN by itself"),
        );
        (end, None)
    }

    /// The refusal of a further batch, when the transaction cannot continue since the term or role changed.
    fn refusal_to_continue(&self, begun: TermRole) -> Option<Refusal> {
        // The lease is not checked here: a leaving home completes its open transactions.
        let term_role = self.member.term_role();
        if begun.is_primary && !term_role.is_primary {
            let reason = "it is no longer the primary; the transaction was rolled back";
            return Some(self.member.no_member(reason));
        }
        if begun != term_role {
            let reason = "the term has changed; the transaction was rolled back";
            return Some(self.member.no_member(reason));
        }
        None
    }

    /// Checks that a request that needs the primary runs on it.
    fn check_primary(&self, envelope: &Envelope, term_role: TermRole) -> Result<(), Refusal> {
        let head = &envelope.head;
        let needed = head.class.needs_primary()
            || (head.class == StatementClass::Read && head.position.is_none());
        if needed && !term_role.is_primary {
            return Err(self.member.no_member("it is no longer the primary"));
        }
        Ok(())
    }

    /// Waits for the lease, a token of the share and a slot.
    async fn admit(&self, envelope: &Envelope, deadline: Instant) -> Result<Slot, Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        let mut span = self.member.node.tracer().span(Hop::Queue, &head.trace_parent);
        span.attribute("workspace", head.workspace.as_str());
        let now = member.node.now();
        member.wait_lease(deadline.min(now.plus(LEASE_WAIT))).await?;
        if head.class.needs_primary() {
            member.wait_writes(deadline).await?;
        }
        self.check_can_serve(envelope)?;
        let contract = member.node.config().contract(&head.workspace).map(Arc::clone);
        let contract = contract.ok_or_else(|| Refusal::not_run(RefusalKind::KeyRejected))?;
        let result = async {
            member.admit(&head.workspace, deadline).await?;
            member.slot_queue.slot(&head.workspace, contract.weight, deadline).await
        };
        let slot = result.await;
        if let Err(refusal) = &slot {
            span.fail(refusal.sqlstate());
            member.node.metrics().count("home.refused");
        }
        slot
    }

    /// Checks that the member has the role for the request's class, that its home knows the term of the request's
    /// position, and that the position was not lost in a promotion.
    fn check_can_serve(&self, envelope: &Envelope) -> Result<(), Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        if head.class.needs_primary() && member.primary_term().is_none() {
            return Err(member.no_member("it is not the primary"));
        }
        let term = member.term();
        if head.position.is_some_and(|position| position.term > term) {
            return Err(member.no_member("its home does not know the term of the session yet"));
        }
        // The entry may not know of the last promotion yet.
        if let Some(lost) = head.position
            && let PositionStatus::Lost { term_start } = member.position_status(lost)
        {
            return Err(Refusal::not_run(RefusalKind::WriteLost { lost, term_start }));
        }
        Ok(())
    }

    /// Acquires a connection, and checks or waits until the member's data is recent enough for the request.
    async fn connect(
        &self,
        envelope: &Envelope,
        deadline: Instant,
    ) -> Result<PooledConnection, Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        self.check_can_serve(envelope)?;
        let left = deadline.since(member.node.now());
        let pooled = member.pool.acquire(left).await;
        let mut pooled = pooled.map_err(|error| member.no_member(&error.to_string()))?;
        match (head.class, head.position) {
            (StatementClass::StaleRead { max_age }, None) if !member.proved_within(max_age) => {
                smol::spawn(pooled.release()).detach();
                Err(Refusal::not_run(RefusalKind::StaleReadUnproved))
            }
            (StatementClass::Read, None) if member.primary_term().is_none() => {
                smol::spawn(pooled.release()).detach();
                Err(member.no_member("only the primary can serve a read without a position"))
            }
            (StatementClass::Read | StatementClass::StaleRead { .. }, Some(position))
                if member.primary_term().is_none() =>
            {
                member.wait_position(&mut pooled, position).await?;
                Ok(pooled)
            }
            _ => Ok(pooled),
        }
    }

    async fn next_batch(&self, batches: &Receiver<Exchange>) -> Next {
        let timeout = self.member.node.settings().times.idle_in_transaction;
        let next = async {
            batches.recv().await.map_or(Next::Dropped, |exchange| Next::Batch(Box::new(exchange)))
        };
        let idle = async {
            Timer::after(timeout).await;
            Next::Idle
        };
        next.or(idle).await
    }

    /// Refuses the next batch of a transaction that was rolled back for being idle.
    async fn report_idle(&self, batches: &Receiver<Exchange>) {
        self.member.node.metrics().count("home.idle_in_transaction");
        if let Ok(exchange) = batches.recv().await {
            let refusal = Refusal::not_run(RefusalKind::IdleInTransaction);
            let writer = ResponseWriter::new(exchange.chunks);
            let _ = writer.finish(ReplyEnd::refused(refusal)).await;
        }
    }
}

/// Event that follows a batch of an open transaction.
enum Next {
    Batch(Box<Exchange>),
    /// The sender of the batches was dropped.
    Dropped,
    /// No batch arrived within the setting `idle_in_transaction`.
    Idle,
}

/// Rolls back in the background; returns the connection to the pool when that succeeds.
fn roll_back(open: OpenTransaction) {
    smol::spawn(async move {
        let OpenTransaction { mut pooled, slot, .. } = open;
        let done = with_timeout(ROLLBACK_TIMEOUT, pooled.connection.query("ROLLBACK")).await;
        drop(slot);
        if done.is_ok() {
            pooled.release().await;
        }
    })
    .detach();
}

/// Term whose gate has to be open when the answer is released; `None` for a read that may be stale.
const fn gate_term(
    term_role: TermRole,
    class: StatementClass,
    position: Option<Position>,
) -> Option<Term> {
    match (class, position) {
        (StatementClass::StaleRead { .. }, None) => None,
        _ => Some(term_role.term),
    }
}

fn split(data: &Bytes) -> Result<Vec<Frame>, Refusal> {
    split_messages(data)
        .map_err(|error| Refusal::not_run(RefusalKind::Protocol).detail(error.to_string()))
}

fn cancelled() -> Refusal {
    Refusal::not_run(RefusalKind::DeadlineExceeded).detail("cancelled by the client")
}

/// The request id of a batch that needs the primary; `None` for other batches and without an id.
fn request_key(envelope: &Envelope, frames: &[Frame]) -> Option<RequestKey> {
    let head = &envelope.head;
    let id = head.request_id.as_ref().filter(|_| head.class.needs_primary())?;
    Some(RequestKey::new(&head.workspace, id, record::digest(frames)))
}

/// Whether the first statement of the batch begins a transaction and is the only one in its text.
fn begins_transaction(frames: &[Frame]) -> bool {
    let Some(first) = frames.iter().find(|frame| matches!(frame.kind(), b'Q' | b'P')) else {
        return false;
    };
    let mut fields = crate::caller::frame::Fields::new(first.body());
    if first.kind() == b'P' {
        let _name = fields.cstr();
    }
    let text = fields.text().unwrap_or_default().trim().trim_end_matches(';').to_ascii_lowercase();
    let word = text.split_whitespace().next();
    !text.contains(';') && matches!(word, Some("begin" | "start"))
}
