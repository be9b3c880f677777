//! What an instance knows about one database group.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::{Clock, Instant},
    database::{DatabaseRecord, MemberRecord},
    membership::TermInfo,
    name::{Database, MemberId},
    position::{Position, Term},
    quorum::{MemberReport, QuorumView, REPORT_WINDOW},
};

use super::lock;
use crate::clock::BootClock;

/// Immutable view of a group.
#[derive(Debug, Clone)]
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
    /// Polls and reports of the members; empty when this instance does not poll the group.
    pub quorum: QuorumView,
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

    /// Last report of `member`; absent when this instance does not poll the group.
    pub fn report(&self, member: &MemberId) -> Option<&MemberReport> {
        self.quorum.report(member)
    }

    /// Takes over a term; terms never decrease, and what is known about a term does not change.
    fn merge_term(
        &mut self,
        term: Term,
        primary: Option<&MemberId>,
        start: Option<Position>,
        members: &[MemberId],
    ) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.primary = None;
            self.term_start = None;
            self.term_members.clear();
        }
        if self.primary.is_none() {
            self.primary = primary.cloned();
        }
        // A later start may name the continued term, which an earlier one does not.
        self.term_start = start.or(self.term_start);
        if self.term_members.is_empty() {
            self.term_members = members.to_vec();
        }
    }

    /// Records the start of `term` that was told, and returns the most complete one that is known.
    fn learn_start(&mut self, term: Term, start: Option<Position>) -> Option<Position> {
        if let Some(start) = start {
            self.quorum.record_term(term, start);
        }
        self.quorum.history().start(term)
    }

    /// Whether an answer under `term` may be released at `now`.
    pub fn gate_open(&self, term: Term, now: Instant) -> bool {
        self.quorum.gate(term, now).is_open()
    }
}

/// One database group, shared by the request path and the polls.
#[derive(Debug)]
pub struct Group {
    view: Mutex<Arc<GroupView>>,
    changed: Event,
    term_changed: Mutex<Instant>,
    writes_held: AtomicBool,
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
            quorum: quorum(record),
        };
        Self {
            view: Mutex::new(Arc::new(view)),
            changed: Event::new(),
            term_changed: Mutex::new(BootClock.now()),
            writes_held: AtomicBool::new(false),
        }
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

    /// Whether the home of the primary holds new writes back, because the primary is about to be replaced.
    pub fn writes_held(&self) -> bool {
        self.writes_held.load(Ordering::Acquire)
    }

    /// Sets whether the home of the primary holds new writes back.
    pub fn hold_writes(&self, held: bool) {
        if self.writes_held.swap(held, Ordering::AcqRel) != held {
            self.changed.notify(usize::MAX);
        }
    }

    /// When the term or its primary changed last.
    pub fn term_changed(&self) -> Instant {
        *lock(&self.term_changed)
    }

    /// The newest term, to be passed on.
    pub fn term_info(&self) -> TermInfo {
        let view = self.view();
        TermInfo {
            database: view.database.clone(),
            term: view.term,
            primary: view.primary.clone(),
            term_start: view.term_start,
        }
    }

    /// Takes members and a newer term from the store's record.
    pub fn apply_record(&self, record: &DatabaseRecord) {
        self.update(|view| {
            view.members.clone_from(&record.members);
            if !record.members.iter().map(|member| &member.id).eq(view.quorum.members()) {
                let mut rebuilt = quorum(record);
                // Without the starts, every session with a position of an older term would be told of a lost write.
                rebuilt.merge_history(view.quorum.history());
                view.quorum = rebuilt;
            }
            let start = view.learn_start(record.term, record.term_start);
            view.merge_term(record.term, record.primary.as_ref(), start, &record.term_members);
        });
    }

    /// Takes a newer term that another instance passed on.
    pub fn apply_term(&self, info: &TermInfo) {
        self.update(|view| {
            let start = view.learn_start(info.term, info.term_start);
            view.merge_term(info.term, info.primary.as_ref(), start, &[]);
        });
    }

    /// Takes the answer of a member to a poll.
    pub fn apply_report(&self, report: MemberReport) {
        self.update(|view| {
            view.quorum.record(report.clone());
            if report.is_primary() {
                // The witness completes the start, which the member gives with the number of the new term.
                let start = view.quorum.history().start(report.term);
                view.merge_term(report.term, Some(&report.member), start, &report.term_members);
            }
        });
    }

    /// Notes that a poll was sent to `member`.
    pub fn poll_sent(&self, member: &MemberId, sent: Instant) {
        self.update(|view| view.quorum.poll_sent(member, sent));
    }

    /// Notes that the poll sent to `member` at `sent` failed at once.
    pub fn poll_failed(&self, member: &MemberId, sent: Instant) {
        self.update(|view| view.quorum.poll_failed(member, sent));
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut GroupView),
    {
        let mut guard = lock(&self.view);
        let mut view = GroupView::clone(&guard);
        change(&mut view);
        if (view.term, &view.primary) != (guard.term, &guard.primary) {
            *lock(&self.term_changed) = BootClock.now();
        }
        *guard = Arc::new(view);
        drop(guard);
        self.changed.notify(usize::MAX);
    }
}

fn quorum(record: &DatabaseRecord) -> QuorumView {
    let members = record.members.iter().map(|member| member.id.clone()).collect();
    let mut quorum = QuorumView::new(members, REPORT_WINDOW);
    if let Some(start) = record.term_start {
        quorum.record_term(record.term, start);
    }
    quorum
}
