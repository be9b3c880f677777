//! Paths to a member that its holders cannot reach.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    holder_reach::{HolderReach, Path},
    name::InstanceId,
};

fn holders() -> [InstanceId; 2] {
    ["i-1".into(), "i-2".into()]
}

fn unreachable(now: Instant) -> HolderReach {
    let mut reach = HolderReach::default();
    for holder in &holders() {
        reach.record_unreachable(holder, now);
    }
    reach
}

/// Guards against calls that leave the holders because one of them is cut off or stopping.
#[test]
fn path_needs_the_word_of_all_holders() {
    let now = Instant::default();
    let mut reach = HolderReach::default();
    reach.record_unreachable(&holders()[0], now);
    assert_eq!(reach.path(&holders(), now), Path::Holders);
}

/// Guards against callers that are all delayed by holders that are still cut off.
#[test]
fn path_sends_one_call_per_interval_to_the_holders() {
    let start = Instant::default();
    let mut reach = unreachable(start);
    let mut probes = 0;
    for step in 0..400 {
        let now = start.plus(Duration::from_millis(10 * step));
        if reach.path(&holders(), now) == Path::Holders {
            probes += 1;
            for holder in &holders() {
                reach.record_unreachable(holder, now);
            }
        }
    }
    assert_eq!(probes, 3, "one in each second after the first");
}

/// Guards against a member that is used through standby instances after its holders reach it again.
#[test]
fn path_returns_to_the_holders_after_an_answer() {
    let now = Instant::default();
    let mut reach = unreachable(now);
    assert_eq!(reach.path(&holders(), now), Path::Standbys);
    reach.record_answer(&holders()[1]);
    assert_eq!(reach.path(&holders(), now), Path::Holders);
}

/// Guards against reports about former holders that decide for the present ones.
#[test]
fn path_ignores_reports_of_former_holders() {
    let now = Instant::default();
    let mut reach = unreachable(now);
    let present = [holders()[0].clone(), "i-3".into()];
    assert_eq!(reach.path(&present, now), Path::Holders);
}
