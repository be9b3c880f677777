//! State of one instance, shared by its tasks, which all run on one thread.

mod cold;
mod evacuations;
mod fleet;
mod stop;
mod succession;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::{Clock, Instant},
    connection_limit::{reserve, standby_part},
    first_configuration::{Fleet, is_confirmed},
    name::{DataCentre, Group, InstanceId, LogId, MemberId, Workspace},
    roster::{FleetRole, Roster},
    share::AllotmentPart,
    shutdown::StopPlan,
    store_era::REWRITE_TIME,
    store_version::StoreVersion,
    sync_group::ListedMember,
    topology::{Connections, HOLDERS_PER_MEMBER, STANDBYS_PER_MEMBER, Topology},
};
use hibiscusladder_io::clock::BootClock;
use serde_json::json;
use smol::{LocalExecutor, lock::Semaphore, net::UdpSocket};

use crate::{
    adapter::{Platform, Store, Target},
    admission::Admission,
    claim_table::FailoverClaims,
    cold::ColdMembers,
    directory::Directory,
    evacuations::EvacuationState,
    events::{self, Event},
    group_logs::GroupLogs,
    group_state::GroupState,
    in_flight::InFlight,
    ledger::Ledger,
    member_table::{Member, MemberTable},
    metrics::Metrics,
    outliers::OutlierState,
    pace::{MemberLimits, Paces},
    peers::Peers,
    pool::{MemberPaths, MemberPlace, Pool, PoolLimits},
    refusal::Refusals,
    relay::{MembersPage, PARALLEL_TRANSFERS, Progress, compress_directory},
    settings::Settings,
    store_era::SharedStoreEra,
    succession::SuccessionState,
    tasks::Tasks,
    tunnel::Tunnels,
};

