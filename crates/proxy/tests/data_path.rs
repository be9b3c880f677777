//! Requests from a client through an entry and a home to an emulated member, and their answers.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_emulator::database::MemberFaults;
use postgres::{Client, SimpleQueryMessage, error::Error};
use support::{Cluster, Options};

fn values(client: &mut Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).unwrap();
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("").to_owned()),
        _ => None,
    });
    rows.collect()
}

fn sqlstate(error: &Error) -> String {
    let error = error.as_db_error().unwrap_or_else(|| panic!("no answer of the proxy: {error:?}"));
    error.code().code().to_owned()
}

fn message(error: &Error) -> String {
    error.as_db_error().map(|error| error.message().to_owned()).unwrap_or_default()
}

fn create_table(cluster: &Cluster) -> Client {
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY, name text)").unwrap();
    client
}

/// Guards against requests that fail on the path through entry, RPC, home and member.
#[test]
fn simple_query_both_entries() {
    let cluster = Cluster::start();
    let mut first = create_table(&cluster);
    first.batch_execute("INSERT INTO clubs VALUES (1, 'andino')").unwrap();
    for number in 0..2 {
        let mut client = cluster.client(number);
        let names = values(&mut client, "SELECT name FROM clubs WHERE id = 1");
        assert_eq!(names, ["andino"], "entry {number}");
    }
}

/// Guards against reads from replicas that lag behind the session, also when the client connects to another entry, with
/// or without the position of its session.
#[test]
fn read_your_writes_two_entries() {
    let cluster = Cluster::start_with(Options { lag_ms: 300, ..Options::default() });
    let mut writer = create_table(&cluster);
    let mut other = cluster.client(1);
    for number in 0..20 {
        writer.batch_execute(&format!("INSERT INTO clubs VALUES ({number}, 'c')")).unwrap();
        let count = format!("{}", number + 1);
        assert_eq!(values(&mut writer, "SELECT count(*) FROM clubs"), [count.as_str()]);
        let position = values(&mut writer, "SHOW hibiscus.position");
        other.batch_execute(&format!("SET hibiscus.position = '{}'", position[0])).unwrap();
        assert_eq!(values(&mut other, "SELECT count(*) FROM clubs"), [count.as_str()]);
        let mut fresh = cluster.client(number % 2);
        assert_eq!(values(&mut fresh, "SELECT count(*) FROM clubs"), [count.as_str()]);
    }
}

/// Guards against reads that are sent to the primary although replicas have caught up.
#[test]
fn reads_reach_replicas() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    client.batch_execute("INSERT INTO clubs VALUES (1, 'andino')").unwrap();
    thread::sleep(Duration::from_millis(300));
    for _ in 0..10 {
        assert_eq!(values(&mut client, "SELECT name FROM clubs"), ["andino"]);
    }
    let reports = cluster.group.reports();
    let on_primary = reports[0].recent.iter().filter(|text| text.contains("SELECT name")).count();
    assert_eq!(on_primary, 0, "{:?}", reports[0].recent);
}

/// Guards against statements of one client that run in another client's transaction.
#[test]
fn transactions_two_clients() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    client.batch_execute("CREATE TABLE steps (client integer, round integer)").unwrap();
    let rounds = 10;
    thread::scope(|scope| {
        for number in 0..4 {
            let cluster = &cluster;
            scope.spawn(move || {
                let mut client = cluster.client(number % 2);
                for round in 0..rounds {
                    let mut transaction = client.transaction().unwrap();
                    let (number, round) = (i32::try_from(number).unwrap(), round);
                    let insert = "INSERT INTO steps VALUES ($1, $2)";
                    transaction.execute(insert, &[&number, &round]).unwrap();
                    transaction.execute(insert, &[&number, &round]).unwrap();
                    if round % 2 == 0 { transaction.commit() } else { transaction.rollback() }
                        .unwrap();
                }
            });
        }
    });
    let counts = values(
        &mut client,
        "SELECT count(*) FROM steps GROUP BY client, round ORDER BY client, round",
    );
    assert_eq!(counts, vec!["2"; 4 * 5]);
    let odd = values(&mut client, "SELECT count(*) FROM steps WHERE round % 2 = 1");
    assert_eq!(odd, ["0"]);
}

