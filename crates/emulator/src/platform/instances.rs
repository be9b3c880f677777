//! Registrations of instances and the list of instances, which lags behind them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Registration of an instance, with the addresses of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Registration {
    /// Accepted and ignored, so that an item of the list can be sent back unchanged.
    #[serde(default, skip_serializing)]
    id: Option<String>,
    data_centre: String,
    rpc: String,
    health: String,
    state: InstanceState,
}

/// Whether an instance serves requests or drains before it stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum InstanceState {
    Live,
    Leaving,
}

/// One item of the list of instances.
#[derive(Debug, Serialize)]
pub(crate) struct ListedInstance {
    id: String,
    #[serde(flatten)]
    registration: Registration,
}

/// The list of instances.
#[derive(Debug, Serialize)]
pub(crate) struct InstanceList {
    items: Vec<ListedInstance>,
}

/// A change that appears in the list at `due`; without a registration, it removes the instance.
#[derive(Debug)]
struct PendingChange {
    due: Instant,
    registration: Option<Registration>,
}

#[derive(Debug)]
struct Instance {
    listed: Option<Registration>,
    pending: VecDeque<PendingChange>,
    last_healthy: Instant,
}

impl Instance {
    fn latest(&self) -> Option<&Registration> {
        self.pending.back().map_or(self.listed.as_ref(), |pending| pending.registration.as_ref())
    }

    fn apply_due(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|pending| pending.due <= now) {
            if let Some(pending) = self.pending.pop_front() {
                self.listed = pending.registration;
            }
        }
    }
}

/// Registered instances, with changes that are not listed yet.
#[derive(Debug)]
pub(crate) struct InstanceRegistry {
    instances: BTreeMap<String, Instance>,
    lag: Duration,
    health_timeout: Duration,
}

impl InstanceRegistry {
    /// Creates an empty registry whose list shows changes after `lag` and omits instances that were not healthy for
    /// `health_timeout`.
    pub(crate) const fn new(lag: Duration, health_timeout: Duration) -> Self {
        Self { instances: BTreeMap::new(), lag, health_timeout }
    }

    /// Registers an instance, or removes it when `registration` is `None`.
    pub(crate) fn register(&mut self, id: &str, registration: Option<Registration>, now: Instant) {
        let entry = self.instances.entry(id.to_owned());
        let instance = entry.or_insert_with(|| Instance {
            listed: None,
            pending: VecDeque::new(),
            last_healthy: now,
        });
        instance.last_healthy = now;
        instance.pending.push_back(PendingChange { due: now + self.lag, registration });
    }

    /// The instances that are listed at `now`.
    pub(crate) fn list(&mut self, now: Instant) -> InstanceList {
        let mut items = Vec::new();
        for (id, instance) in &mut self.instances {
            instance.apply_due(now);
            let healthy = now.duration_since(instance.last_healthy) <= self.health_timeout;
            let listed = instance.listed.clone().filter(|_| healthy);
            items
                .extend(listed.map(|registration| ListedInstance { id: id.clone(), registration }));
        }
        self.instances
            .retain(|_, instance| instance.listed.is_some() || !instance.pending.is_empty());
        InstanceList { items }
    }

    /// Instance ids with the health addresses that were registered last.
    pub(crate) fn health_addresses(&self) -> Vec<(String, String)> {
        let latest =
            self.instances.iter().filter_map(|(id, instance)| Some((id, instance.latest()?)));
        latest.map(|(id, registration)| (id.clone(), registration.health.clone())).collect()
    }

    /// Records that the health address of `id` accepted a connection.
    pub(crate) fn record_healthy(&mut self, id: &str, now: Instant) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.last_healthy = now;
        }
    }
}
