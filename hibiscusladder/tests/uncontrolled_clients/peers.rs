//! Peers that are not clients: at the HTTP ports, at the port for calls of other instances, and members.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::{clients::Crowd, fleet::query_once, watched::Watched};

/// Number of connections, more than the instance may have descriptors.
const CONNECTIONS: usize = 450;
/// Time in which the instance reads what all peers have sent.
const READ_TIME: Duration = Duration::from_secs(2);

/// Port of an instance.
#[derive(Debug, Clone, Copy)]
enum Port {
    Readiness,
    State,
    Metrics,
    Tunnels,
}

impl Port {
    fn address(self, watched: &Watched) -> SocketAddr {
        let gateway = &watched.fleet.gateways[0];
        let internal = |offset| {
            let ports = gateway.setting("internal_ports");
            let first = ports.split(',').next().and_then(|port| port.parse::<u16>().ok());
            SocketAddr::from(([127, 0, 0, 1], first.expect("a port") + offset))
        };
        match self {
            Self::Readiness => {
                gateway.setting("bind_addresses.readiness").parse().expect("an address")
            }
            Self::State => internal(0),
            Self::Metrics => internal(1),
            Self::Tunnels => internal(2),
        }
    }
}

/// Guards against peers that keep the descriptors of an instance at a port that is not for clients, and against probes that
/// are not answered because of them.
#[test_case(Port::Readiness, "GET / HT", "readiness"; "readiness")]
#[test_case(Port::State, "GET /mem", "state"; "state")]
#[test_case(Port::Metrics, "", "metrics"; "metrics")]
#[test_case(Port::Tunnels, "\0", "tunnels"; "tunnels")]
fn connections_that_stop_halfway(port: Port, text: &str, name: &str) {
    let mut watched = Watched::start();
    let mut crowd = Crowd::connect(port.address(&watched), CONNECTIONS);
    crowd.send_each(|_| text.as_bytes().to_vec());
    watched.check_serves("ordinary");
    let (status, page) = get(Port::Readiness.address(&watched), "/");
    assert!(status.contains(" 200 "), "{status}");
    drop(crowd);
    let (_, metrics) = get(Port::Metrics.address(&watched), "/metrics");
    assert!(page.is_empty() && metrics.contains("hibiscus_sessions"), "{metrics}");
    watched.check_limits(name);
}

/// Guards against an instance that holds headers up to their end, or for as long as none comes.
#[test]
fn http_headers_without_end() {
    const HEADERS: usize = 200;
    const HEADER_BYTES: usize = 400_000;
    let mut watched = Watched::start();
    let crowd = Crowd::connect(Port::Readiness.address(&watched), HEADERS);
    let header = "x".repeat(HEADER_BYTES);
    crowd.at_once(
        |_, stream| write!(stream, "GET / HTTP/1.1\r\nlong: {header}"),
        |_, _| {
            thread::sleep(READ_TIME);
            Ok(())
        },
    );
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("headers");
}

/// Guards against an instance that holds frames of other instances that never end.
#[test]
fn tunnel_frames_without_end() {
    const FRAMES: usize = 100;
    const SENT_BYTES: usize = 1_000_000;
    let mut watched = Watched::start();
    let crowd = Crowd::connect(Port::Tunnels.address(&watched), FRAMES);
    crowd.at_once(
        |_, stream| {
            stream.write_all(&u32::try_from(4 << 20).unwrap_or(0).to_be_bytes())?;
            stream.write_all(&vec![1; SENT_BYTES])
        },
        |_, _| {
            thread::sleep(READ_TIME);
            Ok(())
        },
    );
    watched.check_serves("ordinary");
    drop(crowd);
    watched.check_limits("frames");
}

/// Guards against an answer of a member that is far too long.
#[test]
fn member_answers_far_over_the_limit() {
    const VALUE_BYTES: usize = 500_000;
    const ROWS: usize = 200;
    let mut watched = Watched::start();
    let address = watched.fleet.gateways[0].callers;
    let query =
        |id: &str, text: &str| query_once(address, PRIMARY_DATABASE, WORKSPACES[0], id, text);
    let written = query("w1", &format!("WRITE large {}", "x".repeat(VALUE_BYTES)));
    assert!(written.expect("an answer").outcome.is_ok());
    watched.fleet.standin.lock_group().set_rows(ROWS);
    let read = query("r1", "READ large");
    assert!(read.is_ok_and(|reply| reply.code().is_some()), "the answer is served or none comes");
    watched.fleet.standin.lock_group().set_rows(1);
    watched.check_serves("ordinary");
    watched.check_limits("member-answers");
}

/// Status line and body of a page.
fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("the instance accepts");
    stream.set_read_timeout(Some(READ_TIME)).expect("an open socket");
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").ok();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    (head.lines().next().unwrap_or_default().to_owned(), body.to_owned())
}
