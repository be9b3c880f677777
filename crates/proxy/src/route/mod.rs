//! Choice of the member that serves a request, and forwarding to the instance that is its home.
//!
//! [`Router::dispatch`] returns when the first part of the answer has arrived. Until then, a request that certainly
//! did not run, or that can be repeated safely, is sent to another member or again to the same one, within a retry
//! budget.

mod database;
mod read_index;
mod recovery;
mod request;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{Database, InstanceId, MemberId},
    outcome::{Execution, Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    request::StatementClass,
    retry::RetryBudget,
    session::Session,
    term_history::TermHistory,
};
use hibiscusladder_proto::request::Envelope;
use smol::{
    Timer,
    future::{self, FutureExt},
};

use self::{database::DatabaseRoute, recovery::Recovery};
pub use self::{
    read_index::{PositionSource, SharedReadIndex},
    request::{Dispatched, Progress, Request},
};
use crate::{
    home::{Call, Chunk, Homes},
    node::{Node, lock},
    rpc::Rpc,
    trace::Hop,
};

/// Shortest and longest delay before a request goes to the same home again.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(500));

/// Longest wait for the start of a term under which a write of a session was answered.
const TERM_START_WAIT: Duration = Duration::from_secs(1);

/// Routes the requests of the clients of one instance.
#[derive(Debug)]
pub struct Router {
    node: Arc<Node>,
    homes: Arc<Homes>,
    rpc: Rpc,
    databases: Mutex<HashMap<Database, Arc<DatabaseRoute>>>,
    retries: Mutex<RetryBudget>,
    recovery: Mutex<Recovery>,
}

/// Member and home to which a request is sent. An attempt on an equal target counts as a retry.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Target {
    member: MemberId,
    home: InstanceId,
    incarnation: u64,
    term: Term,
}

impl Router {
    /// Creates the router of `node` and starts the periodic work of its homes.
    pub fn new(node: Arc<Node>, homes: Arc<Homes>, rpc: Rpc) -> Arc<Self> {
        homes.start_upkeep(&rpc);
        Arc::new(Self {
            node,
            homes,
            rpc,
            databases: Mutex::default(),
            retries: Mutex::default(),
            recovery: Mutex::default(),
        })
    }

    /// Shared state of the instance.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Homes of the members that this instance serves.
    pub const fn homes(&self) -> &Arc<Homes> {
        &self.homes
    }

    /// Handle for calls to other instances.
    pub const fn rpc(&self) -> &Rpc {
        &self.rpc
    }

    /// Reports a write of the session that was lost when the primary changed; each loss once. `None` when no loss is
    /// known.
    pub fn check_session(&self, database: &Database, session: &mut Session) -> Option<RefusalKind> {
        let route = self.database(database)?;
        session.check(&route.history(&self.node))
    }

    /// Starts of the terms of `database` that this instance knows; empty when the database is not configured.
    pub fn history(&self, database: &Database) -> TermHistory {
        self.database(database).map(|route| route.history(&self.node)).unwrap_or_default()
    }

    /// Starts of the terms of `database`, including that of `term`, which is requested from the home of `member` while
    /// it is not known here.
    ///
    /// When the start does not arrive in time, the term counts as one that continued no older term, so that positions
    /// of older terms count as lost.
    pub async fn history_with(
        &self,
        database: &Database,
        term: Term,
        member: Option<&MemberId>,
    ) -> TermHistory {
        let until = self.node.now().plus(TERM_START_WAIT);
        loop {
            let mut history = self.history(database);
            if history.start(term).is_some_and(|start| start.term < term) {
                return history;
            }
            let left = until.since(self.node.now());
            if left.is_zero() {
                history.record(term, Position::new(term, Lsn(u64::MAX)));
                return history;
            }
            let timer = async {
                Timer::after(left).await;
            };
            self.request_terms(database, member).or(timer).await;
            Timer::after(left.min(RETRY_DELAY_RANGE.0)).await;
        }
    }

    /// Exchanges heartbeats with the home of `member`; its answer contains terms that the home knows.
    async fn request_terms(&self, database: &Database, member: Option<&MemberId>) {
        let home = member.and_then(|member| self.node.home_of(database, member));
        let Some(home) = home.filter(|home| home.id != *self.node.id()) else { return };
        let beat = self.node.heartbeat(&home.id);
        if let Ok(answer) = self.rpc.heartbeat(&home.rpc, beat).await {
            self.node.receive_heartbeat(&answer);
        }
    }

    /// A position that the primary of `database` had after this call; `None` when none could be confirmed.
    pub async fn read_index(&self, database: &Database) -> Option<Position> {
        self.database(database)?.read_index().position().await
    }

    /// Sends a request to the home of a member that can serve it, and waits for the first part of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the client: of the last attempt when no further one is possible before the deadline, or
    /// of an attempt that must not be repeated.
    pub async fn dispatch(&self, request: &Request) -> Result<Dispatched, Refusal> {
        lock(&self.retries).record_request(self.node.now());
        let mut excluded: Vec<MemberId> = Vec::new();
        let mut last: Option<Target> = None;
        let mut refusal =
            Refusal::not_run(RefusalKind::NoMember).detail("no primary of the database is known");
        let mut delay = RETRY_DELAY_RANGE.0;
        let mut failed_at = self.node.now();
        loop {
            let target = self.choose(request, &excluded);
            let is_retry = target.is_some() && target == last;
            let allowed =
                |target: &Target| !is_retry || self.retry_allowed(&target.member, failed_at);
            if let Some(target) = target.filter(allowed) {
                match self.attempt(request, &target).await {
                    Ok(dispatched) => {
                        lock(&self.recovery).record_served(&target.member, self.node.now());
                        return Ok(dispatched);
                    }
                    Err(failed) if !may_retry(request, &failed) => return Err(failed),
                    Err(failed) => refusal = failed,
                }
                failed_at = self.node.now();
                if !request.class.needs_primary() && !self.is_primary(request, &target.member) {
                    excluded.push(target.member.clone());
                    last = None;
                    continue;
                }
                last = Some(target);
            }
            self.node.metrics().count("entry.waits_for_member");
            if !self.wait_for_target(request, last.as_ref(), &excluded, &mut delay).await {
                return Err(refusal);
            }
            excluded.clear();
        }
    }

