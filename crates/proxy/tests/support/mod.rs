//! Instances of the proxy in one process in front of emulated members, without the control tasks.
//!
//! Threads of the test poll the members for each instance and exchange heartbeats between the instances.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a test fails when its set-up does")]

use std::{
    net::{SocketAddr, TcpListener as StdListener},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant as WallInstant},
};

use hibiscusladder_core::{
    clock::Instant,
    config::{Change, Changes, Kind},
    contract::{Contract, Route},
    database::{DatabaseRecord, MemberRecord},
    home_lease::LeaseEvent,
    key::{Key, KeyRecord},
    membership::Heartbeat,
    name::{Database, MemberId, Workspace},
    position::Term,
    quorum::{MemberReport, MemberRole},
};
use hibiscusladder_emulator::database::{Group, GroupConfig, GroupHandle};
use hibiscusladder_proxy::{
    caller::{self, Entry, Tls},
    home::Homes,
    metrics::Metrics,
    node::Node,
    route::Router,
    rpc::{self, ControlService, Rpc, Services},
    settings::Settings,
    upstream::Connection,
};
use hibiscusladder_testkit::fault_proxy::FaultProxy;
use postgres::{Client, Config, NoTls};
use smol::net::TcpListener;

/// Name of the database that clients connect to.
pub(crate) const DATABASE: &str = "padron";
/// Workspace of the key and of the contract.
pub(crate) const WORKSPACE: &str = "club-andino";
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the answer to a poll; the next poll opens a new connection.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Parameters of a [`Cluster`].
pub(crate) struct Options {
    /// Number of instances.
    pub(crate) instances: usize,
    /// Ids of the members; the first one is the primary of term 1.
    pub(crate) members: Vec<&'static str>,
    /// Lines of the section `[times]` of the settings.
    pub(crate) times: &'static str,
    /// Lines of the section `[limits]` of the settings.
    pub(crate) limits: &'static str,
    /// Rate of the contract in requests per second; the burst is the same number of requests.
    pub(crate) rate: f64,
    /// Routes of the contract.
    pub(crate) routes: Vec<Route>,
    /// Time that each statement occupies its slot on a member, in microseconds.
    pub(crate) statement_us: u64,
    /// Replication lag in milliseconds.
    pub(crate) lag_ms: u64,
    /// Connects the homes to the members through fault proxies.
    pub(crate) fault_proxies: bool,
    /// Certificate and key for client connections.
    pub(crate) tls: Option<Tls>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instances: 2,
            members: vec!["p1", "p2", "p3"],
            times: "",
            limits: "",
            rate: 100_000.0,
            routes: Vec::new(),
            statement_us: 0,
            lag_ms: 5,
            fault_proxies: false,
            tls: None,
        }
    }
}

/// An instance of the proxy with the addresses of its listeners.
pub(crate) struct Instance {
    pub(crate) node: Arc<Node>,
    pub(crate) homes: Arc<Homes>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) address: SocketAddr,
    pub(crate) rpc: SocketAddr,
}

/// Instances and a group of members; the threads of the test end when it is dropped.
pub(crate) struct Cluster {
    pub(crate) group: GroupHandle,
    pub(crate) instances: Vec<Instance>,
    pub(crate) key: Key,
    /// Proxies, one for each member in the order of the members; empty without [`Options::fault_proxies`].
    pub(crate) fault_proxies: Vec<FaultProxy>,
    version: u64,
    contract: Contract,
    paused: Arc<AtomicBool>,
    proofs_withheld: Arc<AtomicBool>,
    /// Index of the isolated instance; `usize::MAX` without one.
    isolated: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

struct TestControl {
    node: Arc<Node>,
}

impl ControlService for TestControl {
    fn heartbeat(&self, beat: &Heartbeat) -> Heartbeat {
        self.node.receive_heartbeat(beat);
        self.node.heartbeat(&beat.sender.id)
    }

    async fn changes(&self, since: u64, _: Duration) -> Changes {
        self.node.changes_since(since)
    }

    fn handed_over(&self, _: &MemberId) {}

    fn status(&self) -> String {
        "{}".to_owned()
    }
}

impl Cluster {
    /// Starts a cluster with the default options.
    pub(crate) fn start() -> Self {
        Self::start_with(Options::default())
    }

