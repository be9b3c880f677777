//! Answers the control calls of other instances.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{config::Changes, membership::Heartbeat, name::MemberId};
use smol::future::FutureExt;

use super::{calls::HandedBucket, heartbeat::Confirmations, report};
use crate::{clock::sleep, node::Node, platform::PlatformClient};

/// Longest wait that a caller of `changes` may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Answers the control calls of other instances.
#[derive(Debug, Clone)]
pub struct ControlService {
    node: Arc<Node>,
    platform: PlatformClient,
    confirmations: Arc<Confirmations>,
}

impl ControlService {
    /// Creates the service of `node`.
    pub const fn new(
        node: Arc<Node>,
        platform: PlatformClient,
        confirmations: Arc<Confirmations>,
    ) -> Self {
        Self { node, platform, confirmations }
    }

    /// Takes a heartbeat and returns the answer to it.
    pub fn heartbeat(&self, beat: &Heartbeat) -> Heartbeat {
        self.confirmations.record(beat);
        self.node.receive_heartbeat(beat);
        self.node.heartbeat(&beat.sender.id)
    }

    /// The changes since a revision, when there are any or after `wait`.
    pub async fn changes(&self, since: u64, wait: Duration) -> Changes {
        let until = self.node.now().plus(wait.min(LONGEST_WAIT));
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

    /// Takes over a member whose former home no longer uses its lease.
    pub fn hand_over(&self, member: &MemberId, _buckets: &[HandedBucket]) -> bool {
        let lease = self.node.lease_or_new(member);
        lease.announce_handover(self.node.now());
        spdlog::info!("home: member {member} is handed over to this instance");
        true
    }

    /// Status of the instance as JSON.
    pub fn status(&self) -> String {
        report::status(&self.node, &self.platform).to_string()
    }
}
