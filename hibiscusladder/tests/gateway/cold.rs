//! Requests to cold members, with real processes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, MEMBERS, PRIMARY_DATABASE, Scale, WORKSPACES,
};

use crate::fleet::{Fleet, open, query_once, save_logs};

/// Requests per second that a cold member may get.
const COLD_RATE: f64 = 12.0;
/// Requests that a cold member may get in any second, with the default margins of 1.5 and 5.
const ALLOWANCE: usize = 23;
/// Time for which members report that they are cold.
const COLD_TIME: Duration = Duration::from_secs(6);
/// Time after which all instances have read an entry.
const ENTRY_TIME: Duration = Duration::from_secs(1);

/// Largest number of `times` within any second.
fn busiest_second(times: &[Instant]) -> usize {
    let within = |(number, from): (usize, &Instant)| {
        let later = times[number..].iter();
        later.take_while(|time| **time - *from <= Duration::from_secs(1)).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Requests of several callers of each instance for some time, to the primary, in transactions and single.
fn load(fleet: &Fleet, time: Duration) {
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            for workspace in WORKSPACES {
                let ended = &ended;
                scope.spawn(move || {
                    let opened = open(gateway.callers, PRIMARY_DATABASE, workspace);
                    let mut session = opened.expect("the session opens");
                    let mut count = 0;
                    while !ended.load(Ordering::SeqCst) {
                        for text in ["WRITE a 1", "BEGIN", "WRITE a 2", "READ a", "COMMIT"] {
                            count += 1;
                            // Some are refused, because a cold member gets few.
                            session.query(&format!("{number}-{workspace}-{count}"), text).ok();
                        }
                    }
                });
            }
        }
        thread::sleep(time);
        ended.store(true, Ordering::SeqCst);
    });
}

fn arrivals_since(fleet: &Fleet, member: usize, from: Instant) -> Vec<Instant> {
    let group = fleet.standin.lock_group();
    group.arrivals(member).iter().filter(|time| **time >= from).copied().collect()
}

/// Guards against instances that together send a cold member more than its allowance, and against a member that stays
/// limited when it is warm. The same load without a limit shows that the limit is what holds it back.
fn cold_primary_gets_its_allowance_in(instances: usize) {
    let fleet = Fleet::start_configured(instances, false, Scale::default(), |_| "");
    fleet.standin.set_cold_rate(COLD_RATE);
    fleet.standin.configure(9, [2000.0; 2], &[]);
    fleet.standin.lock_group().set_cold(0, COLD_TIME);
    thread::sleep(ENTRY_TIME);
    let began = Instant::now();
    load(&fleet, COLD_TIME - ENTRY_TIME * 2);
    let mut cold = arrivals_since(&fleet, 0, began);
    // Requests that wait when the load ends run when the member is warm.
    cold.retain(|time| time.duration_since(began) < COLD_TIME - ENTRY_TIME * 2);
    let logs = save_logs(&fleet, "cold");
    let busiest = busiest_second(&cold);
    assert!(busiest <= ALLOWANCE, "{busiest} requests in one second, logs in {logs}");
    assert!(cold.len() >= 20, "{} requests while it was cold, logs in {logs}", cold.len());
    // The last requests of the callers end, and the entry shows that the member is warm.
    thread::sleep(ENTRY_TIME * 3);
    let warm = Instant::now();
    load(&fleet, Duration::from_secs(2));
    let busiest = busiest_second(&arrivals_since(&fleet, 0, warm));
    assert!(busiest > 2 * ALLOWANCE, "{busiest} requests in one second, logs in {logs}");
}

#[test]
fn cold_primary_gets_its_allowance() {
    cold_primary_gets_its_allowance_in(3);
}

/// As [`cold_primary_gets_its_allowance`], through holders, which learn from hubs which members are cold.
#[test]
fn cold_primary_gets_its_allowance_from_holders() {
    cold_primary_gets_its_allowance_in(14);
}

/// Guards against reads that go to a cold member while others are warm.
#[test]
fn reads_prefer_warm_members() {
    const READS: usize = 60;
    let fleet = Fleet::start(2);
    fleet.standin.set_cold_rate(COLD_RATE);
    fleet.standin.configure(9, [2000.0; 2], &[]);
    fleet.standin.lock_group().set_cold(1, COLD_TIME);
    thread::sleep(ENTRY_TIME);
    let began = Instant::now();
    for number in 0..READS {
        let address = fleet.gateways[number % 2].callers;
        let id = format!("r{number}");
        let reply = query_once(address, BOUNDED_DATABASE, WORKSPACES[0], &id, "READ a");
        assert_eq!(reply.expect("an answer").code(), None);
    }
    let counts: Vec<usize> =
        (0..MEMBERS).map(|member| arrivals_since(&fleet, member, began).len()).collect();
    let logs = save_logs(&fleet, "cold-reads");
    assert!(began.elapsed() < COLD_TIME - ENTRY_TIME, "the member was still cold");
    assert_eq!(counts[1], 0, "{counts:?}, logs in {logs}");
}
