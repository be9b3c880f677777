//! Announcement of a handover to the next home.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::name::{Database, MemberId};
use smol::future::FutureExt;

use crate::{clock::sleep, node::Node, rpc::Rpc};

/// Longest wait for the successor's answer; the lock is released then anyway.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells the next home of a member that this instance no longer uses its lease.
#[derive(Debug, Clone)]
pub(super) struct Handover {
    pub(super) node: Arc<Node>,
    pub(super) rpc: Rpc,
}

impl Handover {
    /// Announces the handover and waits for the successor's answer for a bounded time.
    pub(super) async fn announce(&self, database: &Database, member: &MemberId) {
        let Some(successor) = self.node.home_of(database, member) else { return };
        if successor.id == *self.node.id() {
            return;
        }
        let call = async {
            let answer = self.rpc.hand_over(&successor.rpc, member, Vec::new()).await;
            if let Err(error) = answer {
                spdlog::debug!("home: handover of {member}: {error}");
            }
        };
        let late = sleep(ANNOUNCE_TIMEOUT);
        call.or(late).await;
    }
}
