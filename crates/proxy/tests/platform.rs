//! The platform client against the emulated platform.

use std::{
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

/// A conditional change whose answer is lost must not be reported as a lost race against itself.
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

/// The version that another operator wrote in between belongs to the conflict, not to the own change.
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

/// A deletion whose answer is lost must not be reported as missing.
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

/// A watch that loses changes between two calls would leave an old configuration in force.
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

/// A watch that takes a forgotten revision for an empty answer would miss the changes for good.
#[test]
fn watch_from_a_forgotten_revision_is_gone() {
    let cfg = PlatformConfig { latency_ms: 0, kept_events: 2, ..PlatformConfig::default() };
    let (_platform, client) = start_with(cfg);
    for name in ["a", "b", "c", "d"] {
        block_on(client.put("keys", name, Expected::Absent, &json!({}))).unwrap();
    }
    let error = block_on(client.watch(0, Duration::ZERO)).unwrap_err();
    assert_eq!(error, PlatformError::Compacted);
}

/// A call without a bound would hold its task for the whole outage.
#[test]
fn call_during_a_silent_outage_ends_in_time() {
    let (platform, client) = start();
    let outage =
        PlatformFaults { outage: true, outage_mode: OutageMode::Hang, ..PlatformFaults::default() };
    platform.set_faults(outage);
    let start = Instant::now();
    let error = block_on(client.list("keys")).unwrap_err();
    assert!(matches!(error, PlatformError::NoAnswer { .. }), "{error}");
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// A change that arrives after a short outage must be made, so that no operator has to repeat it.
#[test]
fn put_outlasts_a_short_outage() {
    let (platform, client) = start();
    platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
    let ended = thread::spawn(move || {
        while platform.calls().writes == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        platform.set_faults(PlatformFaults::default());
        platform
    });
    let version = block_on(client.put("keys", "a", Expected::Absent, &json!({}))).unwrap();
    assert_eq!(version, 1);
    drop(ended.join().unwrap());
}

/// Waits of equal length would send all instances to the store at the moment it returns.
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
