//! Evacuation of data centres, with real processes.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, MEMBERS, PRIMARY_DATABASE, Scale, StoreFault, WORKSPACES,
};
use hibiscusladder_testkit::fault_proxy::Faults;
use test_case::test_case;

use crate::fleet::{Fleet, open, process_log, query_once, save_logs};

const WORKSPACE: &str = WORKSPACES[0];
/// Time after which no statement may reach an evacuated member (`bounds.evacuate_ms` of the settings here).
const BOUND: Duration = Duration::from_millis(5000);
/// Time for which callers go on after the bound.
const AFTER_BOUND: Duration = Duration::from_millis(1000);
/// Longest time to a refusal that is known at once.
const AT_ONCE: Duration = Duration::from_millis(400);
/// Time within which an instance has to see a withdrawal, or to serve after a start.
const TIMEOUT: Duration = Duration::from_secs(12);

const fn settings(_: usize) -> &'static str {
    "bounds.evacuate_ms=5000\nbounds.drain_ms=2000\nzones.east=region\n"
}

fn start(instances: usize) -> Fleet {
    let fleet = Fleet::start_configured(instances, false, Scale::default(), settings);
    fleet.standin.configure(9, [2000.0; 2], &[]);
    fleet
}

/// As [`start`], with a member in each of `north`, `south` and `east`.
fn start_in_three(instances: usize) -> Fleet {
    let fleet = start(instances);
    fleet.standin.lock_group().set_zone(2, "east");
    fleet.standin.publish_entry(2, false);
    thread::sleep(Duration::from_millis(500));
    fleet
}

/// Reads and writes through all instances until `until`; returns the codes of failed requests.
fn run_callers(fleet: &Fleet, name: &str, until: Instant) -> Vec<String> {
    let run = |instance: usize, database: &str, text: &str| {
        let mut failures = Vec::new();
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let id = format!("{name}-{instance}-{database}-{number}");
            let answer =
                query_once(fleet.gateways[instance].callers, database, WORKSPACE, &id, text);
            match answer {
                Ok(reply) => failures.extend(reply.code().map(|code| format!("{id} {code}"))),
                Err(error) => failures.push(format!("{id} {error}")),
            }
            thread::sleep(Duration::from_millis(10));
        }
        failures
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..fleet.gateways.len())
            .flat_map(|instance| {
                let run = &run;
                [
                    scope.spawn(move || run(instance, BOUNDED_DATABASE, "READ a")),
                    scope.spawn(move || run(instance, PRIMARY_DATABASE, "WRITE a 1")),
                ]
            })
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

/// Ids of the statements that members executed after `since`.
fn executed_after(fleet: &Fleet, members: &[usize], since: Instant) -> Vec<String> {
    let group = fleet.standin.lock_group();
    let executed = group.executed().iter();
    let late = executed.filter(|run| members.contains(&run.member) && run.at > since);
    late.map(|run| format!("{} at {}", run.id, run.member)).collect()
}

fn wait_until<F>(what: &str, fleet: &Fleet, condition: F)
where
    F: Fn() -> bool,
{
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "{what}, logs in {}", save_logs(fleet, "evacuation"));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against requests that fail because a data centre is evacuated.
#[test_case(2, "north"; "primary")]
#[test_case(2, "south"; "replicas")]
#[test_case(14, "north"; "primary of a large fleet")]
fn evacuation_fails_no_request(instances: usize, zone: &str) {
    let fleet = start(instances);
    let began = Instant::now();
    fleet.standin.evacuate(zone);
    let failures = run_callers(&fleet, "served", began + BOUND + AFTER_BOUND);
    assert!(failures.is_empty(), "{failures:?}, logs in {}", save_logs(&fleet, "served"));
}

