//! State of one instance, shared by its tasks, which all run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    membership,
    name::{DataCentre, Group, InstanceId, MemberId, Workspace},
    roster::{self, FleetRole, Roster},
    share::AllotmentPart,
    sync_group::{Failover, GroupView},
    topology::{Connections, HOLDERS_PER_MEMBER, Profile, Topology},
};
use hibiscusladder_io::clock::{BootClock, within};
use serde_json::json;
use smol::{LocalExecutor, lock::Semaphore, net::UdpSocket};

use crate::{
    adapter::{Platform, Target},
    admission::Admission,
    directory::Directory,
    events::{self, Event},
    failover_claim::FailoverClaims,
    in_flight::{InFlight, InFlightGuard},
    member_table::{Member, MemberTable},
    message::{Registration, RosterVersion},
    metrics::Metrics,
    peers::Peers,
    pool::{Pool, PoolLimits},
    relay::{PARALLEL_TRANSFERS, Progress, compress_directory},
    settings::Settings,
    tasks::Tasks,
    tunnel::Tunnels,
};

/// Connections of all instances to a member while the configuration has no limit for its group; one more than polls
/// need.
const DEFAULT_MAX_CONNECTIONS: usize = 2;
/// Connections of a holder's part that it does not open. The connections of a process that has just ended still count
/// at the member.
const RESERVED_CONNECTIONS: usize = 1;
/// Statements that a holder sends beyond its part of a member's slots, so that no slot is idle during a round trip.
const EXTRA_STATEMENTS: usize = 1;

/// Age of an answer up to which it shows that a member responds.
const ANSWER_EVIDENCE_AGE: Duration = Duration::from_millis(400);
/// Time from the first list of the instances in which hubs count as live although no message has come.
const HUB_GRACE: Duration = Duration::from_millis(1000);
/// Time before the process is killed at which it ends by itself.
const END_MARGIN: Duration = Duration::from_millis(600);
/// Time before the end of the process at which every request has its answer; it covers two of the longest delays
/// between attempts.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// State of the polls of one member.
#[derive(Debug, Default, Clone, Copy)]
pub struct PollState {
    /// When the latest poll was sent; `None` before the first.
    pub sent: Option<Instant>,
    /// Whether the latest poll is still running.
    pub running: bool,
    /// Whether the decision log last reported the member as lost.
    pub logged_lost: bool,
}

/// State of one group.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the group, as in the configuration.
    pub name: Group,
    /// Latest answers of the members, and the leader that follows from them.
    pub view: RefCell<GroupView>,
    /// Failover that this instance carries out.
    pub failover: RefCell<Failover>,
    /// Number of consecutive writes without an answer, and when the first of them was recorded; `None` after a write
    /// with an answer.
    pub unanswered_writes: Cell<Option<(u32, Instant)>>,
    /// Since when members answer but none of them leads; `None` while there is a leader or no answer.
    pub leaderless_since: Cell<Option<Instant>>,
    /// Highest fence term for which this instance has discarded its leadership proofs; 0 before the first.
    pub confirmed: Cell<u64>,
    /// Members for which a poll was requested since the polls of the group were last sent.
    pub poll_requested: RefCell<BTreeSet<MemberId>>,
    /// Members whose answers were slow since the last message to a hub.
    slow: RefCell<BTreeSet<MemberId>>,
    /// When a member last answered a request of this instance; `None` before the first.
    answered_at: Cell<Option<Instant>>,
    /// State of the polls by member.
    pub polls: RefCell<BTreeMap<MemberId, PollState>>,
    /// Member and term of the leader that was last logged, and whether it was fenced; `None` without a leader.
    logged_leader: RefCell<Option<(MemberId, u64, bool)>>,
    changed: Notify,
}

