//! Crowds of requesters with large values in their sessions, who begin a transaction, set one more value, and read.
//!
//! The stand-in for the platform ends a process that exceeds its memory, and starts it again after a short delay.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, Site},
    member::Shape,
    platform::{database, key, Platform, TENANTS},
    record::Record,
    requester::Session,
    Verdict,
};

const GATEWAYS: usize = 8;
/// Instances that have a crowd.
const TARGETS: usize = 2;
const CROWD: usize = 62;
/// Values of a session, and their size; a message with one is a quarter of the longest.
const VALUES: usize = 8;
const VALUE_BYTES: usize = 250_000;
const MAX_ROUNDS: usize = 5;
/// Ends of processes on each of two machines that make a day count 0.
const ENDS: u64 = 3;
/// Parts of a round: the values are set, the transactions begin, all read, and the sessions end.
const BEGIN_AT: Duration = Duration::from_secs(5);
const READ_AT: Duration = Duration::from_millis(5800);
const LEAVE_AT: Duration = Duration::from_millis(7500);
const ROUND: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(5);
/// `limits.memory_mb` of the site.
const MEMORY_MB: usize = 260;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let shape = Shape { slots: 2, connections: 16, work: Duration::from_millis(15) };
    let started = Platform::start(
        GATEWAYS,
        shape,
        Site { memory_mb: MEMORY_MB, cpu_shares: &[0.25] },
        repository,
        record,
    );
    let mut platform = match started {
        Ok(platform) => platform,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let value = Arc::new("x".repeat(if has_trouble { VALUE_BYTES } else { 10 }));
    let mut ends = [0; TARGETS];
    for round in 1..=MAX_ROUNDS {
        let began = Instant::now();
        let prepared = Arc::new(AtomicU64::new(0));
        let mut crowd = Vec::new();
        for gateway in &platform.gateways[..TARGETS] {
            for number in 0..CROWD {
                let (address, value, record) = (gateway.requesters, value.clone(), record.clone());
                let prepared = prepared.clone();
                let name = (database("album", 1 + number % 3), key(1 + number % TENANTS));
                crowd.push(thread::spawn(move || {
                    let Ok(mut session) = Session::open(address, &name.0, &name.1, &record) else {
                        return;
                    };
                    // An error ends the session of this requester only.
                    visit(&mut session, &value, began, &prepared);
                }));
            }
        }
        let mut peaks = [0; TARGETS];
        let mut restarts: [Option<Instant>; TARGETS] = [None; TARGETS];
        while began.elapsed() < ROUND {
            thread::sleep(CHECK_INTERVAL);
            for target in 0..TARGETS {
                watch(
                    &mut platform.gateways[target],
                    &mut restarts[target],
                    &mut peaks[target],
                    &mut ends[target],
                    record,
                );
            }
        }
        crowd.into_iter().for_each(|requester| drop(requester.join()));
        let prepared = prepared.load(Ordering::Relaxed);
        record.say(&format!(
            "round {round}: {prepared} of {} sessions had their values; peaks {peaks:?} MiB; ends so far {ends:?}",
            CROWD * TARGETS
        ));
        if ends.iter().all(|ends| *ends >= ENDS) {
            break;
        }
    }
    let serves = platform.wait_until_serving();
    record.say(&format!("afterwards the instances serve: {serves:?}"));
    if ends.iter().all(|ends| *ends >= ENDS) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// What one requester does in a round.
fn visit(session: &mut Session, value: &str, began: Instant, prepared: &AtomicU64) -> Option<()> {
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    let mut run =
        |text: &str| session.query(text, LIMIT).ok().filter(|answer| answer.outcome.is_ok());
    for name in 0..VALUES {
        run(&format!("SET v{name} {value}"))?;
    }
    prepared.fetch_add(1, Ordering::Relaxed);
    wait_until(BEGIN_AT);
    run("BEGIN READ")?;
    run("SET purpose review")?;
    wait_until(READ_AT);
    run("READ card")?;
    wait_until(LEAVE_AT);
    run("ROLLBACK")?;
    Some(())
}

/// Ends a process that exceeds its memory, or notices that it has ended, and starts it again after a short delay.
fn watch(
    gateway: &mut Gateway,
    restart: &mut Option<Instant>,
    peak: &mut u64,
    ends: &mut u64,
    record: &Record,
) {
    if let Some(at) = *restart {
        if Instant::now() >= at {
            *restart = None;
            gateway.restart();
        }
        return;
    }
    let resident = gateway.memory_kb().0 / 1024;
    *peak = (*peak).max(resident);
    let exceeds = resident > MEMORY_MB as u64;
    if exceeds || gateway.has_ended() {
        *ends += 1;
        record.say(&format!(
            "{} holds {resident} MiB of {MEMORY_MB}: the platform ends it",
            gateway.name
        ));
        gateway.kill();
        *restart = Some(Instant::now() + RESTART_DELAY);
    }
}
