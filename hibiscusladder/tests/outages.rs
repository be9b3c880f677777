//! Installations whose store or instances fail.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::emulator::{database::MemberFaults, platform::PlatformFaults};
use serde_json::Value;
use support::{Installation, eventually, succeeds};

fn outage(installation: &Installation) {
    installation.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
}

/// An outage of the store that stopped requests would stop all customers at once.
#[test]
fn requests_continue_through_an_outage_of_the_store() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    outage(&installation);
    let start = Instant::now();
    let mut written = 0_i64;
    // Longer than max_config_age, so that only the evidence of the outage allows the requests.
    while start.elapsed() < Duration::from_secs(9) {
        written += 1;
        let statement = format!("INSERT INTO socios VALUES ({written})");
        client.batch_execute(&statement).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    let standing = installation.instances[0].status().unwrap()["config"]["standing"].clone();
    assert_eq!(standing, "outage");
    let row = client.query_one("SELECT count(*) FROM socios", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), written);
}

/// An instance that cannot tell an outage from being cut off could serve a key that was withdrawn.
#[test]
fn instance_without_evidence_of_an_outage_refuses_keys() {
    let installation = Installation::start(&["stgo-a"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("SELECT 1").unwrap();
    outage(&installation);
    let error = eventually("a refusal", || client.batch_execute("SELECT 1").err());
    assert_eq!(error.code().map(|code| code.code()), Some("57P03"), "{error:?}");
    assert!(error.as_db_error().unwrap().message().starts_with("not run"), "{error:?}");
    installation.platform.set_faults(PlatformFaults::default());
    eventually("a request after the outage", || {
        let mut client = installation.instances[0].connect(&key).ok()?;
        client.batch_execute("SELECT 1").ok()
    });
}

/// A member that is taken out of service must not be written to while it is repaired.
#[test]
fn leaving_primary_is_replaced_and_gets_no_work() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.wait_for_replicas();
    let url = installation.platform.url();
    let report = succeeds(&["upstream", "leave", "--platform", &url, "padron-1"]);
    assert!(report.contains("in force"), "{report}");
    eventually("another primary", || {
        let record = smol::block_on(installation.client().get("databases", "padron"));
        let primary = record.ok()??.value["primary"].clone();
        (primary.is_string() && primary != "padron-1").then_some(())
    });
    eventually("a write through the next primary", || {
        let mut client = installation.instances[0].connect(&key).ok()?;
        client.execute("INSERT INTO socios VALUES (1)", &[]).ok()
    });
    let mut client = installation.instances[0].connect(&key).unwrap();
    for _ in 0..20 {
        client.query("SELECT 'work' FROM socios", &[]).unwrap();
    }
    let recent = installation.group.report("padron-1").unwrap().recent;
    assert!(!recent.iter().any(|statement| statement.contains("'work'")), "{recent:?}");
}

/// A store outage that blocked promotions would turn the loss of one member into a loss of all writes.
#[test]
fn primary_is_replaced_during_an_outage_of_the_store() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.wait_for_replicas();
    outage(&installation);
    let down = MemberFaults { down: true, ..MemberFaults::default() };
    assert!(installation.group.set_faults("padron-1", down));
    eventually("a write under the next term", || {
        let mut client = installation.instances[1].connect(&key).ok()?;
        client.execute("INSERT INTO socios VALUES (2)", &[]).ok()
    });
    installation.platform.set_faults(PlatformFaults::default());
    eventually("the new primary in the store", || {
        let record = smol::block_on(installation.client().get("databases", "padron"));
        let record = record.ok()??.value;
        (record["term"].as_u64() >= Some(2) && record["primary"] != Value::Null).then_some(())
    });
}

/// An instance that needs the store to start would make a restart during an outage a loss.
#[test]
fn instance_starts_from_a_copy_of_its_neighbour() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    outage(&installation);
    installation.add("stgo-b");
    let late = installation.instances.len() - 1;
    eventually("a request through the instance that started late", || {
        let mut client = installation.instances[late].connect(&key).ok()?;
        client.query("SELECT * FROM socios", &[]).ok()
    });
}

/// A paused home that goes on after its lease expired must not answer for its successor.
#[test]
fn paused_home_is_replaced_and_resumes_without_harm() {
    let installation = Installation::start(&["stgo-a", "stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let home = installation.home_of_primary();
    let others: Vec<usize> = (0..3).filter(|index| *index != home).collect();
    let mut client = installation.instances[others[0]].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE pagos (id INTEGER PRIMARY KEY)").unwrap();

    installation.instances[home].process.pause();
    eventually("a write through the next home", || {
        let mut client = installation.instances[others[0]].connect(&key).ok()?;
        client.execute("INSERT INTO pagos VALUES (1)", &[]).ok()
    });
    installation.instances[home].process.resume();
    let mut client = eventually("a connection to the resumed instance", || {
        installation.instances[home].connect(&key).ok()
    });
    let count = eventually("a read through the resumed instance", || {
        client.query_one("SELECT count(*) FROM pagos", &[]).ok()
    });
    assert_eq!(count.get::<_, i64>(0), 1);
    installation.wait_for_homes();
}

/// A restart that refused requests would do so 240 times a day.
#[test]
fn replacing_an_instance_refuses_no_request() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.add("stgo-b");
    let start = Instant::now();
    let mut replaced = false;
    let mut written = 0_i64;
    while start.elapsed() < Duration::from_secs(16) {
        // The new instance takes members over after 8 s; the one that it replaces leaves 4 s later.
        if !replaced && start.elapsed() > Duration::from_secs(12) {
            installation.instances[1].process.terminate();
            replaced = true;
        }
        written += 1;
        client.batch_execute(&format!("INSERT INTO socios VALUES ({written})")).unwrap();
        let row = client.query_one("SELECT count(*) FROM socios", &[]).unwrap();
        assert_eq!(row.get::<_, i64>(0), written);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(installation.instances[1].process.exit_code(), 0);
}
