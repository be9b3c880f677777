//! Tests of the wire protocol, transactions, replication and faults of database members with a PostgreSQL client.

use std::{
    error::Error,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_emulator::database::{Group, GroupConfig, GroupHandle, MemberFaults, Role};
use postgres::{Client, NoTls, SimpleQueryMessage};
use test_case::test_case;

type TestResult = Result<(), Box<dyn Error>>;

fn start() -> Result<GroupHandle, Box<dyn Error>> {
    Ok(Group::start(GroupConfig::single("clubes", &["c1", "c2", "c3"]))?)
}

fn connect(address: SocketAddr) -> Result<Client, postgres::Error> {
    let port = address.port();
    let params = format!(
        "host=127.0.0.1 port={port} user=proxy password=proxy dbname=clubes application_name=i1/dc-a"
    );
    Client::connect(&params, NoTls)
}

fn connect_member(group: &GroupHandle, id: &str) -> Result<Client, Box<dyn Error>> {
    Ok(connect(group.address(id).ok_or("the member does not exist")?)?)
}

fn sqlstate<T>(result: Result<T, postgres::Error>) -> Option<String> {
    result.err()?.code().map(|state| state.code().to_owned())
}

fn first_value(client: &mut Client, query: &str, column: &str) -> Result<String, Box<dyn Error>> {
    for message in client.simple_query(query)? {
        if let SimpleQueryMessage::Row(row) = message {
            return Ok(row.get(column).unwrap_or_default().to_owned());
        }
    }
    Err(format!("`{query}` returned no row").into())
}

fn wait_until<F>(description: &str, mut condition: F) -> TestResult
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + Duration::from_secs(5);
    while !condition() {
        if Instant::now() > deadline {
            return Err(format!("timed out after 5 s waiting until {description}").into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Guards against values that change their type or contents between client and member, in the binary or the text
/// format.
#[test]
fn types_round_trip_in_binary_and_text() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.batch_execute(
        "CREATE TABLE IF NOT EXISTS v (a INT4, b BIGINT, c DOUBLE PRECISION, d TEXT, e BOOLEAN, f BYTEA)",
    )?;
    let bytes: &[u8] = &[0, 255, 7];
    let inserted = client.execute(
        "INSERT INTO v (a, b, c, d, e, f) VALUES ($1, $2, $3, $4, $5, $6)",
        &[&-5i32, &(1i64 << 40), &0.25f64, &"it's", &true, &bytes],
    )?;
    assert_eq!(inserted, 1);
    let row = client.query_one("SELECT a, b, c, d, e, f FROM v WHERE b = $1", &[&(1i64 << 40)])?;
    assert_eq!(row.get::<_, i32>(0), -5);
    assert_eq!(row.get::<_, i64>(1), 1 << 40);
    assert_eq!(row.get::<_, f64>(2).to_bits(), 0.25f64.to_bits());
    assert_eq!(row.get::<_, &str>(3), "it's");
    assert!(row.get::<_, bool>(4));
    assert_eq!(row.get::<_, &[u8]>(5), bytes);
    assert_eq!(first_value(&mut client, "SELECT f FROM v", "f")?, "\\x00ff07");
    assert_eq!(first_value(&mut client, "SELECT e FROM v", "e")?, "t");
    let row = client.query_one("SELECT count(*), max(a), $1::int8 + 1 FROM v", &[&4i64])?;
    assert_eq!((row.get::<_, i64>(0), row.get::<_, i32>(1), row.get::<_, i64>(2)), (1, -5, 5));
    Ok(())
}

/// The proxy acts on the SQLSTATE of an error, so a wrong code here would hide a defect of the proxy.
#[test_case("SELEC 1", "42601"; "syntax")]
#[test_case("SELECT * FROM missing", "42P01"; "no such table")]
#[test_case("SELECT missing FROM t", "42703"; "no such column")]
#[test_case("INSERT INTO t VALUES (1, 'again')", "23505"; "unique violation")]
#[test_case("INSERT INTO t VALUES (2, NULL)", "23502"; "not null violation")]
#[test_case("CREATE TABLE t (k INT)", "42P07"; "table exists")]
#[test_case("LISTEN news", "0A000"; "not supported")]
fn errors_have_sqlstate(statement: &str, expected: &str) -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.batch_execute("CREATE TABLE t (k INT PRIMARY KEY, v TEXT NOT NULL)")?;
    client.batch_execute("INSERT INTO t VALUES (1, 'one')")?;
    assert_eq!(sqlstate(client.batch_execute(statement)).as_deref(), Some(expected));
    assert_eq!(first_value(&mut client, "SELECT count(*) FROM t", "count")?, "1");
    Ok(())
}

/// A reader must not see the writes of an open transaction, and a second writer must wait for its end.
#[test]
fn transactions_are_isolated() -> TestResult {
    let group = start()?;
    let mut writer = connect_member(&group, "c1")?;
    let mut other = connect_member(&group, "c1")?;
    writer.batch_execute("CREATE TABLE t (k INT PRIMARY KEY)")?;
    writer.batch_execute("BEGIN; INSERT INTO t VALUES (1)")?;
    assert_eq!(first_value(&mut writer, "SELECT count(*) FROM t", "count")?, "1");
    assert_eq!(first_value(&mut other, "SELECT count(*) FROM t", "count")?, "0");
    let blocked = thread::spawn(move || other.execute("INSERT INTO t VALUES (2)", &[]));
    wait_until("the second write has arrived", || {
        group.report("c1").is_some_and(|report| report.active == 1)
    })?;
    thread::sleep(Duration::from_millis(100));
    assert!(!blocked.is_finished(), "the second writer did not wait for the first");
    writer.batch_execute("ROLLBACK")?;
    blocked.join().map_err(|_| "the second writer panicked")??;
    assert_eq!(first_value(&mut writer, "SELECT k FROM t", "k")?, "2");
    Ok(())
}

/// A failed transaction must change nothing, unless it is rolled back to a savepoint: then the earlier writes and
/// those after the rollback must be committed.
#[test]
fn failed_transaction_rolls_back_to_savepoint() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.batch_execute("CREATE TABLE t (k INT PRIMARY KEY)")?;
    client.batch_execute("BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s")?;
    assert_eq!(
        sqlstate(client.batch_execute("INSERT INTO t VALUES (1)")).as_deref(),
        Some("23505")
    );
    assert_eq!(sqlstate(client.batch_execute("SELECT 1")).as_deref(), Some("25P02"));
    client.batch_execute("ROLLBACK TO SAVEPOINT s; INSERT INTO t VALUES (2); COMMIT")?;
    client.batch_execute("BEGIN; INSERT INTO t VALUES (3)")?;
    assert!(client.batch_execute("SELECT * FROM missing").is_err());
    client.batch_execute("COMMIT")?;
    assert_eq!(first_value(&mut client, "SELECT sum(k) AS s FROM t", "s")?, "3");
    wait_until("the replica has both rows", || {
        let replica = connect_member(&group, "c2");
        replica.is_ok_and(|mut client| {
            first_value(&mut client, "SELECT sum(k) AS s FROM t", "s").is_ok_and(|sum| sum == "3")
        })
    })
}

/// A replica must reach the position of the primary only after its lag, and refuse writes.
#[test]
fn replica_lags_and_refuses_writes() -> TestResult {
    let group = start()?;
    group.set_faults("c2", MemberFaults { lag_ms: 300, ..MemberFaults::default() });
    let mut primary = connect_member(&group, "c1")?;
    let mut replica = connect_member(&group, "c2")?;
    primary.batch_execute("CREATE TABLE t (k INT)")?;
    let written = Instant::now();
    let position = first_value(&mut primary, "SELECT group_position()", "group_position")?;
    assert_eq!(position, "1:1");
    assert_eq!(first_value(&mut replica, "SELECT * FROM group_status()", "position")?, "1:0");
    assert_eq!(
        sqlstate(replica.batch_execute("INSERT INTO t VALUES (1)")).as_deref(),
        Some("25006")
    );
    let mut position_now = String::new();
    wait_until("the replica has the write", || {
        position_now = first_value(&mut replica, "SELECT * FROM group_status()", "position")
            .unwrap_or_default();
        position_now == position
    })?;
    assert!(written.elapsed() >= Duration::from_millis(280));
    Ok(())
}

/// A replaced primary must refuse writes once its term is raised, and discard its unreplicated writes when it follows
/// the new primary.
#[test]
fn promotion_fences_and_truncates() -> TestResult {
    let group = start()?;
    let mut old = connect_member(&group, "c1")?;
    let mut new = connect_member(&group, "c2")?;
    old.batch_execute("CREATE TABLE t (k INT)")?;
    wait_until("the replicas have the table", || {
        group.reports().iter().all(|report| report.position.to_string() == "1:1")
    })?;
    let isolated = vec!["c2".to_owned(), "c3".to_owned()];
    group.set_faults("c1", MemberFaults { isolated_from: isolated, ..MemberFaults::default() });
    old.batch_execute("INSERT INTO t VALUES (1)")?;

    for id in ["c2", "c3"] {
        let mut client = connect_member(&group, id)?;
        assert_eq!(first_value(&mut client, "SELECT group_raise_term(2, 'i1')", "term")?, "2");
        assert_eq!(first_value(&mut client, "SELECT group_raise_term(2, 'i2')", "claimant")?, "i1");
    }
    assert_eq!(
        sqlstate(new.batch_execute("SELECT group_promote(3, 'c2')")).as_deref(),
        Some("55000")
    );
    new.batch_execute("SELECT group_promote(2, 'c2,c3')")?;
    assert_eq!(first_value(&mut new, "SELECT * FROM group_status()", "term_start")?, "2:1");
    new.batch_execute("INSERT INTO t VALUES (2)")?;
    let follow =
        format!("SELECT group_follow('{}', 2)", group.address("c2").ok_or("c2 is missing")?);
    connect_member(&group, "c3")?.batch_execute(&follow)?;
    let follow_replica =
        format!("SELECT group_follow('{}', 2)", group.address("c3").ok_or("c3 is missing")?);
    assert_eq!(sqlstate(new.batch_execute(&follow_replica)).as_deref(), Some("55000"));

    // The term of the isolated primary has not been raised yet.
    old.batch_execute("INSERT INTO t VALUES (3)")?;
    old.batch_execute("SELECT group_raise_term(2, 'i1')")?;
    assert_eq!(sqlstate(old.batch_execute("INSERT INTO t VALUES (4)")).as_deref(), Some("25006"));
    group.set_faults("c1", MemberFaults::default());
    old.batch_execute(&follow)?;
    wait_until("all members have the new log", || {
        group.reports().iter().all(|report| report.position.to_string() == "2:3")
    })?;
    for id in ["c1", "c2", "c3"] {
        let mut client = connect_member(&group, id)?;
        assert_eq!(
            first_value(&mut client, "SELECT sum(k) AS s FROM t", "s")?,
            "2",
            "rows at {id}"
        );
        assert_eq!(
            first_value(&mut client, "SELECT * FROM group_status()", "term_members")?,
            "c2,c3"
        );
    }
    assert_eq!(group.report("c1").map(|report| report.role), Some(Role::Replica));
    Ok(())
}

/// The home lease of the proxy uses an advisory lock, which must be released when its connection ends.
#[test]
fn advisory_lock_is_released_with_its_connection() -> TestResult {
    let group = start()?;
    let mut holder = connect_member(&group, "c1")?;
    let mut successor = connect_member(&group, "c1")?;
    let row = holder.query_one("SELECT pg_try_advisory_lock($1)", &[&-7i64])?;
    assert!(row.get::<_, bool>(0));
    let try_lock = "SELECT pg_try_advisory_lock(-7)";
    assert_eq!(first_value(&mut successor, try_lock, "pg_try_advisory_lock")?, "f");
    let pid = first_value(&mut successor, "SELECT pid FROM pg_locks WHERE objid = -7", "pid")?;
    successor.batch_execute(&format!("SELECT pg_terminate_backend({pid})"))?;
    wait_until("the lock is free", || {
        first_value(&mut successor, try_lock, "pg_try_advisory_lock")
            .is_ok_and(|taken| taken == "t")
    })?;
    assert!(holder.batch_execute("SELECT 1").is_err());
    Ok(())
}

/// Slots limit the statements that run at a time, and a cancellation must free the slot of a statement that waits or
/// computes.
#[test_case("SELECT pg_sleep(20)"; "waiting")]
#[test_case("WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r) SELECT count(*) FROM r"; "computing")]
fn cancel_frees_a_slot(statement: &'static str) -> TestResult {
    let group = start()?;
    let mut statement_threads = Vec::new();
    let mut tokens = Vec::new();
    for _ in 0..2 {
        let mut client = connect_member(&group, "c1")?;
        tokens.push(client.cancel_token());
        statement_threads.push(thread::spawn(move || sqlstate(client.batch_execute(statement))));
    }
    let mut observer = connect_member(&group, "c1")?;
    wait_until("both statements run", || {
        group.report("c1").is_some_and(|report| report.active == 2)
    })?;
    let waiting = thread::spawn(move || observer.batch_execute("SELECT 1"));
    thread::sleep(Duration::from_millis(100));
    assert!(!waiting.is_finished(), "a third statement ran although both slots were taken");
    for token in tokens {
        token.cancel_query(NoTls)?;
    }
    waiting.join().map_err(|_| "the waiting client panicked")??;
    for statement_thread in statement_threads {
        let state = statement_thread.join().map_err(|_| "a cancelled client panicked")?;
        assert_eq!(state.as_deref(), Some("57014"));
    }
    Ok(())
}

/// A member must accept a limited number of connections, and only from the configured user.
#[test]
fn connections_are_limited_and_authenticated() -> TestResult {
    let mut cfg = GroupConfig::single("clubes", &["c1"]);
    cfg.databases[0].members[0].connections = 2;
    let group = Group::start(cfg)?;
    let address = group.address("c1").ok_or("c1 is missing")?;
    let started = Instant::now();
    let first = connect(address)?;
    assert!(started.elapsed() >= Duration::from_millis(12));
    let _second = connect(address)?;
    assert_eq!(sqlstate(connect(address)).as_deref(), Some("53300"));
    drop(first);
    wait_until("a connection is free", || connect(address).is_ok())?;
    let port = address.port();
    let wrong_params = format!("host=127.0.0.1 port={port} user=proxy password=no dbname=clubes");
    wait_until("the wrong password is rejected", || {
        sqlstate(Client::connect(&wrong_params, NoTls)).as_deref() == Some("28P01")
    })
}

/// A frozen member must answer only after the fault is cleared; a stopped one must close its connections and keep
/// its data.
#[test]
fn faults_freeze_and_stop_a_member() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.batch_execute("CREATE TABLE t (k INT); INSERT INTO t VALUES (1)")?;
    group.set_faults("c1", MemberFaults { frozen: true, ..MemberFaults::default() });
    let late = thread::spawn(move || {
        let result = client.batch_execute("INSERT INTO t VALUES (2)");
        (client, result)
    });
    thread::sleep(Duration::from_millis(100));
    assert!(!late.is_finished(), "a frozen member answered");
    group.set_faults("c1", MemberFaults::default());
    let (mut client, result) = late.join().map_err(|_| "the client panicked")?;
    result?;
    group.set_faults("c1", MemberFaults { down: true, ..MemberFaults::default() });
    assert!(client.batch_execute("SELECT 1").is_err());
    wait_until("connections are refused", || connect_member(&group, "c1").is_err())?;
    group.set_faults("c1", MemberFaults::default());
    wait_until("connections are accepted", || connect_member(&group, "c1").is_ok())?;
    assert_eq!(
        first_value(&mut connect_member(&group, "c1")?, "SELECT count(*) FROM t", "count")?,
        "2"
    );
    Ok(())
}

