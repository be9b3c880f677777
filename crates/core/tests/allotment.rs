//! Allotments: the parts of a workspace's rate against which instances admit requests.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::InstanceId,
    share::{Allotment, AllotmentPart, Limits, TokenRequest},
};
use proptest::prelude::*;
use test_case::test_case;

const LIMITS: Limits = Limits { rate: 40.0, capacity: 40.0 };
/// Time between two exchanges of the fleet.
const ROUND: Duration = Duration::from_millis(250);

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn name(number: usize) -> InstanceId {
    InstanceId::from(format!("i-{number}"))
}

struct Fleet {
    allotments: Vec<Allotment>,
    now: Instant,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let allotment = Allotment::new(LIMITS, AllotmentPart::alone(1.0 / count as f64), at(0));
        Self { allotments: vec![allotment; count], now: at(0) }
    }

    /// Lets all pairs of instances for which `connected` is true exchange their demand and transfer tokens.
    fn exchange(&mut self, connected: impl Fn(usize, usize) -> bool) {
        for from in 0..self.allotments.len() {
            for to in (0..self.allotments.len()).filter(|to| *to != from && connected(from, *to)) {
                let (demand, level) =
                    (self.allotments[from].demand(self.now), self.allotments[from].level(self.now));
                let transfer = self.allotments[from].transfer_surplus(&name(to), self.now);
                let receiver = &mut self.allotments[to];
                receiver.record_peer(&name(from), demand, level, true, self.now);
                receiver.receive(transfer, self.now);
            }
        }
    }

    /// Sends requests to one instance over a round, and returns how many were admitted.
    fn offer(&mut self, instance: usize, requests: u32) -> u32 {
        let mut admitted = 0;
        for _ in 0..requests {
            self.now = self.now.plus(ROUND / requests.max(1));
            admitted += u32::from(self.allotments[instance].try_admit(self.now).is_ok());
        }
        admitted
    }
}

/// Guards against refusals below the limit when all callers of a workspace are at one instance of eight.
#[test]
fn exchange_moves_tokens_to_the_demand() {
    let mut fleet = Fleet::new(8);
    let mut admitted = 0;
    for round in 0..80 {
        let count = fleet.offer(0, 8);
        if round >= 20 {
            admitted += count;
        }
        fleet.exchange(|_, _| true);
    }
    // 60 rounds are 15 s; 32 requests/s are below the limit of 40.
    assert!(admitted >= 470, "{admitted} of 480 were admitted");
}

/// Guards against a restart that admits the burst a second time.
#[test]
fn new_has_no_tokens() {
    let mut allotment = Allotment::new(LIMITS, AllotmentPart::alone(1.0), at(0));
    assert!(allotment.try_admit(at(0)).is_err());
}

/// Guards against tokens that idle instances keep although another one requests them.
#[test]
fn transfer_requested_keeps_only_what_the_demand_needs() {
    let mut allotment = Allotment::new(LIMITS, AllotmentPart::alone(1.0), at(0));
    let transferred =
        allotment.transfer_requested(TokenRequest { wanted: 100.0, least: 0.25 }, at(1000));
    assert!((transferred - 40.0).abs() < 0.01, "{transferred}");
    assert_eq!(
        allotment.transfer_requested(TokenRequest { wanted: 1.0, least: 0.25 }, at(1000)),
        0.0
    );
}

/// Guards against tokens that accumulate at dependent instances and are all used at once.
#[test]
fn receive_stores_nothing_without_demand() {
    let mut allotment = Allotment::new(LIMITS, AllotmentPart::alone(0.0), at(0));
    allotment.record_total(20.0, at(0));
    allotment.receive(10.0, at(0));
    assert!(allotment.level(at(0)) < 0.01);
    let _ = allotment.try_admit(at(0));
    allotment.record_total(20.0, at(0));
    allotment.receive(10.0, at(0));
    assert!(allotment.level(at(0)) >= 1.0);
    allotment.record_total(20.0, at(20_000));
    assert!(allotment.level(at(20_000)) < 0.01);
}

/// Dependent instances of a large fleet; the rate accrues at two hubs.
const DEPENDENTS: usize = 28;

/// Guards against tokens that are lost in a large fleet because instances receive more than their waiting requests
/// need: a workspace was refused at two thirds of its rate.
#[test]
fn large_fleet_serves_below_the_limit() {
    let limits = Limits { rate: 12.0, capacity: 20.0 };
    let mut hubs = vec![Allotment::new(limits, AllotmentPart { rate: 0.5, sharing: 2 }, at(0)); 2];
    let mut dependents = vec![Allotment::new(limits, AllotmentPart::alone(0.0), at(0)); DEPENDENTS];
    let mut admitted = 0;
    // 8 requests/s for 30 s, each at another instance than the one before.
    for number in 0..240_u64 {
        let now = at(2000 + number * 125);
        let dependent = usize::try_from(number * 11).expect("small") % DEPENDENTS;
        if number.is_multiple_of(4) {
            exchange_with_hubs(&mut hubs, &mut dependents, now);
        }
        let requester = &mut dependents[dependent];
        let mut served = requester.try_admit(now).is_ok();
        for hub in &mut hubs {
            if served {
                break;
            }
            let request = requester.request(1, now);
            requester.receive(hub.transfer_requested(request, now), now);
            served = requester.retry_admit(now).is_ok();
        }
        admitted += u32::from(served);
    }
    assert!(admitted >= 238, "{admitted} of 240 were admitted");
    // Guards against a burst beyond the contract: hubs of one region each stored the burst for all dependent instances.
    let stored: f64 = hubs.iter().map(|hub| hub.level(at(32_000))).sum();
    assert!(stored <= limits.capacity * 1.02, "{stored} tokens are stored");
}

