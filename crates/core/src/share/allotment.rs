//! A workspace's rate, divided among instances that admit for any upstream.
//!
//! Some instances accrue a part of the rate each, and pass tokens that they do not need to instances that do. A token is removed before it is passed on, so no more tokens are used than accrue in all instances together, also
//! across partitions; one that is lost on the way is not replaced.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, share::{Allotment, AllotmentPart, Limits, TokenRequest}};
//!
//! let start = Instant::default();
//! let limits = Limits { rate: 80.0, capacity: 80.0 };
//! let mut idle = Allotment::new(limits, AllotmentPart::alone(0.5), start);
//! let mut busy = Allotment::new(limits, AllotmentPart::alone(0.5), start);
//! assert!(busy.try_admit(start).is_err(), "the bucket of a new instance is empty");
//!
//! let later = start.plus(Duration::from_secs(1));
//! let request = TokenRequest { wanted: 30.0, least: 1.0 };
//! busy.receive(idle.transfer_requested(request, later), later);
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
/// Least capacity of a bucket with demand in tokens, so that tokens that were asked for fit in.
const MIN_CAPACITY: f64 = 2.0;
/// Demand, as a time, that the least capacity covers.
const MIN_CAPACITY_FOR: Duration = Duration::from_secs(4);
/// Time between two messages, for which what accrues has to fit into a bucket.
const ACCRUAL_FOR: Duration = Duration::from_millis(280);
/// Fewer tokens are not passed on.
const MIN_GIFT: f64 = 0.25;
/// Demand, as a time, for which an instance at which nothing accrues asks in advance; a few round trips in a region.
const STOCK_FOR: Duration = Duration::from_millis(100);
/// Requests for tokens are multiples of this part, which survives their encoding.
const REQUEST_STEP: f64 = 1.0 / 64.0;

/// What an instance does for the others in the division of a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllotmentPart {
    /// Part of the rate that accrues here.
    pub rate: f64,
    /// Instances, this one included, that serve the same instances at which nothing accrues.
    pub sharing: usize,
}

impl AllotmentPart {
    /// The part of an instance that accrues `rate` and serves only itself.
    pub const fn alone(rate: f64) -> Self {
        Self { rate, sharing: 1 }
    }
}

/// How many tokens an instance asks another one for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRequest {
    /// Tokens that it can use.
    pub wanted: f64,
    /// Fewer are of no use to it.
    pub least: f64,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    demand: f64,
    level: f64,
    heard: Instant,
    /// Whether the instance accrues a part of the rate itself, and speaks for others too.
    accrues: bool,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.heard) < PEER_SILENCE
    }
}

/// One instance's part of the limits of one workspace.
#[derive(Debug, Clone)]
pub struct Allotment {
    limits: Limits,
    part: AllotmentPart,
    /// Demand of all instances, as told by one that knows it.
    total: Option<f64>,
    bucket: TokenBucket,
    demand: Demand,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Allotment {
    /// Creates the allotment of an instance.
    ///
    /// The bucket is empty, because a predecessor may have just used its tokens.
    pub fn new(limits: Limits, part: AllotmentPart, now: Instant) -> Self {
        let mut allotment = Self {
            limits,
            part,
            total: None,
            bucket: TokenBucket::new(0.0, 0.0, now),
            demand: Demand::with_memory(DEMAND_MEMORY, now),
            peers: BTreeMap::new(),
        };
        allotment.settle(now);
        allotment
    }

    /// Changes the limits of the workspace and the part of this instance.
    pub fn set_limits(&mut self, limits: Limits, part: AllotmentPart, now: Instant) {
        self.limits = limits;
        self.part = part;
        self.settle(now);
    }

    /// Admits one request, or returns the time after which another try makes sense.
    ///
    /// # Errors
    ///
    /// The time until a token has accrued here, or for this instance; [`Duration::MAX`] when there never will be one.
    pub fn try_admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.demand.record(1.0, now);
        if self.depends_on_others() {
            // Makes room for the token that is asked for now.
            self.settle(now);
        }
        self.retry_admit(now)
    }

