//! State of one instance, shared by its tasks, which all run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    membership,
    name::{DataCentre, Group, InstanceId, MemberId, Workspace},
    share::AllotmentPart,
    sync_group::{Failover, GroupView},
    topology::{HOLDERS_PER_MEMBER, Profile, Topology},
};
use hibiscusladder_io::clock::{BootClock, within};
use serde_json::json;
use smol::{LocalExecutor, net::UdpSocket};

use crate::{
    adapter::{Platform, Target},
    admission::Admission,
    directory::Directory,
    events::{self, Event},
    failover_claim::FailoverClaims,
    message::Registration,
    metrics::Metrics,
    peers::Peers,
    pool::{Pool, PoolLimits},
    roster::{Member, Roster},
    settings::Settings,
    tally::{Tally, TallyGuard},
    tunnel::Tunnels,
};

/// Connections to a member for each instance, at least; one more than the polls need.
const MIN_CONNECTIONS: usize = 2;
/// Connections of a holder's part that it leaves free: those of a process that has just died still count at the member.
const HELD_BACK: usize = 1;
/// Statements that a holder sends beyond its part of a member's slots, so that none is empty during a round trip.
const SPARE_STATEMENTS: usize = 1;

/// Time before the process is killed at which it ends by itself.
const END_MARGIN: Duration = Duration::from_millis(600);
/// Time before the process ends at which every request has its answer; two of the longest pauses between tries.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Polls of one member.
#[derive(Debug, Default, Clone, Copy)]
pub struct PollState {
    /// When the latest was sent.
    pub sent: Option<Instant>,
    /// Whether it has no answer yet.
    pub running: bool,
    /// Whether the member was logged as lost.
    pub lost: bool,
}

/// State of one group.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the group.
    pub name: Group,
    /// What the members answered.
    pub view: RefCell<GroupView>,
    /// The replacement of the primary.
    pub failover: RefCell<Failover>,
    /// Writes in a row that got no answer, and since when.
    pub stalled: Cell<Option<(u32, Instant)>>,
    /// Since when members answer and none of them leads.
    pub leaderless_since: Cell<Option<Instant>>,
    /// Highest term for which the instance has discarded its proofs.
    pub confirmed: Cell<u64>,
    /// Members that have to be polled soon, because a request to them has no answer.
    pub doubted: RefCell<BTreeSet<MemberId>>,
    /// Polls of the members.
    pub polls: RefCell<BTreeMap<MemberId, PollState>>,
    /// Leader that was last logged.
    announced: RefCell<Option<(MemberId, u64, bool)>>,
    changed: Notify,
}

impl GroupState {
    fn new(name: Group) -> Rc<Self> {
        Rc::new(Self {
            name,
            view: RefCell::default(),
            failover: RefCell::default(),
            stalled: Cell::new(None),
            leaderless_since: Cell::new(None),
            confirmed: Cell::new(0),
            doubted: RefCell::default(),
            polls: RefCell::default(),
            announced: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Wakes those that wait for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Logs the leader if it has changed, and wakes those that wait.
    pub fn announce(&self, answered_by: Option<&MemberId>, now: Instant) {
        let leader = self.view.borrow().leader(now);
        let leader = leader.map(|leader| (leader.member, leader.term.0, leader.fenced));
        if *self.announced.borrow() != leader {
            events::note(
                Event::LeaderChanged,
                json!({
                    "group": self.name.as_str(),
                    "leader": leader.as_ref().map(|(member, _, _)| member.as_str()),
                    "term": leader.as_ref().map(|(_, term, _)| *term),
                    "fenced": leader.as_ref().map(|(_, _, fenced)| *fenced),
                    "answered_by": answered_by.map(MemberId::as_str),
                }),
            );
            *self.announced.borrow_mut() = leader;
            self.notify();
        }
    }

    /// Asks for a poll of a member, because a request to it has no answer.
    pub fn doubt(&self, member: &MemberId) {
        self.doubted.borrow_mut().insert(member.clone());
    }

    /// Waits for a change, at most for `limit`.
    pub async fn changed(&self, limit: Duration) {
        within(limit, self.changed.listen()).await;
    }

    /// Records whether a write at the primary was answered.
    pub fn note_write(&self, answered: bool, now: Instant) {
        let stalled = self.stalled.get();
        self.stalled.set(match stalled {
            _ if answered => None,
            Some((count, since)) => Some((count + 1, since)),
            None => Some((1, now)),
        });
    }
}

/// One instance.
pub struct Node<P>
where
    P: Platform,
{
    /// Settings of the instance.
    pub settings: Settings,
    /// The clock.
    pub clock: BootClock,
    /// The store.
    pub store: P::Store,
    /// Promotions.
    pub promoter: P::Promoter,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Members as the store lists them.
    pub roster: RefCell<Roster>,
    /// Allotments of the workspaces.
    pub admission: RefCell<Admission>,
    /// Other instances.
    pub peers: RefCell<Peers>,
    /// Claims of duties.
    pub failover_claims: RefCell<FailoverClaims>,
    /// Socket for messages to other instances.
    pub datagrams: UdpSocket,
    /// Tunnels to holders.
    pub tunnels: Tunnels,
    topology: RefCell<Rc<Topology>>,
    listed: Cell<bool>,
    /// Whether the tokens of the start were granted.
    granted: Cell<bool>,
    /// Notified when other instances have to be told something at once.
    pub urgent: Notify,
    /// Notified when an instance was heard that is not registered as far as is known.
    pub strangers: Notify,
    /// Notified when the watches of the store have to be renewed, because another instance knows more.
    pub watches: Notify,
    members_revision: Cell<u64>,
    directory: RefCell<Option<Rc<Directory>>>,
    groups: RefCell<BTreeMap<Group, Rc<GroupState>>>,
    pools: RefCell<BTreeMap<MemberId, Rc<Pool<P>>>>,
    executor: Rc<LocalExecutor<'static>>,
    stopping: Cell<Option<Instant>>,
    stop: Notify,
    sessions: Tally,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Creates an instance that knows nothing yet.
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
            settings,
            clock: BootClock,
            store,
            promoter,
            metrics: Metrics::default(),
            roster: RefCell::default(),
            admission: RefCell::default(),
            failover_claims: RefCell::default(),
            datagrams,
            tunnels: Tunnels::default(),
            topology: RefCell::default(),
            listed: Cell::new(false),
            granted: Cell::new(false),
            urgent: Notify::new(),
            strangers: Notify::new(),
            watches: Notify::new(),
            members_revision: Cell::new(0),
            directory: RefCell::default(),
            groups: RefCell::default(),
            pools: RefCell::default(),
            executor,
            stopping: Cell::new(None),
            stop: Notify::new(),
            sessions: Tally::default(),
        })
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Runs `future` as a task of its own.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.executor.spawn(future).detach();
    }

