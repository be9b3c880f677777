//! Shares of all workspaces at one member, and their loans and handovers.

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
    share::{HandedOverShare, Loan, LoanRequest, Share},
};

use super::contracts::ContractDivisions;
use crate::node::{Group, GroupView, Node, lock};

/// Longest time for which handed-over shares are kept until the lease is usable.
///
/// A home that acquired the lock in between without a handover has no term part of its own to lend for
/// `MAX_LOAN_DURATION`, which is longer, so there are no loans but those that the handover accounts for.
const HANDOVER_TTL: Duration = LEASE_WINDOW;

/// Shares that the home of one member holds under its lease.
#[derive(Debug)]
pub(super) struct Shares {
    node: Arc<Node>,
    group: Arc<Group>,
    contracts: Arc<ContractDivisions>,
    database: Database,
    member: MemberId,
    state: Mutex<State>,
    loan_received: Event,
}

#[derive(Debug, Default)]
struct State {
    /// Epoch of the lease under which the shares were created; shares of another epoch are void.
    epoch: u64,
    shares: HashMap<Workspace, Share>,
    /// Epoch of the lease whose shares were handed over; no share is created under it any more.
    handed_over_epoch: Option<u64>,
    pending_handover: Option<PendingHandover>,
}

/// Shares that the previous home handed over, kept until the lease is usable.
#[derive(Debug)]
struct PendingHandover {
    received_at: Instant,
    /// Epoch of the lease of this home that follows the lease of the home that handed over.
    epoch: u64,
    shares: HashMap<Workspace, HandedOverShare>,
}

impl PendingHandover {
    fn is_valid(&self, epoch: u64, now: Instant) -> bool {
        self.epoch == epoch && now.since(self.received_at) < HANDOVER_TTL
    }
}

impl Shares {
    pub(super) fn new(
        node: &Arc<Node>,
        group: &Arc<Group>,
        contracts: &Arc<ContractDivisions>,
        member: &MemberId,
    ) -> Self {
        Self {
            node: Arc::clone(node),
            group: Arc::clone(group),
            contracts: Arc::clone(contracts),
            database: group.view().database.clone(),
            member: member.clone(),
            state: Mutex::default(),
            loan_received: Event::new(),
        }
    }

    /// Takes one token; `is_retry` is set for a request that was refused before.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before another attempt.
    pub(super) fn admit(&self, workspace: &Workspace, is_retry: bool) -> Result<(), Duration> {
        let now = self.node.now();
        let admitted = self.with_share(workspace, now, |share| {
            if is_retry { share.retry_admit(1.0, now) } else { share.try_admit(1.0, now) }
        });
        admitted.unwrap_or(Err(Duration::from_secs(1)))
    }

    /// Completes when a loan is received.
    pub(super) fn loan_received(&self) -> EventListener {
        self.loan_received.listen()
    }

    /// Loan requests that are due. This also creates the shares of workspaces without requests, so that they can lend.
    pub(super) fn due_loan_requests(&self) -> Vec<LoanRequest> {
        let now = self.node.now();
        let config = self.node.config();
        let contracts = config.contracts().filter(|c| c.databases.contains(&self.database));
        let workspaces: Vec<Workspace> = contracts.map(|c| c.workspace.clone()).collect();
        let requests =
            workspaces.iter().filter_map(|w| self.with_share(w, now, |s| s.loan_request(now)));
        requests.flatten().collect()
    }

    pub(super) fn lend(&self, request: &LoanRequest) -> Option<Loan> {
        let now = self.node.now();
        self.with_share(&request.workspace, now, |share| share.lend(request, now)).flatten()
    }

    /// Applies a loan whose request was sent at `sent`.
    pub(super) fn accept(&self, request: &LoanRequest, loan: &Loan, sent: Instant) {
        let now = self.node.now();
        let accepted = self
            .with_share(&request.workspace, now, |share| share.accept(request, loan, sent, now));
        if accepted == Some(true) {
            self.loan_received.notify(usize::MAX);
        }
    }

    /// Ends all shares of the present lease and returns their contents for the next home.
    pub(super) fn hand_over(&self) -> Vec<HandedOverShare> {
        let now = self.node.now();
        let workspaces: Vec<Workspace> = lock(&self.state).shares.keys().cloned().collect();
        // Updates lease and gate of each share.
        let current =
            workspaces.iter().filter(|w| self.with_share(w, now, |_| ()).is_some()).count();
        let mut state = lock(&self.state);
        state.handed_over_epoch = Some(state.epoch);
        let shares = std::mem::take(&mut state.shares);
        if current == 0 {
            return Vec::new();
        }
        shares.into_values().filter_map(|share| share.hand_over(now)).collect()
    }

    /// Takes over the shares of the previous home, or keeps them until the lease is usable; returns whether any of them
    /// are for this member and a workspace that has a contract.
    pub(super) fn take_over(&self, handed_over: &[HandedOverShare]) -> bool {
        let now = self.node.now();
        let Some(lease) = self.node.lease(&self.member) else { return false };
        let valid = handed_over.iter().filter(|share| {
            share.member == self.member
                && self.contracts.divisions(&self.node, &share.workspace).is_some()
        });
        let shares: HashMap<Workspace, HandedOverShare> =
            valid.map(|share| (share.workspace.clone(), share.clone())).collect();
        if shares.is_empty() {
            return false;
        }
        let workspaces: Vec<Workspace> = shares.keys().cloned().collect();
        let epoch = lease.epoch() + u64::from(!lease.holds_lock());
        lock(&self.state).pending_handover =
            Some(PendingHandover { received_at: now, epoch, shares });
        for workspace in &workspaces {
            self.with_share(workspace, now, |_| ());
        }
        true
    }

    /// Runs `action` on the share of `workspace`, which is created if needed and first updated with the lease, gate,
    /// term and contract at `now`. `None` without a usable lease or a contract, and after a handover.
    fn with_share<F, T>(&self, workspace: &Workspace, now: Instant, action: F) -> Option<T>
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
        if state.handed_over_epoch == Some(state.epoch) {
            return None;
        }
        let epoch = state.epoch;
        let pending = state.pending_handover.as_mut().filter(|p| p.is_valid(epoch, now));
        let handed_over = pending.and_then(|pending| pending.shares.remove(workspace));
        let share = state.shares.entry(workspace.clone()).or_insert_with(|| {
            let (database, member) = (self.database.clone(), self.member.clone());
            Share::new(workspace.clone(), database, member, divisions.clone(), now)
        });
        share.set_division(divisions.current().clone(), now);
        if let Some(members) = term_members(&view) {
            share.set_term(view.term, &members, now);
        }
        // The lease is checked again at each use, so the share may rely on it only at this moment.
        share.renew_lease(now.plus(Duration::from_nanos(1)));
        if let Some(until) = gate_until(&view, view.term) {
            share.set_gate(view.term, until);
        }
        if let Some(handed_over) = handed_over {
            share.take_over(&handed_over, now);
        }
        Some(action(share))
    }
}

/// Members among which the term part is divided; `None` until they are known for the term.
///
/// Before the first promotion, these are all members. Later, the list is known from the promotion only: homes that
/// assumed different lists would together use more than the rate.
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
