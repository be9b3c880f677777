//! Simulated member of the group: its log, its term and its control functions.

use std::time::Duration;

use hibiscusladder_core::{
    name::InstanceId,
    position::{Lsn, Position, Term},
    quorum::MemberRole,
};

/// One entry of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    /// Number of a session's write; `None` in the entry with which a term begins.
    pub(crate) write: Option<u64>,
    pub(crate) at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) role: MemberRole,
    pub(crate) term: Term,
    pub(crate) claimant: Option<InstanceId>,
    pub(crate) promoted_term: Term,
    pub(crate) term_start: Position,
    pub(crate) log: Vec<Entry>,
    pub(crate) source: Option<usize>,
    pub(crate) source_last_reached: Duration,
    /// Whether the log was compared with that of `source` since the member began to follow it.
    aligned: bool,
}

impl Member {
    pub(crate) fn new(index: usize) -> Self {
        let first = Entry { term: Term(1), write: None, at: Duration::ZERO };
        Self {
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            term: Term(1),
            claimant: None,
            promoted_term: Term(1),
            term_start: Position::default(),
            log: vec![first],
            source: (index != 0).then_some(0),
            source_last_reached: Duration::ZERO,
            aligned: true,
        }
    }

    pub(crate) fn position(&self) -> Position {
        let term = self.log.last().map_or_else(Term::default, |entry| entry.term);
        Position::new(term, Lsn(self.log.len() as u64))
    }

    pub(crate) fn raise(&mut self, term: Term, claimant: InstanceId, exclusive: bool) {
        if term > self.term {
            self.term = term;
            self.claimant = Some(claimant);
            if self.role == MemberRole::Primary {
                self.role = MemberRole::Fenced;
            }
        } else if term == self.term && !exclusive {
            self.claimant = Some(claimant);
        }
    }

    /// Returns whether the member is primary of `term` after the call, and whether the call made it primary.
    pub(crate) fn promote(&mut self, term: Term, now: Duration) -> (bool, bool) {
        if self.term != term {
            return (false, false);
        }
        if self.role == MemberRole::Primary {
            return (true, false);
        }
        self.term_start = self.position();
        self.promoted_term = term;
        self.role = MemberRole::Primary;
        self.source = None;
        self.log.push(Entry { term, write: None, at: now });
        (true, true)
    }

    pub(crate) fn follow(&mut self, primary: usize, term: Term, now: Duration) {
        let itself = self.role == MemberRole::Primary && self.term == term;
        if term < self.term || itself || (self.source == Some(primary) && self.term == term) {
            return;
        }
        if term > self.term {
            self.claimant = None;
        }
        self.term = term;
        self.role = MemberRole::Replica;
        self.source = Some(primary);
        self.source_last_reached = now;
        self.aligned = false;
    }

    pub(crate) fn write(&mut self, write: u64, now: Duration) -> Option<Position> {
        if self.role != MemberRole::Primary {
            return None;
        }
        self.log.push(Entry { term: self.term, write: Some(write), at: now });
        Some(self.position())
    }

    /// Appends the entries that `source` logged at least `lag` ago. The first call after a change of source
    /// truncates the log to the part that it shares with the source.
    pub(crate) fn replicate(&mut self, source: &Self, lag: Duration, now: Duration) {
        if source.role != MemberRole::Primary || source.term != self.term {
            return;
        }
        self.source_last_reached = now;
        if !self.aligned {
            let common = self.log.iter().zip(&source.log).take_while(|(a, b)| a == b).count();
            self.log.truncate(common);
            self.aligned = true;
        }
        let due = source.log.iter().skip(self.log.len()).take_while(|entry| entry.at + lag <= now);
        let due: Vec<Entry> = due.copied().collect();
        self.log.extend(due);
        if self.position().term == source.promoted_term {
            self.promoted_term = source.promoted_term;
            self.term_start = source.term_start;
        }
    }
}
