//! Control work of an instance against the other instances and against the databases that it polls.

use std::{
    collections::HashMap,
    error::Error,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::proxy::platform::http_get;
use serde_json::Value;

use crate::{
    deployments::{CENTRES, spread},
    support::{deployment::Deployment, fleet::Fleet},
    traffic::{Flow, Socket, Traffic},
    usage::Usage,
};

/// Time until every instance knows all others and their reports are no longer passed on.
const SETTLE: Duration = Duration::from_secs(25);

/// Time over which the work is read.
const WINDOW: Duration = Duration::from_secs(15);

/// Least messages a second on a connection to the store by which a relay is told from other instances, which call it
/// a few times a minute.
const WATCHES: f64 = 1.0;

/// What a connection of an instance leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Target {
    Store,
    Member,
    Instance,
    /// An instance that opened the connection itself.
    Caller,
}

/// Ports by what listens there, with the region.
type Ports = HashMap<u16, (Target, &'static str)>;

/// What one instance did in each second.
#[derive(Debug, Default)]
struct Work {
    cpu_percent: f64,
    rss_kib: f64,
    flows: HashMap<Target, Flow>,
}

impl Work {
    fn flow(&self, target: Target) -> Flow {
        self.flows.get(&target).copied().unwrap_or_default()
    }

    fn peers(&self) -> Flow {
        self.flow(Target::Instance).plus(self.flow(Target::Caller))
    }

    fn is_relay(&self) -> bool {
        self.flow(Target::Store).messages > WATCHES
    }

    fn is_home(&self) -> bool {
        self.flow(Target::Member).messages > 0.0
    }
}

/// Prints rows for each of `points` instances with one database.
pub(crate) fn against_instances(points: &[usize]) -> Result<(), Box<dyn Error>> {
    heading();
    points.iter().try_for_each(|count| row(&spread(*count, 1)))
}

/// Prints rows for four instances with each of `points` databases.
pub(crate) fn against_databases(points: &[usize]) -> Result<(), Box<dyn Error>> {
    heading();
    points.iter().try_for_each(|count| row(&spread(4, *count)))
}

fn heading() {
    println!(
        "| instances | databases | role | number | CPU % of a core | resident KiB | instances B/s | messages/s | store B/s | messages/s | members B/s | messages/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn row(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(deployment, "")?;
    let ports = ports(&fleet, deployment)?;
    thread::sleep(SETTLE);
    let usage =
        || fleet.instances().iter().map(|one| Usage::of(one.id())).collect::<Result<Vec<_>, _>>();
    let calls_before = calls(&fleet)?;
    let (before, traffic_before, start) = (usage()?, Traffic::now()?, Instant::now());
    thread::sleep(WINDOW);
    let (after, traffic) = (usage()?, Traffic::now()?);
    let seconds = start.elapsed().as_secs_f64();
    let calls_after = calls(&fleet)?;
    let flows = traffic.since(&traffic_before, seconds);
    let mut works = Vec::new();
    let mut crossing: HashMap<(Target, &str), f64> = HashMap::new();
    for (instance, (before, after)) in fleet.instances().iter().zip(before.iter().zip(&after)) {
        let mut work = Work {
            cpu_percent: (after.cpu - before.cpu) / seconds * 100.0,
            rss_kib: after.rss_kib,
            ..Work::default()
        };
        let region = region(&instance.data_centre);
        for (socket, flow) in flows.iter().filter(|(socket, _)| socket.process == instance.id()) {
            let Some((target, place)) = target(&ports, socket, instance.rpc) else { continue };
            let sum = work.flows.entry(target).or_default();
            *sum = sum.plus(*flow);
            if target != Target::Caller && place != region {
                *crossing.entry((target, region)).or_default() += flow.sent;
                *crossing.entry((target, place)).or_default() += flow.received;
            }
        }
        works.push(work);
    }
    print(deployment, &works);
    for region in [CENTRES[0].1, CENTRES[3].1] {
        let of = |target| crossing.get(&(target, region)).copied().unwrap_or(0.0);
        println!(
            "from {region} to the other region: {:.0} B/s between instances, {:.0} B/s with members, {:.0} B/s with the store",
            of(Target::Instance),
            of(Target::Member),
            of(Target::Store)
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

fn print(deployment: &Deployment, works: &[Work]) {
    let total: usize = deployment.data_centres.iter().map(|place| place.instances).sum();
    let databases = deployment.databases.len();
    let role = |name: &str, chosen: Vec<&Work>| {
        let Ok(number @ 1..) = u32::try_from(chosen.len()) else { return };
        let mean = |value: &dyn Fn(&Work) -> f64| {
            chosen.iter().map(|work| value(work)).sum::<f64>() / f64::from(number)
        };
        println!(
            "| {total} | {databases} | {name} | {number} | {:.2} | {:.0} | {:.0} | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} |",
            mean(&|work| work.cpu_percent),
            mean(&|work| work.rss_kib),
            mean(&|work| work.peers().bytes()),
            mean(&|work| work.peers().messages),
            mean(&|work| work.flow(Target::Store).bytes()),
            mean(&|work| work.flow(Target::Store).messages),
            mean(&|work| work.flow(Target::Member).bytes()),
            mean(&|work| work.flow(Target::Member).messages),
        );
    };
    let choose = |relay, home| {
        works.iter().filter(|work| work.is_relay() == relay && work.is_home() == home).collect()
    };
    role("all", works.iter().collect());
    role("neither", choose(false, false));
    role("relay", choose(true, false));
    role("home", choose(false, true));
    role("relay and home", choose(true, true));
}

fn target(ports: &Ports, socket: &Socket, own: u16) -> Option<(Target, &'static str)> {
    if socket.local == own {
        return Some((Target::Caller, ""));
    }
    ports.get(&socket.peer).copied()
}

fn ports(fleet: &Fleet, deployment: &Deployment) -> Result<Ports, Box<dyn Error>> {
    let mut ports = Ports::new();
    for instance in fleet.instances() {
        ports.insert(instance.rpc, (Target::Instance, region(&instance.data_centre)));
    }
    let platform = fleet.platform().rsplit(':').next().ok_or("no port")?.parse()?;
    // The store is in the region of the first data centre.
    ports.insert(platform, (Target::Store, CENTRES[0].1));
    for database in &deployment.databases {
        for (index, centre) in (1..).zip(deployment.member_centres()) {
            let address = fleet.member(&format!("{database}-{index}")).ok_or("no such member")?;
            ports.insert(address.port(), (Target::Member, region(centre)));
        }
    }
    Ok(ports)
}

fn region(data_centre: &str) -> &'static str {
    CENTRES.iter().find(|(name, _)| *name == data_centre).map_or("", |(_, region)| region)
}

fn calls(fleet: &Fleet) -> Result<Value, Box<dyn Error>> {
    let body = smol::block_on(http_get(&fleet.platform(), "/admin/calls", Duration::from_secs(2)))?;
    Ok(serde_json::from_slice(&body)?)
}
