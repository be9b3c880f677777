//! Commands of the binary and their error messages.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Command, Stdio},
    thread,
};

use hibiscusladder::{
    emulator::platform::{Platform, PlatformConfig, PlatformFaults},
    prelude::Expected,
};
use postgres::{Client, NoTls};
use serde_json::{Value, json};
use support::{
    BINARY, Folder, Installation, Process, free_port, join_wrapped_lines, run_command, run_err,
    run_ok,
};
use test_case::test_case;

/// Guards against error messages without a remedy.
#[test_case(&["serve", "--confg", "x"], "Unrecognized argument: --confg", "serve --help"; "unknown flag")]
#[test_case(&["start"], "Unrecognized argument: start", "--help"; "unknown command")]
#[test_case(&["check", "--config", "/nonexistent/a.toml"], "cannot be read", "--config"; "missing file")]
#[test_case(&["status", "--platform", "platform:7300"], "not the URL", "http://127.0.0.1:7300"; "platform without scheme")]
#[test_case(&["key", "list", "--platform", "http://127.0.0.1:1"], "cannot be reached", "platform's service runs"; "platform unreachable")]
fn wrong_use_names_a_remedy(args: &[&str], message: &str, remedy: &str) {
    let error = run_err(args);
    assert!(error.contains(message), "{error}");
    assert!(error.contains(remedy), "{error}");
}

/// A check that stopped at the first error would have to be run again for each error.
#[test]
fn check_reports_every_error_with_its_line() {
    let folder = Folder::new();
    let text = "[instance]\nid = \"i1\"\nlisten = \"5432\"\nlisten_rpc = \"127.0.0.1:1\"\n\n\
                [times]\nqueue_wait = \"2 parsecs\"\nadmit_wait = 100\n";
    let path = folder.write("faulty.toml", text);
    let output = run_command(&["check", "--config", &path]);
    assert_eq!(output.status.code(), Some(1));
    let error = join_wrapped_lines(&String::from_utf8_lossy(&output.stderr));
    for expected in [
        "faulty.toml:3: `5432` is not an IP address with a port",
        "faulty.toml:4: `listen_rpc` is not a known key of [instance]",
        "faulty.toml:7: `queue_wait`: ` parsecs` is not a unit of time",
        "faulty.toml:8: `admit_wait` is not a duration text",
        "the section `platform` is missing",
        "one of the units ms, s, min, h",
    ] {
        assert!(error.contains(expected), "`{expected}` is not in {error}");
    }
}

/// Three keys of the settings have a port, so the message must name the key of the port that is in use.
#[test]
fn serve_names_the_key_of_a_port_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new();
    let text = format!(
        "[instance]\nid = \"i1\"\ndata_centre = \"a\"\nlisten = \"127.0.0.1:{}\"\n\
         rpc = \"{}\"\nhealth = \"127.0.0.1:{}\"\n[platform]\nurl = \"http://127.0.0.1:1\"\n\
         [[topology]]\ndata_centre = \"a\"\nregion = \"r\"\n\
         [upstream]\nuser = \"u\"\npassword = \"p\"\n",
        free_port(),
        taken.local_addr().unwrap(),
        free_port()
    );
    let path = folder.write("taken.toml", &text);
    let error = run_err(&["serve", "--config", &path]);
    assert!(error.contains("of [instance] rpc is in use"), "{error}");
    assert!(error.contains("set another port for `rpc`"), "{error}");
}

/// With a contract for a database that does not exist every request of the workspace would be refused.
#[test]
fn contract_for_an_unknown_database_is_refused() {
    let platform = Platform::start(PlatformConfig::default()).unwrap();
    let folder = Folder::new();
    let text = "workspace = \"w\"\ndatabases = [\"pardon\"]\nrate = 10\nburst = 10\n";
    let path = folder.write("contract.toml", text);
    let error = run_err(&["contract", "put", "--platform", &platform.url(), "--file", &path]);
    assert!(error.contains("the database `pardon` does not exist"), "{error}");
    assert_eq!(platform.calls().writes, 0);
}

