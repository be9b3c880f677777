//! State of an instance that the request path reads and the control tasks update.
//!
//! Reads take a short lock and copy a pointer to an immutable snapshot, so no lock is held while a request
//! waits. Updates replace the snapshot and wake those who wait for a change.
//!
//! # Example
//!
//! ```no_run
//! use hibiscusladder_core::prelude::*;
//! use hibiscusladder_proxy::{metrics::Metrics, node::Node, settings::Settings};
//!
//! # fn example(settings: Settings) {
//! let node = Node::new(settings, Metrics::disabled());
//! if let Some(group) = node.group(&Database::from("members")) {
//!     let view = group.view();
//!     println!("primary of term {}: {:?}", view.term, view.primary);
//! }
//! # }
//! ```

mod config;
mod group;
mod lease;
mod peers;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::{Clock, Instant},
    config::{BatchOutcome, Changes, ConfigValidity, ConfigView},
    membership::{Heartbeat, InstanceInfo, InstanceState, Membership, StateChange, TermInfo},
    name::{DataCentre, Database, InstanceId, MemberId},
};

use self::config::{ConfigState, touches_databases};
pub use self::{
    group::{Group, GroupView},
    lease::Lease,
    peers::Peers,
};
use crate::{
    clock::BootClock,
    metrics::Metrics,
    settings::{DataCentreSettings, Settings},
    trace::Tracer,
};

/// Time for which a changed term is part of every heartbeat; ten heartbeats.
const TERM_NEWS: Duration = Duration::from_secs(5);

/// Changed terms in one heartbeat.
const MAX_TERMS: usize = 16;

/// Unchanged terms in one heartbeat, so that an instance that missed the news learns of them later.
const OLD_TERMS: usize = 4;

/// Shared state of one instance.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    topology: Arc<[DataCentreSettings]>,
    incarnation: u64,
    clock: BootClock,
    metrics: Metrics,
    tracer: Tracer,
    config: Mutex<ConfigState>,
    config_changed: Event,
    proof_changed: Event,
    groups: Mutex<Arc<HashMap<Database, Arc<Group>>>>,
    leases: Mutex<Arc<HashMap<MemberId, Arc<Lease>>>>,
    membership: Mutex<Membership>,
    peers: Mutex<Arc<Peers>>,
    peers_changed: Event,
    draining: AtomicBool,
    drain_started: Event,
    told_terms: AtomicUsize,
}

