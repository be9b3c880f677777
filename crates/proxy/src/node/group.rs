//! What an instance knows about one database group.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::Instant,
    database::{DatabaseRecord, MemberRecord},
    name::{Database, MemberId},
    position::{Position, Term},
};

use super::lock;

/// Time after which a report no longer supports the gate.
pub const WITNESS_WINDOW: Duration = Duration::from_secs(1);

/// Role that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Accepts writes.
    Primary,
    /// Replicates from the primary.
    Replica,
    /// Was primary and rejects writes.
    Fenced,
}

/// Answer of a member to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// Member that answered.
    pub member: MemberId,
    /// Role of the member.
    pub role: MemberRole,
    /// Highest term that the member accepted.
    pub term: Term,
    /// Instance that raised the term; empty for the first one.
    pub claimant: Arc<str>,
    /// Term in which the member was promoted, when it is primary.
    pub promoted_term: Option<Term>,
    /// Position of the last entry in its log.
    pub position: Position,
    /// Position at which the newest promoted term began.
    pub term_start: Option<Position>,
    /// Members that raised to the term.
    pub term_members: Vec<MemberId>,
    /// Time since the member heard from its replication source.
    pub source_silent: Option<Duration>,
    /// When the poll was sent.
    pub sent: Instant,
}

/// Term of a group as instances pass it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermInfo {
    /// Database of the group.
    pub database: Database,
    /// Term.
    pub term: Term,
    /// Primary of the term, when it was promoted.
    pub primary: Option<MemberId>,
    /// Position at which the term began.
    pub term_start: Option<Position>,
    /// Members that raised to the term.
    pub term_members: Vec<MemberId>,
}

/// Immutable view of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupView {
    /// Name of the database.
    pub database: Database,
    /// Members in the order in which ties are broken.
    pub members: Vec<MemberRecord>,
    /// Newest known term.
    pub term: Term,
    /// Primary of the term, when it is known.
    pub primary: Option<MemberId>,
    /// Position at which the term began.
    pub term_start: Option<Position>,
    /// Members that divide the term part of every share.
    pub term_members: Vec<MemberId>,
    /// Last report of each member; empty when this instance does not poll the group.
    pub reports: HashMap<MemberId, MemberReport>,
}

impl GroupView {
    /// The record of `member`.
    pub fn member(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.members.iter().find(|record| record.id == *member)
    }

    /// The record of the primary.
    pub fn primary_member(&self) -> Option<&MemberRecord> {
        self.member(self.primary.as_ref()?)
    }

    /// Number of members that is a majority.
    pub const fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a majority reported `term` in polls that were sent within the window before `now`.
    pub fn gate_open(&self, term: Term, now: Instant) -> bool {
        let supports =
            |report: &&MemberReport| report.term == term && now.since(report.sent) < WITNESS_WINDOW;
        self.reports.values().filter(supports).count() >= self.majority()
    }
}

/// One database group, shared by the request path and the polls.
#[derive(Debug)]
pub struct Group {
    view: Mutex<Arc<GroupView>>,
    changed: Event,
}

impl Group {
    /// Creates the group of `record`, with no reports.
    pub fn new(record: &DatabaseRecord) -> Self {
        let view = GroupView {
            database: record.name.clone(),
            members: record.members.clone(),
            term: record.term,
            primary: record.primary.clone(),
            term_start: record.term_start,
            term_members: record.term_members.clone(),
            reports: HashMap::new(),
        };
        Self { view: Mutex::new(Arc::new(view)), changed: Event::new() }
    }

    /// The present view.
    pub fn view(&self) -> Arc<GroupView> {
        Arc::clone(&lock(&self.view))
    }

    /// Whether an answer under `term` may be released at `now`.
    pub fn gate_open(&self, term: Term, now: Instant) -> bool {
        lock(&self.view).gate_open(term, now)
    }

    /// Completes at the next report or change of term.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Takes members and a newer term from the store's record.
    pub fn apply_record(&self, record: &DatabaseRecord) {
        let term = TermInfo {
            database: record.name.clone(),
            term: record.term,
            primary: record.primary.clone(),
            term_start: record.term_start,
            term_members: record.term_members.clone(),
        };
        self.update(|view| {
            view.members.clone_from(&record.members);
            view.reports.retain(|member, _| record.members.iter().any(|m| m.id == *member));
            merge_term(view, &term);
        });
    }

    /// Takes a newer term that another instance or a member reported.
    pub fn apply_term(&self, term: &TermInfo) {
        self.update(|view| merge_term(view, term));
    }

    /// Takes the answer of a member to a poll.
    pub fn apply_report(&self, report: MemberReport) {
        self.update(|view| {
            if report.role == MemberRole::Primary && report.promoted_term == Some(report.term) {
                let term = TermInfo {
                    database: view.database.clone(),
                    term: report.term,
                    primary: Some(report.member.clone()),
                    term_start: report.term_start,
                    term_members: report.term_members.clone(),
                };
                merge_term(view, &term);
            }
            let newest = view.reports.get(&report.member).map(|old| old.sent);
            if newest.is_none_or(|sent| sent <= report.sent) {
                view.reports.insert(report.member.clone(), report);
            }
        });
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut GroupView),
    {
        let mut guard = lock(&self.view);
        let mut view = GroupView::clone(&guard);
        change(&mut view);
        *guard = Arc::new(view);
        drop(guard);
        self.changed.notify(usize::MAX);
    }
}

/// Terms never decrease; within a term, the primary becomes known once and then stays.
fn merge_term(view: &mut GroupView, term: &TermInfo) {
    let newer = term.term > view.term;
    let completes = term.term == view.term && view.primary.is_none() && term.primary.is_some();
    if newer || completes {
        view.term = term.term;
        view.primary.clone_from(&term.primary);
        view.term_start = term.term_start;
        view.term_members.clone_from(&term.term_members);
    } else if term.term == view.term && view.term_start.is_none() {
        view.term_start = term.term_start;
    }
}
