//! State of the other instances from their messages and registrations.

use std::{net::SocketAddr, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId};
use hibiscusladder_gateway::{
    message::{GroupInfo, Registration, Status},
    peers::{Peers, nanos},
};

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn address() -> SocketAddr {
    ([10, 0, 0, 2], 7560).into()
}

fn status(started: u64, sent: u64) -> Status {
    Status {
        from: "b".into(),
        started,
        sent,
        acknowledged: None,
        version: 1,
        members_revision: 0,
        groups: Vec::new(),
        demands: Vec::new(),
    }
}

fn registration() -> (InstanceId, Registration) {
    let tunnels = ([10, 0, 0, 2], 7562).into();
    let data_centre = "north".into();
    ("b".into(), Registration { address: address(), tunnels, data_centre, capacity: 250 })
}

/// Guards against an old state that replaces a newer one, when messages overtake each other or come from an earlier
/// process of the sender.
#[test]
fn receive_ignores_older_messages() {
    let mut peers = Peers::new("a".into(), at(0));
    assert!(peers.receive(&status(1, 20), address(), at(10)).is_some());
    assert!(peers.receive(&status(1, 10), address(), at(11)).is_none());
    assert!(peers.receive(&status(0, 90), address(), at(12)).is_none(), "an older process");
    assert!(peers.receive(&status(2, 5), address(), at(13)).is_some(), "a newer process");
}

/// Guards against ages that are counted from the acknowledgement of a message of an earlier process: the clock reading
/// of that process has no meaning in this one.
#[test]
fn receive_accepts_acknowledgements_of_this_process_only() {
    let mut peers = Peers::new("a".into(), at(100));
    let mut message = status(1, 1);
    message.acknowledged = Some((nanos(at(100)), nanos(at(150))));
    let received = peers.receive(&message, address(), at(200)).expect("a new message");
    assert_eq!(received.acknowledged, Some(at(150)));
    message.sent = 2;
    message.acknowledged = Some((nanos(at(50)), nanos(at(150))));
    let received = peers.receive(&message, address(), at(210)).expect("a new message");
    assert_eq!(received.acknowledged, None);
}

/// Guards against a promotion before an instance that is registered but has sent no message has confirmed the fence.
#[test]
fn all_confirmed_waits_for_instances_without_message() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], at(0));
    assert!(!peers.all_confirmed("padron", 2));
    let mut message = status(1, 1);
    let info = |confirmed| GroupInfo {
        group: "padron".into(),
        leader: None,
        fence: None,
        confirmed,
        suspected: None,
    };
    message.groups = vec![info(1)];
    peers.receive(&message, address(), at(10));
    assert!(!peers.all_confirmed("padron", 2));
    message.sent = 2;
    message.groups = vec![info(2)];
    peers.receive(&message, address(), at(20));
    assert!(peers.all_confirmed("padron", 2));
}

/// Guards against the removal of a live instance whose registration is not in a list that was made before it
/// registered.
#[test]
fn register_keeps_live_instances() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], at(0));
    peers.receive(&status(1, 1), address(), at(100));
    peers.register(&[], at(200));
    assert_eq!(peers.names(), [InstanceId::from("b")]);
    peers.register(&[], at(5000));
    assert!(peers.names().is_empty());
}
