//! Monotonic time that also counts suspension, and the interface through which it is read.
//!
//! Leases and windows are measured in this time, so that they expire while a process is paused or its machine is
//! suspended.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::clock::{Clock, ManualClock};
//!
//! let clock = ManualClock::default();
//! let start = clock.now();
//! clock.advance(Duration::from_millis(250));
//! assert_eq!(clock.now().since(start), Duration::from_millis(250));
//! ```

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Largest difference between the rates of two clocks, in parts per thousand.
pub const DRIFT_BOUND_PER_MILLE: u32 = 10;

/// A point in monotonic time, as the time since an origin that is fixed for one process.
///
/// Instants of different processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(Duration);

impl Instant {
    /// Creates the instant that lies `since_origin` after the origin.
    pub const fn new(since_origin: Duration) -> Self {
        Self(since_origin)
    }

    /// Time since the origin.
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to this instant; zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The instant `before` earlier; the origin when that is less than `before` ago.
    #[must_use]
    pub const fn minus(self, before: Duration) -> Self {
        Self(self.0.saturating_sub(before))
    }

    /// The instant `after` later.
    #[must_use]
    pub const fn plus(self, after: Duration) -> Self {
        Self(self.0.saturating_add(after))
    }
}

/// A source of monotonic time.
pub trait Clock {
    /// The current time.
    fn now(&self) -> Instant;
}

impl<C> Clock for &C
where
    C: Clock,
{
    fn now(&self) -> Instant {
        (**self).now()
    }
}

impl<C> Clock for std::sync::Arc<C>
where
    C: Clock,
{
    fn now(&self) -> Instant {
        (**self).now()
    }
}

/// A clock that moves only by [`ManualClock::advance`], for tests and simulations.
#[derive(Debug, Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward by `by`.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        Instant::new(Duration::from_nanos(self.nanos.load(Ordering::SeqCst)))
    }
}

/// Extends `window` by the drift bound, for a wait until the window has passed on another clock.
pub fn with_drift(window: Duration) -> Duration {
    window + window * DRIFT_BOUND_PER_MILLE / 1000
}
