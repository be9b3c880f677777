//! A tenant that was idle and then sends many times its rate, over all machines of a small deployment.
//!
//! Usage: `idle-burst CASE_FOLDER`, with `TROUBLE=0` in the environment for a tenant that sends at its rate.

mod fleet;

use std::{
    collections::BTreeMap,
    env, fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use fleet::{Machine, repository};
use hibiscusladder_platform_standin::{Caller, PRIMARY_DATABASE, Standin, WORKSPACES};

/// Machines of the sites coleccion-hub and oelwerk-pool.
const MACHINES: usize = 8;
/// Sessions of the tenant at each machine.
const SESSIONS: usize = 12;
/// Rate and burst of the tenant.
const RATE: f64 = 180.0;
/// Rate at which the tenant sends, in relation to its own. `hot_tenant` has `x = 7.5, for_s = 6.5` in the site files, and the usual
/// demand of a tenant is its rate divided by `quota_x`, 1.6.
const HOT: f64 = 7.5 / 1.6;
const HOT_TIME: Duration = Duration::from_millis(6500);
/// Time for which the tenant sends nothing before.
const IDLE_TIME: Duration = Duration::from_secs(25);
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);
/// `quota_window_s`, `quota_overage` and `quota_slack` of the sites.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

fn main() -> ExitCode {
    let case = env::args_os().nth(1).map(PathBuf::from).unwrap_or_default();
    let folder = env::temp_dir().join(format!("review-idle-burst-{}", std::process::id()));
    let outcome = fs::create_dir_all(&folder).ok().and_then(|()| run(&case, &folder));
    fs::remove_dir_all(&folder).ok();
    match outcome {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}

/// Whether the rule was broken; `None` when the case could not run.
fn run(case: &Path, folder: &Path) -> Option<bool> {
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = fs::File::create(case.join("record.txt")).ok()?;
    let started = Instant::now();
    let standin = Standin::start().ok()?;
    standin.configure(3, [200.0, RATE], &[]);
    let root = repository(&case.canonicalize().ok()?);
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|number| Machine::start(number, &standin, &root, folder).ok())
        .collect::<Option<_>>()?;
    for machine in &machines {
        if !wait_until_served(machine.callers, &machine.name) {
            writeln!(record, "{} does not serve", machine.name).ok();
            return None;
        }
    }
    thread::sleep(IDLE_TIME);
    let rate = if trouble { RATE * HOT } else { RATE };
    let line = format!(
        "{:8.3} s  the tenant {} of {RATE} requests a second and a burst of {RATE} begins to send {rate} a second after \
         {} s without requests",
        started.elapsed().as_secs_f64(),
        WORKSPACES[1],
        IDLE_TIME.as_secs()
    );
    println!("{line}");
    writeln!(record, "{line}").ok();
    let sent = Mutex::new(BTreeMap::new());
    let interval = Duration::from_secs_f64((MACHINES * SESSIONS) as f64 / rate);
    let began = Instant::now();
    thread::scope(|scope| {
        for number in 0..MACHINES * SESSIONS {
            let (address, sent) = (machines[number % MACHINES].callers, &sent);
            // The sessions begin one after the other.
            let began = began
                + interval * u32::try_from(number).unwrap_or(0) / (MACHINES * SESSIONS) as u32;
            scope.spawn(move || send(address, number, interval, began, sent));
        }
    });
    let sent = sent.into_inner().ok()?;
    let group = standin.lock_group();
    // Times of sending and of execution of the requests that a member ran.
    let mut runs: Vec<(Instant, Instant)> = group
        .executed()
        .iter()
        .filter(|statement| statement.workspace == WORKSPACES[1])
        .filter_map(|statement| Some((*sent.get(&statement.id)?, statement.at)))
        .collect();
    drop(group);
    runs.sort();
    let limit = (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + OVERAGE) + SLACK;
    // A request counts in a window in which it was both sent and run.
    let in_window = |from: Instant| {
        runs.iter().filter(|(sent, run)| *sent >= from && *run < from + WINDOW).count()
    };
    let most = runs.iter().map(|(sent, _)| in_window(*sent)).max().unwrap_or(0);
    for (sent, run) in &runs {
        writeln!(
            record,
            "{:8.3} s  sent, run {:.3} s later",
            (*sent - began).as_secs_f64(),
            (*run - *sent).as_secs_f64()
        )
        .ok();
    }
    let is_broken = most as f64 > limit;
    let line = format!(
        "{} requests sent, {} run; at most {most} in {} s, {limit} may; the rule is {}",
        sent.len(),
        runs.len(),
        WINDOW.as_secs(),
        if is_broken { "broken" } else { "kept" }
    );
    println!("{line}");
    writeln!(record, "{line}").ok();
    Some(is_broken)
}

/// Sends reads in one session, one each `interval`, or as fast as they are answered.
fn send(
    address: SocketAddr,
    session: usize,
    interval: Duration,
    began: Instant,
    sent: &Mutex<BTreeMap<String, Instant>>,
) {
    let open = || Caller::open(address, PRIMARY_DATABASE, &format!("key-{}", WORKSPACES[1]));
    let Ok(mut caller) = open() else { return };
    let mut number = 0_u32;
    while interval * number < HOT_TIME && began.elapsed() < HOT_TIME {
        let due = began + interval * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("b{session}-{number}");
        if let Ok(mut sent) = sent.lock() {
            sent.insert(id.clone(), Instant::now());
        }
        if caller.query(&id, "READ item").is_err() {
            match open() {
                Ok(again) => caller = again,
                Err(_) => return,
            }
        }
        number += 1;
    }
}

/// Waits until a write of the other tenant is answered with success.
fn wait_until_served(address: SocketAddr, name: &str) -> bool {
    let until = Instant::now() + SERVING_TIMEOUT;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let reply = Caller::open(address, PRIMARY_DATABASE, &format!("key-{}", WORKSPACES[0]))
            .and_then(|mut caller| {
                caller.query(&format!("probe-{name}-{number}"), "WRITE probe 1")
            });
        if reply.is_ok_and(|reply| reply.outcome.is_ok()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
