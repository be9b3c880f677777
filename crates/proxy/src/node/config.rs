//! The copy of the configuration and the decision whether it may be relied on.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    config::{BatchOutcome, Changes, ConfigValidity, ConfigView, FreshnessPolicy, Kind},
    name::DataCentre,
};

use crate::settings::Settings;

/// Configuration with the evidence about its age.
#[derive(Debug)]
pub(super) struct ConfigState {
    view: ConfigView,
    doubt: FreshnessPolicy,
    snapshot: Arc<ConfigView>,
    version: u64,
}

impl ConfigState {
    pub(super) fn new(settings: &Settings) -> Self {
        let places = settings.topology.iter().map(|place| place.data_centre.clone());
        let doubt = FreshnessPolicy::new(settings.instance.data_centre.clone(), places)
            .max_config_age(settings.times.max_config_age);
        Self { view: ConfigView::default(), doubt, snapshot: Arc::default(), version: 0 }
    }

    /// Immutable copy of the objects; its proof of freshness is not kept up to date.
    pub(super) fn snapshot(&self) -> Arc<ConfigView> {
        Arc::clone(&self.snapshot)
    }

    pub(super) fn validity(&self, now: Instant) -> ConfigValidity {
        self.doubt.validity(&self.view, now)
    }

    pub(super) const fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Highest version of an object that was applied.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.view.freshness().age(now)
    }

    pub(super) fn changes_since(&self, since: u64, now: Instant) -> Changes {
        self.view.changes_since(since, now)
    }

    pub(super) fn silent(&self, now: Instant) -> Vec<DataCentre> {
        self.doubt.silent(now)
    }

    pub(super) fn apply(&mut self, changes: Changes, since: u64, asked: Instant) -> BatchOutcome {
        let outcome = self.view.apply_all(changes, since, asked);
        // The objects of a first list can belong to a later revision than the list as a whole. Readers have to see
        // that the view became complete, although no object changes any more.
        let completed = self.snapshot.revision() == 0 && self.view.revision() > 0;
        if !outcome.updated.is_empty() || completed {
            self.snapshot = Arc::new(self.view.clone());
            let versions =
                outcome.updated.iter().map(|(kind, name)| self.view.version(*kind, name));
            self.version = versions.max().unwrap_or(0).max(self.version);
        }
        outcome
    }

    pub(super) fn merge_proof(
        &mut self,
        revision: u64,
        proof_age: Duration,
        asked: Instant,
    ) -> bool {
        self.view.merge_proof(revision, proof_age, asked)
    }

    pub(super) fn record_answer(
        &mut self,
        data_centre: &DataCentre,
        revision: u64,
        asked: Instant,
    ) {
        self.doubt.record_answer(data_centre, revision, asked);
    }
}

/// Whether a change touches the groups of databases.
pub(super) fn touches_databases(outcome: &BatchOutcome) -> bool {
    outcome.updated.iter().any(|(kind, _)| *kind == Kind::Database)
}
