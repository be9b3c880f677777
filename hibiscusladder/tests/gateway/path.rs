//! Requests from callers through gateway processes to members, without faults and under single faults.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, Caller, PRIMARY_DATABASE, PUBLIC_DATABASE, READ_YOUR_WRITES_DATABASE,
    StoreFault, WORKSPACES,
};
use hibiscusladder_testkit::fault_proxy::Faults;
use test_case::test_case;

use crate::fleet::{Fleet, open, process_log, query_once, save_logs};

const WORKSPACE: &str = WORKSPACES[0];
/// Time within which a changed configuration has to be in force (`config_apply_ms` of the deployments).
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which a failed or leaving primary has to be replaced.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(12);

/// Guards against statements that are not served, answers that belong to another request, and loss of a session's
/// prepared statements and transactions.
#[test]
fn session_runs_every_kind_of_statement() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let mut caller = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let mut query = |id: &str, text: &str| caller.query(id, text).expect("an answer");
    assert_eq!(query("w1", "WRITE a 7").outcome, Ok("proof.w1".into()));
    assert_eq!(query("r1", "READ a").rows, ["7"]);
    assert_eq!(query("s1", "SET zone north").outcome, Ok("-".into()));
    assert_eq!(query("p1", "PREPARE put WRITE q1").outcome, Ok("-".into()));
    assert_eq!(query("e1", "EXECUTE put a 8").outcome, Ok("proof.e1".into()));
    assert_eq!(query("e2", "EXECUTE other a 8").code(), Some("NOSTMT"));
    assert_eq!(query("b1", "BEGIN").state, "T");
    assert_eq!(query("t1", "READ a").rows, ["8"]);
    assert_eq!(query("t2", "WRITE a 9").outcome, Ok("proof.t2".into()));
    let committed = query("c1", "COMMIT");
    assert_eq!((committed.outcome, committed.state), (Ok("proof.c1".into()), "I".into()));
    assert_eq!(query("b2", "BEGIN").state, "T");
    assert_eq!(query("t3", "WRITE a 10").state, "T");
    assert_eq!(query("x2", "ROLLBACK").state, "I");
    assert_eq!(query("r2", "READ a").rows, ["9"]);
}

/// Guards against reads from lagging replicas that miss writes of the same session.
#[test]
fn own_writes_are_read_in_the_same_session() {
    let fleet = Fleet::start(2);
    for replica in [1, 2] {
        fleet.standin.lock_group().set_lag(replica, Duration::from_millis(400));
    }
    let mut caller = open(fleet.gateways[1].callers, READ_YOUR_WRITES_DATABASE, WORKSPACE)
        .expect("the session opens");
    for round in 0..20 {
        let write = caller.query(&format!("w{round}"), &format!("WRITE own {round}"));
        assert!(write.expect("an answer").outcome.is_ok());
        let read = caller.query(&format!("r{round}"), "READ own").expect("an answer");
        assert_eq!(read.rows, [round.to_string()]);
    }
}

/// Guards against callers of a public database that are refused, or counted against the limits of a workspace.
#[test]
fn public_route_serves_callers_without_key() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let mut caller = Caller::open(address, PUBLIC_DATABASE, "no-key").expect("the session opens");
    for number in 0..10 {
        let reply = caller.query(&format!("n{number}"), "READ a").expect("an answer");
        assert_eq!(reply.outcome, Ok(format!("proof.n{number}")));
    }
    let executed = fleet.standin.lock_group().executed().to_vec();
    let foreign = executed
        .iter()
        .filter(|statement| statement.id.starts_with('n') && statement.workspace != "-");
    assert_eq!(foreign.count(), 0, "a statement without key ran for a workspace");
}

