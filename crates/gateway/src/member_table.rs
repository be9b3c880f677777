//! Table of the members that have an entry in the store.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    member_report::KnownReport,
    name::{Group, MemberId},
};

use serde::{Deserialize, Serialize};

use crate::adapter::MemberRecord;

/// Time for which a member is kept after its entry was first missing.
///
/// Entries that lapsed during an outage of the store are written again within about 2 s of its return.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Time for which the last report of a removed member is known. A store is restored from a copy that is some seconds old.
const DEPARTED_TIME: Duration = Duration::from_secs(600);

/// Longest age of a report that a member is leaving which is passed on.
const MAX_TOLD_AGE: Duration = Duration::from_secs(60);
/// Largest number of leaving members in a message, so that it stays within a packet.
const MAX_TOLD: usize = 16;

/// A member that is leaving, as one instance tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMember {
    /// Id of the member.
    pub member: MemberId,
    /// Start of its process, in Unix milliseconds.
    pub started_ms: u64,
    /// Time for which the sender has known that it is leaving, in microseconds.
    pub age: u64,
}

/// A member, and since when it has been leaving or its entry has been missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Latest entry of the member.
    pub record: MemberRecord,
    /// When the entry first had the member as leaving; `None` while it is not leaving.
    pub leaving_since: Option<Instant>,
    /// Whether the first entry here had the member as leaving already, so that it is unknown for how long it has been.
    pub left_before: bool,
    /// When the entry was first missing; `None` while it is in the store.
    pub lapsed_since: Option<Instant>,
    /// Order of the entry among those of the member.
    known: KnownReport,
}

impl Member {
    /// Whether a leaving primary may still get new work, for `limit` since it began to leave. Half of that counts as over
    /// if this process may have started after it began.
    pub fn is_within_drain(&self, limit: Duration, now: Instant) -> bool {
        let limit = if self.left_before { limit / 2 } else { limit };
        self.leaving_since.is_none_or(|since| now.since(since) < limit)
    }

    /// Whether the member is not leaving, so that new work may be given to it.
    pub const fn is_active(&self) -> bool {
        self.leaving_since.is_none()
    }
}

/// Effect of an entry on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// The entry is the same as before.
    None,
    /// The member is new, or its entry has changed.
    Updated,
    /// The member runs as another process, at another address or in another group than before.
    Restarted,
}

/// Members whose entries are in the store, or were within [`LAPSE_GRACE`].
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    members: BTreeMap<MemberId, Member>,
    /// Last reports of removed members, with the time of the removal.
    departed: BTreeMap<MemberId, (KnownReport, Instant)>,
    /// Members that other instances have told to be leaving: start of the process, and since when.
    told_leaving: BTreeMap<MemberId, (u64, Instant)>,
    /// Number of changes so far.
    changes: u64,
}

impl MemberTable {
    /// Records the entry of a member that was read in `era` of the store, unless a newer report of the member is known.
    pub fn update(
        &mut self,
        id: MemberId,
        record: MemberRecord,
        era: u64,
        now: Instant,
    ) -> MemberChange {
        let report = record.report();
        let known = self.members.get(&id).map(|member| &member.known);
        let known = known.or_else(|| self.departed.get(&id).map(|(known, _)| known));
        if known.is_some_and(|known| !known.is_replaced_by(report, era)) {
            return MemberChange::None;
        }
        self.departed.remove(&id);
        let known = KnownReport::new(report, era);
        let leaving = record.leaving;
        let told = self.told_leaving.get(&id);
        let told = told.filter(|(started_ms, _)| *started_ms == record.started_ms);
        let learned_at = told.map_or(now, |(_, since)| now.min(*since));
        let Some(member) = self.members.get_mut(&id) else {
            let leaving_since = leaving.then_some(learned_at);
            let (left_before, lapsed_since) = (leaving, None);
            let member = Member { record, leaving_since, left_before, lapsed_since, known };
            self.members.insert(id, member);
            self.changes += 1;
            return MemberChange::Updated;
        };
        member.known = known;
        // A report that repeats the state is no change.
        member.record.sequence = record.sequence;
        if member.lapsed_since.take().is_some() || member.record != record {
            self.changes += 1;
        }
        if member.record == record {
            return MemberChange::None;
        }
        let same_process = member.record.address == record.address
            && member.record.started_ms == record.started_ms
            && member.record.group == record.group;
        member.leaving_since = leaving.then(|| member.leaving_since.unwrap_or(learned_at));
        member.left_before &= leaving;
        member.record = record;
        if same_process { MemberChange::Updated } else { MemberChange::Restarted }
    }

