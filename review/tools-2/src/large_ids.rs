//! Clients whose transactions have ids of legal length, and the memory of the processes that serve them.
//!
//! Usage: `large-ids CASE_FOLDER`, with `TROUBLE=0` in the environment for ids of the usual length.

mod fleet;

use std::{
    env, fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use fleet::{MEMORY_MB, Machine, repository};
use hibiscusladder_platform_standin::{Caller, PRIMARY_DATABASE, Standin, WORKSPACES};

/// Sessions of the crowd at each machine.
const CLIENTS: usize = 400;
/// Length of the id of a transaction's begin. The whole message is below 1 MiB.
const LARGE_ID: usize = 1_000_000;
/// Length of the ids that the bench uses.
const USUAL_ID: usize = 16;
/// Time for which the crowd keeps its transactions open; `tx_idle_ms` is 3000.
const OPEN_TIME: Duration = Duration::from_secs(2);
/// Rounds, in each of which a crowd comes to each machine.
const ROUNDS: usize = 3;
const MACHINES: usize = 2;
/// Longest time of the whole run.
const RUN_TIME: Duration = Duration::from_secs(110);
/// Delay of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Longest time of one crowd.
const CROWD_TIME: Duration = Duration::from_secs(30);
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let case = env::args_os().nth(1).map(PathBuf::from).unwrap_or_default();
    let folder = env::temp_dir().join(format!("review-large-ids-{}", std::process::id()));
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
    let length = if trouble { LARGE_ID } else { USUAL_ID };
    let mut record = fs::File::create(case.join("record.txt")).ok()?;
    let started = Instant::now();
    let mut note = |text: String| {
        let line = format!("{:8.3} s  {text}", started.elapsed().as_secs_f64());
        println!("{line}");
        writeln!(record, "{line}").ok();
    };
    let standin = Standin::start().ok()?;
    // The limits of the tenants are not what is shown.
    standin.configure(3, [100_000.0; 2], &[]);
    let root = repository(&case.canonicalize().ok()?);
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|number| Machine::start(number, &standin, &root, folder).ok())
        .collect::<Option<_>>()?;
    let mut ends = [0; MACHINES];
    for round in 1..=ROUNDS {
        for (machine, ends) in machines.iter().zip(&mut ends) {
            if !wait_until_served(machine.callers, &format!("{round}-{}", machine.name)) {
                note(format!("{} does not serve", machine.name));
                return None;
            }
            if started.elapsed() > RUN_TIME {
                note("the time is over".to_owned());
                return None;
            }
            let (begun, peak, exceeded) = crowd(machine, length);
            note(format!(
                "round {round}: {begun} of {CLIENTS} clients of {} got READY T for a BEGIN with an id of {length} \
                 characters; largest memory of the process {peak} MB of {MEMORY_MB} MB",
                machine.name
            ));
            if exceeded {
                thread::sleep(RESTART_DELAY);
                machine.end_and_restart().ok()?;
                *ends += 1;
                note(format!(
                    "the platform ends the process of {} and starts it again",
                    machine.name
                ));
            }
        }
    }
    let is_broken = ends.iter().all(|ends| *ends >= ROUNDS);
    note(format!(
        "processes ended by themselves, by machine: {ends:?}; the rule is {}",
        if is_broken { "broken" } else { "kept" }
    ));
    Some(is_broken)
}

/// Has clients begin transactions one after the other and keep them open. Returns the number of transactions that were begun, the
/// largest memory of the process in MB, and whether that is over the limit.
fn crowd(machine: &Machine, length: usize) -> (usize, usize, bool) {
    let exceeded = AtomicBool::new(false);
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let watching = scope.spawn(|| {
            let (mut peak, began) = (0, Instant::now());
            while began.elapsed() < CROWD_TIME
                && !ended.load(Ordering::Relaxed)
                && !exceeded.load(Ordering::Relaxed)
            {
                match machine.peak_mb() {
                    Some(mb) => peak = peak.max(mb),
                    None => exceeded.store(true, Ordering::Relaxed),
                }
                if peak > MEMORY_MB {
                    exceeded.store(true, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(20));
            }
            peak
        });
        let mut sessions = Vec::new();
        for number in 0..CLIENTS {
            if exceeded.load(Ordering::Relaxed) {
                break;
            }
            let key = format!("key-{}", WORKSPACES[number % 2]);
            let Ok(mut caller) = Caller::open(machine.callers, PRIMARY_DATABASE, &key) else {
                continue;
            };
            let id = format!("{}{number:06}", "x".repeat(length.saturating_sub(6)));
            if caller.query(&id, "BEGIN").is_ok_and(|reply| reply.state == "T") {
                sessions.push(caller);
            }
        }
        let until = Instant::now() + OPEN_TIME;
        while Instant::now() < until && !exceeded.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
        ended.store(true, Ordering::Relaxed);
        let peak = watching.join().unwrap_or(0);
        (sessions.len(), peak, exceeded.load(Ordering::Relaxed))
    })
}

/// Waits until an ordinary write is answered with success.
fn wait_until_served(address: SocketAddr, id: &str) -> bool {
    let until = Instant::now() + SERVING_TIMEOUT;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let key = format!("key-{}", WORKSPACES[0]);
        let reply = Caller::open(address, PRIMARY_DATABASE, &key)
            .and_then(|mut caller| caller.query(&format!("probe-{id}-{number}"), "WRITE probe 1"));
        if reply.is_ok_and(|reply| reply.outcome.is_ok()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
