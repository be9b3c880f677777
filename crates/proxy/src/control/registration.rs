//! Registration of the instance with the platform.

use std::{sync::Arc, time::Duration};

use smol::future::FutureExt;

use crate::{
    clock::sleep,
    node::Node,
    platform::{Backoff, PlatformClient, Registration, RegistrationState, random_up_to},
};

/// Average time between two registrations. They are repeated since the platform may lose its list of instances.
const RENEW_INTERVAL: Duration = Duration::from_secs(30);

/// Registers the instance periodically, and at once when it starts to drain.
pub(crate) async fn run(node: Arc<Node>, platform: PlatformClient) {
    let mut backoff = Backoff::default();
    loop {
        let drain = node.drain_started();
        let wait = match platform.register(&registration(&node)).await {
            Ok(()) => {
                backoff.record_success();
                RENEW_INTERVAL / 2 + random_up_to(RENEW_INTERVAL)
            }
            Err(error) => {
                spdlog::debug!("platform: registering the instance failed: {error}");
                backoff.record_failure()
            }
        };
        let timer = sleep(wait);
        if node.is_draining() {
            timer.await;
        } else {
            drain.or(timer).await;
        }
    }
}

fn registration(node: &Node) -> Registration {
    let instance = &node.settings().instance;
    let state =
        if node.is_draining() { RegistrationState::Leaving } else { RegistrationState::Live };
    Registration {
        id: instance.id.clone(),
        data_centre: instance.data_centre.clone(),
        rpc: instance.rpc.to_string(),
        health: instance.health.to_string(),
        state,
    }
}
