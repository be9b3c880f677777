//! Era of a store that may be restored from an older copy, as one instance knows it.
//!
//! A restore loses the writes of the seconds before it, and its writers write them again within some seconds. The store
//! counts its restores in the era. An instance learns the era from its own calls and from other instances, whichever is
//! first. An answer of a lower era than the known one shows a state that has been replaced, so it is not used.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use hibiscusladder_core::{clock::Instant, store_era::{EraOrder, StoreEra}};
//!
//! let start = Instant::default();
//! let mut era = StoreEra::default();
//! assert_eq!(era.record(1, start), EraOrder::Current);
//! assert_eq!(era.restored_at(), None);
//! let later = start.plus(Duration::from_secs(60));
//! assert_eq!(era.record(2, later), EraOrder::Restored { replaced: 1 });
//! assert_eq!(era.record(1, later), EraOrder::OutOfDate { known: 2 });
//! assert!(era.may_lack_writes(Duration::from_secs(3), later));
//! ```

use std::time::Duration;

use crate::clock::Instant;

/// Time in which the operator and the members write their objects again after a restore: three of their intervals of
/// 1.2 s, and the delay until an instance has learned of the restore.
pub const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Order of an era relative to the highest one that was known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// The known era, or the first one that the process has seen.
    Current,
    /// The first sign of a restore: the era is higher than the one known before.
    Restored {
        /// Era that was known before.
        replaced: u64,
    },
    /// The era has been replaced. What came with it is not used.
    OutOfDate {
        /// The known, higher era.
        known: u64,
    },
}

/// Highest era of the store that an instance has seen itself or was told by another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreEra {
    known: Option<KnownEra>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownEra {
    era: u64,
    learned_at: Instant,
    /// Whether a lower era was known before.
    is_restore: bool,
}

impl StoreEra {
    /// Records the era of an answer of the store, or of a message of another instance.
    pub fn record(&mut self, era: u64, now: Instant) -> EraOrder {
        let previous = self.known.map(|known| known.era);
        match previous {
            Some(known) if era == known => return EraOrder::Current,
            Some(known) if era < known => return EraOrder::OutOfDate { known },
            _ => {}
        }
        self.known = Some(KnownEra { era, learned_at: now, is_restore: previous.is_some() });
        previous.map_or(EraOrder::Current, |replaced| EraOrder::Restored { replaced })
    }

    /// The known era; `None` before the first answer or message.
    pub fn known(&self) -> Option<u64> {
        self.known.map(|known| known.era)
    }

    /// When this process learned the known era. The era began then or earlier.
    pub fn learned_at(&self) -> Option<Instant> {
        self.known.map(|known| known.learned_at)
    }

    /// When this process learned of the latest restore; `None` if it has seen none, so that it cannot tell how long the
    /// era had lasted when it started.
    pub fn restored_at(&self) -> Option<Instant> {
        self.known.filter(|known| known.is_restore).map(|known| known.learned_at)
    }

    /// Whether the store may still lack writes from before its latest restore, if their writers need at most `time` from
    /// when this process learned the era. A store of era 0 was never restored.
    pub fn may_lack_writes(&self, time: Duration, now: Instant) -> bool {
        self.known.is_some_and(|known| known.era > 0 && now.since(known.learned_at) < time)
    }
}
