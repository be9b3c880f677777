//! Entries of another writer that fill a page of the list of members, and a restart of all processes.

use std::{path::Path, thread, time::Duration};

use crate::{
    gateway::Site,
    member::Shape,
    platform::{tail, Platform},
    record::Record,
    traffic, Verdict,
};

const GATEWAYS: usize = 8;
const CALM: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(600);
/// `bounds.recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Two such entries do not fit into a page of 1 MB. The largest value of the store is 1,048,576 bytes.
const ENTRY_BYTES: usize = 600_000;

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let shape = Shape { slots: 2, connections: 16, work: Duration::from_millis(5) };
    let site = Site { memory_mb: 260, cpu_shares: &[0.25] };
    let mut platform = match Platform::start(GATEWAYS, shape, site, repository, record) {
        Ok(platform) => platform,
        Err(reason) => return Verdict::NotRun(reason),
    };
    if has_trouble {
        // Text in another encoding than UTF-8, under a name that sorts before those of the members.
        let mut spec = b"{\"owner\":\"respaldo\",\"notes\":\"".to_vec();
        while spec.len() < ENTRY_BYTES {
            spec.extend_from_slice(b"colecci\xf3n de l\xe1minas, ");
        }
        spec.extend_from_slice(b"\"}");
        for name in ["backup-report-1", "backup-report-2"] {
            record.say(&format!(
                "another writer writes the entry servers/{name}, {} bytes",
                spec.len()
            ));
            platform.store.put("servers", name, &spec);
        }
    }
    thread::sleep(Duration::from_millis(500));
    let before = traffic::run(&platform.addresses(), CALM, record);
    record.say(&format!("before the restart: {} of {} requests served", before.0, before.1));
    if before.0 * 4 < before.1 {
        return Verdict::NotRun("less than a quarter was served before the final fault".into());
    }
    record.say("all processes are killed");
    platform.gateways.iter_mut().for_each(|gateway| gateway.kill());
    thread::sleep(DOWN);
    platform.gateways.iter_mut().for_each(|gateway| gateway.restart());
    record.say("all processes are started again");
    thread::sleep(RECOVERY);
    let after = traffic::run(&platform.addresses(), CALM, record);
    record.say(&format!(
        "later than recovery_s after the restart: {} of {} requests served",
        after.0, after.1
    ));
    for gateway in &platform.gateways {
        record.line(&format!("{} logs: {}", gateway.name, tail(&gateway.log())));
    }
    if after.0 * 4 < after.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