/// Guards against a write that is applied again when the client repeats it with its request id.
#[test]
fn request_id_runs_once() {
    let cluster = Cluster::start();
    let mut first = create_table(&cluster);
    let mut second = cluster.client(1);
    let insert = "INSERT INTO clubs VALUES (5, 'once')";
    for client in [&mut first, &mut second] {
        client.batch_execute("SET hibiscus.request_id = 'alta-5'").unwrap();
        let done = client.execute(insert, &[]).unwrap();
        assert_eq!(done, 1);
    }
    let comment = "/* hibiscus.request_id='alta-6' */ INSERT INTO clubs VALUES (6, 'twice')";
    first.batch_execute(comment).unwrap();
    second.batch_execute(comment).unwrap();
    assert_eq!(values(&mut first, "SELECT count(*) FROM clubs"), ["2"]);

    second.batch_execute("SET hibiscus.request_id = 'alta-5'").unwrap();
    let other = second.execute("DELETE FROM clubs", &[]).unwrap_err();
    assert_eq!(sqlstate(&other), "23505");
    assert!(message(&other).starts_with("not run"), "{}", message(&other));
    assert_eq!(values(&mut second, "SELECT count(*) FROM clubs"), ["2"]);
}

/// Guards against a transaction with a request id that is committed twice.
#[test]
fn request_id_transaction() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let mut run = |expected: &str| {
        client.batch_execute("SET hibiscus.request_id = 'cuota-1'").unwrap();
        match client.transaction() {
            Ok(mut transaction) => {
                transaction.execute("INSERT INTO clubs VALUES (1, 'andino')", &[]).unwrap();
                transaction.commit().unwrap();
                assert_eq!(expected, "committed");
            }
            Err(error) => assert_eq!(sqlstate(&error), expected),
        }
    };
    run("committed");
    run("23505");
    assert_eq!(values(&mut client, "SELECT count(*) FROM clubs"), ["1"]);
}

/// Guards against a request id that cannot be used again although its statement failed.
#[test]
fn request_id_failed_statement() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    client.batch_execute("SET hibiscus.request_id = 'alta-7'").unwrap();
    let failed = client.batch_execute("INSERT INTO nowhere VALUES (1)").unwrap_err();
    assert_eq!(sqlstate(&failed), "42P01");
    client.batch_execute("SET hibiscus.request_id = 'alta-7'").unwrap();
    client.batch_execute("INSERT INTO clubs VALUES (7, 'andino')").unwrap();
    assert_eq!(values(&mut client, "SELECT count(*) FROM clubs"), ["1"]);
}

/// Guards against a withdrawn key that remains valid on open connections.
#[test]
fn key_withdrawn_connected_client() {
    let mut cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let mut prepared = cluster.client(1);
    let statement = prepared.prepare("SELECT count(*) FROM clubs").unwrap();
    prepared.query(&statement, &[]).unwrap();
    cluster.withdraw_key();
    let refused = client.batch_execute("INSERT INTO clubs VALUES (1, 'late')").unwrap_err();
    assert_eq!(sqlstate(&refused), "28000");
    assert!(prepared.query(&statement, &[]).is_err());
    assert!(cluster.config(0).connect(postgres::NoTls).is_err());
    assert_eq!(cluster.received_count("late"), 0);
}

/// Guards against keys that are sent to an upstream in a statement or a parameter.
#[test]
fn key_in_statement() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let key = cluster.key.expose();
    let text = client.batch_execute(&format!("INSERT INTO clubs VALUES (1, '{key}')")).unwrap_err();
    assert_eq!(sqlstate(&text), "22023");
    let insert = "INSERT INTO clubs VALUES ($1, $2)";
    let parameter = client.execute(insert, &[&1_i32, &key]).unwrap_err();
    assert_eq!(sqlstate(&parameter), "22023");
    assert_eq!(cluster.received_count(&key), 0);
    client.execute(insert, &[&1_i32, &"andino"]).unwrap();
}

/// Guards against rows that are missing or out of order when an answer is sent in chunks.
#[test]
fn large_answers_complete() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let name = "x".repeat(1000);
    for block in 0..40 {
        let rows: Vec<String> =
            (0..50).map(|row| format!("({}, '{name}')", block * 50 + row)).collect();
        client.batch_execute(&format!("INSERT INTO clubs VALUES {}", rows.join(","))).unwrap();
    }
    for number in 0..2 {
        let mut client = cluster.client(number);
        let rows = client.query("SELECT id, name FROM clubs ORDER BY id", &[]).unwrap();
        let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(ids, (0..2000).collect::<Vec<_>>(), "entry {number}");
        assert!(rows.iter().all(|row| row.get::<_, &str>(1) == name));
        let mut transaction = client.transaction().unwrap();
        assert_eq!(transaction.query("SELECT id, name FROM clubs", &[]).unwrap().len(), 2000);
        transaction.commit().unwrap();
    }
}

