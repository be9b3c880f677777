//! The era of the platform's store, shared by its client and by the tasks of an instance.

use std::{cell::Cell, time::Duration};

use event_listener::{Event as Notify, EventListener};
use hibiscusladder_core::{
    clock::Instant,
    store_era::{EraOrder, StoreEra},
    store_version::StoreVersion,
};
use serde_json::json;

use crate::{
    adapter::StoreError,
    events::{self, Event},
};

/// The era of the store as this process knows it. Waiters are notified when it rises.
#[derive(Debug, Default)]
pub struct SharedStoreEra {
    era: Cell<StoreEra>,
    restores: Cell<u64>,
    rejected: Cell<u64>,
    changed: Notify,
}

impl SharedStoreEra {
    /// What is known about the era.
    pub const fn get(&self) -> StoreEra {
        self.era.get()
    }

    /// The known era; 0 before the first answer or message.
    pub fn known(&self) -> u64 {
        self.get().known().unwrap_or(0)
    }

    /// Whether the store may still lack writes from before its latest restore; see [`StoreEra::may_lack_writes`].
    pub fn may_lack_writes(&self, time: Duration, now: Instant) -> bool {
        self.get().may_lack_writes(time, now)
    }

    /// Waits until the era rises.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Records the era that another instance knows. Returns whether it is at least the one known here.
    pub fn record_told(&self, era: u64, now: Instant) -> bool {
        !matches!(self.record(era, "instance", now), EraOrder::OutOfDate { .. })
    }

    /// Records the era of an answer of the store.
    ///
    /// # Errors
    ///
    /// [`StoreError::OutOfDate`] when a higher era is known; the answer must not be used.
    pub fn check_answer(&self, era: u64, now: Instant) -> Result<(), StoreError> {
        let EraOrder::OutOfDate { known } = self.record(era, "store", now) else { return Ok(()) };
        let error = StoreError::OutOfDate { era, known };
        self.reject(&error.to_string());
        Err(error)
    }

    /// Counts and logs an answer of the store that is not used because of its era.
    pub fn reject(&self, reason: &str) {
        self.rejected.set(self.rejected.get() + 1);
        events::log(Event::StoreAnswerRejected, json!({ "reason": reason }));
    }

    /// Number of restores that this process has learned of.
    pub const fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Number of answers of the store that were not used because of their era.
    pub const fn rejected(&self) -> u64 {
        self.rejected.get()
    }

    /// Checks the answer to a call that is based on a version of an object or of a collection.
    ///
    /// # Errors
    ///
    /// [`StoreError::Restored`] when the store was restored since then.
    pub const fn check_base(base: StoreVersion, era: u64) -> Result<(), StoreError> {
        if base.era == era { Ok(()) } else { Err(StoreError::Restored { era }) }
    }

    fn record(&self, era: u64, source: &'static str, now: Instant) -> EraOrder {
        let mut known = self.era.get();
        let order = known.record(era, now);
        self.era.set(known);
        if let EraOrder::Restored { replaced } = order {
            self.restores.set(self.restores.get() + 1);
            events::log(
                Event::StoreRestored,
                json!({ "era": era, "replaces": replaced, "source": source }),
            );
            self.changed.notify(usize::MAX);
        }
        order
    }
}
