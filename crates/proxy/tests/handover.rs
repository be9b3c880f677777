//! Handover of a home to its successor.

#![allow(clippy::unwrap_used, reason = "a test fails when a step does")]

mod support;

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_core::{home_lease::LeaseEvent, name::MemberId};
use hibiscusladder_emulator::database::MemberFaults;
use support::{Cluster, Options};

/// Time until a first home may use its term part (2 s and clock drift) and has filled its share (1 s).
const FILL_TIME: Duration = Duration::from_millis(3300);
/// Rate in requests per second and burst in requests of the workspace; 30% of them are the anchor.
const RATE: f64 = 40.0;

/// Guards against a successor that starts with empty shares and without the term part after a handover. The
/// shares arrive before the successor can use its lease.
#[test]
fn hand_over_carries_shares() {
    let options = Options { members: vec!["p1"], rate: RATE, ..Options::default() };
    let cluster = Cluster::start_with(options);
    let member = MemberId::new("p1");
    let home = &cluster.instances[cluster.home_of("p1")];
    let successor_index = 1 - cluster.home_of("p1");
    let successor = &cluster.instances[successor_index];
    thread::sleep(FILL_TIME);
    // At its start each instance took the lock of the member, as it had no heartbeat of the other instance yet.
    let lease = successor.node.lease_or_new(&member);
    lease.handle(LeaseEvent::ConnectionLost, successor.node.now());
    let shares = home.homes.hand_over(&member);
    assert!(home.homes.hand_over(&member).is_empty(), "shares must be handed over once");
    // The RPC `handOver` of the home to its successor does both of these steps.
    lease.announce_handover(successor.node.now());
    assert!(successor.homes.take_over(&member, &shares));
    assert!(!lease.holds_lock(), "the shares must arrive before the lease");
    home.node.start_drain();
    let started = Instant::now();
    while !lease.usable(successor.node.now()) {
        assert!(started.elapsed() < Duration::from_secs(5), "the successor got no lease");
        thread::sleep(Duration::from_millis(5));
    }
    let mut client = cluster.client(successor_index);
    client.simple_query("SELECT 1").unwrap();
    // A second handover returns the shares that the successor took over.
    let taken = successor.homes.hand_over(&member);
    assert_eq!(taken.len(), 1);
    assert!(taken[0].tokens > RATE * 0.9, "{} tokens", taken[0].tokens);
    assert_eq!(taken[0].lent_for, Duration::ZERO, "the term part must be usable");
}

/// Guards against pooled connections that still work while the member is isolated from the instance: the emulated
/// member applies the fault only to connections that name their instance.
#[test]
fn isolated_instance_cannot_run_statements() {
    let times = "silence_bound = \"500ms\"";
    let cluster = Cluster::start_with(Options { members: vec!["p1"], times, ..Options::default() });
    let number = cluster.home_of("p1");
    let mut client = cluster.client(number);
    client.simple_query("SELECT 1").unwrap();
    let instance_id = cluster.instances[number].node.id().as_str().to_owned();
    let faults = MemberFaults { isolated_from: vec![instance_id], ..MemberFaults::default() };
    cluster.group.set_faults("p1", faults);
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || tx.send(client.simple_query("SELECT 2").is_ok()));
    assert_ne!(rx.recv_timeout(Duration::from_secs(1)), Ok(true));
    cluster.group.set_faults("p1", MemberFaults::default());
}