/// Guards against requests that get no answer because they wait for a primary when their instance stops.
#[test_case("WRITE a 1", &["BUSY", "UNKNOWN"]; "write that may have been sent")]
#[test_case("READ a", &["BUSY"]; "read")]
fn stop_answers_requests_that_wait(text: &str, answers: &[&str]) {
    /// Time from SIGTERM to the request: idle sessions are closed by then, and the usual wait for a primary would
    /// outlast the process.
    const DELAY_AFTER_STOP: Duration = Duration::from_millis(3000);
    let fleet = Fleet::start(1);
    fleet.standin.set_store_fault(StoreFault::Unresponsive);
    fleet.standin.lock_group().set_running(0, false);
    fleet.gateways[0].process.terminate().expect("the process runs");
    thread::sleep(DELAY_AFTER_STOP);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let reply = session.query("late", text).expect("an answer before the process ends");
    let code = reply.code().expect("there is no primary");
    assert!(answers.contains(&code), "{code}");
}

/// Guards against a transaction that a stopping instance accepts and ends at once, so that the caller's next statement is
/// refused as malformed.
#[test]
fn stop_refuses_late_transactions() {
    /// More than half of the grace time, after which open transactions are ended.
    const DELAY_AFTER_STOP: Duration = Duration::from_millis(3300);
    let fleet = Fleet::start(2);
    let address = fleet.gateways[0].callers;
    let mut kept = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    assert_eq!(kept.query("b1", "BEGIN").expect("an answer").state, "T");
    assert_eq!(kept.query("t1", "WRITE a 1").expect("an answer").code(), None);
    fleet.gateways[0].process.terminate().expect("the process runs");
    thread::sleep(DELAY_AFTER_STOP);
    let mut late = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let begin = late.query("b2", "BEGIN").expect("an answer");
    assert_eq!((begin.code(), begin.state.as_str()), (Some("BUSY"), "I"));
    // The open transaction was ended, and the caller learns of it as of a failure that it may repeat.
    let next = kept.query("t2", "WRITE a 2").expect("an answer");
    assert_eq!((next.code(), next.state.as_str()), (Some("ABORTED"), "E"));
    assert_eq!(kept.query("t3", "WRITE a 3").expect("an answer").code(), Some("MALFORMED"));
    assert_eq!(kept.query("r1", "ROLLBACK").expect("an answer").state, "I");
}

/// Guards against malformed input that is forwarded to a member, gets no error code, or affects other sessions.
#[test_case("QUERY q1 PAUSE 9\r\n", "MALFORMED"; "command for a member")]
#[test_case("QUERY - READ a\r\n", "MALFORMED"; "id of the gateway")]
#[test_case("QUERY q1 READ a\rQUERY q2 WRITE a 1\r\n", "MALFORMED"; "smuggled message")]
#[test_case("QUERY q1 READ a\n", "MALFORMED"; "lone line feed")]
#[test_case("HELLO\r\n", "MALFORMED"; "unknown message")]
fn malformed_input_gets_its_code(input: &str, code: &str) {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let mut other = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let mut caller = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    caller.send(input).expect("the bytes are sent");
    let line = caller.read_line().expect("an answer");
    assert!(line.starts_with(&format!("ERROR {code}")), "{line}");
    assert!(other.query("o1", "WRITE b 1").expect("an answer").outcome.is_ok());
    let logged_writes = fleet.standin.lock_group().logged_writes();
    assert!(!logged_writes.contains_key("q1") && !logged_writes.contains_key("q2"));
}

/// Guards against unknown databases and keys that are served, refused with another code, or shown in the answer.
#[test]
fn unknown_names_are_refused() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let refused = Caller::open(address, "nowhere", "key-club-a").expect_err("no such database");
    assert!(refused.to_string().starts_with("ERROR NODB"), "{refused}");
    let refused = Caller::open(address, PRIMARY_DATABASE, "other").expect_err("no such key");
    assert!(refused.to_string().starts_with("ERROR NOAUTH"), "{refused}");
    assert!(!refused.to_string().contains("other"), "the answer shows the key");
}

