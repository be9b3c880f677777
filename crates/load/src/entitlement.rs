//! Which requests a contract covers, seen from the client.

use std::time::Duration;

/// Rate and burst of one contract, counted at the time of offer.
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
    last: Duration,
}

impl Entitlement {
    /// Creates a contract of `rate` requests per second and `burst` requests, with its burst unused.
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, last: Duration::ZERO }
    }

    /// Whether the contract covers a request that is offered at `now`.
    pub fn covers(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.tokens = self.rate.mul_add(passed.as_secs_f64(), self.tokens).min(self.burst);
        let covered = self.tokens >= 1.0;
        if covered {
            self.tokens -= 1.0;
        }
        covered
    }
}
