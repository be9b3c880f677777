//! A group of three members and what they answer, and an attempt to replace its primary.

#![allow(dead_code, reason = "each test file uses a part of the support")]

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::MemberId,
    position::{Lsn, Position, Term},
    sync_group::{
        ClaimGrant, Failover, FailoverAction, GrantedClaim, GroupView, MemberStatus, Role, Trigger,
    },
};

pub(crate) fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

pub(crate) fn position(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

pub(crate) fn status(role: Role, term: u64, received: Position, held: u64) -> MemberStatus {
    let lag = Duration::ZERO;
    MemberStatus { role, term: Term(term), received, held: Term(held), lag, connections: 1 }
}

pub(crate) fn id(name: &str) -> MemberId {
    name.into()
}

pub(crate) fn group() -> GroupView {
    let mut view = GroupView::default();
    view.set_members(["a", "b", "c"].map(|name| (id(name), None)), at(0));
    view
}

/// A group whose primary `a` and replicas answered polls that were sent at `ms`.
pub(crate) fn polled(ms: u64) -> GroupView {
    let mut view = group();
    view.observe(&id("a"), status(Role::Primary, 1, position(1, 9), 0), at(ms));
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), 0), at(ms));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), 0), at(ms));
    view
}

pub(crate) fn hold_all(view: &mut GroupView, held: u64, ms: u64) {
    view.observe(&id("b"), status(Role::Replica, 1, position(1, 9), held), at(ms));
    view.observe(&id("c"), status(Role::Replica, 1, position(1, 8), held), at(ms));
}

/// As [`polled`], and the primary has not answered since.
pub(crate) fn silent_primary(ms: u64) -> GroupView {
    let mut view = polled(ms);
    view.poll_sent(&id("a"), at(ms + 100));
    view
}

/// An attempt whose claim was granted at `ms`.
pub(crate) fn claimed(trigger: Trigger, view: &GroupView, ms: u64) -> Failover {
    let mut failover = Failover::default();
    assert!(failover.start(trigger, view, at(ms)));
    let claim = FailoverAction::Claim { term: view.highest_term().next() };
    assert_eq!(failover.step(view, &[], false, at(ms)), [claim]);
    let granted = GrantedClaim {
        grant: ClaimGrant::new(7, at(ms)),
        repeats_term: false,
        latest: None,
        may_lack_records: false,
    };
    failover.claimed(Some(granted), at(ms));
    failover
}
