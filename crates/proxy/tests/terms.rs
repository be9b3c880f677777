//! Positions, writes and answers when the term of the group changes.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusladder_core::{
    database::{DatabaseRecord, MemberRecord},
    membership::TermInfo,
    name::{Database, MemberId, Workspace},
    outcome::{Execution, Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    request::{RequestHead, StatementClass},
};
use hibiscusladder_proto::request::Envelope;
use hibiscusladder_proxy::{home::Chunk, node::Group};
use postgres::{Client, SimpleQueryMessage};
use support::{Cluster, DATABASE, Options, WORKSPACE};

/// Longest replication lag: the replicas get nothing in the time of a test.
const NO_REPLICATION_MS: u64 = 60_000;

fn value(client: &mut Client, sql: &str) -> Result<String, String> {
    let messages = client.simple_query(sql).map_err(|error| state(&error))?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    Ok(row.unwrap_or_default().to_owned())
}

fn state(error: &postgres::Error) -> String {
    error.code().map_or_else(|| format!("{error:?}"), |code| code.code().to_owned())
}

fn create(cluster: &Cluster, number: usize) -> (Client, Position) {
    let mut client = cluster.client(number);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    let position = value(&mut client, "SHOW hibiscus.position").unwrap().parse().unwrap();
    (client, position)
}

fn group(cluster: &Cluster, number: usize) -> Arc<Group> {
    cluster.instances[number].node.group(&Database::new(DATABASE)).unwrap()
}

/// Sends a read to the home of `member`, as an entry with another view of the group would.
fn read_at(
    cluster: &Cluster,
    member: &str,
    class: StatementClass,
    position: Option<Position>,
) -> Option<Refusal> {
    let sql = "SELECT 1\0";
    let mut data = vec![b'Q'];
    data.extend_from_slice(&u32::try_from(sql.len() + 4).unwrap().to_be_bytes());
    data.extend_from_slice(sql.as_bytes());
    let head = RequestHead {
        workspace: Workspace::new(WORKSPACE),
        database: Database::new(DATABASE),
        key: Some(cluster.key.id().clone()),
        request_id: None,
        class,
        position,
        remaining: Duration::from_secs(5),
        revision: 0,
        trace_parent: Arc::from(""),
    };
    let envelope = Envelope { head, member: MemberId::new(member), cancel_token: 1 << 40 };
    let homes = &cluster.instances[cluster.home_of(member)].homes;
    let call = homes.call(envelope, Bytes::from(data), false);
    loop {
        if let Chunk::End(end) = smol::block_on(call.chunks.recv()).unwrap() {
            return end.refusal;
        }
    }
}

fn is_not_run(refusal: Option<&Refusal>) -> bool {
    refusal.is_some_and(|refusal| refusal.execution == Execution::NotRun)
}

/// Guards against sessions that are told of a lost write after each failover: the member gives the start of its term
/// without the term that was continued.
#[test]
fn kept_write_survives_failover() {
    let cluster = Cluster::start();
    let (mut client, _) = create(&cluster, 0);
    thread::sleep(Duration::from_millis(500));
    cluster.promote("p1", 2);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(value(&mut client, "SELECT count(*) FROM clubs"), Ok("0".to_owned()));
}

/// Guards against an entry that does not poll the group and sends all reads to one of two equally near replicas.
#[test]
fn replicas_take_turns_without_reports() {
    let cluster = Cluster::start();
    let (mut client, _) = create(&cluster, 0);
    cluster.isolate(0);
    thread::sleep(Duration::from_millis(700));
    // Another order of the members replaces the witness, and no report arrives any more.
    let entry = group(&cluster, 0);
    let view = entry.view();
    let record = DatabaseRecord {
        name: Database::new(DATABASE),
        primary: view.primary.clone(),
        term: view.term,
        claimant: None,
        term_start: view.term_start,
        term_members: view.term_members.clone(),
        members: view.members.iter().rev().cloned().collect(),
    };
    entry.apply_record(&record);
    for _ in 0..10 {
        value(&mut client, "SELECT count(*) FROM clubs").unwrap();
    }
    assert!(entry.view().quorum.reports().next().is_none(), "the entry has reports");
    let reports = cluster.group.reports();
    let reads = |id: &str| {
        let report = reports.iter().find(|report| report.id.as_str() == id).unwrap();
        report.recent.iter().filter(|text| text.contains("count(*)")).count()
    };
    assert_eq!((reads("p2"), reads("p3")), (5, 5));
}

/// Guards against a start without the continued term that wins over the complete one, and against starts that are
/// forgotten when the members change.
#[test]
fn start_completed_and_kept() {
    let member = |id: &str| MemberRecord {
        id: MemberId::new(id),
        data_centre: "stgo-a".into(),
        address: "127.0.0.1:1".to_owned(),
        slots: 2,
        connections: 16,
    };
    let mut record = DatabaseRecord {
        name: Database::new(DATABASE),
        primary: Some(MemberId::new("p1")),
        term: Term(2),
        claimant: None,
        term_start: Some(Position::new(Term(2), Lsn(90))),
        term_members: Vec::new(),
        members: vec![member("p1"), member("p2")],
    };
    let group = Group::new(&record);
    let complete = Position::new(Term(1), Lsn(90));
    let mut info = group.term_info();
    info.term_start = Some(complete);
    group.apply_term(&info);
    record.members.push(member("p3"));
    group.apply_record(&record);
    assert_eq!(group.term_info().term_start, Some(complete));
    assert_eq!(group.view().quorum.history().start(Term(2)), Some(complete));
}

