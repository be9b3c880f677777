//! Members, term and member reports of one database, as this instance knows them.

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

/// Immutable snapshot of a group.
#[derive(Debug, Clone)]
pub struct GroupView {
    /// Name of the database that the members of the group replicate.
    pub database: Database,
    /// Members, in the order in which ties are broken.
    pub members: Vec<MemberRecord>,
    /// Newest term that this instance knows.
    pub term: Term,
    /// Primary of the term; `None` while it is not known, for example between a claim and the promotion.
    pub primary: Option<MemberId>,
    /// Position at which the term began; `None` while it is not known.
    pub term_start: Option<Position>,
    /// Members among which the term part of a contract is divided; empty while they are not known for the term.
    pub term_members: Vec<MemberId>,
    /// Latest polls and reports of the members; no reports when this instance does not poll the group.
    pub quorum: QuorumView,
}

impl GroupView {
    /// The record of `member`; `None` when it is not a member of the group.
    pub fn member(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.members.iter().find(|record| record.id == *member)
    }

    /// The record of the primary; `None` while the primary is not known.
    pub fn primary_member(&self) -> Option<&MemberRecord> {
        self.member(self.primary.as_ref()?)
    }

    /// Last report of `member`; `None` when this instance does not poll the group or has no answer yet.
    pub fn report(&self, member: &MemberId) -> Option<&MemberReport> {
        self.quorum.report(member)
    }

    /// Merges primary, start and members of `term`. An older term is ignored, and a primary or list of members that is
    /// already set for the same term is not replaced.
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
        // A start that is learnt later can contain the continued term, which the start known before may lack.
        self.term_start = start.or(self.term_start);
        if self.term_members.is_empty() {
            self.term_members = members.to_vec();
        }
    }

    /// Records a received start of `term`, and returns the most complete start that is known for the term.
    fn record_start(&mut self, term: Term, start: Option<Position>) -> Option<Position> {
        if let Some(start) = start {
            self.quorum.record_term(term, start);
        }
        self.quorum.history().start(term)
    }

    /// Whether the gate of `term` is open at `now`, so that an answer under the term may be released.
    pub fn gate_open(&self, term: Term, now: Instant) -> bool {
        self.quorum.gate(term, now).is_open()
    }
}

/// State of one database group, shared by the request path and the tasks that poll the members.
#[derive(Debug)]
pub struct Group {
    view: Mutex<Arc<GroupView>>,
    changed: Event,
    term_changed_at: Mutex<Instant>,
    writes_held: AtomicBool,
}

impl Group {
    /// Creates the group of `record` without reports.
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
            term_changed_at: Mutex::new(BootClock.now()),
            writes_held: AtomicBool::new(false),
        }
    }

    /// The present snapshot.
    pub fn view(&self) -> Arc<GroupView> {
        Arc::clone(&lock(&self.view))
    }

    /// Whether the gate of `term` is open at `now`; see [`GroupView::gate_open`].
    pub fn gate_open(&self, term: Term, now: Instant) -> bool {
        lock(&self.view).gate_open(term, now)
    }

    /// Completes at the next poll, report, change of term or record, or change of [`writes_held`](Self::writes_held).
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Whether this instance, as home of the primary, delays new writes because the primary is about to be replaced.
    pub fn writes_held(&self) -> bool {
        self.writes_held.load(Ordering::Acquire)
    }

    /// Sets whether new writes are delayed; see [`writes_held`](Self::writes_held).
    pub fn hold_writes(&self, held: bool) {
        if self.writes_held.swap(held, Ordering::AcqRel) != held {
            self.changed.notify(usize::MAX);
        }
    }

    /// Time at which the term or its primary last changed on this instance.
    pub fn term_changed_at(&self) -> Instant {
        *lock(&self.term_changed_at)
    }

    /// The newest term, as it is sent to other instances.
    pub fn term_info(&self) -> TermInfo {
        let view = self.view();
        TermInfo {
            database: view.database.clone(),
            term: view.term,
            primary: view.primary.clone(),
            term_start: view.term_start,
        }
    }

    /// Applies the store's record: its members, and its term unless a newer one is known. A record of the same term
    /// adds what is not known of it yet.
    pub fn apply_record(&self, record: &DatabaseRecord) {
        self.update(|view| {
            view.members.clone_from(&record.members);
            if !record.members.iter().map(|member| &member.id).eq(view.quorum.members()) {
                let mut rebuilt = quorum(record);
                // Without the starts of the terms, every position of an older term would count as a lost write.
                rebuilt.merge_history(view.quorum.history());
                view.quorum = rebuilt;
            }
            let start = view.record_start(record.term, record.term_start);
            view.merge_term(record.term, record.primary.as_ref(), start, &record.term_members);
        });
    }

    /// Applies a term that another instance sent in a heartbeat.
    pub fn apply_term(&self, info: &TermInfo) {
        self.update(|view| {
            let start = view.record_start(info.term, info.term_start);
            view.merge_term(info.term, info.primary.as_ref(), start, &[]);
        });
    }

    /// Applies the answer of a member to a poll.
    pub fn apply_report(&self, report: MemberReport) {
        self.update(|view| {
            view.quorum.record(report.clone());
            if report.is_primary() {
                // The member gives the start with the number of the new term; the quorum view has completed it with
                // the continued term.
                let start = view.quorum.history().start(report.term);
                view.merge_term(report.term, Some(&report.member), start, &report.term_members);
            }
        });
    }

    /// Records that a poll was sent to `member` at `sent`.
    pub fn poll_sent(&self, member: &MemberId, sent: Instant) {
        self.update(|view| view.quorum.poll_sent(member, sent));
    }

    /// Records that the poll sent to `member` at `sent` failed, for example because the connection was refused.
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
            *lock(&self.term_changed_at) = BootClock.now();
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
