//! Token bucket on the client's side that decides which requests a contract covers.

use std::time::Duration;

/// Token bucket with the rate and burst of one contract.
///
/// A request is counted at the time at which its session starts it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use hibiscusladder_load::entitlement::Entitlement;
///
/// let mut contract = Entitlement::new(10.0, 1.0);
/// assert!(contract.covers(Duration::ZERO));
/// assert!(!contract.covers(Duration::from_millis(50)));
/// assert!(contract.covers(Duration::from_millis(150)));
/// ```
#[derive(Debug)]
pub struct Entitlement {
    rate: f64,
    burst: f64,
    tokens: f64,
    last_update: Duration,
}

impl Entitlement {
    /// Creates a full bucket with a capacity of `burst` requests, which refills at `rate` requests per second.
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, last_update: Duration::ZERO }
    }

    /// Whether the contract covers a request at `now`, the time since the start of load. A covered request takes one
    /// token.
    pub fn covers(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.last_update);
        self.last_update = self.last_update.max(now);
        self.tokens = self.rate.mul_add(elapsed.as_secs_f64(), self.tokens).min(self.burst);
        let covered = self.tokens >= 1.0;
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}