/// Guards against withdrawn keys that stay valid in sessions that are open already.
#[test]
fn withdrawn_key_stops_open_sessions() {
    let fleet = Fleet::start(2);
    let sessions = fleet.gateways.iter().map(|gateway| {
        open(gateway.callers, PRIMARY_DATABASE, WORKSPACE).expect("the session opens")
    });
    let mut sessions: Vec<Caller> = sessions.collect();
    fleet.standin.configure(9, [200.0; 2], &[WORKSPACE]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);
    for session in &mut sessions {
        let answer = session.query("late", "READ a").expect("an answer");
        assert_eq!(answer.code(), Some("NOAUTH"));
    }
    assert!(!fleet.standin.lock_group().executed().iter().any(|statement| statement.id == "late"));
}

/// Guards against a workspace that gets more operations than its rate permits over all instances, or less than 80 % of
/// them.
#[test]
fn limits_hold_over_all_instances() {
    const RATE: f64 = 40.0;
    const RATE_WINDOW: Duration = Duration::from_secs(5);
    let fleet = Fleet::start(3);
    fleet.standin.configure(9, [RATE, RATE], &[]);
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    thread::scope(|scope| {
        for gateway in &fleet.gateways {
            scope.spawn(move || {
                let mut session =
                    open(gateway.callers, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
                let mut number = 0;
                while started.elapsed() < RATE_WINDOW {
                    number += 1;
                    session.query(&format!("q{number}"), "READ a").expect("an answer");
                }
            });
        }
    });
    let group = fleet.standin.lock_group();
    let executed = group
        .executed()
        .iter()
        .filter(|statement| statement.outside_transaction && statement.at >= started);
    let executed = executed.filter(|statement| statement.workspace == WORKSPACE).count() as f64;
    let allowed = (RATE * RATE_WINDOW.as_secs_f64() + RATE) * 1.1 + 20.0;
    assert!(executed <= allowed, "{executed} ran, at most {allowed} may");
    assert!(executed >= RATE * RATE_WINDOW.as_secs_f64() * 0.8, "only {executed} ran");
}

/// Guards against a failed primary that is not replaced, acknowledged writes that are lost in the failover, and stale
/// reads after it.
#[test]
fn dead_primary_is_replaced() {
    let fleet = Fleet::start(3);
    let address = fleet.gateways[0].callers;
    let acknowledged = query_once(address, PRIMARY_DATABASE, WORKSPACE, "before", "WRITE a 41");
    assert!(acknowledged.expect("an answer").outcome.is_ok());
    fleet.standin.lock_group().set_running(0, false);
    let since = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("w{number}");
        let answer = query_once(address, PRIMARY_DATABASE, WORKSPACE, &id, "WRITE b 1");
        if answer.is_ok_and(|reply| reply.outcome.is_ok()) {
            break;
        }
        let late = since.elapsed() > FAILOVER_TIMEOUT;
        assert!(!late, "no new primary; logs in {}", save_logs(&fleet, "dead-primary"));
    }
    for gateway in &fleet.gateways {
        let read = query_once(gateway.callers, PRIMARY_DATABASE, WORKSPACE, "r", "READ a");
        assert_eq!(read.expect("an answer").rows, ["41"]);
    }
    let promotions = fleet.standin.lock_group().promotions().to_vec();
    assert!(promotions.is_sorted(), "{promotions:?}");
}

/// Guards against the planned replacement of a leaving primary that loses writes or fails requests.
#[test]
fn leaving_primary_is_replaced_without_errors() {
    let fleet = Fleet::start(2);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    fleet.standin.lock_group().set_leaving(0, true);
    let since = Instant::now();
    let mut number = 0;
    while fleet.standin.lock_group().primary() == 0 || number < 50 {
        number += 1;
        let answer = session.query(&format!("w{number}"), "WRITE a 1").expect("an answer");
        assert_eq!(answer.code(), None, "logs in {}", save_logs(&fleet, "leaving-primary"));
        assert!(since.elapsed() < FAILOVER_TIMEOUT, "the primary was not replaced");
    }
    let logged_writes = fleet.standin.lock_group().logged_writes();
    assert!((1..=number).all(|number| logged_writes.get(&format!("w{number}")) == Some(&1)));
}