    /// Starts members and instances and waits until requests can be served.
    pub(crate) fn start_with(options: Options) -> Self {
        let mut cfg = GroupConfig::single(DATABASE, &options.members);
        cfg.statement_us = options.statement_us;
        cfg.lag_ms = options.lag_ms;
        let group = Group::start(cfg).unwrap();
        let key = Key::from_random(&[7; Key::RANDOM_BYTES]);
        let contract = Contract {
            workspace: Workspace::new(WORKSPACE),
            databases: vec![Database::new(DATABASE)],
            rate: options.rate,
            burst: options.rate,
            weight: 1,
            keys: vec![key.id().clone()],
            routes: options.routes.clone(),
        };
        let start_proxy = |(_, address)| FaultProxy::start(address).unwrap();
        let fault_proxies: Vec<_> = match options.fault_proxies {
            true => group.addresses().into_iter().map(start_proxy).collect(),
            false => Vec::new(),
        };
        // An instance treats a contract as new only when it had a configuration before, so the instances get the
        // record of the database first.
        let record = serde_json::to_string(&database_record(&group, &fault_proxies)).unwrap();
        let database = Change::put(Kind::Database, DATABASE, 1, &record);
        let instances = (0..options.instances).map(|n| start_instance(n, &options, &database));
        let instances = instances.collect();
        let mut cluster = Self {
            group,
            instances,
            key,
            fault_proxies,
            version: 1,
            contract,
            paused: Arc::default(),
            proofs_withheld: Arc::default(),
            isolated: Arc::new(AtomicUsize::new(usize::MAX)),
            stop: Arc::default(),
        };
        cluster.apply_key_and_contract();
        cluster.start_polls();
        cluster.wait_ready();
        cluster
    }

    fn apply_key_and_contract(&mut self) {
        let record = KeyRecord::new(&self.key, Workspace::new(WORKSPACE));
        let id = self.key.id().as_str().to_owned();
        let contract = serde_json::to_string(&self.contract).unwrap();
        self.put_object(Kind::Key, &id, &serde_json::to_string(&record).unwrap());
        self.put_object(Kind::Contract, WORKSPACE, &contract);
    }

    /// Applies a new version of a configuration object on all instances.
    pub(crate) fn put_object(&mut self, kind: Kind, name: &str, value: &str) {
        self.version += 1;
        self.apply(Change::put(kind, name, self.version, value));
    }

    /// Deletes the key on all instances.
    pub(crate) fn withdraw_key(&mut self) {
        self.version += 1;
        let id = self.key.id().clone();
        self.apply(Change::delete(Kind::Key, id.as_str(), self.version));
    }

    fn apply(&self, change: Change) {
        for instance in &self.instances {
            let changes = changes(self.version, &change);
            instance.node.apply_changes(changes, self.version - 1, instance.node.now());
        }
    }