impl GroupState {
    fn new(name: Group) -> Rc<Self> {
        Rc::new(Self {
            name,
            view: RefCell::default(),
            failover: RefCell::default(),
            unanswered_writes: Cell::new(None),
            leaderless_since: Cell::new(None),
            confirmed: Cell::new(0),
            poll_requested: RefCell::default(),
            slow: RefCell::default(),
            answered_at: Cell::new(None),
            polls: RefCell::default(),
            logged_leader: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Wakes the tasks that wait for a change of the group.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Logs the leader if it has changed, and wakes the tasks that wait for a change.
    ///
    /// `answered_by` is the member whose answer may have changed the leader.
    pub fn log_leader_change(&self, answered_by: Option<&MemberId>, now: Instant) {
        let leader = self.view.borrow().leader(now);
        let leader = leader.map(|leader| (leader.member, leader.term.0, leader.fenced));
        if *self.logged_leader.borrow() != leader {
            events::log(
                Event::LeaderChanged,
                json!({
                    "group": self.name.as_str(),
                    "leader": leader.as_ref().map(|(member, _, _)| member.as_str()),
                    "term": leader.as_ref().map(|(_, term, _)| *term),
                    "fenced": leader.as_ref().map(|(_, _, fenced)| *fenced),
                    "answered_by": answered_by.map(MemberId::as_str),
                }),
            );
            *self.logged_leader.borrow_mut() = leader;
            self.notify();
        }
    }

    /// Requests a poll of a member with the next polls of the group; used when a request to the member has no answer, or
    /// when another instance suspects the member.
    ///
    /// A member that has answered another request lately is not polled.
    pub fn request_poll(&self, member: &MemberId, now: Instant) {
        let answered = self.view.borrow().answered_at(member);
        if answered.is_some_and(|answered| now.since(answered) < ANSWER_EVIDENCE_AGE) {
            return;
        }
        self.poll_requested.borrow_mut().insert(member.clone());
    }

    /// Records that a request to the member has no answer for a while, for the next message to a hub.
    pub fn record_slow(&self, member: &MemberId) {
        self.slow.borrow_mut().insert(member.clone());
    }

    /// Removes and returns the members that were recorded as slow.
    pub fn take_slow(&self) -> BTreeSet<MemberId> {
        self.slow.take()
    }

    /// Records that a member answered a request of this instance.
    pub fn record_answer(&self, now: Instant) {
        self.answered_at.set(Some(now));
    }

    /// Whether a member answered a request of this instance within `age`.
    pub fn has_answers_since(&self, now: Instant, age: Duration) -> bool {
        self.answered_at.get().is_some_and(|answered| now.since(answered) < age)
    }

    /// Waits for a change of the group, at most for `limit`.
    pub async fn wait_for_change(&self, limit: Duration) {
        within(limit, self.changed.listen()).await;
    }

    /// Records whether the primary answered a write.
    pub fn record_write(&self, answered: bool, now: Instant) {
        let unanswered_writes = self.unanswered_writes.get();
        self.unanswered_writes.set(match unanswered_writes {
            _ if answered => None,
            Some((count, since)) => Some((count + 1, since)),
            None => Some((1, now)),
        });
    }
}

/// State of one instance.
pub struct Node<P>
where
    P: Platform,
{
    /// Settings of the instance, which do not change while the process runs.
    pub settings: Settings,
    /// Clock of all times in this process.
    pub clock: BootClock,
    /// Client of the platform's store.
    pub store: P::Store,
    /// Client of the platform's promotions.
    pub promoter: P::Promoter,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Member entries of the store.
    pub members: RefCell<MemberTable>,
    /// Allotments of the workspaces.
    pub admission: RefCell<Admission>,
    /// State of the other instances.
    pub peers: RefCell<Peers>,
    /// Failover claims that this instance has read or made.
    pub failover_claims: RefCell<FailoverClaims>,
    /// Socket for messages to and from other instances.
    pub datagrams: UdpSocket,
    /// Idle tunnels to holders.
    pub tunnels: Tunnels,
    topology: RefCell<Rc<Topology>>,
    /// Progress of this instance in registering and in listing the others.
    pub roster: RefCell<Roster>,
    roster_digest: Cell<u64>,
    has_urgent_news: Cell<bool>,
    /// Whether the start-up tokens were granted.
    start_tokens_granted: Cell<bool>,
    /// Notified when messages have to be sent at once.
    pub send_now: Notify,
    /// Notified when the next step of the roster may have changed.
    pub roster_changed: Notify,
    /// Notified when the watches of the store have to be renewed, because another instance has newer data.
    pub renew_watches: Notify,
    /// Progress in catching up with newer data of other instances.
    pub progress: RefCell<Progress>,
    /// Permits for the transfers of pages to other instances.
    pub transfers: Semaphore,
    /// Version and compressed form of the configuration that was last sent to another instance.
    compressed: RefCell<Option<(u64, Bytes)>>,
    members_revision: Cell<u64>,
    directory: RefCell<Option<Rc<Directory>>>,
    groups: RefCell<BTreeMap<Group, Rc<GroupState>>>,
    pools: RefCell<BTreeMap<MemberId, Rc<Pool<P>>>>,
    tasks: Tasks,
    stopping: Cell<Option<Instant>>,
    stop: Notify,
    sessions: InFlight,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Creates the state of an instance that has read nothing from the store yet.
    pub fn new(
        settings: Settings,
        store: P::Store,
        promoter: P::Promoter,
        datagrams: UdpSocket,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let now = BootClock.now();
        Rc::new(Self {
            peers: RefCell::new(Peers::new(settings.instance.clone(), now)),
            progress: RefCell::new(Progress::new(&settings.instance)),
            settings,
            clock: BootClock,
            store,
            promoter,
            metrics: Metrics::default(),
            members: RefCell::default(),
            admission: RefCell::default(),
            failover_claims: RefCell::default(),
            datagrams,
            tunnels: Tunnels::default(),
            topology: RefCell::default(),
            roster: RefCell::default(),
            roster_digest: Cell::new(0),
            has_urgent_news: Cell::new(false),
            start_tokens_granted: Cell::new(false),
            send_now: Notify::new(),
            roster_changed: Notify::new(),
            renew_watches: Notify::new(),
            transfers: Semaphore::new(PARALLEL_TRANSFERS),
            compressed: RefCell::default(),
            members_revision: Cell::new(0),
            directory: RefCell::default(),
            groups: RefCell::default(),
            pools: RefCell::default(),
            tasks: Tasks::new(executor),
            stopping: Cell::new(None),
            stop: Notify::new(),
            sessions: InFlight::default(),
        })
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Runs `future` as a task of the instance.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.tasks.spawn(future);
    }

    /// Runs a task that `start` creates from this instance for as long as the process runs; `name` is for the log.
    pub fn supervise<S, F>(self: &Rc<Self>, name: &'static str, start: S)
    where
        S: Fn(Rc<Self>) -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        let node = self.clone();
        self.tasks.supervise(name, move || start(node.clone()));
    }

    /// The configuration in force; `None` before the first.
    pub fn directory(&self) -> Option<Rc<Directory>> {
        self.directory.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.directory.borrow().as_ref().map_or(0, |directory| directory.version)
    }

    /// The configuration in force in the form that other instances request; `None` before the first.
    pub fn compressed_directory(&self) -> Option<Bytes> {
        let directory = self.directory()?;
        let mut compressed = self.compressed.borrow_mut();
        if compressed.as_ref().is_none_or(|(version, _)| *version != directory.version) {
            *compressed = Some((directory.version, compress_directory(&directory)?));
        }
        compressed.as_ref().map(|(_, body)| body.clone())
    }

    /// Puts a configuration in force if its version is higher than that of the one in force. `source` is `store` or
    /// `instance`, for the log.
    pub fn apply_directory(&self, directory: Rc<Directory>, source: &'static str) {
        if directory.version <= self.version() {
            return;
        }
        events::log(
            Event::ConfigurationApplied,
            json!({
                "version": directory.version, "replaces": self.version(), "source": source,
                "routes": directory.routes.len(), "workspaces": directory.workspaces.len(),
            }),
        );
        let mut groups = self.groups.borrow_mut();
        for name in directory.groups.keys() {
            groups.entry(name.clone()).or_insert_with(|| GroupState::new(name.clone()));
        }
        drop(groups);
        *self.directory.borrow_mut() = Some(directory);
        self.update_limits();
        self.update_groups();
        self.announce();
    }

    /// State of a group; `None` when no configuration has named the group.
    pub fn group(&self, name: &Group) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Like [`group`](Self::group), for a name as text.
    pub fn group_named(&self, name: &str) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Revision of the newest member entry that was read; 0 before the first.
    pub const fn members_revision(&self) -> u64 {
        self.members_revision.get()
    }

    /// Records the revision of a member entry.
    pub fn record_members_revision(&self, revision: u64) {
        self.members_revision.set(self.members_revision.get().max(revision));
    }

    /// State of all groups, in the order of their names.
    pub fn groups(&self) -> Vec<Rc<GroupState>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Entry of a member; `None` when the member table has none.
    pub fn member(&self, id: &MemberId) -> Option<Member> {
        self.members.borrow().get(id).cloned()
    }

    /// Pool of connections to a member, created at the first call; `None` for an unknown member.
    pub fn pool(&self, id: &MemberId) -> Option<Rc<Pool<P>>> {
        if let Some(pool) = self.pools.borrow().get(id) {
            return Some(pool.clone());
        }
        let member = self.member(id)?;
        let record = member.record;
        let target =
            Target { member: id.clone(), group: record.group.clone(), address: record.address };
        let distance = self.settings.distance(&record.data_centre);
        let (limits, holders) = self.pool_limits(&target, &record.data_centre);
        let pool = Pool::new(target, record.data_centre, distance, limits, holders);
        self.pools.borrow_mut().insert(id.clone(), pool.clone());
        Some(pool)
    }

    /// Updates the limits of the pool of a member whose entry has changed.
    pub fn update_pool(&self, id: &MemberId) {
        if let Some(pool) = self.pools.borrow().get(id) {
            let (limits, holders) = self.pool_limits(&pool.target, &pool.data_centre);
            pool.set_limits(limits, holders);
        }
    }

    /// Removes the pool of a member that was removed or restarted, and closes its connections.
    pub fn drop_pool(&self, id: &MemberId) {
        if let Some(pool) = self.pools.borrow_mut().remove(id) {
            pool.close();
        }
    }

    /// Updates the members in the views of the groups from the member table.
    pub fn update_groups(&self) {
        let members = self.members.borrow();
        for group in self.groups.borrow().values() {
            let members = members.in_group(&group.name);
            let members = members.map(|(id, member)| (id.clone(), member.record.role));
            group.view.borrow_mut().set_members(members);
            group.notify();
        }
    }

    /// Updates allotments and connection limits from the configuration and the registered instances.
    pub fn update_limits(&self) {
        let topology = self.update_topology();
        let Some(directory) = self.directory() else { return };
        // Until it knows the other instances, and while it is no hub, this instance accrues no tokens and receives them
        // from others only.
        let part = if self.role() == FleetRole::Hub && self.knows_fleet() {
            let hubs = topology.hubs().count().max(1);
            let sharing = topology.regional_hubs(self.instance()).count();
            AllotmentPart { rate: 1.0 / hubs as f64, sharing }
        } else {
            AllotmentPart::alone(0.0)
        };
        let limits = directory.workspaces.iter().map(|(workspace, limits)| {
            (workspace.clone(), self.settings.tolerance.enforced_limits((*limits).into()))
        });
        let mut admission = self.admission.borrow_mut();
        admission.configure(&limits.collect(), part, self.now());
        if part.rate > 0.0 && !self.start_tokens_granted.replace(true) {
            let tolerance = self.settings.tolerance;
            let tokens = directory.workspaces.iter().map(|(workspace, limits)| {
                (workspace.clone(), tolerance.startup_tokens((*limits).into()))
            });
            admission.grant(&tokens.collect(), self.now());
        }
        drop(admission);
        for pool in self.pools.borrow().values() {
            let (limits, holders) = self.pool_limits(&pool.target, &pool.data_centre);
            pool.set_limits(limits, holders);
        }
    }

    /// Connections of a member of the group, and the workspaces that use them.
    fn connections(&self, group: &Group) -> Connections {
        let directory = self.directory();
        let directory = directory.as_ref();
        let limits = directory.and_then(|directory| directory.groups.get(group));
        Connections {
            accepted: limits.map_or(DEFAULT_MAX_CONNECTIONS, |limits| limits.max_connections),
            workspaces: directory.map_or(0, |directory| directory.workspaces.len()),
        }
    }

    /// Whether a few holders connect to the members of the group for all instances.
    pub fn uses_holders(&self, group: &Group) -> bool {
        self.topology().needs_holders(self.connections(group))
    }

    /// Limits of this instance for connections to a member, and the holders of the member.
    fn pool_limits(
        &self,
        target: &Target,
        data_centre: &DataCentre,
    ) -> (PoolLimits, Option<Rc<[InstanceId]>>) {
        let connections = self.connections(&target.group);
        let total = connections.accepted;
        let member = &target.member;
        let topology = self.topology();
        let Some(holders) = topology.holders(member, data_centre, connections) else {
            let open = total / topology.len().max(1);
            return (PoolLimits { open, idle: open, running: None }, None);
        };
        let limits = if holders.contains(self.instance()) {
            let open = (total / HOLDERS_PER_MEMBER).saturating_sub(RESERVED_CONNECTIONS).max(1);
            let slots = self.member(member).map_or(1, |entry| entry.record.slots as usize);
            let running = slots.div_ceil(HOLDERS_PER_MEMBER) + EXTRA_STATEMENTS;
            PoolLimits { open, idle: open, running: u32::try_from(running).ok() }
        } else {
            PoolLimits { open: 0, idle: 0, running: None }
        };
        (limits, Some(holders.into()))
    }

    /// Addresses of holders for calls, in the order of their use. Each workspace prefers one holder, so that its
    /// connections are reused.
    pub fn holder_addresses(
        &self,
        holders: &[InstanceId],
        workspace: &Workspace,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let mut holders = holders.to_vec();
        let first = membership::weight(&[], workspace.as_str()) % holders.len().max(1) as u64;
        holders.rotate_left(usize::try_from(first).unwrap_or(0));
        self.peers.borrow().tunnel_addresses(&holders, self.now())
    }

    /// Records that the holder with this tunnel address did not answer.
    pub fn record_holder_unreachable(&self, address: SocketAddr) {
        self.peers.borrow_mut().record_unreachable_at(address, self.now());
    }

    /// Replaces the registrations of the instances, and updates the limits that depend on them.
    pub fn register(&self, registrations: &[(InstanceId, Registration)]) {
        self.peers.borrow_mut().register(registrations, self.now());
        let encoded = postcard::to_stdvec(&self.registrations()).unwrap_or_default();
        self.roster_digest.set(roster::digest(&encoded));
        self.update_limits();
        let topology = self.topology();
        let is_expected = |name: &InstanceId| topology.receives_from(self.instance(), name);
        self.peers.borrow_mut().expect_messages(is_expected, self.now());
        self.send_now.notify(usize::MAX);
        self.roster_changed.notify(usize::MAX);
    }

    /// Registrations of all instances that were read, and of this one, in the order of their names.
    pub fn registrations(&self) -> BTreeMap<InstanceId, Registration> {
        let peers = self.peers.borrow();
        let others =
            peers.registrations().map(|(name, registration)| (name.clone(), registration.clone()));
        others.chain([(self.instance().clone(), self.registration())]).collect()
    }

    /// Version of the list of the instances at this instance.
    pub fn roster_version(&self) -> RosterVersion {
        RosterVersion {
            revision: self.roster.borrow().revision(),
            digest: self.roster_digest.get(),
        }
    }

    /// Role of this instance in the fleet that it knows.
    pub fn role(&self) -> FleetRole {
        let topology = self.topology();
        let now = self.now();
        // Hubs that have just been listed have not answered yet, and at the first start of a fleet the list lacks those
        // that register later.
        let is_new = self.is_new(now);
        if topology.is_hub(self.instance()) && (self.roster.borrow().is_settled() || !is_new) {
            return FleetRole::Hub;
        }
        let peers = self.peers.borrow();
        if is_new || topology.hubs().any(|hub| peers.is_live(hub, now)) {
            FleetRole::Follower
        } else {
            FleetRole::Orphan
        }
    }

    /// Whether the other instances were first listed just now, or not at all.
    fn is_new(&self, now: Instant) -> bool {
        let known_since = self.roster.borrow().known_since();
        known_since.is_none_or(|since| now.since(since) < HUB_GRACE)
    }

    /// Whether the other instances are known well enough to decide for them or to share limits with them.
    pub fn knows_fleet(&self) -> bool {
        self.roster.borrow().is_complete(self.role())
    }

    /// Has messages sent at once, to the other hubs and from a hub to its followers: a fence or the configuration has
    /// changed.
    pub fn announce(&self) {
        self.has_urgent_news.set(true);
        self.send_now.notify(usize::MAX);
    }

    /// Whether [`announce`](Self::announce) was called since the last call of this method.
    pub fn take_urgent_news(&self) -> bool {
        self.has_urgent_news.take()
    }

    /// The instances that store tokens and state for this one: the hubs of its region, or all hubs while none of its
    /// region is live. The instance itself is not among them.
    pub fn own_hubs(&self) -> Vec<InstanceId> {
        let topology = self.topology();
        let others = |hub: &&InstanceId| *hub != self.instance();
        let regional: Vec<InstanceId> =
            topology.regional_hubs(self.instance()).filter(others).cloned().collect();
        let now = self.now();
        let peers = self.peers.borrow();
        if self.is_new(now) || regional.iter().any(|hub| peers.is_live(hub, now)) {
            return regional;
        }
        topology.hubs().filter(others).cloned().collect()
    }

    /// Registration of this instance.
    pub fn registration(&self) -> Registration {
        Registration {
            address: self.settings.peers,
            tunnels: self.settings.tunnels,
            data_centre: self.settings.data_centre.clone(),
            capacity: self.settings.capacity,
        }
    }

    /// Roles of the registered instances: hubs and holders.
    pub fn topology(&self) -> Rc<Topology> {
        self.topology.borrow().clone()
    }

    fn update_topology(&self) -> Rc<Topology> {
        let region = |data_centre: &DataCentre| {
            self.settings.regions.get(data_centre).cloned().unwrap_or_default()
        };
        let settings = &self.settings;
        let own = Profile {
            name: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            region: region(&settings.data_centre),
            capacity: settings.capacity,
        };
        let peers = self.peers.borrow();
        let others = peers.registrations().map(|(name, peer)| Profile {
            name: name.clone(),
            data_centre: peer.data_centre.clone(),
            region: region(&peer.data_centre),
            capacity: peer.capacity,
        });
        let topology = Rc::new(Topology::new(others.chain([own])));
        *self.topology.borrow_mut() = topology.clone();
        topology
    }

    /// A workspace for connections that serve no caller; `None` when none is configured.
    pub fn any_workspace(&self) -> Option<Workspace> {
        self.directory()?.workspaces.keys().next().cloned()
    }

    /// Name of this instance.
    pub const fn instance(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Begins the stop of the instance.
    pub fn begin_stop(&self) {
        self.stopping.set(Some(self.now()));
        self.stop.notify(usize::MAX);
    }

    /// When the stop began; `None` before.
    pub const fn stopping_since(&self) -> Option<Instant> {
        self.stopping.get()
    }

    /// When the process ends at the latest; `None` while it is not stopping.
    pub fn stop_deadline(&self) -> Option<Instant> {
        let grace = self.settings.grace.saturating_sub(END_MARGIN);
        self.stopping.get().map(|since| since.plus(grace))
    }

    /// Time from now that a request may take: `longest`, or less if the process ends earlier.
    pub fn limit_to_deadline(&self, longest: Duration) -> Duration {
        let left = |end: Instant| end.since(self.now()).saturating_sub(ANSWER_MARGIN);
        self.stop_deadline().map_or(longest, |end| longest.min(left(end)))
    }

    /// Waits until the stop of the instance begins.
    pub async fn wait_for_stop(&self) {
        while self.stopping.get().is_none() {
            let stop = self.stop.listen();
            if self.stopping.get().is_none() {
                stop.await;
            }
        }
    }

    /// Counts a session, or a call of another instance, for as long as the returned guard lives.
    pub fn begin_session(&self) -> InFlightGuard {
        self.sessions.begin()
    }

    /// Number of open sessions and of calls of other instances.
    pub fn sessions(&self) -> usize {
        self.sessions.count()
    }

    /// Waits until no session is open and no call of another instance runs, at most for `limit`.
    pub async fn wait_for_sessions(&self, limit: Duration) {
        let ended = async {
            while self.sessions() > 0 {
                let ended = self.sessions.ended();
                if self.sessions() > 0 {
                    ended.await;
                }
            }
        };
        within(limit, ended).await;
    }
}
