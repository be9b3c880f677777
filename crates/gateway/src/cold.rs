//! Cold members as this instance knows them, and the wait of requests for their allowance.
//!
//! Instances that watch the members learn from their entries whether they are cold. Hubs pass this on to instances that do
//! not, and to other hubs, which may have learned of a member from an instance and not from its entry.

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
    member_report::MemberReport,
    name::MemberId,
};
use hibiscusladder_io::clock::{BootClock, sleep};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::events::{self, Event};

/// Longest time between two attempts of a waiting request; the member may have become warm meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a refused connection or an evacuation in which the report of a hub does not show that the member is warm. Its
/// entry may be older; members renew their entries about every 1.2 s.
const ENTRY_AGE: Duration = Duration::from_millis(1500);

/// Margin by which the requests to a cold member may exceed its configured rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Tolerated factor of the rate within one second.
    pub overage: f64,
    /// Tolerated requests beyond that within one second.
    pub slack: f64,
}

/// What a hub knows about cold members, in a message to another instance. The members that are not listed are warm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Members that are cold, and for how long, in milliseconds.
    cold: Vec<(Box<str>, u32)>,
    /// Members that the sender knows nothing about.
    unknown: Vec<Box<str>>,
}

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
    /// When a connection was last refused, or the end of an evacuation became known.
    assumed_at: Cell<Option<Instant>>,
    /// Report of the member that was last recorded. The same one, read again, shows nothing new.
    recorded: Cell<Option<MemberReport>>,
    /// Whether the data centre of the member is evacuated.
    is_evacuated: Cell<bool>,
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
        self.assume_cold("refused", now);
    }

    fn assume_cold(&self, reason: &'static str, now: Instant) {
        self.assumed_at.set(Some(now));
        self.state.borrow_mut().assume_cold(now);
        self.log(reason, now);
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
                assumed_at: Cell::new(None),
                recorded: Cell::new(None),
                is_evacuated: Cell::new(false),
                logged_cold: Cell::new(false),
                counts: self.counts.clone(),
            })
        });
        gate.clone()
    }

    /// Records the newest entry of a member. `remaining` is the time for which it remains cold, `None` if the entry comes
    /// from another instance.
    pub fn record_entry(
        &self,
        member: &MemberId,
        report: MemberReport,
        remaining: Option<Duration>,
        now: Instant,
    ) {
        let gate = self.gate(member, now);
        if let Some(remaining) = remaining
            && gate.recorded.replace(Some(report)) != Some(report)
        {
            gate.record_remaining(remaining, now);
        }
    }

    /// Records whether the data centre of a member is evacuated. The member is cold when it comes back.
    pub fn set_evacuated(&self, member: &MemberId, is_evacuated: bool, now: Instant) {
        let gate = self.gate(member, now);
        if gate.is_evacuated.replace(is_evacuated) && !is_evacuated {
            gate.assume_cold("evacuated", now);
        }
    }

    /// Records that a member runs as another process than before. Reports of hubs that know of it count at once.
    pub fn record_restart(&self, member: &MemberId, now: Instant) {
        let gate = self.gate(member, now);
        gate.state.borrow_mut().assume_cold(now);
        gate.log("restarted", now);
    }

    /// Removes a member that is gone.
    pub fn remove(&self, member: &MemberId) {
        self.gates.borrow_mut().remove(member);
    }

    /// What this instance knows, for others; `None` while it does not limit any member.
    pub fn report(&self, now: Instant) -> Option<ColdReport> {
        let gates = self.gates.borrow();
        if !gates.values().any(|gate| gate.state.borrow().is_limited()) {
            return None;
        }
        let mut report = ColdReport::default();
        for (member, gate) in gates.iter() {
            let state = gate.state.borrow();
            let remaining = u32::try_from(state.remaining(now).as_millis()).unwrap_or(u32::MAX);
            if state.is_unknown() {
                report.unknown.push(member.as_str().into());
            } else if remaining > 0 {
                report.cold.push((member.as_str().into(), remaining));
            }
        }
        Some(report)
    }

    /// Records the report of a hub that knows the members at least as well as this instance. An instance that reads the
    /// entries itself (`reads_entries`) uses it for members that it knows nothing about.
    pub fn merge(&self, report: &ColdReport, reads_entries: bool, now: Instant) {
        for gate in self.gates.borrow().values() {
            let is_known = reads_entries && !gate.state.borrow().is_unknown();
            let member = gate.member.as_str();
            if is_known || report.unknown.iter().any(|unknown| **unknown == *member) {
                continue;
            }
            let reported = report.cold.iter().find(|(cold, _)| **cold == *member);
            let remaining = reported.map_or(0, |(_, remaining)| *remaining);
            let is_assumed = gate.assumed_at.get().is_some_and(|at| now.since(at) < ENTRY_AGE);
            if remaining > 0 || !is_assumed {
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
