//! Where the terms of a database began, and whether a position survived the promotions since it was written.
//!
//! The start of a term is the last log position of the promoted member before the promotion, so its term names the
//! term whose log was continued. A position that lies past the start of a later term on that chain was lost.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     position::{Lsn, Position, Term},
//!     term_history::{Fate, TermHistory},
//! };
//!
//! let mut history = TermHistory::default();
//! let start = Position::new(Term(1), Lsn(90));
//! history.record(Term(2), start);
//! assert_eq!(history.fate(Position::new(Term(1), Lsn(90))), Fate::Kept);
//! assert_eq!(history.fate(Position::new(Term(1), Lsn(95))), Fate::Lost { term_start: start });
//! ```

use std::collections::BTreeMap;

use crate::position::{Position, Term};

/// Number of terms that are kept; at two promotions a day they cover a month.
const MAX_TERMS: usize = 64;

/// What became of a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// No known promotion cut it off.
    Kept,
    /// It lies past the start of a later term, or the terms in between are unknown, so it cannot be shown to have
    /// been kept.
    Lost {
        /// Start of the first later term that is known not to contain it.
        term_start: Position,
    },
}

/// Starts of the terms that an instance heard of.
#[derive(Debug, Clone, Default)]
pub struct TermHistory {
    starts: BTreeMap<Term, Position>,
}

impl TermHistory {
    /// Records that `term` began at `start`. The start of a term never changes, so the first record counts.
    pub fn record(&mut self, term: Term, start: Position) {
        self.starts.entry(term).or_insert(start);
        while self.starts.len() > MAX_TERMS {
            self.starts.pop_first();
        }
    }

    /// Newest term that began, and its start.
    pub fn latest(&self) -> Option<(Term, Position)> {
        self.starts.last_key_value().map(|(term, start)| (*term, *start))
    }

    /// Whether `position` is part of the log of the newest term.
    pub fn fate(&self, position: Position) -> Fate {
        let Some((latest, _)) = self.latest() else { return Fate::Kept };
        let mut term = latest;
        let mut oldest = Position::default();
        while position.term < term {
            let Some(start) = self.starts.get(&term).copied() else {
                return Fate::Lost { term_start: oldest };
            };
            oldest = start;
            if start.term >= term {
                return self.fate_by_offset(position, latest);
            }
            if position > start {
                return Fate::Lost { term_start: start };
            }
            if position.term == start.term {
                return Fate::Kept;
            }
            term = start.term;
        }
        Fate::Kept
    }

    /// Compares log offsets with the start of every later term, for groups that write the start of a term with the
    /// number of the new term.
    fn fate_by_offset(&self, position: Position, latest: Term) -> Fate {
        let later = self.starts.range(position.term.next()..=latest);
        let lost = later.map(|(_, start)| *start).find(|start| position.lsn > start.lsn);
        lost.map_or(Fate::Kept, |term_start| Fate::Lost { term_start })
    }
}
