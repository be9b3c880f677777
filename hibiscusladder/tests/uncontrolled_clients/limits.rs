//! Limits of one client, without load: which connections are closed, and which stay open.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::{
    clients::start,
    fleet::{open, process_log},
    watched::Watched,
};

/// Longest wait for the end of a connection; the limits of the instance are 2 and 3 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the instance accepts");
    stream.set_read_timeout(Some(CLOSE_TIMEOUT)).expect("an open socket");
    stream
}

/// Guards against a connection that stays open for as long as its client likes, and against a refusal that is neither
/// counted nor logged with the client's address.
#[test_case("STA", "first_message"; "in the first message")]
#[test_case(&(start() + "QUERY h1 WRITE item ha"), "message"; "in a request")]
fn unfinished_message_is_closed(text: &str, limit: &str) {
    let watched = Watched::start();
    let mut stream = connect(watched.fleet.gateways[0].callers);
    stream.write_all(text.as_bytes()).expect("the bytes are sent");
    let read = stream.read_to_end(&mut Vec::new());
    assert!(read.is_ok_and(|read| read < 100), "the connection is not closed");
    thread::sleep(Duration::from_millis(100));
    let log = process_log(&watched.fleet.gateways[0]);
    let peer = format!(r#""peer":"{}""#, stream.local_addr().expect("an address"));
    let mut lines = log.lines().filter(|line| line.contains("peer_limited"));
    let expected = format!(r#""limit":"{limit}""#);
    assert!(lines.any(|line| line.contains(&peer) && line.contains(&expected)), "{log}");
}

/// Guards against sessions that are closed although they are only idle between messages, and against a transaction whose
/// pause is taken for an unfinished message.
#[test]
fn idle_session_stays_open() {
    let watched = Watched::start();
    let address = watched.fleet.gateways[0].callers;
    let mut idle = open(address, PRIMARY_DATABASE, WORKSPACES[0]).expect("the session opens");
    let mut pausing = open(address, PRIMARY_DATABASE, WORKSPACES[0]).expect("the session opens");
    assert_eq!(pausing.query("b1", "BEGIN").expect("an answer").state, "T");
    for round in 0..2 {
        // Less than the longest pause of a transaction, and twice more than the limits of the instance.
        thread::sleep(Duration::from_millis(2500));
        let write = pausing.query(&format!("t{round}"), "WRITE paused 1").expect("an answer");
        assert_eq!((write.code(), write.state.as_str()), (None, "T"));
    }
    assert_eq!(pausing.query("c1", "COMMIT").expect("an answer").code(), None);
    assert_eq!(idle.query("r1", "READ paused").expect("an answer").rows, ["1"]);
}

/// Guards against values without bound, and against a session that is lost because it has reached the limit.
#[test]
fn session_state_is_limited() {
    let watched = Watched::start();
    let address = watched.fleet.gateways[0].callers;
    let mut session = open(address, PRIMARY_DATABASE, WORKSPACES[0]).expect("the session opens");
    let value = "x".repeat(900_000);
    let mut set = |name: &str, value: &str| {
        let reply = session.query(&format!("s-{name}"), &format!("SET {name} {value}"));
        reply.expect("an answer").code().map(str::to_owned)
    };
    assert_eq!(set("a", &value), None);
    assert_eq!(set("b", &value), None);
    assert_eq!(set("c", &value).as_deref(), Some("TOOBIG"));
    assert_eq!(set("a", "short"), None, "a value cannot be replaced by a shorter one");
    assert_eq!(set("c", &value), None);
    assert_eq!(session.query("w1", "WRITE item 1").expect("an answer").code(), None);
}
