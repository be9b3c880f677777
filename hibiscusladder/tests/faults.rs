//! Faults in a running installation, with concurrent clients whose history is checked.

mod support;

use std::{sync::Mutex, thread, time::Duration};

use hibiscusladder::emulator::database::MemberFaults;
use hibiscusladder_testkit::{fault_proxy::FaultProxy, history::Facts};
use support::{
    Installation,
    clients::{Recorder, wait_for_other_primary},
    eventually, run_ok,
};

/// Target for the time of a change of primary.
const PROMOTION_TARGET: Duration = Duration::from_secs(12);

/// Target for the time until a change of configuration is in effect; also the limit for a request while connections are
/// unresponsive or instances are replaced.
const CHANGE_TARGET: Duration = Duration::from_secs(8);

const SESSIONS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Guards against writes that an isolated primary acknowledges through its home after its replacement, and against
/// writes that are lost without a report or applied twice (I1, I2, I10).
#[test]
fn isolated_primary_acknowledges_nothing_after_its_term() {
    let installation = Installation::start(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let home = installation.home_of_primary();
    installation.create_notes_table(home, &key);

    let others = installation.instances.iter().enumerate().filter(|(index, _)| *index != home);
    let mut isolated_from: Vec<String> = others.map(|(_, other)| other.id.clone()).collect();
    isolated_from.extend(["padron-2".to_owned(), "padron-3".to_owned()]);
    let recorder = Recorder::new();
    let mut facts = Facts::default();
    thread::scope(|scope| {
        for (index, session) in SESSIONS.into_iter().enumerate() {
            // At least half of the clients write through the home of the isolated primary.
            let entry = if index % 2 == 0 { home } else { index % 3 };
            let (recorder, key) = (&recorder, &key);
            let port = installation.instances[entry].port;
            scope.spawn(move || recorder.run(session, port, key));
        }
        eventually("writes before the isolation", || {
            recorder.all_wrote(&SESSIONS, Duration::ZERO).then_some(())
        });
        let isolated = recorder.now();
        installation
            .group
            .set_faults("padron-1", MemberFaults { isolated_from, ..MemberFaults::default() });
        let term = wait_for_other_primary(&installation, "padron-1");
        let promoted = recorder.now();
        facts = Facts::default().term_change(term, promoted);
        assert!(
            promoted - isolated < PROMOTION_TARGET,
            "promotion after {:?}",
            promoted - isolated
        );
        // The old primary is still isolated while the clients of its home write under the next term.
        eventually("writes of all clients under the next term", || {
            recorder.all_wrote(&SESSIONS, promoted).then_some(())
        });
        installation.group.set_faults("padron-1", MemberFaults::default());
        eventually("the old primary as a replica of the next term", || {
            let report = installation.group.report("padron-1")?;
            (report.term.0 >= term && format!("{:?}", report.role) == "Replica").then_some(())
        });
        let reconnected = recorder.now();
        eventually("writes of all clients after the end of the isolation", || {
            recorder.all_wrote(&SESSIONS, reconnected).then_some(())
        });
        recorder.stop();
    });
    recorder.check(&installation, facts, &SESSIONS);
}

/// Guards against requests that hang on unresponsive connections from a home to the members while new connections work,
/// and against writes that are lost or run twice when their answer does not arrive (I8, I9, I10).
#[test]
fn silent_connections_to_members_block_no_request() {
    let installation = Installation::start_with_fault_proxies(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    installation.create_notes_table(0, &key);

    let recorder = Recorder::new();
    thread::scope(|scope| {
        for (index, session) in SESSIONS.into_iter().enumerate() {
            let (recorder, key) = (&recorder, &key);
            let port = installation.instances[index % 3].port;
            if index == 0 {
                scope.spawn(move || recorder.run_repeating(session, port, key));
            } else {
                scope.spawn(move || recorder.run(session, port, key));
            }
        }
        let all_write_since = |since| {
            eventually("writes of all clients", || {
                recorder.all_wrote(&SESSIONS, since).then_some(())
            });
        };
        all_write_since(Duration::ZERO);
        installation.fault_proxies.iter().for_each(FaultProxy::blackhole_connections);
        all_write_since(recorder.now());
        recorder.stop();
    });
    recorder.check(&installation, Facts::default(), &SESSIONS);
    let longest = recorder.longest_operation();
    assert!(longest.0 < CHANGE_TARGET, "a request took too long: {longest:?}");
}

/// Guards against a rolling replacement that interrupts requests: all instances are replaced one by one under load
/// (I12).
#[test]
fn rolling_replacement_interrupts_no_request() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    installation.create_notes_table(0, &key);
    let ports = Mutex::new(vec![installation.instances[0].port, installation.instances[1].port]);
    let recorder = Recorder::new();
    thread::scope(|scope| {
        for session in SESSIONS {
            let (recorder, key, ports) = (&recorder, &key, &ports);
            scope.spawn(move || recorder.run_roaming(session, ports, key));
        }
        // The successors start together, as each one waits before it becomes home; then the old instances leave one
        // after the other.
        for data_centre in ["stgo-a", "stgo-b"] {
            installation.add_instance(data_centre);
        }
        let successors = [installation.instances[2].port, installation.instances[3].port];
        eventually("four live instances in the status of each successor", || {
            let ready = installation.instances[2..].iter().filter(|successor| {
                let status = successor.status().unwrap_or_default();
                status["instances"].as_array().is_some_and(|instances| {
                    instances.iter().filter(|instance| instance["state"] == "live").count() == 4
                })
            });
            (ready.count() == 2).then_some(())
        });
        for (old, successor) in successors.into_iter().enumerate() {
            ports.lock().unwrap()[old] = successor;
            installation.instances[old].process.terminate();
            assert_eq!(installation.instances[old].process.exit_code(), 0);
        }
        let replaced = recorder.now();
        eventually("writes of all clients through the successors", || {
            recorder.all_wrote(&SESSIONS, replaced).then_some(())
        });
        recorder.stop();
    });
    let longest = recorder.longest_operation();
    assert!(longest.0 < CHANGE_TARGET, "a request took too long: {longest:?}");
    assert!(
        recorder.unknown_operations().is_empty(),
        "interrupted: {:#?}",
        recorder.unknown_operations()
    );
    recorder.check(&installation, Facts::default(), &SESSIONS);
}

/// Guards against a withdrawn key that remains valid for connected clients under load (I6).
#[test]
fn key_withdrawn_under_load_stops_within_target() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let other_key = installation.issue_other_key();
    installation.create_notes_table(0, &key);
    let recorder = Recorder::new();
    thread::scope(|scope| {
        for (index, session) in SESSIONS.into_iter().enumerate() {
            let key = if index < 2 { &key } else { &other_key };
            let (recorder, port) = (&recorder, installation.instances[index % 2].port);
            scope.spawn(move || recorder.run(session, port, key));
        }
        eventually("writes with both keys", || {
            recorder.all_wrote(&SESSIONS, Duration::ZERO).then_some(())
        });
        let id = key.split('_').nth(1).unwrap();
        let url = installation.platform.url();
        let withdrawn = recorder.now();
        run_ok(&["key", "withdraw", "--platform", &url, id]);
        let in_force = recorder.now();
        assert!(in_force - withdrawn < CHANGE_TARGET, "in force after {:?}", in_force - withdrawn);
        eventually("writes with the other key", || {
            let all = SESSIONS[2..].iter().all(|s| recorder.acknowledged(s, in_force) > 5);
            all.then_some(())
        });
        for session in &SESSIONS[..2] {
            let last = recorder.last_success(session);
            assert!(last < in_force, "{session} was served {:?} too late", last - in_force);
        }
        recorder.stop();
    });
    recorder.check(&installation, Facts::default(), &SESSIONS);
}

/// Guards against writes that are lost or applied twice when an instance is killed during requests (I1, I9, I10).
#[test]
fn killed_instance_loses_and_duplicates_nothing() {
    let installation = Installation::start(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    installation.create_notes_table(0, &key);
    let home = installation.home_of_primary();
    let ports: Vec<u16> = installation.instances.iter().map(|instance| instance.port).collect();
    let ports = Mutex::new(ports);
    let recorder = Recorder::new();
    thread::scope(|scope| {
        for session in SESSIONS {
            let (recorder, key, ports) = (&recorder, &key, &ports);
            scope.spawn(move || recorder.run_roaming(session, ports, key));
        }
        eventually("writes before the kill", || {
            recorder.all_wrote(&SESSIONS, Duration::ZERO).then_some(())
        });
        installation.instances[home].process.kill();
        let killed = recorder.now();
        eventually("writes of all clients after the kill", || {
            recorder.all_wrote(&SESSIONS, killed).then_some(())
        });
        assert!(
            recorder.now() - killed < PROMOTION_TARGET,
            "writes only after {:?}",
            recorder.now()
        );
        recorder.stop();
    });
    recorder.check(&installation, Facts::default(), &SESSIONS);
}
