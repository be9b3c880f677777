//! One transaction or single statement, from admission to the end of its answer.

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
    call::{Cancels, Registered},
    execute::{Execution, Finished},
    member::Standing,
    outlet::{Abandoned, Outlet},
    record::{self, RequestKey},
};
use crate::{
    caller::frame::{Frame, split_messages},
    trace::Hop,
    upstream::{PooledConnection, connection::with_timeout},
};

/// Longest wait for the lease before a request goes back to its entry.
const LEASE_WAIT: Duration = Duration::from_millis(500);
/// Longest time for the rollback of an abandoned transaction; past it, the connection is closed.
const ROLLBACK_BOUND: Duration = Duration::from_secs(1);

/// Runs the batches of one transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    member: Arc<Member>,
    cancels: Arc<Cancels>,
    keep: bool,
}

/// A transaction that holds a connection and a slot.
#[derive(Debug)]
struct Open {
    pooled: PooledConnection,
    slot: Slot,
    /// Term and role under which the transaction began.
    standing: Standing,
}

/// End of a batch, and the transaction when it stays open.
type Ended = (ReplyEnd, Option<Open>);

impl Transaction {
    pub(super) const fn new(member: Arc<Member>, cancels: Arc<Cancels>, keep: bool) -> Self {
        Self { member, cancels, keep }
    }

    /// Runs the first batch and, when it leaves a transaction open, those that follow.
    pub(super) async fn run(self, first: Exchange, batches: Receiver<Exchange>) {
        let registered = self.cancels.register(first.envelope.cancel_token);
        let mut open = self.first(first, &registered).await;
        while let Some(transaction) = open {
            open = match self.next_batch(&batches).await {
                Next::Batch(exchange) => self.further(transaction, *exchange, &registered).await,
                Next::Dropped => {
                    registered.disconnected();
                    roll_back(transaction);
                    return;
                }
                Next::Idle => {
                    registered.disconnected();
                    roll_back(transaction);
                    self.report_idle(&batches).await;
                    return;
                }
            };
        }
    }

    async fn first(&self, exchange: Exchange, registered: &Registered) -> Option<Open> {
        let Exchange { envelope, data, chunks } = exchange;
        let mut outlet = Outlet::new(chunks.clone());
        let work = async { Some(self.begin(&envelope, &data, &mut outlet, registered).await) };
        let abandoned = async {
            chunks.closed().await;
            None
        };
        let ended = work.or(abandoned).await;
        self.finish(ended, outlet, registered).await
    }

    async fn further(
        &self,
        transaction: Open,
        exchange: Exchange,
        registered: &Registered,
    ) -> Option<Open> {
        let Exchange { envelope, data, chunks } = exchange;
        let mut outlet = Outlet::new(chunks.clone());
        let work = async { Some(self.exchange(transaction, &envelope, &data, &mut outlet).await) };
        let abandoned = async {
            chunks.closed().await;
            None
        };
        let ended = work.or(abandoned).await;
        self.finish(ended, outlet, registered).await
    }

