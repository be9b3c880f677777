//! Replicas that have left a group, and what the log of the next primary has to include because of them.

use std::collections::BTreeMap;

use super::LeaderPosition;
use crate::{clock::Instant, name::MemberId, position::Position};

/// Replicas that have left a group, or lost their logs, during the term of one primary.
///
/// A commit that was acknowledged through such a replica alone is in the log of the primary. A position that the primary
/// reports after the replica was gone therefore covers it. So does the log of the replica itself, if it returns with it.
#[derive(Debug, Clone, Default)]
pub(super) struct Departures {
    /// Time up to which one of the replicas may have received commits; `None` when none has left.
    until: Option<Instant>,
    /// First known position of the primary from that time or later.
    cover: Option<Position>,
    /// Replicas that have not answered since they left, with the end of their logs if it is known.
    absent: BTreeMap<MemberId, Option<Position>>,
    /// Whether a replica has lost its log.
    has_lost_logs: bool,
}

impl Departures {
    /// Records that `member`, whose log is known up to `received`, has left, and may have received commits up to `until`.
    pub(super) fn record_absent<'a, I>(
        &mut self,
        member: MemberId,
        received: Option<Position>,
        until: Instant,
        positions: I,
    ) where
        I: IntoIterator<Item = &'a LeaderPosition>,
    {
        self.absent.insert(member, received);
        self.record(until, positions);
    }

    /// Records that a replica which may have received commits up to `until` has lost its log.
    pub(super) fn record_lost_log<'a, I>(&mut self, until: Instant, positions: I)
    where
        I: IntoIterator<Item = &'a LeaderPosition>,
    {
        self.has_lost_logs = true;
        self.record(until, positions);
    }

    /// Records that `member` answers, with a log up to `received`. One that has left and is back with its log is a replica
    /// like any other.
    pub(super) fn returned(&mut self, member: &MemberId, received: Position) {
        let Some(known) = self.absent.remove(member) else { return };
        self.has_lost_logs |= known.is_some_and(|known| received < known);
        if self.absent.is_empty() && !self.has_lost_logs {
            *self = Self::default();
        }
    }

    /// Records a replica that may have received commits up to `until`. `positions` are the known positions of the
    /// primary, the oldest first.
    pub(super) fn record<'a, I>(&mut self, until: Instant, positions: I)
    where
        I: IntoIterator<Item = &'a LeaderPosition>,
    {
        if self.until.is_some_and(|latest| latest >= until) {
            return;
        }
        self.until = Some(until);
        let after = positions.into_iter().find(|position| position.sent >= until);
        self.cover = after.map(|position| position.position);
    }

    /// Whether a replica has left.
    pub(super) const fn is_recorded(&self) -> bool {
        self.until.is_some()
    }

    /// Records a position of the primary.
    pub(super) fn observe(&mut self, position: LeaderPosition) {
        if self.cover.is_none() && self.until.is_some_and(|until| position.sent >= until) {
            self.cover = Some(position.position);
        }
    }

    /// Whether a log up to `received` lacks something that the primary is known to have had after the replicas were gone.
    pub(super) fn exceed(&self, received: Position) -> bool {
        self.cover.is_some_and(|cover| received < cover)
    }

    /// Whether a log up to `received` has every acknowledged commit that only these replicas had besides the primary.
    pub(super) fn are_covered_by(&self, received: Position) -> bool {
        self.until.is_none() || self.cover.is_some_and(|cover| received >= cover)
    }
}
