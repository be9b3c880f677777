//! A workspace's rate, divided among instances that admit requests for any upstream.
//!
//! Each accruing instance accrues a part of the rate and transfers tokens that it does not need to instances that
//! need them. A dependent instance accrues nothing and requests its tokens from accruing ones. A token is removed
//! before it is transferred, so no more tokens are used than accrue in all instances together, also across
//! partitions; a token that is lost in transit is not replaced.
//!
//! The load: a workspace is idle, and then its callers come to all instances at once. Instances do not report a demand
//! that they do not have, so an accruing one counts all that its part of the rate implies, whether it has heard from them or not.
//! Otherwise each would take the others for absent and store the whole burst. The one with the demand gets what the others
//! store by requests.
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
//! for _ in 0..30 {
//!     assert!(busy.try_admit(later).is_ok());
//! }
//! let request = TokenRequest { wanted: 30.0, least: 1.0 };
//! busy.receive(idle.transfer_requested(request, later), later);
//! assert!(busy.level(later) > 30.0, "10 were left");
//! assert!(busy.try_admit(later).is_ok());
//! ```

use std::{collections::BTreeMap, time::Duration};

use super::{Limits, demand::Demand};
use crate::{bucket::TokenBucket, clock::Instant, name::InstanceId};

/// Time since its last message after which a peer counts as unresponsive and receives no tokens.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time constant with which arrivals decay in the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Weight of an instance without demand when tokens are divided, as a fraction of an equal part of the rate.
const IDLE_WEIGHT: f64 = 0.1;
/// Time for which an instance keeps tokens for its own demand.
const TOKEN_RESERVE_TIME: Duration = Duration::from_millis(300);
/// Least capacity of a bucket in tokens, so that requested tokens fit in; less when the demand in
/// [`MIN_CAPACITY_TIME`] is lower.
const MIN_CAPACITY: f64 = 2.0;
/// Least capacity of an accruing instance in tokens, so that the first request after a pause needs none of another
/// instance.
const FIRST_TOKEN: f64 = 1.0;
/// Time whose demand is the least capacity of a bucket, up to [`MIN_CAPACITY`].
const MIN_CAPACITY_TIME: Duration = Duration::from_secs(4);
/// Time between two messages; the tokens that accrue in it have to fit into a bucket.
const ACCRUAL_TIME: Duration = Duration::from_millis(280);
/// Smallest number of tokens that is transferred.
const MIN_TRANSFER: f64 = 0.25;
/// Time for whose demand a dependent instance requests tokens in advance; a few round trips in a region.
const PREFETCH_TIME: Duration = Duration::from_millis(100);
/// Token requests are multiples of this fraction, which their encoding keeps exactly.
const REQUEST_STEP: f64 = 1.0 / 64.0;

/// Role of an instance in the division of a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllotmentPart {
    /// Fraction of the rate that accrues at this instance, from 0 to 1; 0 for a dependent instance.
    pub rate: f64,
    /// Number of accruing instances, this one included, that serve the same dependent instances.
    pub sharing: usize,
}

impl AllotmentPart {
    /// Creates the part of an instance that accrues the fraction `rate` and shares its dependents with no other.
    pub const fn alone(rate: f64) -> Self {
        Self { rate, sharing: 1 }
    }
}

/// Number of tokens that one instance requests from another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRequest {
    /// Largest number of tokens that the requester can use.
    pub wanted: f64,
    /// Smallest number of tokens that is of use to the requester.
    pub least: f64,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    demand: f64,
    level: f64,
    last_received: Instant,
    /// Whether the peer is an accruing instance, whose demand includes its part of the dependents' demand.
    accrues: bool,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.since(self.last_received) < PEER_TIMEOUT
    }
}

/// The part that one instance has of the limits of one workspace.
#[derive(Debug, Clone)]
pub struct Allotment {
    limits: Limits,
    part: AllotmentPart,
    /// Demand of all instances, as last reported by an accruing instance.
    reported_total: Option<f64>,
    bucket: TokenBucket,
    demand: Demand,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Allotment {
    /// Creates the allotment of an instance.
    ///
    /// The bucket is empty, because a predecessor may have just used the tokens.
    pub fn new(limits: Limits, part: AllotmentPart, now: Instant) -> Self {
        let mut allotment = Self {
            limits,
            part,
            reported_total: None,
            bucket: TokenBucket::new(0.0, 0.0, now),
            demand: Demand::with_time_constant(DEMAND_TIME_CONSTANT, now),
            peers: BTreeMap::new(),
        };
        allotment.resize_bucket(now);
        allotment
    }

    /// Changes the limits of the workspace and the part of this instance.
    pub fn set_limits(&mut self, limits: Limits, part: AllotmentPart, now: Instant) {
        self.limits = limits;
        self.part = part;
        self.resize_bucket(now);
    }

    /// Admits one request, or returns the time after which a retry makes sense.
    ///
    /// # Errors
    ///
    /// The time until a token has accrued in this bucket or, for a dependent instance, elsewhere for it;
    /// [`Duration::MAX`] when none ever will.
    pub fn try_admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.demand.record(1.0, now);
        if self.depends_on_others() {
            // Makes room for the token that is requested next.
            self.resize_bucket(now);
        }
        self.retry_admit(now)
    }