    /// The configuration in force.
    pub fn directory(&self) -> Option<Rc<Directory>> {
        self.directory.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.directory.borrow().as_ref().map_or(0, |directory| directory.version)
    }

    /// Puts a configuration in force unless the one in force is as new.
    pub fn apply_directory(&self, directory: Rc<Directory>, source: &'static str) {
        if directory.version <= self.version() {
            return;
        }
        events::note(
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
    }

    /// State of a group.
    pub fn group(&self, name: &Group) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// State of the group with this name.
    pub fn group_named(&self, name: &str) -> Option<Rc<GroupState>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Revision of the newest entry of a member.
    pub const fn members_revision(&self) -> u64 {
        self.members_revision.get()
    }

    /// Records the revision of an entry of a member.
    pub fn note_members_revision(&self, revision: u64) {
        self.members_revision.set(self.members_revision.get().max(revision));
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<GroupState>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// A member, unless it is gone.
    pub fn member(&self, id: &MemberId) -> Option<Member> {
        self.roster.borrow().get(id).cloned()
    }

    /// Connections to a member.
    pub fn pool(&self, id: &MemberId) -> Option<Rc<Pool<P>>> {
        if let Some(pool) = self.pools.borrow().get(id) {
            return Some(pool.clone());
        }
        let member = self.member(id)?;
        let record = member.record;
        let target =
            Target { member: id.clone(), group: record.group.clone(), address: record.address };
        let distance = self.settings.distance(&record.data_centre);
        let limits = self.pool_limits(&target, &record.data_centre);
        let pool = Pool::new(target, record.data_centre, distance, limits);
        self.pools.borrow_mut().insert(id.clone(), pool.clone());
        Some(pool)
    }

    /// Closes the connections to a member that is gone or is another process.
    pub fn drop_pool(&self, id: &MemberId) {
        if let Some(pool) = self.pools.borrow_mut().remove(id) {
            pool.close();
        }
    }

    /// Brings the views of the groups in line with the roster.
    pub fn update_groups(&self) {
        let roster = self.roster.borrow();
        for group in self.groups.borrow().values() {
            let members = roster.in_group(&group.name);
            let members = members.map(|(id, member)| (id.clone(), member.record.role));
            group.view.borrow_mut().set_members(members);
            group.notify();
        }
    }

    /// Brings allotments and connection limits in line with the configuration and the number of instances.
    pub fn update_limits(&self) {
        let topology = self.update_topology();
        let Some(directory) = self.directory() else { return };
        // Before the others are known, tokens come only from them.
        let part = if self.listed.get() && topology.is_hub(self.instance()) {
            let hubs = topology.hubs().count().max(1);
            let sharing = topology.regional_hubs(self.instance()).count();
            AllotmentPart { rate: 1.0 / hubs as f64, sharing }
        } else {
            AllotmentPart::alone(0.0)
        };
        let limits = directory.workspaces.iter().map(|(workspace, limits)| {
            (workspace.clone(), self.settings.tolerance.extend((*limits).into()))
        });
        let mut admission = self.admission.borrow_mut();
        admission.configure(&limits.collect(), part, self.now());
        if part.rate > 0.0 && !self.granted.replace(true) {
            let tolerance = self.settings.tolerance;
            let tokens = directory.workspaces.iter().map(|(workspace, limits)| {
                (workspace.clone(), tolerance.at_start((*limits).into()))
            });
            admission.grant(&tokens.collect(), self.now());
        }
        drop(admission);
        for pool in self.pools.borrow().values() {
            pool.set_limits(self.pool_limits(&pool.target, &pool.data_centre));
        }
    }

    fn max_connections(&self, group: &Group) -> usize {
        let directory = self.directory();
        let limits = directory.as_ref().and_then(|directory| directory.groups.get(group));
        limits.map_or(MIN_CONNECTIONS, |limits| limits.max_connections)
    }

    fn pool_limits(&self, target: &Target, data_centre: &DataCentre) -> PoolLimits {
        let total = self.max_connections(&target.group);
        let member = &target.member;
        let topology = self.topology();
        let Some(holders) = topology.holders(member, data_centre, total) else {
            let open = total / topology.len().max(1);
            return PoolLimits { open, idle: open, running: None };
        };
        if !holders.contains(self.instance()) {
            return PoolLimits { open: 0, idle: 0, running: None };
        }
        let open = (total / HOLDERS_PER_MEMBER).saturating_sub(HELD_BACK).max(1);
        let slots = self.member(member).map_or(1, |known| known.record.slots as usize);
        let running = u32::try_from(slots.div_ceil(HOLDERS_PER_MEMBER) + SPARE_STATEMENTS).ok();
        PoolLimits { open, idle: open, running }
    }

    /// The instances that connect to a member; `None` when all do.
    pub fn holders(&self, pool: &Pool<P>) -> Option<Vec<InstanceId>> {
        let target = &pool.target;
        let total = self.max_connections(&target.group);
        self.topology().holders(&target.member, &pool.data_centre, total)
    }

    /// Addresses of holders for calls; the workspaces are spread over them, so that connections are used again.
    pub fn holder_addresses(
        &self,
        holders: &[InstanceId],
        workspace: &Workspace,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let mut holders = holders.to_vec();
        let first = membership::weight(&[], workspace.as_str()) % holders.len().max(1) as u64;
        holders.rotate_left(usize::try_from(first).unwrap_or(0));
        self.peers.borrow().holders(&holders, self.now())
    }

    /// Records that the holder with this address did not answer.
    pub fn note_holder_trouble(&self, address: SocketAddr) {
        self.peers.borrow_mut().note_trouble_at(address, self.now());
    }

    /// Takes over the registrations of the instances.
    pub fn register(&self, registrations: &[(InstanceId, Registration)]) {
        self.listed.set(true);
        self.peers.borrow_mut().register(registrations, self.now());
        self.update_limits();
    }

    /// Whether the other instances are known.
    pub const fn has_registrations(&self) -> bool {
        self.listed.get()
    }

    /// The own registration.
    pub fn registration(&self) -> Registration {
        Registration {
            address: self.settings.peers,
            tunnels: self.settings.tunnels,
            data_centre: self.settings.data_centre.clone(),
            capacity: self.settings.capacity,
        }
    }

    /// The parts of the instances.
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
        let others = peers.registrations().map(|(name, known)| Profile {
            name: name.clone(),
            data_centre: known.data_centre.clone(),
            region: region(&known.data_centre),
            capacity: known.capacity,
        });
        let topology = Rc::new(Topology::new(others.chain([own])));
        *self.topology.borrow_mut() = topology.clone();
        topology
    }

    /// A workspace for connections that serve no caller.
    pub fn any_workspace(&self) -> Option<Workspace> {
        self.directory()?.workspaces.keys().next().cloned()
    }

    /// Name of the instance.
    pub const fn instance(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Begins to stop.
    pub fn begin_stop(&self) {
        self.stopping.set(Some(self.now()));
        self.stop.notify(usize::MAX);
    }

    /// Since when the instance is stopping.
    pub const fn stopping(&self) -> Option<Instant> {
        self.stopping.get()
    }

    /// When the process ends at the latest, while it is stopping.
    pub fn end(&self) -> Option<Instant> {
        let grace = self.settings.grace.saturating_sub(END_MARGIN);
        self.stopping.get().map(|since| since.plus(grace))
    }

    /// Time from now for which a request may be worked on that could take `longest`; less before the process ends.
    pub fn time_for(&self, longest: Duration) -> Duration {
        let left = |end: Instant| end.since(self.now()).saturating_sub(ANSWER_MARGIN);
        self.end().map_or(longest, |end| longest.min(left(end)))
    }

    /// Waits until the instance is stopping.
    pub async fn stopped(&self) {
        while self.stopping.get().is_none() {
            let stop = self.stop.listen();
            if self.stopping.get().is_none() {
                stop.await;
            }
        }
    }

    /// Counts a session, or a call of another instance, for as long as the returned guard lives.
    pub fn session_started(&self) -> TallyGuard {
        self.sessions.begin()
    }

    /// Number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.count()
    }

    /// Waits until no session is open, at most for `limit`.
    pub async fn sessions_ended(&self, limit: Duration) {
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
