//! Processor time per statement at the entry instance and at the home, and throughput relative to a direct
//! connection.

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
    deployments::{DATABASE, single_home},
    support::fleet::Fleet,
    usage::Usage,
    wire::Client,
};

/// Time until a new instance uses its shares and its connection pools are filled.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

/// Duration of the load on each path.
const LOAD_WINDOW: Duration = Duration::from_secs(4);

/// Address and credentials with which the clients connect.
#[derive(Debug, Clone, Copy)]
struct Path<'a> {
    name: &'static str,
    port: u16,
    user: &'a str,
    password: &'a str,
}

/// Measures reads and writes on each path with each number of clients in `points`, and prints the rows.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(&single_home(1, 1), "")?;
    let [home, entry] = fleet.instances() else { return Err("two instances are expected".into()) };
    let member = fleet.member(&format!("{DATABASE}-1")).ok_or("the member has no address")?;
    let key = fleet.keys()[0].as_str();
    thread::sleep(WARM_UP_TIME);
    let paths = [
        Path { name: "direct", port: member.port(), user: "proxy", password: "proxy" },
        Path { name: "one hop", port: home.listen, user: "club-grande", password: key },
        Path { name: "two hops", port: entry.listen, user: "club-grande", password: key },
    ];
    create_table(paths[0], points.iter().copied().max().unwrap_or(1))?;
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
                let count = run_clients(path, *clients, write)?;
                let seconds = start.elapsed().as_secs_f64();
                let after = (Usage::of(home.id())?, Usage::of(entry.id())?);
                let cpu_us = |before: Usage, after: Usage| (after.cpu - before.cpu) * 1e6 / count;
                let home_us = cpu_us(before.0, after.0);
                let entry_us = cpu_us(before.1, after.1);
                let rate = count / seconds;
                if path.name == "direct" {
                    direct = rate;
                }
                println!(
                    "| {} | {clients} | {} | {rate:.0} | {:.2} | {:.0} | {entry_us:.0} | {home_us:.0} | {} |",
                    if write { "write" } else { "read" },
                    path.name,
                    rate / direct,
                    f64::from(u32::try_from(*clients)?) * 1e6 / rate,
                    per_core(path, home_us + entry_us),
                );
            }
        }
    }
    Ok(())
}

/// Statements per second of processor time of the instances, from the processor time in microseconds per statement;
/// a direct connection uses no instance.
fn per_core(path: Path<'_>, cpu_us: f64) -> String {
    if path.name == "direct" { "-".to_owned() } else { format!("{:.0}", 1e6 / cpu_us) }
}

/// Creates a table with a row for each client.
fn create_table(path: Path<'_>, rows: usize) -> Result<(), Box<dyn Error>> {
    let mut client = Client::connect(path.port, path.user, DATABASE, path.password)?;
    client.query("CREATE TABLE capacity (id INTEGER PRIMARY KEY, value INTEGER)")?;
    for id in 0..rows {
        client.query(&format!("INSERT INTO capacity VALUES ({id}, 0)"))?;
    }
    Ok(())
}

/// Runs statements on `clients` concurrent connections for [`LOAD_WINDOW`] and returns the number of statements.
fn run_clients(path: Path<'_>, clients: usize, write: bool) -> Result<f64, Box<dyn Error>> {
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
    thread::sleep(LOAD_WINDOW);
    stop.store(true, Ordering::Relaxed);
    let mut count = 0;
    for thread in threads {
        count += thread.join().map_err(|_| "a client panicked")??;
    }
    Ok(f64::from(count))
}
