//! Configuration, groups and membership in the shared state of an instance.

use std::{collections::HashSet, sync::Arc, time::Duration};

use futures::FutureExt;
use hibiscusladder_core::{
    config::{Change, Changes, ConfigValidity, Kind},
    membership::{Heartbeat, InstanceInfo, InstanceState, TermInfo},
    position::Term,
};
use hibiscusladder_proxy::{metrics::Metrics, node::Node, settings::Settings};

const SETTINGS: &str = r#"
topology = [{ data_centre = "a", region = "r" }, { data_centre = "b", region = "r" }]
[instance]
id = "i1"
data_centre = "a"
listen = "127.0.0.1:1"
rpc = "127.0.0.1:2"
health = "127.0.0.1:3"
[platform]
url = "http://127.0.0.1:4"
[upstream]
user = "u"
password = "p"
"#;

const DATABASE: &str = r#"{"name":"d","term":1,"primary":"m1","members":[
    {"id":"m1","data_centre":"a","address":"127.0.0.1:5","slots":1,"connections":4},
    {"id":"m2","data_centre":"b","address":"127.0.0.1:6","slots":1,"connections":4}]}"#;

fn node() -> Arc<Node> {
    let settings = Settings::parse("test", SETTINGS).expect("valid settings");
    Node::new(settings, Metrics::disabled())
}

fn changes(revision: u64, items: Vec<Change>) -> Changes {
    Changes { revision, proof_age: Some(Duration::ZERO), complete: true, items }
}

fn apply_database(node: &Node) {
    let database = Change::put(Kind::Database, "d", 1, DATABASE);
    node.apply_changes(changes(1, vec![database]), 0, node.now());
}

fn beat(id: &str, data_centre: &str) -> Heartbeat {
    Heartbeat::new(InstanceInfo::new(id, data_centre, "127.0.0.1:9"))
}

/// Objects that are written to the store during the first listing are newer than the revision of the listing. A reader
/// that waits for the first complete configuration must be woken when the revision arrives without another object.
#[test]
fn first_revision_without_changed_objects_is_announced() {
    let node = node();
    let database = Change::put(Kind::Database, "d", 1, DATABASE);
    node.apply_changes(changes(0, vec![database.clone()]), 0, node.now());
    assert_eq!(node.config().revision(), 0);
    let changed = node.config_changed();
    let mut incremental = changes(1, vec![database]);
    incremental.complete = false;
    node.apply_changes(incremental, 0, node.now());
    assert!(changed.now_or_never().is_some());
    assert_eq!(node.config().revision(), 1);
}

/// A configuration without a proof may be of any age, so requests with a key must not be served on it.
#[test]
fn configuration_without_proof_is_unconfirmed() {
    let node = node();
    let mut changes = changes(1, Vec::new());
    changes.proof_age = None;
    node.apply_changes(changes, 0, node.now());
    assert_eq!(node.config_validity(), ConfigValidity::Unconfirmed);
    assert!(!node.config_usable());
}

/// With a lower term in effect, writes would be sent to a primary that has been replaced.
#[test]
fn group_term_never_decreases() {
    let node = node();
    apply_database(&node);
    let mut newer = beat("i2", "b");
    newer.terms = vec![TermInfo {
        database: "d".into(),
        term: Term(3),
        primary: Some("m2".into()),
        term_start: None,
    }];
    node.receive_heartbeat(&newer);
    apply_database(&node);
    let view = node.group(&"d".into()).expect("the group").view();
    assert_eq!((view.term, view.primary.as_ref()), (Term(3), Some(&"m2".into())));
}

/// A leaving instance that remained home would be sent requests that it no longer serves.
#[test]
fn leaving_instance_is_not_home() {
    let node = node();
    apply_database(&node);
    assert!(node.is_home(&"d".into(), &"m1".into()));
    node.receive_heartbeat(&beat("i2", "b"));
    assert!(node.is_home(&"d".into(), &"m1".into()));
    assert!(!node.is_home(&"d".into(), &"m2".into()));
    node.start_drain();
    let home = node.home_of(&"d".into(), &"m1".into()).expect("a home");
    assert_eq!(home.id.as_str(), "i2");
}

/// Until the grace period for the division of a contract has passed, a new instance uses no part of the contract's rate
/// and would refuse all requests of its members as their home.
#[test]
fn warming_instance_is_not_home_until_it_finishes() {
    let node = node();
    apply_database(&node);
    node.start_warm_up();
    assert!(!node.is_home(&"d".into(), &"m1".into()));
    node.finish_warm_up();
    assert!(node.is_home(&"d".into(), &"m1".into()));
    let own = node.peers().get(node.id()).cloned().expect("an entry of the instance itself");
    assert_eq!(own.state, InstanceState::Live);
}

/// Guards against term changes that are never sent because other changes take their place: the loss of a data centre
/// changes hundreds of terms at once, and a heartbeat carries 16 of them.
#[test]
fn heartbeats_send_all_changed_terms_in_turn() {
    const DATABASES: usize = 100;
    let node = node();
    let database = |index: usize| {
        let record = DATABASE.replace("\"d\"", &format!("\"d{index}\""));
        Change::put(Kind::Database, format!("d{index}").as_str(), 1, record.as_str())
    };
    node.apply_changes(changes(1, (0..DATABASES).map(database).collect()), 0, node.now());
    let sent: HashSet<_> = (0..DATABASES.div_ceil(16))
        .flat_map(|_| node.heartbeat(&"i2".into()).terms)
        .map(|term| term.database)
        .collect();
    assert_eq!(sent.len(), DATABASES);
}
