//! State of the home of one member.

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

use super::{Admission, contracts::Contracts, gate, read_index::MemberQuestion, shares::Shares};
use crate::{
    node::{Group, Node, lock},
    route::SharedIndex,
    upstream::{Pool, PooledConnection, connection::with_timeout},
};

/// Connections of the member that the pool leaves free: three control connections, the one for checks and the one
/// for the read index.
const RESERVED_CONNECTIONS: u32 = 5;
/// Longest time for which a replica may leave the question for its position unanswered.
const POSITION_BOUND: Duration = Duration::from_millis(500);
/// Time between two questions for the position of a replica that is waited for.
const REPLICA_POLL: Duration = Duration::from_millis(5);

/// The home of one member.
#[derive(Debug)]
pub struct Member {
    pub(super) node: Arc<Node>,
    pub(super) group: Arc<Group>,
    pub(super) id: MemberId,
    pub(super) pool: Pool,
    pub(super) admission: Admission,
    /// Term in which the record table is known to exist.
    pub(super) recorded_term: AsyncMutex<Option<Term>>,
    pub(super) shares: Shares,
    index: Arc<SharedIndex<MemberQuestion>>,
    record: MemberRecord,
    /// Whether the member was primary at the last look.
    role: Mutex<Option<bool>>,
}

/// Term and role of a member at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    pub(super) term: Term,
    pub(super) is_primary: bool,
}

impl Member {
    pub(super) fn new(
        node: &Arc<Node>,
        group: &Arc<Group>,
        contracts: &Arc<Contracts>,
        record: &MemberRecord,
    ) -> Arc<Self> {
        let settings = node.settings();
        let database = group.view().database.clone();
        let size = record.connections.saturating_sub(RESERVED_CONNECTIONS).max(1);
        let application = node.application();
        let pool =
            Pool::new(&record.address, database.as_str(), &settings.upstream, &application, size);
        let admission = Admission::new(record.slots, settings.times.queue_wait, node.clock())
            .order(settings.policy.queue);
        let member = Self {
            index: SharedIndex::new(MemberQuestion::new(pool.clone())),
            shares: Shares::new(node, group, contracts, &record.id),
            node: Arc::clone(node),
            group: Arc::clone(group),
            id: record.id.clone(),
            pool,
            admission,
            recorded_term: AsyncMutex::new(None),
            record: record.clone(),
            role: Mutex::default(),
        };
        Arc::new(member)
    }

    /// Whether the record is the one that the home was created for.
    pub(super) fn matches(&self, record: &MemberRecord) -> bool {
        self.record == *record
    }

    /// Keeps connections ready, and closes those of an earlier role.
    ///
    /// On a connection with an old commit, a member that became a replica would not answer its own position.
    pub(super) fn keep_ready(&self) {
        let standing = self.standing();
        let before = lock(&self.role).replace(standing.is_primary);
        if before.is_some_and(|before| before != standing.is_primary) {
            self.pool.clear();
        }
        self.pool.keep_warm(usize::try_from(self.record.slots).unwrap_or(1));
    }

    /// What became of a position of a session.
    pub(super) fn position_status(&self, position: Position) -> PositionStatus {
        self.group.view().quorum.history().position_status(position)
    }

    /// Slots and queue of the member.
    pub const fn admission(&self) -> &Admission {
        &self.admission
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
                Timer::after(left.min(REPLICA_POLL * 10)).await;
            };
            changed.or(timer).await;
        }
    }

    /// Waits while new writes are held back because the primary is about to be replaced.
    ///
    /// # Errors
    ///
    /// Returns "not run" when they are still held back at `until`.
    pub(super) async fn wait_writes(&self, until: Instant) -> Result<(), Refusal> {
        if gate::wait_for(&self.node, &self.group, until, || !self.group.writes_held()).await {
            return Ok(());
        }
        Err(self.no_member("it is being replaced as primary"))
    }

    /// The term in which the member is primary.
    pub(super) fn primary_term(&self) -> Option<Term> {
        let view = self.group.view();
        (view.primary.as_ref() == Some(&self.id)).then_some(view.term)
    }

    /// Newest term that this instance knows, and whether the member is its primary.
    pub(super) fn standing(&self) -> Standing {
        let view = self.group.view();
        Standing { term: view.term, is_primary: view.primary.as_ref() == Some(&self.id) }
    }

    /// Newest term that this instance knows.
    pub(super) fn term(&self) -> Term {
        self.group.view().term
    }

    /// Takes a token of the workspace's share.
    ///
    /// # Errors
    ///
    /// Returns "not run" when the workspace is past its rate.
    pub(super) async fn admit(
        &self,
        workspace: &Workspace,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let wait = self.node.settings().times.admit_wait;
        let until = self.node.now().plus(wait).min(deadline);
        let mut again = false;
        loop {
            let loan = self.shares.loan_arrived();
            let Err(retry_after) = self.shares.admit(workspace, again) else { return Ok(()) };
            again = true;
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

    /// Waits until the replica has `needed`, by the reports and by asking it on `pooled`.
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
                None => self.ask_position(pooled).await?,
            };
            if self.position_status(position) != PositionStatus::Retained {
                return Err(self.no_member("the end of its log is not part of the present term"));
            }
            // A log of a term that was left out passes the plain order without the entry.
            if self.group.view().quorum.history().reaches(position, needed) {
                return Ok(());
            }
            if self.node.now() >= until {
                return Err(self.no_member("it has not reached the position of the session"));
            }
            Timer::after(REPLICA_POLL).await;
        }
    }

    async fn ask_position(&self, pooled: &mut PooledConnection) -> Result<Position, Refusal> {
        let question = pooled.connection.query("SELECT group_position()");
        let result = with_timeout(POSITION_BOUND, question).await;
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

    /// Waits until an answer under `term` may be released.
    ///
    /// # Errors
    ///
    /// Returns "outcome unknown" when the gate stays closed.
    pub(super) async fn open_gate(&self, term: Term) -> Result<(), Refusal> {
        let wait = self.node.settings().times.gate_wait;
        gate::open(&self.node, &self.group, term, wait).await
    }

    /// The member's present position, when it is primary and the gate is open.
    pub(super) async fn read_index(&self) -> Option<Position> {
        if !self.lease_usable() {
            return None;
        }
        let term = self.primary_term()?;
        let position = self.index.position().await?;
        let confirmed = position.term <= term && self.group.gate_open(term, self.node.now());
        confirmed.then_some(position)
    }

    pub(super) fn no_member(&self, reason: &str) -> Refusal {
        Refusal::not_run(RefusalKind::NoMember).detail(format!("member {}: {reason}", self.id))
    }
}
