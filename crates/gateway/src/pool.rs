//! Connections to one member, shared by the sessions of an instance.
//!
//! A connection belongs to one workspace, and to one operation at a time. It is reused only after an answer that leaves
//! it outside any transaction. In every other case it is closed, which rolls the transaction back.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    rc::Rc,
    time::Duration,
};

use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    connection_limit::ConnectionLimit,
    holder_reach::HolderReach,
    name::{DataCentre, InstanceId, Workspace},
    pace::Outcome,
};
use hibiscusladder_io::clock::{BootClock, within};
use thiserror::Error;

use crate::{
    adapter::{ConnectError, Platform, Target, UpstreamPort},
    cold::ColdGate,
    in_flight::{InFlight, InFlightGuard},
    lease::{Connection, Lease},
    ledger::Ledger,
    model::{Code, Failure},
    pace::{MemberLimits, MemberPace},
    service_time::ServiceTime,
    settings::Distance,
    slot_queue::{self, SlotQueue},
    urgency::{NoSlot, SlotRequest},
};

/// Longest time for opening a connection; it covers two round trips between regions and a busy member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before another attempt after a member refused a connection because it has too many.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Assumed duration of a round trip to a member, by distance.
const ASSUMED_ROUND_TRIP: [(Distance, Duration); 3] = [
    (Distance::Local, Duration::from_millis(1)),
    (Distance::Region, Duration::from_millis(3)),
    (Distance::Far, Duration::from_millis(41)),
];
/// Time that opening a connection adds to the expected time of a member, in seconds.
pub const OPENING_COST_S: f64 = 0.012;

/// Time for which a member that did not answer is used last.
const DEPRIORITISED_TIME: Duration = Duration::from_millis(1000);
/// Time that is added to the expected time of a member that did not answer lately, in seconds, so that it is used last.
const UNREACHABLE_COST_S: f64 = 10.0;
/// Time that is added to the expected time of a cold member, in seconds. It is more than the queue of a warm member that
/// works, so that reads prefer warm members, and less than what an unreachable member costs.
const COLD_COST_S: f64 = 1.0;
/// Shortest time for which a member that lagged gets no reads. Each further lagging answer doubles the time.
const MIN_LAG_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which a member that lagged gets no reads.
const MAX_LAG_PAUSE: Duration = Duration::from_millis(600);

/// Values of a caller's session, by name.
pub type Values = BTreeMap<Box<str>, Box<str>>;

/// Reason why no connection is available. No statement has run.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// All connections or slots stayed in use until the time limit.
    #[error("all connections to the member are in use")]
    Exhausted,
    /// The order of requests gives the request no slot in time.
    #[error("the member has no slot for the request in time")]
    NoSlot(NoSlot),
    /// The request needs a primary, and the member has been replaced.
    #[error("the member is no longer the primary")]
    Replaced,
    /// The member gets no new work, because its data centre is evacuated.
    #[error("the data centre of the member is evacuated")]
    Evacuated,
    /// The member refused the connection.
    #[error("the member refused the connection ({0})")]
    Refused(Failure),
    /// The member cannot be connected to, or not in time.
    #[error("the member cannot be reached: {0}")]
    Unreachable(io::Error),
}

struct State<P>
where
    P: Platform,
{
    idle: Vec<Connection<P>>,
    /// Number of connections that are idle, in use or being opened.
    open: usize,
    limits: PoolLimits,
    /// Limit of the open connections, without the one for control commands.
    connection_limit: ConnectionLimit,
    /// Time up to which no connection is opened, because the member had too many.
    full_until: Instant,
    service_time: ServiceTime,
}

/// Limits of one instance for its connections to one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections that may be open at once for statements.
    pub open: usize,
    /// Connections that control commands may open beyond those.
    pub reserved: usize,
    /// Idle connections that may be kept.
    pub idle: usize,
    /// Statements that may run at once, without those of open transactions; `None` when only connections are limited.
    pub running: Option<u32>,
}

/// A member, and where it runs.
#[derive(Debug, Clone)]
pub struct MemberPlace {
    /// The member, with its address.
    pub target: Target,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Distance of that data centre from this instance.
    pub distance: Distance,
}

/// Instances through which a member is reached.
#[derive(Debug, Clone, Default)]
pub struct MemberPaths {
    /// The instances that hold connections to the member, the preferred one first; `None` when all connect to it.
    pub holders: Option<Rc<[InstanceId]>>,
    /// The instances that connect to the member while its holders cannot reach it, the preferred one first.
    pub standbys: Rc<[InstanceId]>,
}

/// What a connection is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Statements of callers.
    Statements,
    /// A control command, which may not wait until statements end: they may wait for a failover themselves.
    Control,
}

