//! Table of the members that have an entry in the store.

use std::time::Duration;

use hibiscusladder_core::{clock::Instant, name::MemberId};
use hibiscusladder_gateway::{
    adapter::MemberRecord,
    member_table::{LAPSE_GRACE, MemberChange, MemberTable},
};

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn id() -> MemberId {
    "i-1".into()
}

fn record(port: u16, started_ms: u64, leaving: bool) -> MemberRecord {
    MemberRecord {
        group: "padron".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "north".into(),
        leaving,
        role: None,
        started_ms,
        slots: 2,
        sequence: 1,
        cold_remaining: None,
    }
}

/// Guards against the removal of members whose entries lapsed during an outage of the store and are written again.
#[test]
fn expire_keeps_lapsed_members_for_the_grace_time() {
    let mut member_table = MemberTable::default();
    member_table.update(id(), record(80, 1, false), 0, at(0));
    member_table.lapse_others(&[], 0, at(1000));
    assert!(member_table.expire(at(1000)).is_empty());
    member_table.update(id(), record(80, 1, false), 0, at(2000));
    assert!(member_table.expire(at(60_000)).is_empty());
    member_table.lapse("i-1", 0, at(60_000));
    assert_eq!(member_table.expire(at(60_000).plus(LAPSE_GRACE)), [id()]);
    assert!(member_table.get(&id()).is_none());
}

/// Guards against connections and state that are kept for a member that now runs as another process.
#[test]
fn update_distinguishes_a_restart_from_a_change() {
    let mut member_table = MemberTable::default();
    assert_eq!(member_table.update(id(), record(80, 1, false), 0, at(0)), MemberChange::Updated);
    assert_eq!(member_table.update(id(), record(80, 1, false), 0, at(1)), MemberChange::None);
    assert_eq!(member_table.update(id(), record(80, 1, true), 0, at(2)), MemberChange::Updated);
    assert_eq!(member_table.update(id(), record(80, 2, false), 0, at(3)), MemberChange::Restarted);
    assert_eq!(member_table.update(id(), record(81, 2, false), 0, at(4)), MemberChange::Restarted);
}

/// Guards against a digest that other instances compare and that is not computed anew after a change.
#[test]
fn changes_counts_what_others_can_see() {
    let mut member_table = MemberTable::default();
    member_table.update(id(), record(80, 1, false), 0, at(0));
    let before = member_table.changes();
    member_table.update(id(), record(80, 1, false), 0, at(1));
    assert_eq!(member_table.changes(), before, "the entry is the same");
    let steps: [fn(&mut MemberTable); 4] = [
        |table| {
            assert_eq!(table.update(id(), record(80, 1, true), 0, at(2)), MemberChange::Updated)
        },
        |table| table.lapse("i-1", 0, at(3)),
        |table| assert_eq!(table.update(id(), record(80, 1, true), 0, at(4)), MemberChange::None),
        |table| table.lapse_others(&[], 0, at(5)),
    ];
    for step in steps {
        let before = member_table.changes();
        step(&mut member_table);
        assert!(member_table.changes() > before);
    }
}

/// Guards against a restarted instance that gives work to a leaving primary for the whole drain time once more.
#[test]
fn is_within_drain_after_a_restart() {
    let limit = Duration::from_millis(5000);
    let mut seen_leaving = MemberTable::default();
    seen_leaving.update(id(), record(80, 1, false), 0, at(0));
    seen_leaving.update(id(), record(80, 1, true), 0, at(1000));
    let mut restarted = MemberTable::default();
    restarted.update(id(), record(80, 1, true), 0, at(1000));
    let is_within = |table: &MemberTable, ms| {
        table.get(&id()).is_some_and(|member| member.is_within_drain(limit, at(ms)))
    };
    assert!(is_within(&seen_leaving, 5900) && !is_within(&seen_leaving, 6000));
    assert!(is_within(&restarted, 3400) && !is_within(&restarted, 3500));
    restarted.update(id(), record(80, 1, false), 0, at(4000));
    assert!(is_within(&restarted, 90_000), "it stays");
}

/// Guards against a drain time that starts again with each entry of a leaving member.
#[test]
fn update_keeps_the_time_of_the_first_leaving_entry() {
    let mut member_table = MemberTable::default();
    member_table.update(id(), record(80, 1, true), 0, at(10));
    let mut later = record(80, 1, true);
    later.data_centre = "south".into();
    member_table.update(id(), later, 0, at(5000));
    assert_eq!(member_table.get(&id()).and_then(|member| member.leaving_since), Some(at(10)));
}

/// Guards against a store that was restored from an older copy and makes a draining member look ready, or brings back a
/// member that has left.
#[test]
fn update_keeps_newer_reports_after_a_restore() {
    let mut member_table = MemberTable::default();
    let report = |leaving, sequence| MemberRecord { sequence, ..record(80, 1, leaving) };
    let is_leaving = |table: &MemberTable| table.get(&id()).map(|member| member.record.leaving);
    member_table.update(id(), report(true, 7), 1, at(0));
    assert_eq!(member_table.update(id(), report(false, 5), 2, at(10)), MemberChange::None);
    assert_eq!(is_leaving(&member_table), Some(true));
    member_table.lapse("i-1", 2, at(20));
    assert_eq!(member_table.expire(at(20).plus(LAPSE_GRACE)), [id()]);
    member_table.update(id(), report(true, 7), 3, at(5000));
    assert_eq!(is_leaving(&member_table), None, "it has left before the second restore");
    member_table.update(id(), report(false, 8), 3, at(6000));
    assert_eq!(is_leaving(&member_table), Some(false));
}
