//! Logs of a group whose members are not listed, and may have commits that no listed member has.
//!
//! A list of members lacks those that have crashed and will come back with their logs. It is not known from the list alone
//! how many these are, so the logs of a group are recorded in the store as well.

use std::collections::BTreeSet;

use super::GroupView;
use crate::{
    clock::Instant,
    name::LogId,
    position::Position,
    sync_group::{Leader, MAX_UNKNOWN_LOGS, Role, SUSPICION_TIMEOUT},
};

/// Logs of a group whose members need not be listed.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownLogs {
    /// Logs of members that were listed during the term of the leader, and no longer are.
    pub(super) unlisted: BTreeSet<LogId>,
    /// Logs that are recorded in the store.
    pub(super) recorded: BTreeSet<LogId>,
    /// Logs that an operator has declared lost, with the commits that only they have.
    pub(super) given_up: BTreeSet<LogId>,
}

impl GroupView {
    /// Records the logs that the store has for the group, and those that an operator has declared lost.
    pub fn record_logs(&mut self, recorded: BTreeSet<LogId>, given_up: BTreeSet<LogId>) {
        self.known_logs.recorded = recorded;
        self.known_logs.given_up = given_up;
    }

    /// Logs of the listed members.
    pub fn listed_logs(&self) -> BTreeSet<LogId> {
        self.members.values().filter_map(|state| state.log.clone()).collect()
    }

    /// Logs of members that are not listed, without those that were declared lost.
    pub fn absent_logs(&self) -> BTreeSet<LogId> {
        let listed = self.listed_logs();
        let KnownLogs { unlisted, recorded, given_up } = &self.known_logs;
        let known = unlisted.union(recorded);
        known.filter(|log| !listed.contains(*log) && !given_up.contains(*log)).cloned().collect()
    }

    /// Whether the group has one member only, and not just one that is listed.
    pub(super) fn is_only_member(&self) -> bool {
        self.members.len() == 1 && self.absent_logs().is_empty()
    }

    /// Whether the group has no primary that answers, and no failover can succeed before a member is back that is not listed.
    pub fn awaits_logs(&self, now: Instant) -> bool {
        let leader = self.leader(now);
        let is_silent =
            |leader: &Leader| self.unanswered_for(&leader.member, now) >= SUSPICION_TIMEOUT;
        if leader.as_ref().is_some_and(|leader| !is_silent(leader)) {
            return false;
        }
        let unknown = self.absent_logs().len() + usize::from(leader.is_some());
        unknown > MAX_UNKNOWN_LOGS && !self.can_cover_departures(true)
    }

    /// Number of logs that were declared lost.
    pub(in crate::sync_group) fn given_up_logs(&self) -> usize {
        self.known_logs.given_up.len()
    }

    /// Number of times that a listed replica has lost its log during the term of the leader.
    pub(in crate::sync_group) const fn lost_logs(&self) -> usize {
        self.departures.lost_logs()
    }

    /// The logs to record in the store in place of `stored`: those of the listed members, and of absent ones whose commits
    /// the others may lack.
    ///
    /// An absent log is left out once a replica has everything that the primary had after the absence began.
    pub fn logs_to_record(&self, stored: &BTreeSet<LogId>) -> BTreeSet<LogId> {
        let mut logs = self.listed_logs();
        let leader_term = self.leader_term();
        let replicas = self.members.values().filter_map(|state| state.latest.as_ref());
        let is_covered = replicas
            .filter(|(status, _)| status.role == Role::Replica && status.term == leader_term)
            .any(|(status, _)| self.covers_departures(status.received, true));
        if !is_covered {
            logs.extend(stored.union(&self.known_logs.unlisted).cloned());
        }
        logs
    }

    /// Whether a log up to `received` has every acknowledged commit that only replicas which have left the group, or lost
    /// their logs, had besides the primary.
    ///
    /// `lacks_members` is whether replicas may have left before this instance started.
    pub(in crate::sync_group) fn covers_departures(
        &self,
        received: Position,
        lacks_members: bool,
    ) -> bool {
        self.departures.are_covered_by(received)
            && !self.earlier_departures.exceed(received)
            && (!lacks_members || self.earlier_departures.are_covered_by(received))
    }

    /// Whether [`covers_departures`](Self::covers_departures) can hold for some log.
    pub(in crate::sync_group) const fn can_cover_departures(&self, lacks_members: bool) -> bool {
        self.departures.can_be_covered()
            && (!lacks_members || self.earlier_departures.can_be_covered())
    }

    /// Whether members that are not listed may receive commits of the leader: a member has left during its term, its log is
    /// recorded, or fewer are listed than `members`.
    pub(in crate::sync_group) fn may_lack_members(&self, members: usize) -> bool {
        self.departures.is_recorded() || self.lacks_count(members) || !self.absent_logs().is_empty()
    }

    /// Whether fewer members are listed than `members`.
    pub(in crate::sync_group) fn lacks_count(&self, members: usize) -> bool {
        self.members.len() + self.given_up_logs() < members
    }
}
