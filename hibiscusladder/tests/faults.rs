//! Running instances under faults, with concurrent clients whose history is checked.

mod support;

use std::{thread, time::Duration};

use hibiscusladder::emulator::database::MemberFaults;
use hibiscusladder_testkit::{fault_proxy::FaultProxy, history::Facts};
use support::{
    Installation,
    clients::{Recorder, wait_for_other_primary},
    eventually,
};

/// Longest time for a change of primary (the stated target).
const PROMOTION: Duration = Duration::from_secs(12);

/// Longest time of a request while connections are silent (the stated target for changes to be in effect).
const BOUND: Duration = Duration::from_secs(8);

const SESSIONS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Guards against writes that an isolated primary acknowledges through its own home after its replacement, and
/// against writes that are lost untold or applied twice (I1, I2, I10).
#[test]
fn isolated_primary_acknowledges_nothing_after_its_term() {
    let installation = Installation::start(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let home = installation.home_of_primary();
    let mut client = installation.instances[home].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE notas (k TEXT, v TEXT)").unwrap();
    installation.wait_for_replicas();

    let others = installation.instances.iter().enumerate().filter(|(index, _)| *index != home);
    let mut isolated_from: Vec<String> = others.map(|(_, other)| other.id.clone()).collect();
    isolated_from.extend(["padron-2".to_owned(), "padron-3".to_owned()]);
    let recorder = Recorder::new();
    let mut facts = Facts::default();
    thread::scope(|scope| {
        for (index, session) in SESSIONS.into_iter().enumerate() {
            // Half of the clients write through the home of the isolated primary.
            let entry = if index % 2 == 0 { home } else { index % 3 };
            let (recorder, key) = (&recorder, &key);
            let port = installation.instances[entry].port;
            scope.spawn(move || recorder.run(session, port, key));
        }
        eventually("writes before the isolation", || {
            let all =
                SESSIONS.iter().all(|session| recorder.acknowledged(session, Duration::ZERO) > 3);
            all.then_some(())
        });
        let isolated = recorder.now();
        installation
            .group
            .set_faults("padron-1", MemberFaults { isolated_from, ..MemberFaults::default() });
        let term = wait_for_other_primary(&installation, "padron-1");
        let began = recorder.now();
        facts = Facts::default().term_change(term, began);
        assert!(began - isolated < PROMOTION, "promotion after {:?}", began - isolated);
        // The old primary stays isolated while the clients of its home write under the next term.
        eventually("writes of all clients under the next term", || {
            let all = SESSIONS.iter().all(|session| recorder.acknowledged(session, began) > 3);
            all.then_some(())
        });
        installation.group.set_faults("padron-1", MemberFaults::default());
        eventually("the old primary as a replica of the next term", || {
            let report = installation.group.report("padron-1")?;
            (report.term.0 >= term && format!("{:?}", report.role) == "Replica").then_some(())
        });
        let healed = recorder.now();
        eventually("writes of all clients after the healing", || {
            let all = SESSIONS.iter().all(|session| recorder.acknowledged(session, healed) > 3);
            all.then_some(())
        });
        recorder.stop();
    });
    recorder.check(&installation, facts, &SESSIONS);
}

/// Guards against requests that hang on silent connections from a home to the members while new connections work, and
/// against writes that are lost or run twice when their answer is swallowed (I8, I9, I10).
#[test]
fn silent_connections_to_members_hold_no_request() {
    let installation = Installation::start_behind_relays(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE notas (k TEXT, v TEXT)").unwrap();
    installation.wait_for_replicas();

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
                let all = SESSIONS.iter().all(|session| recorder.acknowledged(session, since) > 3);
                all.then_some(())
            });
        };
        all_write_since(Duration::ZERO);
        installation.relays.iter().for_each(FaultProxy::silence_open);
        all_write_since(recorder.now());
        recorder.stop();
    });
    recorder.check(&installation, Facts::default(), &SESSIONS);
    let longest = recorder.longest();
    assert!(longest.0 < BOUND, "a request took too long: {longest:?}");
}
