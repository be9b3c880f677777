//! Term reports from the members of a group, and the gate for acknowledgements that follows from them.
//!
//! A home polls every member of its database and records when each poll was sent. The acknowledgement of a write
//! under a term is released only while a majority of the members has reported exactly this term in polls sent
//! within the window. A promotion raises a majority of the members to a higher term and then waits for the
//! window, so no acknowledgement under the old term can follow the promotion.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     name::MemberId,
//!     position::{Lsn, Position, Term},
//!     quorum::{Gate, MemberReport, MemberRole, QuorumView, REPORT_WINDOW},
//! };
//!
//! let members: Vec<MemberId> = ["a", "b", "c"].map(MemberId::from).into();
//! let mut quorum = QuorumView::new(members, REPORT_WINDOW);
//! let start = Instant::default();
//! for (member, role) in [("a", MemberRole::Primary), ("b", MemberRole::Replica)] {
//!     quorum.record(MemberReport {
//!         member: member.into(),
//!         role,
//!         term: Term(1),
//!         claimant: None,
//!         promoted_term: Term(1),
//!         position: Position::new(Term(1), Lsn(7)),
//!         term_start: Position::default(),
//!         term_members: Vec::new(),
//!         source_silent: None,
//!         sent: start,
//!         received: start.plus(Duration::from_millis(1)),
//!     });
//! }
//! assert_eq!(quorum.gate(Term(1), start), Gate::Open);
//! assert_eq!(quorum.primary(start), Some("a".into()));
//! assert_eq!(quorum.gate(Term(1), start.plus(REPORT_WINDOW)), Gate::Closed);
//! ```

mod report;

use std::{collections::BTreeMap, time::Duration};

pub use report::{MemberReport, MemberRole};

use crate::{
    clock::Instant,
    name::MemberId,
    position::{Position, Term},
    term_history::TermHistory,
};

/// Time between two polls of a member.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a term report counts, from when its poll was sent.
///
/// A promotion waits this long, so the write gap is at least this long. It covers three polls, so the gate stays
/// open when two polls in a row are lost.
pub const REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Number of kept proofs of the primary's position; 64 cover 16 s of polls.
const MAX_PROOFS: usize = 64;

/// Number of unanswered polls of a member whose sending times are kept; older ones are only counted.
const MAX_UNANSWERED: usize = 16;

/// Whether acknowledgements under a term may be released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Gate {
    /// No higher term can have a primary yet.
    Open,
    /// The term may have been replaced.
    Closed,
}

impl Gate {
    /// Whether acknowledgements may be released.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }
}

/// Position that the primary had at or after `sent`, while no other primary could acknowledge a write.
///
/// Data that includes the position includes every write that was acknowledged before `sent`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionProof {
    /// Time at which the poll of the primary was sent.
    pub sent: Instant,
    /// Position in the primary's answer.
    pub position: Position,
}

/// Latest reports of the members of a database to one home, and what a majority of them shows.
#[derive(Debug, Clone)]
pub struct QuorumView {
    members: Vec<MemberId>,
    window: Duration,
    states: BTreeMap<MemberId, MemberState>,
    proofs: Vec<PositionProof>,
    history: TermHistory,
}

#[derive(Debug, Clone, Default)]
struct MemberState {
    report: Option<MemberReport>,
    /// Sending time of the newest answered poll, whatever term the answer reported.
    last_answered: Option<Instant>,
    /// Sending times of the polls after the newest answered one, oldest first.
    unanswered: Vec<Instant>,
    /// Number of polls after the newest answered one that failed early, or were dropped from `unanswered`.
    failed: u32,
}

impl QuorumView {
    /// Creates a view of the group of `members` without reports.
    ///
    /// An effectively infinite `window` disables the expiry of reports, which only tests do.
    pub fn new(members: Vec<MemberId>, window: Duration) -> Self {
        let states =
            members.iter().map(|member| (member.clone(), MemberState::default())).collect();
        Self { members, window, states, proofs: Vec::new(), history: TermHistory::default() }
    }

    /// Members of the group, in the order in which ties are broken.
    pub fn members(&self) -> &[MemberId] {
        &self.members
    }

    /// Time for which a report counts, from when its poll was sent.
    pub const fn window(&self) -> Duration {
        self.window
    }

    /// Smallest number of members that is a majority.
    pub const fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Records that a poll was sent to `member`, so that it counts as missed when no answer arrives.
    pub fn poll_sent(&mut self, member: &MemberId, sent: Instant) {
        if let Some(state) = self.states.get_mut(member) {
            state.unanswered.push(sent);
            if state.unanswered.len() > MAX_UNANSWERED {
                state.unanswered.remove(0);
                state.failed = state.failed.saturating_add(1);
            }
        }
    }

    /// Records that the poll that was sent at `sent` failed at once, for example because the connection was refused.
    pub fn poll_failed(&mut self, member: &MemberId, sent: Instant) {
        let Some(state) = self.states.get_mut(member) else { return };
        if let Some(index) = state.unanswered.iter().position(|poll| *poll == sent) {
            state.unanswered.remove(index);
            state.failed += 1;
        }
    }

