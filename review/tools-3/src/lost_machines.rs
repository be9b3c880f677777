//! All machines lose power, and a few of them are lost for good.

use std::{path::Path, thread, time::Duration};

use crate::{
    gateway::Site,
    member::Shape,
    platform::{tail, Platform},
    record::Record,
    traffic, Verdict,
};

/// Machines of the deployment; the first ones are the strongest, two in each region, as machines differ in size on the sheets
/// of the grown deployments (0.12 to 0.5 cores).
const GATEWAYS: usize = 14;
const CPU_SHARES: [f64; 7] = [0.5, 0.5, 0.5, 0.12, 0.5, 0.12, 0.12];
const STRONGEST: [usize; 4] = [0, 1, 2, 4];
const CALM: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(600);
/// `bounds.recovery_s` of the sheets of the grown deployments.
const RECOVERY: Duration = Duration::from_secs(15);
/// A second look, long after the first.
const LATER: Duration = Duration::from_secs(40);

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let shape = Shape { slots: 2, connections: 32, work: Duration::from_millis(5) };
    let site = Site { memory_mb: 260, cpu_shares: &CPU_SHARES };
    let mut platform = match Platform::start(GATEWAYS, shape, site, repository, record) {
        Ok(platform) => platform,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let before = traffic::run(&platform.addresses(), CALM, record);
    record.say(&format!("before the fault: {} of {} requests served", before.0, before.1));
    if before.0 * 4 < before.1 {
        return Verdict::NotRun("less than a quarter was served before the final fault".into());
    }
    record.say("all machines lose power");
    platform.gateways.iter_mut().for_each(|gateway| gateway.kill());
    thread::sleep(DOWN);
    if has_trouble {
        let mut number = 0;
        platform.gateways.retain(|gateway| {
            let is_lost = STRONGEST.contains(&number);
            number += 1;
            if is_lost {
                record.say(&format!("{} is lost for good", gateway.name));
            }
            !is_lost
        });
    }
    platform.gateways.iter_mut().for_each(|gateway| gateway.restart());
    record.say(&format!("{} machines are back", platform.gateways.len()));
    thread::sleep(RECOVERY);
    let after = traffic::run(&platform.addresses(), CALM, record);
    record.say(&format!("later than recovery_s: {} of {} requests served", after.0, after.1));
    for gateway in &platform.gateways {
        record.line(&format!("{} logs: {}", gateway.name, tail(&gateway.log())));
    }
    if after.0 * 4 >= after.1 {
        return Verdict::Held;
    }
    thread::sleep(LATER);
    let later = traffic::run(&platform.addresses(), CALM, record);
    record.say(&format!("a minute after the fault: {} of {} requests served", later.0, later.1));
    Verdict::Broken
}