/// Pool of the connections of this instance to one member.
pub struct Pool<P>
where
    P: Platform,
{
    /// Member that the connections lead to.
    pub target: Target,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Limit of the requests to the member while it is cold.
    pub cold: Rc<ColdGate>,
    /// Pace of the member; `None` without the feature.
    pub(crate) pace: Option<MemberPace>,
    pub(crate) slot_queue: SlotQueue<P>,
    /// The instances that hold connections to the member, the preferred one first; `None` when all connect to it.
    holders: RefCell<Option<Rc<[InstanceId]>>>,
    /// The instances that connect to the member while its holders cannot reach it, the preferred one first.
    standbys: RefCell<Rc<[InstanceId]>>,
    /// What the holders, this instance included, reported about reaching the member.
    pub(crate) holder_reach: RefCell<HolderReach>,
    distance: Distance,
    state: RefCell<State<P>>,
    released: Notify,
    uses: InFlight,
    closed: Cell<bool>,
    opened: Cell<u64>,
    /// Until when the member gets no reads because it lagged, and the pause that its next lagging answer causes.
    lagging: Cell<(Instant, Duration)>,
    /// Until when the member is used last, because it did not answer.
    deprioritised_until: Cell<Instant>,
    /// Accounts of the connections.
    ledger: Ledger,
}