/// Guards against prepared statements that are missing when the upstream connection changes.
#[test]
fn prepared_statements_pooling() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let insert = client.prepare("INSERT INTO clubs VALUES ($1, $2)").unwrap();
    let select = client.prepare("SELECT name FROM clubs WHERE id = $1").unwrap();
    thread::scope(|scope| {
        // Another client uses the upstream connections in between.
        let mut other = cluster.client(0);
        scope.spawn(move || {
            for _ in 0..20 {
                other
                    .batch_execute("INSERT INTO clubs VALUES (1000, 'o') ON CONFLICT DO NOTHING")
                    .unwrap();
            }
        });
        for id in 0..20 {
            client.execute(&insert, &[&id, &format!("name {id}")]).unwrap();
            let name: String = client.query_one(&select, &[&id]).unwrap().get(0);
            assert_eq!(name, format!("name {id}"));
        }
    });
    let mut transaction = client.transaction().unwrap();
    transaction.execute(&insert, &[&50, &"in transaction"]).unwrap();
    transaction.execute(&insert, &[&51, &"in transaction"]).unwrap();
    assert_eq!(transaction.query(&select, &[&50]).unwrap().len(), 1);
    transaction.commit().unwrap();
}

/// Guards against features that would leak state between the clients that share an upstream connection.
#[test]
fn unsupported_features() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    let refused = [
        "LISTEN news",
        "NOTIFY news",
        "COPY clubs TO STDOUT",
        "SELECT pg_advisory_lock(1)",
        "SELECT group_raise_term(9, 'me')",
        "CREATE TEMPORARY TABLE t (a integer)",
        "SET search_path = other",
        "SELECT * FROM hl_requests",
        "DISCARD PLANS",
    ];
    for sql in refused {
        let error = client.batch_execute(sql).unwrap_err();
        assert_eq!(sqlstate(&error), "0A000", "{sql}");
        assert!(message(&error).starts_with("not run"), "{sql}: {}", message(&error));
        assert!(error.as_db_error().unwrap().hint().is_some(), "{sql}");
        assert_eq!(cluster.received_count(sql), 0, "{sql}");
    }
    assert_eq!(values(&mut client, "SELECT count(*) FROM clubs"), ["0"]);
}

/// Guards against statements that are sent to a member although "not run" is answered, once the lease of the home has
/// expired.
#[test]
fn refusal_before_sending() {
    let cluster =
        Cluster::start_with(Options { times: "statement = \"1s\"", ..Options::default() });
    let mut client = create_table(&cluster);
    cluster.pause_polls(true);
    thread::sleep(Duration::from_millis(1100));
    let error = client.batch_execute("INSERT INTO clubs VALUES (1, 'unsent')").unwrap_err();
    assert_eq!(sqlstate(&error), "57P03");
    assert!(message(&error).starts_with("not run"), "{}", message(&error));
    assert_eq!(cluster.received_count("unsent"), 0);
    cluster.pause_polls(false);
    thread::sleep(Duration::from_millis(1500));
    client.batch_execute("INSERT INTO clubs VALUES (1, 'sent')").unwrap();
    assert_eq!(values(&mut client, "SELECT name FROM clubs"), ["sent"]);
}

/// Guards against an acknowledgement while the term is not confirmed by a majority, and against "not run" for a
/// statement that was sent.
#[test]
fn refusal_after_sending() {
    let cluster = Cluster::start_with(Options {
        times: "gate_wait = \"200ms\"\nsilence_bound = \"5s\"",
        statement_us: 1_500_000,
        ..Options::default()
    });
    let mut client = create_table(&cluster);
    thread::scope(|scope| {
        scope.spawn(|| {
            // The statement occupies its slot for 1.5 s; the gate closes in this time.
            thread::sleep(Duration::from_millis(300));
            cluster.pause_polls(true);
        });
        let error = client.batch_execute("INSERT INTO clubs VALUES (1, 'sent')").unwrap_err();
        assert_eq!(sqlstate(&error), "08007");
        assert!(message(&error).starts_with("outcome unknown"), "{}", message(&error));
        assert!(cluster.received_count("sent") > 0);
    });
}

