//! Ejection of members that fail more often than the others.

use std::time::Duration;

use hibiscusladder_core::{clock::Instant, name::MemberId, outlier::Outliers};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(1_000_000 + ms))
}

fn members() -> [MemberId; 3] {
    ["a", "b", "c"].map(MemberId::from)
}

/// Reads at three members that fail with these chances in a thousand, every 10 ms at each; returns the ejections.
fn run(
    outliers: &mut Outliers,
    from: u64,
    until: u64,
    chances: [u64; 3],
) -> Vec<(usize, Duration)> {
    let mut seed = 11_u64;
    let mut ejections = Vec::new();
    for now in (from..until).step_by(10) {
        for (number, member) in members().iter().enumerate() {
            if outliers.is_ejected(member, at(now)) && !outliers.take_probe(member, at(now)) {
                continue;
            }
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let is_success = (seed >> 33) % 1000 >= chances[number];
            let length = outliers.record(member, is_success, at(now));
            ejections.extend(length.map(|length| (number, length)));
            assert!(outliers.ejected(at(now)) <= 1, "more than one of three");
        }
    }
    ejections
}

/// Guards against a member that fails a part of its requests and keeps its load, and against one that is ejected for ever.
#[test]
fn record_ejects_a_failing_member() {
    let mut outliers = Outliers::default();
    assert!(run(&mut outliers, 0, 5000, [0; 3]).is_empty());
    let ejections = run(&mut outliers, 5000, 20_000, [400, 10, 10]);
    let lengths: Vec<u64> = ejections.iter().map(|(_, length)| length.as_secs()).collect();
    assert!(ejections.iter().all(|(member, _)| *member == 0), "{ejections:?}");
    assert!(lengths.starts_with(&[2, 4]), "{lengths:?}");
    // It is well again: after the last ejection it stays in use.
    run(&mut outliers, 20_000, 60_000, [10; 3]);
    assert_eq!(outliers.ejected(at(60_000)), 0);
    assert!(run(&mut outliers, 60_000, 120_000, [10; 3]).is_empty());
}

/// Guards against ejections while all members fail alike, as in overload, or a healthy member fails now and then.
#[test_case([10; 3]; "few failures")]
#[test_case([300; 3]; "all fail alike")]
#[test_case([120, 10, 10]; "one fails a little more")]
#[test_case([900, 400, 400]; "overload with one worse")]
fn record_ejects_none(chances: [u64; 3]) {
    assert_eq!(run(&mut Outliers::default(), 0, 60_000, chances), []);
}

/// Guards against an ejection of the only member that has served anything, and against a second one of three members.
#[test]
fn record_keeps_members_that_serve() {
    let [first, second, third] = members();
    let mut outliers = Outliers::default();
    let fail = |outliers: &mut Outliers, member: &MemberId| {
        (0..100).filter_map(|_| outliers.record(member, false, at(0))).count()
    };
    assert_eq!(fail(&mut outliers, &first), 0, "nothing to compare it with");
    for _ in 0..100 {
        outliers.record(&third, true, at(0));
    }
    assert_eq!(fail(&mut outliers, &first), 1);
    assert_eq!(fail(&mut outliers, &second), 0, "one is ejected already");
}

/// Guards against an ejected member that gets no probe, or all requests as probes.
#[test]
fn take_probe_now_and_then() {
    let [first, second, _] = members();
    let mut outliers = Outliers::default();
    for _ in 0..40 {
        outliers.record(&second, true, at(0));
    }
    for _ in 0..40 {
        outliers.record(&first, false, at(0));
    }
    let probes = (0..2000).filter(|now| outliers.take_probe(&first, at(*now)));
    assert_eq!(probes.count(), 3);
    assert!(!outliers.take_probe(&first, at(2000)), "it is not ejected any more");
}
