//! Shares of all workspaces at one member.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use event_listener::{Event, EventListener};
use hibiscusladder_core::{
    clock::Instant,
    home_lease::LEASE_WINDOW,
    name::{Database, MemberId, Workspace},
    position::Term,
    quorum::REPORT_WINDOW,
    share::{HandOver, Loan, LoanRequest, Share},
};

use super::contracts::Contracts;
use crate::node::{Group, GroupView, Node, lock};

/// Longest time for which handed over buckets wait for the lease. A home that took the lock in between without
/// buckets has no term part of its own to lend for `MAX_LOAN_DURATION`, which is longer, so the loans are known.
const HANDED_KEPT: Duration = LEASE_WINDOW;

/// Shares that the home of one member holds under its lease.
#[derive(Debug)]
pub(super) struct Shares {
    node: Arc<Node>,
    group: Arc<Group>,
    contracts: Arc<Contracts>,
    database: Database,
    member: MemberId,
    state: Mutex<State>,
    lent: Event,
}

#[derive(Debug, Default)]
struct State {
    /// Lease under which the shares arose; those of another lease are void.
    epoch: u64,
    shares: HashMap<Workspace, Share>,
    /// Lease whose shares were handed over; none arise under it any more.
    ended: Option<u64>,
    handed: Option<Handed>,
}

/// Buckets of the last home that wait until the lease can be used.
#[derive(Debug)]
struct Handed {
    arrived: Instant,
    /// The lease that follows the one of the home that handed over.
    epoch: u64,
    buckets: HashMap<Workspace, HandOver>,
}

impl Handed {
    fn is_valid(&self, epoch: u64, now: Instant) -> bool {
        self.epoch == epoch && now.since(self.arrived) < HANDED_KEPT
    }
}