/// Guards against stale reads whose age is proved by the order of positions alone: the log of a term that was left
/// out ends at a higher position and lacks the entries.
#[test]
fn stale_read_left_out_term() {
    let cluster = Cluster::with(Options { lag_ms: NO_REPLICATION_MS, ..Options::default() });
    create(&cluster, 0);
    thread::sleep(Duration::from_millis(300));
    // Nobody sees term 2 in office, so only the proofs of term 1 are left.
    cluster.pause_polls(true);
    cluster.promote("p1", 2);
    let left_out =
        cluster.group.reports().into_iter().find(|report| report.position.term == Term(2));
    let left_out = left_out.map_or_else(|| "p2".to_owned(), |report| report.id.to_string());
    cluster.promote(&left_out, 3);
    cluster.pause_polls(false);
    thread::sleep(Duration::from_millis(1500));
    let class = StatementClass::StaleRead { max_age: Duration::from_secs(60) };
    let refusal = read_at(&cluster, &left_out, class, None);
    assert_eq!(refusal.map(|refusal| refusal.kind), Some(RefusalKind::StaleReadUnproved));
}

/// Guards against a replica that is taken for caught up because it answers a position of a term that its home has
/// not heard of.
#[test]
fn wait_position_unknown_term() {
    let times = "replica_wait = \"100ms\"";
    let cluster = Cluster::with(Options { lag_ms: NO_REPLICATION_MS, times, ..Options::default() });
    let (_, needed) = create(&cluster, 0);
    cluster.pause_polls(true);
    // Without the wait of a promotion, the gate of term 1 is still open and does not hide the fault.
    cluster.promote_at_once("p2", 2);
    let refusal = read_at(&cluster, "p2", StatementClass::Read, Some(needed));
    assert!(is_not_run(refusal.as_ref()), "{refusal:?}");
}

/// Guards against writes that run during a handover because they were in the queue when it began.
#[test]
fn queued_write_held() {
    let cluster = Cluster::with(Options { statement_us: 300_000, ..Options::default() });
    create(&cluster, 0);
    let home = group(&cluster, cluster.home_of("p1"));
    thread::scope(|scope| {
        // Two slots are taken by the first two statements; the others wait for them.
        let writers: Vec<_> = (0..6)
            .map(|id| {
                let mut client = cluster.client(0);
                scope.spawn(move || {
                    let sql = format!("INSERT INTO clubs VALUES ({id})");
                    client.batch_execute(&sql).map_err(|error| state(&error))
                })
            })
            .collect();
        while cluster.received("INSERT INTO clubs") < 2 {
            thread::sleep(Duration::from_millis(5));
        }
        home.hold_writes(true);
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(cluster.received("INSERT INTO clubs"), 2);
        home.hold_writes(false);
        for writer in writers {
            assert_eq!(writer.join().unwrap(), Ok(()));
        }
    });
    assert_eq!(cluster.received("INSERT INTO clubs"), 6);
}

/// Guards against a client that gets the position of a new term, with which no other entry can tell it any more that
/// an older write was lost.
#[test]
fn loss_told_with_newer_position() {
    let cluster =
        Cluster::with(Options { instances: 5, lag_ms: NO_REPLICATION_MS, ..Options::default() });
    let homes: Vec<_> = ["p1", "p2", "p3"].map(|id| cluster.home_of(id)).into();
    let entry = (0..5).find(|number| !homes.contains(number)).unwrap();
    let (mut client, _) = create(&cluster, entry);
    cluster.isolate(entry);
    cluster.promote("p1", 2);
    thread::sleep(Duration::from_millis(500));
    let known = group(&cluster, homes[0]).view();
    assert_eq!(known.term, Term(2));
    // The entry knows the primary of the new term, but not where the term began.
    group(&cluster, entry).apply_term(&TermInfo {
        database: Database::new(DATABASE),
        term: Term(2),
        primary: known.primary.clone(),
        term_start: None,
    });
    let write = client.batch_execute("CREATE TABLE socios (id integer PRIMARY KEY)");
    assert_eq!(write.map_err(|error| state(&error)), Err("HL001".to_owned()));
    assert_eq!(value(&mut client, "SELECT count(*) FROM socios"), Ok("0".to_owned()));
}

/// Guards against a read whose position was compared in one term and whose answer is released by the gate of the
/// next one.
#[test]
fn read_term_changes_before_statement() {
    let cluster = Cluster::with(Options {
        lag_ms: 800,
        times: "replica_wait = \"3s\"\ngate_wait = \"100ms\"",
        ..Options::default()
    });
    let (_, needed) = create(&cluster, 0);
    let home = group(&cluster, cluster.home_of("p2"));
    let started = Instant::now();
    let refusal = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(200));
            home.apply_term(&TermInfo {
                database: Database::new(DATABASE),
                term: Term(2),
                primary: Some(MemberId::new("p3")),
                term_start: Some(Position::new(Term(1), Lsn(u64::MAX))),
            });
        });
        read_at(&cluster, "p2", StatementClass::Read, Some(needed))
    });
    assert!(started.elapsed() > Duration::from_millis(200), "the replica was not waited for");
    assert!(is_not_run(refusal.as_ref()), "{refusal:?}");
}
