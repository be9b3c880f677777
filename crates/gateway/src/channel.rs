//! Channels to a member: a connection of this instance, or a tunnel to an instance that holds connections.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{InstanceId, MemberId, Workspace},
    pace::Outcome,
    position::Position,
};
use hibiscusladder_io::clock::{BootClock, within};

use crate::{
    acquisition,
    adapter::{MemberCommand, Platform},
    in_flight::InFlightGuard,
    lease::Lease,
    member_path::{self, MemberPath},
    message::{SectionKind, Sections},
    metrics::{Counter, Stage},
    model::{Answer, Code, TransactionState},
    node::Node,
    pool::{AcquireError, Pool, Values},
    tunnel::{Call, Payload, Reply, RunCall, Tunnel},
    urgency::{self, CallUrgency, NoSlot, SlotRequest},
};

/// Time beyond the limit of a statement for which the gateway waits for the reply of a holder.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Divisor of a statement's limit that gives its longest wait for the allowance of a cold member; the rest is left for
/// running it, which takes a cold member longer.
const COLD_WAIT_DIVISOR: u32 = 2;
/// Longest wait for the answer to a rollback. At its end the connection is closed, which rolls back as well.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of one attempt to run a statement at a member.
#[derive(Debug)]
pub enum RunOutcome {
    /// The member answered, with success or a failure.
    Answered(Answer),
    /// The member did not run the statement, for the reason of the code.
    NotRun(Code),
    /// The order of requests gave the statement no slot in time. It was not sent.
    NoSlot(NoSlot),
    /// The member cannot be reached. The statement was not sent.
    Unreachable,
    /// The statement was sent, but no complete answer came; it may have run.
    ConnectionLost,
}

impl RunOutcome {
    /// Code of the failure; `None` after success, and when the member gave no answer.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::NotRun(code) => Some(*code),
            Self::Answered(answer) => answer.code(),
            Self::NoSlot(_) => Some(Code::Busy),
            Self::Unreachable | Self::ConnectionLost => None,
        }
    }

    /// Whether the member had no capacity for the statement.
    pub fn is_busy(&self) -> bool {
        matches!(self.code(), Some(Code::Busy | Code::TooMany))
    }
}

impl RunOutcome {
    /// The refusal by the order of requests, if this is one.
    pub const fn no_slot(&self) -> Option<NoSlot> {
        match self {
            Self::NoSlot(no_slot) => Some(*no_slot),
            _ => None,
        }
    }
}

impl From<AcquireError> for RunOutcome {
    fn from(error: AcquireError) -> Self {
        match error {
            AcquireError::Exhausted => Self::NotRun(Code::TooMany),
            AcquireError::NoSlot(no_slot) => Self::NoSlot(no_slot),
            AcquireError::Replaced => Self::NotRun(Code::ReadOnly),
            // Unlike a refusal as a replica, this says nothing about the role of the member.
            AcquireError::Evacuated => Self::NotRun(Code::Busy),
            AcquireError::Refused(failure) => Self::NotRun(failure.code),
            AcquireError::Unreachable(_) => Self::Unreachable,
        }
    }
}

/// A statement with the state that its connection needs, and its time limits.
#[derive(Debug, Clone, Copy)]
pub struct StatementRun<'a> {
    /// Id of the caller's request.
    pub id: &'a str,
    /// Statement to run.
    pub payload: &'a Payload,
    /// Values of the caller's session, which the connection has to have.
    pub values: &'a Values,
    /// Position that the member's log has to include; `None` for any.
    pub after: Option<Position>,
    /// Time limit for the statement.
    pub limit: Duration,
    /// Longest wait of a holder for a connection to the member.
    pub connection_wait: Duration,
    /// Urgency in the queue of a holder; `None` within a transaction, or without priorities.
    pub urgency: Option<CallUrgency>,
}

/// What a channel is opened for.
#[derive(Debug, Clone, Copy)]
pub struct ChannelRequest<'a> {
    /// Id of the caller's request.
    pub id: &'a str,
    /// Workspace that the request runs for.
    pub workspace: &'a Workspace,
    /// Values of the caller's session.
    pub values: &'a Values,
    /// Urgency of the request; `None` without priorities.
    pub urgency: Option<CallUrgency>,
    /// Time until which the request waits for a connection of this instance.
    pub until: Instant,
}

/// A channel to a member, in use by one operation or transaction.
pub enum Channel<P>
where
    P: Platform,
{
    /// A connection that this instance holds.
    Local(Lease<P>),
    /// A tunnel to a holder.
    Remote(RemoteChannel<P>),
}

/// A tunnel to a holder, used for one member and workspace.
pub struct RemoteChannel<P>
where
    P: Platform,
{
    tunnel: Tunnel,
    /// Instance at the other end of the tunnel.
    through: InstanceId,
    workspace: Workspace,
    pool: Rc<Pool<P>>,
    _in_use: InFlightGuard,
}