/// Guards against "not run", or an endless wait, when the member stops answering after the statement was sent.
#[test]
fn member_stops_after_sending() {
    let cluster = Cluster::start_with(Options {
        times: "silence_bound = \"500ms\"",
        statement_us: 1_000_000,
        ..Options::default()
    });
    let mut client = create_table(&cluster);
    let started = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(300));
            cluster
                .group
                .set_faults("p1", MemberFaults { frozen: true, ..MemberFaults::default() });
        });
        let error = client.batch_execute("INSERT INTO clubs VALUES (1, 'sent')").unwrap_err();
        assert_eq!(sqlstate(&error), "08007", "{error:?}");
    });
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

/// Guards against an idle transaction that occupies its slot for an unlimited time.
#[test]
fn idle_in_transaction() {
    let cluster = Cluster::start_with(Options {
        times: "idle_in_transaction = \"200ms\"",
        ..Options::default()
    });
    let mut client = create_table(&cluster);
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute("INSERT INTO clubs VALUES (1, 'idle')").unwrap();
    thread::sleep(Duration::from_millis(500));
    let error = client.batch_execute("COMMIT").unwrap_err();
    assert_eq!(sqlstate(&error), "25P03");
    assert_eq!(values(&mut client, "SELECT count(*) FROM clubs"), ["0"]);
}

/// Guards against a transaction that remains open after its client disconnected.
#[test]
fn client_disconnects_in_transaction() {
    let cluster = Cluster::start();
    let mut client = create_table(&cluster);
    for number in 0..4 {
        let mut other = cluster.client(number % 2);
        other.batch_execute("BEGIN").unwrap();
        other.batch_execute("INSERT INTO clubs VALUES (1, 'gone')").unwrap();
        drop(other);
    }
    assert_eq!(values(&mut client, "SELECT count(*) FROM clubs"), ["0"]);
    client.batch_execute("INSERT INTO clubs VALUES (1, 'next')").unwrap();
}

/// Guards against a workspace that gets more than its rate.
#[test]
fn rate_exceeded() {
    let cluster = Cluster::start_with(Options { rate: 30.0, ..Options::default() });
    let refused = AtomicUsize::new(0);
    let started = Instant::now();
    let run = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0..4 {
            let (cluster, refused, run) = (&cluster, &refused, &run);
            scope.spawn(move || {
                let mut client = cluster.client(number % 2);
                while started.elapsed() < Duration::from_secs(2) {
                    match client.simple_query("SELECT 1") {
                        Ok(_) => run.fetch_add(1, Ordering::Relaxed),
                        Err(error) => {
                            assert_eq!(sqlstate(&error), "53400");
                            assert!(message(&error).starts_with("not run"));
                            refused.fetch_add(1, Ordering::Relaxed)
                        }
                    };
                }
            });
        }
    });
    let allowed = 30.0 + 30.0 * started.elapsed().as_secs_f64();
    let run = u32::try_from(run.into_inner()).unwrap();
    assert!(f64::from(run) <= allowed, "{run} requests ran, {allowed} are allowed");
    assert!(refused.into_inner() > 0);
}

/// Guards against cancel requests that do not reach the home where the statement runs.
#[test]
fn cancel_statement() {
    let cluster = Cluster::start_with(Options { statement_us: 2_000_000, ..Options::default() });
    for number in 0..2 {
        let mut client = cluster.client(number);
        let token = client.cancel_token();
        let started = Instant::now();
        thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(400));
                token.cancel_query(postgres::NoTls).unwrap();
            });
            let error = client.simple_query("CREATE TABLE never (a integer)").unwrap_err();
            assert_eq!(sqlstate(&error), "57014", "entry {number}");
        });
        assert!(started.elapsed() < Duration::from_millis(1500), "entry {number}");
    }
}

/// Guards against a shutdown that interrupts a transaction or leaves idle clients connected.
#[test]
fn drain_between_transactions() {
    let cluster = Cluster::start();
    let mut idle = create_table(&cluster);
    let mut busy = cluster.client(0);
    let mut transaction = busy.transaction().unwrap();
    transaction.execute("INSERT INTO clubs VALUES (1, 'kept')", &[]).unwrap();
    cluster.instances[0].node.start_drain();
    let error = idle.batch_execute("SELECT 1");
    assert!(error.is_err());
    transaction.execute("INSERT INTO clubs VALUES (2, 'kept')", &[]).unwrap();
    transaction.commit().unwrap();
    assert!(busy.batch_execute("SELECT 1").is_err());
    let mut other = cluster.client(1);
    assert_eq!(values(&mut other, "SELECT count(*) FROM clubs"), ["2"]);
}
