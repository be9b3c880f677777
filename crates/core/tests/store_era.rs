//! Tests of the era of a store that may be restored from an older copy.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    store_era::{EraOrder, StoreEra},
};

const REWRITE_TIME: Duration = Duration::from_secs(3);

fn at(seconds: u64) -> Instant {
    Instant::new(Duration::from_secs(seconds))
}

/// Guards against the use of answers that a replaced state of the store gave.
#[test]
fn record_orders_eras() {
    let mut era = StoreEra::default();
    assert_eq!(era.known(), None);
    assert_eq!(era.record(1, at(10)), EraOrder::Current);
    assert_eq!(era.record(3, at(20)), EraOrder::Restored { replaced: 1 });
    assert_eq!(era.record(2, at(21)), EraOrder::OutOfDate { known: 3 });
    assert_eq!(era.record(0, at(21)), EraOrder::OutOfDate { known: 3 });
    assert_eq!(era.record(3, at(22)), EraOrder::Current);
    assert_eq!((era.known(), era.restored_at()), (Some(3), Some(at(20))));
}

/// Guards against a process that takes the era in which it started for an old one, and against a second restore that does
/// not start the time for its writers again.
#[test]
fn may_lack_writes_counts_from_the_latest_era() {
    let mut era = StoreEra::default();
    era.record(1, at(10));
    assert_eq!(era.restored_at(), None);
    assert!(era.may_lack_writes(REWRITE_TIME, at(12)));
    assert!(!era.may_lack_writes(REWRITE_TIME, at(13)));
    era.record(2, at(20));
    era.record(3, at(22));
    assert!(era.may_lack_writes(REWRITE_TIME, at(24)));
    assert!(!era.may_lack_writes(REWRITE_TIME, at(25)));
}

/// Guards against waiting times in deployments whose store does not report an era.
#[test]
fn may_lack_writes_never_in_era_zero() {
    let mut era = StoreEra::default();
    assert!(!era.may_lack_writes(REWRITE_TIME, at(10)));
    era.record(0, at(10));
    assert!(!era.may_lack_writes(REWRITE_TIME, at(10)));
}