/// Opens a channel to `member`.
///
/// # Errors
///
/// The outcome of the attempt when no channel can be opened in time.
pub async fn open<P>(
    node: &Node<P>,
    member: &MemberId,
    request: &ChannelRequest<'_>,
) -> Result<Channel<P>, RunOutcome>
where
    P: Platform,
{
    let pool = node.pool(member).ok_or(RunOutcome::Unreachable)?;
    let started = node.now();
    let addresses = |names: &[InstanceId]| node.holder_addresses(names, request.workspace);
    let opened = match member_path::choose(node.instance(), &pool, started, addresses) {
        MemberPath::Direct => open_local(node, &pool, request).await,
        MemberPath::Through { instances, are_standbys } => {
            let kind = if are_standbys { "standby" } else { "holder" };
            node.metrics.count(Counter::RelayedCalls, kind);
            open_remote(node, pool, request.workspace, instances).await
        }
    };
    node.metrics.time(Stage::Connection, node.now().since(started));
    opened
}

async fn open_local<P>(
    node: &Node<P>,
    pool: &Rc<Pool<P>>,
    request: &ChannelRequest<'_>,
) -> Result<Channel<P>, RunOutcome>
where
    P: Platform,
{
    let opened = pool.opened();
    let slot = SlotRequest {
        workspace: request.workspace,
        contract: node.contract_share(request.workspace),
        urgency: request.urgency,
        jitter: urgency::jitter(request.id),
        until: request.until,
    };
    let acquired = acquisition::acquire(node, pool, &slot, request.values).await;
    if pool.opened() > opened {
        node.metrics.count(Counter::MemberConnections, "opened");
    }
    if matches!(acquired, Err(AcquireError::Unreachable(_))) {
        pool.record_unreachable(node.now());
    }
    acquired.map(Channel::Local).map_err(RunOutcome::from)
}

async fn open_remote<P>(
    node: &Node<P>,
    pool: Rc<Pool<P>>,
    workspace: &Workspace,
    instances: Vec<(InstanceId, SocketAddr)>,
) -> Result<Channel<P>, RunOutcome>
where
    P: Platform,
{
    for (through, address) in instances {
        match node.tunnels.open(address).await {
            Ok(tunnel) => {
                let in_use = pool.begin_use();
                let workspace = workspace.clone();
                let remote = RemoteChannel { tunnel, through, workspace, pool, _in_use: in_use };
                return Ok(Channel::Remote(remote));
            }
            Err(_) => node.peers.borrow_mut().record_unreachable(&through, node.now()),
        }
    }
    Err(RunOutcome::Unreachable)
}

impl<P> Channel<P>
where
    P: Platform,
{
    /// Runs a statement, unless its time limit is zero. If the future is dropped, the connection to the member is closed.
    pub async fn run(&mut self, node: &Node<P>, run: StatementRun<'_>) -> RunOutcome {
        match self {
            Self::Local(lease) => run_local(lease, run).await,
            Self::Remote(remote) => remote.run(node, run).await,
        }
    }

    /// Rolls back the transaction. `request` has id and text of the caller's rollback; `None` when the gateway ends the
    /// transaction.
    pub async fn rollback(self, request: Option<(Box<str>, Box<str>)>) {
        let ending = async {
            match self {
                Self::Local(lease) => roll_back(lease, request).await,
                Self::Remote(mut remote) => {
                    // Without an answer the tunnel is closed, and the holder closes the connection to the
                    // member, which rolls back.
                    remote.tunnel.call(&Call::Rollback { request }).await.err();
                }
            }
        };
        within(ROLLBACK_TIMEOUT, ending).await;
    }
}

/// Rolls back the transaction of a connection, with id and text of the caller's rollback if there was one.
pub async fn roll_back<P>(mut lease: Lease<P>, request: Option<(Box<str>, Box<str>)>)
where
    P: Platform,
{
    let command = match &request {
        Some((id, text)) => MemberCommand::Forward { id, text, after: None },
        None => MemberCommand::Rollback,
    };
    // Without an answer the connection is closed, which rolls back as well. So it is if a cold member may get no request
    // soon.
    let until = BootClock.now().plus(ROLLBACK_TIMEOUT);
    if lease.pool().cold.clone().admit(1, until).await {
        lease.exchange(command).await.err();
    }
}

