//! The home of one member: its connections, slots, shares and checks of lease, role and position.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    database::MemberRecord,
    name::{MemberId, Workspace},
    outcome::{Refusal, RefusalKind},
    position::{Position, Term},
    quorum::PositionProof,
    term_history::PositionStatus,
};
use smol::{Timer, future::FutureExt, lock::Mutex as AsyncMutex};

use super::{
    SlotQueue, contracts::ContractDivisions, gate, read_index::MemberPositionSource, shares::Shares,
};
use crate::{
    node::{Group, Node, lock},
    route::SharedReadIndex,
    upstream::{Pool, PooledConnection, connection::with_timeout},
};

/// Connections of the member that the pool leaves free: three control connections, one for checking backends and one
/// for the read index.
const RESERVED_CONNECTIONS: u32 = 5;
/// Time limit for a replica's answer to a query for its position.
const POSITION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two queries for the position of a replica that has not reached the needed one.
const REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The home of one member on this instance.
#[derive(Debug)]
pub struct Member {
    pub(super) node: Arc<Node>,
    pub(super) group: Arc<Group>,
    pub(super) id: MemberId,
    pub(super) pool: Pool,
    pub(super) slot_queue: SlotQueue,
    /// Term in which the table of request ids is known to exist.
    pub(super) record_table_term: AsyncMutex<Option<Term>>,
    pub(super) shares: Shares,
    read_index: Arc<SharedReadIndex<MemberPositionSource>>,
    record: MemberRecord,
    /// Whether the member was primary at the last call of `keep_ready`; `None` before the first.
    was_primary: Mutex<Option<bool>>,
}

/// Newest term that this instance knows, and whether the member is its primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TermRole {
    pub(super) term: Term,
    pub(super) is_primary: bool,
}

impl Member {
    pub(super) fn new(
        node: &Arc<Node>,
        group: &Arc<Group>,
        contracts: &Arc<ContractDivisions>,
        record: &MemberRecord,
    ) -> Arc<Self> {
        let settings = node.settings();
        let database = group.view().database.clone();
        let size = record.connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
        let application = node.application();
        let pool =
            Pool::new(&record.address, database.as_str(), &settings.upstream, &application, size);
        let slot_queue = SlotQueue::new(record.slots, settings.times.queue_wait, node.clock())
            .order(settings.policy.queue);
        let member = Self {
            read_index: SharedReadIndex::new(MemberPositionSource::new(pool.clone())),
            shares: Shares::new(node, group, contracts, &record.id),
            node: Arc::clone(node),
            group: Arc::clone(group),
            id: record.id.clone(),
            pool,
            slot_queue,
            record_table_term: AsyncMutex::new(None),
            record: record.clone(),
            was_primary: Mutex::default(),
        };
        Arc::new(member)
    }

    /// Whether `record` equals the one for which the home was created.
    pub(super) fn matches(&self, record: &MemberRecord) -> bool {
        self.record == *record
    }

    /// Opens connections in advance, and closes those from before a change of the member's role.
    ///
    /// On a connection with an old commit, a member that became a replica would return the position of that commit
    /// instead of its own.
    pub(super) fn keep_ready(&self) {
        let term_role = self.term_role();
        let before = lock(&self.was_primary).replace(term_role.is_primary);
        if before.is_some_and(|before| before != term_role.is_primary) {
            self.pool.clear();
        }
        self.pool.open_in_advance(usize::try_from(self.record.slots).unwrap_or(1));
    }

    /// Whether a position of a session is part of the newest term's log.
    pub(super) fn position_status(&self, position: Position) -> PositionStatus {
        self.group.view().quorum.history().position_status(position)
    }

    /// Slots of the member and the queue for them.
    pub const fn slot_queue(&self) -> &SlotQueue {
        &self.slot_queue
    }

    /// Whether this instance may act on the member now.
    pub(super) fn lease_usable(&self) -> bool {
        let lease = self.node.lease(&self.id);
        lease.is_some_and(|lease| lease.usable(self.node.now()))
    }

    /// Waits until this instance may act on the member.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the lease is not usable before `until`.
    pub(super) async fn wait_lease(&self, until: Instant) -> Result<(), Refusal> {
        let lease = self.node.lease_or_new(&self.id);
        loop {
            let changed = lease.changed();
            let now = self.node.now();
            if lease.usable(now) {
                return Ok(());
            }
            let left = until.since(now);
            if left.is_zero() {
                return Err(self.no_member("its home has no lease yet"));
            }
            let timer = async {
                Timer::after(left.min(REPLICA_POLL_INTERVAL * 10)).await;
            };
            changed.or(timer).await;
        }
    }

    /// Waits while new writes are delayed because the primary is about to be replaced.
    ///
    /// # Errors
    ///
    /// Returns "not run" when they are still delayed at `until`.
    pub(super) async fn wait_writes(&self, until: Instant) -> Result<(), Refusal> {
        if gate::wait_for(&self.node, &self.group, until, || !self.group.writes_held()).await {
            return Ok(());
        }
        Err(self.no_member("it is being replaced as primary"))
    }

