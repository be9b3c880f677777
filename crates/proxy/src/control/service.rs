//! Server side of the control calls between instances.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{config::Changes, membership::Heartbeat, name::MemberId};
use smol::future::FutureExt;

use super::{heartbeat::Confirmations, report};
use crate::{clock::sleep, node::Node, platform::PlatformClient, rpc::ControlService};

/// Longest wait for a change that is granted to a caller of `changes`.
const MAX_CHANGES_WAIT: Duration = Duration::from_secs(5);

/// Answers the control calls of other instances from the state of this one.
#[derive(Debug, Clone)]
pub struct ControlHandler {
    node: Arc<Node>,
    platform: PlatformClient,
    confirmations: Arc<Confirmations>,
}

impl ControlHandler {
    /// Creates the handler of `node`; received heartbeats are recorded in `confirmations`.
    pub const fn new(
        node: Arc<Node>,
        platform: PlatformClient,
        confirmations: Arc<Confirmations>,
    ) -> Self {
        Self { node, platform, confirmations }
    }
}

impl ControlService for ControlHandler {
    fn heartbeat(&self, beat: &Heartbeat) -> Heartbeat {
        self.confirmations.record(beat);
        self.node.receive_heartbeat(beat);
        self.node.heartbeat(&beat.sender.id)
    }

    async fn changes(&self, since: u64, wait: Duration) -> Changes {
        let until = self.node.now().plus(wait.min(MAX_CHANGES_WAIT));
        loop {
            let proof = self.node.proof_changed();
            let left = until.since(self.node.now());
            if self.node.config_revision() > since || left.is_zero() {
                return self.node.changes_since(since);
            }
            let timer = sleep(left);
            proof.or(timer).await;
        }
    }

    fn handed_over(&self, member: &MemberId) {
        let lease = self.node.lease_or_new(member);
        lease.announce_handover(self.node.now());
        spdlog::info!("home: member {member} is handed over to this instance");
    }

    fn status(&self) -> String {
        report::status(&self.node, &self.platform).to_string()
    }
}