    /// Like [`try_admit`](Self::try_admit) for a request that was counted before.
    ///
    /// # Errors
    ///
    /// As for [`try_admit`](Self::try_admit).
    pub fn retry_admit(&mut self, now: Instant) -> Result<(), Duration> {
        let taken = self.bucket.try_take(1.0, now);
        taken.map_err(|wait| if self.depends_on_others() { self.time_per_token(now) } else { wait })
    }

    /// Time in which one token accrues for this instance, if the rate is divided by the demand.
    fn time_per_token(&self, now: Instant) -> Duration {
        let demand = self.demand.rate(now);
        let part = demand / self.known_total(now).max(demand).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(1.0 / (self.limits.rate * part)).unwrap_or(Duration::MAX)
    }

    /// Requests per second that arrive here.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// Limits of the workspace.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Largest number of tokens that are kept here.
    pub const fn capacity(&self) -> f64 {
        self.bucket.capacity()
    }

    /// Demand of all instances, as told by one that knows it, or as known here.
    pub fn known_total(&self, now: Instant) -> f64 {
        self.total.unwrap_or_else(|| self.total_demand(now))
    }

    /// Tokens that are here.
    pub fn level(&self, now: Instant) -> f64 {
        self.bucket.tokens(now)
    }

    /// Demand that this instance tells others that accrue a part of the rate: its own, and its part of that of the
    /// instances which it serves together with others.
    pub fn advertised_demand(&self, now: Instant) -> f64 {
        self.demand.rate(now) + self.served_demand(now)
    }

    /// This instance's part of the demand of instances at which nothing accrues.
    fn served_demand(&self, now: Instant) -> f64 {
        let served = self.peers.values().filter(|peer| !peer.accrues && peer.is_live(now));
        let served: f64 = served.map(|peer| peer.demand).sum();
        served / self.part.sharing.max(1) as f64
    }

    /// Demand of all instances, as far as it is known here.
    pub fn total_demand(&self, now: Instant) -> f64 {
        let others = self.peers.values().filter(|peer| peer.accrues && peer.is_live(now));
        self.advertised_demand(now) + others.map(|peer| peer.demand).sum::<f64>()
    }

    /// Records what `peer` needs and has.
    pub fn record_peer(
        &mut self,
        peer: &InstanceId,
        demand: f64,
        level: f64,
        accrues: bool,
        now: Instant,
    ) {
        let known = Peer { demand: demand.max(0.0), level: level.max(0.0), heard: now, accrues };
        self.peers.insert(peer.clone(), known);
        self.settle(now);
    }

    /// Records the demand of all instances; for an instance at which nothing accrues.
    pub fn record_total(&mut self, total: f64, now: Instant) {
        self.total = Some(total);
        self.settle(now);
    }

    /// Removes the tokens that are to be passed on to `peer` now.
    ///
    /// One at which nothing accrues gets none: it asks for those that it needs, and would lose others.
    pub fn transfer_surplus(&mut self, peer: &InstanceId, now: Instant) -> f64 {
        self.settle(now);
        let may_get = |peer: &&Peer| peer.accrues && peer.is_live(now);
        let Some(receiver) = self.peers.get(peer).filter(may_get) else {
            return 0.0;
        };
        let others = || self.peers.values().filter(may_get);
        let own_demand = self.advertised_demand(now);
        let own_level = self.bucket.tokens(now);
        let weights: f64 =
            self.weight(own_demand) + others().map(|peer| self.weight(peer.demand)).sum::<f64>();
        if weights <= 0.0 {
            return 0.0;
        }
        let level = own_level + others().map(|peer| peer.level).sum::<f64>();
        let target = |demand: f64| level * self.weight(demand) / weights;
        let kept = target(own_demand).max(own_demand * KEPT_FOR.as_secs_f64());
        let surplus = (own_level - kept).max(0.0);
        let missing = |peer: &Peer| (target(peer.demand) - peer.level).max(0.0);
        let all_missing: f64 = others().map(missing).sum();
        // Others give at the same time, so an instance gets no more than it misses from all together.
        let given = surplus.min(all_missing);
        let tokens = if all_missing > 0.0 { given * missing(receiver) / all_missing } else { 0.0 };
        if tokens < MIN_GIFT {
            return 0.0;
        }
        if let Some(receiver) = self.peers.get_mut(peer) {
            receiver.level += tokens;
        }
        self.bucket.remove(tokens, now)
    }

