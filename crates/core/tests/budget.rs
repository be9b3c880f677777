//! Which peers are closed or refused when the budget of a process is exceeded.

use std::time::Duration;

use hibiscusladder_core::{
    budget::{Activity, Budget, Limits, Origin, PeerId},
    clock::Instant,
};

const CONNECTIONS: usize = 4;

fn at(seconds: u64) -> Instant {
    Instant::new(Duration::from_secs(seconds))
}

fn budget() -> Budget {
    let callers = CONNECTIONS;
    Budget::new(Limits { bytes: 1000, connections: callers + 1, callers, connection_bytes: 0 })
}

fn open(budget: &mut Budget, bytes: usize, activity: Activity, seconds: u64) -> PeerId {
    let peer = budget.open(Origin::Caller, at(seconds)).peer.expect("there is room");
    assert!(budget.charge(peer, bytes, at(seconds)).granted);
    budget.set_activity(peer, activity, at(seconds));
    peer
}

/// Guards against a budget that is exceeded, and against one that closes more peers than needed.
#[test]
fn charge_closes_the_heaviest_unfinished_peers() {
    let mut budget = budget();
    let large = open(&mut budget, 500, Activity::Unfinished, 1);
    let small = open(&mut budget, 100, Activity::Unfinished, 1);
    let asking = open(&mut budget, 300, Activity::Unfinished, 2);
    let charged = budget.charge(asking, 200, at(2));
    assert_eq!((charged.granted, charged.closed), (true, vec![large]));
    assert_eq!(budget.used(), 600);
    assert!(!budget.charge(large, 1, at(2)).granted, "a closed peer gets bytes");
    assert!(budget.charge(small, 1, at(2)).granted);
}

/// Guards against small peers that stay unfinished for ever while callers that make progress are closed.
#[test]
fn charge_closes_a_small_peer_that_is_unfinished_for_long() {
    let mut budget = budget();
    let slow = open(&mut budget, 100, Activity::Unfinished, 0);
    let asking = open(&mut budget, 800, Activity::Unfinished, 60);
    assert_eq!(budget.charge(asking, 200, at(60)).closed, [slow]);
}

/// Guards against a peer that has others closed although it is the heaviest one itself.
#[test]
fn charge_refuses_the_heaviest_peer() {
    let mut budget = budget();
    let other = open(&mut budget, 200, Activity::Unfinished, 1);
    let asking = open(&mut budget, 700, Activity::Unfinished, 1);
    let charged = budget.charge(asking, 200, at(2));
    assert_eq!((charged.granted, charged.closed), (false, vec![]));
    assert!(budget.charge(other, 100, at(2)).granted);
}

/// Guards against ordinary callers that are closed while there are unfinished ones, or whose request is running.
#[test]
fn charge_closes_ordinary_peers_last() {
    let mut budget = budget();
    let idle = open(&mut budget, 500, Activity::Idle, 1);
    let running = open(&mut budget, 300, Activity::Running, 1);
    let unfinished = open(&mut budget, 100, Activity::Unfinished, 1);
    let asking = open(&mut budget, 0, Activity::Running, 2);
    assert_eq!(budget.charge(asking, 200, at(2)).closed, [unfinished]);
    assert_eq!(budget.charge(asking, 200, at(2)).closed, [idle]);
    let charged = budget.charge(asking, 500, at(2));
    assert_eq!((charged.granted, charged.closed), (false, vec![]));
    assert!(budget.charge(running, 1, at(2)).granted);
}

/// Guards against an idle session that is closed for one that would hold more than it.
#[test]
fn charge_closes_no_smaller_idle_peer() {
    let mut budget = budget();
    open(&mut budget, 400, Activity::Idle, 1);
    let asking = open(&mut budget, 500, Activity::Running, 2);
    let charged = budget.charge(asking, 200, at(2));
    assert_eq!((charged.granted, charged.closed), (false, vec![]));
}

/// Guards against answers that are dropped although they are in memory already.
#[test]
fn charge_held_always_counts() {
    let mut budget = budget();
    let unfinished = open(&mut budget, 600, Activity::Unfinished, 1);
    let asking = open(&mut budget, 0, Activity::Running, 2);
    assert_eq!(budget.charge_held(asking, 1500, at(2)), [unfinished]);
    assert_eq!(budget.used(), 1500);
}

/// Guards against connections that send nothing and keep others out, and against a limit that is exceeded.
#[test]
fn open_closes_the_longest_unfinished_peer() {
    let mut budget = budget();
    open(&mut budget, 0, Activity::Idle, 0);
    let older = open(&mut budget, 0, Activity::Unfinished, 1);
    let newer = open(&mut budget, 0, Activity::Unfinished, 2);
    open(&mut budget, 0, Activity::Running, 3);
    let opened = budget.open(Origin::Caller, at(4));
    assert_eq!(opened.closed, [older]);
    let opened = opened.peer.expect("room was made");
    budget.set_activity(newer, Activity::Idle, at(4));
    budget.set_activity(opened, Activity::Idle, at(4));
    assert_eq!(
        budget.open(Origin::Caller, at(5)).peer,
        None,
        "an ordinary peer is closed for a new one"
    );
    budget.close(newer);
    assert!(budget.open(Origin::Caller, at(6)).peer.is_some());
    assert_eq!(budget.connections(), CONNECTIONS);
}

/// Guards against callers that take the connections of other instances, and against others that keep callers out.
#[test]
fn open_keeps_room_for_others() {
    let mut budget = budget();
    for _ in 0..CONNECTIONS {
        open(&mut budget, 0, Activity::Idle, 0);
    }
    let first = budget.open(Origin::Other, at(1)).peer.expect("there is room");
    assert_eq!(budget.open(Origin::Caller, at(2)).peer, None);
    assert_eq!(budget.open(Origin::Other, at(2)).closed, [first]);
    assert_eq!(budget.connections(), CONNECTIONS + 1);
    assert_eq!(budget.finished(), CONNECTIONS);
}

/// Guards against connections of members that count as those of callers.
#[test]
fn add_reserved_takes_no_connection() {
    let mut budget = budget();
    let member = budget.add_reserved(at(0));
    assert!(budget.charge(member, 900, at(0)).granted);
    assert_eq!((budget.connections(), budget.used()), (0, 900));
    budget.release(member, 400);
    assert_eq!(budget.used(), 500);
    budget.close(member);
    assert_eq!(budget.used(), 0);
}

/// Guards against a peer that begins anew with each byte, so that it never counts as slow.
#[test]
fn set_activity_keeps_the_start() {
    let mut budget = budget();
    let slow = open(&mut budget, 100, Activity::Unfinished, 0);
    let quick = open(&mut budget, 300, Activity::Unfinished, 58);
    budget.set_activity(slow, Activity::Unfinished, at(59));
    let asking = open(&mut budget, 600, Activity::Running, 60);
    assert_eq!(budget.charge(asking, 100, at(60)).closed, [slow]);
    assert!(budget.charge(quick, 0, at(60)).granted);
}