/// Connections of all instances to a member while the configuration has no limit for its group; one more than polls
/// need.
const DEFAULT_MAX_CONNECTIONS: usize = 2;
/// Connections of a holder's part that only control commands open.
const CONTROL_CONNECTIONS: usize = 1;
/// Service time of a group without a pool.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(12);
/// Statements that a holder sends beyond its part of a member's slots, so that no slot is idle during a round trip.
const EXTRA_STATEMENTS: usize = 1;

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
    /// The era of the store.
    pub store_era: Rc<SharedStoreEra>,
    /// Client of the platform's promotions.
    pub promoter: P::Promoter,
    /// Counters and histograms.
    pub metrics: Rc<Metrics>,
    /// Member entries of the store.
    pub members: RefCell<MemberTable>,
    /// Allotments of the workspaces.
    pub admission: RefCell<Admission>,
    /// Evacuated data centres.
    pub evacuations: EvacuationState,
    /// Members that fail more reads than the others.
    pub outliers: OutlierState,
    /// Cold members, and what this instance may send to them.
    pub cold: ColdMembers,
    /// Accounts of the peers.
    pub ledger: Ledger,
    /// Pace of the members.
    pub paces: Paces,
    /// Retry delays of refused callers.
    pub refusals: Refusals,
    /// State of the other instances.
    pub peers: RefCell<Peers>,
    /// Failover claims that this instance has read or made.
    pub failover_claims: RefCell<FailoverClaims>,
    /// Logs of the groups that are recorded in the store.
    pub group_logs: RefCell<GroupLogs>,
    /// Socket for messages to and from other instances.
    pub datagrams: UdpSocket,
    /// Idle tunnels to holders.
    pub tunnels: Tunnels,
    /// Which instances act as hubs, and which were replaced.
    pub succession: SuccessionState,
    topology: RefCell<Rc<Topology>>,
    /// Progress of this instance in registering and in listing the others.
    pub roster: RefCell<Roster>,
    roster_digest: Cell<u64>,
    /// Whether the list of another instance was merged with the own one.
    has_merged_roster: Cell<bool>,
    /// Whether the instances were known well enough when the limits were last updated for that.
    knew_fleet: Cell<bool>,
    has_urgent_news: Cell<bool>,
    /// Whether the start-up tokens were granted.
    start_tokens_granted: Cell<bool>,
    /// Notified when messages have to be sent at once.
    pub send_now: Notify,
    /// Notified when the groups have to be evaluated at once, because a failover may go on.
    pub evaluate_now: Notify,
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
    members_version: Cell<StoreVersion>,
    /// Digest of the member entries, and the number of changes of the table that it includes.
    members_digest: Cell<(Option<u64>, u64)>,
    directory: RefCell<Option<Rc<Directory>>>,
    /// First configuration from a store that may lack a newer one, until it was compared with those of other instances.
    unconfirmed: RefCell<Option<Rc<Directory>>>,
    groups: RefCell<BTreeMap<Group, Rc<GroupState>>>,
    pools: RefCell<BTreeMap<MemberId, Rc<Pool<P>>>>,
    tasks: Tasks,
    stop_plan: Cell<Option<StopPlan>>,
    stop: Notify,
    has_closed_listeners: Cell<bool>,
    /// Notified when listeners take no new connection.
    close_listeners: Notify,
    listeners: InFlight,
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
        let metrics = Rc::<Metrics>::default();
        let ledger = Ledger::new(settings.peer_limits.budget(), metrics.clone());
        Rc::new(Self {
            peers: RefCell::new(Peers::new(settings.instance.clone(), now)),
            progress: RefCell::new(Progress::new(&settings.instance)),
            cold: ColdMembers::new(settings.cold),
            outliers: OutlierState::new(settings.outliers),
            paces: Paces::new(settings.pace),
            refusals: Refusals::new(settings.return_times, now),
            evacuations: EvacuationState::new(
                settings.evacuate,
                settings.regions.keys().cloned().collect(),
            ),
            tunnels: Tunnels::new(ledger.clone()),
            ledger,
            settings,
            clock: BootClock,
            store_era: store.era().clone(),
            store,
            promoter,
            metrics,
            members: RefCell::default(),
            admission: RefCell::default(),
            failover_claims: RefCell::default(),
            group_logs: RefCell::default(),
            datagrams,
            succession: SuccessionState::default(),
            topology: RefCell::default(),
            roster: RefCell::default(),
            roster_digest: Cell::new(0),
            has_merged_roster: Cell::new(false),
            knew_fleet: Cell::new(false),
            has_urgent_news: Cell::new(false),
            start_tokens_granted: Cell::new(false),
            send_now: Notify::new(),
            evaluate_now: Notify::new(),
            roster_changed: Notify::new(),
            renew_watches: Notify::new(),
            transfers: Semaphore::new(PARALLEL_TRANSFERS),
            compressed: RefCell::default(),
            members_version: Cell::default(),
            members_digest: Cell::default(),
            directory: RefCell::default(),
            unconfirmed: RefCell::default(),
            groups: RefCell::default(),
            pools: RefCell::default(),
            tasks: Tasks::new(executor),
            stop_plan: Cell::new(None),
            stop: Notify::new(),
            has_closed_listeners: Cell::new(false),
            close_listeners: Notify::new(),
            listeners: InFlight::default(),
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

    /// Puts a configuration from the store in force if its version is higher than that of the one in force. The first one
    /// is compared with those of other instances before, if the store was restored lately.
    pub fn apply_stored_directory(&self, directory: Rc<Directory>) {
        if self.directory.borrow().is_none() {
            let version = directory.version;
            let mut unconfirmed = self.unconfirmed.borrow_mut();
            if unconfirmed.as_ref().is_none_or(|known| known.version < version) {
                *unconfirmed = Some(directory);
            }
            drop(unconfirmed);
            self.confirm_directory();
        } else {
            self.apply_directory(directory, "store");
        }
    }

    /// Puts the configuration in force that waits for a comparison with other instances, if it is confirmed.
    pub fn confirm_directory(&self) {
        let Some(directory) = self.unconfirmed.borrow().clone() else { return };
        let now = self.now();
        let peers = self.peers.borrow();
        let fleet = Fleet {
            others: self.roster.borrow().known_since().map(|_| peers.registrations().count()),
            heard_since: peers.heard_since(),
            newest: peers.newest_version(now),
        };
        drop(peers);
        let may_be_old = self.store_era.may_lack_writes(REWRITE_TIME, now);
        if may_be_old && !is_confirmed(directory.version, fleet, now) {
            return;
        }
        self.unconfirmed.take();
        self.apply_directory(directory, "store");
    }

    /// Whether a configuration waits for a comparison with other instances.
    pub fn has_unconfirmed_directory(&self) -> bool {
        self.unconfirmed.borrow().is_some() && self.directory.borrow().is_none()
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
        self.update_groups(self.now());
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

    /// Version of the newest member entry that was read; the default before the first.
    pub const fn members_version(&self) -> StoreVersion {
        self.members_version.get()
    }

    /// Digest of the member entries that were read and are not missing, equal at instances with equal entries.
    pub fn members_digest(&self) -> u64 {
        let changes = self.members.borrow().changes();
        let (known_changes, known) = self.members_digest.get();
        if known_changes == Some(changes) {
            return known;
        }
        let digest = MembersPage::capture(self).digest();
        self.members_digest.set((Some(changes), digest));
        digest
    }

    /// Records the version of a member entry.
    pub fn record_members_version(&self, version: StoreVersion) {
        self.members_version.set(self.members_version.get().max(version));
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
        let (limits, paths) = self.pool_limits(&target, &record.data_centre);
        self.update_cold(&target, paths.holders.as_deref());
        let (cold, pace) = (self.cold.gate(id, self.now()), self.paces.member(&target));
        let member_limits = MemberLimits { cold, pace };
        let with_priorities = self.settings.priorities;
        let place = MemberPlace { target, data_centre: record.data_centre, distance };
        let pool =
            Pool::new(place, limits, paths, with_priorities, member_limits, self.ledger.clone());
        self.pools.borrow_mut().insert(id.clone(), pool.clone());
        Some(pool)
    }

    /// Weight of a workspace among those that wait for the same slots, and its priority.
    pub fn contract_share(&self, workspace: &Workspace) -> (f64, u32) {
        let directory = self.directory.borrow();
        let contract = directory.as_ref().and_then(|known| known.workspaces.get(workspace));
        let weight = self.admission.borrow().fair_weight(workspace);
        (weight, contract.map_or(0, |contract| contract.priority))
    }

    /// Service time of a statement at the members of a group, as far as this instance knows it.
    pub fn service_time(&self, group: &Group) -> Duration {
        let pools = self.pools.borrow();
        let times = pools.values().filter(|pool| pool.target.group == *group);
        times.map(|pool| pool.service_time()).max().unwrap_or(UNKNOWN_SERVICE_TIME)
    }

    /// Number of statements that one member of a group runs at once; 1 while none is known.
    pub fn slots(&self, group: &Group) -> u32 {
        let members = self.members.borrow();
        let slots = members.in_group(group).map(|(_, member)| member.record.slots);
        slots.max().unwrap_or(1).max(1)
    }

    /// Number of requests that wait for slots or connections of this instance.
    pub fn waiting_requests(&self) -> usize {
        self.pools.borrow().values().map(|pool| pool.waiting()).sum()
    }

    /// Updates the limits of the pool of a member whose entry has changed.
    pub fn update_pool(&self, id: &MemberId) {
        if let Some(pool) = self.pools.borrow().get(id) {
            self.update_pool_limits(pool);
        }
    }

    fn update_pool_limits(&self, pool: &Rc<Pool<P>>) {
        let (limits, paths) = self.pool_limits(&pool.target, &pool.data_centre);
        self.update_cold(&pool.target, paths.holders.as_deref());
        pool.set_limits(limits, paths);
    }

    /// Removes the pool of a member that was removed or restarted, and closes its connections.
    pub fn drop_pool(&self, id: &MemberId) {
        self.outliers.remove(id);
        if let Some(pool) = self.pools.borrow_mut().remove(id) {
            pool.close();
        }
    }

    /// Updates the members in the views of the groups from the member table. Members that are no longer in it have been
    /// gone since `gone_since`.
    pub fn update_groups(&self, gone_since: Instant) {
        let members = self.members.borrow();
        for group in self.groups.borrow().values() {
            let members = members.in_group(&group.name);
            let members = members.map(|(id, member)| ListedMember {
                member: id.clone(),
                log: LogId::from(member.record.address.to_string()),
                published: member.record.role,
            });
            group.view.borrow_mut().set_members(members, gone_since);
            group.notify();
        }
    }

    /// Updates allotments and connection limits from the configuration and the registered instances.
    pub fn update_limits(&self) {
        self.update_topology();
        self.update_allotments();
        for pool in self.pools.borrow().values() {
            self.update_pool_limits(pool);
        }
    }

    /// Updates the allotments from the configuration and the role of this instance.
    pub fn update_allotments(&self) {
        let topology = self.topology();
        let Some(directory) = self.directory() else { return };
        // Until it knows the other instances, and while it is no hub, this instance accrues no tokens and receives them
        // from others only.
        let part = if self.role() == FleetRole::Hub && self.knows_fleet() {
            let hubs = topology.hubs().count().max(1);
            let sharing = topology.regional_hubs(self.instance()).count();
            AllotmentPart { rate: self.succession.part() / hubs as f64, sharing }
        } else {
            AllotmentPart::alone(0.0)
        };
        let limits = directory.workspaces.iter().map(|(workspace, contract)| {
            (workspace.clone(), self.settings.tolerance.enforced_limits(contract.limits()))
        });
        let mut admission = self.admission.borrow_mut();
        admission.configure(&limits.collect(), part, self.now());
        if part.rate > 0.0 && !self.start_tokens_granted.replace(true) {
            let tolerance = self.settings.tolerance;
            let tokens = directory.workspaces.iter().map(|(workspace, contract)| {
                (workspace.clone(), tolerance.startup_tokens(contract.limits()))
            });
            admission.grant(&tokens.collect(), self.now());
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

    /// Limits of this instance for connections to a member, and the instances through which the member is reached.
    fn pool_limits(&self, target: &Target, data_centre: &DataCentre) -> (PoolLimits, MemberPaths) {
        let connections = self.connections(&target.group);
        let total = connections.accepted;
        let member = &target.member;
        let topology = self.topology();
        let Some(holders) = topology.holders(member, data_centre, connections) else {
            let open = total / topology.len().max(1);
            let limits = PoolLimits { open, reserved: 0, idle: open, running: None };
            return (limits, MemberPaths::default());
        };
        let standbys = topology.standbys(member, &holders);
        let slots = self.member(member).map_or(1, |entry| entry.record.slots as usize);
        let part = total / HOLDERS_PER_MEMBER;
        let reserve = reserve(part, slots, HOLDERS_PER_MEMBER);
        let limits = if holders.contains(self.instance()) {
            let open = part.saturating_sub(reserve).max(1);
            let running = slots.div_ceil(HOLDERS_PER_MEMBER) + EXTRA_STATEMENTS;
            PoolLimits {
                open,
                reserved: part.saturating_sub(open).min(CONTROL_CONNECTIONS),
                idle: open,
                running: u32::try_from(running).ok(),
            }
        } else if standbys.contains(self.instance()) {
            // A connection is closed after its use, since the holders need the reserve after a loss of processes.
            let open = standby_part(reserve, HOLDERS_PER_MEMBER, STANDBYS_PER_MEMBER);
            PoolLimits { open, reserved: 0, idle: 0, running: u32::try_from(open).ok() }
        } else {
            PoolLimits { open: 0, reserved: 0, idle: 0, running: None }
        };
        (limits, MemberPaths { holders: Some(holders.into()), standbys: standbys.into() })
    }

    /// A workspace for connections that serve no caller; `None` when none is configured.
    pub fn any_workspace(&self) -> Option<Workspace> {
        self.directory()?.workspaces.keys().next().cloned()
    }

    /// Name of this instance.
    pub const fn instance(&self) -> &InstanceId {
        &self.settings.instance
    }
}
