//! Case: planned stops of the gateways of a zone, one after the other, while requesters go on.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup,
    client::Client,
    config,
    gateway::{Gateway, wait_until_ready},
    group::{Group, Path, Run},
    store::Store,
};

const MEMBERS: usize = 3;
const GATEWAYS: usize = 3;
const GRACE: Duration = Duration::from_secs(6);
/// `loss_slack_ms` of the settings.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Pause between the stops of two gateways.
const GAP: Duration = Duration::from_millis(1160);
/// Operations of the zone in a second.
const PER_SECOND: u64 = 134;
/// Operations in a second of a tenant that is over its limit, and its limit.
const OVER_LIMIT: (u64, f64) = (40, 4.0);
const ROUNDS: usize = 9;

/// The platform's view of one gateway: it gets new connections until two probes in a row have failed.
#[derive(Default)]
struct Rotation {
    misses: AtomicU64,
}

struct Request {
    id: String,
    node: usize,
    sent: Instant,
    /// When the answer was complete or the connection ended.
    ended: Instant,
    /// Code of the answer, or how the connection ended without a complete answer.
    outcome: Result<String, String>,
}

/// The node for a new connection: those in rotation, or all if they are fewer than half; none while all are out.
fn pick(rotation: &[Rotation], hash: u64) -> Option<usize> {
    let nodes: Vec<usize> = (0..rotation.len())
        .filter(|node| rotation[*node].misses.load(Ordering::SeqCst) < 2)
        .collect();
    if nodes.is_empty() {
        return None;
    }
    let all: Vec<usize> = (0..rotation.len()).collect();
    let nodes = if 2 * nodes.len() < rotation.len() { all } else { nodes };
    let mixed = (hash ^ 0x9e37_79b9).wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33;
    Some(nodes[usize::try_from(mixed).unwrap_or(0) % nodes.len()])
}

