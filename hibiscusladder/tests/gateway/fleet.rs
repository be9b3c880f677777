//! Starts gateway processes against the stand-in for the platform, and runs statements at them.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    Caller, MEMBERS, NodeAddresses, Reply, Scale, Standin, WORKSPACES, node_file,
};
use hibiscusladder_testkit::{
    fault_proxy::{FaultProxy, Faults},
    ports::free_port,
    process::{Binary, Process},
};

/// Longest wait until an instance serves a write.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest fleet whose instances have links of their own to the members. In a fleet with hubs, instances get the addresses
/// of the members from each other.
const MAX_OWN_LINKS: usize = 12;
/// Delay of each byte between two regions, in one direction.
const REGION_DELAY: Duration = Duration::from_millis(20);
/// Number of consecutive ports that an instance uses, starting with its first internal port.
const INTERNAL_PORTS: u16 = 3;

/// A running instance.
pub(crate) struct Gateway {
    name: String,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Fault proxy between this instance and the store.
    pub(crate) store_proxy: FaultProxy,
    /// Fault proxy between this instance and the platform's promotions.
    pub(crate) promotion_proxy: FaultProxy,
    /// Fault proxies between this instance and the members, in front of those of the fleet; empty in fleets with hubs.
    pub(crate) member_proxies: Vec<FaultProxy>,
    /// Text of the settings file.
    settings: String,
    pub(crate) process: Process,
}

/// Instances that share one stand-in.
pub(crate) struct Fleet {
    pub(crate) standin: Standin,
    pub(crate) gateways: Vec<Gateway>,
    /// Fault proxies in front of the members.
    pub(crate) member_proxies: Vec<FaultProxy>,
    binary: Binary,
    two_regions: bool,
    /// Further lines of the settings of an instance, by its number.
    settings: fn(usize) -> &'static str,
}

impl Fleet {
    /// Starts `count` instances in one region and waits until each serves.
    pub(crate) fn start(count: usize) -> Self {
        Self::start_in(count, false)
    }

    /// Starts `count` instances in two data centres and waits until each serves. With `two_regions` the store and the
    /// members are far from every other instance.
    pub(crate) fn start_in(count: usize, two_regions: bool) -> Self {
        Self::start_with(count, two_regions, Scale::default())
    }

    /// As [`start_in`](Self::start_in), with a stand-in of this size and timing.
    pub(crate) fn start_with(count: usize, two_regions: bool, scale: Scale) -> Self {
        Self::start_configured(count, two_regions, scale, |_| "")
    }

    /// As [`start_with`](Self::start_with), with further lines of the settings of each instance, by its number.
    pub(crate) fn start_configured(
        count: usize,
        two_regions: bool,
        scale: Scale,
        settings: fn(usize) -> &'static str,
    ) -> Self {
        let standin = Standin::start_with(scale).expect("the stand-in starts");
        let binary = Binary::new(env!("CARGO_BIN_EXE_hibiscusladder")).expect("a folder");
        let member_proxies = (0..scale.groups * MEMBERS).map(|member| {
            let proxy = FaultProxy::start(standin.member_address(member)).expect("a fault proxy");
            standin.publish_address(member, proxy.address());
            proxy
        });
        let member_proxies = member_proxies.collect();
        let gateways = Vec::new();
        let mut fleet = Self { standin, gateways, member_proxies, binary, two_regions, settings };
        for number in 0..count {
            fleet.add_with(number, count <= MAX_OWN_LINKS);
        }
        for gateway in &fleet.gateways {
            gateway.wait_until_serving();
        }
        fleet
    }

    /// Starts another instance and does not wait until it serves.
    pub(crate) fn add(&mut self, number: usize) {
        self.add_with(number, true);
    }

