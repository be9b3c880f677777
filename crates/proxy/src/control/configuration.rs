//! Keeps the configuration recent: from the store as a relay, else from relays.
//!
//! Two relays of each data centre watch the store; all others ask them. A task that cannot reach its source
//! asks the relays of other data centres and, after a random wait, the store itself.

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

/// Longest wait of a watch, which bounds the age of its proof.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Longest wait of a relay between two calls to a store that does not answer. Two relays in each of four data
/// centres make about 16 calls a second then.
const RELAY_RETRY: Duration = Duration::from_secs(1);

/// Wait before the next round when no source answered.
const ROUND_WAIT: Duration = Duration::from_millis(100);

/// Keeps the configuration of `node` recent.
pub(crate) async fn run(node: Arc<Node>, platform: PlatformClient, rpc: Rpc) {
    let mut source = Source {
        node,
        platform,
        rpc,
        listed: false,
        store_backoff: Backoff::default(),
        store_due: Instant::default(),
        store_available: None,
    };
    loop {
        source.round().await;
    }
}

struct Source {
    node: Arc<Node>,
    platform: PlatformClient,
    rpc: Rpc,
    /// Whether the store was listed, so that a watch can resume.
    listed: bool,
    store_backoff: Backoff,
    /// Time before which the store is not tried again.
    store_due: Instant,
    /// Outcome of the last call to the store, to log changes only.
    store_available: Option<bool>,
}

impl Source {
    async fn round(&mut self) {
        let is_relay = self.is_relay();
        if is_relay && self.try_store().await {
            return;
        }
        if !is_relay && self.ask_relays(true).await {
            return;
        }
        if self.ask_relays(false).await {
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

    /// Calls the store if it is due; returns whether it answered.
    async fn try_store(&mut self) -> bool {
        if self.node.now() < self.store_due {
            return false;
        }
        let result = if self.listed { self.watch().await } else { self.list().await };
        match result {
            Ok(()) => {
                self.store_backoff.record_success();
                self.note_store(None);
                true
            }
            Err(PlatformError::Compacted) => {
                self.listed = false;
                true
            }
            Err(error) => {
                let wait = self.store_backoff.record_failure();
                let wait = if self.is_relay() { wait.min(random_up_to(RELAY_RETRY)) } else { wait };
                self.store_due = self.node.now().plus(wait);
                self.note_store(Some(&error));
                false
            }
        }
    }

    fn note_store(&mut self, error: Option<&PlatformError>) {
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
        let asked = self.node.now();
        let answer = self.platform.watch(since, WATCH_WAIT).await?;
        let items = answer.events.iter().filter_map(event_change).collect();
        let changes = Changes {
            revision: answer.revision,
            proof_age: Some(Duration::ZERO),
            complete: false,
            items,
        };
        self.apply(changes, since, asked);
        Ok(())
    }

    /// Lists all kinds; the oldest of their revisions is the one to resume from.
    async fn list(&mut self) -> Result<(), PlatformError> {
        let asked = self.node.now();
        let mut revision = u64::MAX;
        let mut items = Vec::new();
        for kind in Kind::ALL {
            let listing = self.platform.list(kind.as_str()).await?;
            revision = revision.min(listing.revision);
            items.extend(listing.items.iter().map(|item| put_change(kind, item)));
        }
        let proof_age = Some(Duration::ZERO);
        let changes = Changes { revision, proof_age, complete: true, items };
        self.apply(changes, 0, asked);
        self.listed = true;
        Ok(())
    }

    /// Asks relays in turn; returns whether one answered.
    async fn ask_relays(&mut self, local: bool) -> bool {
        for relay in self.relays(local) {
            let since = self.node.config_revision();
            let asked = self.node.now();
            match self.rpc.changes(&relay.rpc, since, WATCH_WAIT).await {
                Ok(changes) => {
                    let revision = changes.revision;
                    self.node.instance_heard(&relay.id);
                    self.apply(changes, since, asked);
                    self.node.data_centre_answered(&relay.data_centre, revision, asked);
                    // An answer without any configuration is no reason to pass over other sources.
                    if revision > 0 {
                        self.listed |= self.node.config_revision() > 0;
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
        let places = self.node.settings().topology.iter().map(|place| &place.data_centre);
        let places = places.filter(|place| (*place == own) == local);
        let relays = places.flat_map(|place| peers.relays(place));
        let infos = relays.filter_map(|id| peers.get(&id).cloned());
        infos
            .filter(|info| info.id != *self.node.id() && info.state == InstanceState::Live)
            .collect()
    }

    fn apply(&self, changes: Changes, since: u64, asked: Instant) {
        let outcome = self.node.apply_changes(changes, since, asked);
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

/// The change of an event; objects of other kinds are no configuration.
fn event_change(event: &StoreEvent) -> Option<Change> {
    let object = &event.object;
    let kind = object.kind.parse().ok()?;
    Some(match event.change {
        ChangeType::Put => put_change(kind, object),
        ChangeType::Delete => Change::delete(kind, &object.name, object.version),
    })
}
