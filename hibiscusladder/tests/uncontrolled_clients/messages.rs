//! Many large messages at once: legal ones, ones that are too long, and ones sent ahead.

use std::{io::Write, thread, time::Duration};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::{
    clients::{Crowd, read_all, skip_line},
    fleet::query_once,
    watched::Watched,
};

/// Number of clients with messages.
const CLIENTS: usize = 100;
/// Size of a large message that the protocol permits, and of a value of an item.
const MESSAGE_BYTES: usize = 1_000_000;
/// Size of a message far over the limit.
const OVERLONG_BYTES: usize = 8_000_000;
/// Size of the parts of a message that is sent in small pieces.
const PIECE_BYTES: usize = 1000;
/// Time in which the instance reads what all clients have sent, and runs their statements.
const READ_TIME: Duration = Duration::from_secs(2);

/// Guards against an instance that holds as much as its clients send: each client's message is legal, and all of them
/// together are more than the memory of the instance.
#[test_case(MESSAGE_BYTES, "one-piece"; "in one piece")]
#[test_case(PIECE_BYTES, "small-pieces"; "in small pieces")]
fn many_legal_messages_at_once(piece: usize, name: &str) {
    let mut watched = Watched::start();
    let crowd = Crowd::open(watched.fleet.gateways[0].callers, CLIENTS);
    let data = "x".repeat(MESSAGE_BYTES);
    crowd.at_once(
        |number, stream| {
            let message = format!("QUERY m{number} WRITE large {data}");
            message.as_bytes().chunks(piece).try_for_each(|piece| stream.write_all(piece))
        },
        |_, stream| {
            stream.write_all(b"\r\n")?;
            read_all(stream)
        },
    );
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits(name);
}

/// Guards against an instance that holds a message that is too long up to its end, or for as long as none comes.
#[test_case("\r\n", "overlong-with-end"; "with an end")]
#[test_case("", "overlong-without-end"; "without an end")]
fn messages_far_over_the_limit(end: &str, name: &str) {
    let mut watched = Watched::start();
    let crowd = Crowd::open(watched.fleet.gateways[0].callers, CLIENTS);
    let data = "x".repeat(OVERLONG_BYTES);
    let (within_limit, over_limit) = data.split_at(MESSAGE_BYTES);
    crowd.at_once(
        |number, stream| write!(stream, "QUERY o{number} WRITE large {within_limit}"),
        |_, stream| {
            // The instance reads what is within the limit first, of all clients.
            thread::sleep(READ_TIME);
            let mut pieces = over_limit.as_bytes().chunks(PIECE_BYTES);
            pieces.try_for_each(|piece| stream.write_all(piece))?;
            stream.write_all(end.as_bytes())?;
            read_all(stream)
        },
    );
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits(name);
}

/// Guards against values of one session that grow without bound, set by messages of legal size that are sent ahead on one
/// connection whose answers are not read.
#[test]
fn many_messages_ahead_on_one_connection() {
    const VALUES: usize = 400;
    const VALUE_BYTES: usize = 250_000;
    let mut watched = Watched::start();
    let mut crowd = Crowd::open(watched.fleet.gateways[0].callers, 1);
    let value = "x".repeat(VALUE_BYTES);
    crowd.for_each(|_, stream| {
        (0..VALUES)
            .try_for_each(|number| write!(stream, "QUERY v{number} SET name-{number} {value}\r\n"))
    });
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("ahead-on-one-connection");
}

/// Guards against an instance that holds the long ids of open transactions without counting them (`review/8`).
#[test]
fn open_transactions_with_long_ids() {
    let mut watched = Watched::start();
    let mut crowd = Crowd::open(watched.fleet.gateways[0].callers, CLIENTS);
    let id = "x".repeat(MESSAGE_BYTES);
    crowd.for_each(|_, stream| {
        write!(stream, "QUERY {id} BEGIN\r\n")?;
        skip_line(stream)
    });
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("long-ids");
}

/// Guards against answers that an instance holds for clients that do not read them.
#[test]
fn many_messages_ahead_without_reading() {
    const MESSAGES_AHEAD: usize = 8;
    let mut watched = Watched::start();
    let address = watched.fleet.gateways[0].callers;
    let text = format!("WRITE large {}", "x".repeat(MESSAGE_BYTES));
    let written = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], "large", &text);
    assert!(written.expect("an answer").outcome.is_ok());
    let mut crowd = Crowd::open(address, CLIENTS);
    crowd.send_each(|number| {
        let message = |message| format!("QUERY a{number}-{message} READ large\r\n");
        (0..MESSAGES_AHEAD).map(message).collect::<String>().into_bytes()
    });
    thread::sleep(READ_TIME);
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("ahead-without-reading");
}
