//! The evacuated data centres at one version of the store.

use std::collections::BTreeSet;

use crate::{name::DataCentre, store_version::StoreVersion};

/// All data centres that are evacuated at one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedSet {
    /// Version of the store at which the set is complete.
    pub version: StoreVersion,
    /// The evacuated data centres.
    pub data_centres: BTreeSet<DataCentre>,
}

impl EvacuatedSet {
    /// Creates the set of a version.
    pub fn new<I>(version: StoreVersion, data_centres: I) -> Self
    where
        I: IntoIterator<Item = DataCentre>,
    {
        Self { version, data_centres: data_centres.into_iter().collect() }
    }

    /// Whether the data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }
}
