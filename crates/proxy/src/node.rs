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
        atomic::{AtomicBool, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{DataCentre, Database, InstanceId, MemberId},
};

pub use self::{
    config::{ConfigObject, ConfigSnapshot},
    group::{Group, GroupView, TermInfo},
    lease::Lease,
    peers::{Peer, PeerState, Peers},
};
use crate::{clock::BootClock, metrics::Metrics, settings::Settings, trace::Tracer};

/// Shared state of one instance.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    incarnation: u64,
    clock: BootClock,
    metrics: Metrics,
    tracer: Tracer,
    config: Mutex<Arc<ConfigSnapshot>>,
    config_changed: Event,
    usable: AtomicBool,
    groups: Mutex<Arc<HashMap<Database, Arc<Group>>>>,
    leases: Mutex<Arc<HashMap<MemberId, Arc<Lease>>>>,
    peers: Mutex<Arc<Peers>>,
    peers_changed: Event,
    draining: AtomicBool,
    drain_started: Event,
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
        let own = Peer {
            id: settings.instance.id.clone(),
            data_centre: settings.instance.data_centre.clone(),
            rpc: settings.instance.rpc.to_string(),
            state: PeerState::Live,
            incarnation,
        };
        let peers = Peers::new(own, &settings.topology);
        Arc::new(Self {
            settings,
            incarnation,
            clock: BootClock,
            metrics,
            tracer,
            config: Mutex::default(),
            config_changed: Event::new(),
            usable: AtomicBool::new(false),
            groups: Mutex::default(),
            leases: Mutex::default(),
            peers: Mutex::new(Arc::new(peers)),
            peers_changed: Event::new(),
            draining: AtomicBool::new(false),
            drain_started: Event::new(),
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
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&lock(&self.config))
    }

    /// Completes at the next change of the configuration or of its usability.
    pub fn config_changed(&self) -> EventListener {
        self.config_changed.listen()
    }

    /// Whether requests with a key may be served on the configuration (freshness or evidence of an outage).
    pub fn config_usable(&self) -> bool {
        self.usable.load(Ordering::Acquire)
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
    pub fn home_of(&self, database: &Database, member: &MemberId) -> Option<Peer> {
        let group = self.group(database)?;
        let view = group.view();
        let record = view.member(member)?;
        self.peers().home(database, member, &record.data_centre).cloned()
    }

    /// Whether this instance should serve as home of `member` of `database`.
    pub fn is_home(&self, database: &Database, member: &MemberId) -> bool {
        self.home_of(database, member)
            .is_some_and(|peer| peer.id == *self.id() && peer.incarnation == self.incarnation)
    }

    /// Whether the instance is leaving: it takes no new sessions and asks clients to reconnect.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Completes when the instance starts to leave.
    pub fn drain_started(&self) -> EventListener {
        self.drain_started.listen()
    }

    /// Starts to leave.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.drain_started.notify(usize::MAX);
    }

    /// Replaces the configuration; groups follow the databases in it.
    pub fn set_config(&self, config: ConfigSnapshot) {
        let config = Arc::new(config);
        let mut groups = HashMap::new();
        let old = self.groups();
        for record in config.databases() {
            let group = old.get(&record.name).map(Arc::clone);
            let group = group.unwrap_or_else(|| Arc::new(Group::new(record)));
            group.apply_record(record);
            groups.insert(record.name.clone(), group);
        }
        *lock(&self.groups) = Arc::new(groups);
        *lock(&self.config) = config;
        self.config_changed.notify(usize::MAX);
    }

    /// Sets whether requests with a key may be served.
    pub fn set_config_usable(&self, usable: bool) {
        let before = self.usable.swap(usable, Ordering::AcqRel);
        if before != usable {
            self.config_changed.notify(usize::MAX);
        }
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

    /// Replaces the known instances.
    pub fn set_peers(&self, peers: Peers) {
        *lock(&self.peers) = Arc::new(peers);
        self.peers_changed.notify(usize::MAX);
    }
}
