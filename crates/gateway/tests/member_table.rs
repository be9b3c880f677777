//! Members as an instance knows them from the store and from other instances.

use std::time::Duration;

use hibiscusladder_core::{clock::Instant, name::MemberId};
use hibiscusladder_gateway::{adapter::MemberRecord, member_table::MemberTable};
use test_case::test_case;

const DRAIN: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn record(started_ms: u64, sequence: u64, leaving: bool) -> MemberRecord {
    MemberRecord {
        group: "g".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "north".into(),
        leaving,
        role: None,
        started_ms,
        slots: 1,
        cold_remaining: None,
        sequence,
    }
}

fn is_within_drain(table: &MemberTable, now: Instant) -> bool {
    table.get(&MemberId::from("a")).is_some_and(|member| member.is_within_drain(DRAIN, now))
}

/// Guards against work for a leaving primary after its drain time, from an instance that was cut off when the member reported that
/// it is leaving (`review/9`), and against what is told of an earlier process of the member.
#[test_case(1, true, false; "told before the entry is read")]
#[test_case(1, false, false; "told after the entry was read")]
#[test_case(0, true, true; "told of an earlier process")]
fn leaving_member_after_a_cut(started_ms: u64, is_told_first: bool, gets_work: bool) {
    let mut informed = MemberTable::default();
    informed.update("a".into(), record(started_ms, 1, false), 0, at(0));
    informed.update("a".into(), record(started_ms, 2, true), 0, at(7600));
    let received_at = at(if is_told_first { 10_000 } else { 10_200 });
    let told = informed.leaving(received_at);
    let mut table = MemberTable::default();
    table.update("a".into(), record(1, 1, false), 0, at(0));
    if is_told_first {
        table.learn_leaving(&told, received_at);
    }
    table.update("a".into(), record(1, 2, true), 0, at(10_100));
    if !is_told_first {
        table.learn_leaving(&told, received_at);
    }
    assert!(is_within_drain(&table, at(12_500)));
    assert_eq!(is_within_drain(&table, at(12_700)), gets_work);
}
