//! Unresponsive connections, clients without a key, and an unconfirmed configuration.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    net::TcpListener,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_core::{
    contract::{Route, RouteRule},
    name::Database,
};
use hibiscusladder_proxy::rpc::{Rpc, RpcError};
use postgres::{Client, NoTls, SimpleQueryMessage};
use support::{Cluster, Options};

fn value(client: &mut Client, sql: &str) -> String {
    let messages = client.simple_query(sql).unwrap();
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.unwrap_or_default().to_owned()
}

fn sqlstate(error: &postgres::Error) -> String {
    error.code().map_or_else(|| format!("{error:?}"), |code| code.code().to_owned())
}

/// Starts a cluster with fault proxies in front of the members and creates the table `clubs`.
fn start_with_fault_proxies(statement_us: u64) -> Cluster {
    let times = "silence_bound = \"400ms\"";
    let cluster = Cluster::start_with(Options {
        fault_proxies: true,
        times,
        statement_us,
        ..Options::default()
    });
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE clubs (id integer PRIMARY KEY)").unwrap();
    cluster
}

/// Guards against reads that hang on unresponsive connections while new connections work.
#[test]
fn silent_connections_read() {
    let cluster = start_with_fault_proxies(0);
    let mut client = cluster.client(1);
    assert_eq!(value(&mut client, "SELECT count(*) FROM clubs"), "0");
    for fault_proxy in &cluster.fault_proxies {
        fault_proxy.blackhole_connections();
    }
    let started = Instant::now();
    assert_eq!(value(&mut client, "SELECT count(*) FROM clubs"), "0");
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

/// Guards against "not run", a wait without limit or a second execution when the answer to a write does not arrive.
#[test]
fn silent_connection_write() {
    let cluster = start_with_fault_proxies(700_000);
    let mut client = cluster.client(0);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(300));
            cluster.fault_proxies[0].blackhole_connections();
        });
        let error = client.batch_execute("INSERT INTO clubs VALUES (1)").unwrap_err();
        assert_eq!(sqlstate(&error), "08007", "{error:?}");
    });
    assert_eq!(cluster.received_count("INSERT INTO clubs"), 1);
}

/// Guards against a write with a request id that is lost or run twice when its connection becomes unresponsive.
#[test]
fn silent_connection_request_id() {
    let cluster = start_with_fault_proxies(200_000);
    let mut client = cluster.client(0);
    for id in 0..3 {
        let fault_proxy = &cluster.fault_proxies[0];
        thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(150 + 250 * id));
                fault_proxy.blackhole_connections();
            });
            client.batch_execute(&format!("SET hibiscus.request_id = 's{id}'")).unwrap();
            client.batch_execute(&format!("INSERT INTO clubs VALUES ({id})")).unwrap();
        });
    }
    assert_eq!(value(&mut client, "SELECT count(*) FROM clubs"), "3");
}

/// Guards against calls that wait without limit for an unresponsive instance.
#[test]
fn silent_instance() {
    // The system accepts connections into the backlog of the listener; nothing answers them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: Arc<str> = listener.local_addr().unwrap().to_string().into();
    let rpc = Rpc::start().unwrap();
    let started = Instant::now();
    let error = smol::block_on(rpc.read_index(&address, &Database::new("padron"))).unwrap_err();
    assert!(matches!(error, RpcError::MaybeSent { .. }), "{error:?}");
    assert!(started.elapsed() < Duration::from_secs(3));
    drop(listener);
    thread::sleep(Duration::from_millis(2_500));
    let error = smol::block_on(rpc.status(&address)).unwrap_err();
    assert!(matches!(error, RpcError::NotSent { .. }), "{error:?}");
}

fn open_route() -> Vec<Route> {
    let rule = RouteRule::OpenRead { max_age_ms: 5_000 };
    vec![Route { tables: vec!["horarios".into()], rule }]
}

/// Guards against clients without a key that run other statements than reads on the open routes.
#[test]
fn open_routes_without_key() {
    let cluster = Cluster::start_with(Options { routes: open_route(), ..Options::default() });
    let mut keyed = cluster.client(0);
    keyed
        .batch_execute("CREATE TABLE horarios (hora text); CREATE TABLE socios (id integer)")
        .unwrap();
    keyed.batch_execute("INSERT INTO horarios VALUES ('18:00')").unwrap();
    thread::sleep(Duration::from_millis(500));
    let mut open = cluster.config(1).password("").connect(NoTls).unwrap();
    assert_eq!(value(&mut open, "SELECT hora FROM horarios"), "18:00");
    for sql in [
        "SELECT * FROM socios",
        "SELECT * FROM horarios, socios",
        "INSERT INTO horarios VALUES ('0')",
        "SELECT 1",
        "BEGIN",
    ] {
        let error = open.batch_execute(sql).unwrap_err();
        assert_eq!(sqlstate(&error), "28000", "{sql}");
    }
    assert!(cluster.config(0).password("hlk_a_0").connect(NoTls).is_err());
}

/// Guards against requests with a key that are served on a configuration whose latest proof is too old.
#[test]
fn configuration_unconfirmed() {
    let times = "max_config_age = \"1s\"";
    let cluster =
        Cluster::start_with(Options { times, routes: open_route(), ..Options::default() });
    let mut client = cluster.client(0);
    client.batch_execute("CREATE TABLE horarios (hora text)").unwrap();
    client.batch_execute("INSERT INTO horarios VALUES ('18:00')").unwrap();
    cluster.withhold_proofs();
    thread::sleep(Duration::from_millis(1_500));
    let error = client.batch_execute("INSERT INTO horarios VALUES ('late')").unwrap_err();
    assert_eq!(sqlstate(&error), "57P03");
    assert!(error.as_db_error().unwrap().message().starts_with("not run"));
    assert_eq!(cluster.received_count("late"), 0);
    assert_eq!(value(&mut client, "SELECT hora FROM horarios"), "18:00");
}
