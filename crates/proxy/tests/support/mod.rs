//! Instances in one process in front of emulated members, without the control tasks.
//!
//! A thread polls the members on behalf of all instances and passes heartbeats between them.

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

/// Database of the tests.
pub(crate) const DATABASE: &str = "padron";
/// Workspace of the tests.
pub(crate) const WORKSPACE: &str = "club-andino";
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a poll is given up.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// What a test may set.
pub(crate) struct Options {
    pub(crate) instances: usize,
    pub(crate) members: Vec<&'static str>,
    pub(crate) times: &'static str,
    pub(crate) limits: &'static str,
    pub(crate) rate: f64,
    pub(crate) routes: Vec<Route>,
    pub(crate) statement_us: u64,
    pub(crate) lag_ms: u64,
    /// Puts a relay in front of each member for the connections of the homes.
    pub(crate) relays: bool,
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
            relays: false,
            tls: None,
        }
    }
}

/// One instance of the proxy.
pub(crate) struct Instance {
    pub(crate) node: Arc<Node>,
    pub(crate) homes: Arc<Homes>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) address: SocketAddr,
    pub(crate) rpc: SocketAddr,
}

/// Instances and members.
pub(crate) struct Cluster {
    pub(crate) group: GroupHandle,
    pub(crate) instances: Vec<Instance>,
    pub(crate) key: Key,
    pub(crate) relays: Vec<FaultProxy>,
    version: u64,
    contract: Contract,
    paused: Arc<AtomicBool>,
    doubt: Arc<AtomicBool>,
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
    /// Starts with the defaults.
    pub(crate) fn start() -> Self {
        Self::with(Options::default())
    }

    /// Starts members and instances and waits until requests can be served.
    pub(crate) fn with(options: Options) -> Self {
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
        // A contract counts as new only for instances that saw a configuration before, so this one comes first.
        let relay = |(_, address)| FaultProxy::start(address).unwrap();
        let relays: Vec<_> = match options.relays {
            true => group.addresses().into_iter().map(relay).collect(),
            false => Vec::new(),
        };
        let record = serde_json::to_string(&database_record(&group, &relays)).unwrap();
        let first = Change::put(Kind::Database, DATABASE, 1, &record);
        let instances = (0..options.instances).map(|n| start_instance(n, &options, &first));
        let instances = instances.collect();
        let mut cluster = Self {
            group,
            instances,
            key,
            relays,
            version: 1,
            contract,
            paused: Arc::default(),
            doubt: Arc::default(),
            isolated: Arc::new(AtomicUsize::new(usize::MAX)),
            stop: Arc::default(),
        };
        cluster.configure();
        cluster.start_polls();
        cluster.wait_ready();
        cluster
    }

    fn configure(&mut self) {
        let record = KeyRecord::new(&self.key, Workspace::new(WORKSPACE));
        let id = self.key.id().as_str().to_owned();
        let contract = serde_json::to_string(&self.contract).unwrap();
        self.change(Kind::Key, &id, &serde_json::to_string(&record).unwrap());
        self.change(Kind::Contract, WORKSPACE, &contract);
    }

    /// Writes an object of the configuration.
    pub(crate) fn change(&mut self, kind: Kind, name: &str, value: &str) {
        self.version += 1;
        self.apply(Change::put(kind, name, self.version, value));
    }

    /// Withdraws the key of the tests.
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

    /// Polls every member for every instance and holds the leases of the homes.
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
        let (stop, doubt) = (Arc::clone(&self.stop), Arc::clone(&self.doubt));
        let isolated = Arc::clone(&self.isolated);
        thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                let cut_off = isolated.load(Ordering::Acquire);
                let cut_off = nodes.get(cut_off).map(|node| node.id().clone());
                for from in &nodes {
                    for to in nodes.iter().filter(|to| to.id() != from.id()) {
                        let mut beat = from.heartbeat(to.id());
                        if cut_off.as_ref() == Some(to.id()) {
                            beat.terms.clear();
                        }
                        to.receive_heartbeat(&beat);
                    }
                    from.tick_membership();
                    if !doubt.load(Ordering::Acquire) {
                        from.merge_proof(from.config_revision(), Duration::ZERO, from.now());
                    }
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
    }

    /// Withholds proofs that the configuration is the newest.
    pub(crate) fn withhold_proofs(&self) {
        self.doubt.store(true, Ordering::Release);
    }

    /// Stops the polls, so that leases and gates expire.
    pub(crate) fn pause_polls(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
    }

    /// Keeps polls and news of terms from the instance `number`; its calls to other instances go on.
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
            assert!(start.elapsed() < Duration::from_secs(10), "the instances did not get ready");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Settings of a client of the instance `number`.
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

    /// A client of the instance `number`.
    pub(crate) fn client(&self, number: usize) -> Client {
        self.config(number).connect(NoTls).unwrap()
    }

    /// Raises the term on all members but `old`, waits as the protocol demands, and promotes the most advanced.
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

    /// Raises and promotes the member `id` alone, without the wait that the protocol demands.
    pub(crate) fn promote_at_once(&self, id: &str, term: u64) {
        let (_, address) = self.group.addresses().into_iter().find(|m| m.0.as_str() == id).unwrap();
        let mut config = Config::new();
        config.host("127.0.0.1").port(address.port()).user("proxy").password("proxy");
        let mut client = config.dbname(DATABASE).connect(NoTls).unwrap();
        client.simple_query(&format!("SELECT group_raise_term({term}, 'test')")).unwrap();
        client.simple_query(&format!("SELECT group_promote({term}, '{id}')")).unwrap();
    }

    /// Number of statements with `text` that the members received.
    pub(crate) fn received(&self, text: &str) -> usize {
        let reports = self.group.reports();
        let recent = reports.iter().flat_map(|report| &report.recent);
        recent.filter(|statement| statement.contains(text)).count()
    }

    /// The instance that is home of the member `id`.
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

fn database_record(group: &GroupHandle, relays: &[FaultProxy]) -> DatabaseRecord {
    let members = (0..).zip(group.addresses()).map(|(index, (id, address))| MemberRecord {
        id,
        data_centre: "stgo-a".into(),
        address: relays.get(index).map_or(address, FaultProxy::address).to_string(),
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

fn start_instance(number: usize, options: &Options, first: &Change) -> Instance {
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
    node.apply_changes(changes(1, first), 0, node.now());
    let homes = Homes::new(Arc::clone(&node));
    let rpc = Rpc::start().unwrap();
    let router = Router::new(Arc::clone(&node), Arc::clone(&homes), rpc);
    let entry = Entry::new(router, options.tls.clone());
    let services = Services {
        homes: Arc::clone(&homes),
        control: Arc::new(TestControl { node: Arc::clone(&node) }),
        sessions: Arc::clone(&entry),
    };
    let serving = Arc::clone(&entry);
    thread::spawn(move || {
        let listener = TcpListener::try_from(listener).unwrap();
        smol::block_on(caller::serve(listener, serving))
    });
    thread::spawn(move || {
        let listener = TcpListener::try_from(rpc_listener).unwrap();
        smol::block_on(rpc::serve(listener, services))
    });
    Instance { node, homes, entry, address, rpc: rpc_address }
}

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
            let asked = poll_once(&mut connection, node, address, sent);
            let timeout = async {
                smol::Timer::after(POLL_TIMEOUT).await;
                None
            };
            match smol::future::or(asked, timeout).await {
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
