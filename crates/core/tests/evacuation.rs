//! Which members get work during the evacuation of a data centre, and for how long an evacuation is in force.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    evacuation::{Change, EvacuatedSet, Evacuations, PromotionMember, Service, excluded_members},
    name::DataCentre,
    position::{Lsn, Position, Term},
    store_version::StoreVersion,
};

const BOUND: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn set(era: u64, revision: u64, names: &[&str]) -> EvacuatedSet {
    EvacuatedSet::new(StoreVersion::new(era, revision), names.iter().map(|name| (*name).into()))
}

fn north() -> DataCentre {
    "north".into()
}

/// An instance that has read an empty set and then the request for `north` at 100 ms.
fn evacuated() -> Evacuations {
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.replace(set(0, 5, &[]), at(0));
    assert_eq!(evacuations.replace(set(0, 6, &["north"]), at(100)), [Change::Begun(north())]);
    evacuations
}

/// Guards against work for an evacuated primary after three quarters of the bound, or before that where nothing replaces it.
#[test]
fn service_of_a_primary_ends() {
    let evacuations = evacuated();
    let service = |is_primary, has_successor, ms| {
        evacuations.service(&north(), is_primary, has_successor, at(ms))
    };
    assert_eq!(service(true, true, 3099), Service::OnlyRequired);
    assert_eq!(service(true, true, 3100), Service::None);
    assert_eq!(service(true, false, 100), Service::None);
    assert_eq!(service(false, true, 100), Service::None);
    assert_eq!(evacuations.service(&"south".into(), false, false, at(100)), Service::Any);
    let drain = Duration::from_secs(7);
    assert!(!evacuations.ends_transactions(&north(), drain, at(7099)));
    assert!(evacuations.ends_transactions(&north(), drain, at(7100)));
}

/// Guards against an instance that starts during an evacuation and counts the primary's time from its own start.
#[test]
fn service_after_a_start() {
    let mut started = Evacuations::new(BOUND);
    started.replace(set(0, 6, &["north"]), at(1000));
    assert_eq!(started.service(&north(), true, true, at(1000)), Service::None);
    let notice = evacuated().notice(at(1100)).expect("the set is known");
    started.notified(&notice, Some(at(1500)), at(1520));
    assert_eq!(started.service(&north(), true, true, at(3499)), Service::OnlyRequired);
    assert_eq!(started.service(&north(), true, true, at(3500)), Service::None);
}

/// Guards against an older set that ends an evacuation, and a request that is repeated and inherits the time of the first.
#[test]
fn replace_withdrawn_and_requested_again() {
    let mut evacuations = evacuated();
    assert_eq!(evacuations.replace(set(0, 5, &[]), at(200)), []);
    assert_eq!(evacuations.withdraw(&north()), Some(Change::Ended(north())));
    assert_eq!(evacuations.service(&north(), false, true, at(300)), Service::Any);
    evacuations.replace(set(0, 9, &["north"]), at(5000));
    assert_eq!(evacuations.service(&north(), true, true, at(5000)), Service::OnlyRequired);
    assert_eq!(evacuations.replace(set(0, 10, &[]), at(6000)), [Change::Ended(north())]);
}

/// Guards against an evacuation that ends because a restored store has lost it, or whose time begins anew when the operator
/// writes it again.
#[test]
fn replace_after_a_data_loss() {
    let mut evacuations = evacuated();
    assert_eq!(evacuations.replace(set(1, 3, &[]), at(1000)), [Change::Kept(north())]);
    assert_eq!(
        evacuations.replace(set(1, 4, &["south"]), at(1500)),
        [Change::Begun("south".into())]
    );
    assert_eq!(
        (evacuations.service(&north(), false, true, at(1500)), evacuations.kept()),
        (Service::None, 1)
    );
    evacuations.replace(set(1, 6, &["north"]), at(2000));
    assert_eq!(
        (evacuations.service(&north(), true, true, at(3100)), evacuations.kept()),
        (Service::None, 0)
    );
    assert_eq!(evacuations.expire(at(60_000)), []);
    // Two in a row: the time for the rewrite counts from the second one.
    evacuations.replace(set(2, 1, &[]), at(60_000));
    evacuations.replace(set(3, 1, &[]), at(64_000));
    assert_eq!(evacuations.expire(at(72_999)), []);
    assert_eq!(evacuations.expire(at(73_000)), [Change::Ended(north())]);
}

/// Guards against an instance that starts after a data loss and does not learn of an evacuation that the others keep, and
/// against instances that keep it for ever by telling each other.
#[test]
fn notified_of_a_kept_evacuation() {
    let mut keeper = evacuated();
    keeper.replace(set(1, 3, &[]), at(1000));
    let mut started = Evacuations::new(BOUND);
    started.replace(set(1, 4, &[]), at(2000));
    let notice = keeper.notice(at(2000)).expect("the set is known");
    assert_eq!(started.notified(&notice, None, at(2010)), [Change::Kept(north())]);
    assert_eq!(started.service(&north(), true, true, at(2010)), Service::None);
    assert_eq!(keeper.expire(at(10_000)), [Change::Ended(north())]);
    let notice = started.notice(at(10_000)).expect("the set is known");
    assert_eq!(keeper.notified(&notice, None, at(10_005)), []);
    // One that knows of the withdrawal in this era does not take it over either.
    keeper.withdraw(&north());
    let mut late = evacuated();
    late.replace(set(1, 3, &[]), at(9000));
    assert_eq!(keeper.notified(&late.notice(at(10_000)).expect("known"), None, at(10_000)), []);
}

/// Guards against an instance that serves before it knows the set although the store or another instance could tell it, and
/// against one that never serves while neither answers.
#[test]
fn may_serve_after_a_start() {
    let mut evacuations = Evacuations::new(BOUND);
    assert!(!evacuations.may_serve(at(60_000)));
    evacuations.store_failed(at(1500));
    evacuations.store_failed(at(3000));
    assert!(!evacuations.may_serve(at(2099)));
    assert!(evacuations.may_serve(at(2100)));
    let mut told = Evacuations::new(BOUND);
    told.notified(&evacuated().notice(at(200)).expect("known"), None, at(300));
    assert!(told.may_serve(at(300)));
}

/// Guards against the promotion of an evacuated member while one elsewhere has its log, and against a group without a primary
/// because only an evacuated member has the longest log.
#[test]
fn excluded_members_by_their_logs() {
    let member = |name: &str, is_evacuated, lsn| PromotionMember {
        member: name.into(),
        is_evacuated,
        received: Some(Position::new(Term(1), Lsn(lsn))),
    };
    let (a, b) = (member("a", true, 7), member("b", false, 7));
    assert_eq!(excluded_members(&[a.clone(), b]), ["a".into()]);
    assert_eq!(excluded_members(&[a, member("b", false, 6)]), []);
}