    /// Records the answer to a poll.
    ///
    /// It replaces the known report of the member unless its term is lower, or its term is the same and its poll was
    /// sent earlier. Of the report of an unknown member, only the start of its term is recorded.
    pub fn record(&mut self, mut report: MemberReport) {
        self.record_start(&mut report);
        let Some(state) = self.states.get_mut(&report.member) else { return };
        state.record_answer(report.sent);
        let newer = match &state.report {
            None => true,
            Some(last) => (report.term, report.sent) >= (last.term, last.sent),
        };
        if !newer {
            return;
        }
        let (sent, received) = (report.sent, report.received);
        let proof = report.is_primary().then_some((report.term, report.position));
        state.report = Some(report);
        if let Some((term, position)) = proof
            && self.gate(term, received).is_open()
        {
            self.add_proof(PositionProof { sent, position });
        }
    }

    /// Whether acknowledgements under `term` may be released at `now`.
    pub fn gate(&self, term: Term, now: Instant) -> Gate {
        let reports = self.fresh_reports(now).filter(|report| report.term == term).count();
        if reports >= self.majority() { Gate::Open } else { Gate::Closed }
    }

    /// The term whose gate is open; `None` when the gates of all terms are closed.
    pub fn current_term(&self, now: Instant) -> Option<Term> {
        let mut terms: Vec<Term> = self.fresh_reports(now).map(|report| report.term).collect();
        terms.sort_unstable();
        terms.dedup();
        terms.into_iter().rev().find(|term| self.gate(*term, now).is_open())
    }

    /// The primary of the current term; `None` when no term is current or its primary did not report within the window.
    pub fn primary(&self, now: Instant) -> Option<MemberId> {
        let term = self.current_term(now)?;
        self.fresh_reports(now)
            .find(|report| report.is_primary() && report.term == term)
            .map(|report| report.member.clone())
    }

    /// The primary of the highest term in the newest reports, and its term, whatever the age of the report.
    pub fn last_primary(&self) -> Option<(MemberId, Term)> {
        self.reports()
            .filter(|report| report.is_primary())
            .max_by_key(|report| report.term)
            .map(|report| (report.member.clone(), report.term))
    }

    /// Highest term that any member reported; `None` without reports.
    pub fn highest_term(&self) -> Option<Term> {
        self.reports().map(|report| report.term).max()
    }

    /// Newest report of `member`; `None` before its first answer.
    pub fn report(&self, member: &MemberId) -> Option<&MemberReport> {
        self.states.get(member)?.report.as_ref()
    }

    /// Newest reports of all members that have answered a poll.
    pub fn reports(&self) -> impl Iterator<Item = &MemberReport> {
        self.states.values().filter_map(|state| state.report.as_ref())
    }

    /// Sending time of the newest poll that `member` answered; `None` before its first answer.
    pub fn last_answered(&self, member: &MemberId) -> Option<Instant> {
        self.states.get(member)?.last_answered
    }

    /// Number of polls of `member` since its last answer that failed or were not answered within [`POLL_INTERVAL`].
    pub fn missed_polls(&self, member: &MemberId, now: Instant) -> u32 {
        let Some(state) = self.states.get(member) else { return 0 };
        let overdue = state.unanswered.iter().filter(|sent| now.since(**sent) >= POLL_INTERVAL);
        state.failed.saturating_add(u32::try_from(overdue.count()).unwrap_or(u32::MAX))
    }

    /// Proofs of the primary's position, oldest first.
    pub fn proofs(&self) -> &[PositionProof] {
        &self.proofs
    }

    /// Records the start of a term as learned from another instance or from the store.
    pub fn record_term(&mut self, term: Term, start: Position) {
        self.history.record(term, start);
    }

    /// Records the starts of terms that another view of the group knows.
    pub fn merge_history(&mut self, history: &TermHistory) {
        self.history.merge(history);
    }

    /// Starts of the terms that the members reported or that were recorded.
    pub const fn history(&self) -> &TermHistory {
        &self.history
    }

    /// Records the start of the newest term in the member's log, and completes the start in the report with the term
    /// that was continued, when that is known.
    ///
    /// A raised member accepts no entries until it is promoted, so the position that it reports in between is the start
    /// of the term.
    fn record_start(&mut self, report: &mut MemberReport) {
        let term = report.log_term();
        let before = self.report(&report.member).filter(|before| {
            report.is_primary() && before.term == report.term && before.log_term() < before.term
        });
        if let Some(before) = before
            && before.position.lsn == report.term_start.lsn
        {
            report.term_start = before.position;
        }
        self.history.record(term, report.term_start);
        report.term_start = self.history.start(term).unwrap_or(report.term_start);
    }

    /// Reports whose polls were sent within the window.
    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = &MemberReport> {
        self.reports().filter(move |report| now.since(report.sent) < self.window)
    }

    fn add_proof(&mut self, proof: PositionProof) {
        if self.proofs.len() == MAX_PROOFS {
            self.proofs.remove(0);
        }
        self.proofs.push(proof);
    }
}

impl MemberState {
    fn record_answer(&mut self, sent: Instant) {
        if self.last_answered.is_none_or(|answered| answered < sent) {
            self.last_answered = Some(sent);
            self.failed = 0;
        }
        self.unanswered.retain(|poll| *poll > sent);
    }
}
