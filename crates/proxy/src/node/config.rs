//! The instance's copy of the configuration, and the decision whether requests may be served with it.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    config::{BatchOutcome, Changes, ConfigValidity, ConfigView, FreshnessPolicy, Kind},
    name::DataCentre,
};

use crate::settings::Settings;

/// Configuration objects with the evidence of how recent they are.
#[derive(Debug)]
pub(super) struct ConfigState {
    view: ConfigView,
    freshness: FreshnessPolicy,
    snapshot: Arc<ConfigView>,
    version: u64,
}

impl ConfigState {
    pub(super) fn new(settings: &Settings) -> Self {
        let data_centres = settings.topology.iter().map(|entry| entry.data_centre.clone());
        let freshness = FreshnessPolicy::new(settings.instance.data_centre.clone(), data_centres)
            .max_config_age(settings.times.max_config_age);
        Self { view: ConfigView::default(), freshness, snapshot: Arc::default(), version: 0 }
    }

    /// Immutable copy of the objects; the proof of freshness in it is not updated.
    pub(super) fn snapshot(&self) -> Arc<ConfigView> {
        Arc::clone(&self.snapshot)
    }

    pub(super) fn validity(&self, now: Instant) -> ConfigValidity {
        self.freshness.validity(&self.view, now)
    }

    pub(super) const fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// Highest version among the objects that were applied.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn proof_age(&self, now: Instant) -> Option<Duration> {
        self.view.freshness().age(now)
    }

    pub(super) fn changes_since(&self, since: u64, now: Instant) -> Changes {
        self.view.changes_since(since, now)
    }

    pub(super) fn unresponsive_data_centres(&self, now: Instant) -> Vec<DataCentre> {
        self.freshness.unresponsive_data_centres(now)
    }

    pub(super) fn apply(&mut self, changes: Changes, since: u64, sent: Instant) -> BatchOutcome {
        let outcome = self.view.apply_all(changes, since, sent);
        // The first list can contain objects of later revisions than its own. The snapshot then has to be replaced
        // when the revision arrives, although no object changes, so that readers see a complete configuration.
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
        sent: Instant,
    ) -> bool {
        self.view.merge_proof(revision, proof_age, sent)
    }

    pub(super) fn record_answer(&mut self, data_centre: &DataCentre, revision: u64, sent: Instant) {
        self.freshness.record_answer(data_centre, revision, sent);
    }
}

/// Whether a batch changed a database record, so that the groups have to be updated.
pub(super) fn affects_databases(outcome: &BatchOutcome) -> bool {
    outcome.updated.iter().any(|(kind, _)| *kind == Kind::Database)
}
