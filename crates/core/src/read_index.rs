//! Batched questions for the primary's position.
//!
//! A session without a position may read only after the primary's position was asked for. All reads that arrive
//! before a question is sent share its answer. An answer counts only if the gate of the term was open when the
//! answer arrived, because a replaced primary would answer an old position.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     position::{Lsn, Position, Term},
//!     read_index::{ReadIndex, ReadIndexAnswer},
//!     quorum::Gate,
//! };
//!
//! let mut index = ReadIndex::new();
//! let now = Instant::default();
//! index.add_reader("first reader");
//! let question = index.start_query(now).expect("one reader waits");
//! index.add_reader("late reader");
//!
//! let position = Position::new(Term(1), Lsn(7));
//! let answered = index.answered(question, position, Gate::Open);
//! assert_eq!(answered, [("first reader", ReadIndexAnswer::Position(position))]);
//! assert_eq!(index.waiting(), 1);
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, position::Position, quorum::Gate};

/// Questions that may be on their way at a time.
///
/// A second one serves the readers that arrive while the first is on its way; a third lets one be lost.
const MAX_QUESTIONS: usize = 3;

/// Time after which a question without answer counts as lost.
pub const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifies one question to the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadIndexQueryId(u64);

/// What a reader is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadIndexAnswer {
    /// The reader's session may read at this position.
    Position(Position),
    /// The primary's term could not be confirmed; the read did not run.
    Unconfirmed,
}

/// Readers that wait for the primary's position, identified by `R`.
#[derive(Debug, Clone)]
pub struct ReadIndex<R> {
    waiting: Vec<R>,
    sent: BTreeMap<ReadIndexQueryId, Question<R>>,
    next: u64,
}

#[derive(Debug, Clone)]
struct Question<R> {
    sent: Instant,
    readers: Vec<R>,
}

impl<R> Default for ReadIndex<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R> ReadIndex<R> {
    /// Creates an index without readers.
    pub const fn new() -> Self {
        Self { waiting: Vec::new(), sent: BTreeMap::new(), next: 0 }
    }

    /// Adds a reader to the next question.
    pub fn add_reader(&mut self, reader: R) {
        self.waiting.push(reader);
    }

    /// Readers that no question was sent for yet.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts a question for all waiting readers; `None` when nobody waits or too many questions are on their way.
    ///
    /// The caller sends the question after this call, never before.
    pub fn start_query(&mut self, now: Instant) -> Option<ReadIndexQueryId> {
        if self.waiting.is_empty() || self.sent.len() >= MAX_QUESTIONS {
            return None;
        }
        let id = ReadIndexQueryId(self.next);
        self.next += 1;
        let readers = std::mem::take(&mut self.waiting);
        self.sent.insert(id, Question { sent: now, readers });
        Some(id)
    }

    /// Takes the primary's position and the state of its term's gate when the answer arrived.
    pub fn answered(
        &mut self,
        id: ReadIndexQueryId,
        position: Position,
        gate: Gate,
    ) -> Vec<(R, ReadIndexAnswer)> {
        let answer = match gate {
            Gate::Open => ReadIndexAnswer::Position(position),
            Gate::Closed => ReadIndexAnswer::Unconfirmed,
        };
        self.finish(id, answer)
    }

    /// Notes that a question failed.
    pub fn failed(&mut self, id: ReadIndexQueryId) -> Vec<(R, ReadIndexAnswer)> {
        self.finish(id, ReadIndexAnswer::Unconfirmed)
    }

    /// Ends the questions that were not answered within [`READ_INDEX_TIMEOUT`].
    pub fn expire(&mut self, now: Instant) -> Vec<(R, ReadIndexAnswer)> {
        let overdue: Vec<ReadIndexQueryId> = self
            .sent
            .iter()
            .filter(|(_, question)| now.since(question.sent) >= READ_INDEX_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        overdue.into_iter().flat_map(|id| self.failed(id)).collect()
    }

    fn finish(
        &mut self,
        id: ReadIndexQueryId,
        answer: ReadIndexAnswer,
    ) -> Vec<(R, ReadIndexAnswer)> {
        let readers = self.sent.remove(&id).map(|question| question.readers).unwrap_or_default();
        readers.into_iter().map(|reader| (reader, answer)).collect()
    }
}