impl<P> Pool<P>
where
    P: Platform,
{
    /// Creates a pool without connections.
    pub fn new(
        place: MemberPlace,
        limits: PoolLimits,
        paths: MemberPaths,
        with_priorities: bool,
        member_limits: MemberLimits,
        ledger: Ledger,
    ) -> Rc<Self> {
        let state = State {
            idle: Vec::new(),
            open: 0,
            limits,
            connection_limit: ConnectionLimit::new(limits.open),
            full_until: Instant::default(),
            service_time: ServiceTime::new(BootClock.now()),
        };
        let MemberPlace { target, data_centre, distance } = place;
        let MemberLimits { cold, pace } = member_limits;
        let pool = Rc::new(Self {
            target,
            data_centre,
            cold,
            pace,
            slot_queue: SlotQueue::new(limits, with_priorities),
            holders: RefCell::new(paths.holders),
            standbys: RefCell::new(paths.standbys),
            holder_reach: RefCell::default(),
            distance,
            state: RefCell::new(state),
            released: Notify::new(),
            uses: InFlight::default(),
            closed: Cell::new(false),
            opened: Cell::new(0),
            lagging: Cell::new((Instant::default(), MIN_LAG_PAUSE)),
            deprioritised_until: Cell::new(Instant::default()),
            ledger,
        });
        pool.configure_pace(limits);
        pool
    }

    /// The instances that hold connections to the member, the preferred one first; `None` when all connect to it.
    pub fn holders(&self) -> Option<Rc<[InstanceId]>> {
        self.holders.borrow().clone()
    }

    /// The instances that connect to the member while its holders cannot reach it, the preferred one first.
    pub fn standbys(&self) -> Rc<[InstanceId]> {
        self.standbys.borrow().clone()
    }

    /// Changes the limits and the paths. Connections in use beyond the new limits are closed when they are returned.
    pub fn set_limits(self: &Rc<Self>, limits: PoolLimits, paths: MemberPaths) {
        *self.holders.borrow_mut() = paths.holders;
        *self.standbys.borrow_mut() = paths.standbys;
        let mut state = self.state.borrow_mut();
        state.limits = limits;
        state.connection_limit.configure(limits.open);
        drop(state);
        self.slot_queue.set_limits(limits);
        self.configure_pace(limits);
    }

    fn configure_pace(self: &Rc<Self>, limits: PoolLimits) {
        if let Some(pace) = &self.pace {
            let running = limits.running.map_or(usize::MAX, |running| running as usize);
            pace.configure(limits.open.min(running), BootClock.now());
            slot_queue::update_pace(self);
        }
    }

    /// Records the outcome of what was sent to the member at `sent`.
    pub(crate) fn record_outcome(self: &Rc<Self>, outcome: Outcome, sent: Instant) {
        if let Some(pace) = &self.pace {
            pace.record(outcome, sent, BootClock.now());
            slot_queue::update_pace(self);
        }
    }

    /// Whether a connection of `workspace` is idle.
    pub(crate) fn has_idle(&self, workspace: &Workspace) -> bool {
        self.state.borrow().idle.iter().any(|idle| idle.workspace == *workspace)
    }

    /// Number of connections opened so far.
    pub const fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes the idle connections at once, and those in use when they are returned.
    pub fn close(&self) {
        self.closed.set(true);
        if let Some(pace) = &self.pace {
            pace.configure(0, BootClock.now());
        }
        self.drop_idle();
    }

    /// Closes the idle connections, which may have become unresponsive.
    pub fn drop_idle(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= state.idle.len();
        state.idle.clear();
        drop(state);
        self.released.notify(usize::MAX);
    }

    /// Records whether the member answered that its log does not include the required position.
    pub fn record_lagging(&self, lagging: bool, now: Instant) {
        let (until, pause) = self.lagging.get();
        self.lagging.set(if lagging {
            (now.plus(pause), (pause * 2).min(MAX_LAG_PAUSE))
        } else {
            (until, MIN_LAG_PAUSE)
        });
    }

    /// Whether the member lagged lately, so that it gets no reads.
    pub fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging.get().0
    }

    /// Whether the member did not answer lately, so that it is used last.
    pub fn is_deprioritised(&self, now: Instant) -> bool {
        now < self.deprioritised_until.get()
    }

    /// Records that the member did not answer, and closes the idle connections, which may have become unresponsive.
    pub fn record_unreachable(&self, now: Instant) {
        self.deprioritised_until.set(now.plus(DEPRIORITISED_TIME));
        self.drop_idle();
    }

    /// Expected time until a new request of `workspace` is answered, in seconds.
    pub fn expected_s(&self, workspace: &Workspace, now: Instant) -> f64 {
        let state = self.state.borrow();
        let service = state.service_time.expected_s(now);
        let held_elsewhere = state.limits.idle == 0;
        let opening = if held_elsewhere || self.has_idle(workspace) {
            0.0
        } else {
            OPENING_COST_S + self.round_trip().as_secs_f64()
        };
        let penalty = if self.is_deprioritised(now) { UNREACHABLE_COST_S } else { 0.0 };
        let penalty = penalty + if self.cold.is_cold(now) { COLD_COST_S } else { 0.0 };
        let queue = service * (1.0 + self.uses.count() as f64);
        self.round_trip().as_secs_f64() + queue + opening + penalty
    }

    /// Assumed duration of a round trip to the member.
    pub fn round_trip(&self) -> Duration {
        let assumed = ASSUMED_ROUND_TRIP.iter().find(|(distance, _)| *distance == self.distance);
        assumed.map_or(Duration::ZERO, |(_, round_trip)| *round_trip)
    }

    /// Waits for a slot and a connection for a statement, if possible one that has `values` already.
    ///
    /// # Errors
    ///
    /// No slot or connection is available in time. No statement has run.
    pub async fn acquire(
        self: &Rc<Self>,
        request: &SlotRequest<'_>,
        values: &Values,
    ) -> Result<Lease<P>, AcquireError> {
        let permits = slot_queue::acquire(self, request).await;
        let permits = permits
            .map_err(|no_slot| no_slot.map_or(AcquireError::Exhausted, AcquireError::NoSlot))?;
        let purpose = Purpose::Statements;
        let lease = self.connect(purpose, request.workspace, values, request.until).await?;
        Ok(lease.with_permits(permits))
    }

    /// Number of requests that wait for a slot or a connection here.
    pub fn waiting(&self) -> usize {
        self.slot_queue.waiting()
    }

    /// Like [`acquire`](Self::acquire), but without waiting for a slot.
    ///
    /// # Errors
    ///
    /// As for [`acquire`](Self::acquire).
    pub async fn connect(
        self: &Rc<Self>,
        purpose: Purpose,
        workspace: &Workspace,
        values: &Values,
        until: Instant,
    ) -> Result<Lease<P>, AcquireError> {
        loop {
            let released = self.released.listen();
            if let Some(connection) = self.take_idle(workspace, values) {
                return Ok(self.lease(connection));
            }
            let now = BootClock.now();
            if now >= until {
                return Err(AcquireError::Exhausted);
            }
            if let Some(opening) = self.reserve(purpose, now) {
                let opened = opening.connect(workspace).await;
                if matches!(opened, Err(AcquireError::Unreachable(_))) {
                    self.record_outcome(Outcome::Lost, now);
                }
                match opened {
                    Err(AcquireError::Refused(failure)) if failure.code == Code::TooMany => {
                        self.record_outcome(Outcome::Rejected, now);
                        self.record_full(BootClock.now());
                    }
                    result => return result,
                }
            }
            let wait = until.since(now).min(FULL_RETRY_DELAY);
            within(wait, released).await;
        }
    }

    /// The idle connection with the oldest last answer, of any workspace; `None` when no connection is idle.
    pub fn take_oldest(self: &Rc<Self>) -> Option<Lease<P>> {
        loop {
            let mut connection = {
                let mut state = self.state.borrow_mut();
                let oldest =
                    (0..state.idle.len()).min_by_key(|index| state.idle[*index].last_answered)?;
                state.idle.remove(oldest)
            };
            if !connection.port.is_stale() {
                return Some(self.lease(connection));
            }
            self.state.borrow_mut().open -= 1;
        }
    }

    fn take_idle(&self, workspace: &Workspace, values: &Values) -> Option<Connection<P>> {
        loop {
            let mut state = self.state.borrow_mut();
            let of_workspace = |connection: &Connection<P>| connection.workspace == *workspace;
            let with_values = |connection: &Connection<P>| {
                of_workspace(connection) && connection.values == *values
            };
            let index = state.idle.iter().rposition(with_values);
            let index = index.or_else(|| state.idle.iter().rposition(of_workspace))?;
            let mut connection = state.idle.remove(index);
            if !connection.port.is_stale() {
                return Some(connection);
            }
            state.open -= 1;
        }
    }

    /// Records that the member refused a connection because it has too many.
    fn record_full(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let open = state.open;
        state.connection_limit.refused(open, now);
        state.full_until = now.plus(FULL_RETRY_DELAY);
    }

    /// Reserves room for a new connection; at the limit, an idle connection is closed for it. `None` when none is idle,
    /// or while the member has too many connections.
    fn reserve(self: &Rc<Self>, purpose: Purpose, now: Instant) -> Option<Opening<P>> {
        let mut state = self.state.borrow_mut();
        if now < state.full_until {
            return None;
        }
        let reserved = match purpose {
            Purpose::Statements => 0,
            Purpose::Control => state.limits.reserved,
        };
        if state.open >= state.connection_limit.current(now) + reserved {
            let oldest =
                (0..state.idle.len()).min_by_key(|index| state.idle[*index].last_answered)?;
            state.idle.remove(oldest);
            state.open -= 1;
        }
        state.open += 1;
        drop(state);
        Some(Opening { pool: self.clone(), reserved: true })
    }

    /// Counts a use of the member through another instance, for as long as the returned guard lives.
    pub fn begin_use(&self) -> InFlightGuard {
        self.uses.begin()
    }

    fn lease(self: &Rc<Self>, connection: Connection<P>) -> Lease<P> {
        Lease::new(self.clone(), connection, self.uses.begin())
    }

    /// Takes back a connection that was in use; `None` when it was closed because it cannot be reused.
    pub(crate) fn return_connection(&self, connection: Option<Connection<P>>) {
        let mut state = self.state.borrow_mut();
        let fits = state.open <= state.limits.open
            && state.idle.len() < state.limits.idle
            && !self.closed.get();
        match connection {
            Some(connection) if fits => state.idle.push(connection),
            _ => state.open -= 1,
        }
        drop(state);
        self.released.notify(1);
    }

    /// Mean service time of a statement, without the round trip.
    pub fn service_time(&self) -> Duration {
        self.state.borrow().service_time.average()
    }

    /// Records the time from sending a statement to its answer; a round trip is subtracted.
    pub fn record_service_time(&self, service: Duration, now: Instant) {
        let service = service.saturating_sub(self.round_trip());
        self.state.borrow_mut().service_time.record(service, now);
    }
}

