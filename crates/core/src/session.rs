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

/// Largest number of unchecked positions, one for each older term in which the session had one; further ones are not
/// kept.
const MAX_UNCHECKED: usize = 8;

/// Position of one client session, with the checks for lost writes.
#[derive(Debug, Clone, Default)]
pub struct Session {
    position: Option<Position>,
    /// Last positions in older terms, which have not been checked against the start of every term up to that of
    /// `position`.
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

    /// Position that the session's reads have to include; `None` until it is known.
    pub const fn position(&self) -> Option<Position> {
        self.position
    }

    /// Records that the log position of the session's commit is `position`.
    pub fn committed(&mut self, position: Position) {
        self.advance(position);
    }

    /// Records that the primary answered a read-index query of the session with `position`, with an open gate.
    pub fn record_proved_position(&mut self, position: Position) {
        self.advance(position);
    }

    /// Records that the client supplied `position` during the session.
    pub fn record_client_position(&mut self, position: Position) {
        self.advance(position);
    }

    /// Returns [`RefusalKind::WriteLost`] when writes of the session were lost, once for each loss.
    ///
    /// All writes of the session after `term_start` and up to `lost` may be missing. The caller checks the session
    /// before every request and when the term changes.
    pub fn check(&mut self, history: &TermHistory) -> Option<RefusalKind> {
        let (latest, latest_start) = history.latest()?;
        let mut loss = Loss::default();
        let session_term = self.position.map_or(latest, |position| position.term);
        self.unchecked.retain(|position| match history.position_status(*position) {
            PositionStatus::Lost { term_start } => {
                loss.add(*position, term_start);
                false
            }
            // The session's newer term may have lost the position; its start is not known yet.
            PositionStatus::Retained => latest < session_term,
        });
        if let Some(position) = self.position
            && let PositionStatus::Lost { term_start } = history.position_status(position)
        {
            loss.add(position, term_start);
            self.position = Some(latest_start);
        }
        loss.kind
    }

    /// The requirement on the member that runs a statement of `class` in this session.
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
        let Some(current) = self.position else {
            self.position = Some(position);
            return;
        };
        if current.term < position.term && self.unchecked.len() < MAX_UNCHECKED {
            self.unchecked.push(current);
        }
        self.position = Some(current.max(position));
    }
}

/// Losses found in one check, merged into one refusal.
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
