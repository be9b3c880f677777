//! A token bucket whose rate and capacity may change.
//!
//! Tokens arise only by accrual over time, so the tokens of several buckets can be summed when a rate is divided among
//! them.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{bucket::TokenBucket, clock::Instant};
//!
//! let start = Instant::default();
//! let mut bucket = TokenBucket::new(10.0, 5.0, start);
//! assert_eq!(bucket.try_take(1.0, start), Err(Duration::from_millis(100)));
//! assert_eq!(bucket.try_take(1.0, start.plus(Duration::from_millis(100))), Ok(()));
//! ```

use std::time::Duration;

use crate::clock::Instant;

/// Tolerance, in tokens, for the rounding of sums of fractions.
///
/// Without it three parts of a third each would not make up one token.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Tokens that accrue at a rate up to a capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket that gains `rate` tokens per second and has room for `capacity` tokens.
    ///
    /// Negative and non-finite limits count as zero.
    pub const fn new(rate: f64, capacity: f64, now: Instant) -> Self {
        Self {
            rate: limit_or_zero(rate),
            capacity: limit_or_zero(capacity),
            tokens: 0.0,
            updated: now,
        }
    }

    /// Creates a full bucket.
    pub const fn filled(rate: f64, capacity: f64, now: Instant) -> Self {
        let mut bucket = Self::new(rate, capacity, now);
        bucket.tokens = bucket.capacity;
        bucket
    }

    /// Tokens that accrue per second.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Largest number of tokens that the bucket holds.
    pub const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens that the bucket holds at `now`.
    pub const fn tokens(&self, now: Instant) -> f64 {
        let gained = self.rate * now.since(self.updated).as_secs_f64();
        (self.tokens + gained).min(self.capacity)
    }

    /// Changes rate and capacity from `now` on; tokens above the new capacity are discarded.
    pub const fn set_limits(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate = limit_or_zero(rate);
        self.capacity = limit_or_zero(capacity);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes `n` tokens, or returns the time until the bucket holds them.
    ///
    /// # Errors
    ///
    /// The time until the bucket holds `n` tokens; [`Duration::MAX`] when it never will with its present limits.
    pub fn try_take(&mut self, n: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens + ROUNDING_TOLERANCE >= n {
            self.tokens = (self.tokens - n).max(0.0);
            return Ok(());
        }
        if n > self.capacity + ROUNDING_TOLERANCE || self.rate <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::try_from_secs_f64((n - self.tokens) / self.rate).unwrap_or(Duration::MAX))
    }

    /// Adds up to `n` tokens that were removed from another bucket, as far as there is room.
    pub const fn add(&mut self, n: f64, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + limit_or_zero(n)).min(self.capacity);
    }

    /// Removes up to `n` tokens and returns how many were removed.
    pub const fn remove(&mut self, n: f64, now: Instant) -> f64 {
        self.refill(now);
        let removed = limit_or_zero(n).min(self.tokens);
        self.tokens -= removed;
        removed
    }

    /// Discards the tokens that have accrued since the last refill; accrual continues from `now`.
    pub const fn skip_to(&mut self, now: Instant) {
        if now.since(self.updated).as_nanos() > 0 {
            self.updated = now;
        }
    }

    /// Adds the tokens that have accrued up to `now`.
    pub const fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.skip_to(now);
    }
}

const fn limit_or_zero(value: f64) -> f64 {
    if value.is_finite() && value > 0.0 { value } else { 0.0 }
}
