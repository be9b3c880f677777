//! Calls of the platform client to the emulated platform.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_emulator::platform::{
    OutageMode, Platform, PlatformConfig, PlatformFaults, PlatformHandle,
};
use hibiscusladder_proxy::platform::{
    Backoff, ChangeType, Expected, PlatformClient, PlatformError,
};
use serde_json::json;
use smol::block_on;

fn start() -> (PlatformHandle, PlatformClient) {
    start_with(PlatformConfig { latency_ms: 0, ..PlatformConfig::default() })
}

fn start_with(cfg: PlatformConfig) -> (PlatformHandle, PlatformClient) {
    let platform = Platform::start(cfg).expect("a free port");
    let client = PlatformClient::new(&platform.address().to_string(), Duration::from_millis(300));
    (platform, client)
}

fn drop_answers(platform: &PlatformHandle, count: u64) {
    platform.set_faults(PlatformFaults { drop_answers: count, ..PlatformFaults::default() });
}

/// The retry of a conditional change whose answer was lost must not report a conflict with the change itself.
#[test]
fn put_with_a_lost_answer_succeeds_once() {
    let (platform, client) = start();
    drop_answers(&platform, 1);
    let value = json!({ "state": "leaving" });
    let version = block_on(client.put("upstreams", "m1", Expected::Absent, &value)).unwrap();
    let stored = block_on(client.get("upstreams", "m1")).unwrap().unwrap();
    assert_eq!((stored.version, stored.value), (version, value));
    assert_eq!(version, 1, "the change was written twice");
}

/// A conflict must report the object that another operator wrote in between, not count it as the caller's own change.
#[test]
fn put_reports_the_change_of_another_operator() {
    let (_platform, client) = start();
    let first = json!({ "rate": 100 });
    let version = block_on(client.put("contracts", "w", Expected::Absent, &first)).unwrap();
    let other = json!({ "rate": 200 });
    block_on(client.put("contracts", "w", Expected::Version(version), &other)).unwrap();
    let own = json!({ "rate": 300 });
    let error = block_on(client.put("contracts", "w", Expected::Version(version), &own));
    match error.unwrap_err() {
        PlatformError::Conflict { current: Some(current), .. } => assert_eq!(current.value, other),
        error => panic!("{error}"),
    }
}

/// The retry of a deletion whose answer was lost must not report that the object is missing.
#[test]
fn delete_with_a_lost_answer_succeeds() {
    let (platform, client) = start();
    let value = json!({});
    let version = block_on(client.put("contracts", "w", Expected::Absent, &value)).unwrap();
    drop_answers(&platform, 1);
    let deleted = block_on(client.delete("contracts", "w", Expected::Version(version))).unwrap();
    assert!(deleted > version);
    assert_eq!(block_on(client.get("contracts", "w")).unwrap(), None);
}

/// A watch that skips changes between two calls would leave an old configuration in effect.
#[test]
fn watch_resumes_where_it_ended() {
    let (_platform, client) = start();
    let wait = Duration::from_millis(50);
    let empty = block_on(client.watch(0, wait)).unwrap();
    assert_eq!((empty.revision, empty.events.len()), (0, 0));
    for name in ["a", "b"] {
        block_on(client.put("keys", name, Expected::Absent, &json!({}))).unwrap();
    }
    block_on(client.delete("keys", "a", Expected::Any)).unwrap();
    let answer = block_on(client.watch(1, wait)).unwrap();
    let changes: Vec<_> =
        answer.events.iter().map(|event| (event.change, event.object.name.as_str())).collect();
    assert_eq!(changes, [(ChangeType::Put, "b"), (ChangeType::Delete, "a")]);
    assert_eq!(answer.revision, 3);
}

/// A watch that got an empty answer for a compacted revision would never receive the changes after it.
#[test]
fn watch_from_a_compacted_revision_fails() {
    let cfg = PlatformConfig { latency_ms: 0, kept_events: 2, ..PlatformConfig::default() };
    let (_platform, client) = start_with(cfg);
    for name in ["a", "b", "c", "d"] {
        block_on(client.put("keys", name, Expected::Absent, &json!({}))).unwrap();
    }
    let error = block_on(client.watch(0, Duration::ZERO)).unwrap_err();
    assert_eq!(error, PlatformError::Compacted);
}