/// A connection that is being opened, with its reserved room in the pool.
struct Opening<P>
where
    P: Platform,
{
    pool: Rc<Pool<P>>,
    /// Whether the room is still reserved, so that it is released when the value is dropped.
    reserved: bool,
}

impl<P> Opening<P>
where
    P: Platform,
{
    async fn connect(mut self, workspace: &Workspace) -> Result<Lease<P>, AcquireError> {
        let account = self.pool.ledger.open_reserved(Some(self.pool.target.address));
        let connecting = P::Upstream::connect(&self.pool.target, workspace, account);
        let port = match within(CONNECT_TIMEOUT, connecting).await {
            Some(Ok(port)) => port,
            Some(Err(ConnectError::Refused(failure))) => {
                return Err(AcquireError::Refused(failure));
            }
            Some(Err(ConnectError::Io(error))) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.pool.cold.record_refused(BootClock.now());
                }
                return Err(AcquireError::Unreachable(error));
            }
            None => return Err(AcquireError::Unreachable(io::ErrorKind::TimedOut.into())),
        };
        self.reserved = false;
        self.pool.opened.set(self.pool.opened.get() + 1);
        Ok(self.pool.lease(Connection::new(port, workspace.clone(), BootClock.now())))
    }
}

impl<P> Drop for Opening<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if self.reserved {
            self.pool.state.borrow_mut().open -= 1;
            self.pool.released.notify(1);
        }
    }
}
