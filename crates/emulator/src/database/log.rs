//! Replicated state of a member: its log of committed transactions, its term and its role.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hibiscusladder_core::{
    name::MemberId,
    position::{Lsn, Position, Term},
};
use rusqlite::types::Value;
use serde::{Deserialize, Serialize};

use super::error::SqlError;

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The member accepts writes.
    Primary,
    /// The member copies the log of a primary.
    Replica,
    /// The member was primary until its term was raised, and refuses writes.
    Fenced,
}

impl Role {
    /// Name of the role in the result of `group_status()`.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        }
    }
}

/// A statement that writes, with what a replica needs to replay it.
#[derive(Debug, Clone)]
pub(crate) struct Write {
    pub(crate) sql: Arc<str>,
    pub(crate) params: Vec<Value>,
    /// Inputs of `now()` and `random()`, so that the replay gives the same results.
    pub(crate) eval_context: EvalContext,
}

/// Inputs of a statement besides its text, parameters and data: the time since the Unix epoch that `now()` returns, and
/// the seed of `random()`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EvalContext {
    pub(crate) now: Duration,
    pub(crate) seed: u64,
}

/// An entry of the log, with the time of its commit on the primary.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) committed: Instant,
    pub(crate) content: Content,
}

/// Content of a log entry.
#[derive(Debug)]
pub(crate) enum Content {
    /// The statements of one transaction.
    Writes(Vec<Write>),
    /// The beginning of the entry's term.
    TermStart(TermStart),
}

/// Start of a term: its position, and its members.
///
/// These are all members for term 1, and those named in `group_promote` for later terms.
#[derive(Debug, Clone)]
pub(crate) struct TermStart {
    pub(crate) position: Position,
    pub(crate) members: Vec<MemberId>,
}

/// The replicated state of a member.
#[derive(Debug)]
pub(crate) struct GroupLog {
    pub(crate) role: Role,
    pub(crate) term: Term,
    /// Instance for which the term was raised; `None` in term 1 and when `group_follow` set the term, empty when a
    /// replica that has no claimant passed the term on.
    pub(crate) claimant: Option<String>,
    /// Latest term that the member itself was promoted for.
    pub(crate) promoted_term: Option<Term>,
    /// Member whose log a replica copies.
    pub(crate) source: Option<MemberId>,
    /// Time at which the replica last reached its source, even if there was nothing to copy; initially the time at
    /// which it became a replica.
    pub(crate) source_last_reached: Instant,
    entries: Vec<Arc<Entry>>,
    terms: Vec<TermStart>,
    truncations: u64,
}

impl GroupLog {
    /// The state of a member at the start of term 1.
    pub(crate) fn new(primary: &MemberId, is_primary: bool, members: Vec<MemberId>) -> Self {
        let term = Term(1);
        Self {
            role: if is_primary { Role::Primary } else { Role::Replica },
            term,
            claimant: None,
            promoted_term: is_primary.then_some(term),
            source: (!is_primary).then(|| primary.clone()),
            source_last_reached: Instant::now(),
            entries: Vec::new(),
            terms: vec![TermStart { position: Position::new(term, Lsn(0)), members }],
            truncations: 0,
        }
    }

    /// Position of the last entry.
    pub(crate) fn position(&self) -> Position {
        self.position_at(self.entries.len())
    }

    /// Start of the newest term in the log.
    pub(crate) fn term_start(&self) -> Option<&TermStart> {
        self.terms.last()
    }

    pub(crate) const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of times that entries were removed.
    pub(crate) const fn truncations(&self) -> u64 {
        self.truncations
    }

    /// Entries from `index` on; empty when there are none.
    pub(crate) fn entries_from(&self, index: usize) -> &[Arc<Entry>] {
        self.entries.get(index..).unwrap_or_default()
    }

    /// Appends the writes of a transaction and returns their position; fails unless the member is primary.
    pub(crate) fn commit(&mut self, writes: Vec<Write>) -> Result<Position, SqlError> {
        if self.role != Role::Primary {
            return Err(SqlError::read_only());
        }
        let entry =
            Entry { term: self.term, committed: Instant::now(), content: Content::Writes(writes) };
        self.push(Arc::new(entry));
        Ok(self.position())
    }

    /// Appends an entry that the primary of its term has committed.
    pub(crate) fn push(&mut self, entry: Arc<Entry>) {
        if let Content::TermStart(start) = &entry.content {
            self.terms.push(start.clone());
        }
        self.entries.push(entry);
    }

    /// Raises the term for `claimant`; a lower or equal term changes nothing.
    pub(crate) fn raise_term(&mut self, term: Term, claimant: &str) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.claimant = Some(claimant.to_owned());
        if self.role == Role::Primary {
            self.role = Role::Fenced;
        }
    }

    /// Makes the member primary of `term`, which must be its current term.
    pub(crate) fn promote(&mut self, term: Term, members: Vec<MemberId>) -> Result<(), SqlError> {
        if self.term != term {
            let message =
                format!("cannot promote for term {term}: the member is at term {}", self.term);
            return Err(SqlError::new("55000", message));
        }
        if self.role == Role::Primary {
            return Ok(());
        }
        let position = Position::new(term, self.position().lsn);
        let content = Content::TermStart(TermStart { position, members });
        self.push(Arc::new(Entry { term, committed: Instant::now(), content }));
        self.role = Role::Primary;
        self.promoted_term = Some(term);
        self.source = None;
        Ok(())
    }

    /// Whether the member is a replica of `source` in `term`.
    pub(crate) fn follows(&self, source: &MemberId, term: Term) -> bool {
        self.role == Role::Replica && self.source.as_ref() == Some(source) && self.term == term
    }

    /// Makes the member a replica of `source`, which is primary of `term`.
    pub(crate) fn follow(&mut self, source: MemberId, term: Term) -> Result<(), SqlError> {
        if term < self.term {
            let message = format!("cannot follow term {term}: the member is at term {}", self.term);
            return Err(SqlError::new("55000", message));
        }
        if term == self.term && self.role == Role::Primary {
            let message = format!("cannot follow: the member is the primary of term {term}");
            return Err(SqlError::new("55000", message));
        }
        if term > self.term {
            self.term = term;
            self.claimant = None;
        }
        self.role = Role::Replica;
        self.source = Some(source);
        self.source_last_reached = Instant::now();
        Ok(())
    }

    pub(crate) fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// Number of entries that this log and `other` have in common from the start.
    pub(crate) fn common_prefix_len(&self, other: &[Arc<Entry>]) -> usize {
        let shortest = self.len().min(other.len());
        let same = |index: &usize| Arc::ptr_eq(&self.entries[*index], &other[*index]);
        // Members share an entry through its `Arc`, and logs that agree at one index agree at all earlier ones.
        (0..shortest).rev().find(same).map_or(0, |index| index + 1)
    }

    /// Removes the entries from `len` on.
    pub(crate) fn truncate(&mut self, len: usize) {
        if len >= self.entries.len() {
            return;
        }
        self.entries.truncate(len);
        self.terms
            .retain(|start| start.position.term == Term(1) || start.position.lsn.0 < len as u64);
        self.truncations += 1;
    }

    fn position_at(&self, len: usize) -> Position {
        let term = match len.checked_sub(1) {
            Some(last) => self.entries[last].term,
            None => Term(1),
        };
        Position::new(term, Lsn(len as u64))
    }
}
