//! Replicas that have left a group, and what the log of the next primary has to include because of them.

use std::collections::BTreeMap;

use super::LeaderPosition;
use crate::{clock::Instant, name::LogId, position::Position};

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
    /// Logs of the replicas that have not answered since they left, with the end of each if it is known.
    absent: BTreeMap<LogId, Option<Position>>,
    /// Number of times that a replica has lost its log.
    lost_logs: usize,
}

impl Departures {
    /// Records that the replica with `log`, which is known up to `received`, has left, and may have received commits up to
    /// `until`.
    pub(super) fn record_absent<'a, I>(
        &mut self,
        log: LogId,
        received: Option<Position>,
        until: Instant,
        positions: I,
    ) where
        I: IntoIterator<Item = &'a LeaderPosition>,
    {
        self.absent.insert(log, received);
        self.record(until, positions);
    }

    /// Records that a replica which may have received commits up to `until` has lost its log.
    pub(super) fn record_lost_log<'a, I>(&mut self, until: Instant, positions: I)
    where
        I: IntoIterator<Item = &'a LeaderPosition>,
    {
        self.lost_logs += 1;
        self.record(until, positions);
    }

    /// Records that the member with `log` answers, which is known up to `received` now. One that has left and is back with its
    /// log is a replica like any other.
    pub(super) fn returned(&mut self, log: &LogId, received: Position) {
        let Some(known) = self.absent.remove(log) else { return };
        self.lost_logs += usize::from(known.is_some_and(|known| received < known));
        if self.absent.is_empty() && self.lost_logs == 0 {
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

    /// Number of times that a replica has lost its log.
    pub(super) const fn lost_logs(&self) -> usize {
        self.lost_logs
    }

    /// Whether some log is long enough to have every acknowledged commit that only these replicas had besides the primary.
    pub(super) const fn can_be_covered(&self) -> bool {
        self.until.is_none() || self.cover.is_some()
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