    /// Like [`try_admit`](Self::try_admit) for a request that is already counted in the demand.
    ///
    /// # Errors
    ///
    /// As for [`try_admit`](Self::try_admit).
    pub fn retry_admit(&mut self, now: Instant) -> Result<(), Duration> {
        let taken = self.bucket.try_take(1.0, now);
        taken.map_err(|wait| if self.depends_on_others() { self.time_per_token(now) } else { wait })
    }

    /// Counts a request in the demand that lets others go first, and returns the time after which to try it with
    /// [`retry_admit`](Self::retry_admit).
    pub fn defer(&mut self, now: Instant) -> Duration {
        self.demand.record(1.0, now);
        if self.depends_on_others() {
            self.resize_bucket(now);
        }
        self.time_per_token(now)
    }

    /// Tokens per second that come to this instance when the rate is divided in proportion to the demand.
    pub fn token_rate(&self, now: Instant) -> f64 {
        1.0 / self.time_per_token(now).as_secs_f64()
    }

    /// Time in which one token accrues for this instance when the rate is divided in proportion to the demand.
    fn time_per_token(&self, now: Instant) -> Duration {
        let demand = self.demand.rate(now);
        let part = demand / self.estimated_total_demand(now).max(demand).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(1.0 / (self.limits.rate * part)).unwrap_or(Duration::MAX)
    }

    /// Requests per second that arrive at this instance.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// Limits of the workspace.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Largest number of tokens that this instance stores.
    pub const fn capacity(&self) -> f64 {
        self.bucket.capacity()
    }

    /// Demand of all instances in requests per second, as last reported or else as known from the peers.
    pub fn estimated_total_demand(&self, now: Instant) -> f64 {
        self.reported_total.unwrap_or_else(|| self.total_demand(now))
    }

    /// Tokens in the bucket of this instance.
    pub fn level(&self, now: Instant) -> f64 {
        self.bucket.tokens(now)
    }

    /// Demand that this instance advertises to accruing instances: its own, and its part of the demand of the dependent
    /// instances that it serves together with others.
    pub fn advertised_demand(&self, now: Instant) -> f64 {
        self.demand.rate(now) + self.served_demand(now)
    }

    /// This instance's part of the demand of dependent instances.
    fn served_demand(&self, now: Instant) -> f64 {
        let served = self.peers.values().filter(|peer| !peer.accrues && peer.is_live(now));
        let served: f64 = served.map(|peer| peer.demand).sum();
        served / self.part.sharing.max(1) as f64
    }

    /// Demand of all instances in requests per second, as far as it is known from the peers.
    pub fn total_demand(&self, now: Instant) -> f64 {
        let others = self.peers.values().filter(|peer| peer.accrues && peer.is_live(now));
        self.advertised_demand(now) + others.map(|peer| peer.demand).sum::<f64>()
    }

    /// Records the demand of `peer` in requests per second, its tokens, and whether it is an accruing instance.
    pub fn record_peer(
        &mut self,
        peer: &InstanceId,
        demand: f64,
        level: f64,
        accrues: bool,
        now: Instant,
    ) {
        let reported =
            Peer { demand: demand.max(0.0), level: level.max(0.0), last_received: now, accrues };
        self.peers.insert(peer.clone(), reported);
        self.resize_bucket(now);
    }

    /// Records the demand of all instances that an accruing instance reported to this dependent one.
    pub fn record_total(&mut self, total: f64, now: Instant) {
        self.reported_total = Some(total);
        self.resize_bucket(now);
    }

    /// Removes and returns the tokens to transfer to `peer` now, so that tokens are divided by demand.
    ///
    /// A dependent instance receives none: it requests the tokens that it needs, and would lose any others.
    pub fn transfer_surplus(&mut self, peer: &InstanceId, now: Instant) -> f64 {
        self.resize_bucket(now);
        let is_receiver = |peer: &&Peer| peer.accrues && peer.is_live(now);
        let Some(receiver) = self.peers.get(peer).filter(is_receiver) else {
            return 0.0;
        };
        let others = || self.peers.values().filter(is_receiver);
        let own_demand = self.advertised_demand(now);
        let own_level = self.bucket.tokens(now);
        let weights: f64 =
            self.weight(own_demand) + others().map(|peer| self.weight(peer.demand)).sum::<f64>();
        if weights <= 0.0 {
            return 0.0;
        }
        let level = own_level + others().map(|peer| peer.level).sum::<f64>();
        let target = |demand: f64| level * self.weight(demand) / weights;
        let reserve = target(own_demand).max(own_demand * TOKEN_RESERVE_TIME.as_secs_f64());
        let surplus = (own_level - reserve).max(0.0);
        let missing = |peer: &Peer| (target(peer.demand) - peer.level).max(0.0);
        let total_missing: f64 = others().map(missing).sum();
        // Other instances transfer at the same time, so no peer is sent more tokens than it misses.
        let transferred = surplus.min(total_missing);
        let tokens =
            if total_missing > 0.0 { transferred * missing(receiver) / total_missing } else { 0.0 };
        if tokens < MIN_TRANSFER {
            return 0.0;
        }
        if let Some(receiver) = self.peers.get_mut(peer) {
            receiver.level += tokens;
        }
        self.bucket.remove(tokens, now)
    }