impl Shares {
    pub(super) fn new(
        node: &Arc<Node>,
        group: &Arc<Group>,
        contracts: &Arc<Contracts>,
        member: &MemberId,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            group: Arc::clone(group),
            contracts: Arc::clone(contracts),
            database: group.view().database.clone(),
            member: member.clone(),
            state: Mutex::default(),
            lent: Event::new(),
        }
    }

    /// Takes one token; `again` for a request that was refused before.
    ///
    /// # Errors
    ///
    /// Returns the time after which another try makes sense.
    pub(super) fn admit(&self, workspace: &Workspace, again: bool) -> Result<(), Duration> {
        let now = self.node.now();
        let admitted = self.with(workspace, now, |share| {
            if again { share.retry_admit(1.0, now) } else { share.try_admit(1.0, now) }
        });
        admitted.unwrap_or(Err(Duration::from_secs(1)))
    }

    /// Completes when a loan arrives.
    pub(super) fn loan_arrived(&self) -> EventListener {
        self.lent.listen()
    }

    /// Requests for loans that are due. Shares of workspaces that did not ask for anything arise here, too, so
    /// that they have something to lend.
    pub(super) fn wanted(&self) -> Vec<LoanRequest> {
        let now = self.node.now();
        let config = self.node.config();
        let contracts = config.contracts().filter(|c| c.databases.contains(&self.database));
        let workspaces: Vec<Workspace> = contracts.map(|c| c.workspace.clone()).collect();
        let requests = workspaces.iter().filter_map(|w| self.with(w, now, |s| s.loan_request(now)));
        requests.flatten().collect()
    }

    pub(super) fn lend(&self, request: &LoanRequest) -> Option<Loan> {
        let now = self.node.now();
        self.with(&request.workspace, now, |share| share.lend(request, now)).flatten()
    }

    /// Takes a loan that was asked for at `asked`.
    pub(super) fn accept(&self, request: &LoanRequest, loan: &Loan, asked: Instant) {
        let now = self.node.now();
        let accepted =
            self.with(&request.workspace, now, |share| share.accept(request, loan, asked, now));
        if accepted == Some(true) {
            self.lent.notify(usize::MAX);
        }
    }

    /// Ends all shares of the present lease and returns their contents for the next home.
    pub(super) fn hand_over(&self) -> Vec<HandOver> {
        let now = self.node.now();
        let workspaces: Vec<Workspace> = lock(&self.state).shares.keys().cloned().collect();
        // Brings lease and gate of each share up to date.
        let current = workspaces.iter().filter(|w| self.with(w, now, |_| ()).is_some()).count();
        let mut state = lock(&self.state);
        state.ended = Some(state.epoch);
        let shares = std::mem::take(&mut state.shares);
        if current == 0 {
            return Vec::new();
        }
        shares.into_values().filter_map(|share| share.hand_over(now)).collect()
    }

    /// Takes the contents of the last home's shares, or keeps them until the lease can be used; whether any of them
    /// belong to workspaces of this database.
    pub(super) fn take_over(&self, handed: &[HandOver]) -> bool {
        let now = self.node.now();
        let Some(lease) = self.node.lease(&self.member) else { return false };
        let known = handed.iter().filter(|handed| {
            handed.member == self.member
                && self.contracts.divisions(&self.node, &handed.workspace).is_some()
        });
        let buckets: HashMap<Workspace, HandOver> =
            known.map(|handed| (handed.workspace.clone(), handed.clone())).collect();
        if buckets.is_empty() {
            return false;
        }
        let workspaces: Vec<Workspace> = buckets.keys().cloned().collect();
        let epoch = lease.epoch() + u64::from(!lease.holds_lock());
        lock(&self.state).handed = Some(Handed { arrived: now, epoch, buckets });
        for workspace in &workspaces {
            self.with(workspace, now, |_| ());
        }
        true
    }

    /// Uses the share of `workspace` as lease, gate, term and contract are at `now`.
    fn with<F, T>(&self, workspace: &Workspace, now: Instant, action: F) -> Option<T>
    where
        F: FnOnce(&mut Share) -> T,
    {
        let lease = self.node.lease(&self.member)?;
        if !lease.usable(now) {
            return None;
        }
        let divisions = self.contracts.divisions(&self.node, workspace)?;
        let view = self.group.view();
        let mut state = lock(&self.state);
        if state.epoch != lease.epoch() {
            state.epoch = lease.epoch();
            state.shares.clear();
        }
        if state.ended == Some(state.epoch) {
            return None;
        }
        let epoch = state.epoch;
        let handed = state.handed.as_mut().filter(|handed| handed.is_valid(epoch, now));
        let handed = handed.and_then(|handed| handed.buckets.remove(workspace));
        let share = state.shares.entry(workspace.clone()).or_insert_with(|| {
            let (database, member) = (self.database.clone(), self.member.clone());
            Share::new(workspace.clone(), database, member, divisions.clone(), now)
        });
        share.set_division(divisions.current().clone(), now);
        if let Some(members) = term_members(&view) {
            share.set_term(view.term, &members, now);
        }
        // The lease is checked anew each time, so the share may use it for this moment only.
        share.renew_lease(now.plus(Duration::from_nanos(1)));
        if let Some(until) = gate_until(&view, view.term) {
            share.set_gate(view.term, until);
        }
        if let Some(handed) = handed {
            share.take_over(&handed, now);
        }
        Some(action(share))
    }
}

/// Members that divide the term part; `None` until they are known for the term.
///
/// Before the first promotion, all members do. Later ones are known from the promotion only: homes that assumed
/// different lists would use more than the whole.
fn term_members(view: &GroupView) -> Option<Vec<MemberId>> {
    view.primary.as_ref()?;
    if !view.term_members.is_empty() {
        return Some(view.term_members.clone());
    }
    let first = view.term_start.is_none_or(|start| start.term == Term(0)) && view.term <= Term(1);
    first.then(|| view.members.iter().map(|member| member.id.clone()).collect())
}

/// Time until which the gate of `term` is proved open, by the reports of a majority.
fn gate_until(view: &GroupView, term: Term) -> Option<Instant> {
    let reports = view.quorum.reports().filter(|report| report.term == term);
    let mut sent: Vec<Instant> = reports.map(|report| report.sent).collect();
    sent.sort_unstable_by(|left, right| right.cmp(left));
    let oldest = sent.get(view.quorum.majority() - 1)?;
    Some(oldest.plus(REPORT_WINDOW))
}
