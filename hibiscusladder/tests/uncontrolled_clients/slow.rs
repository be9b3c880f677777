//! Many clients that are slow, stop halfway, or send nothing.

use std::{
    io::{Read, Write},
    thread,
    time::Duration,
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::{
    clients::{Crowd, start},
    fleet::query_once,
    watched::Watched,
};

/// Number of clients, more than the instance may have descriptors.
const CLIENTS: usize = 450;
/// Rounds of the slow clients, in each of which each of them sends or reads one byte.
const ROUNDS: usize = 40;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against clients that keep descriptors for as long as they like because they stop halfway.
#[test_case(&[], "silent"; "before the first byte")]
#[test_case(&["STA"], "half-handshake"; "in the first message")]
#[test_case(&[&start(), "QUERY h1 WRITE item ha"], "half-request"; "in a request")]
#[test_case(&[&start(), "QUERY b1 BEGIN\r\n", "QUERY b2 WRITE item data\r\n"], "transaction"; "in a transaction")]
fn clients_that_stop_halfway(texts: &[&str], name: &str) {
    let mut watched = Watched::start();
    let mut crowd = Crowd::connect(watched.fleet.gateways[0].callers, CLIENTS);
    crowd.send_each(|_| texts.concat().into_bytes());
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits(name);
}

/// Guards against clients that keep descriptors because each byte that they send counts as progress.
#[test]
fn clients_that_send_slowly() {
    let mut watched = Watched::start();
    let mut crowd = Crowd::connect(watched.fleet.gateways[0].callers, CLIENTS);
    let text = start() + "QUERY slow WRITE item data\r\n";
    for byte in text.as_bytes().iter().take(ROUNDS) {
        crowd.for_each(|_, stream| stream.write_all(&[*byte]));
        thread::sleep(ROUND_INTERVAL);
    }
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("slow-senders");
}

/// Guards against clients that keep descriptors and answers because each byte that they read counts as progress.
#[test]
fn clients_that_read_slowly() {
    /// More than the operating system takes for a client that does not read.
    const VALUE_BYTES: usize = 1_000_000;
    let mut watched = Watched::start();
    let address = watched.fleet.gateways[0].callers;
    let text = format!("WRITE large {}", "x".repeat(VALUE_BYTES));
    let written = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], "large", &text);
    assert!(written.expect("an answer").outcome.is_ok());
    let mut crowd = Crowd::connect(address, CLIENTS);
    crowd.send_each(|number| {
        let query = |query| format!("QUERY l{number}-{query} READ large\r\n");
        (start() + &(0..8).map(query).collect::<String>()).into_bytes()
    });
    for _ in 0..ROUNDS {
        crowd.for_each(|_, stream| {
            stream.set_nonblocking(true)?;
            stream.read_exact(&mut [0])
        });
        thread::sleep(ROUND_INTERVAL);
    }
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("slow-readers");
}
