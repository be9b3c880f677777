//! State of the other instances from their messages and registrations.

use std::{net::SocketAddr, time::Duration};

use hibiscusladder_core::{clock::Instant, name::InstanceId, store_version::StoreVersion};
use hibiscusladder_gateway::{
    message::{Extension, GroupInfo, Registration, RosterVersion, Status, StoreSection},
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
    peers.register(&[registration()], false, at(0));
    assert!(!peers.all_confirmed("padron", 2, at(30)));
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
    assert!(!peers.all_confirmed("padron", 2, at(30)));
    message.sent = 2;
    message.groups = vec![info(2)];
    peers.receive(&message, address(), at(20));
    assert!(peers.all_confirmed("padron", 2, at(30)));
    assert!(!peers.all_confirmed("padron", 2, at(1100)), "the instance is not live");
}

/// Guards against the removal of a live instance whose registration is not in a list that was made before it
/// registered.
#[test]
fn register_keeps_live_instances() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], false, at(0));
    peers.receive(&status(1, 1), address(), at(100));
    peers.register(&[], false, at(200));
    assert_eq!(peers.names(), [InstanceId::from("b")]);
    peers.register(&[], false, at(5000));
    assert!(peers.names().is_empty());
}

/// Guards against a hub that removes the registration of an instance which sends its messages to other hubs, or of one
/// whose messages it has expected for a short time only.
#[test]
fn unresponsive_counts_from_the_first_expected_message() {
    let timeout = Duration::from_secs(60);
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], false, at(0));
    assert!(peers.unresponsive(timeout, at(100_000)).is_empty(), "it sends to other hubs");
    peers.expect_messages(|_| true, at(100_000));
    peers.expect_messages(|_| true, at(130_000));
    assert!(peers.unresponsive(timeout, at(159_000)).is_empty());
    assert_eq!(peers.unresponsive(timeout, at(160_000)), [InstanceId::from("b")]);
    peers.receive(&status(1, 1), address(), at(161_000));
    assert!(peers.unresponsive(timeout, at(200_000)).is_empty());
    peers.expect_messages(|_| false, at(300_000));
    assert!(peers.unresponsive(timeout, at(300_000)).is_empty());
}

/// Guards against a lost instance that is reported twice, or not at all when the check is late.
#[test]
fn newly_unresponsive_reports_each_loss_once() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.receive(&status(1, 1), address(), at(0));
    assert!(peers.newly_unresponsive(at(900)).is_empty());
    assert_eq!(peers.newly_unresponsive(at(7000)), [InstanceId::from("b")]);
    assert!(peers.newly_unresponsive(at(7010)).is_empty());
    peers.receive(&status(1, 2), address(), at(8000));
    assert_eq!(peers.newly_unresponsive(at(9100)), [InstanceId::from("b")]);
}

/// Guards against a list of the store for each message of an instance that stays unregistered.
#[test]
fn receive_reports_an_unregistered_instance_once() {
    let mut peers = Peers::new("a".into(), at(0));
    let is_unregistered = |peers: &mut Peers, sent| {
        peers.receive(&status(1, sent), address(), at(sent)).expect("newer").is_unregistered
    };
    assert!(is_unregistered(&mut peers, 1));
    assert!(!is_unregistered(&mut peers, 2));
    peers.register(&[registration()], false, at(3));
    assert!(!is_unregistered(&mut peers, 4));
    peers.register(&[], false, at(5));
    assert!(is_unregistered(&mut peers, 6), "its registration was removed");
}

/// Guards against an instance that counts as unregistered for 25 s, so that more of a rate accrues than it is, because the list
/// that its first message caused was read just before its registration was written.
#[test]
fn receive_reports_an_unregistered_instance_after_a_list_without_it() {
    let mut peers = Peers::new("a".into(), at(0));
    let mut reports = 0;
    for sent in 1..100 {
        let received = peers.receive(&status(1, sent), address(), at(sent)).expect("newer");
        if received.is_unregistered {
            reports += 1;
            peers.register(&[], false, at(sent));
        }
    }
    assert!((2..10).contains(&reports), "{reports} lists for an instance that stays unregistered");
}

/// Guards against a follower that keeps the members and the instances from before a restore of the store, because their
/// revisions are higher than those assigned since.
#[test]
fn newest_orders_eras_before_revisions() {
    let mut peers = Peers::new("a".into(), at(0));
    let mut receive = |from: &str, era, revision| {
        let mut message = status(1, 1);
        message.from = from.into();
        message.members_revision = revision;
        peers.receive(&message, address(), at(10)).expect("a new message");
        let roster = Some(RosterVersion { revision, digest: era });
        let extension = Extension { roster, ..Extension::default() };
        let store = StoreSection { era, members: era, roster: era };
        peers.record_extension(&InstanceId::new(from), &extension, store);
    };
    receive("b", 1, 530);
    receive("c", 2, 521);
    let known = StoreVersion::new(1, 529);
    assert_eq!(peers.members_ahead(known, None, at(20)), ["c".into()]);
    assert!(peers.members_ahead(StoreVersion::new(2, 521), None, at(20)).is_empty());
    let (roster, from) = peers.newest_roster(at(20)).expect("both offer a list");
    assert_eq!((roster.version, from), (StoreVersion::new(2, 521), "c".into()));
}

/// Guards against roles and shares of tokens that change because a restored store lacks registrations.
#[test]
fn register_keeps_instances_that_a_restored_store_may_lack() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], false, at(0));
    peers.register(&[], true, at(10));
    assert_eq!(peers.registrations().count(), 1);
    assert_eq!(peers.kept(), ["b".into()]);
    peers.register(&[registration()], true, at(20));
    assert!(peers.kept().is_empty());
    peers.register(&[], false, at(30));
    assert_eq!(peers.registrations().count(), 0);
}

/// Guards against roles that change because a restored store has the registration of an instance again that had been removed,
/// and against one that stays in the store; an instance that sends messages is none of these.
#[test]
fn register_leaves_out_what_a_restore_has_brought_back() {
    let mut peers = Peers::new("a".into(), at(0));
    peers.register(&[registration()], false, at(0));
    peers.register(&[], false, at(10));
    peers.register(&[registration()], true, at(20));
    assert_eq!(peers.registrations().count(), 0);
    assert!(!peers.is_leftover("b", at(10_019)));
    assert!(peers.is_leftover("b", at(10_020)));
    peers.receive(&status(1, 1), address(), at(10_030)).expect("a new message");
    peers.register(&[registration()], true, at(10_040));
    assert_eq!(peers.registrations().count(), 1);
    assert!(!peers.is_leftover("b", at(30_000)));
}
