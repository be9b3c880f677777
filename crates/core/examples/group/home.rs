//! Simulated instance: entry for client sessions, and home of the member in its data centre.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::{DataCentre, InstanceId, MemberId},
    position::{Position, Term},
    promotion::{Promotion, PromotionSettings},
    quorum::{MemberReport, QuorumView},
    read_index::ReadIndex,
    read_route::{ReadRouter, Replica},
};

use super::{network::MEMBERS, settings::Settings};

pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId::from(["a", "b", "c"][index])
}

pub(crate) fn member_index(member: &MemberId) -> usize {
    ["a", "b", "c"].iter().position(|name| *name == member.as_str()).expect("one of the members")
}

pub(crate) fn data_centre(index: usize) -> DataCentre {
    DataCentre::from(["stgo-a", "stgo-b", "vld-a"][index])
}

/// Answer of a member that is held back until the gate is open.
#[derive(Debug, Clone)]
pub(crate) struct HeldAnswer {
    pub(crate) session: usize,
    pub(crate) step: u64,
    pub(crate) term: Term,
    /// Time on the home's clock after which the answer is dropped; set when the answer arrives at the home.
    pub(crate) until: Instant,
    pub(crate) reply: Reply,
}

#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Write {
        write: u64,
        position: Position,
    },
    Read {
        log: Vec<Option<u64>>,
        /// True time at which a stale read was routed to a replica; `None` for other reads.
        stale: Option<Duration>,
    },
}

#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) index: usize,
    pub(crate) id: InstanceId,
    pub(crate) quorum: QuorumView,
    pub(crate) promotion: Promotion,
    pub(crate) router: ReadRouter,
    pub(crate) read_index: ReadIndex<(usize, u64)>,
    pub(crate) held: Vec<HeldAnswer>,
    /// Rate of the home's clock relative to true time.
    rate: f64,
    /// Reading of the home's clock at the start.
    offset: Duration,
}

impl Home {
    pub(crate) fn new(index: usize, settings: &Settings, drift: f64) -> Self {
        let id = InstanceId::from(["i1", "i2", "i3"][index]);
        let members: Vec<MemberId> = (0..MEMBERS).map(member_id).collect();
        let promotion = PromotionSettings::new(id.clone(), data_centre(index))
            .window(settings.fence_window)
            .detect_misses(settings.detect_misses)
            .claim_wait(settings.claim_wait);
        let region = if index < 2 { vec![data_centre(0), data_centre(1)] } else { Vec::new() };
        let mut router = ReadRouter::new(data_centre(index)).region(region);
        for (member, id) in members.iter().enumerate() {
            router.add(Replica::new(id.clone(), data_centre(member)));
        }
        Self {
            index,
            id,
            quorum: QuorumView::new(members, settings.report_window),
            promotion: Promotion::new(promotion),
            router,
            read_index: ReadIndex::new(),
            held: Vec::new(),
            rate: 1.0 + drift,
            offset: Duration::from_secs(1000 * index as u64),
        }
    }

    /// Reading of the home's clock at the true time `now`.
    pub(crate) fn clock(&self, now: Duration) -> Instant {
        Instant::new(self.offset + now.mul_f64(self.rate))
    }

    pub(crate) fn record(&mut self, report: MemberReport, now: Instant) {
        self.quorum.record(report);
        self.router.update(&self.quorum, now);
    }
}
