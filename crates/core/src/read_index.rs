//! Batched read-index queries, which request the primary's position for reads.
//!
//! A session without a position may read only after the primary's position was queried. All reads that arrive before a
//! query is sent share its answer. An answer counts only if the gate of the term was open when the answer arrived,
//! because a replaced primary would answer an old position.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     position::{Lsn, Position, Term},
//!     quorum::Gate,
//!     read_index::{ReadIndex, ReadIndexAnswer},
//! };
//!
//! let mut index = ReadIndex::new();
//! let now = Instant::default();
//! index.add_reader("first reader");
//! let query = index.start_query(now).expect("one reader waits");
//! index.add_reader("late reader");
//!
//! let position = Position::new(Term(1), Lsn(7));
//! let answered = index.answered(query, position, Gate::Open);
//! assert_eq!(answered, [("first reader", ReadIndexAnswer::Position(position))]);
//! assert_eq!(index.waiting(), 1);
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, position::Position, quorum::Gate};

/// Largest number of queries in flight.
///
/// A second one serves the readers that arrive while the first is in flight; a third allows for one that is lost.
const MAX_QUERIES: usize = 3;

/// Time after which a query without answer counts as lost.
pub const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(500);

/// Identifier of one read-index query, unique within its [`ReadIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadIndexQueryId(u64);

/// Answer to a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadIndexAnswer {
    /// The reader's session may read at this position.
    Position(Position),
    /// The query failed or the primary's term could not be confirmed; the read did not run.
    Unconfirmed,
}

/// Readers that wait for the primary's position, identified by `R`.
#[derive(Debug, Clone)]
pub struct ReadIndex<R> {
    waiting: Vec<R>,
    in_flight: BTreeMap<ReadIndexQueryId, Query<R>>,
    next_id: u64,
}

#[derive(Debug, Clone)]
struct Query<R> {
    sent: Instant,
    readers: Vec<R>,
}

impl<R> Default for ReadIndex<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R> ReadIndex<R> {
    /// Creates a read index without readers.
    pub const fn new() -> Self {
        Self { waiting: Vec::new(), in_flight: BTreeMap::new(), next_id: 0 }
    }

    /// Adds a reader to the next query.
    pub fn add_reader(&mut self, reader: R) {
        self.waiting.push(reader);
    }

    /// Number of readers that wait for the next query.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts a query for all waiting readers; `None` when no reader waits or too many queries are in flight.
    ///
    /// The caller sends the query after this call, never before.
    pub fn start_query(&mut self, now: Instant) -> Option<ReadIndexQueryId> {
        if self.waiting.is_empty() || self.in_flight.len() >= MAX_QUERIES {
            return None;
        }
        let id = ReadIndexQueryId(self.next_id);
        self.next_id += 1;
        let readers = std::mem::take(&mut self.waiting);
        self.in_flight.insert(id, Query { sent: now, readers });
        Some(id)
    }

    /// Ends a query with the primary's position, and the gate of its term at the time at which the answer arrived.
    /// Returns the answers to the readers; none for a query that has ended already.
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

    /// Ends a query that failed, and returns the answers to its readers.
    pub fn failed(&mut self, id: ReadIndexQueryId) -> Vec<(R, ReadIndexAnswer)> {
        self.finish(id, ReadIndexAnswer::Unconfirmed)
    }

    /// Ends the queries that were not answered within [`READ_INDEX_TIMEOUT`], and returns the answers to their readers.
    pub fn expire(&mut self, now: Instant) -> Vec<(R, ReadIndexAnswer)> {
        let overdue: Vec<ReadIndexQueryId> = self
            .in_flight
            .iter()
            .filter(|(_, query)| now.since(query.sent) >= READ_INDEX_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        overdue.into_iter().flat_map(|id| self.failed(id)).collect()
    }

    fn finish(
        &mut self,
        id: ReadIndexQueryId,
        answer: ReadIndexAnswer,
    ) -> Vec<(R, ReadIndexAnswer)> {
        let readers = self.in_flight.remove(&id).map(|query| query.readers).unwrap_or_default();
        readers.into_iter().map(|reader| (reader, answer)).collect()
    }
}
