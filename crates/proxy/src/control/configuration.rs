//! Keeps the configuration of an instance up to date, from the store or from the relays of a data centre.
//!
//! Two instances of each data centre are its relays: they watch the store, and the other instances request changes
//! from them. An instance that cannot reach its source requests changes from the relays of other data centres and,
//! after a random wait, from the store itself.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    config::{Change, Changes, Kind},
    membership::{InstanceInfo, InstanceState},
};
use smol::future::FutureExt;

use crate::{
    clock::sleep,
    node::Node,
    platform::{
        Backoff, ChangeType, PlatformClient, PlatformError, StoreEvent, StoredObject, random_up_to,
    },
    rpc::Rpc,
};

/// Longest time for which a watch of the store, or a request to a relay, waits for a change. It bounds the age of the
/// proof in the answer.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Longest delay between two calls of a relay to a store that does not answer. With two relays in each of four data
/// centres, the store then gets about 16 calls per second.
const MAX_RELAY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest wait before the next round when no source answered.
const ROUND_WAIT: Duration = Duration::from_millis(100);

/// Fetches changes of the configuration of `node` until the task is cancelled.
pub(crate) async fn run(node: Arc<Node>, platform: PlatformClient, rpc: Rpc) {
    let mut fetcher = ConfigFetcher {
        node,
        platform,
        rpc,
        can_watch: false,
        store_backoff: Backoff::default(),
        store_due: Instant::default(),
        store_available: None,
    };
    loop {
        fetcher.run_round().await;
    }
}

struct ConfigFetcher {
    node: Arc<Node>,
    platform: PlatformClient,
    rpc: Rpc,
    /// Whether a watch can resume from the present revision: the configuration is complete, and the store has not
    /// compacted the changes after the revision.
    can_watch: bool,
    store_backoff: Backoff,
    /// Time before which the store is not called again after a failure.
    store_due: Instant,
    /// Whether the last call to the store was answered, so that only changes are logged; `None` before the first call.
    store_available: Option<bool>,
}

impl ConfigFetcher {
    async fn run_round(&mut self) {
        let is_relay = self.is_relay();
        if is_relay && self.try_store().await {
            return;
        }
        if !is_relay && self.request_from_relays(true).await {
            return;
        }
        if self.request_from_relays(false).await {
            return;
        }
        if !is_relay && self.try_store().await {
            return;
        }
        let proof = self.node.proof_changed();
        let timer = sleep(ROUND_WAIT);
        proof.or(timer).await;
    }

    fn is_relay(&self) -> bool {
        let relays = self.node.peers().relays(self.node.data_centre());
        relays.contains(self.node.id()) || relays.is_empty()
    }

    /// Calls the store unless it failed recently; returns whether it answered.
    async fn try_store(&mut self) -> bool {
        if self.node.now() < self.store_due {
            return false;
        }
        let result = if self.can_watch { self.watch().await } else { self.list().await };
        match result {
            Ok(()) => {
                self.store_backoff.record_success();
                self.record_store_outcome(None);
                true
            }
            Err(PlatformError::Compacted) => {
                self.can_watch = false;
                true
            }
            Err(error) => {
                let wait = self.store_backoff.record_failure();
                let wait = if self.is_relay() {
                    wait.min(random_up_to(MAX_RELAY_RETRY_DELAY))
                } else {
                    wait
                };
                self.store_due = self.node.now().plus(wait);
                self.record_store_outcome(Some(&error));
                false
            }
        }
    }

    fn record_store_outcome(&mut self, error: Option<&PlatformError>) {
        let available = error.is_none();
        if self.store_available == Some(available) {
            return;
        }
        self.store_available = Some(available);
        match error {
            None => spdlog::info!("config: the store answers"),
            Some(error) => {
                self.node.metrics().count("config.store_failed");
                spdlog::warn!("config: the store does not answer: {error}");
            }
        }
    }

    async fn watch(&mut self) -> Result<(), PlatformError> {
        let since = self.node.config_revision();
        let sent = self.node.now();
        let answer = self.platform.watch(since, WATCH_WAIT).await?;
        let items = answer.events.iter().filter_map(event_change).collect();
        let changes = Changes {
            revision: answer.revision,
            proof_age: Some(Duration::ZERO),
            complete: false,
            items,
        };
        self.apply(changes, since, sent);
        Ok(())
    }

    /// Lists the objects of all kinds. Watches resume from the lowest revision of these lists.
    async fn list(&mut self) -> Result<(), PlatformError> {
        let sent = self.node.now();
        let mut revision = u64::MAX;
        let mut items = Vec::new();
        for kind in Kind::ALL {
            let listing = self.platform.list(kind.as_str()).await?;
            revision = revision.min(listing.revision);
            items.extend(listing.items.iter().map(|item| put_change(kind, item)));
        }
        let proof_age = Some(Duration::ZERO);
        let changes = Changes { revision, proof_age, complete: true, items };
        self.apply(changes, 0, sent);
        self.can_watch = true;
        Ok(())
    }

    /// Requests changes from the relays of this instance's data centre (`local`) or of the others, one after another,
    /// until one returns a configuration; returns whether one did.
    async fn request_from_relays(&mut self, local: bool) -> bool {
        for relay in self.relays(local) {
            let since = self.node.config_revision();
            let sent = self.node.now();
            match self.rpc.changes(&relay.rpc, since, WATCH_WAIT).await {
                Ok(changes) => {
                    let revision = changes.revision;
                    self.node.instance_answered(&relay.id);
                    self.apply(changes, since, sent);
                    self.node.data_centre_answered(&relay.data_centre, revision, sent);
                    // A relay without a configuration answers revision 0; other sources are then still tried.
                    if revision > 0 {
                        self.can_watch |= self.node.config_revision() > 0;
                        return true;
                    }
                }
                Err(error) => spdlog::debug!("config: {error}"),
            }
        }
        false
    }

    fn relays(&self, local: bool) -> Vec<InstanceInfo> {
        let peers = self.node.peers();
        let own = self.node.data_centre();
        let data_centres = self.node.settings().topology.iter().map(|entry| &entry.data_centre);
        let data_centres = data_centres.filter(|name| (*name == own) == local);
        let relays = data_centres.flat_map(|name| peers.relays(name));
        let infos = relays.filter_map(|id| peers.get(&id).cloned());
        infos
            .filter(|info| info.id != *self.node.id() && info.state == InstanceState::Live)
            .collect()
    }

    fn apply(&self, changes: Changes, since: u64, sent: Instant) {
        let outcome = self.node.apply_changes(changes, since, sent);
        for invalid in &outcome.invalid {
            spdlog::error!("config: {invalid}");
        }
        for (kind, name) in &outcome.updated {
            spdlog::info!("config: {kind}/{name} changed");
        }
    }
}

fn put_change(kind: Kind, object: &StoredObject) -> Change {
    Change::put(kind, &object.name, object.version, &object.value.to_string())
}

/// Converts an event of the store; `None` when the object's kind is not part of the configuration.
fn event_change(event: &StoreEvent) -> Option<Change> {
    let object = &event.object;
    let kind = object.kind.parse().ok()?;
    Some(match event.change {
        ChangeType::Put => put_change(kind, object),
        ChangeType::Delete => Change::delete(kind, &object.name, object.version),
    })
}
