//! The copy of the configuration, its convergence and its freshness.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    config::{Change, Changes, ConfigValidity, ConfigView, FreshnessPolicy, Kind},
    database::UpstreamState,
    name::{DataCentre, KeyId},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_secs(100) + Duration::from_millis(ms))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(version: u64, withdrawn: bool) -> Change {
    let hash = "0".repeat(64);
    let value = format!(r#"{{"id":"k","workspace":"w","hash":"{hash}","withdrawn":{withdrawn}}}"#);
    Change::put(Kind::Key, "k", version, &value)
}

fn upstream(name: &str, version: u64) -> Change {
    Change::put(Kind::Upstream, name, version, r#"{"state":"leaving"}"#)
}

fn changes(revision: u64, complete: bool, items: Vec<Change>) -> Changes {
    Changes { revision, proof_age: Some(Duration::ZERO), complete, items }
}

fn has_key(view: &ConfigView) -> bool {
    view.key(&KeyId::new("k")).is_some_and(|record| !record.withdrawn)
}

/// Guards against a revoked key that works again because an older change arrives late (I6, I13).
#[test_case(key(7, true); "withdrawn")]
#[test_case(Change::delete(Kind::Key, "k", 7); "deleted")]
fn apply_never_goes_back(revocation: Change) {
    let mut view = ConfigView::default();
    view.apply(key(5, false)).expect("a valid object");
    assert!(has_key(&view));
    view.apply(revocation).expect("a valid object");
    view.apply(key(6, false)).expect("a valid object");
    assert!(!has_key(&view));
    view.apply_all(changes(6, true, vec![key(6, false)]), 0, at(0));
    assert!(!has_key(&view));
}

/// Guards against an object that remains because its deletion was missed, and against one that is restored from a
/// source with an older revision.
#[test]
fn apply_all_deletes_what_a_complete_list_lacks() {
    let mut view = ConfigView::default();
    view.apply_all(changes(5, true, vec![key(5, false), upstream("m", 3)]), 0, at(0));
    view.apply(upstream("later", 12)).expect("a valid object");
    let outcome = view.apply_all(changes(10, true, vec![upstream("m", 3)]), 5, at(0));
    assert_eq!(outcome.updated, [(Kind::Key, "k".into())]);
    assert!(!has_key(&view));
    assert_eq!(view.upstream(&"later".into()), UpstreamState::Leaving);
    // An instance at revision 6 does not have the deletion.
    view.apply_all(changes(6, true, vec![key(5, false)]), 10, at(0));
    view.apply(key(6, false)).expect("a valid object");
    assert!(!has_key(&view));
}

/// Guards against a deletion that an instance does not forward because it never had the object.
#[test]
fn changes_since_covers_unknown_deletions() {
    let mut first = ConfigView::default();
    first.apply_all(changes(5, true, vec![key(5, false)]), 0, at(0));
    let mut relay = ConfigView::default();
    relay.apply_all(changes(9, true, vec![]), 0, at(0));
    first.apply_all(relay.changes_since(5, at(0)), 5, at(0));
    assert!(!has_key(&first) && first.revision() == 9);
    // From then on only changes are sent.
    relay.apply_all(changes(10, false, vec![upstream("m", 10)]), 9, at(0));
    let update = relay.changes_since(9, at(0));
    assert!(!update.complete && update.items.len() == 1);
}

/// Guards against an invalid object that leaves the older version in force on some instances only.
#[test_case(Change::put(Kind::Key, "k", 6, "{}"); "incomplete")]
#[test_case(Change { name: "other".into(), ..key(6, false) }; "stored under another name")]
fn apply_counts_invalid_as_deleted(change: Change) {
    let mut view = ConfigView::default();
    let name = KeyId::new(&change.name);
    let invalid = view.apply(change.clone()).expect_err("an invalid object");
    assert!(invalid.to_string().contains(&format!("keys/{name} at version 6 is not valid")));
    assert!(view.key(&name).is_none());
    assert_eq!(view.changes_since(0, at(0)).items, [change]);
}

/// Guards against instances that differ after they received the same changes in different ways: in any order, with
/// repetitions, in part as complete lists. The cases come from a fixed seed.
#[test]
fn apply_all_converges() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let seed = *b"hibiscusladder config converges.";
    println!("seed: {}", String::from_utf8_lossy(&seed));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let history = prop::collection::vec((0_usize..4, any::<bool>()), 1..30);
    let deliveries = prop::collection::vec((0_u64..30, any::<bool>()), 0..20);
    let outcome = TestRunner::new_with_rng(config, rng).run(&(history, deliveries), |case| {
        let (history, deliveries) = case;
        let mut version = 0;
        let all: Vec<Change> = history
            .iter()
            .map(|(name, put)| {
                version += 1;
                let name = ["a", "b", "c", "d"][*name];
                if *put {
                    upstream(name, version)
                } else {
                    Change::delete(Kind::Upstream, name, version)
                }
            })
            .collect();
        // The state of the store at a revision.
        let store = |revision: u64| {
            let mut view = ConfigView::default();
            let accepted = all.iter().filter(|change| change.version <= revision).cloned();
            view.apply_all(changes(revision, false, accepted.collect()), 0, at(0));
            view
        };
        let mut view = ConfigView::default();
        for (revision, complete) in deliveries {
            let revision = revision.min(version);
            let source = store(revision);
            if complete {
                let mut list = source.snapshot(at(0));
                list.items.retain(|item| item.value.is_some());
                view.apply_all(list, 0, at(0));
            } else {
                let since = view.revision();
                view.apply_all(source.changes_since(since, at(0)), since, at(0));
            }
            // After any deliveries, the view equals the store's state at the view's revision.
            let expected = store(view.revision());
            for name in ["a", "b", "c", "d"] {
                let member = name.into();
                prop_assert_eq!(view.upstream(&member), expected.upstream(&member));
            }
        }
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a copy whose proof looks younger than it is, because its age is counted from the answer.
#[test]
fn freshness_counts_from_the_request() {
    let mut view = ConfigView::default();
    let answer = Changes { proof_age: Some(ms(300)), ..changes(4, false, vec![]) };
    view.apply_all(answer, 0, at(1_000));
    assert_eq!(view.freshness().age(at(1_600)), Some(ms(900)));
    // Proofs of another revision, and older ones, do not count.
    assert!(
        !view.merge_proof(5, Duration::ZERO, at(1_500))
            && !view.merge_proof(3, Duration::ZERO, at(1_500))
    );
    assert!(!view.merge_proof(4, ms(900), at(1_500)));
    assert!(view.merge_proof(4, ms(100), at(1_500)));
    assert_eq!(view.freshness().age(at(1_600)), Some(ms(200)));
    // The time of a proof from before the clock's origin cannot be represented.
    assert!(!ConfigView::default().merge_proof(0, Duration::from_secs(500), at(0)));
}

fn policy() -> FreshnessPolicy {
    FreshnessPolicy::new("a".into(), ["a", "b", "c"].map(DataCentre::from))
}

/// Guards against accepting withdrawn keys for longer than allowed behind a partition (I6), and against refusing
/// everything during an outage of the store.
#[test_case(4_900, &[], ConfigValidity::Fresh; "recent proof")]
#[test_case(5_100, &[], ConfigValidity::Unconfirmed; "no answer")]
#[test_case(5_100, &[("b", 4, 4_000)], ConfigValidity::Unconfirmed; "one data centre unresponsive")]
#[test_case(5_100, &[("b", 4, 4_000), ("c", 4, 4_000)], ConfigValidity::Outage; "all answered")]
#[test_case(5_100, &[("b", 4, 4_000), ("c", 5, 4_000)], ConfigValidity::Unconfirmed; "one has a newer revision")]
#[test_case(5_100, &[("b", 5, 4_000), ("b", 4, 4_500), ("c", 4, 4_000)], ConfigValidity::Unconfirmed; "newer, then behind")]
#[test_case(5_100, &[("b", 4, 3_000), ("c", 4, 4_000)], ConfigValidity::Unconfirmed; "answer too old")]
#[test_case(5_100, &[("b", 4, 4_000), ("c", 4, 4_000), ("d", 9, 4_000)], ConfigValidity::Outage; "outside the topology")]
fn validity_by_evidence(now: u64, answers: &[(&str, u64, u64)], expected: ConfigValidity) {
    let mut view = ConfigView::default();
    view.apply_all(changes(4, true, vec![]), 0, at(0));
    let mut policy = policy();
    for (data_centre, revision, requested_at) in answers {
        policy.record_answer(&(*data_centre).into(), *revision, at(*requested_at));
    }
    assert_eq!(policy.validity(&view, at(now)), expected);
    assert_eq!(expected.allows_keyed_requests(), expected != ConfigValidity::Unconfirmed);
}

/// Guards against relying on a copy of unknown age, and against evidence from its own data centre alone.
#[test]
fn validity_without_proof_is_unconfirmed() {
    let mut policy = policy();
    policy.record_answer(&"b".into(), 0, at(0));
    policy.record_answer(&"c".into(), 0, at(0));
    assert_eq!(policy.validity(&ConfigView::default(), at(0)), ConfigValidity::Unconfirmed);
    let mut view = ConfigView::default();
    view.apply_all(changes(4, true, vec![]), 0, at(0));
    let alone = FreshnessPolicy::new("a".into(), [DataCentre::from("a")]);
    assert_eq!(alone.validity(&view, at(6_000)), ConfigValidity::Unconfirmed);
    assert_eq!(policy.unresponsive_data_centres(at(3_000)), ["b".into(), "c".into()]);
}
