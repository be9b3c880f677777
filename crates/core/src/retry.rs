//! Limits on repeated work: a retry budget, exponential backoff, and slow start of upstreams.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, retry::{Backoff, RetryBudget}};
//!
//! let now = Instant::default();
//! let mut budget = RetryBudget::default();
//! assert!(budget.try_retry(now) && budget.try_retry(now) && budget.try_retry(now));
//! assert!(!budget.try_retry(now));
//!
//! let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(1));
//! assert_eq!(backoff.next(0.0), Duration::from_millis(50));
//! assert_eq!(backoff.next(1.0), Duration::from_millis(200));
//! ```

mod backoff;
mod budget;
mod slow_start;

pub use self::{backoff::Backoff, budget::RetryBudget, slow_start::SlowStart};
