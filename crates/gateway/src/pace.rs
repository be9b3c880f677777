//! Pace of the members whose connections this instance holds, and what other holders report about them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, InstanceId, MemberId},
    pace::{Change, GroupPace, Outcome},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    adapter::Target,
    cold::ColdGate,
    events::{self, Event},
    model::{Answer, Code},
};

/// Time for which a hub passes on the report of a holder; holders repeat it with each message.
const REPORT_TTL: Duration = Duration::from_millis(1000);

/// A member that a holder has found overloaded, in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Instance that holds connections to the member.
    pub holder: Box<str>,
    /// The member.
    pub member: Box<str>,
    /// Statements that the holder runs at once.
    pub limit: u32,
}

/// What limits the requests to a member, beside connections and slots.
#[derive(Debug)]
pub struct MemberLimits {
    /// Limit of the requests to the member while it is cold.
    pub cold: Rc<ColdGate>,
    /// Pace of the member; `None` without the feature.
    pub pace: Option<MemberPace>,
}

#[derive(Debug, Default)]
struct Counts {
    limited: Cell<u64>,
    steady: Cell<u64>,
}

/// Pace of one member.
#[derive(Debug)]
pub struct MemberPace {
    member: MemberId,
    group: Rc<RefCell<GroupPace>>,
    /// Statements that may run at once in steady service; 0 while this instance holds no connections.
    most: Cell<u32>,
    counts: Rc<Counts>,
}

impl MemberPace {
    /// Changes the number of statements that may run at once in steady service, 0 while this instance holds no connections. A
    /// new holder begins with a probe.
    pub fn configure(&self, most: usize, now: Instant) {
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        let before = self.most.replace(most);
        let mut group = self.group.borrow_mut();
        match (before, most) {
            (_, 0) => group.remove(&self.member),
            (0, _) => group.start(&self.member, most, now),
            _ => group.set_most(&self.member, most),
        }
    }

    /// Statements that may run at once; `None` in steady service.
    pub fn limit(&self, now: Instant) -> Option<u32> {
        self.group.borrow().limit(&self.member, now)
    }

    /// Counts a statement as running; returns its number for [`end`](Self::end).
    pub fn begin(&self, now: Instant) -> u64 {
        self.group.borrow_mut().begin(&self.member, now)
    }

    /// Counts a statement as ended.
    pub fn end(&self, number: u64) {
        self.group.borrow_mut().end(&self.member, number);
    }

    /// Records the outcome of what was sent at `sent`.
    pub fn record(&self, outcome: Outcome, sent: Instant, now: Instant) {
        let change = self.group.borrow_mut().record(&self.member, outcome, sent, now);
        let (count, event, limit) = match change {
            Some(Change::Limited(limit)) => (&self.counts.limited, Event::MemberLimited, limit),
            Some(Change::Steady) => (&self.counts.steady, Event::MemberSteady, self.most.get()),
            None => return,
        };
        count.set(count.get() + 1);
        events::log(event, json!({ "member": self.member.as_str(), "limit": limit }));
    }
}

/// What an answer to a statement shows about the pace; `None` when the member did no work for it.
pub fn outcome(answer: &Answer, kind: Option<u64>, service: Duration) -> Option<Outcome> {
    match answer.code() {
        None => Some(Outcome::Answered { kind, service }),
        Some(Code::Busy | Code::TooMany) => Some(Outcome::Rejected),
        Some(Code::Timeout) => Some(Outcome::Lost),
        Some(_) => None,
    }
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    limit: u32,
    at: Instant,
    /// Whether the holder itself has sent it.
    is_direct: bool,
}

/// Pace of all members.
#[derive(Debug)]
pub struct Paces {
    is_enabled: bool,
    groups: RefCell<BTreeMap<Group, Rc<RefCell<GroupPace>>>>,
    /// Reports of other holders, by holder and member.
    reported: RefCell<BTreeMap<(InstanceId, MemberId), Reported>>,
    counts: Rc<Counts>,
}

impl Paces {
    /// Creates the state of an instance that knows no members.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            groups: RefCell::default(),
            reported: RefCell::default(),
            counts: Rc::default(),
        }
    }

    /// Pace of a member that has no connections yet; `None` without the feature.
    pub fn member(&self, target: &Target) -> Option<MemberPace> {
        if !self.is_enabled {
            return None;
        }
        let group = self.groups.borrow_mut().entry(target.group.clone()).or_default().clone();
        let (member, counts) = (target.member.clone(), self.counts.clone());
        Some(MemberPace { member, group, most: Cell::new(0), counts })
    }

    /// The reports for a message of the instance `own` to `receiver`. A hub passes on those of holders, and to instances
    /// that are no hubs also those that it has from other hubs.
    pub fn reports(
        &self,
        own: &InstanceId,
        receiver: &InstanceId,
        is_for_hub: bool,
        now: Instant,
    ) -> Vec<PaceReport> {
        let report = |holder: &InstanceId, member: &MemberId, limit| PaceReport {
            holder: holder.as_str().into(),
            member: member.as_str().into(),
            limit,
        };
        let mut reports = Vec::new();
        for group in self.groups.borrow().values() {
            let group = group.borrow();
            reports.extend(group.reports().map(|(member, limit)| report(own, member, limit)));
        }
        let mut reported = self.reported.borrow_mut();
        reported.retain(|_, reported| now.since(reported.at) < REPORT_TTL);
        let passed_on = reported.iter().filter(|((holder, _), reported)| {
            holder != receiver && (reported.is_direct || !is_for_hub)
        });
        reports.extend(
            passed_on.map(|((holder, member), reported)| report(holder, member, reported.limit)),
        );
        reports
    }

    /// Records the reports in a message of `from` to the instance `own`, which passes them on if it is a hub (`is_hub`).
    pub fn receive(
        &self,
        reports: &[PaceReport],
        from: &InstanceId,
        (own, is_hub): (&InstanceId, bool),
        now: Instant,
    ) {
        for report in reports.iter().filter(|report| *report.holder != *own.as_str()) {
            let (holder, member) = (InstanceId::new(&report.holder), MemberId::new(&report.member));
            for group in self.groups.borrow().values() {
                group.borrow_mut().merge(&member, report.limit, now);
            }
            if is_hub {
                let is_direct = holder == *from;
                let reported = Reported { limit: report.limit, at: now, is_direct };
                self.reported.borrow_mut().insert((holder, member), reported);
            }
        }
    }

    /// Writes the metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// `out` returned an error.
    pub fn write<W>(&self, out: &mut W) -> fmt::Result
    where
        W: fmt::Write,
    {
        let groups = self.groups.borrow();
        let limited: usize = groups.values().map(|group| group.borrow().reports().count()).sum();
        let (begun, ended) = (self.counts.limited.get(), self.counts.steady.get());
        writeln!(out, "hibiscus_pace_enabled {}", u8::from(self.is_enabled))?;
        writeln!(out, "hibiscus_pace_limited_members {limited}")?;
        writeln!(out, "hibiscus_pace_changes_total{{kind=\"limited\"}} {begun}")?;
        writeln!(out, "hibiscus_pace_changes_total{{kind=\"steady\"}} {ended}")
    }
}