    /// Starts the threads that poll each member for each instance, keep the leases of the homes valid, and exchange
    /// heartbeats and proofs of the configuration.
    fn start_polls(&self) {
        for (number, instance) in self.instances.iter().enumerate() {
            for (member, address) in self.group.addresses() {
                let node = Arc::clone(&instance.node);
                let (stop, paused) = (Arc::clone(&self.stop), Arc::clone(&self.paused));
                let isolated = Arc::clone(&self.isolated);
                let paused = move || {
                    paused.load(Ordering::Acquire) || isolated.load(Ordering::Acquire) == number
                };
                thread::spawn(move || {
                    smol::block_on(poll(&node, &member, address, &stop, &paused));
                });
            }
        }
        let nodes: Vec<_> = self.instances.iter().map(|i| Arc::clone(&i.node)).collect();
        let (stop, proofs_withheld) = (Arc::clone(&self.stop), Arc::clone(&self.proofs_withheld));
        let isolated = Arc::clone(&self.isolated);
        thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                let index = isolated.load(Ordering::Acquire);
                let isolated_id = nodes.get(index).map(|node| node.id().clone());
                for from in &nodes {
                    for to in nodes.iter().filter(|to| to.id() != from.id()) {
                        let mut beat = from.heartbeat(to.id());
                        if isolated_id.as_ref() == Some(to.id()) {
                            beat.terms.clear();
                        }
                        to.receive_heartbeat(&beat);
                    }
                    from.tick_membership();
                    if !proofs_withheld.load(Ordering::Acquire) {
                        from.merge_proof(from.config_revision(), Duration::ZERO, from.now());
                    }
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
    }

    /// Stops the proofs that the configuration of the instances is the latest.
    pub(crate) fn withhold_proofs(&self) {
        self.proofs_withheld.store(true, Ordering::Release);
    }

    /// Stops the polls, so that leases expire and gates close, or resumes them.
    pub(crate) fn pause_polls(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
    }

    /// Stops the polls of the instance `number` and the term info in heartbeats to it; its calls to other instances
    /// still work.
    pub(crate) fn isolate(&self, number: usize) {
        self.isolated.store(number, Ordering::Release);
    }

    fn wait_ready(&self) {
        let start = WallInstant::now();
        let ready = || {
            self.instances.iter().all(|instance| {
                let group = instance.node.group(&Database::new(DATABASE)).unwrap();
                let view = group.view();
                let members = &view.members;
                view.gate_open(Term(1), instance.node.now())
                    && instance.node.peers().iter().count() == self.instances.len()
                    && members.iter().all(|member| {
                        !instance.node.is_home(&view.database, &member.id)
                            || instance
                                .node
                                .lease(&member.id)
                                .is_some_and(|lease| lease.usable(instance.node.now()))
                    })
            })
        };
        while !ready() {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "the instances are not ready after 10 s"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Settings for a connection to the instance `number`.
    pub(crate) fn config(&self, number: usize) -> Config {
        let address = self.instances[number].address;
        let mut config = Config::new();
        config
            .host(&address.ip().to_string())
            .port(address.port())
            .user(WORKSPACE)
            .dbname(DATABASE)
            .password(self.key.expose())
            .connect_timeout(Duration::from_secs(5));
        config
    }

    /// Connects to the instance `number`.
    pub(crate) fn client(&self, number: usize) -> Client {
        self.config(number).connect(NoTls).unwrap()
    }

    /// Raises the term on all members but `old`, waits until the reports of the previous term have expired, as the
    /// protocol requires, and promotes the member with the highest position.
    pub(crate) fn promote(&self, old: &str, term: u64) {
        let others: Vec<_> =
            self.group.addresses().into_iter().filter(|(id, _)| id.as_str() != old).collect();
        let run = |address: &SocketAddr, sql: &str| {
            let mut config = Config::new();
            config.host("127.0.0.1").port(address.port()).user("proxy").password("proxy");
            config.dbname(DATABASE).connect(NoTls).unwrap().simple_query(sql).unwrap();
        };
        for (_, address) in &others {
            run(address, &format!("SELECT group_raise_term({term}, 'test')"));
        }
        thread::sleep(Duration::from_millis(1100));
        let position = |id: &MemberId| self.group.report(id.as_str()).unwrap().position;
        let (new, primary) = others.iter().rev().max_by_key(|(id, _)| position(id)).unwrap();
        let names: Vec<_> = others.iter().map(|(id, _)| id.as_str()).collect();
        run(primary, &format!("SELECT group_promote({term}, '{}')", names.join(",")));
        for (_, address) in others.iter().filter(|(id, _)| id != new) {
            run(address, &format!("SELECT group_follow('{primary}', {term})"));
        }
    }

    /// Raises the term on the member `id` alone and promotes it without the wait that the protocol requires.
    pub(crate) fn promote_without_wait(&self, id: &str, term: u64) {
        let (_, address) = self.group.addresses().into_iter().find(|m| m.0.as_str() == id).unwrap();
        let mut config = Config::new();
        config.host("127.0.0.1").port(address.port()).user("proxy").password("proxy");
        let mut client = config.dbname(DATABASE).connect(NoTls).unwrap();
        client.simple_query(&format!("SELECT group_raise_term({term}, 'test')")).unwrap();
        client.simple_query(&format!("SELECT group_promote({term}, '{id}')")).unwrap();
    }

    /// Number of the statements that members received and whose text contains `text`.
    pub(crate) fn received_count(&self, text: &str) -> usize {
        let reports = self.group.reports();
        let recent = reports.iter().flat_map(|report| &report.recent);
        recent.filter(|statement| statement.contains(text)).count()
    }

    /// Index of the instance that is home of the member `id`.
    pub(crate) fn home_of(&self, id: &str) -> usize {
        let (database, member) = (Database::new(DATABASE), MemberId::new(id));
        let home = self.instances[0].node.home_of(&database, &member).unwrap();
        self.instances.iter().position(|instance| *instance.node.id() == home.id).unwrap()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn database_record(group: &GroupHandle, fault_proxies: &[FaultProxy]) -> DatabaseRecord {
    let members = (0..).zip(group.addresses()).map(|(index, (id, address))| MemberRecord {
        id,
        data_centre: "stgo-a".into(),
        address: fault_proxies.get(index).map_or(address, FaultProxy::address).to_string(),
        slots: 2,
        connections: 16,
    });
    let members: Vec<_> = members.collect();
    DatabaseRecord {
        name: Database::new(DATABASE),
        primary: Some(members[0].id.clone()),
        term: Term(1),
        claimant: None,
        term_start: None,
        term_members: members.iter().map(|member| member.id.clone()).collect(),
        members,
    }
}

fn changes(revision: u64, change: &Change) -> Changes {
    let proof_age = Some(Duration::ZERO);
    Changes { revision, proof_age, complete: false, items: vec![change.clone()] }
}

fn start_instance(number: usize, options: &Options, database: &Change) -> Instance {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    let rpc_listener = StdListener::bind("127.0.0.1:0").unwrap();
    let (address, rpc_address) =
        (listener.local_addr().unwrap(), rpc_listener.local_addr().unwrap());
    let text = format!(
        "[instance]\nid = \"i{number}\"\ndata_centre = \"stgo-a\"\nlisten = \"{address}\"\n\
         rpc = \"{rpc_address}\"\nhealth = \"127.0.0.1:1\"\n\
         [platform]\nurl = \"http://127.0.0.1:1\"\n\
         [[topology]]\ndata_centre = \"stgo-a\"\nregion = \"stgo\"\n\
         [upstream]\nuser = \"proxy\"\npassword = \"proxy\"\n\
         [times]\n{}\n[limits]\n{}\n",
        options.times, options.limits
    );
    let settings = Settings::parse("test.toml", &text).unwrap_or_else(|error| panic!("{error:?}"));
    let node = Node::new(settings, Metrics::disabled());
    node.apply_changes(changes(1, database), 0, node.now());
    let homes = Homes::new(Arc::clone(&node));
    let rpc = Rpc::start().unwrap();
    let router = Router::new(Arc::clone(&node), Arc::clone(&homes), rpc);
    let entry = Entry::new(router, options.tls.clone());
    let services = Services {
        homes: Arc::clone(&homes),
        control: Arc::new(TestControl { node: Arc::clone(&node) }),
        sessions: Arc::clone(&entry),
    };
    let client_entry = Arc::clone(&entry);
    thread::spawn(move || {
        let listener = TcpListener::try_from(listener).unwrap();
        smol::block_on(caller::serve(listener, client_entry))
    });
    thread::spawn(move || {
        let listener = TcpListener::try_from(rpc_listener).unwrap();
        smol::block_on(rpc::serve(listener, services))
    });
    Instance { node, homes, entry, address, rpc: rpc_address }
}

/// Polls a member for one instance until `stop` is set, and takes the lease when the instance is home of the member.
async fn poll<F>(
    node: &Arc<Node>,
    member: &MemberId,
    address: SocketAddr,
    stop: &AtomicBool,
    paused: &F,
) where
    F: Fn() -> bool,
{
    let database = Database::new(DATABASE);
    let mut connection = None;
    while !stop.load(Ordering::Acquire) {
        let lease = node.lease_or_new(member);
        if !paused() && node.is_home(&database, member) && !lease.holds_lock() {
            if let Some(announced) = lease.take_handover() {
                lease.handle(LeaseEvent::HandedOver, announced);
            }
            lease.handle(LeaseEvent::Connected, node.now());
            lease.handle(LeaseEvent::LockTaken { sent: node.now() }, node.now());
        }
        if !paused() {
            let sent = node.now();
            let answer = poll_once(&mut connection, node, address, sent);
            let timeout = async {
                smol::Timer::after(POLL_TIMEOUT).await;
                None
            };
            match smol::future::or(answer, timeout).await {
                Some(report) => {
                    if let Some(group) = node.group(&database) {
                        group.apply_report(report);
                    }
                    lease.handle(LeaseEvent::PollAnswered { sent }, node.now());
                }
                None => connection = None,
            }
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

async fn poll_once(
    connection: &mut Option<Connection>,
    node: &Node,
    address: SocketAddr,
    sent: Instant,
) -> Option<MemberReport> {
    if connection.is_none() {
        let credentials = &node.settings().upstream;
        *connection =
            Connection::open(&address.to_string(), DATABASE, credentials, "test").await.ok();
    }
    let result = connection.as_mut()?.query("SELECT * FROM group_status()").await.ok()?;
    let value = |column| result.value(column);
    let term = |text: Option<&str>| text.and_then(|text| text.parse().ok()).map(Term);
    Some(MemberReport {
        member: MemberId::new(value(0)?),
        role: match value(1)? {
            "primary" => MemberRole::Primary,
            "replica" => MemberRole::Replica,
            _ => MemberRole::Fenced,
        },
        term: term(value(2))?,
        claimant: None,
        promoted_term: term(value(4)).unwrap_or_default(),
        position: value(5)?.parse().ok()?,
        term_start: value(6).and_then(|text| text.parse().ok()).unwrap_or_default(),
        term_members: value(7)?.split(',').filter(|id| !id.is_empty()).map(MemberId::new).collect(),
        source_silent: None,
        sent,
        received: node.now(),
    })
}
