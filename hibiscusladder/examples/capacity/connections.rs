//! Memory and processor time of an instance by the number of idle client connections.

use std::{error::Error, thread, time::Duration};

use crate::{
    deployments::{DATABASE, single_home},
    support::fleet::Fleet,
    usage::{Usage, fit_line},
    wire::Client,
};

/// Time until a new instance uses its shares and its connection pools are filled.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

/// Duration over which processor time is measured.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(8);

/// Measures with each number of clients in `points`, which must grow, and prints a row for each and the fitted lines.
pub(crate) fn measure(points: &[usize]) -> Result<(), Box<dyn Error>> {
    let deployment = single_home(3, 0);
    let fleet = Fleet::start(&deployment, "")?;
    let instance = &fleet.instances()[0];
    let key = &fleet.keys()[0];
    thread::sleep(WARM_UP_TIME);
    println!("| connections | resident KiB | after a statement each KiB | idle CPU % of a core |");
    println!("|---|---|---|---|");
    let mut clients: Vec<Client> = Vec::new();
    let (mut memory, mut memory_after_statement, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for point in points {
        let mut new_clients = Vec::new();
        while clients.len() + new_clients.len() < *point {
            new_clients.push(Client::connect(instance.listen, "club-grande", DATABASE, key)?);
        }
        let before = Usage::of(instance.id())?;
        thread::sleep(MEASUREMENT_WINDOW);
        let idle = Usage::of(instance.id())?;
        for client in &mut new_clients {
            client.query("SELECT 1")?;
        }
        clients.append(&mut new_clients);
        thread::sleep(Duration::from_secs(1));
        let after = Usage::of(instance.id())?;
        let cpu_percent = (idle.cpu - before.cpu) / MEASUREMENT_WINDOW.as_secs_f64() * 100.0;
        println!("| {point} | {:.0} | {:.0} | {cpu_percent:.2} |", idle.rss_kib, after.rss_kib);
        let x = f64::from(u32::try_from(*point)?);
        memory.push((x, idle.rss_kib));
        memory_after_statement.push((x, after.rss_kib));
        cpu.push((x, cpu_percent));
    }
    for (name, points) in [
        ("resident KiB", memory),
        ("after a statement KiB", memory_after_statement),
        ("CPU %", cpu),
    ] {
        let (slope, intercept) = fit_line(&points);
        println!("{name}: {intercept:.2} + {slope:.5} for each connection");
    }
    Ok(())
}
