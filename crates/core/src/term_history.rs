//! Where the terms of a database began, and whether a position survived the promotions since it was written.
//!
//! The start of a term is the last log position of the promoted member before the promotion. Written with the term of
//! that last entry, it names the term whose log was continued, and a position that lies past the start of a later
//! term on that chain was lost. A group that writes the start with the number of the new term does not say which
//! term was continued; [`QuorumView::history`](crate::quorum::QuorumView::history) completes such starts. Where a link of
//! the chain is missing, positions of older terms count as lost: a write that is reported without need costs a
//! check, a write that is missing unnoticed breaks the session.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     position::{Lsn, Position, Term},
//!     term_history::{PositionStatus, TermHistory},
//! };
//!
//! let mut history = TermHistory::default();
//! let start = Position::new(Term(1), Lsn(90));
//! history.record(Term(2), start);
//! assert_eq!(history.position_status(Position::new(Term(1), Lsn(90))), PositionStatus::Retained);
//! assert_eq!(history.position_status(Position::new(Term(1), Lsn(95))), PositionStatus::Lost { term_start: start });
//! ```

use std::collections::BTreeMap;

use crate::position::{Lsn, Position, Term};

/// Number of terms that are kept; at two promotions a day they cover a month.
const MAX_TERMS: usize = 64;

/// What became of a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PositionStatus {
    /// No known promotion cut it off.
    Retained,
    /// It lies past the start of a later term, or cannot be shown to have been kept.
    Lost {
        /// Last position that its log shares with the log of the newest term; after a single promotion this is the
        /// start of the new term. It is zero when terms in between are unknown, so that nothing can be shown to have
        /// been kept.
        term_start: Position,
    },
}

/// Starts of the terms that an instance heard of.
#[derive(Debug, Clone, Default)]
pub struct TermHistory {
    starts: BTreeMap<Term, Position>,
}

impl TermHistory {
    /// Records that `term` began at `start`.
    ///
    /// The start of a term never changes, but a start that names the continued term replaces one that does not.
    pub fn record(&mut self, term: Term, start: Position) {
        // Nothing was written before, so no term was continued.
        let start = if start.lsn == Lsn(0) { Position::default() } else { start };
        let known = self.starts.entry(term).or_insert(start);
        if known.term >= term && start.term < term {
            *known = start;
        }
        while self.starts.len() > MAX_TERMS {
            self.starts.pop_first();
        }
    }

    /// Records everything that `other` holds.
    pub fn merge(&mut self, other: &Self) {
        for (term, start) in &other.starts {
            self.record(*term, *start);
        }
    }

    /// Start of `term`, when it is known.
    pub fn start(&self, term: Term) -> Option<Position> {
        self.starts.get(&term).copied()
    }

    /// Newest term that began, and its start.
    pub fn latest(&self) -> Option<(Term, Position)> {
        self.starts.last_key_value().map(|(term, start)| (*term, *start))
    }

    /// Whether `position` is part of the log of the newest term.
    pub fn position_status(&self, position: Position) -> PositionStatus {
        let Some((latest, _)) = self.latest() else { return PositionStatus::Retained };
        if position.term >= latest {
            return PositionStatus::Retained;
        }
        let present = self.chain(Position::new(latest, Lsn(u64::MAX)));
        match self.fork(position, &present) {
            fork if fork == position => PositionStatus::Retained,
            term_start => PositionStatus::Lost { term_start },
        }
    }

    /// Whether the log of the newest term continues the log of `term`, as far as that is known.
    ///
    /// A member whose last entry is of another term may lack entries that lie below its position: its part of the
    /// log was cut off at a promotion, and it has not been told to follow the new primary yet.
    pub fn continues(&self, term: Term) -> bool {
        let Some((latest, _)) = self.latest() else { return false };
        let present = self.chain(Position::new(latest, Lsn(u64::MAX)));
        present.iter().any(|end| end.term == term)
    }

    /// Whether a log that ends at `end` certainly includes the entry at `needed`.
    ///
    /// The order of positions alone does not tell: the log of a term that was left out lacks entries below its end.
    pub fn reaches(&self, end: Position, needed: Position) -> bool {
        let same_log = end.term == needed.term;
        let continued =
            self.continues(end.term) && self.position_status(needed) == PositionStatus::Retained;
        end >= needed && (same_log || continued)
    }

    /// The last position of every term in the log that ends at `end`, newest first, as far as the starts are known.
    fn chain(&self, end: Position) -> Vec<Position> {
        let mut chain = vec![end];
        let mut term = end.term;
        while let Some(start) = self.starts.get(&term).filter(|start| start.term < term) {
            chain.push(*start);
            term = start.term;
        }
        chain
    }

    /// The last position that the log that ends at `position` shares with the log whose chain is `present`; zero
    /// when none is known.
    fn fork(&self, position: Position, present: &[Position]) -> Position {
        for end in self.chain(position) {
            if let Some(other) = present.iter().find(|other| other.term == end.term) {
                return end.min(*other);
            }
        }
        Position::default()
    }
}