/// A call without a time limit would block its task during the whole outage.
#[test]
fn call_to_an_unresponsive_platform_times_out() {
    let (platform, client) = start();
    let outage =
        PlatformFaults { outage: true, outage_mode: OutageMode::Hang, ..PlatformFaults::default() };
    platform.set_faults(outage);
    let start = Instant::now();
    let error = block_on(client.list("keys")).unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error}");
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// A change must be retried until a short outage has ended, so that the operator does not have to repeat it.
#[test]
fn put_outlasts_a_short_outage() {
    let (platform, client) = start();
    platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let recovery = thread::spawn(move || {
        while platform.calls().writes == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        platform.set_faults(PlatformFaults::default());
        platform
    });
    let version = block_on(client.put("keys", "a", Expected::Absent, &json!({}))).unwrap();
    assert_eq!(version, 1);
    drop(recovery.join().unwrap());
}

/// With equal waits all instances would call the store at the same moment after an outage.
#[test]
fn waits_grow_and_differ() {
    let mut first = Vec::new();
    let mut last = Vec::new();
    for _ in 0..100 {
        let mut backoff = Backoff::default();
        first.push(backoff.record_failure());
        last.push((0..10).map(|_| backoff.record_failure()).last().unwrap());
    }
    assert!(first.iter().all(|wait| *wait <= Duration::from_millis(100)));
    assert!(last.iter().all(|wait| *wait <= Duration::from_secs(8)));
    last.sort();
    last.dedup();
    assert!(last.len() > 90, "{} different waits", last.len());
    assert!(last[last.len() / 2] > Duration::from_secs(2));
}

/// Starts a platform that answers each call with `body`.
fn start_with_answer(body: &'static [u8]) -> PlatformClient {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), body].concat());
        }
    });
    PlatformClient::new(&address.to_string(), Duration::from_secs(2))
}

/// Guards against an entry of another writer that hides all others.
#[test]
fn list_and_watch_skip_entries_that_cannot_be_read() {
    const LIST: &[u8] = b"{\"revision\":7,\"items\":[\
        {\"kind\":\"contracts\",\"name\":\"a\",\"version\":3,\"value\":\"\xff\"},\
        {\"kind\":\"contracts\",\"name\":\"b\",\"version\":4,\"value\":1e999},\
        {\"kind\":\"contracts\",\"name\":\"c\",\"version\":5,\"value\":true}]}";
    let listing = smol::block_on(start_with_answer(LIST).list("contracts")).expect("a list");
    let names: Vec<&str> = listing.items.iter().map(|object| &*object.name).collect();
    assert_eq!((listing.revision, names), (7, vec!["c"]));

    const EVENTS: &[u8] = b"{\"revision\":8,\"events\":[\
        {\"type\":\"put\",\"kind\":\"contracts\",\"name\":\"a\",\"version\":7,\"value\":\"\\ud800\"},\
        {\"type\":\"put\",\"kind\":\"contracts\",\"name\":\"c\",\"version\":8,\"value\":true}]}";
    let watched = smol::block_on(start_with_answer(EVENTS).watch(7, Duration::ZERO));
    let watched = watched.expect("an answer");
    let names: Vec<&str> = watched.events.iter().map(|event| &*event.object.name).collect();
    assert_eq!((watched.revision, names), (8, vec!["c"]));

    // An object that is deleted while its value cannot be read must not stay in force.
    const DELETION: &[u8] = b"{\"revision\":9,\"events\":[\
        {\"type\":\"delete\",\"kind\":\"keys\",\"name\":\"a\",\"version\":9,\"value\":\"\xff\"}]}";
    let watched = smol::block_on(start_with_answer(DELETION).watch(8, Duration::ZERO));
    let deleted = watched.expect("an answer").events.pop().expect("the deletion");
    assert_eq!((deleted.change, &*deleted.object.name), (ChangeType::Delete, "a"));
    assert_eq!((&*deleted.object.kind, deleted.object.version), ("keys", 9));

    const INSTANCES: &[u8] = b"{\"items\":[{\"id\":\"x\",\"state\":\"resting\"},\
        {\"id\":\"i1\",\"data_centre\":\"d\",\"rpc\":\"r\",\"health\":\"h\",\"state\":\"live\"}]}";
    let instances = smol::block_on(start_with_answer(INSTANCES).instances()).expect("a list");
    assert_eq!(instances.iter().map(|instance| instance.id.as_str()).collect::<Vec<_>>(), ["i1"]);
}
