//! The store turns a few machines away and serves the others, while the operator takes a key away.

use std::{
    collections::BTreeSet,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::Site,
    member::Shape,
    platform::{config, database, key, Platform},
    proxy::Proxy,
    record::Record,
    requester::Session,
    Verdict,
};

/// Machines of the deployment; the first ones are the strongest, two in each region, as machines differ in size on the sheets
/// of the grown deployments (0.12 to 0.5 cores).
const GATEWAYS: usize = 14;
const CPU_SHARES: [f64; 7] = [0.5, 0.5, 0.5, 0.12, 0.5, 0.12, 0.12];
/// Machines that the store turns away, a smaller share than the largest of the site file (0.35).
const TURNED_AWAY: [usize; 4] = [0, 1, 2, 4];
/// How long it turns them away; the longest time of the site file.
const AWAY: Duration = Duration::from_secs(9);
/// Time before the disruption, longer than `bounds.stable_window_ms` (6,000).
const CALM: Duration = Duration::from_secs(15);
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// `bounds.config_apply_ms` of the site.
const APPLY: Duration = Duration::from_millis(6000);
/// Time after the bound at which the first request is sent.
const MARGIN: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(6);
const TENANT: usize = 3;
/// Longest look at how the change arrives afterwards.
const AFTERWARDS: Duration = Duration::from_secs(20);

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let shape = Shape { slots: 2, connections: 32, work: Duration::from_millis(5) };
    let site = Site { memory_mb: 260, cpu_shares: &CPU_SHARES };
    let proxy = Proxy::default();
    let started =
        Platform::start_behind(GATEWAYS, shape, site, repository, record, &proxy, &TURNED_AWAY);
    let platform = match started {
        Ok(platform) => platform,
        Err(reason) => return Verdict::NotRun(reason),
    };
    thread::sleep(CALM);
    // Machines that the store never turns away, and whose links are never disturbed.
    let others: Vec<_> = (0..GATEWAYS).filter(|number| !TURNED_AWAY.contains(number)).collect();
    let runs = |number: usize| {
        let address = platform.gateways[number].requesters;
        let session = Session::open(address, &database("ledger", 1), &key(TENANT), record);
        let answer = session.and_then(|mut session| session.query("WRITE card owner", LIMIT));
        answer.is_ok_and(|answer| answer.outcome.is_ok())
    };
    if !others.iter().all(|number| runs(*number)) {
        return Verdict::NotRun("the key does not work before it is taken away".into());
    }
    let began = Instant::now();
    if has_trouble {
        proxy.turn_away();
        for number in TURNED_AWAY {
            record.say(&format!("the store turns {} away", platform.gateways[number].name));
        }
    }
    thread::sleep(CHANGE_DELAY);
    platform.store.put("config", "main", config(9, &[TENANT]).as_bytes());
    let acknowledged = Instant::now();
    record.say("the store acknowledges version 9, without the key of the tenant");
    thread::sleep(APPLY + MARGIN);
    let mut late_runs = 0;
    let mut machines = BTreeSet::new();
    while began.elapsed() < AWAY {
        for number in &others {
            let sent = acknowledged.elapsed();
            if began.elapsed() < AWAY && runs(*number) {
                late_runs += 1;
                machines.insert(*number);
                record.line(&format!(
                    "{} runs a write with the key, sent {sent:?} after the acknowledgement",
                    platform.gateways[*number].name
                ));
            }
        }
        thread::sleep(PAUSE);
    }
    proxy.serve_again();
    record.say(&format!(
        "{late_runs} writes with the key ran later than config_apply_ms, at {} of the {} machines that the store serves",
        machines.len(),
        others.len()
    ));
    let until = Instant::now() + AFTERWARDS;
    while Instant::now() < until && others.iter().any(|number| runs(*number)) {
        thread::sleep(PAUSE);
    }
    record.say(&format!(
        "{:?} after the acknowledgement, the key works at some machine: {}",
        acknowledged.elapsed(),
        others.iter().any(|number| runs(*number))
    ));
    if late_runs > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