    fn add_with(&mut self, number: usize, has_own_links: bool) {
        let callers = loopback(free_port().expect("a port"));
        let readiness = loopback(free_port().expect("a port"));
        let name = format!("gateway-{number}");
        let is_south = !number.is_multiple_of(2);
        let delay = if self.two_regions && is_south { REGION_DELAY } else { Duration::ZERO };
        let proxy = |target| {
            let proxy = FaultProxy::start(target).expect("a fault proxy");
            proxy.set(Faults { delay, ..Faults::default() });
            proxy
        };
        let targets = self.member_proxies.iter().filter(|_| has_own_links);
        let member_proxies: Vec<FaultProxy> = targets.map(|own| proxy(own.address())).collect();
        let addresses: Vec<SocketAddr> = member_proxies.iter().map(FaultProxy::address).collect();
        let store = self.standin.serve_store_for(&addresses).expect("a port");
        let (store_proxy, promotion_proxy) = (proxy(store), proxy(store));
        let addresses = NodeAddresses {
            callers,
            readiness,
            first_port: port_range(),
            store: store_proxy.address(),
            promotions: promotion_proxy.address(),
        };
        let zone = if is_south { "south" } else { "north" };
        let settings = node_file(&name, zone, self.two_regions, addresses);
        let settings = settings + (self.settings)(number);
        let process = self.run(&name, &settings, callers);
        self.gateways.push(Gateway {
            name,
            callers,
            store_proxy,
            promotion_proxy,
            member_proxies,
            settings,
            process,
        });
    }

    fn run(&self, name: &str, settings: &str, callers: SocketAddr) -> Process {
        self.binary.start(name, &["gateway"], settings, callers).expect("the instance starts")
    }

    /// Starts a new process of an instance whose process has ended.
    pub(crate) fn restart(&mut self, number: usize) {
        let gateway = &self.gateways[number];
        let process = self.run(&gateway.name, &gateway.settings, gateway.callers);
        self.gateways[number].process = process;
    }
}

impl Gateway {
    /// Value of a field of the settings file.
    #[allow(dead_code, reason = "used by the tests of uncontrolled clients")]
    pub(crate) fn setting(&self, field: &str) -> &str {
        let fields = self.settings.lines().filter_map(|line| line.split_once('='));
        let value = fields.filter(|(name, _)| *name == field).map(|(_, value)| value).next();
        value.expect("the field is in the file")
    }

    /// Waits until a write succeeds.
    pub(crate) fn wait_until_serving(&self) {
        let until = Instant::now() + SERVING_TIMEOUT;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("probe-{}-{number}", self.name);
            let served = query_once(self.callers, "ledger", WORKSPACES[0], &id, "WRITE probe 1");
            if served.is_ok_and(|reply| reply.outcome.is_ok()) {
                return;
            }
            let log = self.process.log().unwrap_or_default();
            assert!(Instant::now() < until, "{} does not serve; its log:\n{log}", self.name);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Opens a session with the key of `workspace`.
pub(crate) fn open(address: SocketAddr, database: &str, workspace: &str) -> io::Result<Caller> {
    Caller::open(address, database, &format!("key-{workspace}"))
}

/// Runs one statement in a new session.
pub(crate) fn query_once(
    address: SocketAddr,
    database: &str,
    workspace: &str,
    id: &str,
    text: &str,
) -> io::Result<Reply> {
    open(address, database, workspace)?.query(id, text)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// First of [`INTERNAL_PORTS`] consecutive free ports.
fn port_range() -> u16 {
    loop {
        let first = free_port().expect("a port");
        let rest = (1..INTERNAL_PORTS).map(|_| free_port().expect("a port"));
        if rest.zip(first + 1..).all(|(port, expected)| port == expected) {
            return first;
        }
    }
}

/// Log of the instance's process; empty when it cannot be read.
pub(crate) fn process_log(gateway: &Gateway) -> String {
    gateway.process.log().unwrap_or_default()
}

/// Writes the logs of all instances to a file that outlives the test, and returns its path.
pub(crate) fn save_logs(fleet: &Fleet, name: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
    let logs: Vec<String> = fleet.gateways.iter().map(process_log).collect();
    std::fs::write(&path, logs.join("\n")).ok();
    path.display().to_string()
}
