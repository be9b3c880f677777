//! Requests of clients to an installation whose instances run in separate processes.

mod support;

use std::{process::Stdio, thread, time::Duration};

use support::{
    Folder, Installation, Instance, Process, eventually, free_port, run_command, run_ok,
    wait_for_homes,
};

/// A read through another instance that does not return the write would violate session consistency.
#[test]
fn insert_is_read_through_the_other_instance() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut writer = installation.instances[0].connect(&key).unwrap();
    writer.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY, nombre TEXT)").unwrap();
    let changed = writer.execute("INSERT INTO socios VALUES ($1, $2)", &[&7_i32, &"Ana"]).unwrap();
    assert_eq!(changed, 1);

    let mut reader = installation.instances[1].connect(&key).unwrap();
    let row = reader.query_one("SELECT nombre FROM socios WHERE id = 7", &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "Ana");
}

/// Guards against a key that a former holder can still use after its withdrawal was reported as in force.
#[test]
fn withdrawn_key_stops_a_connected_client() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[1].connect(&key).unwrap();
    client.batch_execute("SELECT 1").unwrap();

    let id = key.split('_').nth(1).unwrap();
    let url = installation.platform.url();
    let report = run_ok(&["key", "withdraw", "--platform", &url, id]);
    assert!(report.contains("in force on all 2 live instances"), "{report}");
    let error = client.batch_execute("SELECT 1").unwrap_err();
    assert_eq!(error.code().map(|code| code.code()), Some("28000"), "{error:?}");
    assert!(installation.instances[0].connect(&key).is_err());
}

/// Guards against a shutdown that interrupts a transaction, so that its client gets no answer.
#[test]
fn sigterm_waits_for_open_transaction_and_exits_with_0() {
    let mut installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE cuotas (id INTEGER PRIMARY KEY)").unwrap();
    let mut transaction = client.transaction().unwrap();
    transaction.execute("INSERT INTO cuotas VALUES (1)", &[]).unwrap();

    installation.instances[0].process.terminate();
    thread::sleep(Duration::from_millis(300));
    transaction.execute("INSERT INTO cuotas VALUES (2)", &[]).unwrap();
    transaction.commit().unwrap();
    drop(client);
    assert_eq!(installation.instances[0].process.exit_code(), 0);

    let mut other = eventually("a connection to the other instance", || {
        installation.instances[1].connect(&key).ok()
    });
    let count = eventually("a read through the remaining home", || {
        other.query_one("SELECT count(*) FROM cuotas", &[]).ok()
    });
    assert_eq!(count.get::<_, i64>(0), 2);
}

/// A key in the store, in a log or in the status would be visible to their readers.
#[test]
fn key_is_neither_stored_nor_logged() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let secret = key.rsplit('_').next().unwrap().to_owned();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("SELECT 1").unwrap();
    let statement = format!("SELECT '{key}'");
    assert!(client.batch_execute(&statement).is_err());

    let keys = smol::block_on(installation.platform_client().list("keys")).unwrap();
    assert!(!serde_json::to_string(&keys.items).unwrap().contains(&secret));
    for (index, instance) in installation.instances.iter().enumerate() {
        assert!(!installation.read_log(index).contains(&secret));
        assert!(!instance.status().unwrap().to_string().contains(&secret));
    }
}

/// Guards against writes that stop permanently because no new primary is chosen for a failed one.
#[test]
fn writes_continue_after_the_primary_is_lost() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let key = installation.issue_key();
    let mut client = installation.instances[0].connect(&key).unwrap();
    client.batch_execute("CREATE TABLE pagos (id INTEGER PRIMARY KEY)").unwrap();
    client.execute("INSERT INTO pagos VALUES (1)", &[]).unwrap();

    installation.wait_for_replicas();
    let faults =
        hibiscusladder::emulator::database::MemberFaults { frozen: true, ..Default::default() };
    assert!(installation.group.set_faults("padron-1", faults));
    eventually("a write under the next term", || {
        let mut client = installation.instances[1].connect(&key).ok()?;
        client.execute("INSERT INTO pagos VALUES (2)", &[]).ok()
    });
    let record = smol::block_on(installation.platform_client().get("databases", "padron"));
    let record = record.unwrap().unwrap().value;
    assert!(record["term"].as_u64() >= Some(2), "{record}");
    assert_ne!(record["primary"], "padron-1", "{record}");
}

/// The other tests run the emulators in the test process; this test runs each component in a separate process and so
/// finds parts that only work within one process.
#[test]
fn whole_path_runs_as_separate_processes() {
    let folder = Folder::new();
    let url = format!("http://127.0.0.1:{}", free_port());
    let listen = url.trim_start_matches("http://");
    let platform = folder.write("platform.toml", &format!("listen = \"{listen}\"\n"));
    let mut database =
        format!("admin = \"127.0.0.1:{}\"\n[[databases]]\nname = \"padron\"\n", free_port());
    for (index, data_centre) in ["stgo-a", "stgo-b", "stgo-b"].iter().enumerate() {
        database.push_str(&format!(
            "[[databases.members]]\nid = \"padron-{}\"\ndata_centre = \"{data_centre}\"\n\
             listen = \"127.0.0.1:{}\"\n",
            index + 1,
            free_port()
        ));
    }
    let database = folder.write("database.toml", &database);
    let start = |args: &[&str]| Process::start(args, Stdio::null());
    let _platform = start(&["emulate", "platform", "--config", &platform]);
    eventually("the platform", || {
        run_command(&["status", "--platform", &url]).status.success().then_some(())
    });
    let _database = start(&["emulate", "database", "--config", &database, "--platform", &url]);
    let instances = ["stgo-a", "stgo-b"].map(|data_centre| {
        Instance::start(&folder, &format!("i-{data_centre}"), data_centre, &url, &[])
    });
    wait_for_homes(&instances);
    let contract = folder.write(
        "contract.toml",
        "workspace = \"club-andino\"\ndatabases = [\"padron\"]\nrate = 200\nburst = 100\n",
    );
    run_ok(&["contract", "put", "--platform", &url, "--file", &contract]);
    let issued = run_ok(&["key", "issue", "--platform", &url, "club-andino"]);
    let key = issued.lines().next().unwrap();
    let mut writer = instances[0].connect(key).unwrap();
    writer.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY)").unwrap();
    writer.execute("INSERT INTO socios VALUES (7)", &[]).unwrap();
    let mut reader = instances[1].connect(key).unwrap();
    let row = reader.query_one("SELECT count(*) FROM socios", &[]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    let status = run_ok(&["status", "--platform", &url]);
    assert!(status.contains("padron-1") && status.contains("fresh"), "{status}");
}
