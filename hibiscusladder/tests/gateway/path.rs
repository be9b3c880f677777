//! The whole path, and the failures that it has to survive.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, Caller, OWN_DATABASE, PRIMARY_DATABASE, PUBLIC_DATABASE, StoreFault,
    WORKSPACES,
};
use test_case::test_case;

use crate::fleet::{Fleet, keep_logs, one, open};

const WORKSPACE: &str = WORKSPACES[0];
/// Time within which a changed configuration is in force (`config_apply_ms` of the deployments).
const CONFIGURATION_BOUND: Duration = Duration::from_secs(4);
/// Time within which a change of primary is over.
const FAILOVER_BOUND: Duration = Duration::from_secs(12);

/// Guards against a path that does not serve, answers of another request, and sessions that lose their state.
#[test]
fn session_runs_every_kind_of_statement() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let mut caller = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let mut ask = |id: &str, text: &str| caller.query(id, text).expect("an answer");
    assert_eq!(ask("w1", "WRITE a 7").outcome, Ok("proof.w1".into()));
    assert_eq!(ask("r1", "READ a").rows, ["7"]);
    assert_eq!(ask("s1", "SET zone north").outcome, Ok("-".into()));
    assert_eq!(ask("p1", "PREPARE put WRITE q1").outcome, Ok("-".into()));
    assert_eq!(ask("e1", "EXECUTE put a 8").outcome, Ok("proof.e1".into()));
    assert_eq!(ask("e2", "EXECUTE other a 8").code(), Some("NOSTMT"));
    assert_eq!(ask("b1", "BEGIN").state, "T");
    assert_eq!(ask("t1", "READ a").rows, ["8"]);
    assert_eq!(ask("t2", "WRITE a 9").outcome, Ok("proof.t2".into()));
    let committed = ask("c1", "COMMIT");
    assert_eq!((committed.outcome, committed.state), (Ok("proof.c1".into()), "I".into()));
    assert_eq!(ask("b2", "BEGIN").state, "T");
    assert_eq!(ask("t3", "WRITE a 10").state, "T");
    assert_eq!(ask("x2", "ROLLBACK").state, "I");
    assert_eq!(ask("r2", "READ a").rows, ["9"]);
}

/// Guards against sessions that do not see their own writes at replicas that lag.
#[test]
fn own_writes_are_read_in_the_same_session() {
    let fleet = Fleet::start(2);
    for replica in [1, 2] {
        fleet.standin.lock_group().set_lag(replica, Duration::from_millis(400));
    }
    let mut caller =
        open(fleet.gateways[1].callers, OWN_DATABASE, WORKSPACE).expect("the session opens");
    for round in 0..20 {
        let write = caller.query(&format!("w{round}"), &format!("WRITE own {round}"));
        assert!(write.expect("an answer").outcome.is_ok());
        let read = caller.query(&format!("r{round}"), "READ own").expect("an answer");
        assert_eq!(read.rows, [round.to_string()]);
    }
}

/// Guards against callers of a public route who are refused for the limits of a workspace that they do not belong to.
#[test]
fn public_route_serves_callers_without_key() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    let mut caller = Caller::open(address, PUBLIC_DATABASE, "no-key").expect("the session opens");
    for number in 0..10 {
        let reply = caller.query(&format!("n{number}"), "READ a").expect("an answer");
        assert_eq!(reply.outcome, Ok(format!("proof.n{number}")));
    }
    let ran = fleet.standin.lock_group().executed().to_vec();
    let foreign = ran.iter().filter(|ran| ran.id.starts_with('n') && ran.workspace != "-");
    assert_eq!(foreign.count(), 0, "it belongs to no workspace");
}

/// Guards against requests that wait for a primary when their instance ends, and get no answer at all.
#[test_case("WRITE a 1", &["BUSY", "UNKNOWN"]; "write that may have been sent")]
#[test_case("READ a", &["BUSY"]; "read")]
fn stop_answers_requests_that_wait(text: &str, answers: &[&str]) {
    /// Idle sessions are closed by then, and the wait for a primary would outlast the process.
    const LATE: Duration = Duration::from_millis(3000);
    let fleet = Fleet::start(1);
    fleet.standin.set_store(StoreFault::Silent);
    fleet.standin.lock_group().set_up(0, false);
    fleet.gateways[0].process.terminate().expect("the process runs");
    thread::sleep(LATE);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    let reply = session.query("late", text).expect("an answer before the process ends");
    let code = reply.code().expect("there is no primary");
    assert!(answers.contains(&code), "{code}");
}

/// Guards against bad input that is forwarded, gets no code, or touches other sessions.
#[test_case("QUERY q1 PAUSE 9\r\n", "MALFORMED"; "order to a member")]
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
    let line = caller.line().expect("an answer");
    assert!(line.starts_with(&format!("ERROR {code}")), "{line}");
    assert!(other.query("o1", "WRITE b 1").expect("an answer").outcome.is_ok());
    let kept = fleet.standin.lock_group().logged_writes();
    assert!(!kept.contains_key("q1") && !kept.contains_key("q2"));
}

/// Guards against unknown names that are served or get another code.
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

