//! Replicas that have left a group, and what the log of the next primary has to include because of them.

use super::LeaderPosition;
use crate::{clock::Instant, position::Position};

/// Replicas that have left a group, or lost their logs, during the term of one primary.
///
/// A commit that was acknowledged through such a replica alone is in the log of the primary. A position that the primary
/// reports after the replica was gone therefore covers it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Departures {
    /// Time up to which one of the replicas may have received commits; `None` when none has left.
    until: Option<Instant>,
    /// First known position of the primary from that time or later.
    cover: Option<Position>,
}

impl Departures {
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
