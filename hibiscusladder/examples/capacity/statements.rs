//! Processor time for each statement at entry and home, and throughput against a direct connection.

use std::{
    error::Error,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployments::{DATABASE, local},
    support::fleet::Fleet,
    usage::Usage,
    wire::Client,
};

/// Time for a new instance to use its shares and for its pools to fill.
const SETTLE: Duration = Duration::from_secs(10);

/// Time over which each path is loaded.
const WINDOW: Duration = Duration::from_secs(4);

/// Where the clients connect to.
#[derive(Debug, Clone, Copy)]
struct Path<'a> {
    name: &'static str,
    port: u16,
    user: &'a str,
    password: &'a str,
}

/// Loads each path with each of `points` clients and prints a row for it.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(&local(1, 1), "")?;
    let [home, entry] = fleet.instances() else { return Err("two instances are expected".into()) };
    let member = fleet.member(&format!("{DATABASE}-1")).ok_or("the member has no address")?;
    let key = fleet.keys()[0].as_str();
    thread::sleep(SETTLE);
    let paths = [
        Path { name: "direct", port: member.port(), user: "proxy", password: "proxy" },
        Path { name: "one hop", port: home.listen, user: "club-grande", password: key },
        Path { name: "two hops", port: entry.listen, user: "club-grande", password: key },
    ];
    prepare(paths[0], points.iter().copied().max().unwrap_or(1))?;
    println!(
        "| statement | clients | path | statements/s | ratio to direct | mean us | entry CPU us | home CPU us | statements/s per core |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for write in [false, true] {
        for clients in points {
            let mut direct = 0.0;
            for path in paths {
                let before = (Usage::of(home.id())?, Usage::of(entry.id())?);
                let start = Instant::now();
                let count = load(path, *clients, write)?;
                let seconds = start.elapsed().as_secs_f64();
                let after = (Usage::of(home.id())?, Usage::of(entry.id())?);
                let micros = |before: Usage, after: Usage| (after.cpu - before.cpu) * 1e6 / count;
                let at_home = micros(before.0, after.0);
                let at_entry = micros(before.1, after.1);
                let rate = count / seconds;
                if path.name == "direct" {
                    direct = rate;
                }
                println!(
                    "| {} | {clients} | {} | {rate:.0} | {:.2} | {:.0} | {at_entry:.0} | {at_home:.0} | {} |",
                    if write { "write" } else { "read" },
                    path.name,
                    rate / direct,
                    f64::from(u32::try_from(*clients)?) * 1e6 / rate,
                    per_core(path, at_home + at_entry),
                );
            }
        }
    }
    Ok(())
}

/// Statements a second for each core of the instances; a direct connection uses none of them.
fn per_core(path: Path<'_>, micros: f64) -> String {
    if path.name == "direct" { "-".to_owned() } else { format!("{:.0}", 1e6 / micros) }
}

/// Creates a table with a row for each client.
fn prepare(path: Path<'_>, rows: usize) -> Result<(), Box<dyn Error>> {
    let mut client = Client::connect(path.port, path.user, DATABASE, path.password)?;
    client.query("CREATE TABLE capacity (id INTEGER PRIMARY KEY, value INTEGER)")?;
    for id in 0..rows {
        client.query(&format!("INSERT INTO capacity VALUES ({id}, 0)"))?;
    }
    Ok(())
}

/// Runs statements from `clients` connections at once and returns their number.
fn load(path: Path<'_>, clients: usize, write: bool) -> Result<f64, Box<dyn Error>> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for id in 0..clients {
        let mut client = Client::connect(path.port, path.user, DATABASE, path.password)?;
        let stop = Arc::clone(&stop);
        let statement = if write {
            format!("UPDATE capacity SET value = value + 1 WHERE id = {id}")
        } else {
            format!("SELECT value FROM capacity WHERE id = {id}")
        };
        threads.push(thread::spawn(move || -> std::io::Result<u32> {
            let mut count = 0;
            while !stop.load(Ordering::Relaxed) {
                client.query(&statement)?;
                count += 1;
            }
            Ok(count)
        }));
    }
    thread::sleep(WINDOW);
    stop.store(true, Ordering::Relaxed);
    let mut count = 0;
    for thread in threads {
        count += thread.join().map_err(|_| "a client panicked")??;
    }
    Ok(f64::from(count))
}