    /// Removes and returns the tokens for the request of another instance, as far as they are not needed here.
    pub fn transfer_requested(&mut self, request: TokenRequest, now: Instant) -> f64 {
        let reserve = self.demand.rate(now) * TOKEN_RESERVE_TIME.as_secs_f64();
        let spare = (self.bucket.tokens(now) - reserve).max(0.0);
        if spare < request.least { 0.0 } else { self.bucket.remove(spare.min(request.wanted), now) }
    }

    /// Adds this instance's part of `tokens`, which all instances together may use in addition to the rate.
    pub fn grant(&mut self, tokens: f64, now: Instant) {
        self.bucket.add(tokens * self.part.rate, now);
    }

    /// Adds tokens that another instance has transferred.
    pub fn receive(&mut self, tokens: f64, now: Instant) {
        self.bucket.add(tokens, now);
    }

    /// Whether this instance accrues nothing, so that all of its tokens come from other instances.
    pub fn depends_on_others(&self) -> bool {
        self.part.rate <= 0.0
    }

    /// The token request to send to other instances while `waiting` requests wait for tokens.
    pub fn request(&self, waiting: usize, now: Instant) -> TokenRequest {
        let demand = self.demand.rate(now);
        if !self.depends_on_others() {
            let wanted = 1.0 + demand * TOKEN_RESERVE_TIME.as_secs_f64();
            return TokenRequest { wanted, least: MIN_TRANSFER };
        }
        let level = self.bucket.tokens(now);
        let missing = |tokens: f64| {
            let missing = tokens.min(self.bucket.capacity()) - level;
            (missing.max(0.0) / REQUEST_STEP).ceil() * REQUEST_STEP
        };
        let prefetch = (demand * PREFETCH_TIME.as_secs_f64()).floor();
        TokenRequest { wanted: missing(waiting as f64 + prefetch), least: missing(1.0) }
    }

    /// The instances that most likely have spare tokens, the one with the most first.
    pub fn donors(&self, now: Instant) -> Vec<InstanceId> {
        let spare = |peer: &Peer| peer.level - peer.demand * TOKEN_RESERVE_TIME.as_secs_f64();
        // A dependent instance learns the levels of its peers too seldom to rule any out.
        let is_donor = |peer: &Peer| {
            peer.is_live(now)
                && if self.depends_on_others() { peer.accrues } else { spare(peer) >= MIN_TRANSFER }
        };
        let mut donors: Vec<(f64, &InstanceId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_donor(peer))
            .map(|(name, peer)| (spare(peer), name))
            .collect();
        donors.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        donors.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Number of accruing instances that this one has not heard of.
    fn silent_instances(&self) -> f64 {
        if self.depends_on_others() {
            return 0.0;
        }
        let known = self.peers.values().filter(|peer| peer.accrues).count();
        (1.0 / self.part.rate - 1.0 - known as f64).max(0.0)
    }

    fn weight(&self, demand: f64) -> f64 {
        let instances = (1 + self.peers.len()) as f64 + self.silent_instances();
        demand + IDLE_WEIGHT * self.limits.rate / instances
    }

    /// Sets the rate of the bucket to the part that accrues here, and its capacity to a part of the burst that
    /// grows with the demand.
    fn resize_bucket(&mut self, now: Instant) {
        let demand = self.demand.rate(now);
        let part = match self.reported_total {
            Some(total) if self.part.rate <= 0.0 => {
                demand / total.max(demand).max(f64::MIN_POSITIVE)
            }
            _ => {
                // Tokens for dependent instances are stored here until these request them.
                let own = self.weight(demand) + self.served_demand(now);
                let others = self.peers.values().filter(|peer| peer.accrues);
                let others: f64 = others.map(|peer| self.weight(peer.demand)).sum();
                let others = others + self.silent_instances() * self.weight(0.0);
                if own > 0.0 { own / (own + others) } else { 0.0 }
            }
        };
        // Without demand the capacity stays at the part of the burst, so that the capacities of idle instances do not
        // add up.
        let min_capacity = MIN_CAPACITY.min(demand * MIN_CAPACITY_TIME.as_secs_f64());
        // The tokens that accrue between two messages have to fit in, or they are lost to instances that need them.
        let min_capacity =
            min_capacity.max(self.limits.rate * self.part.rate * ACCRUAL_TIME.as_secs_f64());
        let first_token = if self.depends_on_others() { 0.0 } else { FIRST_TOKEN };
        let min_capacity = min_capacity.max(first_token);
        let capacity = (self.limits.capacity * part).max(min_capacity.min(self.limits.capacity));
        self.bucket.set_limits(self.limits.rate * self.part.rate, capacity, now);
    }
}