    /// Removes the tokens that another instance asks for, as far as they are not needed here.
    pub fn transfer_requested(&mut self, request: TokenRequest, now: Instant) -> f64 {
        let kept = self.demand.rate(now) * KEPT_FOR.as_secs_f64();
        let spare = (self.bucket.tokens(now) - kept).max(0.0);
        if spare < request.least { 0.0 } else { self.bucket.remove(spare.min(request.wanted), now) }
    }

    /// Adds this instance's part of `tokens` that all instances together may use beyond what accrues.
    pub fn grant(&mut self, tokens: f64, now: Instant) {
        self.bucket.add(tokens * self.part.rate, now);
    }

    /// Adds tokens that another instance has removed.
    pub fn receive(&mut self, tokens: f64, now: Instant) {
        self.bucket.add(tokens, now);
    }

    /// Whether all tokens come from other instances, so that unused ones would be lost here.
    pub fn depends_on_others(&self) -> bool {
        self.part.rate <= 0.0
    }

    /// What to ask others for while `waiting` requests wait for tokens.
    pub fn request(&self, waiting: usize, now: Instant) -> TokenRequest {
        let demand = self.demand.rate(now);
        if !self.depends_on_others() {
            let wanted = 1.0 + demand * KEPT_FOR.as_secs_f64();
            return TokenRequest { wanted, least: MIN_GIFT };
        }
        let level = self.bucket.tokens(now);
        let missing = |tokens: f64| {
            let missing = tokens.min(self.bucket.capacity()) - level;
            (missing.max(0.0) / REQUEST_STEP).ceil() * REQUEST_STEP
        };
        let stock = (demand * STOCK_FOR.as_secs_f64()).floor();
        TokenRequest { wanted: missing(waiting as f64 + stock), least: missing(1.0) }
    }

    /// The instances that most likely have tokens to spare, the one with most first.
    pub fn donors(&self, now: Instant) -> Vec<InstanceId> {
        let spare = |peer: &Peer| peer.level - peer.demand * KEPT_FOR.as_secs_f64();
        // An instance that depends on the others hears of their tokens too seldom to rule any out.
        let may_lend = |peer: &Peer| {
            peer.is_live(now)
                && if self.depends_on_others() { peer.accrues } else { spare(peer) >= MIN_GIFT }
        };
        let mut lenders: Vec<(f64, &InstanceId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| may_lend(peer))
            .map(|(name, peer)| (spare(peer), name))
            .collect();
        lenders.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        lenders.into_iter().map(|(_, name)| name.clone()).collect()
    }

    fn weight(&self, demand: f64) -> f64 {
        demand + IDLE_WEIGHT * self.limits.rate / (1 + self.peers.len()) as f64
    }

    /// Sets the bucket to the part of the rate that accrues here, and to a part of the burst that follows the demand.
    fn settle(&mut self, now: Instant) {
        let demand = self.demand.rate(now);
        let part = match self.total {
            Some(total) if self.part.rate <= 0.0 => {
                demand / total.max(demand).max(f64::MIN_POSITIVE)
            }
            _ => {
                // Tokens for instances at which nothing accrues are stored here until they ask.
                let own = self.weight(demand) + self.served_demand(now);
                let others = self.peers.values().filter(|peer| peer.accrues);
                let others: f64 = others.map(|peer| self.weight(peer.demand)).sum();
                if own > 0.0 { own / (own + others) } else { 0.0 }
            }
        };
        // Without demand nothing is stored beyond the part of the burst, so that idle instances do not add up.
        let least = MIN_CAPACITY.min(demand * MIN_CAPACITY_FOR.as_secs_f64());
        // What accrues between two messages has to fit in, or it is lost to those who need it.
        let least = least.max(self.limits.rate * self.part.rate * ACCRUAL_FOR.as_secs_f64());
        let capacity = (self.limits.capacity * part).max(least.min(self.limits.capacity));
        self.bucket.set_limits(self.limits.rate * self.part.rate, capacity, now);
    }
}
