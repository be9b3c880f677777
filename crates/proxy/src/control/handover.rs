//! Announcement of a handover to the next home.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    name::{Database, MemberId},
    share::HandOver,
};
use smol::future::FutureExt;

use crate::{clock::sleep, home::Homes, node::Node, rpc::Rpc};

/// Longest wait for the successor's answer; the lock is released then anyway.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells the next home of a member that this instance no longer uses its lease.
#[derive(Debug, Clone)]
pub(super) struct Handover {
    pub(super) node: Arc<Node>,
    pub(super) rpc: Rpc,
    pub(super) homes: Arc<Homes>,
}

impl Handover {
    /// Ends the shares of `member`, as long as the lease can be used.
    pub(super) fn end_shares(&self, member: &MemberId) -> Vec<HandOver> {
        self.homes.hand_over(member)
    }

    /// Announces the handover with `buckets` and waits for the successor's answer for a bounded time.
    pub(super) async fn announce(
        &self,
        database: &Database,
        member: &MemberId,
        buckets: Vec<HandOver>,
    ) {
        let Some(successor) = self.node.home_of(database, member) else { return };
        if successor.id == *self.node.id() {
            return;
        }
        let call = async {
            let answer = self.rpc.hand_over(&successor.rpc, member, buckets).await;
            if let Err(error) = answer {
                spdlog::debug!("home: handover of {member}: {error}");
            }
        };
        let late = sleep(ANNOUNCE_TIMEOUT);
        call.or(late).await;
    }
}
