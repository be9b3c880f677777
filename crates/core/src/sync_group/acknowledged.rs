//! Position that the log of a primary has certainly acknowledged.
//!
//! A primary answers a commit with the end of its log, which may include later commits that no replica has received. But a commit
//! that was sent after such an answer had arrived has a higher position, and all positions up to its own are in a replica
//! once it is acknowledged.

use std::collections::VecDeque;

use crate::{
    clock::Instant,
    position::{Lsn, Position, Term},
};

/// Number of answers that are kept; more than are on their way at once.
const MAX_ANSWERS: usize = 64;

/// What the acknowledged commits of one term show.
#[derive(Debug, Clone, Default)]
pub(super) struct AcknowledgedCommits {
    /// Positions in the latest answers, with the time at which each arrived.
    answers: VecDeque<(Instant, Position)>,
    reached: Option<Position>,
    /// When a commit that this instance has passed on was last recorded.
    recorded_at: Option<Instant>,
}

impl AcknowledgedCommits {
    /// Records that a commit which was sent at `sent` was acknowledged with `position`, in an answer that arrived at `now`.
    pub(super) fn record(&mut self, position: Position, sent: Instant, now: Instant) {
        self.recorded_at = Some(now);
        if self.answers.back().is_some_and(|(_, last)| last.term < position.term) {
            self.answers.clear();
            self.reached = self.reached.filter(|reached| reached.term >= position.term);
        }
        let is_of_term = |known: &&(Instant, Position)| known.1.term == position.term;
        let before = self.answers.iter().filter(is_of_term).filter(|(at, _)| *at <= sent);
        if let Some(before) = before.map(|(_, known)| *known).max() {
            let next = Position::new(before.term, Lsn(before.lsn.0 + 1));
            self.reached = self.reached.max(Some(next));
        }
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((now, position));
    }

    /// Records a position up to which commits were acknowledged at another instance.
    pub(super) fn learn(&mut self, position: Position) {
        self.reached = self.reached.max(Some(position));
    }

    /// Position up to which commits of the latest term were acknowledged, at least; `None` when none is known.
    pub(super) const fn latest(&self) -> Option<Position> {
        self.reached
    }

    /// When a commit that this instance has passed on was last recorded; `None` before the first.
    pub(super) const fn recorded_at(&self) -> Option<Instant> {
        self.recorded_at
    }

    /// Position up to which commits of `term` were acknowledged, at least; `None` when it is not known.
    pub(super) fn reached(&self, term: Term) -> Option<Position> {
        self.reached.filter(|reached| reached.term == term)
    }
}