/// A client that the member is isolated from must get no answer, while a client in another data centre does.
#[test]
fn isolation_cuts_off_clients_by_name() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    let isolated_from = vec!["dc-a".to_owned()];
    group.set_faults("c1", MemberFaults { isolated_from, ..MemberFaults::default() });
    let cut_off = thread::spawn(move || client.batch_execute("SELECT 1"));
    thread::sleep(Duration::from_millis(100));
    assert!(!cut_off.is_finished(), "an isolated client got an answer");
    let port = group.address("c1").ok_or("c1 is missing")?.port();
    let other_params = format!(
        "host=127.0.0.1 port={port} user=proxy password=proxy dbname=clubes application_name=i2/dc-b"
    );
    Client::connect(&other_params, NoTls)?.batch_execute("SELECT 1")?;
    group.set_faults("c1", MemberFaults::default());
    cut_off.join().map_err(|_| "the client panicked")??;
    Ok(())
}

/// Tests search the reports for leaked keys, so the texts and parameters that clients send must be in them.
#[test]
fn report_has_recent_texts() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.query("SELECT $1::text", &[&"hlk_leaked_secret"])?;
    let report = group.report("c1").ok_or("c1 is missing")?;
    assert!(report.recent.iter().any(|text| text.contains("hlk_leaked_secret")));
    assert!(report.recent.iter().any(|text| text.contains("SELECT $1::text")));
    Ok(())
}

