//! Limit on the part of the traffic that may be retries.

use std::time::Duration;

use crate::clock::Instant;

/// Default ratio of retries to requests.
const RETRY_RATIO: f64 = 0.2;
/// Default number of retries that are allowed with little traffic.
const MIN_RETRIES: u32 = 3;
/// Length of the window in seconds, which is its number of one-second slots.
const WINDOW_S: usize = 10;

#[derive(Debug, Clone, Copy, Default)]
struct Second {
    /// Whole seconds since the origin of the clock.
    number: u64,
    requests: u32,
    retries: u32,
}

/// Allows retries up to 20% of the requests of the last 10 s, and at least 3.
///
/// Without a budget, retries multiply the load of an upstream that fails under load.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    min_retries: u32,
    seconds: [Second; WINDOW_S],
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RETRY_RATIO, MIN_RETRIES)
    }
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request and at least `min_retries`, over 10 s.
    pub const fn new(ratio: f64, min_retries: u32) -> Self {
        let empty = Second { number: 0, requests: 0, retries: 0 };
        Self { ratio, min_retries, seconds: [empty; WINDOW_S] }
    }

    /// Counts a request, which must not be a retry.
    pub const fn record_request(&mut self, now: Instant) {
        let second = self.second(now);
        second.requests = second.requests.saturating_add(1);
    }

    /// Takes one retry from the budget; false when it is used up.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let current = now.since_origin().as_secs();
        let oldest = (current + 1).saturating_sub(WINDOW_S as u64);
        let window =
            self.seconds.iter().filter(|second| (oldest..=current).contains(&second.number));
        let (requests, retries) = window.fold((0_u32, 0_u32), |(requests, retries), second| {
            (requests.saturating_add(second.requests), retries.saturating_add(second.retries))
        });
        let allowed = (f64::from(requests) * self.ratio).max(f64::from(self.min_retries));
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        let second = self.second(now);
        second.retries = second.retries.saturating_add(1);
        true
    }

    /// Time for which requests and retries count.
    pub const fn window() -> Duration {
        Duration::from_secs(WINDOW_S as u64)
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below the number of slots"
    )]
    const fn second(&mut self, now: Instant) -> &mut Second {
        let number = now.since_origin().as_secs();
        let second = &mut self.seconds[(number % WINDOW_S as u64) as usize];
        if second.number != number {
            *second = Second { number, requests: 0, retries: 0 };
        }
        second
    }
}
