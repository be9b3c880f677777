//! A workspace's rate, divided among instances that admit for any upstream.
//!
//! Each instance accrues an equal part of the rate, and passes tokens that it does not need to instances that do. A
//! token is removed before it is passed on, so no more tokens are used than accrue in all instances together, also
//! across partitions; one that is lost on the way is not replaced.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, share::{Allotment, Limits}};
//!
//! let start = Instant::default();
//! let limits = Limits { rate: 80.0, capacity: 80.0 };
//! let mut idle = Allotment::new(limits, 2, start);
//! let mut busy = Allotment::new(limits, 2, start);
//! assert!(busy.try_admit(start).is_err(), "the bucket of a new instance is empty");
//!
//! let later = start.plus(Duration::from_secs(1));
//! busy.receive(idle.give(30.0, later), later);
//! assert!(busy.level(later) > 40.0);
//! assert!(busy.try_admit(later).is_ok());
//! ```

use std::{collections::BTreeMap, time::Duration};

use super::{Limits, demand::Demand};
use crate::{bucket::TokenBucket, clock::Instant, name::InstanceId};

/// Time since its last message after which an instance gets no tokens.
const PEER_SILENCE: Duration = Duration::from_millis(1500);
/// Time over which arrivals count as demand.
const DEMAND_MEMORY: Duration = Duration::from_secs(2);
/// Weight of an instance without demand in the division, as a part of its share of the rate.
const IDLE_WEIGHT: f64 = 0.1;
/// Demand, as a time, for which an instance keeps tokens for itself.
const KEPT_FOR: Duration = Duration::from_millis(300);
/// Least capacity of a bucket in tokens, so that tokens that were asked for fit in.
const MIN_CAPACITY: f64 = 2.0;
/// Fewer tokens are not passed on.
const MIN_GIFT: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct Peer {
    demand: f64,
    level: f64,
    heard: Instant,
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
        self.limits = limits;
        self.instances = instances.max(1);
        self.settle(now);
    }

    /// Admits one request, or returns the time after which another try makes sense.
    ///
    /// # Errors
    ///
    /// The time until a token has accrued here; [`Duration::MAX`] when there never will be one.
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
        self.bucket.try_take(1.0, now)
    }

    /// Requests per second that arrive here.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// Tokens that are here.
    pub fn level(&self, now: Instant) -> f64 {
        self.bucket.tokens(now)
    }

    /// Records what `peer` needs and has.
    pub fn note(&mut self, peer: &InstanceId, demand: f64, level: f64, now: Instant) {
        let known = Peer { demand: demand.max(0.0), level: level.max(0.0), heard: now };
        self.peers.insert(peer.clone(), known);
        self.settle(now);
    }

    /// Removes the tokens that are to be passed on now, by the instance that gets them.
    pub fn divide(&mut self, now: Instant) -> BTreeMap<InstanceId, f64> {
        self.settle(now);
        let live: Vec<(&InstanceId, &Peer)> =
            self.peers.iter().filter(|(_, peer)| now.since(peer.heard) < PEER_SILENCE).collect();
        let own_demand = self.demand.rate(now);
        let own_level = self.bucket.tokens(now);
        let weights: f64 = self.weight(own_demand)
            + live.iter().map(|(_, peer)| self.weight(peer.demand)).sum::<f64>();
        let level = own_level + live.iter().map(|(_, peer)| peer.level).sum::<f64>();
        if weights <= 0.0 {
            return BTreeMap::new();
        }
        let target = |demand: f64| level * self.weight(demand) / weights;
        let kept = target(own_demand).max(own_demand * KEPT_FOR.as_secs_f64());
        let surplus = (own_level - kept).max(0.0);
        let missing = |peer: &Peer| (target(peer.demand) - peer.level).max(0.0);
        let all_missing: f64 = live.iter().map(|(_, peer)| missing(peer)).sum();
        if surplus < MIN_GIFT || all_missing <= 0.0 {
            return BTreeMap::new();
        }
        // Others give at the same time, so no instance gets more than it misses from all together.
        let given = surplus.min(all_missing);
        let gifts: BTreeMap<InstanceId, f64> = live
            .into_iter()
            .map(|(name, peer)| (name.clone(), given * missing(peer) / all_missing))
            .filter(|(_, tokens)| *tokens >= MIN_GIFT)
            .collect();
        self.bucket.remove(gifts.values().sum(), now);
        gifts
    }

    /// Removes up to `wanted` tokens for an instance that asks for them, as far as they are not needed here.
    pub fn give(&mut self, wanted: f64, now: Instant) -> f64 {
        let kept = self.demand.rate(now) * KEPT_FOR.as_secs_f64();
        let spare = (self.bucket.tokens(now) - kept).max(0.0);
        if spare < MIN_GIFT { 0.0 } else { self.bucket.remove(spare.min(wanted), now) }
    }

    /// Adds tokens that another instance has removed.
    pub fn receive(&mut self, tokens: f64, now: Instant) {
        self.bucket.add(tokens, now);
    }

    /// The instances that most likely have tokens to spare, the one with most first, and the number to ask for.
    pub fn lenders(&self, now: Instant) -> (Vec<InstanceId>, f64) {
        let wanted = 1.0 + self.demand.rate(now) * KEPT_FOR.as_secs_f64();
        let spare = |peer: &Peer| peer.level - peer.demand * KEPT_FOR.as_secs_f64();
        let mut lenders: Vec<(f64, &InstanceId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard) < PEER_SILENCE && spare(peer) >= MIN_GIFT)
            .map(|(name, peer)| (spare(peer), name))
            .collect();
        lenders.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        (lenders.into_iter().map(|(_, name)| name.clone()).collect(), wanted)
    }

    fn weight(&self, demand: f64) -> f64 {
        demand + IDLE_WEIGHT * self.limits.rate / self.instances as f64
    }

    /// Sets the bucket to an equal part of the rate, and to a part of the burst that follows the demand.
    fn settle(&mut self, now: Instant) {
        let own = self.weight(self.demand.rate(now));
        let others: f64 = self.peers.values().map(|peer| self.weight(peer.demand)).sum();
        let missing = self.instances.saturating_sub(1 + self.peers.len()) as f64;
        let weights = own + others + missing * self.weight(0.0);
        let part = if weights > 0.0 { own / weights } else { 0.0 };
        let capacity = (self.limits.capacity * part).max(MIN_CAPACITY.min(self.limits.capacity));
        self.bucket.set_limits(self.limits.rate / self.instances as f64, capacity, now);
    }
}
