//! Warm-up of an instance that starts while other instances are live.
//!
//! A process does not know the earlier divisions of the contracts in its first configuration, which other homes may
//! still use, so it uses no share of these contracts for [`DIVISION_GRACE`]. If the instance became home of a member at
//! once, requests to the member would be refused for that time after every restart. Until the time has passed, the
//! instance therefore serves clients but is not chosen as home, unless no other instance is live.

use std::sync::Arc;

use hibiscusladder_core::share::DIVISION_GRACE;
use smol::future::FutureExt;

use super::heartbeat::listed_instance;
use crate::{
    clock::sleep,
    node::Node,
    platform::{PlatformClient, RegistrationState},
};

/// Waits until the instance may become home or starts to drain.
pub(crate) async fn run(node: &Arc<Node>, platform: &PlatformClient) {
    if !seed_live_instances(node, platform).await {
        return;
    }
    while node.config_revision() == 0 {
        node.proof_changed().or(node.drain_started()).await;
        if node.is_draining() {
            return;
        }
    }
    spdlog::info!("membership: warming up; may become home in {} s", DIVISION_GRACE.as_secs());
    sleep(DIVISION_GRACE).or(node.drain_started()).await;
}

/// Adds the other live instances that the platform lists to the membership; returns whether there are any, and false
/// when the platform does not answer.
async fn seed_live_instances(node: &Node, platform: &PlatformClient) -> bool {
    let Ok(listed) = platform.instances().await else { return false };
    let others = listed.into_iter().filter(|listed| listed.id != *node.id());
    let live = others.filter(|listed| listed.state == RegistrationState::Live);
    let infos: Vec<_> = live.map(listed_instance).collect();
    let found = !infos.is_empty();
    node.seed_instances(infos);
    found
}