    /// Sends the end of a batch; a batch whose entry is gone is cancelled at the member.
    async fn finish(
        &self,
        ended: Option<Result<Ended, Refusal>>,
        outlet: Outlet,
        registered: &Registered,
    ) -> Option<Open> {
        let (end, open) = match ended {
            Some(Ok(ended)) => ended,
            Some(Err(refusal)) => (ReplyEnd::refused(refusal), None),
            None => {
                // The connection was closed together with the work; the member still runs the statement.
                if let Some(key) = registered.key() {
                    let _ = key.cancel().await;
                }
                return None;
            }
        };
        if open.is_none() {
            registered.disconnected();
        }
        match (outlet.finish(end).await, open) {
            (Ok(()), open) => open,
            (Err(Abandoned), Some(open)) => {
                registered.disconnected();
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
        outlet: &mut Outlet,
        registered: &Registered,
    ) -> Result<Ended, Refusal> {
        let head = &envelope.head;
        let member = &self.member;
        let frames = split(data)?;
        let deadline = member.node.now().plus(head.remaining);
        let slot = self.admit(envelope, deadline).await?;
        if registered.take_cancelled() {
            return Err(cancelled());
        }
        // Position and role hold for this term only, so the gate of a later one confirms nothing about them.
        let standing = member.standing();
        let pooled = self.connect(envelope, deadline).await?;
        registered.connected(pooled.connection.cancel_key());
        let mut span = self.member.node.tracer().span(Hop::Upstream, &head.trace_parent);
        span.attribute("member", member.id.as_str());
        if !member.lease_usable() {
            return Err(member.no_member("the lease of its home has expired"));
        }
        if member.standing() != standing {
            return Err(member.no_member("the term changed before the statement was sent"));
        }
        // A write that waited for its slot came past the first check before writes were held back.
        if head.class.needs_primary() && member.group.writes_held() {
            return Err(member.no_member("it is being replaced as primary"));
        }
        self.check_standing(envelope, standing)?;
        let term = gate_term(standing, head.class, head.position);
        let mut execution = Execution::new(member, pooled, head.class, term, deadline);
        let finished = match request_key(envelope, &frames) {
            None => execution.run(data, &frames, outlet).await,
            Some(key) if self.keep && begins_transaction(&frames) => {
                execution.begin_recorded(&key, data, outlet).await
            }
            Some(key) => execution.run_recorded(&key, data, &frames, outlet).await,
        };
        if let Err(refusal) = &finished {
            span.fail(refusal.sqlstate());
        }
        let finished = finished?;
        drop(span);
        Ok(self.settle(finished, slot, standing, self.keep))
    }

    async fn exchange(
        &self,
        transaction: Open,
        envelope: &Envelope,
        data: &Bytes,
        outlet: &mut Outlet,
    ) -> Result<Ended, Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        let standing = transaction.standing;
        let refusal = split(data).err().or_else(|| self.lapsed(standing));
        if let Some(refusal) = refusal {
            roll_back(transaction);
            return Err(refusal);
        }
        let frames = split(data)?;
        let Open { pooled, slot, .. } = transaction;
        let deadline = member.node.now().plus(head.remaining);
        let span = self.member.node.tracer().span(Hop::Upstream, &head.trace_parent);
        let term = gate_term(standing, head.class, head.position);
        let mut execution = Execution::new(member, pooled, head.class, term, deadline);
        let on_primary = standing.is_primary;
        let finished = execution.continue_open(data, &frames, on_primary, outlet).await?;
        drop(span);
        Ok(self.settle(finished, slot, standing, true))
    }

    /// Returns the connection when the transaction has ended.
    fn settle(&self, finished: Finished, slot: Slot, standing: Standing, keep: bool) -> Ended {
        let Finished { mut end, pooled } = finished;
        if end.status == TransactionStatus::Idle {
            drop(slot);
            smol::spawn(pooled.release()).detach();
            return (end, None);
        }
        let open = Open { pooled, slot, standing };
        if keep {
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

    /// Why a transaction that is open cannot go on.
    fn lapsed(&self, begun: Standing) -> Option<Refusal> {
        // The lease is not needed to go on: a home that leaves completes the transactions that it holds.
        let standing = self.member.standing();
        if begun.is_primary && !standing.is_primary {
            let reason = "it is no longer the primary; the transaction was rolled back";
            return Some(self.member.no_member(reason));
        }
        if begun != standing {
            let reason = "the term has changed; the transaction was rolled back";
            return Some(self.member.no_member(reason));
        }
        None
    }

    /// Checks that a request that needs the primary runs on it.
    fn check_standing(&self, envelope: &Envelope, standing: Standing) -> Result<(), Refusal> {
        let head = &envelope.head;
        let needed = head.class.needs_primary()
            || (head.class == StatementClass::Read && head.position.is_none());
        if needed && !standing.is_primary {
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
        self.check_role(envelope)?;
        let contract = member.node.config().contract(&head.workspace).map(Arc::clone);
        let contract = contract.ok_or_else(|| Refusal::not_run(RefusalKind::KeyRejected))?;
        let result = async {
            member.admit(&head.workspace, deadline).await?;
            member.admission.slot(&head.workspace, contract.weight, deadline).await
        };
        let slot = result.await;
        if let Err(refusal) = &slot {
            span.fail(refusal.sqlstate());
            member.node.metrics().count("home.refused");
        }
        slot
    }

    /// Checks that the member can serve the class now.
    fn check_role(&self, envelope: &Envelope) -> Result<(), Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        if head.class.needs_primary() && member.primary_term().is_none() {
            return Err(member.no_member("it is not the primary"));
        }
        let known = member.term();
        if head.position.is_some_and(|position| position.term > known) {
            return Err(member.no_member("its home does not know the term of the session yet"));
        }
        // The entry may not have heard of the last promotion.
        if let Some(lost) = head.position
            && let PositionStatus::Lost { term_start } = member.position_status(lost)
        {
            return Err(Refusal::not_run(RefusalKind::WriteLost { lost, term_start }));
        }
        Ok(())
    }

    /// Takes a connection whose data is recent enough for the request.
    async fn connect(
        &self,
        envelope: &Envelope,
        deadline: Instant,
    ) -> Result<PooledConnection, Refusal> {
        let member = &self.member;
        let head = &envelope.head;
        self.check_role(envelope)?;
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
        let bound = self.member.node.settings().times.idle_in_transaction;
        let next = async {
            batches.recv().await.map_or(Next::Dropped, |exchange| Next::Batch(Box::new(exchange)))
        };
        let idle = async {
            Timer::after(bound).await;
            Next::Idle
        };
        next.or(idle).await
    }

    /// Informs the client of the rollback when its next batch arrives.
    async fn report_idle(&self, batches: &Receiver<Exchange>) {
        self.member.node.metrics().count("home.idle_in_transaction");
        if let Ok(exchange) = batches.recv().await {
            let refusal = Refusal::not_run(RefusalKind::IdleInTransaction);
            let outlet = Outlet::new(exchange.chunks);
            let _ = outlet.finish(ReplyEnd::refused(refusal)).await;
        }
    }
}

/// What comes after a batch of an open transaction.
enum Next {
    Batch(Box<Exchange>),
    Dropped,
    Idle,
}

/// Rolls back and returns the connection without making anybody wait.
fn roll_back(open: Open) {
    smol::spawn(async move {
        let Open { mut pooled, slot, .. } = open;
        let done = with_timeout(ROLLBACK_BOUND, pooled.connection.query("ROLLBACK")).await;
        drop(slot);
        if done.is_ok() {
            pooled.release().await;
        }
    })
    .detach();
}

/// Term whose gate has to be open when an answer of the class is released.
const fn gate_term(
    standing: Standing,
    class: StatementClass,
    position: Option<Position>,
) -> Option<Term> {
    match (class, position) {
        (StatementClass::StaleRead { .. }, None) => None,
        _ => Some(standing.term),
    }
}

fn split(data: &Bytes) -> Result<Vec<Frame>, Refusal> {
    split_messages(data)
        .map_err(|error| Refusal::not_run(RefusalKind::Protocol).detail(error.to_string()))
}

fn cancelled() -> Refusal {
    Refusal::not_run(RefusalKind::DeadlineExceeded).detail("cancelled by the client")
}

/// The request id of a batch that writes.
fn request_key(envelope: &Envelope, frames: &[Frame]) -> Option<RequestKey> {
    let head = &envelope.head;
    let id = head.request_id.as_ref().filter(|_| head.class.needs_primary())?;
    Some(RequestKey::new(&head.workspace, id, record::digest(frames)))
}

/// Whether the first statement of the batch begins a transaction and is no part of a longer text.
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