/// Replicas must get the same rows from the replay of statements, also with `now()`, `random()` and
/// savepoints that were rolled back.
#[test]
fn replicas_equal_primary_after_concurrent_writes() -> TestResult {
    let group = start()?;
    connect_member(&group, "c1")?.batch_execute(
        "CREATE TABLE t (id BIGSERIAL PRIMARY KEY, worker INT, r FLOAT8, at TIMESTAMPTZ DEFAULT now())",
    )?;
    let address = group.address("c1").ok_or("c1 is missing")?;
    let workers: Vec<_> = (0..4i32)
        .map(|worker| {
            thread::spawn(move || -> Result<(), postgres::Error> {
                let mut client = connect(address)?;
                let insert = client
                    .prepare("INSERT INTO t (worker, r) VALUES ($1, random()) RETURNING id")?;
                for round in 0..50 {
                    let mut transaction = client.transaction()?;
                    let id: i64 = transaction.query_one(&insert, &[&worker])?.get(0);
                    let mut savepoint = transaction.savepoint("s")?;
                    savepoint.execute("DELETE FROM t WHERE id = $1", &[&id])?;
                    savepoint.rollback()?;
                    if round % 5 == 0 {
                        transaction.rollback()?;
                    } else {
                        transaction.commit()?;
                    }
                }
                Ok(())
            })
        })
        .collect();
    for worker in workers {
        worker.join().map_err(|_| "a worker panicked")??;
    }
    let position = group.report("c1").map(|report| report.position);
    assert_eq!(position.map(|position| position.to_string()).as_deref(), Some("1:161"));
    wait_until("replicas are at the primary's position", || {
        group.reports().iter().all(|report| Some(report.position) == position)
    })?;
    let rows = |id| -> Result<Vec<String>, Box<dyn Error>> {
        let rows = connect_member(&group, id)?
            .query("SELECT id, worker, r, at FROM t ORDER BY id", &[])?;
        let text = |row: &postgres::Row| {
            let (id, worker, r): (i64, i32, f64) = (row.get(0), row.get(1), row.get(2));
            format!("{id} {worker} {r} {}", row.get::<_, &str>(3))
        };
        Ok(rows.iter().map(text).collect())
    };
    let expected = rows("c1")?;
    assert_eq!(expected.len(), 160);
    assert_eq!(rows("c2")?, expected);
    assert_eq!(rows("c3")?, expected);
    Ok(())
}

