//! A key is taken away from a requester that has a transaction open.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::Site,
    member::Shape,
    platform::{config, database, key, Platform},
    record::Record,
    requester::Session,
    Verdict,
};

const GATEWAYS: usize = 3;
const TENANT: usize = 3;
/// `bounds.config_apply_ms` of the site.
const APPLY: Duration = Duration::from_millis(4000);
/// Pause between two statements; `tx_idle_ms` of the config is 3,000.
const PAUSE: Duration = Duration::from_millis(1500);
/// A transaction has 12 statements at most.
const STATEMENTS: usize = 6;
const LIMIT: Duration = Duration::from_secs(6);

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let shape = Shape { slots: 2, connections: 16, work: Duration::from_millis(5) };
    let platform = match Platform::start(
        GATEWAYS,
        shape,
        Site { memory_mb: 260, cpu_shares: &[0.25] },
        repository,
        record,
    ) {
        Ok(platform) => platform,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let address = platform.gateways[0].requesters;
    let opened = Session::open(address, &database("ledger", 1), &key(TENANT), record);
    let Ok(mut session) = opened else {
        return Verdict::NotRun("the session does not open".into());
    };
    for text in ["BEGIN", "WRITE card reserved"] {
        if !session.query(text, LIMIT).is_ok_and(|answer| answer.outcome.is_ok()) {
            return Verdict::NotRun(format!("{text} fails"));
        }
    }
    let withdrawn = if has_trouble { vec![TENANT] } else { Vec::new() };
    platform.store.put("config", "main", config(9, &withdrawn).as_bytes());
    let acknowledged = Instant::now();
    record.say(&format!("the store acknowledges version 9, without the keys of {withdrawn:?}"));
    let mut late_runs = 0;
    for number in 1..=STATEMENTS {
        thread::sleep(PAUSE);
        let text = if number == STATEMENTS {
            "COMMIT".to_owned()
        } else {
            format!("WRITE card owner{number}")
        };
        let since = acknowledged.elapsed();
        let answer = session.query(&text, LIMIT);
        record.say(&format!(
            "{text}, sent {since:?} after the acknowledgement: {:?}",
            answer.as_ref().map(|answer| &answer.outcome)
        ));
        let is_run = answer.as_ref().is_ok_and(|answer| answer.outcome.is_ok());
        late_runs += usize::from(is_run && since > APPLY);
        if !is_run {
            break;
        }
    }
    let fresh = Session::open(address, &database("ledger", 1), &key(TENANT), record);
    let fresh = fresh.and_then(|mut session| session.query("READ card", LIMIT));
    record.say(&format!("a new session with the key: {:?}", fresh.map(|answer| answer.outcome)));
    if has_trouble && late_runs > 0 {
        record.say(&format!("{late_runs} statements with a key that the config lacks ran later than config_apply_ms"));
        return Verdict::Broken;
    }
    Verdict::Held
}
