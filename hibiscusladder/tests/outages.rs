//! Installations whose store or instances fail.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::emulator::{database::MemberFaults, platform::PlatformFaults};
use serde_json::Value;
use support::{Installation, eventually};

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
