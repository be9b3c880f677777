//! Shared state of an instance, read by the request path and updated by the control tasks.
//!
//! Readers hold a lock only to clone the pointer to an immutable snapshot, so no lock is held while a request
//! waits. Updates replace the snapshot and wake the tasks that wait for a change.
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

use self::config::{ConfigState, affects_databases};
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

/// Time for which a changed term has priority in the heartbeats; ten heartbeats.
const RECENT_TERM_WINDOW: Duration = Duration::from_secs(5);

/// Largest number of recently changed terms in one heartbeat.
const MAX_CHANGED_TERMS: usize = 16;

/// Largest number of other terms in one heartbeat, from which an instance that missed a change learns the term later.
const MAX_UNCHANGED_TERMS: usize = 4;

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
    heartbeats_built: AtomicUsize,
}

/// Locks `mutex`; the data stays valid when another thread panicked, since updates replace whole snapshots.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Creates the state of an instance without a configuration and with tracing disabled.
    pub fn new(settings: Settings, metrics: Metrics) -> Arc<Self> {
        Self::with_tracer(settings, metrics, Tracer::disabled())
    }

    /// Creates the state of an instance without a configuration that sends its traces through `tracer`.
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
            heartbeats_built: AtomicUsize::new(0),
        })
    }

    /// Settings with which the instance was started.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Name of the instance, unique among all instances.
    pub const fn id(&self) -> &InstanceId {
        &self.settings.instance.id
    }

    /// Data centre in which the instance runs, from its settings.
    pub const fn data_centre(&self) -> &DataCentre {
        &self.settings.instance.data_centre
    }

    /// Start time of the instance in milliseconds since the Unix epoch, so that it is higher after each restart.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Clock for all times in this state.
    pub const fn clock(&self) -> BootClock {
        self.clock
    }

    /// The present time of [`clock`](Self::clock).
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Counters and timers of the instance; they do nothing when no statsd address is set.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Creates the trace spans of requests; disabled when no OTLP address is set.
    pub const fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// Snapshot of the configuration objects; empty until the first list arrives.
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

    /// Whether the configuration is provably recent, usable because the store is unavailable to all instances, or
    /// unconfirmed.
    pub fn config_validity(&self) -> ConfigValidity {
        lock(&self.config).validity(self.now())
    }

    /// Whether requests that need a valid key may be served with the present configuration.
    pub fn config_usable(&self) -> bool {
        self.config_validity().allows_keyed_requests()
    }

    /// Revision of the store up to which every change was applied.
    pub fn config_revision(&self) -> u64 {
        lock(&self.config).revision()
    }

    /// Highest version among the configuration objects that were applied.
    pub fn config_version(&self) -> u64 {
        lock(&self.config).version()
    }

    /// Age of the proof that the configuration was the newest one; `None` without a proof.
    pub fn proof_age(&self) -> Option<Duration> {
        lock(&self.config).proof_age(self.now())
    }

    /// Data centres of the topology, without this instance's own, that gave no recent answer; shown to the operator.
    pub fn unresponsive_data_centres(&self) -> Vec<DataCentre> {
        lock(&self.config).unresponsive_data_centres(self.now())
    }

    /// Configuration changes after the revision `since`, to be sent to another instance.
    pub fn changes_since(&self, since: u64) -> Changes {
        lock(&self.config).changes_since(since, self.now())
    }

    /// The group of `database`; `None` when the configuration does not contain the database.
    pub fn group(&self, database: &Database) -> Option<Arc<Group>> {
        lock(&self.groups).get(database).map(Arc::clone)
    }

    /// All groups by the name of their database.
    pub fn groups(&self) -> Arc<HashMap<Database, Arc<Group>>> {
        Arc::clone(&lock(&self.groups))
    }

    /// The lease on `member`; `None` until [`lease_or_new`](Self::lease_or_new) created it.
    pub fn lease(&self, member: &MemberId) -> Option<Arc<Lease>> {
        lock(&self.leases).get(member).map(Arc::clone)
    }

    /// Snapshot of the known instances, including this one.
    pub fn peers(&self) -> Arc<Peers> {
        Arc::clone(&lock(&self.peers))
    }

    /// Completes at the next change of the known instances.
    pub fn peers_changed(&self) -> EventListener {
        self.peers_changed.listen()
    }

    /// The instance that should serve as home of `member` of `database`; `None` when the member is not configured or
    /// no instance is live.
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

    /// `application_name` on connections to members: `<data centre>/<instance>`.
    pub fn application(&self) -> String {
        format!("{}/{}", self.data_centre(), self.id())
    }

    /// Whether the instance is leaving: it takes no new sessions and asks clients to reconnect.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Completes at the next call of [`start_drain`](Self::start_drain).
    pub fn drain_started(&self) -> EventListener {
        self.drain_started.listen()
    }

    /// Marks this instance as leaving, so that it is not chosen as home until the warm-up is finished.
    pub fn start_warm_up(&self) {
        self.update_membership(Membership::leave);
    }

    /// Ends the warm-up: the instance can be chosen as home, unless it is draining.
    pub fn finish_warm_up(&self) {
        if self.is_draining() {
            return;
        }
        let now = self.now();
        self.update_membership(|membership| {
            let mut own_info = membership.own_info().clone();
            own_info.state = InstanceState::Live;
            own_info.incarnation += 1;
            let others: Vec<InstanceInfo> = membership.instances().skip(1).cloned().collect();
            *membership = Membership::new(own_info);
            membership.seed(others, now);
        });
    }

    /// Starts to drain: the instance announces that it is leaving and is no longer chosen as home.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.drain_started.notify(usize::MAX);
        self.update_membership(Membership::leave);
    }

    /// Applies the answer to a request, sent at `sent`, for the configuration changes after the revision `since`.
    pub fn apply_changes(&self, changes: Changes, since: u64, sent: Instant) -> BatchOutcome {
        let (outcome, replaced) = {
            let mut config = lock(&self.config);
            let before = config.snapshot();
            let outcome = config.apply(changes, since, sent);
            if affects_databases(&outcome) {
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

    /// Adopts another instance's proof that `revision` was the newest one at most `age` before `sent`, the time at
    /// which the request for it was sent; a proof of another revision than this instance's own is ignored.
    pub fn merge_proof(&self, revision: u64, age: Duration, sent: Instant) {
        if lock(&self.config).merge_proof(revision, age, sent) {
            self.proof_changed.notify(usize::MAX);
        }
    }

    /// Records that an instance of `data_centre` answered a request sent at `sent` and had `revision`.
    pub fn data_centre_answered(&self, data_centre: &DataCentre, revision: u64, sent: Instant) {
        lock(&self.config).record_answer(data_centre, revision, sent);
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

    /// Applies the membership and the terms of a heartbeat, or of the answer to one.
    pub fn receive_heartbeat(&self, beat: &Heartbeat) {
        let now = self.now();
        self.update_membership(|membership| membership.receive(beat, now));
        for term in &beat.terms {
            if let Some(group) = self.group(&term.database) {
                group.apply_term(term);
            }
        }
    }

    /// Adds unknown instances from the platform's list and marks those that it shows as leaving.
    pub fn seed_instances(&self, listed: Vec<InstanceInfo>) {
        let now = self.now();
        self.update_membership(|membership| membership.seed(listed, now));
    }

    /// Records that a connection to the instance `id` failed, which makes the instance suspected.
    pub fn instance_unreachable(&self, id: &InstanceId) {
        let now = self.now();
        self.update_membership(|membership| membership.unreachable(id, now));
    }

    /// Records that the instance `id` answered a request other than a heartbeat.
    pub fn instance_answered(&self, id: &InstanceId) {
        let now = self.now();
        self.update_membership(|membership| membership.record_answer(id, now));
    }

    /// Suspects instances that have not answered in time, and returns all changes of state since the last call.
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
        beat.terms = self.terms_to_send();
        beat
    }

    /// Terms for the next heartbeat: recently changed ones, and a few others.
    ///
    /// Both are limited, since a heartbeat with all terms would be too large; successive heartbeats rotate them.
    fn terms_to_send(&self) -> Vec<TermInfo> {
        let now = self.now();
        let groups = self.groups();
        let changed_recently =
            |group: &&Arc<Group>| now.since(group.term_changed_at()) < RECENT_TERM_WINDOW;
        let (changed, unchanged): (Vec<_>, Vec<_>) = groups.values().partition(changed_recently);
        let round = self.heartbeats_built.fetch_add(1, Ordering::Relaxed);
        let changed = round_robin(&changed, round, MAX_CHANGED_TERMS);
        let unchanged = round_robin(&unchanged, round, MAX_UNCHANGED_TERMS);
        changed.chain(unchanged).map(|group| group.term_info()).collect()
    }

    /// Applies `change` to the membership; replaces the snapshot and wakes waiting tasks when an instance changed.
    fn update_membership<F>(&self, change: F)
    where
        F: FnOnce(&mut Membership),
    {
        let mut membership = lock(&self.membership);
        change(&mut membership);
        let current = self.peers();
        if membership.instances().eq(current.iter()) {
            return;
        }
        let peers = Peers::new(membership.clone(), Arc::clone(&self.topology));
        *lock(&self.peers) = Arc::new(peers);
        drop(membership);
        self.peers_changed.notify(usize::MAX);
    }

    /// The lease on `member`, created when there is none.
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

/// At most `count` of `items`; each round continues after the items of the previous round.
fn round_robin<T>(items: &[T], round: usize, count: usize) -> impl Iterator<Item = &T> {
    let skip = round.wrapping_mul(count).checked_rem(items.len()).unwrap_or(0);
    items.iter().cycle().skip(skip).take(count.min(items.len()))
}