    /// The newest known term, when the member is its primary.
    pub(super) fn primary_term(&self) -> Option<Term> {
        let view = self.group.view();
        (view.primary.as_ref() == Some(&self.id)).then_some(view.term)
    }

    /// The present term and role of the member.
    pub(super) fn term_role(&self) -> TermRole {
        let view = self.group.view();
        TermRole { term: view.term, is_primary: view.primary.as_ref() == Some(&self.id) }
    }

    /// Newest term that this instance knows.
    pub(super) fn term(&self) -> Term {
        self.group.view().term
    }

    /// Takes a token of the workspace's share; waits for one, or for a loan, up to the setting `admit_wait`.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the workspace exceeds its rate.
    pub(super) async fn admit(
        &self,
        workspace: &Workspace,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let wait = self.node.settings().times.admit_wait;
        let until = self.node.now().plus(wait).min(deadline);
        let mut is_retry = false;
        loop {
            let loan = self.shares.loan_received();
            let Err(retry_after) = self.shares.admit(workspace, is_retry) else { return Ok(()) };
            is_retry = true;
            let left = until.since(self.node.now());
            if left.is_zero() {
                self.node.metrics().count("home.rate_exceeded");
                return Err(Refusal::not_run(RefusalKind::RateExceeded).retry_after(retry_after));
            }
            let timer = async {
                Timer::after(retry_after.min(left)).await;
            };
            loan.or(timer).await;
        }
    }

    /// Waits until the replica has reached `needed`, by its reports and by queries on `pooled`.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the replica does not reach the position in time.
    pub(super) async fn wait_position(
        &self,
        pooled: &mut PooledConnection,
        needed: Position,
    ) -> Result<(), Refusal> {
        let until = self.node.now().plus(self.node.settings().times.replica_wait);
        loop {
            let view = self.group.view();
            let reported = view.report(&self.id).map(|report| report.position);
            let reached = |position: &Position| view.quorum.history().reaches(*position, needed);
            let position = match reported.filter(reached) {
                Some(position) => position,
                None if pooled.has_committed() => {
                    return Err(self.no_member("its position is not known yet"));
                }
                None => self.query_position(pooled).await?,
            };
            if self.position_status(position) != PositionStatus::Retained {
                return Err(self.no_member("the end of its log is not part of the present term"));
            }
            // A log that ends in a term that was not continued can be past the position without containing its entry.
            if self.group.view().quorum.history().reaches(position, needed) {
                return Ok(());
            }
            if self.node.now() >= until {
                return Err(self.no_member("it has not reached the position of the session"));
            }
            Timer::after(REPLICA_POLL_INTERVAL).await;
        }
    }

    async fn query_position(&self, pooled: &mut PooledConnection) -> Result<Position, Refusal> {
        let query = pooled.connection.query("SELECT group_position()");
        let result = with_timeout(POSITION_TIMEOUT, query).await;
        let result = result.map_err(|error| self.no_member(&error.to_string()))?;
        let position = result.value(0).and_then(|text| text.parse().ok());
        position.ok_or_else(|| self.no_member("it answered no position"))
    }

    /// Whether the data of the member is proved to be at most `max_age` old.
    pub(super) fn proved_within(&self, max_age: Duration) -> bool {
        let view = self.group.view();
        if view.primary.as_ref() == Some(&self.id) {
            return view.gate_open(view.term, self.node.now());
        }
        let Some(report) = view.report(&self.id) else { return false };
        let history = view.quorum.history();
        let included = |proof: &&PositionProof| history.reaches(report.position, proof.position);
        let proof = view.quorum.proofs().iter().rev().find(included);
        proof.is_some_and(|proof| self.node.now().since(proof.sent) <= max_age)
    }

    /// Waits until the gate of `term` is open, so that an answer under the term may be released.
    ///
    /// # Errors
    ///
    /// Returns "outcome unknown" when the gate stays closed for the setting `gate_wait`.
    pub(super) async fn wait_gate_open(&self, term: Term) -> Result<(), Refusal> {
        let wait = self.node.settings().times.gate_wait;
        gate::wait_open(&self.node, &self.group, term, wait).await
    }

    /// The member's present position; `None` unless the lease is usable, the member is primary and answers, and the
    /// gate is open.
    pub(super) async fn read_index(&self) -> Option<Position> {
        if !self.lease_usable() {
            return None;
        }
        let term = self.primary_term()?;
        let position = self.read_index.position().await?;
        let confirmed = position.term <= term && self.group.gate_open(term, self.node.now());
        confirmed.then_some(position)
    }

    pub(super) fn no_member(&self, reason: &str) -> Refusal {
        Refusal::not_run(RefusalKind::NoMember).detail(format!("member {}: {reason}", self.id))
    }
}
