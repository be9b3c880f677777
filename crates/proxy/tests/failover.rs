//! Requests while the primary of the group changes.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_emulator::database::MemberFaults;
use postgres::{Client, SimpleQueryMessage};
use support::{Cluster, Options};

fn count(client: &mut Client, sql: &str) -> Result<usize, String> {
    let messages = client.simple_query(sql).map_err(|error| sqlstate(&error))?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    Ok(row.unwrap().parse().unwrap())
}

fn sqlstate(error: &postgres::Error) -> String {
    error.code().map_or_else(|| format!("{error:?}"), |code| code.code().to_owned())
}

fn freeze(cluster: &Cluster, id: &str) {
    cluster.group.set_faults(id, MemberFaults { frozen: true, ..MemberFaults::default() });
}

/// Inserts a row with a request id that is unique to it.
fn insert(client: &mut Client, id: usize) -> Result<(), String> {
    client.batch_execute(&format!("SET hibiscus.request_id = 'w{id}'")).unwrap();
    let insert = format!("INSERT INTO clubs VALUES ({id})");
    client.batch_execute(&insert).map_err(|error| sqlstate(&error))
}

/// Guards against writes that are refused, lost or run twice when the primary freezes and another one is promoted.
#[test]
fn writes_wait_for_new_primary() {
    let cluster =
        Cluster::start_with(Options { times: "silence_bound = \"500ms\"", ..Options::default() });
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    let stop = AtomicBool::new(false);
    let started = Instant::now();
    let written = thread::scope(|scope| {
        let writer = scope.spawn(|| {
            let mut client = cluster.client(1);
            let mut written = 0;
            while !stop.load(Ordering::Acquire) && started.elapsed() < Duration::from_secs(20) {
                match insert(&mut client, written) {
                    Ok(()) => written += 1,
                    // Replication lags by 5 ms, so the last writes before the freeze may be lost. The client
                    // gets HL001, possibly after a write in the new term, and repeats the missing writes.
                    Err(code) if code == "HL001" => {
                        for id in 0..written {
                            let sql = format!("SELECT count(*) FROM clubs WHERE id = {id}");
                            if count(&mut client, &sql) == Ok(0) {
                                insert(&mut client, id).unwrap();
                            }
                        }
                    }
                    Err(code) => assert_eq!(code, "08007"),
                }
            }
            written
        });
        thread::sleep(Duration::from_millis(300));
        freeze(&cluster, "p1");
        thread::sleep(Duration::from_millis(500));
        cluster.promote("p1", 2);
        thread::sleep(Duration::from_millis(2000));
        stop.store(true, Ordering::Release);
        writer.join().unwrap()
    });
    assert!(written > 10, "{written} writes");
    // `client` only requires the position of its own write, which a replica without the last rows can have; the first
    // read of a new session requires the position of the primary.
    let mut fresh = cluster.client(0);
    assert_eq!(count(&mut fresh, "SELECT count(*) FROM clubs"), Ok(written));
}

/// Guards against a session that reads on without an error after a promotion lost one of its writes.
#[test]
fn write_lost_reported_once() {
    let cluster = Cluster::start_with(Options {
        lag_ms: 60_000,
        times: "silence_bound = \"500ms\"",
        ..Options::default()
    });
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    freeze(&cluster, "p1");
    cluster.promote("p1", 2);
    thread::sleep(Duration::from_millis(1000));
    assert_eq!(count(&mut client, "SELECT 1"), Err("HL001".to_owned()));
    assert_eq!(count(&mut client, "SELECT 1"), Ok(1));
}

/// Guards against answers of a primary that was replaced and has not received the higher term.
#[test]
fn replaced_primary_gives_no_answers() {
    let cluster =
        Cluster::start_with(Options { times: "gate_wait = \"100ms\"", ..Options::default() });
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    thread::sleep(Duration::from_millis(200));
    // The old primary gets no command of the promotion and still reports itself as primary of term 1.
    cluster.promote("p1", 2);
    for number in 0..2 {
        let mut client = cluster.client(number);
        client.batch_execute(&format!("INSERT INTO clubs VALUES ({number})")).unwrap();
        assert_eq!(count(&mut client, "SELECT count(*) FROM clubs"), Ok(number + 1));
    }
    let reports = cluster.group.reports();
    let inserts =
        reports[1].recent.iter().filter(|text| text.contains("INSERT INTO clubs")).count();
    assert_eq!(inserts, 2);
}
