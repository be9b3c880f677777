//! A workspace's rate, divided among instances that admit for any upstream.
//!
//! Each instance owns an equal part of rate and burst. It grants what it does not need to instances that need more,
//! for a limited time. The granter counts a grant as gone from when it sends it until the grant has ended; the
//! receiver counts the time from when it sent the message that the grant answers, which is earlier. So the parts in
//! use never add up to more than the whole, also across partitions.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{clock::Instant, share::{Allotment, Limits}};
//!
//! let start = Instant::default();
//! let mut allotment = Allotment::new(Limits { rate: 80.0, capacity: 80.0 }, 8, start);
//! assert!(allotment.try_admit(start).is_err(), "the bucket of a new instance is empty");
//! let later = start.plus(std::time::Duration::from_secs(1));
//! assert!(allotment.try_admit(later).is_ok());
//! ```

use std::{collections::BTreeMap, time::Duration};

use super::{Limits, demand::Demand};
use crate::{
    bucket::TokenBucket,
    clock::{Instant, with_drift},
    name::InstanceId,
};

/// Time for which a grant counts, from the message that it answers.
///
/// Four messages, so that grants survive three lost ones.
pub const GRANT_TIME: Duration = Duration::from_millis(1200);
/// Time since its last message after which an instance takes no part in the division.
const PEER_SILENCE: Duration = Duration::from_millis(1000);
/// Time over which arrivals count as demand.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);
/// Part of the unused rate that goes to the instances in proportion to their demand; the rest is divided equally.
const PROPORTIONAL_SLACK: f64 = 0.6;
/// Rates below this, in requests per second, are not granted.
const MIN_GRANT: f64 = 0.05;

/// Rates, in requests per second, that are granted to other instances from now on.
pub type GrantPlan = BTreeMap<InstanceId, f64>;

#[derive(Debug, Clone, Default)]
struct Peer {
    demand: f64,
    heard: Instant,
    granted: f64,
    granted_until: Instant,
    /// Rates granted to the peer, with the time until which each may be in use.
    lent: Vec<(f64, Instant)>,
}

impl Peer {
    fn lent(&self, now: Instant) -> f64 {
        let active = self.lent.iter().filter(|(_, until)| *until > now);
        active.map(|(rate, _)| *rate).fold(0.0, f64::max)
    }

    fn granted(&self, now: Instant) -> f64 {
        if now < self.granted_until { self.granted } else { 0.0 }
    }
}

/// One instance's part of the limits of one workspace.
#[derive(Debug, Clone)]
pub struct Allotment {
    limits: Limits,
    instances: usize,
    bucket: TokenBucket,
    demand: Demand,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Allotment {
    /// Creates the part of one of `instances` instances, with an empty bucket: a predecessor may have just used its.
    pub fn new(limits: Limits, instances: usize, now: Instant) -> Self {
        let mut allotment = Self {
            limits,
            instances: instances.max(1),
            bucket: TokenBucket::new(0.0, 0.0, now),
            demand: Demand::with_memory(DEMAND_MEMORY, now),
            peers: BTreeMap::new(),
        };
        allotment.settle(now);
        allotment
    }

    /// Changes the limits of the workspace and the number of instances.
    pub fn set_limits(&mut self, limits: Limits, instances: usize, now: Instant) {
        if limits != self.limits {
            // Grants are rates under the old limits.
            for peer in self.peers.values_mut() {
                peer.granted = 0.0;
            }
        }
        self.limits = limits;
        self.instances = instances.max(1);
        self.settle(now);
    }

    /// Admits one request, or returns the time after which another try makes sense.
    ///
    /// # Errors
    ///
    /// The time until there is a token under the present grants; [`Duration::MAX`] when there never will be.
    pub fn try_admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.demand.record(1.0, now);
        self.try_again(now)
    }

    /// Like [`try_admit`](Self::try_admit) for a request that was counted before.
    ///
    /// # Errors
    ///
    /// As for [`try_admit`](Self::try_admit).
    pub fn try_again(&mut self, now: Instant) -> Result<(), Duration> {
        self.settle(now);
        self.bucket.try_take_owing(1.0, now)
    }

    /// Requests per second that arrive here.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// Records what `peer` needs.
    pub fn note_demand(&mut self, peer: &InstanceId, demand: f64, now: Instant) {
        let peer = self.peers.entry(peer.clone()).or_default();
        peer.demand = demand.max(0.0);
        peer.heard = now;
    }

    /// Records that `peer` grants `rate` in answer to a message that was sent at `asked`.
    pub fn note_grant(&mut self, peer: &InstanceId, rate: f64, asked: Instant, now: Instant) {
        let peer = self.peers.entry(peer.clone()).or_default();
        peer.granted = rate.max(0.0);
        peer.granted_until = asked.plus(GRANT_TIME);
        self.settle(now);
    }

    /// Decides what is granted to other instances from now on; it has to be sent before the next plan.
    pub fn plan(&mut self, now: Instant) -> GrantPlan {
        let own = self.limits.rate / self.instances as f64;
        let own_demand = self.demand.rate(now);
        let live = |peer: &&Peer| now.since(peer.heard) < PEER_SILENCE;
        let total: f64 =
            own_demand + self.peers.values().filter(live).map(|peer| peer.demand).sum::<f64>();
        let count = 1 + self.peers.values().filter(live).count();
        let pool = own * count as f64;
        let fair = |demand: f64| fair_part(demand, total, pool, count);
        let surplus = (own - fair(own_demand)).max(0.0);
        let missing = |peer: &Peer| (fair(peer.demand) - own).max(0.0);
        let all_missing: f64 = self.peers.values().filter(live).map(missing).sum();

        let mut plan = GrantPlan::new();
        if surplus >= MIN_GRANT && all_missing > 0.0 {
            for (name, peer) in self.peers.iter().filter(|(_, peer)| live(peer)) {
                let rate = surplus * missing(peer) / all_missing;
                if rate >= MIN_GRANT {
                    plan.insert(name.clone(), rate);
                }
            }
        }
        self.lend(&plan, now);
        plan
    }

    fn lend(&mut self, plan: &GrantPlan, now: Instant) {
        for (name, peer) in &mut self.peers {
            peer.lent.retain(|(_, until)| *until > now);
            if let Some(rate) = plan.get(name) {
                peer.lent.push((*rate, now.plus(with_drift(GRANT_TIME))));
            }
        }
        self.settle(now);
    }

    /// Adjusts the bucket to the grants in force.
    fn settle(&mut self, now: Instant) {
        if self.limits.rate <= 0.0 {
            self.bucket.set_limits(0.0, 0.0, now);
            return;
        }
        let own = self.limits.rate / self.instances as f64;
        let lent: f64 = self.peers.values().map(|peer| peer.lent(now)).sum();
        let granted: f64 = self.peers.values().map(|peer| peer.granted(now)).sum();
        let rate = (own - lent).max(0.0) + granted;
        let burst = self.limits.capacity * rate / self.limits.rate;
        self.bucket.set_limits(rate, burst, now);
    }
}

/// Part of `pool` for an instance with `demand`, when all `count` of them need `total` together.
fn fair_part(demand: f64, total: f64, pool: f64, count: usize) -> f64 {
    if total >= pool {
        return pool * demand / total;
    }
    let slack = pool - total;
    let proportion = if total > 0.0 { demand / total } else { 1.0 / count as f64 };
    let equally = 1.0 / count as f64;
    demand + slack * (PROPORTIONAL_SLACK * proportion + (1.0 - PROPORTIONAL_SLACK) * equally)
}
