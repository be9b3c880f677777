//! The position of a client session, which its reads have to include.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     outcome::RefusalKind,
//!     position::{Lsn, Position, Term},
//!     read_route::ReadRequirement,
//!     request::StatementClass,
//!     session::Session,
//!     term_history::TermHistory,
//! };
//!
//! let mut session = Session::new();
//! assert_eq!(session.read_requirement(StatementClass::Read), ReadRequirement::ReadIndex);
//!
//! let written = Position::new(Term(1), Lsn(95));
//! session.committed(written);
//! assert_eq!(session.read_requirement(StatementClass::Read), ReadRequirement::Position(written));
//!
//! let mut history = TermHistory::default();
//! let term_start = Position::new(Term(1), Lsn(90));
//! history.record(Term(2), term_start);
//! let lost = RefusalKind::WriteLost { lost: written, term_start };
//! assert_eq!(session.check(&history), Some(lost));
//! assert_eq!(session.check(&history), None);
//! assert_eq!(session.position(), Some(term_start));
//! ```

use crate::{
    outcome::RefusalKind,
    position::Position,
    read_route::ReadRequirement,
    request::StatementClass,
    term_history::{PositionStatus, TermHistory},
};

/// Number of unchecked positions that are kept, one for each term in which the session wrote.
const MAX_UNCHECKED: usize = 8;

/// Position of one client session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    position: Option<Position>,
    /// Last positions of older terms whose fate was not yet known when the session moved to a newer term.
    unchecked: Vec<Position>,
}

impl Session {
    /// Creates the session of a client that supplied no position.
    pub const fn new() -> Self {
        Self { position: None, unchecked: Vec::new() }
    }

    /// Creates the session of a client that supplied the position of an earlier connection.
    pub const fn with_position(position: Position) -> Self {
        Self { position: Some(position), unchecked: Vec::new() }
    }

    /// Position that the session's reads have to include; absent until it is known.
    pub const fn position(&self) -> Option<Position> {
        self.position
    }

    /// Notes that the session's commit ended at `position`.
    pub fn committed(&mut self, position: Position) {
        self.advance(position);
    }

    /// Notes that the primary's position was `position` after the session had asked for it, with an open gate.
    pub fn record_proved_position(&mut self, position: Position) {
        self.advance(position);
    }

    /// Notes that the client supplied `position` during the session.
    pub fn record_client_position(&mut self, position: Position) {
        self.advance(position);
    }

    /// Returns the lost write of the session, if there is one, and reports each loss only once.
    ///
    /// Everything that the session wrote after `term_start` and up to `lost` may be missing. It is called before
    /// every request and when the term changes.
    pub fn check(&mut self, history: &TermHistory) -> Option<RefusalKind> {
        let (latest, latest_start) = history.latest()?;
        let mut loss = Loss::default();
        let present = self.position.map_or(latest, |position| position.term);
        self.unchecked.retain(|position| match history.position_status(*position) {
            PositionStatus::Lost { term_start } => {
                loss.add(*position, term_start);
                false
            }
            // The term that the session has moved on to may have cut the position off.
            PositionStatus::Retained => latest < present,
        });
        if let Some(position) = self.position
            && let PositionStatus::Lost { term_start } = history.position_status(position)
        {
            loss.add(position, term_start);
            self.position = Some(latest_start);
        }
        loss.kind
    }

    /// What a member has to have for a read of `class` in this session.
    pub const fn read_requirement(&self, class: StatementClass) -> ReadRequirement {
        match (class, self.position) {
            (StatementClass::Write | StatementClass::UnrepeatableWrite, _) => {
                ReadRequirement::Primary
            }
            (StatementClass::StaleRead { max_age }, _) => ReadRequirement::Age(max_age),
            (StatementClass::Read, Some(position)) => ReadRequirement::Position(position),
            (StatementClass::Read, None) => ReadRequirement::ReadIndex,
        }
    }

    fn advance(&mut self, position: Position) {
        let Some(known) = self.position else {
            self.position = Some(position);
            return;
        };
        if known.term < position.term && self.unchecked.len() < MAX_UNCHECKED {
            self.unchecked.push(known);
        }
        self.position = Some(known.max(position));
    }
}

/// Losses of one check, reported as one.
#[derive(Debug, Default)]
struct Loss {
    kind: Option<RefusalKind>,
}

impl Loss {
    fn add(&mut self, position: Position, start: Position) {
        let (lost, term_start) = match self.kind {
            Some(RefusalKind::WriteLost { lost, term_start }) => {
                (lost.max(position), term_start.min(start))
            }
            _ => (position, start),
        };
        self.kind = Some(RefusalKind::WriteLost { lost, term_start });
    }
}
