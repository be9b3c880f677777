//! Decides where an instance that lags behind gets newer data: from one of its hubs, or from the store.
//!
//! After a change of the configuration all followers of a hub lag behind at once. If each of them repeated its request
//! while an earlier one is still being answered, the answers would share the hub's link and none would arrive in time.
//! So an instance has one transfer at a time, goes on to the next source after a failure, and reads from the store
//! itself in turn with them when they do not deliver in time.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{catch_up::{CatchUp, Source}, clock::Instant};
//!
//! let now = Instant::default();
//! let mut catch_up = CatchUp::new("i-7".into());
//! let hubs = ["hub-1".into(), "hub-2".into()];
//! let Some(Source::Instance(first)) = catch_up.next_source(&hubs, now) else { panic!("a hub is asked") };
//! assert!(catch_up.next_source(&hubs, now).is_none(), "one transfer at a time");
//! catch_up.failed();
//! assert_ne!(catch_up.next_source(&hubs, now), Some(Source::Instance(first)));
//! ```

use std::time::Duration;

use crate::{clock::Instant, membership, name::InstanceId};

/// Time after which an instance that still lags behind reads from the store.
pub const STORE_FALLBACK: Duration = Duration::from_millis(2500);
/// Longest time for one transfer, which may wait for others at the source.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a transfer that was not reported as ended counts as failed; its task may have ended by an error.
const ABANDONED_AFTER: Duration = Duration::from_secs(10);

/// Origin of newer data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Another instance that has the data.
    Instance(InstanceId),
    /// The store.
    Store,
}

/// Progress of one instance in catching up with newer data.
#[derive(Debug, Clone)]
pub struct CatchUp {
    own: InstanceId,
    behind_since: Option<Instant>,
    /// Start of the running transfer; `None` while there is none.
    running_since: Option<Instant>,
    /// Whether a transfer was started since the instance fell behind.
    asked: bool,
    /// Number of failed transfers since the instance fell behind.
    failures: usize,
}

impl CatchUp {
    /// Creates the state of the instance `own`, which is up to date.
    pub const fn new(own: InstanceId) -> Self {
        Self { own, behind_since: None, running_since: None, asked: false, failures: 0 }
    }

    /// Records that the instance is up to date.
    pub const fn caught_up(&mut self) {
        self.behind_since = None;
        self.asked = false;
        self.failures = 0;
    }

    /// Whether a source was asked since the instance fell behind.
    pub const fn has_asked(&self) -> bool {
        self.asked
    }

    /// Records that the instance lags behind; returns for how long it has.
    pub fn lag(&mut self, now: Instant) -> Duration {
        now.since(*self.behind_since.get_or_insert(now))
    }

    /// The source to ask now for newer data, which `sources` have. `None` while a transfer is running.
    ///
    /// Instances begin with different sources. The caller reports the end of the transfer with
    /// [`finished`](Self::finished) or [`failed`](Self::failed).
    pub fn next_source(&mut self, sources: &[InstanceId], now: Instant) -> Option<Source> {
        let lag = self.lag(now);
        if self.running_since.is_some_and(|since| now.since(since) < ABANDONED_AFTER) {
            return None;
        }
        self.running_since = Some(now);
        self.asked = true;
        let is_store_due = lag >= STORE_FALLBACK && !self.failures.is_multiple_of(2);
        if is_store_due || sources.is_empty() {
            return Some(Source::Store);
        }
        let mut ranked: Vec<&InstanceId> = sources.iter().collect();
        ranked.sort_by_cached_key(|name| membership::weight(&[self.own.as_str()], name.as_str()));
        let next = if lag >= STORE_FALLBACK { self.failures / 2 } else { self.failures };
        Some(Source::Instance(ranked[next % ranked.len()].clone()))
    }

    /// Records that the transfer has ended with data.
    pub const fn finished(&mut self) {
        self.running_since = None;
    }

    /// Records that the transfer has ended without data.
    pub const fn failed(&mut self) {
        self.running_since = None;
        self.failures += 1;
    }
}
