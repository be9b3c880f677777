//! Pace of members, with real processes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, Scale, WORKSPACES};

use crate::fleet::{Fleet, open, process_log, save_logs};

/// Instances of a small fleet; each has eight connections to a member.
const INSTANCES: usize = 3;
/// Callers of each instance, which always have a request.
const CALLERS: usize = 8;
/// Statements that the overloaded member runs at once.
const MOST_RUNNING: usize = 5;

/// Writes of many callers to the primary for 3 s; returns how many were executed in the last second.
fn load(fleet: &Fleet) -> usize {
    let ended = AtomicBool::new(false);
    let began = Instant::now();
    thread::scope(|scope| {
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            for caller in 0..CALLERS {
                let ended = &ended;
                scope.spawn(move || {
                    let opened = open(gateway.callers, PRIMARY_DATABASE, WORKSPACES[0]);
                    let mut session = opened.expect("the session opens");
                    let mut count = 0;
                    while !ended.load(Ordering::SeqCst) {
                        count += 1;
                        session.query(&format!("{number}-{caller}-{count}"), "WRITE a 1").ok();
                    }
                });
            }
        }
        thread::sleep(Duration::from_secs(3));
        ended.store(true, Ordering::SeqCst);
    });
    let from = began + Duration::from_secs(2);
    let group = fleet.standin.lock_group();
    group.executed().iter().filter(|statement| statement.at >= from).count()
}

/// Rejections by an overloaded primary, and writes in one second, with these settings.
fn overload(settings: fn(usize) -> &'static str) -> (usize, usize) {
    let fleet = Fleet::start_configured(INSTANCES, false, Scale::default(), settings);
    fleet.standin.configure(9, [5000.0; 2], &[]);
    fleet.standin.lock_group().set_statement_time(Duration::from_millis(20));
    thread::sleep(Duration::from_secs(1));
    load(&fleet);
    let limited = |fleet: &Fleet| {
        let logs = fleet.gateways.iter().map(process_log);
        logs.filter(|log| log.contains("member_limited")).count()
    };
    let logs = save_logs(&fleet, "pace");
    assert_eq!(limited(&fleet), 0, "limited in steady service, logs in {logs}");
    fleet.standin.lock_group().set_most_running(0, MOST_RUNNING);
    let served = load(&fleet);
    let rejected = fleet.standin.lock_group().rejected(0);
    println!("{rejected} rejected, {served} served, {} limited, {logs}", limited(&fleet));
    (rejected, served)
}

/// Guards against holders that flood a member which rejects most of what comes, against a limit that leaves it idle, and against
/// a limit in steady service.
#[test]
fn overloaded_member_gets_what_it_can_serve() {
    let (rejected_without, served_without) = overload(|_| "hibiscusladder.pace=off\n");
    let (rejected, served) = overload(|_| "");
    assert!(rejected * 2 < rejected_without, "{rejected} of {rejected_without} rejections");
    assert!(served * 10 >= served_without * 7, "{served} of {served_without} writes");
}
