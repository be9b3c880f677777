//! Outages of the store, and instances and members that fail, leave or are replaced.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::emulator::{database::MemberFaults, platform::PlatformFaults};
use serde_json::Value;
use support::{Installation, eventually, run_ok};

fn start_outage(installation: &Installation) {
    installation.platform.set_faults(PlatformFaults { outage: true, ..PlatformFaults::default() });
}

/// If requests depended on the store, its outage would stop the requests of all customers at once.
#[test]
fn requests_continue_through_an_outage_of_the_store() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    start_outage(&installation);
    let start = Instant::now();
    let mut written = 0_i64;
    // Longer than `max_config_age`, so requests are allowed only because other data centres confirm the outage.
    while start.elapsed() < Duration::from_secs(9) {
        written += 1;
        let statement = format!("INSERT INTO socios VALUES ({written})");
        client.batch_execute(&statement).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    let validity = installation.instances[0].status().unwrap()["config"]["standing"].clone();
    assert_eq!(validity, "outage");
    let row = client.query_one("SELECT count(*) FROM socios", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), written);
}

/// An instance that cannot distinguish an outage of the store from its own isolation could serve a withdrawn key.
#[test]
fn instance_without_evidence_of_an_outage_refuses_keys() {
    let installation = Installation::start(&["stgo-a"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("SELECT 1").unwrap();
    start_outage(&installation);
    let error = eventually("a refusal", || client.batch_execute("SELECT 1").err());
    assert_eq!(error.code().map(|code| code.code()), Some("57P03"), "{error:?}");
    assert!(error.as_db_error().unwrap().message().starts_with("not run"), "{error:?}");
    installation.platform.set_faults(PlatformFaults::default());
    eventually("a request after the outage", || {
        let mut client = installation.instances[0].connect(&key).ok()?;
        client.batch_execute("SELECT 1").ok()
    });
}

/// A member that was taken out of service may be under repair and must not receive statements.
#[test]
fn leaving_primary_is_replaced_and_gets_no_statements() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.wait_for_replicas();
    let url = installation.platform.url();
    let report = run_ok(&["upstream", "leave", "--platform", &url, "padron-1"]);
    assert!(report.contains("in force"), "{report}");
    eventually("another primary", || {
        let record = smol::block_on(installation.platform_client().get("databases", "padron"));
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

/// If promotions depended on the store, the loss of a primary during an outage would stop all writes of its database.
#[test]
fn primary_is_replaced_during_an_outage_of_the_store() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.wait_for_replicas();
    start_outage(&installation);
    let down = MemberFaults { down: true, ..MemberFaults::default() };
    assert!(installation.group.set_faults("padron-1", down));
    eventually("a write under the next term", || {
        let mut client = installation.instances[1].connect(&key).ok()?;
        client.execute("INSERT INTO socios VALUES (2)", &[]).ok()
    });
    installation.platform.set_faults(PlatformFaults::default());
    eventually("the new primary in the store", || {
        let record = smol::block_on(installation.platform_client().get("databases", "padron"));
        let record = record.ok()??.value;
        (record["term"].as_u64() >= Some(2) && record["primary"] != Value::Null).then_some(())
    });
}

/// If an instance needed the store to start, each restart during an outage would lose an instance.
#[test]
fn instance_starts_with_the_configuration_of_a_peer() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    start_outage(&installation);
    installation.add_instance("stgo-b");
    let late = installation.instances.len() - 1;
    eventually("a request through the instance that started late", || {
        let mut client = installation.instances[late].connect(&key).ok()?;
        client.query("SELECT * FROM socios", &[]).ok()
    });
}

/// A home that is resumed after its lease expired must not answer in place of its successor.
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

/// Instances are restarted 240 times a day, so a restart must not cause refusals.
#[test]
fn replacing_an_instance_refuses_no_request() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    installation.add_instance("stgo-b");
    let start = Instant::now();
    let mut replaced = false;
    let mut written = 0_i64;
    while start.elapsed() < Duration::from_secs(16) {
        // The new instance takes members over after 8 s; the instance that it replaces leaves 4 s later.
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
