//! Memory and processor time of an instance against idle client connections.

use std::{error::Error, thread, time::Duration};

use crate::{
    deployments::{DATABASE, local},
    support::fleet::Fleet,
    usage::{Usage, line},
    wire::Client,
};

/// Time for a new instance to use its shares and for its pools to fill.
const SETTLE: Duration = Duration::from_secs(10);

/// Time over which processor time is read.
const WINDOW: Duration = Duration::from_secs(8);

/// Connects up to each of `points` clients and prints a row for it.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    let deployment = local(3, 0);
    let fleet = Fleet::start(&deployment, "")?;
    let instance = &fleet.instances()[0];
    let key = &fleet.keys()[0];
    thread::sleep(SETTLE);
    println!("| connections | resident KiB | after a statement each KiB | idle CPU % of a core |");
    println!("|---|---|---|---|");
    let mut clients: Vec<Client> = Vec::new();
    let (mut memory, mut used, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for point in points {
        let mut fresh = Vec::new();
        while clients.len() + fresh.len() < *point {
            fresh.push(Client::connect(instance.listen, "club-grande", DATABASE, key)?);
        }
        let before = Usage::of(instance.id())?;
        thread::sleep(WINDOW);
        let idle = Usage::of(instance.id())?;
        for client in &mut fresh {
            client.query("SELECT 1")?;
        }
        clients.append(&mut fresh);
        thread::sleep(Duration::from_secs(1));
        let after = Usage::of(instance.id())?;
        let share = (idle.cpu - before.cpu) / WINDOW.as_secs_f64() * 100.0;
        println!("| {point} | {:.0} | {:.0} | {share:.2} |", idle.rss_kib, after.rss_kib);
        let x = f64::from(u32::try_from(*point)?);
        memory.push((x, idle.rss_kib));
        used.push((x, after.rss_kib));
        cpu.push((x, share));
    }
    for (name, points) in
        [("resident KiB", memory), ("after a statement KiB", used), ("CPU %", cpu)]
    {
        let (slope, start) = line(&points);
        println!("{name}: {start:.2} + {slope:.5} for each connection");
    }
    Ok(())
}