    /// The members that have been leaving for the shortest time, for a message to another instance.
    pub fn leaving(&self, now: Instant) -> Vec<LeavingMember> {
        let leaving = self.members.iter().filter_map(|(id, member)| {
            let age = now.since(member.leaving_since?);
            let started_ms = member.record.started_ms;
            let age = (age < MAX_TOLD_AGE).then(|| u64::try_from(age.as_micros()).ok())??;
            Some(LeavingMember { member: id.clone(), started_ms, age })
        });
        let mut leaving: Vec<_> = leaving.collect();
        leaving.sort_by_key(|member| member.age);
        leaving.truncate(MAX_TOLD);
        leaving
    }

    /// Records which members are leaving, and since when, as another instance knows it. One that was cut off learns from the store that
    /// a member is leaving, but not since when.
    pub fn learn_leaving(&mut self, told: &[LeavingMember], now: Instant) {
        for LeavingMember { member: id, started_ms, age } in told {
            let since = now.minus(Duration::from_micros(*age).min(MAX_TOLD_AGE));
            let known = self.told_leaving.get(id).filter(|(known, _)| known == started_ms);
            let since = known.map_or(since, |(_, known)| since.min(*known));
            self.told_leaving.insert(id.clone(), (*started_ms, since));
            let member = self.members.get_mut(id);
            if let Some(member) = member.filter(|member| member.record.started_ms == *started_ms) {
                member.leaving_since = member.leaving_since.map(|own| own.min(since));
            }
        }
    }

    /// Records that the entry of a member is missing in `era` of the store.
    pub fn lapse(&mut self, id: &str, era: u64, now: Instant) {
        self.changes += 1;
        if let Some(member) = self.members.get_mut(id) {
            member.lapsed_since.get_or_insert(now);
            member.known.set_missing(era);
        }
    }

    /// Records that the entries of all members but `listed` are missing in `era` of the store.
    pub fn lapse_others(&mut self, listed: &[MemberId], era: u64, now: Instant) {
        self.changes += 1;
        for (id, member) in &mut self.members {
            if !listed.contains(id) {
                member.lapsed_since.get_or_insert(now);
                member.known.set_missing(era);
            }
        }
    }

    /// Removes the members whose entries have been missing for [`LAPSE_GRACE`], and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<MemberId> {
        let is_expired = |member: &Member| {
            member.lapsed_since.is_some_and(|since| now.since(since) >= LAPSE_GRACE)
        };
        let expired: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, member)| is_expired(member))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            if let Some(member) = self.members.remove(id) {
                self.departed.insert(id.clone(), (member.known, now));
            }
        }
        self.departed.retain(|_, (_, removed_at)| now.since(*removed_at) < DEPARTED_TIME);
        self.told_leaving.retain(|_, (_, since)| now.since(*since) < DEPARTED_TIME);
        expired
    }

    /// Number of changes so far; a value that was derived from the table holds while it stays the same.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// The member with this id; `None` when the table has none.
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.members.get(id)
    }

    /// All members, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter()
    }

    /// Members of a group, by id.
    pub fn in_group<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = (&'a MemberId, &'a Member)> {
        self.members.iter().filter(move |(_, member)| member.record.group == *group)
    }
}