/// Guards against withdrawn keys that work on in open sessions.
#[test]
fn withdrawn_key_stops_open_sessions() {
    let fleet = Fleet::start(2);
    let sessions = fleet.gateways.iter().map(|gateway| {
        open(gateway.callers, PRIMARY_DATABASE, WORKSPACE).expect("the session opens")
    });
    let mut sessions: Vec<Caller> = sessions.collect();
    fleet.standin.configure(9, [200.0; 2], &[WORKSPACE]);
    thread::sleep(CONFIGURATION_BOUND);
    for session in &mut sessions {
        let answer = session.query("late", "READ a").expect("an answer");
        assert_eq!(answer.code(), Some("NOAUTH"));
    }
    assert!(!fleet.standin.lock_group().executed().iter().any(|ran| ran.id == "late"));
}

/// Guards against workspaces that get more than their contract over several instances, or much less.
#[test]
fn limits_hold_over_all_instances() {
    const RATE: f64 = 40.0;
    const WINDOW: Duration = Duration::from_secs(5);
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
                while started.elapsed() < WINDOW {
                    number += 1;
                    session.query(&format!("q{number}"), "READ a").expect("an answer");
                }
            });
        }
    });
    let group = fleet.standin.lock_group();
    let ran = group.executed().iter().filter(|ran| ran.first && ran.at >= started);
    let ran = ran.filter(|ran| ran.workspace == WORKSPACE).count() as f64;
    let bound = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + 20.0;
    assert!(ran <= bound, "{ran} ran, at most {bound} may");
    assert!(ran >= RATE * WINDOW.as_secs_f64() * 0.8, "only {ran} ran");
}

/// Guards against a dead primary that nobody replaces, acknowledged writes that are lost, and stale reads after it.
#[test]
fn dead_primary_is_replaced() {
    let fleet = Fleet::start(3);
    let address = fleet.gateways[0].callers;
    let acknowledged = one(address, PRIMARY_DATABASE, WORKSPACE, "before", "WRITE a 41");
    assert!(acknowledged.expect("an answer").outcome.is_ok());
    fleet.standin.lock_group().set_up(0, false);
    let since = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let id = format!("w{number}");
        let answer = one(address, PRIMARY_DATABASE, WORKSPACE, &id, "WRITE b 1");
        if answer.is_ok_and(|reply| reply.outcome.is_ok()) {
            break;
        }
        let late = since.elapsed() > FAILOVER_BOUND;
        assert!(!late, "no new primary; logs in {}", keep_logs(&fleet, "dead-primary"));
    }
    for gateway in &fleet.gateways {
        let read = one(gateway.callers, PRIMARY_DATABASE, WORKSPACE, "r", "READ a");
        assert_eq!(read.expect("an answer").rows, ["41"]);
    }
    let promotions = fleet.standin.lock_group().promotions().to_vec();
    assert!(promotions.is_sorted(), "{promotions:?}");
}

/// Guards against a planned replacement that loses writes or leaves callers in doubt.
#[test]
fn leaving_primary_is_replaced_without_doubt() {
    let fleet = Fleet::start(2);
    let address = fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    fleet.standin.lock_group().set_leaving(0, true);
    let since = Instant::now();
    let mut number = 0;
    while fleet.standin.lock_group().primary() == 0 || number < 50 {
        number += 1;
        let answer = session.query(&format!("w{number}"), "WRITE a 1").expect("an answer");
        assert_eq!(answer.code(), None, "logs in {}", keep_logs(&fleet, "leaving-primary"));
        assert!(since.elapsed() < FAILOVER_BOUND, "the primary was not replaced");
    }
    let kept = fleet.standin.lock_group().logged_writes();
    assert!((1..=number).all(|number| kept.get(&format!("w{number}")) == Some(&1)));
}

/// Guards against serving that waits for the store.
#[test_case(StoreFault::Busy; "busy")]
#[test_case(StoreFault::Silent; "silent")]
fn serving_goes_on_without_the_store(fault: StoreFault) {
    let fleet = Fleet::start(2);
    fleet.standin.set_store(fault);
    let until = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        for gateway in &fleet.gateways {
            let id = format!("w{number}");
            let answer = one(gateway.callers, BOUNDED_DATABASE, WORKSPACE, &id, "READ a");
            assert_eq!(answer.expect("an answer").code(), None);
        }
    }
}

/// Guards against an instance that cuts requests when it stops, or does not stop in time.
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
        // An idle session is closed between two requests, never within one.
        thread::sleep(Duration::from_millis(100));
    };
    assert!(served > 10, "the session ended after {served} requests");
    assert_ne!(ended.kind(), io::ErrorKind::WouldBlock);
    let status = fleet.gateways[0].process.wait(Duration::from_secs(6)).expect("the process");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let kept = fleet.standin.lock_group().logged_writes();
    assert!((0..served).all(|number| kept.get(&format!("w{number}")) == Some(&1)));
}

/// Guards against keys in logs.
#[test]
fn logs_show_no_key() {
    let fleet = Fleet::start(1);
    let address = fleet.gateways[0].callers;
    Caller::open(address, PRIMARY_DATABASE, "key-secret").expect_err("no such key");
    let mut caller = open(address, PRIMARY_DATABASE, WORKSPACE).expect("the session opens");
    caller.send("QUERY q1 key-secret\r\n").expect("the bytes are sent");
    caller.line().expect("an answer");
    thread::sleep(Duration::from_millis(300));
    let log = fleet.gateways[0].process.log().expect("the log");
    assert!(log.contains("request_refused"), "{log}");
    assert!(!log.contains("key-"), "{log}");
}
