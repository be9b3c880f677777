//! Start positions of the terms of a database, and whether a position survived the promotions since it was written.
//!
//! The start of a term is the last log position of the promoted member before the promotion. It has the term of that
//! last entry, and so names the term whose log was continued. From the newest term back, these starts form a chain. A
//! position was lost when it lies past the start of the next term of the chain, or when its term is not in the chain.
//!
//! A start that a group reports with the number of the new term does not name the continued term;
//! [`QuorumView::history`](crate::quorum::QuorumView::history) completes such starts. Where a link of the chain is
//! missing, positions of older terms count as lost: a write that is falsely reported as lost costs the client a check,
//! while a lost write that is not reported breaks the session's consistency.
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

/// Number of kept terms; at two promotions a day they cover a month.
const MAX_TERMS: usize = 64;

/// Whether the entry at a position survived all known promotions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PositionStatus {
    /// No known promotion removed the entry from the log.
    Retained,
    /// The position lies past the start of a later term, or cannot be shown to have been retained.
    Lost {
        /// Last position that the log of the lost entry shares with the log of the newest term; after a single
        /// promotion this is the start of the new term. It is zero when terms in between are unknown, so that no
        /// entry can be shown to have been retained.
        term_start: Position,
    },
}

/// Start positions of the known terms of a database, at most the newest 64.
#[derive(Debug, Clone, Default)]
pub struct TermHistory {
    starts: BTreeMap<Term, Position>,
}

impl TermHistory {
    /// Records that `term` began at `start`.
    ///
    /// The start of a term never changes, but a start that names the continued term replaces one that does not.
    pub fn record(&mut self, term: Term, start: Position) {
        // A start at zero means that no entry was written before, so no term was continued.
        let start = if start.lsn == Lsn(0) { Position::default() } else { start };
        let recorded = self.starts.entry(term).or_insert(start);
        if recorded.term >= term && start.term < term {
            *recorded = start;
        }
        while self.starts.len() > MAX_TERMS {
            self.starts.pop_first();
        }
    }

    /// Records all starts that `other` contains.
    pub fn merge(&mut self, other: &Self) {
        for (term, start) in &other.starts {
            self.record(*term, *start);
        }
    }

    /// Start of `term`; `None` when it is unknown.
    pub fn start(&self, term: Term) -> Option<Position> {
        self.starts.get(&term).copied()
    }

    /// Newest known term, and its start; `None` when no term is known.
    pub fn latest(&self) -> Option<(Term, Position)> {
        self.starts.last_key_value().map(|(term, start)| (*term, *start))
    }

    /// Whether `position` is part of the log of the newest term.
    pub fn position_status(&self, position: Position) -> PositionStatus {
        let Some((latest, _)) = self.latest() else { return PositionStatus::Retained };
        if position.term >= latest {
            return PositionStatus::Retained;
        }
        let current = self.chain(Position::new(latest, Lsn(u64::MAX)));
        match self.fork(position, &current) {
            fork if fork == position => PositionStatus::Retained,
            term_start => PositionStatus::Lost { term_start },
        }
    }

    /// Whether `term` is the newest term or is known to precede it: the newest log continues the log of `term`.
    ///
    /// A member whose last entry is of any other term may lack entries below its position: the end of its log was
    /// abandoned at a promotion, and it does not follow the new primary yet.
    pub fn continues(&self, term: Term) -> bool {
        let Some((latest, _)) = self.latest() else { return false };
        let current = self.chain(Position::new(latest, Lsn(u64::MAX)));
        current.iter().any(|end| end.term == term)
    }

    /// Whether a log that ends at `end` certainly includes the entry at `needed`.
    ///
    /// The order of positions is not sufficient: the log of a term that no later term continued lacks entries below its
    /// end.
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

    /// The last position that the log that ends at `position` shares with the log whose chain is `current`; zero
    /// when none is known.
    fn fork(&self, position: Position, current: &[Position]) -> Position {
        for end in self.chain(position) {
            if let Some(other) = current.iter().find(|other| other.term == end.term) {
                return end.min(*other);
            }
        }
        Position::default()
    }
}
