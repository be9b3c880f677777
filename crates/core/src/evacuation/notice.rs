//! What one instance tells another of the evacuations that it knows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::EvacuatedSet;
use crate::{clock::Instant, name::DataCentre, store_version::StoreVersion};

/// The evacuations that an instance knows, in a message to another one. Times are ages, since clocks of different instances
/// are not compared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Version of the set at the sender.
    pub version: StoreVersion,
    /// The evacuations in force at the sender.
    pub entries: Vec<NoticeEntry>,
}

/// One evacuation in a [`Notice`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeEntry {
    data_centre: DataCentre,
    /// Time for which it has been in force, in microseconds; `None` when the sender does not know it.
    age: Option<u64>,
    /// Time for which it stays in force although the restored store does not have it, in microseconds; `None` when it has.
    kept_for: Option<u64>,
}

impl NoticeEntry {
    /// Creates the entry of an evacuation.
    pub fn new(data_centre: DataCentre, age: Option<Duration>, kept_for: Option<Duration>) -> Self {
        Self { data_centre, age: age.map(micros), kept_for: kept_for.map(micros) }
    }
}

impl Notice {
    /// The set that the sender has read from the store.
    pub(super) fn set(&self) -> EvacuatedSet {
        let stored = self.entries.iter().filter(|entry| entry.kept_for.is_none());
        EvacuatedSet::new(self.version, stored.map(|entry| entry.data_centre.clone()))
    }

    /// Evacuations that the sender keeps in force although the restored store does not have them, with the time left.
    pub(super) fn kept(&self) -> impl Iterator<Item = (&DataCentre, Duration)> {
        self.entries
            .iter()
            .filter_map(|entry| Some((&entry.data_centre, Duration::from_micros(entry.kept_for?))))
    }

    /// When the evacuation began, on the clock of the receiver, and not later than it did. `told_at` is a time before which
    /// the notice was not sent.
    pub(super) fn since(
        &self,
        data_centre: &DataCentre,
        told_at: Option<Instant>,
    ) -> Option<Instant> {
        let entry = self.entries.iter().find(|entry| entry.data_centre == *data_centre)?;
        Some(told_at?.minus(Duration::from_micros(entry.age?)))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