pub fn run(setup: &Setup, with_limit: bool) -> bool {
    let record = &setup.record;
    let places = [("bern-nord", 0), ("solothurn", 0), ("lausanne-ost", 1)];
    let group = Group::start(record.clone(), &places, Duration::from_millis(15), 55);
    let store = Store::new(record.clone());
    let tenants = [("tenant-a", 400.0), ("tenant-b", OVER_LIMIT.1)];
    store.put("config", "main", config(3, 55, &tenants).as_bytes());
    for member in 0..MEMBERS {
        store.put("servers", &format!("m-{member}"), group.entry(member).as_bytes());
    }
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let serve = |member: usize| group.serve(member, Path::default()).expect("a port");
        let front = store.serve(group.clone(), (0..MEMBERS).map(serve).collect()).expect("a port");
        let name = format!("frontend-bern-nord-{}", number + 1);
        gateways.push(Gateway::new(record, &setup.root, &setup.folder, &name, "bern-nord", front));
    }
    gateways.iter_mut().for_each(Gateway::start);
    wait_until_ready(&gateways);
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let rotation: Arc<Vec<Rotation>> =
        Arc::new((0..GATEWAYS).map(|_| Rotation::default()).collect());
    for node in 0..GATEWAYS {
        let (rotation, stop) = (rotation.clone(), stop.clone());
        let address = gateways[node].readiness;
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                if Gateway::is_ready(address) {
                    rotation[node].misses.store(0, Ordering::SeqCst);
                } else {
                    rotation[node].misses.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
    let callers: Arc<Vec<SocketAddr>> =
        Arc::new(gateways.iter().map(|gateway| gateway.callers).collect());
    let mut streams = vec![("tenant-a", PER_SECOND)];
    if with_limit {
        streams.push(("tenant-b", OVER_LIMIT.0));
    }
    for (tenant, per_second) in streams {
        let (stop, rotation) = (stop.clone(), rotation.clone());
        let (callers, requests) = (callers.clone(), requests.clone());
        thread::spawn(move || {
            let mut number = 0;
            let mut due = Instant::now();
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                due += Duration::from_secs(1) / u32::try_from(per_second).unwrap_or(1);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let Some(node) = pick(&rotation, number) else { continue };
                let (address, requests) = (callers[node], requests.clone());
                let id = format!("{tenant}-{number}");
                thread::spawn(move || {
                    if let Some(request) = operate(address, node, tenant, id) {
                        requests.lock().unwrap().push(request);
                    }
                });
            }
        });
    }
    thread::sleep(Duration::from_secs(2));

    // When the process that a request reached got its SIGTERM.
    let mut stops: Vec<(usize, Instant)> = Vec::new();
    let mut states = [Phase::Runs; GATEWAYS];
    let started = Instant::now();
    for round in 0..ROUNDS {
        let order = [round % 3, (round + 1) % 3, (round + 2) % 3];
        // With a tenant over its limit, one gateway of the zone stays, and the two others take requests to their end.
        let stopped = &order[..if with_limit { 2 } else { 3 }];
        let round_start = Instant::now();
        while round_start.elapsed() < Duration::from_millis(8500) {
            thread::sleep(Duration::from_millis(5));
            for (place, node) in stopped.iter().enumerate() {
                let due = round_start + GAP * u32::try_from(place).unwrap_or(0);
                let now = Instant::now();
                let gateway = &mut gateways[*node];
                states[*node] = match states[*node] {
                    Phase::Runs
                        if setup.trouble && now >= due && now < due + Duration::from_secs(1) =>
                    {
                        stops.push((*node, now));
                        gateway.signal("TERM");
                        Phase::Stops(now)
                    }
                    Phase::Stops(since) if gateway.has_ended() => {
                        record.write(&format!(
                            "{}: ended {} ms after SIGTERM",
                            gateway.name,
                            since.elapsed().as_millis()
                        ));
                        Phase::Ended(now)
                    }
                    Phase::Stops(since) if since.elapsed() > GRACE => {
                        gateway.kill();
                        Phase::Ended(now)
                    }
                    Phase::Ended(since) if since.elapsed() > Duration::from_millis(500) => {
                        gateway.kill();
                        gateway.start();
                        Phase::Runs
                    }
                    other => other,
                };
            }
        }
        if started.elapsed() > Duration::from_secs(85) {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));

    let state = group.lock();
    let requests = requests.lock().unwrap();
    let runs: BTreeMap<&str, &Run> = state.runs.iter().map(|run| (&*run.id, run)).collect();
    let (mut passed_on, mut held, mut unread) = (0, 0, 0);
    for request in requests.iter() {
        let run = runs.get(&*request.id);
        let waited = request.ended - request.sent;
        record.write(&format!(
            "request {} at {}: sent {:.3}, {:?} after {} ms, {}",
            request.id,
            gateways[request.node].name,
            record.at(request.sent),
            request.outcome,
            waited.as_millis(),
            run.map_or("not run".to_owned(), |run| format!("run by m-{}", run.member))
        ));
        let Err(how) = &request.outcome else { continue };
        let ended = request.ended;
        let stop = stops.iter().rfind(|(node, at)| *node == request.node && *at <= ended);
        let Some((_, at)) = stop.filter(|(_, at)| ended - *at <= GRACE + Duration::from_secs(1))
        else {
            record.write(&format!("cut: request {}: {how}, not around a planned stop", request.id));
            continue;
        };
        let sent_after = request.sent.saturating_duration_since(*at).as_millis();
        let what = match run {
            Some(run) => {
                passed_on += 1;
                format!("run by m-{}", run.member)
            }
            // A connection that was closed with unread bytes is reset; one that ends was read to its end.
            None if waited > LOSS_SLACK && how == "end of the connection" => {
                held += 1;
                "run by no member, read and held".to_owned()
            }
            None => {
                unread += 1;
                "run by no member".to_owned()
            }
        };
        record.write(&format!(
            "cut: request {} at {}: sent {sent_after} ms after SIGTERM, {how} after {} ms without an answer; {what}",
            request.id,
            gateways[request.node].name,
            waited.as_millis()
        ));
    }
    record.say(&format!(
        "{} stops, {} requests; cut around a stop without a complete answer: {passed_on} that a member ran, {held} \
         that were read and held for over {} ms, {unread} others",
        stops.len(),
        requests.len(),
        LOSS_SLACK.as_millis()
    ));
    drop(runs);
    drop(state);
    gateways.iter_mut().for_each(Gateway::kill);
    if with_limit { held > 0 } else { passed_on > 0 }
}

#[derive(Clone, Copy)]
enum Phase {
    Runs,
    Stops(Instant),
    Ended(Instant),
}

/// One session for a single read; `None` when no session was opened.
fn operate(address: SocketAddr, node: usize, tenant: &str, id: String) -> Option<Request> {
    let mut client = Client::open(address, "coat-log", &format!("key-{tenant}")).ok()?;
    client.send(&format!("QUERY {id} READ coat7\r\n")).ok()?;
    let sent = Instant::now();
    let outcome = match client.answer() {
        Ok(Ok(_)) => Ok("COMPLETE".to_owned()),
        Ok(Err((code, _))) => Ok(code),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            Err("end of the connection".to_owned())
        }
        Err(error) => Err(error.to_string()),
    };
    let ended = Instant::now();
    if outcome.is_ok() {
        client.send("TERMINATE\r\n").ok();
    }
    Some(Request { id, node, sent, ended, outcome })
}
