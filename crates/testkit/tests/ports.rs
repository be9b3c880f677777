//! Free ports for child processes.

use std::{collections::BTreeSet, io, net::TcpListener};

use hibiscusladder_testkit::ports::free_port;

/// Guards against random failures of processes that get the same port, or a port that an outgoing connection may take.
#[test]
fn free_port_is_unused_and_handed_out_once() -> io::Result<()> {
    let ports: Vec<u16> = (0..200).map(|_| free_port()).collect::<io::Result<_>>()?;
    assert_eq!(ports.iter().collect::<BTreeSet<_>>().len(), ports.len());
    assert!(ports.iter().all(|port| *port < 32_768));
    let listener = TcpListener::bind(("127.0.0.1", ports[0]))?;
    assert_eq!(listener.local_addr()?.port(), ports[0]);
    Ok(())
}