/// Locks `mutex`; the data stays valid when another thread panicked, since updates replace whole snapshots.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of an instance that knows no configuration yet.
    pub fn new(settings: Settings, metrics: Metrics) -> Arc<Self> {
        Self::with_tracer(settings, metrics, Tracer::disabled())
    }

    /// Creates the state of an instance that sends its traces through `tracer`.
    pub fn with_tracer(settings: Settings, metrics: Metrics, tracer: Tracer) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let mut own = InstanceInfo::new(
            settings.instance.id.as_str(),
            settings.instance.data_centre.as_str(),
            &settings.instance.rpc.to_string(),
        );
        own.incarnation = incarnation;
        let clock = BootClock;
        let topology: Arc<[DataCentreSettings]> = Arc::from(settings.topology.as_slice());
        let membership = Membership::new(own);
        let peers = Peers::new(membership.clone(), Arc::clone(&topology));
        Arc::new(Self {
            config: Mutex::new(ConfigState::new(&settings)),
            settings,
            topology,
            incarnation,
            clock,
            metrics,
            tracer,
            config_changed: Event::new(),
            proof_changed: Event::new(),
            groups: Mutex::default(),
            leases: Mutex::default(),
            membership: Mutex::new(membership),
            peers: Mutex::new(Arc::new(peers)),
            peers_changed: Event::new(),
            draining: AtomicBool::new(false),
            drain_started: Event::new(),
            told_terms: AtomicUsize::new(0),
        })
    }

    /// Settings of the instance.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Name of the instance.
    pub const fn id(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Data centre of the instance.
    pub const fn data_centre(&self) -> &DataCentre {
        &self.settings.instance.data_centre
    }

    /// Number that is higher after each start of the instance.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Clock of the instance.
    pub const fn clock(&self) -> BootClock {
        self.clock
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Metrics of the instance.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Starts trace spans.
    pub const fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// The configuration.
    pub fn config(&self) -> Arc<ConfigView> {
        lock(&self.config).snapshot()
    }

    /// Completes at the next change of an object of the configuration.
    pub fn config_changed(&self) -> EventListener {
        self.config_changed.listen()
    }

    /// Completes at the next proof that the configuration is recent, or change of its revision.
    pub fn proof_changed(&self) -> EventListener {
        self.proof_changed.listen()
    }

    /// Whether the configuration is recent, or the store is unavailable to all instances.
    pub fn config_validity(&self) -> ConfigValidity {
        lock(&self.config).validity(self.now())
    }

    /// Whether requests with a key may be served on the configuration.
    pub fn config_usable(&self) -> bool {
        self.config_validity().allows_keyed_requests()
    }

    /// Revision of the store up to which every change was applied.
    pub fn config_revision(&self) -> u64 {
        lock(&self.config).revision()
    }

    /// Highest version of an object that was applied.
    pub fn config_version(&self) -> u64 {
        lock(&self.config).version()
    }

    /// Age of the proof that the configuration was the newest one; absent without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        lock(&self.config).proof_age(self.now())
    }

    /// Data centres without recent evidence, for the operator.
    pub fn silent_data_centres(&self) -> Vec<DataCentre> {
        lock(&self.config).silent(self.now())
    }

    /// Changes past the revision `since`, for another instance.
    pub fn changes_since(&self, since: u64) -> Changes {
        lock(&self.config).changes_since(since, self.now())
    }

    /// The group of `database`, when the configuration has it.
    pub fn group(&self, database: &Database) -> Option<Arc<Group>> {
        lock(&self.groups).get(database).map(Arc::clone)
    }

    /// All groups by the name of their database.
    pub fn groups(&self) -> Arc<HashMap<Database, Arc<Group>>> {
        Arc::clone(&lock(&self.groups))
    }

    /// The lease on `member`, when this instance is or was its home.
    pub fn lease(&self, member: &MemberId) -> Option<Arc<Lease>> {
        lock(&self.leases).get(member).map(Arc::clone)
    }

    /// The instances that this one knows, with itself.
    pub fn peers(&self) -> Arc<Peers> {
        Arc::clone(&lock(&self.peers))
    }

    /// Completes at the next change of the known instances.
    pub fn peers_changed(&self) -> EventListener {
        self.peers_changed.listen()
    }

    /// The instance that should serve as home of `member` of `database`.
    pub fn home_of(&self, database: &Database, member: &MemberId) -> Option<InstanceInfo> {
        let group = self.group(database)?;
        let view = group.view();
        let record = view.member(member)?;
        self.peers().home(database, member, &record.data_centre).cloned()
    }

    /// Whether this instance should serve as home of `member` of `database`.
    pub fn is_home(&self, database: &Database, member: &MemberId) -> bool {
        self.home_of(database, member).is_some_and(|home| home.id == *self.id())
    }

    /// Name of the instance at the members, `<data centre>/<instance>`.
    pub fn application(&self) -> String {
        format!("{}/{}", self.data_centre(), self.id())
    }

    /// Whether the instance is leaving: it takes no new sessions and asks clients to reconnect.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Completes when the instance starts to leave.
    pub fn drain_started(&self) -> EventListener {
        self.drain_started.listen()
    }

    /// Starts without being chosen as home.
    pub fn start_warm_up(&self) {
        self.update_membership(Membership::leave);
    }

    /// Lets the instance be chosen as home, unless it is leaving by now.
    pub fn finish_warm_up(&self) {
        if self.is_draining() {
            return;
        }
        let now = self.now();
        self.update_membership(|membership| {
            let mut me = membership.me().clone();
            me.state = InstanceState::Live;
            me.incarnation += 1;
            let known: Vec<InstanceInfo> = membership.instances().skip(1).cloned().collect();
            *membership = Membership::new(me);
            membership.seed(known, now);
        });
    }

    /// Starts to leave: the instance is no longer chosen as home.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.drain_started.notify(usize::MAX);
        self.update_membership(Membership::leave);
    }

    /// Applies the answer to a request for the changes since `since` that was sent at `asked`.
    pub fn apply_changes(&self, changes: Changes, since: u64, asked: Instant) -> BatchOutcome {
        let (outcome, replaced) = {
            let mut config = lock(&self.config);
            let before = config.snapshot();
            let outcome = config.apply(changes, since, asked);
            if touches_databases(&outcome) {
                self.update_groups(&config.snapshot());
            }
            (outcome, !Arc::ptr_eq(&before, &config.snapshot()))
        };
        if replaced {
            self.config_changed.notify(usize::MAX);
        }
        self.proof_changed.notify(usize::MAX);
        outcome
    }

    /// Takes over the proof of another instance that has `revision`.
    pub fn hear_proof(&self, revision: u64, age: Duration, asked: Instant) {
        if lock(&self.config).merge_proof(revision, age, asked) {
            self.proof_changed.notify(usize::MAX);
        }
    }

    /// Records that an instance of `data_centre` answered a request sent at `asked` and had `revision`.
    pub fn data_centre_answered(&self, data_centre: &DataCentre, revision: u64, asked: Instant) {
        lock(&self.config).answered(data_centre, revision, asked);
    }

    fn update_groups(&self, config: &ConfigView) {
        let mut groups = HashMap::new();
        let old = self.groups();
        for record in config.databases() {
            let group = old.get(&record.name).map(Arc::clone);
            let group = group.unwrap_or_else(|| Arc::new(Group::new(record)));
            group.apply_record(record);
            groups.insert(record.name.clone(), group);
        }
        *lock(&self.groups) = Arc::new(groups);
    }

    /// Takes a heartbeat or the answer to one.
    pub fn receive_heartbeat(&self, beat: &Heartbeat) {
        let now = self.now();
        self.update_membership(|membership| membership.receive(beat, now));
        for term in &beat.terms {
            if let Some(group) = self.group(&term.database) {
                group.apply_term(term);
            }
        }
    }

    /// Takes over the platform's list of instances.
    pub fn seed_instances(&self, listed: Vec<InstanceInfo>) {
        let now = self.now();
        self.update_membership(|membership| membership.seed(listed, now));
    }

    /// Records that a connection to the instance `id` failed.
    pub fn instance_unreachable(&self, id: &InstanceId) {
        let now = self.now();
        self.update_membership(|membership| membership.unreachable(id, now));
    }

    /// Records that the instance `id` answered a request.
    pub fn instance_heard(&self, id: &InstanceId) {
        let now = self.now();
        self.update_membership(|membership| membership.heard(id, now));
    }

    /// Ages the known instances and returns those whose state changed.
    pub fn tick_membership(&self) -> Vec<StateChange> {
        let now = self.now();
        let mut changes = Vec::new();
        self.update_membership(|membership| changes = membership.tick(now));
        changes
    }

    /// The instances to send the next heartbeats to.
    pub fn heartbeat_targets(&self) -> Vec<InstanceInfo> {
        lock(&self.membership).targets()
    }

    /// The next heartbeat to the instance `to`, or the answer to one from it.
    pub fn heartbeat(&self, to: &InstanceId) -> Heartbeat {
        let mut beat = lock(&self.membership).heartbeat(to);
        beat.revision = self.config_revision();
        beat.proof_age = self.proof_age();
        beat.terms = self.terms_to_tell();
        beat
    }

    /// Terms that changed lately, and a few others in turn; all of them would be too much for one heartbeat.
    fn terms_to_tell(&self) -> Vec<TermInfo> {
        let now = self.now();
        let groups = self.groups();
        let is_news = |group: &&Arc<Group>| now.since(group.term_changed()) < TERM_NEWS;
        let (news, old): (Vec<_>, Vec<_>) = groups.values().partition(is_news);
        let turn = self.told_terms.fetch_add(1, Ordering::Relaxed);
        let news = in_turn(&news, turn, MAX_TERMS);
        let old = in_turn(&old, turn, OLD_TERMS);
        news.chain(old).map(|group| group.term_info()).collect()
    }

    /// Changes the known instances; the view is replaced when it differs.
    fn update_membership<F>(&self, change: F)
    where
        F: FnOnce(&mut Membership),
    {
        let mut membership = lock(&self.membership);
        change(&mut membership);
        let known = self.peers();
        if membership.instances().eq(known.iter()) {
            return;
        }
        let peers = Peers::new(membership.clone(), Arc::clone(&self.topology));
        *lock(&self.peers) = Arc::new(peers);
        drop(membership);
        self.peers_changed.notify(usize::MAX);
    }

    /// The lease on `member`, created when it is absent.
    pub fn lease_or_new(&self, member: &MemberId) -> Arc<Lease> {
        let mut leases = lock(&self.leases);
        if let Some(lease) = leases.get(member) {
            return Arc::clone(lease);
        }
        let lease = Arc::new(Lease::default());
        let mut copy = HashMap::clone(&leases);
        copy.insert(member.clone(), Arc::clone(&lease));
        *leases = Arc::new(copy);
        lease
    }
}

/// At most `count` of `items`, beginning where the turn before ended.
fn in_turn<T>(items: &[T], turn: usize, count: usize) -> impl Iterator<Item = &T> {
    let skip = turn.wrapping_mul(count).checked_rem(items.len()).unwrap_or(0);
    items.iter().cycle().skip(skip).take(count.min(items.len()))
}