/// Guards against statements that reach evacuated members after the bound, and members that are not used after the end of the
/// evacuation. In the large fleet most instances learn of it from hubs.
#[test_case(2, "north", &[0]; "primary")]
#[test_case(2, "south", &[1, 2]; "replicas")]
#[test_case(14, "north", &[0]; "primary of a large fleet")]
fn evacuated_members_get_no_statements(instances: usize, zone: &str, members: &[usize]) {
    let fleet = start(instances);
    let began = Instant::now();
    fleet.standin.evacuate(zone);
    run_callers(&fleet, "during", began + BOUND + AFTER_BOUND);
    let logs = save_logs(&fleet, "evacuated");
    let late = executed_after(&fleet, members, began + BOUND);
    assert!(late.is_empty(), "{late:?}, logs in {logs}");
    let primary = fleet.standin.lock_group().primary();
    assert!(!members.contains(&primary), "the primary is {primary}, logs in {logs}");
    fleet.standin.end_evacuation(zone);
    // All work has to return when the other data centre is evacuated.
    fleet.standin.evacuate(if zone == "north" { "south" } else { "north" });
    let ended = Instant::now();
    run_callers(&fleet, "after", ended + BOUND + AFTER_BOUND);
    let late = executed_after(&fleet, members, ended + BOUND);
    let primary = fleet.standin.lock_group().primary();
    let logs = save_logs(&fleet, "ended");
    assert!(!late.is_empty() && members.contains(&primary), "{primary}, logs in {logs}");
}

/// Guards against requests that wait, and members that get work, while all data centres of a group are evacuated; and against a
/// group that stays out of service after that.
#[test]
fn evacuation_of_all_members_refuses_at_once() {
    let fleet = start(2);
    fleet.standin.evacuate("north");
    fleet.standin.evacuate("south");
    thread::sleep(Duration::from_millis(500));
    let since = Instant::now();
    for gateway in &fleet.gateways {
        for (database, text) in [
            (BOUNDED_DATABASE, "READ a"),
            (PRIMARY_DATABASE, "READ a"),
            (PRIMARY_DATABASE, "WRITE a 1"),
        ] {
            let mut session = open(gateway.callers, database, WORKSPACE).expect("a session");
            let sent = Instant::now();
            let answer = session.query("refused", text).expect("an answer");
            let took = sent.elapsed();
            let (code, detail) = answer.outcome.expect_err("no member may run it");
            assert!(code == "BUSY" && detail.contains("try again in"), "{code} {detail}");
            assert!(took < AT_ONCE, "{text} took {took:?}, logs in {}", save_logs(&fleet, "all"));
        }
        let mut session = open(gateway.callers, PRIMARY_DATABASE, WORKSPACE).expect("a session");
        let sent = Instant::now();
        session.query("begin", "BEGIN").expect("an answer");
        let first = session.query("first", "WRITE a 1").expect("an answer");
        assert_eq!((first.code(), sent.elapsed() < AT_ONCE), (Some("ABORTED"), true));
    }
    assert_eq!(executed_after(&fleet, &[0, 1, 2], since), Vec::<String>::new());
    fleet.standin.end_evacuation("north");
    fleet.standin.end_evacuation("south");
    fleet.gateways.iter().for_each(crate::fleet::Gateway::wait_until_serving);
}

/// Guards against a promotion in the second evacuated data centre, when two are evacuated at once.
#[test]
fn evacuation_of_two_data_centres_leaves_the_third() {
    let fleet = start_in_three(2);
    let began = Instant::now();
    fleet.standin.evacuate("north");
    fleet.standin.evacuate("south");
    let failures = run_callers(&fleet, "two", began + BOUND + AFTER_BOUND);
    let logs = save_logs(&fleet, "two");
    let late = executed_after(&fleet, &[0, 1], began + BOUND);
    assert!(late.is_empty(), "{late:?}, logs in {logs}");
    assert_eq!(fleet.standin.lock_group().primary(), 2, "logs in {logs}");
    assert!(failures.is_empty(), "{failures:?}, logs in {logs}");
}