/// Guards against an instance that replaces a primary before it knows the other instances: it announces the failover to
/// nobody, and another instance goes on sending writes that cannot commit, so that their outcome stays unknown.
#[test]
fn leaving_primary_is_replaced_by_an_instance_that_just_started() {
    /// Longer than an instance needs to read everything else from the store.
    const LIST_DELAY: Duration = Duration::from_millis(1000);
    let mut fleet = Fleet::start(1);
    // The first instance does not see that the primary is leaving, so only the new one replaces it.
    fleet.gateways[0].store_proxy.set(Faults { cut: true, ..Faults::default() });
    fleet.standin.set_instance_list_delay(LIST_DELAY);
    fleet.add(1);
    fleet.standin.lock_group().set_leaving(0, true);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let since = Instant::now();
    let mut number = 0;
    while fleet.standin.lock_group().primary() == 0 || number < 50 {
        number += 1;
        let answer = session.query(&format!("w{number}"), "WRITE a 1").expect("an answer");
        assert_eq!(answer.code(), None, "logs in {}", save_logs(&fleet, "just-started"));
        assert!(since.elapsed() < FAILOVER_TIMEOUT, "the primary was not replaced");
    }
}

/// Guards against a planned stop that gives up a failover after the replicas hold the next term, so that nobody can
/// commit for seconds.
#[test]
fn stop_finishes_a_running_failover() {
    let fleet = Fleet::start(1);
    let gateway = &fleet.gateways[0];
    fleet.standin.lock_group().set_leaving(0, true);
    let until = Instant::now() + FAILOVER_TIMEOUT;
    while !process_log(gateway).contains(r#""step":"claim""#) {
        assert!(Instant::now() < until, "no failover was started");
        thread::sleep(Duration::from_millis(10));
    }
    gateway.process.terminate().expect("the process runs");
    while fleet.standin.lock_group().primary() == 0 {
        assert!(Instant::now() < until, "logs in {}", save_logs(&fleet, "stopped-failover"));
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against requests that fail or wait while the store is not available.
#[test_case(StoreFault::Busy; "busy")]
#[test_case(StoreFault::Unresponsive; "unresponsive")]
fn serving_goes_on_without_the_store(fault: StoreFault) {
    let fleet = Fleet::start(2);
    fleet.standin.set_store_fault(fault);
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        for gateway in &fleet.gateways {
            let id = format!("w{number}");
            let answer = query_once(gateway.callers, BOUNDED_DATABASE, WORKSPACE, &id, "READ a");
            assert_eq!(answer.expect("an answer").code(), None);
        }
    }
}

/// Guards against an instance that aborts requests in progress when it stops, or does not stop in time.
#[test]
fn stop_finishes_requests_and_ends() {
    let mut fleet = Fleet::start(2);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    fleet.gateways[0].process.terminate().expect("the process runs");
    let mut served = 0;
    let ended = loop {
        match session.query(&format!("w{served}"), "WRITE a 1") {
            Ok(answer) => assert_eq!(answer.code(), None),
            Err(error) => break error,
        }
        served += 1;
        // The stopping instance closes an idle session between two requests, never during one.
        thread::sleep(Duration::from_millis(100));
    };
    assert!(served > 10, "the session ended after {served} requests");
    assert_ne!(ended.kind(), io::ErrorKind::WouldBlock);
    let status = fleet.gateways[0].process.wait(Duration::from_secs(6)).expect("the process");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let logged_writes = fleet.standin.lock_group().logged_writes();
    assert!((0..served).all(|number| logged_writes.get(&format!("w{number}")) == Some(&1)));
    let log = process_log(&fleet.gateways[0]);
    assert!(log.contains(r#""event":"stopped""#), "the last line of the log is missing: {log}");
}

/// Guards against keys in log lines.
#[test]
fn logs_show_no_key() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    Caller::open(address, PRIMARY_DATABASE, "key-secret").expect_err("no such key");
    let mut caller = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    caller.send("QUERY q1 key-secret\r\n").expect("the bytes are sent");
    caller.read_line().expect("an answer");
    thread::sleep(Duration::from_millis(300));
    let log = fleet.gateways[0].process.log().expect("the log");
    assert!(log.contains("request_refused"), "{log}");
    assert!(!log.contains("key-"), "{log}");
}
