//! Cold members as this instance knows them, and the wait of requests for their allowance.
//!
//! Instances that watch the members learn from their entries whether they are cold. Hubs pass this on to the other
//! instances of their region.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    cold::{ColdLimits, ColdMember, Share},
    name::MemberId,
};
use hibiscusladder_io::clock::{BootClock, sleep};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::events::{self, Event};

/// Longest time between two attempts of a waiting request; the member may have become warm meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a refused connection in which the report of a hub does not show that the member is warm. Its entry may be
/// older than the restart; members renew their entries about every 1.2 s.
const ENTRY_AGE: Duration = Duration::from_millis(1500);

/// Margin by which the requests to a cold member may exceed its configured rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Tolerated factor of the rate within one second.
    pub overage: f64,
    /// Tolerated requests beyond that within one second.
    pub slack: f64,
}

/// The members that a hub knows to be cold, in a message to an instance that does not watch the members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport(Vec<(Box<str>, u32)>);

/// Requests to cold members.
#[derive(Debug, Default)]
struct Counts {
    admitted: Cell<u64>,
    refused: Cell<u64>,
}

/// State of one member.
#[derive(Debug)]
pub struct ColdGate {
    member: MemberId,
    state: RefCell<ColdMember>,
    /// When a connection was last refused.
    refused_at: Cell<Option<Instant>>,
    /// Whether the log last reported the member as cold.
    logged_cold: Cell<bool>,
    counts: Rc<Counts>,
}

impl ColdGate {
    /// Whether the member counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.state.borrow().is_cold(now)
    }

    /// Changes the limits and the share of this instance.
    pub fn set_limits(&self, limits: Option<ColdLimits>, share: Option<Share>, now: Instant) {
        self.state.borrow_mut().set_limits(limits, share, now);
    }

    /// Records that the member refused a connection: its process has ended, and is cold when it is started again.
    pub fn record_refused(&self, now: Instant) {
        self.refused_at.set(Some(now));
        self.state.borrow_mut().assume_cold(now);
        self.log("refused", now);
    }

    fn record_remaining(&self, remaining: Duration, now: Instant) {
        self.state.borrow_mut().record_remaining(remaining, now);
        self.log("entry", now);
    }

    /// Waits until `requests` more requests may be sent to the member; `false` if they may not by `until`.
    pub async fn admit(&self, requests: usize, until: Instant) -> bool {
        for _ in 0..requests {
            if !self.admit_one(until).await {
                self.counts.refused.set(self.counts.refused.get() + 1);
                return false;
            }
        }
        true
    }

    async fn admit_one(&self, until: Instant) -> bool {
        let mut is_first = true;
        loop {
            let now = BootClock.now();
            if !self.is_cold(now) {
                return true;
            }
            let admitted = self.state.borrow_mut().try_admit(is_first, now);
            let Err(wait) = admitted else {
                self.counts.admitted.set(self.counts.admitted.get() + 1);
                return true;
            };
            is_first = false;
            if now >= until {
                return false;
            }
            sleep(wait.min(RETRY_INTERVAL).min(until.since(now))).await;
        }
    }

    /// Logs whether the member is cold, if that has changed.
    fn log(&self, reason: &'static str, now: Instant) {
        let is_cold = self.is_cold(now);
        if self.logged_cold.replace(is_cold) == is_cold {
            return;
        }
        let event = if is_cold { Event::MemberCold } else { Event::MemberWarm };
        let remaining = events::millis(self.state.borrow().remaining(now));
        let member = self.member.as_str();
        events::log(
            event,
            json!({ "member": member, "reason": reason, "remaining_ms": remaining }),
        );
    }
}

/// State of all members.
#[derive(Debug)]
pub struct ColdMembers {
    tolerance: ColdTolerance,
    gates: RefCell<BTreeMap<MemberId, Rc<ColdGate>>>,
    counts: Rc<Counts>,
}

impl ColdMembers {
    /// Creates the state of an instance that knows no members.
    pub fn new(tolerance: ColdTolerance) -> Self {
        Self { tolerance, gates: RefCell::default(), counts: Rc::default() }
    }

    /// Margin over the configured rate.
    pub const fn tolerance(&self) -> ColdTolerance {
        self.tolerance
    }

    /// State of a member, which counts as cold if nothing is known about it.
    pub fn gate(&self, member: &MemberId, now: Instant) -> Rc<ColdGate> {
        let mut gates = self.gates.borrow_mut();
        let gate = gates.entry(member.clone()).or_insert_with(|| {
            Rc::new(ColdGate {
                member: member.clone(),
                state: RefCell::new(ColdMember::new(now)),
                refused_at: Cell::new(None),
                logged_cold: Cell::new(false),
                counts: self.counts.clone(),
            })
        });
        gate.clone()
    }

    /// Records an entry of a member. `remaining` is the time for which it remains cold, `None` if the entry comes from
    /// another instance.
    pub fn record_entry(&self, member: &MemberId, remaining: Option<Duration>, now: Instant) {
        let gate = self.gate(member, now);
        if let Some(remaining) = remaining {
            gate.record_remaining(remaining, now);
        }
    }

    /// Records that a member runs as another process than before, or comes back after an evacuation.
    pub fn assume_cold(&self, member: &MemberId, reason: &'static str, now: Instant) {
        let gate = self.gate(member, now);
        gate.state.borrow_mut().assume_cold(now);
        gate.log(reason, now);
    }

    /// Removes a member that is gone.
    pub fn remove(&self, member: &MemberId) {
        self.gates.borrow_mut().remove(member);
    }

    /// The cold members, for an instance that does not watch the members; `None` while this one does not limit any.
    pub fn report(&self, now: Instant) -> Option<ColdReport> {
        let gates = self.gates.borrow();
        if !gates.values().any(|gate| gate.state.borrow().is_limited()) {
            return None;
        }
        let cold = gates.iter().filter_map(|(member, gate)| {
            let remaining = gate.state.borrow().remaining(now);
            let remaining = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
            (remaining > 0).then(|| (member.as_str().into(), remaining))
        });
        Some(ColdReport(cold.collect()))
    }

    /// Records the report of a hub that knows the members at least as well as this instance.
    pub fn merge(&self, report: &ColdReport, now: Instant) {
        for gate in self.gates.borrow().values() {
            let reported = report.0.iter().find(|(member, _)| **member == *gate.member.as_str());
            let remaining = reported.map_or(0, |(_, remaining)| *remaining);
            let is_refused = gate.refused_at.get().is_some_and(|at| now.since(at) < ENTRY_AGE);
            if remaining > 0 || !is_refused {
                gate.record_remaining(Duration::from_millis(remaining.into()), now);
            }
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
        let cold = self.gates.borrow().values().filter(|gate| gate.is_cold(now)).count();
        let (admitted, refused) = (self.counts.admitted.get(), self.counts.refused.get());
        writeln!(out, "hibiscus_cold_members {cold}")?;
        writeln!(out, "hibiscus_cold_requests_total{{kind=\"admitted\"}} {admitted}")?;
        writeln!(out, "hibiscus_cold_requests_total{{kind=\"refused\"}} {refused}")
    }
}
