//! Positions, writes and answers around a change of the group's term.

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

/// Replication lag that is longer than any test, so that replicas receive no entries.
const NO_REPLICATION_MS: u64 = 60_000;

fn value(client: &mut Client, sql: &str) -> Result<String, String> {
    let messages = client.simple_query(sql).map_err(|error| sqlstate(&error))?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    Ok(row.unwrap_or_default().to_owned())
}

fn sqlstate(error: &postgres::Error) -> String {
    error.code().map_or_else(|| format!("{error:?}"), |code| code.code().to_owned())
}

fn create_table(cluster: &Cluster, number: usize) -> (Client, Position) {
    let mut client = cluster.client(number);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    let position = value(&mut client, "SHOW hibiscus.position").unwrap().parse().unwrap();
    (client, position)
}

fn group(cluster: &Cluster, number: usize) -> Arc<Group> {
    cluster.instances[number].node.group(&Database::new(DATABASE)).unwrap()
}

/// Sends a read to the home of `member`, as an entry would whose view of the group differs from that of the home.
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

/// Guards against sessions that get the error for lost writes after every failover: members report the start of their
/// term without the term that it continues.
#[test]
fn kept_write_survives_failover() {
    let cluster = Cluster::start();
    let (mut client, _) = create_table(&cluster, 0);
    thread::sleep(Duration::from_millis(500));
    cluster.promote("p1", 2);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(value(&mut client, "SELECT count(*) FROM clubs"), Ok("0".to_owned()));
}

/// Guards against an entry without reports of the members that sends all reads to one of two equally near replicas.
#[test]
fn replicas_take_turns_without_reports() {
    let cluster = Cluster::start();
    let (mut client, _) = create_table(&cluster, 0);
    cluster.isolate(0);
    thread::sleep(Duration::from_millis(700));
    // A record with the members in another order resets the quorum view, and no further reports arrive.
    let entry_group = group(&cluster, 0);
    let view = entry_group.view();
    let record = DatabaseRecord {
        name: Database::new(DATABASE),
        primary: view.primary.clone(),
        term: view.term,
        claimant: None,
        term_start: view.term_start,
        term_members: view.term_members.clone(),
        members: view.members.iter().rev().cloned().collect(),
    };
    entry_group.apply_record(&record);
    for _ in 0..10 {
        value(&mut client, "SELECT count(*) FROM clubs").unwrap();
    }
    assert!(entry_group.view().quorum.reports().next().is_none(), "the entry has reports");
    let reports = cluster.group.reports();
    let reads = |id: &str| {
        let report = reports.iter().find(|report| report.id.as_str() == id).unwrap();
        report.recent.iter().filter(|text| text.contains("count(*)")).count()
    };
    assert_eq!((reads("p2"), reads("p3")), (5, 5));
}