/// Exchanges demand and tokens between each hub and all instances, and between the hubs.
fn exchange_with_hubs(hubs: &mut [Allotment], dependents: &mut [Allotment], now: Instant) {
    for (number, dependent) in dependents.iter_mut().enumerate() {
        for (hub_number, hub) in hubs.iter_mut().enumerate() {
            hub.record_peer(&name(number), dependent.demand(now), dependent.level(now), false, now);
            dependent.record_peer(
                &name(100 + hub_number),
                hub.demand(now),
                hub.level(now),
                true,
                now,
            );
            dependent.record_total(hub.total_demand(now), now);
            dependent.receive(hub.transfer_surplus(&name(number), now), now);
        }
    }
    for (from, to) in [(0, 1), (1, 0)] {
        let (demand, level) = (hubs[from].advertised_demand(now), hubs[from].level(now));
        let transfer = hubs[from].transfer_surplus(&name(100 + to), now);
        hubs[to].record_peer(&name(100 + from), demand, level, true, now);
        hubs[to].receive(transfer, now);
    }
}

/// A fleet of eight instances whose workspace has had no callers for 30 s, so that none has reported any demand.
fn idle_fleet(limits: Limits) -> Fleet {
    let allotment = Allotment::new(limits, AllotmentPart::alone(1.0 / 8.0), at(0));
    Fleet { allotments: vec![allotment; 8], now: at(30_000) }
}

/// Guards against a burst beyond the contract when the callers of an idle workspace come to all instances at once
/// (`review/10`): each had stored the whole burst, since none had heard of the others.
#[test]
fn idle_instances_store_one_burst_together() {
    let mut fleet = idle_fleet(LIMITS);
    let mut admitted = 0;
    for round in 0..20 {
        for instance in 0..8 {
            let now = fleet.now;
            admitted += fleet.offer(instance, 10);
            fleet.now = now;
        }
        fleet.now = fleet.now.plus(ROUND);
        // The first reports arrive after the burst has begun.
        if round >= 2 {
            fleet.exchange(|_, _| true);
        }
    }
    // 20 rounds are 5 s.
    let bound = LIMITS.rate * 5.0 + LIMITS.capacity;
    assert!(f64::from(admitted) <= bound + 0.01, "{admitted} admitted, {bound} may");
    assert!(f64::from(admitted) >= 0.95 * bound, "{admitted} of {bound} admitted");
}

/// Guards against a refusal of the first request of a small or idle workspace, whose burst is less than a token for each
/// instance.
#[test_case(LIMITS; "idle")]
#[test_case(Limits { rate: 0.5, capacity: 2.0 }; "small")]
fn idle_instance_admits_the_first_request(limits: Limits) {
    let mut fleet = idle_fleet(limits);
    for instance in 0..8 {
        let admitted = fleet.allotments[instance].try_admit(fleet.now);
        assert_eq!(admitted, Ok(()), "instance {instance}");
    }
}

/// Guards against a burst of which one instance can use its own part only, because the others never have any demand to
/// report: it requests their tokens.
#[test]
fn whole_burst_is_used_at_one_instance() {
    let mut fleet = idle_fleet(LIMITS);
    let mut admitted = 0;
    for donor in 1..8 {
        admitted += (0..40).filter(|_| fleet.allotments[0].try_admit(fleet.now).is_ok()).count();
        let request = fleet.allotments[0].request(40, fleet.now);
        let tokens = fleet.allotments[donor].transfer_requested(request, fleet.now);
        fleet.allotments[0].receive(tokens, fleet.now);
    }
    admitted += (0..40).filter(|_| fleet.allotments[0].retry_admit(fleet.now).is_ok()).count();
    assert_eq!(admitted as f64, LIMITS.capacity);
}

proptest! {
    /// Guards against more admissions than the contract allows, with random partitions and a demand that moves.
    #[test]
    fn admissions_stay_within_rate_and_burst(
        rounds in prop::collection::vec((0_usize..5, 0_u32..40, 0_u8..32), 40..80),
    ) {
        let mut fleet = Fleet::new(5);
        let mut admitted = Vec::new();
        for (instance, requests, partition) in rounds {
            let count = fleet.offer(instance, requests);
            if requests == 0 {
                fleet.now = fleet.now.plus(ROUND);
            }
            admitted.push((fleet.now, count));
            let side = |instance: usize| partition >> instance & 1;
            fleet.exchange(|from, to| side(from) == side(to));
        }
        // The total cannot exceed the accrual since the start: a transfer creates no token.
        let total: u32 = admitted.iter().map(|(_, count)| count).sum();
        let bound = LIMITS.rate * fleet.now.since_origin().as_secs_f64() + 0.01;
        prop_assert!(f64::from(total) <= bound, "{total} > {bound}");
    }
}
