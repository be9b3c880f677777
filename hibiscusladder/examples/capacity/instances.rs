//! Processor time, memory and control traffic of an instance without client load, by the number of instances and of
//! databases.

use std::{
    collections::HashMap,
    error::Error,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::proxy::platform::http_get;
use serde_json::Value;

use crate::{
    deployments::{CENTRES, distributed},
    support::{deployment::Deployment, fleet::Fleet},
    traffic::{Flow, Socket, Traffic},
    usage::Usage,
};

/// Time until every instance has learned of all others and forwards no more reports about them.
const WARM_UP_TIME: Duration = Duration::from_secs(25);

/// Duration over which processor time and traffic are measured.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(15);

/// An instance with more messages per second than this on its connections to the store counts as a relay; other
/// instances call the store a few times a minute.
const RELAY_MIN_MESSAGES_PER_SECOND: f64 = 1.0;

/// Other end of a connection of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    Store,
    Member,
    /// An instance to which the connection was opened.
    OutboundInstance,
    /// An instance that opened the connection.
    InboundInstance,
}

/// The process that listens on each port, with its region.
type Ports = HashMap<u16, (Target, &'static str)>;

/// Processor time, memory and traffic of one instance; flows are per second.
#[derive(Debug, Default)]
struct ResourceUse {
    cpu_percent: f64,
    rss_kib: f64,
    flows: HashMap<Target, Flow>,
}

impl ResourceUse {
    fn flow(&self, target: Target) -> Flow {
        self.flows.get(&target).copied().unwrap_or_default()
    }

    fn instance_flow(&self) -> Flow {
        self.flow(Target::OutboundInstance).plus(self.flow(Target::InboundInstance))
    }

    fn is_relay(&self) -> bool {
        self.flow(Target::Store).messages > RELAY_MIN_MESSAGES_PER_SECOND
    }

    fn is_home(&self) -> bool {
        self.flow(Target::Member).messages > 0.0
    }
}

/// Measures each number of instances in `points` with one database, and prints the rows.
pub(crate) fn measure_by_instances(points: &[usize]) -> Result<(), Box<dyn Error>> {
    print_heading();
    points.iter().try_for_each(|count| measure_row(&distributed(*count, 1)))
}

/// Measures four instances with each number of databases in `points`, and prints the rows.
pub(crate) fn measure_by_databases(points: &[usize]) -> Result<(), Box<dyn Error>> {
    print_heading();
    points.iter().try_for_each(|count| measure_row(&distributed(4, *count)))
}

fn print_heading() {
    println!(
        "| instances | databases | role | number | CPU % of a core | resident KiB | instances B/s | messages/s | store B/s | messages/s | members B/s | messages/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Starts the deployment, measures all instances and prints a row for each role.
fn measure_row(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(deployment, "")?;
    let ports = ports(&fleet, deployment)?;
    thread::sleep(WARM_UP_TIME);
    let usage = || {
        fleet
            .instances()
            .iter()
            .map(|instance| Usage::of(instance.id()))
            .collect::<Result<Vec<_>, _>>()
    };
    let calls_before = store_calls(&fleet)?;
    let (before, traffic_before, start) = (usage()?, Traffic::capture()?, Instant::now());
    thread::sleep(MEASUREMENT_WINDOW);
    let (after, traffic) = (usage()?, Traffic::capture()?);
    let seconds = start.elapsed().as_secs_f64();
    let calls_after = store_calls(&fleet)?;
    let flows = traffic.rates_since(&traffic_before, seconds);
    let mut resource_uses = Vec::new();
    let mut cross_region: HashMap<(Target, &str), f64> = HashMap::new();
    for (instance, (before, after)) in fleet.instances().iter().zip(before.iter().zip(&after)) {
        let mut resource_use = ResourceUse {
            cpu_percent: (after.cpu - before.cpu) / seconds * 100.0,
            rss_kib: after.rss_kib,
            ..ResourceUse::default()
        };
        let region = region(&instance.data_centre);
        for (socket, flow) in flows.iter().filter(|(socket, _)| socket.process == instance.id()) {
            let Some((target, remote_region)) = target(&ports, socket, instance.rpc) else {
                continue;
            };
            let sum = resource_use.flows.entry(target).or_default();
            *sum = sum.plus(*flow);
            if target != Target::InboundInstance && remote_region != region {
                *cross_region.entry((target, region)).or_default() += flow.sent;
                *cross_region.entry((target, remote_region)).or_default() += flow.received;
            }
        }
        resource_uses.push(resource_use);
    }
    print_rows(deployment, &resource_uses);
    for region in [CENTRES[0].1, CENTRES[3].1] {
        let bytes_per_second = |target| cross_region.get(&(target, region)).copied().unwrap_or(0.0);
        println!(
            "from {region} to the other region: {:.0} B/s between instances, {:.0} B/s with members, {:.0} B/s with the store",
            bytes_per_second(Target::OutboundInstance),
            bytes_per_second(Target::Member),
            bytes_per_second(Target::Store)
        );
    }
    let per_second = |name: &str| {
        let count = |calls: &Value| calls[name].as_f64().unwrap_or(0.0);
        (count(&calls_after) - count(&calls_before)) / seconds
    };
    println!(
        "store calls/s: {:.2} reads, {:.2} writes, {:.2} watches",
        per_second("reads"),
        per_second("writes"),
        per_second("watches")
    );
    Ok(())
}

fn print_rows(deployment: &Deployment, resource_uses: &[ResourceUse]) {
    let total: usize = deployment.data_centres.iter().map(|centre| centre.instances).sum();
    let databases = deployment.databases.len();
    let print_role = |name: &str, selected: Vec<&ResourceUse>| {
        let Ok(number @ 1..) = u32::try_from(selected.len()) else { return };
        let mean = |value: &dyn Fn(&ResourceUse) -> f64| {
            selected.iter().map(|instance| value(instance)).sum::<f64>() / f64::from(number)
        };
        println!(
            "| {total} | {databases} | {name} | {number} | {:.2} | {:.0} | {:.0} | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} |",
            mean(&|instance| instance.cpu_percent),
            mean(&|instance| instance.rss_kib),
            mean(&|instance| instance.instance_flow().bytes()),
            mean(&|instance| instance.instance_flow().messages),
            mean(&|instance| instance.flow(Target::Store).bytes()),
            mean(&|instance| instance.flow(Target::Store).messages),
            mean(&|instance| instance.flow(Target::Member).bytes()),
            mean(&|instance| instance.flow(Target::Member).messages),
        );
    };
    let select = |relay, home| {
        resource_uses
            .iter()
            .filter(|instance| instance.is_relay() == relay && instance.is_home() == home)
            .collect()
    };
    print_role("all", resource_uses.iter().collect());
    print_role("neither", select(false, false));
    print_role("relay", select(true, false));
    print_role("home", select(false, true));
    print_role("relay and home", select(true, true));
}

/// Other end of the connection of `socket`, with its region, which is empty for an inbound connection; `None` when
/// its port belongs to no process of the deployment.
fn target(ports: &Ports, socket: &Socket, rpc_port: u16) -> Option<(Target, &'static str)> {
    if socket.local == rpc_port {
        return Some((Target::InboundInstance, ""));
    }
    ports.get(&socket.peer).copied()
}

fn ports(fleet: &Fleet, deployment: &Deployment) -> Result<Ports, Box<dyn Error>> {
    let mut ports = Ports::new();
    for instance in fleet.instances() {
        ports.insert(instance.rpc, (Target::OutboundInstance, region(&instance.data_centre)));
    }
    let platform = fleet
        .platform()
        .rsplit(':')
        .next()
        .ok_or("the address of the platform has no port")?
        .parse()?;
    // The store is in the region of the first data centre.
    ports.insert(platform, (Target::Store, CENTRES[0].1));
    for database in &deployment.databases {
        for (index, centre) in (1..).zip(deployment.member_centres()) {
            let address =
                fleet.member(&format!("{database}-{index}")).ok_or("a member has no address")?;
            ports.insert(address.port(), (Target::Member, region(centre)));
        }
    }
    Ok(ports)
}

fn region(data_centre: &str) -> &'static str {
    CENTRES.iter().find(|(name, _)| *name == data_centre).map_or("", |(_, region)| region)
}

/// Reads the number of calls that the store has served, by kind of call.
fn store_calls(fleet: &Fleet) -> Result<Value, Box<dyn Error>> {
    let body = smol::block_on(http_get(&fleet.platform(), "/admin/calls", Duration::from_secs(2)))?;
    Ok(serde_json::from_slice(&body)?)
}