/// Runs a statement on a connection of this instance, unless its time limit is zero.
pub async fn run_local<P>(lease: &mut Lease<P>, run: StatementRun<'_>) -> RunOutcome
where
    P: Platform,
{
    if run.limit.is_zero() {
        return RunOutcome::NotRun(Code::Busy);
    }
    let now = BootClock.now();
    let until = now.plus(run.limit);
    if lease.pool().cold.is_cold(now) && !admit_cold(lease, &run, now).await {
        return RunOutcome::NotRun(Code::Busy);
    }
    let left = until.since(BootClock.now());
    let sent = BootClock.now();
    let Some(Ok(name)) = within(left, prepare(lease, &run)).await else {
        lease.pool().record_unreachable(BootClock.now());
        lease.pool().record_outcome(Outcome::Lost, sent);
        return RunOutcome::Unreachable;
    };
    let sending = send(lease, &run, name.as_deref());
    match within(until.since(BootClock.now()), sending).await {
        Some(Ok(answer)) => RunOutcome::Answered(answer),
        _ => {
            lease.pool().record_unreachable(BootClock.now());
            lease.pool().record_outcome(Outcome::Lost, sent);
            RunOutcome::ConnectionLost
        }
    }
}

/// Waits until a cold member may get the statement and what has to be sent before it; `false` if it may not soon enough to
/// be run within the limit.
async fn admit_cold<P>(lease: &Lease<P>, run: &StatementRun<'_>, now: Instant) -> bool
where
    P: Platform,
{
    let prepared = match run.payload {
        Payload::Text(_) => None,
        Payload::Execute { access, shape, .. } => Some((*access, &**shape)),
    };
    let requests = 1 + lease.missing_commands(run.values, prepared);
    lease.pool().cold.admit(requests, now.plus(run.limit / COLD_WAIT_DIVISOR)).await
}

/// Sets the session values on the connection, and prepares a statement that is to be executed; returns its name on the
/// connection, `None` for a text.
async fn prepare<P>(
    lease: &mut Lease<P>,
    run: &StatementRun<'_>,
) -> std::io::Result<Option<Box<str>>>
where
    P: Platform,
{
    lease.set_values(run.values).await?;
    match run.payload {
        Payload::Text(_) => Ok(None),
        Payload::Execute { access, shape, .. } => lease.prepare(*access, shape).await.map(Some),
    }
}

async fn send<P>(
    lease: &mut Lease<P>,
    run: &StatementRun<'_>,
    name: Option<&str>,
) -> std::io::Result<Answer>
where
    P: Platform,
{
    let (id, after) = (run.id, run.after);
    let command = match run.payload {
        Payload::Text(text) => MemberCommand::Forward { id, text, after },
        Payload::Execute { arguments, .. } => {
            MemberCommand::Execute { id, name: name.unwrap_or_default(), arguments, after }
        }
    };
    lease.exchange(command).await
}

impl<P> RemoteChannel<P>
where
    P: Platform,
{
    async fn run(&mut self, node: &Node<P>, run: StatementRun<'_>) -> RunOutcome {
        if run.limit.is_zero() {
            return RunOutcome::NotRun(Code::Busy);
        }
        let call = Call::Run(RunCall {
            member: self.pool.target.member.as_str().into(),
            workspace: self.workspace.as_str().into(),
            values: run.values.clone(),
            id: run.id.into(),
            statement: run.payload.clone(),
            after: run.after.map(|at| (at.term.0, at.lsn.0)),
            limit: u64::try_from(run.limit.as_micros()).unwrap_or(u64::MAX),
            connection_wait: u64::try_from(run.connection_wait.as_micros()).unwrap_or(u64::MAX),
        });
        let mut sections = Sections::default();
        if let Some(urgency) = &run.urgency {
            // Numbers cannot fail to be encoded.
            let _ = sections.insert(SectionKind::Urgency, urgency);
        }
        let started = node.now();
        let calling = self.tunnel.call_with(&call, &sections);
        let reply = within(run.limit + REPLY_MARGIN, calling).await;
        let no_slot = match &reply {
            Some(Ok((Reply::NotRun(_), sections))) if run.urgency.is_some() => {
                sections.get(SectionKind::NoSlot)
            }
            _ => None,
        };
        match reply.map(|reply| reply.map(|(reply, _)| reply)) {
            Some(Ok(Reply::Answered(answer))) => {
                let now = node.now();
                self.pool.record_service_time(now.since(started), now);
                self.pool.holder_reach.borrow_mut().record_answer(&self.through);
                RunOutcome::Answered(answer.into())
            }
            Some(Ok(Reply::NotRun(code))) => {
                no_slot.map_or(RunOutcome::NotRun(code), RunOutcome::NoSlot)
            }
            Some(Ok(Reply::Unreachable)) => {
                // The holder cannot reach the member, or is stopping. The next attempt uses another holder.
                let now = node.now();
                self.pool.holder_reach.borrow_mut().record_unreachable(&self.through, now);
                node.record_holder_unreachable(self.tunnel.address());
                RunOutcome::Unreachable
            }
            Some(Ok(Reply::ConnectionLost)) => {
                self.pool.record_unreachable(node.now());
                RunOutcome::ConnectionLost
            }
            Some(Ok(Reply::Status(_)) | Err(_)) | None => {
                node.tunnels.drop_idle(self.tunnel.address());
                node.record_holder_unreachable(self.tunnel.address());
                RunOutcome::ConnectionLost
            }
        }
    }
}

/// Whether an answer leaves the session outside any transaction.
pub fn is_idle(answer: &Answer) -> bool {
    answer.state == TransactionState::Idle
}