    /// Whether a request that failed at `failed_at` may go to the same home again.
    fn retry_allowed(&self, member: &MemberId, failed_at: Instant) -> bool {
        let now = self.node.now();
        lock(&self.recovery).served_since(member, failed_at)
            || lock(&self.retries).try_retry(now)
            || lock(&self.recovery).try_probe(now)
    }

    /// Cancels the statement of a request that was dispatched.
    pub async fn cancel(&self, database: &Database, member: &MemberId, token: u64) {
        match self.node.home_of(database, member) {
            Some(home) if home.id != *self.node.id() => self.rpc.cancel(&home.rpc, token).await,
            _ => self.homes.cancel(token).await,
        }
    }

    async fn attempt(&self, request: &Request, target: &Target) -> Result<Dispatched, Refusal> {
        let mut span = self.node.tracer().span(Hop::Forward, &request.trace_parent);
        span.attribute("member", target.member.as_str());
        let parent = span.trace_parent();
        let left = request.deadline.since(self.node.now());
        let envelope = request.envelope(&target.member, left, parent);
        request.progress.set(&target.member);
        let call = self.call(target, envelope, request);
        let dispatched = Dispatched::receive(call, target.member.clone()).await;
        if let Err(refusal) = &dispatched {
            span.fail(refusal.sqlstate());
        }
        dispatched
    }

    fn call(&self, target: &Target, envelope: Envelope, request: &Request) -> Call {
        let data = request.data.clone();
        let peers = self.node.peers();
        match peers.get(&target.home) {
            Some(peer) if peer.id != *self.node.id() => {
                self.node.metrics().count("entry.forwarded");
                self.rpc.call(&peer.rpc, envelope, data, request.keeps_transaction)
            }
            _ => self.homes.call(envelope, data, request.keeps_transaction),
        }
    }

    /// The member for the next attempt, with its home.
    fn choose(&self, request: &Request, excluded: &[MemberId]) -> Option<Target> {
        let route = self.database(&request.database)?;
        let member = route.choose(&self.node, request, excluded)?;
        let home = self.node.home_of(&request.database, &member)?;
        let term = self.node.group(&request.database)?.view().term;
        Some(Target { member, home: home.id, incarnation: home.incarnation, term })
    }

    /// Waits until there is another target than `last`, or for `delay`, which is then doubled; false when the deadline
    /// is before the end of the delay.
    async fn wait_for_target(
        &self,
        request: &Request,
        last: Option<&Target>,
        excluded: &[MemberId],
        delay: &mut Duration,
    ) -> bool {
        let until = self.node.now().plus(*delay);
        *delay = (*delay * 2).min(RETRY_DELAY_RANGE.1);
        loop {
            let now = self.node.now();
            if request.deadline <= until {
                return false;
            }
            let instances = self.node.peers_changed();
            let group = self.node.group(&request.database);
            let reports = group.as_ref().map(|group| group.changed());
            let target = self.choose(request, excluded);
            if now >= until || (target.is_some() && target.as_ref() != last) {
                return true;
            }
            let reported = async {
                match reports {
                    Some(reports) => reports.await,
                    None => future::pending().await,
                }
            };
            let timer = async {
                Timer::after(until.since(now)).await;
            };
            instances.or(reported).or(timer).await;
        }
    }

    fn is_primary(&self, request: &Request, member: &MemberId) -> bool {
        let group = self.node.group(&request.database);
        group.is_some_and(|group| group.view().primary.as_ref() == Some(member))
    }

    fn database(&self, database: &Database) -> Option<Arc<DatabaseRoute>> {
        let group = self.node.group(database)?;
        let mut databases = lock(&self.databases);
        if let Some(route) = databases.get(database)
            && route.is_for(&group)
        {
            return Some(Arc::clone(route));
        }
        let route = DatabaseRoute::new(&self.node, &self.homes, &self.rpc, group);
        databases.insert(database.clone(), Arc::clone(&route));
        Some(route)
    }
}

/// Whether a request that failed before any part of its answer was sent to the client may be sent again.
fn may_retry(request: &Request, refusal: &Refusal) -> bool {
    let not_run = refusal.execution == Execution::NotRun;
    match refusal.kind {
        RefusalKind::NoMember | RefusalKind::StaleReadUnproved => not_run,
        RefusalKind::ConnectionLost | RefusalKind::TermUnconfirmed => {
            not_run || is_idempotent(request) || is_deduplicated(request)
        }
        _ => false,
    }
}

/// Whether the home detects by the request id that the statement has run before.
const fn is_deduplicated(request: &Request) -> bool {
    request.request_id.is_some() && request.class.needs_primary() && !request.keeps_transaction
}

/// Whether the request may run more than once.
fn is_idempotent(request: &Request) -> bool {
    matches!(request.class, StatementClass::Read | StatementClass::StaleRead { .. })
}

/// The refusal in `chunk`; `None` for data and for the end of an answer without refusal.
pub(crate) fn refusal_of(chunk: &Chunk) -> Option<&Refusal> {
    match chunk {
        Chunk::End(end) => end.refusal.as_ref(),
        Chunk::Data(_) => None,
    }
}
