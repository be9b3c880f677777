//! Position and state of one member in a read router.

use std::time::Duration;

use crate::{
    clock::Instant,
    name::{DataCentre, MemberId},
    position::Position,
};

/// Member of a group that may serve reads, with the position that the router last observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Identifier of the member.
    pub member: MemberId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Time at which the router learned that the member is leaving; `None` when it is not.
    pub(super) leaving: Option<Instant>,
    observed: Option<Observed>,
}

/// Position that a member had at or after `at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Observed {
    pub(super) position: Position,
    pub(super) at: Instant,
}

impl Replica {
    /// Creates a live member whose position is unknown.
    pub const fn new(member: MemberId, data_centre: DataCentre) -> Self {
        Self { member, data_centre, leaving: None, observed: None }
    }

    pub(super) const fn observed(&self) -> Option<Observed> {
        self.observed
    }

    pub(super) fn observe(&mut self, position: Position, at: Instant) {
        if self.observed.is_none_or(|observed| observed.at <= at) {
            self.observed = Some(Observed { position, at });
        }
    }

    pub(super) fn has_reached(&self, position: Position) -> bool {
        self.observed.is_some_and(|observed| observed.position >= position)
    }

    pub(super) fn answered_within(&self, timeout: Duration, now: Instant) -> bool {
        self.observed.is_some_and(|observed| now.since(observed.at) < timeout)
    }
}
