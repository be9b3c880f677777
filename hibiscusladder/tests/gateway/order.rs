//! Order of requests that wait for the same connections, and refusals, with real processes.

use std::{
    io,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, PRIMARY_DATABASE, Scale, StoreFault, WORKSPACES,
};

use crate::fleet::{Fleet, open, process_log, query_once, save_logs};

/// Instances of a small fleet; each has eight connections to a member.
const INSTANCES: usize = 3;
/// Longest time from an answer until its line is in the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Callers of the less urgent database, which always have a request.
const CALLERS: usize = 80;
/// Execution time of a statement. The callers wait for about ten of them.
const STATEMENT_TIME: Duration = Duration::from_millis(60);
/// Urgent requests that are measured.
const MEASURED: usize = 25;

/// Mean time of urgent writes beside many less urgent ones of the same instance and workspace.
fn urgent_time(settings: fn(usize) -> &'static str) -> Duration {
    let fleet = Fleet::start_configured(INSTANCES, false, Scale::default(), settings);
    fleet.standin.set_priority(PRIMARY_DATABASE, 0);
    fleet.standin.set_priority(BOUNDED_DATABASE, 2);
    fleet.standin.configure(9, [2000.0; 2], &[]);
    thread::sleep(Duration::from_secs(2));
    fleet.standin.lock_group().set_statement_time(STATEMENT_TIME);
    let address = fleet.gateways[0].callers;
    let ended = AtomicBool::new(false);
    let times: Vec<Duration> = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let ended = &ended;
            scope.spawn(move || {
                let mut session =
                    open(address, BOUNDED_DATABASE, WORKSPACES[0]).expect("the session opens");
                let mut number = 0;
                while !ended.load(Ordering::SeqCst) {
                    number += 1;
                    // Some are refused, because there are too many.
                    let id = format!("low-{caller}-{number}");
                    if session.query(&id, "WRITE low 1").is_err() {
                        return;
                    }
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        let mut session =
            open(address, PRIMARY_DATABASE, WORKSPACES[0]).expect("the session opens");
        let measured = (0..MEASURED).map(|number| {
            let began = Instant::now();
            // Without priorities, some are refused after seconds.
            session.query(&format!("urgent-{number}"), "WRITE urgent 1").map(|_| began.elapsed())
        });
        let measured = measured.collect::<io::Result<Vec<_>>>();
        // The callers end before a failure is reported.
        ended.store(true, Ordering::SeqCst);
        measured.expect("answers")
    });
    println!("{times:?}, logs in {}", save_logs(&fleet, "urgent"));
    times.iter().sum::<Duration>() / u32::try_from(MEASURED).expect("a small number")
}

/// Guards against urgent requests that wait for all less urgent ones that came before them.
#[test]
fn urgent_requests_go_first() {
    let off = urgent_time(|_| "hibiscusladder.priorities=off\n");
    let on = urgent_time(|_| "");
    assert!(on * 2 < off, "{on:?} with priorities, {off:?} without");
}

/// Guards against instances of this version that do not serve callers through holders of an earlier version, and the other way
/// round. An instance without priorities sends and reads the messages of an earlier version.
#[test]
fn holders_and_callers_of_both_versions_work_together() {
    /// Enough for a fleet in which two instances hold the connections to a member.
    const MANY: usize = 14;
    let settings = |number: usize| {
        if number.is_multiple_of(2) { "hibiscusladder.priorities=off\n" } else { "" }
    };
    let fleet = Fleet::start_configured(MANY, false, Scale::default(), settings);
    for (instance, gateway) in fleet.gateways.iter().enumerate() {
        for workspace in WORKSPACES {
            let mut session =
                open(gateway.callers, PRIMARY_DATABASE, workspace).expect("the session opens");
            for (number, text) in
                ["WRITE a 1", "READ a", "BEGIN", "WRITE a 2", "COMMIT"].iter().enumerate()
            {
                let answer = session.query(&format!("{instance}-{workspace}-{number}"), text);
                let code = answer.expect("an answer").code().map(str::to_owned);
                assert_eq!(code, None, "{text}, logs in {}", save_logs(&fleet, "versions"));
            }
        }
    }
}

/// Guards against callers of an instance without a configuration that all return at the same time, or after a constant time.
#[test]
fn refused_callers_get_different_times() {
    let mut fleet = Fleet::start(1);
    fleet.standin.set_store_fault(StoreFault::Unresponsive);
    fleet.gateways[0].process.kill().expect("the process was started here");
    fleet.restart(0);
    let address = fleet.gateways[0].callers;
    let refused = |number: usize| {
        let error =
            query_once(address, PRIMARY_DATABASE, WORKSPACES[0], &format!("q{number}"), "READ a");
        let text = error.expect_err("there is no configuration").to_string();
        let time = text.split("try again in ").nth(1).and_then(|rest| rest.strip_suffix(" ms"));
        time.and_then(|time| time.parse::<u64>().ok()).unwrap_or_else(|| panic!("{text}"))
    };
    let mut times: Vec<u64> = thread::scope(|scope| {
        let callers: Vec<_> = (0..5).map(|number| scope.spawn(move || refused(number))).collect();
        callers.into_iter().map(|caller| caller.join().expect("a refusal")).collect()
    });
    times.sort_unstable();
    times.dedup();
    assert!(times.len() >= 4, "{times:?}");
    assert!(times.iter().all(|time| (200..=4000).contains(time)), "{times:?}");
    // A thread of its own writes the log, so a line may come after the answer.
    let until = Instant::now() + LOG_TIMEOUT;
    while !process_log(&fleet.gateways[0]).contains("request_refused") {
        assert!(Instant::now() < until, "no line in the log");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against writes that wait for a connection to a silent primary, and stay there when another one was promoted.
#[test]
fn waiting_writes_follow_the_primary() {
    /// Connections of an instance to a member.
    const CONNECTIONS: usize = 8;
    /// Writes would wait three quarters of it at the former primary.
    const TIMEOUT: Duration = Duration::from_secs(20);
    const FAILOVER_TIMEOUT: Duration = Duration::from_secs(12);
    let fleet = Fleet::start(INSTANCES);
    fleet.standin.set_statement_timeout(TIMEOUT);
    fleet.standin.configure(9, [2000.0; 2], &[]);
    fleet.standin.lock_group().set_statement_time(Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    let address = fleet.gateways[0].callers;
    let write = |id: String| {
        let began = Instant::now();
        let answer = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], &id, "WRITE a 1");
        answer.is_ok_and(|reply| reply.outcome.is_ok()) && began.elapsed() < FAILOVER_TIMEOUT
    };
    let write_all = |name: &str| -> usize {
        thread::scope(|scope| {
            let writers: Vec<_> = (0..2 * CONNECTIONS)
                .map(|number| scope.spawn(move || write(format!("{name}-{number}"))))
                .collect();
            writers.into_iter().filter_map(|writer| writer.join().ok()).filter(|ok| *ok).count()
        })
    };
    // Opens the connections, which keep the slots when the primary is silent.
    assert_eq!(write_all("open"), 2 * CONNECTIONS);
    fleet.member_proxies[0].change(|faults| faults.blackhole = true);
    let served = write_all("wait");
    assert!(served >= CONNECTIONS, "{served}, logs in {}", save_logs(&fleet, "follow"));
}

/// Guards against transactions that keep all connections of an instance during the pauses of their callers.
#[test]
fn open_transactions_leave_connections_to_others() {
    /// More than the connections of an instance to a member.
    const TRANSACTIONS: usize = 12;
    /// Shorter than the time after which an idle transaction is ended.
    const PAUSE: Duration = Duration::from_millis(2500);
    let fleet = Fleet::start(INSTANCES);
    let address = fleet.gateways[0].callers;
    let times: Vec<io::Result<Duration>> = thread::scope(|scope| {
        for number in 0..TRANSACTIONS {
            scope.spawn(move || {
                let mut session =
                    open(address, PRIMARY_DATABASE, WORKSPACES[0]).expect("the session opens");
                // Some have to wait, and are refused in the end.
                session.query(&format!("b{number}"), "BEGIN").ok();
                session.query(&format!("t{number}"), "WRITE a 1").ok();
                thread::sleep(PAUSE);
            });
        }
        thread::sleep(Duration::from_millis(700));
        let single = |number| {
            let began = Instant::now();
            let id = format!("single-{number}");
            let answer = query_once(address, PRIMARY_DATABASE, WORKSPACES[1], &id, "WRITE b 1")?;
            answer.outcome.map_err(|(code, _)| io::Error::other(code))?;
            Ok(began.elapsed())
        };
        (0..3).map(single).collect()
    });
    let is_quick = |time: &io::Result<Duration>| {
        time.as_ref().is_ok_and(|time| *time < Duration::from_millis(500))
    };
    let logs = save_logs(&fleet, "transactions");
    assert!(times.iter().all(is_quick), "{times:?}, logs in {logs}");
}
