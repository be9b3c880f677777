//! State of one group at an instance: views of its members, polls, and a failover that the instance carries out.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, MemberId},
    sync_group::{Failover, GroupView},
};
use hibiscusladder_io::clock::within;
use serde_json::json;

use crate::{
    events::{self, Event},
    member_table::LAPSE_GRACE,
};

/// Age of an answer up to which it shows that a member responds.
const ANSWER_EVIDENCE_AGE: Duration = Duration::from_millis(400);

/// State of the polls of one member.
#[derive(Debug, Default, Clone, Copy)]
pub struct PollState {
    /// When the latest poll was sent; `None` before the first.
    pub sent: Option<Instant>,
    /// Whether the latest poll is still running.
    pub running: bool,
    /// Whether the decision log last reported the member as lost.
    pub logged_lost: bool,
}

/// State of one group.
#[derive(Debug)]
pub struct GroupState {
    /// Name of the group, as in the configuration.
    pub name: Group,
    /// Latest answers of the members, and the leader that follows from them.
    pub view: RefCell<GroupView>,
    /// Failover that this instance carries out.
    pub failover: RefCell<Failover>,
    /// Number of consecutive writes without an answer, and when the first of them was recorded; `None` after a write
    /// with an answer.
    pub unanswered_writes: Cell<Option<(u32, Instant)>>,
    /// Since when members answer but none of them leads; `None` while there is a leader or no answer.
    pub leaderless_since: Cell<Option<Instant>>,
    /// Since when no failover can succeed before a member is back that is not listed; `None` while one can.
    awaits_logs_since: Cell<Option<Instant>>,
    /// Other instance that last reported that all replicas hold a term, and the term; `None` before, or once that failover
    /// has ended.
    pub held_by: RefCell<Option<(InstanceId, u64)>>,
    /// Members for which a poll was requested since the polls of the group were last sent.
    pub poll_requested: RefCell<BTreeSet<MemberId>>,
    /// Members whose answers were slow since the last message to a hub.
    slow: RefCell<BTreeSet<MemberId>>,
    /// When a member last answered a request of this instance; `None` before the first.
    answered_at: Cell<Option<Instant>>,
    /// State of the polls by member.
    pub polls: RefCell<BTreeMap<MemberId, PollState>>,
    /// Member and term of the leader that was last logged, and whether it was fenced; `None` without a leader.
    logged_leader: RefCell<Option<(MemberId, u64, bool)>>,
    changed: Notify,
}

impl GroupState {
    pub(crate) fn new(name: Group) -> Rc<Self> {
        Rc::new(Self {
            name,
            view: RefCell::default(),
            failover: RefCell::default(),
            unanswered_writes: Cell::new(None),
            leaderless_since: Cell::new(None),
            awaits_logs_since: Cell::new(None),
            held_by: RefCell::default(),
            poll_requested: RefCell::default(),
            slow: RefCell::default(),
            answered_at: Cell::new(None),
            polls: RefCell::default(),
            logged_leader: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Wakes the tasks that wait for a change of the group.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Logs the leader if it has changed, and wakes the tasks that wait for a change.
    ///
    /// `answered_by` is the member whose answer may have changed the leader.
    pub fn log_leader_change(&self, answered_by: Option<&MemberId>, now: Instant) {
        let leader = self.view.borrow().leader(now);
        let leader = leader.map(|leader| (leader.member, leader.term.0, leader.fenced));
        if *self.logged_leader.borrow() != leader {
            events::log(
                Event::LeaderChanged,
                json!({
                    "group": self.name.as_str(),
                    "leader": leader.as_ref().map(|(member, _, _)| member.as_str()),
                    "term": leader.as_ref().map(|(_, term, _)| *term),
                    "fenced": leader.as_ref().map(|(_, _, fenced)| *fenced),
                    "answered_by": answered_by.map(MemberId::as_str),
                }),
            );
            *self.logged_leader.borrow_mut() = leader;
            self.notify();
        }
    }

    /// Requests a poll of a member with the next polls of the group; used when a request to the member has no answer, or
    /// when another instance suspects the member.
    ///
    /// A member that has answered another request lately is not polled.
    pub fn request_poll(&self, member: &MemberId, now: Instant) {
        let answered = self.view.borrow().answered_at(member);
        if answered.is_some_and(|answered| now.since(answered) < ANSWER_EVIDENCE_AGE) {
            return;
        }
        self.poll_requested.borrow_mut().insert(member.clone());
    }

    /// Records that a request to the member has no answer for a while, for the next message to a hub.
    pub fn record_slow(&self, member: &MemberId) {
        self.slow.borrow_mut().insert(member.clone());
    }

    /// Removes and returns the members that were recorded as slow.
    pub fn take_slow(&self) -> BTreeSet<MemberId> {
        self.slow.take()
    }

    /// Records that a member answered a request of this instance.
    pub fn record_answer(&self, now: Instant) {
        self.answered_at.set(Some(now));
    }

    /// Whether a member answered a request of this instance within `age`.
    pub fn has_answers_within(&self, age: Duration, now: Instant) -> bool {
        self.answered_at.get().is_some_and(|answered| now.since(answered) < age)
    }

    /// Records whether a failover can succeed; to be called at regular intervals.
    pub fn observe_logs(&self, now: Instant) {
        let since = self.awaits_logs_since.get();
        let awaits = self.view.borrow().awaits_logs(now);
        self.awaits_logs_since.set(awaits.then(|| since.unwrap_or(now)));
    }

    /// Whether no failover can succeed before a member is back that is not listed. The lists of members may lack many of them for a
    /// moment after an outage of the store, so this has to last for [`LAPSE_GRACE`].
    pub fn awaits_logs(&self, now: Instant) -> bool {
        self.awaits_logs_since.get().is_some_and(|since| now.since(since) >= LAPSE_GRACE)
    }

    /// Waits for a change of the group, at most for `limit`.
    pub async fn wait_for_change(&self, limit: Duration) {
        within(limit, self.changed.listen()).await;
    }

    /// Records whether the primary answered a write.
    pub fn record_write(&self, answered: bool, now: Instant) {
        let unanswered_writes = self.unanswered_writes.get();
        self.unanswered_writes.set(match unanswered_writes {
            _ if answered => None,
            Some((count, since)) => Some((count + 1, since)),
            None => Some((1, now)),
        });
    }
}