/// Guards against a term start without the continued term that replaces the complete one, and against term starts that
/// are lost when the members change.
#[test]
fn term_start_completed_and_retained() {
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

/// Guards against stale reads whose age is proved by the order of positions alone: the log of a term that the next term
/// does not continue can end at a higher position without the entries of the proof.
#[test]
fn stale_read_term_not_continued() {
    let cluster = Cluster::start_with(Options { lag_ms: NO_REPLICATION_MS, ..Options::default() });
    create_table(&cluster, 0);
    thread::sleep(Duration::from_millis(300));
    // No instance polls the primary of term 2, so only the proofs of term 1 remain.
    cluster.pause_polls(true);
    cluster.promote("p1", 2);
    let term_2_primary =
        cluster.group.reports().into_iter().find(|report| report.position.term == Term(2));
    let term_2_primary =
        term_2_primary.map_or_else(|| "p2".to_owned(), |report| report.id.to_string());
    cluster.promote(&term_2_primary, 3);
    cluster.pause_polls(false);
    thread::sleep(Duration::from_millis(1500));
    let class = StatementClass::StaleRead { max_age: Duration::from_secs(60) };
    let refusal = read_at(&cluster, &term_2_primary, class, None);
    assert_eq!(refusal.map(|refusal| refusal.kind), Some(RefusalKind::StaleReadUnproved));
}

/// Guards against a replica that is considered caught up because it reports a position of a term that is unknown to its
/// home.
#[test]
fn wait_position_unknown_term() {
    let times = "replica_wait = \"100ms\"";
    let cluster =
        Cluster::start_with(Options { lag_ms: NO_REPLICATION_MS, times, ..Options::default() });
    let (_, needed) = create_table(&cluster, 0);
    cluster.pause_polls(true);
    // Without the wait of a promotion the gate of term 1 is still open; a closed gate would refuse the read anyway.
    cluster.promote_without_wait("p2", 2);
    let refusal = read_at(&cluster, "p2", StatementClass::Read, Some(needed));
    assert!(is_not_run(refusal.as_ref()), "{refusal:?}");
}

/// Guards against writes that run while writes are held for a handover because they were already queued.
#[test]
fn queued_write_held() {
    let cluster = Cluster::start_with(Options { statement_us: 300_000, ..Options::default() });
    create_table(&cluster, 0);
    let home = group(&cluster, cluster.home_of("p1"));
    thread::scope(|scope| {
        // The first two statements occupy both slots; the others are queued.
        let writers: Vec<_> = (0..6)
            .map(|id| {
                let mut client = cluster.client(0);
                scope.spawn(move || {
                    let sql = format!("INSERT INTO clubs VALUES ({id})");
                    client.batch_execute(&sql).map_err(|error| sqlstate(&error))
                })
            })
            .collect();
        while cluster.received_count("INSERT INTO clubs") < 2 {
            thread::sleep(Duration::from_millis(5));
        }
        home.hold_writes(true);
        thread::sleep(Duration::from_millis(1500));
        assert_eq!(cluster.received_count("INSERT INTO clubs"), 2);
        home.hold_writes(false);
        for writer in writers {
            assert_eq!(writer.join().unwrap(), Ok(()));
        }
    });
    assert_eq!(cluster.received_count("INSERT INTO clubs"), 6);
}

/// Guards against a client that gets a position of the new term before the error for its lost write: an entry that is
/// given this position cannot detect the loss any more.
#[test]
fn loss_reported_with_newer_position() {
    let cluster = Cluster::start_with(Options {
        instances: 5,
        lag_ms: NO_REPLICATION_MS,
        ..Options::default()
    });
    let homes: Vec<_> = ["p1", "p2", "p3"].map(|id| cluster.home_of(id)).into();
    let entry = (0..5).find(|number| !homes.contains(number)).unwrap();
    let (mut client, _) = create_table(&cluster, entry);
    cluster.isolate(entry);
    cluster.promote("p1", 2);
    thread::sleep(Duration::from_millis(500));
    let view = group(&cluster, homes[0]).view();
    assert_eq!(view.term, Term(2));
    // The entry receives the primary of the new term, but not the start of the term.
    group(&cluster, entry).apply_term(&TermInfo {
        database: Database::new(DATABASE),
        term: Term(2),
        primary: view.primary.clone(),
        term_start: None,
    });
    let write = client.batch_execute("CREATE TABLE socios (id integer PRIMARY KEY)");
    assert_eq!(write.map_err(|error| sqlstate(&error)), Err("HL001".to_owned()));
    assert_eq!(value(&mut client, "SELECT count(*) FROM socios"), Ok("0".to_owned()));
}

/// Guards against a read whose position was compared in one term and whose answer is released by the gate of the next
/// term.
#[test]
fn read_term_changes_before_statement() {
    let cluster = Cluster::start_with(Options {
        lag_ms: 800,
        times: "replica_wait = \"3s\"\ngate_wait = \"100ms\"",
        ..Options::default()
    });
    let (_, needed) = create_table(&cluster, 0);
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