/// Tests in other processes set faults over HTTP; a misspelt name of a fault must be rejected.
#[test_case(r#"{"lag_ms": 77, "isolated_from": ["c3"]}"#, 200; "partial change")]
#[test_case(r#"{"frozn": true}"#, 400; "unknown key")]
fn admin_sets_faults(body: &str, expected: u16) -> TestResult {
    use std::io::{Read, Write};

    let group = start()?;
    let mut stream = std::net::TcpStream::connect(group.admin_address())?;
    let len = body.len();
    write!(
        stream,
        "PUT /admin/members/c2 HTTP/1.1\r\nhost: admin\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    assert!(answer.starts_with(&format!("HTTP/1.1 {expected} ")), "{answer}");
    let faults = group.report("c2").ok_or("c2 is missing")?.faults;
    assert_eq!(faults.lag_ms == 77, expected == 200);
    assert!(!faults.frozen);
    Ok(())
}

/// A transaction that was open when its primary was replaced must not commit.
#[test]
fn fenced_primary_does_not_commit_open_transaction() -> TestResult {
    let group = start()?;
    let mut writer = connect_member(&group, "c1")?;
    writer.batch_execute("CREATE TABLE t (k INT)")?;
    writer.batch_execute("BEGIN; INSERT INTO t VALUES (1)")?;
    connect_member(&group, "c1")?.batch_execute("SELECT group_raise_term(2, 'i1')")?;
    assert_eq!(sqlstate(writer.batch_execute("COMMIT")).as_deref(), Some("25006"));
    assert_eq!(first_value(&mut writer, "SELECT count(*) FROM t", "count")?, "0");
    assert_eq!(
        group.report("c1").map(|report| report.position.to_string()).as_deref(),
        Some("1:1")
    );
    Ok(())
}

/// An open transaction must hold its slot while it is idle; otherwise tests could not overload a member.
#[test]
fn open_transaction_holds_a_slot() -> TestResult {
    let mut cfg = GroupConfig::single("clubes", &["c1"]);
    cfg.databases[0].members[0].slots = 1;
    let group = Group::start(cfg)?;
    let mut holder = connect_member(&group, "c1")?;
    let mut control = connect_member(&group, "c1")?;
    let mut other = connect_member(&group, "c1")?;
    holder.batch_execute("BEGIN")?;
    let waiting = thread::spawn(move || other.batch_execute("SELECT 1"));
    wait_until("the other statement has arrived", || {
        group.report("c1").is_some_and(|report| report.active == 1)
    })?;
    assert_eq!(first_value(&mut control, "SELECT * FROM group_status()", "role")?, "primary");
    thread::sleep(Duration::from_millis(100));
    assert!(!waiting.is_finished(), "a statement ran although the only slot was taken");
    holder.batch_execute("COMMIT")?;
    waiting.join().map_err(|_| "the waiting client panicked")??;
    Ok(())
}

/// A client that fetches a result in parts must get each row once.
#[test]
fn portal_returns_rows_in_parts() -> TestResult {
    let group = start()?;
    let mut client = connect_member(&group, "c1")?;
    client.batch_execute("CREATE TABLE t (k INT); INSERT INTO t VALUES (1), (2), (3)")?;
    let mut transaction = client.transaction()?;
    let portal = transaction.bind("SELECT k FROM t ORDER BY k", &[])?;
    let mut fetch = |count| -> Result<Vec<i32>, postgres::Error> {
        let rows = transaction.query_portal(&portal, count)?;
        Ok(rows.iter().map(|row| row.get(0)).collect())
    };
    assert_eq!(fetch(2)?, [1, 2]);
    assert_eq!(fetch(2)?, [3]);
    Ok(())
}

/// An emulator in its own process reads its settings from a file; a misspelt key must be rejected.
#[test]
fn settings_are_read_and_checked() -> TestResult {
    let text = "statement_us = 500\n[[databases]]\nname = \"padron\"\n\
                [[databases.members]]\nid = \"p1\"\nslots = 5\nconnections = 55\n";
    let cfg: GroupConfig = toml::from_str(text)?;
    assert_eq!((cfg.setup_ms, cfg.statement_us, cfg.databases[0].members[0].slots), (12, 500, 5));
    let misspelt = text.replace("slots", "slot");
    assert!(toml::from_str::<GroupConfig>(&misspelt).is_err());
    Ok(())
}
