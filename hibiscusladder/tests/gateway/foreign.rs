//! Entries of another writer among those of the members.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::fleet::{Fleet, query_once, save_logs};

/// Time within which a leaving primary has to be replaced.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(12);

/// A member's entry with one field replaced or added.
fn entry(field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("service", r#""padron""#),
        ("address", r#""127.0.0.1:9""#),
        ("version", r#""v1""#),
        ("capacity", "4"),
        ("zone", r#""north""#),
        ("cold_remaining_ms", "0"),
        ("state", r#""ready""#),
        ("sequence", "1"),
        ("db_role", r#""primary""#),
        ("born", "1"),
    ];
    let others = fields.iter().filter(|(name, _)| *name != field);
    let others = others.map(|(name, value)| format!(r#""{name}":{value},"#));
    format!(r#"{{{}"{field}":{value}}}"#, others.collect::<String>()).into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Guards against processes that know no member after a restart, because a page of the list of members has only entries that
/// cannot be read: a few large ones, or many small ones (`review/12`).
#[test_case(3, 400_000; "large entries")]
#[test_case(600, 100; "small entries")]
fn restart_beside_pages_of_another_writer(entries: usize, bytes: usize) {
    let mut fleet = Fleet::start(1);
    let mut spec = b"{\"notes\":\"".to_vec();
    spec.resize(bytes, b'\xf3');
    spec.extend_from_slice(b"\"}");
    for number in 0..entries {
        fleet.standin.publish_foreign_entry(&format!("backup-{number}"), &spec);
    }
    fleet.gateways[0].process.kill().expect("the process runs");
    fleet.restart(0);
    fleet.gateways[0].wait_until_serving();
}

/// Guards against an entry of another writer that hides the members, ends a process, or is used as a member.
#[test_case("i-x", b"{\"service\":\"padron\",\"address\":\"\xff\xfe\xc0\"}"; "bytes that are no text")]
#[test_case("i-x", b"{\"service\":\"pa\x01dron\"}"; "a control character")]
#[test_case("i-x", &entry("service", r#""\ud800""#); "half of a surrogate pair")]
#[test_case("i-x", &entry("sequence", "1e999"); "a number out of range")]
#[test_case("i-x", &entry("born", "18446744073709551616"); "a number too large")]
#[test_case("i-x", &entry("address", r#""127.0.0.1:65536""#); "a port out of range")]
#[test_case("i-x", &entry("address", r#""127.0.0.1:0""#); "port 0")]
#[test_case("i-x", &entry("state", &nested(100_000)); "a deeply nested field")]
#[test_case("i-x", nested(100_000).as_bytes(); "deeply nested")]
#[test_case("i x&after=\r\n", &entry("state", r#""ready""#); "a name that is no word")]
fn entry_of_another_writer_changes_nothing(name: &str, spec: &[u8]) {
    let mut fleet = Fleet::start(1);
    fleet.standin.publish_foreign_entry(name, spec);
    thread::sleep(Duration::from_millis(500));
    fleet.standin.lock_group().set_leaving(0, true);
    let until = Instant::now() + FAILOVER_TIMEOUT;
    while fleet.standin.lock_group().primary() == 0 {
        assert!(Instant::now() < until, "not replaced; logs in {}", save_logs(&fleet, "foreign"));
        thread::sleep(Duration::from_millis(20));
    }
    fleet.add(1);
    for gateway in &mut fleet.gateways {
        gateway.wait_until_serving();
        let ended = gateway.process.wait(Duration::ZERO).expect("the process");
        assert!(ended.is_none(), "{ended:?}");
    }
    let address = fleet.gateways[1].callers;
    let written = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], "after", "WRITE a 1");
    assert_eq!(written.expect("an answer").code(), None);
}
