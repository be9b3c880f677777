//! Traffic of the sheet's kinds, with retries as PROTOCOL.md allows them.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    platform::{database, key, TENANTS},
    record::Record,
    requester::Session,
};

const REQUESTERS: usize = 24;
/// Time limit and retries of `swap-ledger` and `wishlist-sync`.
const TIME_LIMIT: Duration = Duration::from_secs(6);
const TRIES: usize = 3;

/// Runs requesters for `time`; returns how many operations were served, and how many were sent.
pub fn run(addresses: &[SocketAddr], time: Duration, record: &Record) -> (u64, u64) {
    let until = Instant::now() + time;
    let counts = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let requesters = (0..REQUESTERS).map(|number| {
        let (counts, addresses, record) = (counts.clone(), addresses.to_vec(), record.clone());
        thread::spawn(move || {
            let mut round = 0;
            while Instant::now() < until {
                round += 1;
                let group = 1 + (number + round) % 3;
                let (kind, text) = match (number + round) % 4 {
                    0 => ("ledger", format!("WRITE item{number} v{round}")),
                    1 => ("album", format!("READ item{number}")),
                    _ => ("wishlist", format!("READ item{number}")),
                };
                counts.1.fetch_add(1, Ordering::Relaxed);
                let started = Instant::now();
                for attempt in 0..TRIES {
                    let left = TIME_LIMIT.saturating_sub(started.elapsed());
                    if left.is_zero() {
                        break;
                    }
                    // Retries reach other nodes.
                    let address = addresses[(number + round + attempt * 3) % addresses.len()];
                    let session = Session::open(
                        address,
                        &database(kind, group),
                        &key(1 + number % TENANTS),
                        &record,
                    );
                    let answer = session.and_then(|mut session| session.query(&text, left));
                    let is_write = text.starts_with("WRITE");
                    match answer {
                        Ok(answer) if answer.outcome.is_ok() => {
                            counts.0.fetch_add(1, Ordering::Relaxed);
                            break;
                        }
                        // A write whose outcome is unknown is not sent again.
                        Ok(answer) if is_write && !is_promise(&answer.outcome) => break,
                        Err(_) if is_write => break,
                        _ => thread::sleep(Duration::from_millis(50)),
                    }
                }
                thread::sleep(Duration::from_millis(200));
            }
        })
    });
    let requesters: Vec<_> = requesters.collect();
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    (counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed))
}

/// Whether the outcome promises that nothing is kept.
fn is_promise(outcome: &Result<String, String>) -> bool {
    let promises = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];
    outcome.as_ref().err().is_some_and(|error| promises.iter().any(|code| error.starts_with(code)))
}