/// Guards against an evacuated member that is promoted because it is evacuated while the primary is being replaced.
#[test]
fn evacuation_during_a_change_of_primary() {
    let fleet = start_in_three(2);
    fleet.standin.lock_group().set_running(0, false);
    thread::sleep(Duration::from_millis(900));
    let began = Instant::now();
    fleet.standin.evacuate("south");
    run_callers(&fleet, "change", began + BOUND + AFTER_BOUND);
    let late = executed_after(&fleet, &[1], began + BOUND);
    assert!(late.is_empty(), "{late:?}, logs in {}", save_logs(&fleet, "change"));
    wait_until("no primary in the east", &fleet, || fleet.standin.lock_group().primary() == 2);
    let promoted = fleet.gateways.iter().any(|gateway| {
        let log = process_log(gateway);
        log.lines().any(|line| line.contains(r#""step":"promote""#) && line.contains("i-1"))
    });
    assert!(!promoted, "the evacuated member, logs in {}", save_logs(&fleet, "change"));
    fleet.gateways.iter().for_each(crate::fleet::Gateway::wait_until_serving);
}

/// Guards against an instance without the store that goes on with work in an evacuated data centre, or one that starts without
/// it and does not learn of the evacuation from the others.
#[test]
fn evacuation_while_the_store_is_unreachable() {
    let mut fleet = start(2);
    // This instance learns of the evacuation from the other one only.
    fleet.gateways[1].store_proxy.set(Faults { blackhole: true, ..Faults::default() });
    let began = Instant::now();
    fleet.standin.evacuate("south");
    run_callers(&fleet, "cut", began + BOUND + AFTER_BOUND);
    let late = executed_after(&fleet, &[1, 2], began + BOUND);
    assert!(late.is_empty(), "{late:?}, logs in {}", save_logs(&fleet, "cut"));
    fleet.standin.set_store_fault(StoreFault::Unresponsive);
    let lost = Instant::now();
    fleet.gateways[1].process.kill().expect("the process was started here");
    fleet.restart(1);
    fleet.gateways[1].wait_until_serving();
    run_callers(&fleet, "lost", Instant::now() + AFTER_BOUND);
    let late = executed_after(&fleet, &[1, 2], lost);
    assert!(late.is_empty(), "{late:?}, logs in {}", save_logs(&fleet, "lost"));
}

/// Guards against an instance that serves before it knows the evacuations, when the store is slow to list them.
#[test]
fn instance_that_starts_knows_the_evacuation() {
    const LIST_DELAY: Duration = Duration::from_millis(800);
    let mut fleet = start(1);
    fleet.standin.evacuate("south");
    thread::sleep(BOUND);
    fleet.standin.set_evacuation_list_delay(LIST_DELAY);
    let since = Instant::now();
    for _ in 0..3 {
        fleet.gateways[0].process.kill().expect("the process was started here");
        fleet.restart(0);
        run_callers(&fleet, "start", Instant::now() + LIST_DELAY + AFTER_BOUND);
    }
    let late = executed_after(&fleet, &[1, 2], since);
    assert!(late.is_empty(), "{late:?}, logs in {}", save_logs(&fleet, "start"));
}

/// Guards against an evacuation that is requested again and has no effect, or whose bound is taken from the first request.
#[test]
fn evacuation_is_withdrawn_and_requested_again() {
    let fleet = start(2);
    fleet.standin.evacuate("north");
    thread::sleep(Duration::from_millis(300));
    fleet.standin.end_evacuation("north");
    thread::sleep(Duration::from_millis(300));
    let again = Instant::now();
    fleet.standin.evacuate("north");
    let failures = run_callers(&fleet, "again", again + BOUND + AFTER_BOUND);
    let logs = save_logs(&fleet, "again");
    let late = executed_after(&fleet, &[0], again + BOUND);
    assert!(late.is_empty(), "{late:?}, logs in {logs}");
    assert_ne!(fleet.standin.lock_group().primary(), 0, "logs in {logs}");
    assert!(failures.is_empty(), "{failures:?}, logs in {logs}");
}

/// Guards against effects of a request for a data centre that does not exist, or of an object that nobody can read, and against
/// ones that are not explained in the log.
#[test]
fn evacuation_of_an_unknown_data_centre_has_no_effect() {
    let fleet = start(1);
    fleet.standin.evacuate("nowhere");
    fleet.standin.publish_foreign_evacuation("north", b"[1e999]");
    fleet.standin.publish_foreign_evacuation("south", b"\"soon\"");
    let has_logged = |text: &str| process_log(&fleet.gateways[0]).contains(text);
    wait_until("no line", &fleet, || {
        has_logged("evacuation_begun") && has_logged("object_unreadable")
    });
    assert!(has_logged("no such data centre is in the settings"));
    let since = Instant::now();
    let failures = run_callers(&fleet, "unknown", since + AFTER_BOUND);
    assert!(failures.is_empty(), "{failures:?}");
    assert!(!executed_after(&fleet, &[0], since).is_empty());
}

/// Guards against an evacuation that takes effect where the settings do not ask for it.
#[test]
fn evacuation_without_the_setting_has_no_effect() {
    let fleet = Fleet::start(1);
    fleet.standin.evacuate("north");
    let since = Instant::now();
    run_callers(&fleet, "off", since + AFTER_BOUND);
    assert!(!executed_after(&fleet, &[0], since).is_empty());
    assert!(!process_log(&fleet.gateways[0]).contains("evacuation_begun"));
}

/// Guards against open transactions that are ended at once, or that go on for longer than a drain gives them.
#[test]
fn open_transactions_have_the_time_of_a_drain() {
    /// `bounds.drain_ms` of the settings here.
    const DRAIN: Duration = Duration::from_millis(2000);
    let fleet = start(1);
    let mut session =
        open(fleet.gateways[0].callers, PRIMARY_DATABASE, WORKSPACE).expect("a session");
    assert_eq!(session.query("b", "BEGIN").expect("an answer").state, "T");
    assert_eq!(session.query("t1", "WRITE a 1").expect("an answer").code(), None);
    let began = Instant::now();
    // No member can replace the primary, so only the evacuation ends the transaction.
    (0..MEMBERS)
        .for_each(|member| fleet.standin.evacuate(if member == 0 { "north" } else { "south" }));
    let mut number = 1;
    let ended = loop {
        thread::sleep(Duration::from_millis(100));
        number += 1;
        let answer = session.query(&format!("t{number}"), "WRITE a 1").expect("an answer");
        if let Some(code) = answer.code() {
            assert_eq!(code, "ABORTED", "logs in {}", save_logs(&fleet, "open"));
            break began.elapsed();
        }
        assert!(began.elapsed() < TIMEOUT, "the transaction goes on");
    };
    assert!(ended >= DRAIN && ended < DRAIN + AFTER_BOUND, "{ended:?}");
    assert!(fleet.standin.lock_group().logged_writes().keys().all(|id| !id.starts_with('t')));
}

/// Guards against requests that wait for a connection to an evacuated member and are sent when one is free.
#[test_case(3; "connections of their own")]
#[test_case(14; "connections of holders")]
fn waiting_requests_leave_an_evacuated_member(instances: usize) {
    /// More than run at a member at the same time, for several rounds.
    const CALLERS: usize = 60;
    const STATEMENT_TIME: Duration = Duration::from_millis(500);
    let fleet = start(instances);
    fleet.standin.set_statement_timeout(Duration::from_secs(20));
    fleet.standin.configure(10, [2000.0; 2], &[]);
    thread::sleep(Duration::from_secs(1));
    fleet.standin.lock_group().set_statement_time(STATEMENT_TIME);
    let address = fleet.gateways[0].callers;
    let evacuated = thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                let id = format!("wait-{caller}");
                query_once(address, PRIMARY_DATABASE, WORKSPACE, &id, "WRITE a 1").ok();
            });
        }
        thread::sleep(Duration::from_millis(200));
        // With all members evacuated, the primary's time is over at once.
        fleet.standin.evacuate("north");
        fleet.standin.evacuate("south");
        Instant::now()
    });
    let sent = evacuated + 2 * STATEMENT_TIME;
    let late = executed_after(&fleet, &[0, 1, 2], sent);
    assert!(late.is_empty(), "{late:?}, logs in {}", save_logs(&fleet, "waiting"));
    let waited = executed_after(&fleet, &[0], evacuated).len();
    assert!(waited < CALLERS / 2, "{waited} of {CALLERS} were sent");
}