/// Guards against a change that is reported as successful although another operator's change came first.
#[test]
fn conflict_names_the_change_of_the_other_operator() {
    let installation = Installation::start(&["stgo-a"]);
    let url = installation.platform.url();
    let (first, second) = (installation.write_contract(200), installation.write_contract(300));
    let put = |file: &str, expect: &str| {
        let args = ["contract", "put", "--platform", &url, "--no-wait"];
        run_command(&[&args[..], &["--file", file, "--expect", expect]].concat())
    };
    assert!(put(&first, "0").status.success());
    let readers = [first.clone(), second.clone()].map(|file| {
        let url = url.clone();
        thread::spawn(move || {
            let client = hibiscusladder::prelude::PlatformClient::new(
                url.trim_start_matches("http://"),
                support::WAIT_TIMEOUT,
            );
            let object = smol::block_on(client.get("contracts", "club-andino"));
            (file, object.unwrap().unwrap().version)
        })
    });
    let read: Vec<_> = readers.into_iter().map(|thread| thread.join().unwrap()).collect();
    assert!(put(&second, &read[1].1.to_string()).status.success());
    let conflict = put(&first, &read[0].1.to_string());
    assert!(!conflict.status.success());
    let error = join_wrapped_lines(&String::from_utf8_lossy(&conflict.stderr));
    assert!(error.contains("changed by another operator"), "{error}");
    assert!(error.contains("rate: 200.0 -> 300.0"), "{error}");
    assert!(error.contains("nothing was written"), "{error}");
}

/// Guards against a change that took effect but is reported as failed, so that the operator makes it a second time.
#[test]
fn change_with_a_lost_answer_is_reported_as_in_force() {
    let installation = Installation::start(&["stgo-a", "stgo-b"]);
    let url = installation.platform.url();
    let file = installation.write_contract(200);
    installation
        .platform
        .set_faults(PlatformFaults { drop_answers: 1, ..PlatformFaults::default() });
    let report = run_ok(&["contract", "put", "--platform", &url, "--file", &file]);
    assert!(report.contains("in force on all 2 live instances"), "{report}");
    let listed = run_ok(&["contract", "list", "--platform", &url, "--json"]);
    let listed: Value = serde_json::from_str(&listed).unwrap();
    assert_eq!(listed[0]["value"]["rate"], json!(200.0));
}

/// An instance that has not confirmed a change may still use the old state of an upstream.
#[test]
fn unconfirmed_change_names_the_instance() {
    let platform = Platform::start(PlatformConfig::default()).unwrap();
    let client = hibiscusladder::prelude::PlatformClient::new(
        &platform.address().to_string(),
        support::WAIT_TIMEOUT,
    );
    let status = json!({
        "data_centre": "stgo-a",
        "instances": [{ "id": "i7", "state": "live", "version": 0 }],
    });
    let record = json!({
        "name": "padron", "term": 1, "primary": "p1",
        "members": [{ "id": "p1", "data_centre": "stgo-a", "address": "127.0.0.1:1",
                      "slots": 1, "connections": 1 }],
    });
    smol::block_on(async {
        client.put("status", "stgo-a", Expected::Absent, &status).await.unwrap();
        client.put("databases", "padron", Expected::Absent, &record).await.unwrap();
    });
    let url = platform.url();
    let error = run_err(&["upstream", "leave", "--platform", &url, "p1"]);
    assert!(error.contains("is not confirmed by: i7"), "{error}");
    let listed = run_ok(&["upstream", "list", "--platform", &url, "--json"]);
    assert!(listed.contains("leaving"), "{listed}");
}

/// The demo is the first command that a new user runs, so its connection string must work.
#[test]
fn demo_prints_a_working_connection_string_and_ends() {
    let child = Command::new(BINARY)
        .args(["demo", "--seconds", "6"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut demo = Process(child);
    let mut lines = BufReader::new(demo.0.stdout.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    let url = line.split_whitespace().nth(1).unwrap().to_owned();
    let mut client = Client::connect(&url, NoTls).unwrap();
    client.batch_execute("CREATE TABLE socios (id INTEGER PRIMARY KEY, nombre TEXT)").unwrap();
    client.batch_execute("INSERT INTO socios VALUES (1, 'Ana')").unwrap();
    let row = client.query_one("SELECT nombre FROM socios", &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "Ana");
    drop(client);
    assert_eq!(lines.last().unwrap().unwrap(), "demo ended");
    assert_eq!(demo.exit_code(), 0);
}
