//! Members that fail more of this instance's reads than the others of their group.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, MemberId},
    outlier::Outliers,
};
use serde_json::json;

use crate::{
    channel::RunOutcome,
    events::{self, Event, millis},
    model::Code,
};

/// State of all groups.
#[derive(Debug)]
pub struct OutlierState {
    is_enabled: bool,
    groups: RefCell<BTreeMap<Group, Outliers>>,
    ejections: Cell<u64>,
}

impl OutlierState {
    /// Creates the state of an instance that has read nothing.
    pub const fn new(is_enabled: bool) -> Self {
        let groups = RefCell::new(BTreeMap::new());
        Self { is_enabled, groups, ejections: Cell::new(0) }
    }

    /// Records the outcome of a read at a member. `slow_after` is the time from which an answer counts as failed.
    pub fn record(
        &self,
        group: &Group,
        member: &MemberId,
        outcome: &RunOutcome,
        (took, slow_after): (Duration, Duration),
        now: Instant,
    ) {
        let Some(is_success) = is_success(outcome).filter(|_| self.is_enabled) else { return };
        let is_success = is_success && took < slow_after;
        let mut groups = self.groups.borrow_mut();
        let outliers = groups.entry(group.clone()).or_default();
        if let Some(length) = outliers.record(member, is_success, now) {
            self.ejections.set(self.ejections.get() + 1);
            events::log(
                Event::MemberEjected,
                json!({
                    "group": group.as_str(), "member": member.as_str(), "ejected_ms": millis(length),
                }),
            );
        }
    }

    /// Moves an ejected member behind the others, so that it runs a read only if no other can; if a probe is due, in front.
    pub fn order<T, F>(&self, group: &Group, candidates: &mut Vec<T>, member: F, now: Instant)
    where
        F: Fn(&T) -> &MemberId,
    {
        let mut groups = self.groups.borrow_mut();
        let Some(outliers) = groups.get_mut(group) else { return };
        let is_ejected = |candidate: &T| outliers.is_ejected(member(candidate), now);
        let Some(index) = candidates.iter().position(is_ejected) else { return };
        let ejected = candidates.remove(index);
        if outliers.take_probe(member(&ejected), now) {
            candidates.insert(0, ejected);
        } else {
            candidates.push(ejected);
        }
    }

    /// Forgets a member that is gone or was restarted.
    pub fn remove(&self, member: &MemberId) {
        for outliers in self.groups.borrow_mut().values_mut() {
            outliers.remove(member);
        }
    }

    /// Writes the metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// `out` returned an error.
    pub fn write<W>(&self, out: &mut W, now: Instant) -> fmt::Result
    where
        W: fmt::Write,
    {
        let ejected: usize =
            self.groups.borrow().values().map(|outliers| outliers.ejected(now)).sum();
        writeln!(out, "hibiscus_outliers_enabled {}", u8::from(self.is_enabled))?;
        writeln!(out, "hibiscus_ejected_members {ejected}")?;
        writeln!(out, "hibiscus_ejections_total {}", self.ejections.get())
    }
}

/// Whether the member did what it should; `None` when the outcome says nothing about that, as when the read was not sent.
fn is_success(outcome: &RunOutcome) -> Option<bool> {
    match outcome {
        RunOutcome::Answered(answer) => match answer.code() {
            None => Some(true),
            Some(Code::Busy | Code::TooMany | Code::Failed | Code::Timeout) => Some(false),
            Some(_) => None,
        },
        RunOutcome::ConnectionLost => Some(false),
        _ => None,
    }
}
