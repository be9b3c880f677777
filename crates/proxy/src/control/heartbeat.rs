//! Heartbeats between instances, and the platform's list of instances as the seed of the membership.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    membership::{Heartbeat, InstanceInfo, InstanceState, StateChange},
    name::InstanceId,
};

use crate::{
    clock::sleep,
    node::{Node, lock},
    platform::{PlatformClient, Registration, RegistrationState, random_up_to},
    rpc::{Rpc, RpcError},
};

/// Time between two heartbeats to the same instance.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Average time between two reads of the platform's list while other instances are known.
const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Average time between two reads of the platform's list while no other instance is known.
const ISOLATED_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which an instance that failed without leaving is still listed, so that it counts as not having confirmed.
///
/// It covers the time for which such an instance may serve its old configuration when it is only cut off from others.
const DEAD_RETENTION: Duration = Duration::from_secs(10);

/// Configuration revisions that other instances confirmed in their heartbeats.
#[derive(Debug, Default)]
pub struct Confirmations {
    state: Mutex<ConfirmationState>,
}

#[derive(Debug, Default)]
struct ConfirmationState {
    revisions: BTreeMap<InstanceId, u64>,
    /// Time at which an instance was marked as dead without having left before.
    died_at: BTreeMap<InstanceId, Instant>,
}

impl Confirmations {
    /// Records that the sender of `beat` applied every change up to the revision in it.
    pub fn record(&self, beat: &Heartbeat) {
        let mut state = lock(&self.state);
        state.revisions.insert(beat.sender.id.clone(), beat.revision);
        state.died_at.remove(&beat.sender.id);
    }

    /// Revision that `id` confirmed last; 0 when it has confirmed none.
    pub fn revision(&self, id: &InstanceId) -> u64 {
        lock(&self.state).revisions.get(id).copied().unwrap_or(0)
    }

    /// Whether `id` failed without leaving so recently that it may still serve its last configuration.
    pub fn failed_recently(&self, id: &InstanceId, now: Instant) -> bool {
        let state = lock(&self.state);
        state.died_at.get(id).is_some_and(|died_at| now.since(*died_at) < DEAD_RETENTION)
    }

    fn record_change(&self, change: &StateChange, now: Instant) {
        let mut state = lock(&self.state);
        let id = &change.instance.id;
        let left = change.before == Some(InstanceState::Leaving);
        match change.instance.state {
            InstanceState::Dead if !left => {
                state.died_at.insert(id.clone(), now);
            }
            InstanceState::Dead => {
                state.revisions.remove(id);
            }
            InstanceState::Live | InstanceState::Suspected | InstanceState::Leaving => {}
        }
        state.died_at.retain(|_, died_at| now.since(*died_at) < DEAD_RETENTION);
    }
}

/// Sends heartbeats until the task is cancelled.
pub(crate) async fn run(node: Arc<Node>, rpc: Rpc, confirmations: Arc<Confirmations>) {
    sleep(random_up_to(HEARTBEAT_INTERVAL)).await;
    loop {
        for change in node.tick_membership() {
            log_change(&change);
            confirmations.record_change(&change, node.now());
        }
        for target in targets(&node) {
            let send =
                send_heartbeat(Arc::clone(&node), rpc.clone(), Arc::clone(&confirmations), target);
            smol::spawn(send).detach();
        }
        for seed in unknown_seeds(&node) {
            smol::spawn(contact_seed(Arc::clone(&node), rpc.clone(), seed)).detach();
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn log_change(change: &StateChange) {
    let InstanceInfo { id, data_centre, state, .. } = &change.instance;
    match change.before {
        Some(before) => {
            spdlog::info!("membership: instance {id} in {data_centre}: {before} -> {state}");
        }
        None => spdlog::info!("membership: instance {id} in {data_centre} is {state}"),
    }
}

/// The heartbeat targets of the membership, and the relays of this instance's data centre, which collect the
/// confirmations.
fn targets(node: &Node) -> Vec<InstanceInfo> {
    let mut targets = node.heartbeat_targets();
    let peers = node.peers();
    for id in peers.relays(node.data_centre()) {
        let skipped = targets.iter().any(|target| target.id == id) || id == *node.id();
        if let Some(info) = peers.get(&id).filter(|_| !skipped) {
            targets.push(info.clone());
        }
    }
    targets
}

async fn send_heartbeat(
    node: Arc<Node>,
    rpc: Rpc,
    confirmations: Arc<Confirmations>,
    target: InstanceInfo,
) {
    let sent = node.now();
    let beat = node.heartbeat(&target.id);
    match rpc.heartbeat(&target.rpc, beat).await {
        Ok(answer) => apply_answer(&node, &answer, &confirmations, sent),
        Err(error) => {
            spdlog::debug!("membership: {error}");
            if let RpcError::NotSent { .. } = error {
                node.instance_unreachable(&target.id);
            }
        }
    }
}

/// Applies the answer to a heartbeat that was sent at `sent`.
fn apply_answer(node: &Node, answer: &Heartbeat, confirmations: &Confirmations, sent: Instant) {
    confirmations.record(answer);
    node.receive_heartbeat(answer);
    node.data_centre_answered(&answer.sender.data_centre, answer.revision, sent);
    if let Some(age) = answer.proof_age {
        node.merge_proof(answer.revision, age, sent);
    }
}

/// Seed addresses from the settings at which no live instance is known.
fn unknown_seeds(node: &Node) -> Vec<Arc<str>> {
    let peers = node.peers();
    let live: HashSet<&str> = peers
        .iter()
        .filter(|info| info.state == InstanceState::Live)
        .map(|info| &*info.rpc)
        .collect();
    let seeds = node.settings().instance.seeds.iter().map(|seed| Arc::from(seed.to_string()));
    seeds.filter(|seed: &Arc<str>| !live.contains(&**seed)).collect()
}

async fn contact_seed(node: Arc<Node>, rpc: Rpc, address: Arc<str>) {
    // The id of the instance at a seed address is not known. With this instance's own id, the heartbeat contains no
    // report about its receiver.
    let beat = node.heartbeat(node.id());
    if let Ok(answer) = rpc.heartbeat(&address, beat).await {
        node.receive_heartbeat(&answer);
    }
}

/// Reads the platform's list periodically; more often while no other instance is known.
pub(crate) async fn seed(node: Arc<Node>, platform: PlatformClient) {
    loop {
        if let Ok(listed) = platform.instances().await {
            node.seed_instances(listed.into_iter().map(listed_instance).collect());
        }
        let isolated = node.peers().others().next().is_none();
        let interval = if isolated { ISOLATED_LIST_INTERVAL } else { LIST_INTERVAL };
        sleep(interval / 2 + random_up_to(interval)).await;
    }
}

pub(super) fn listed_instance(listed: Registration) -> InstanceInfo {
    let mut info = InstanceInfo::new(listed.id.as_str(), listed.data_centre.as_str(), &listed.rpc);
    if listed.state == RegistrationState::Leaving {
        info.state = InstanceState::Leaving;
    }
    info
}
