//! Announcement of a handover to the next home of a member.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    name::{Database, MemberId},
    share::HandedOverShare,
};
use smol::future::FutureExt;

use crate::{clock::sleep, home::Homes, node::Node, rpc::Rpc};

/// Longest wait for the successor's answer; the lock is released afterwards in any case.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Notifies the next home of a member that this instance no longer uses its lease, and passes the shares on.
#[derive(Debug, Clone)]
pub(super) struct Handover {
    pub(super) node: Arc<Node>,
    pub(super) rpc: Rpc,
    pub(super) homes: Arc<Homes>,
}

impl Handover {
    /// Ends the shares of `member` and returns their contents; called while the lease is still usable.
    pub(super) fn end_shares(&self, member: &MemberId) -> Vec<HandedOverShare> {
        self.homes.hand_over(member)
    }

    /// Sends `shares` to the successor and waits at most [`ANNOUNCE_TIMEOUT`] for its answer.
    pub(super) async fn announce(
        &self,
        database: &Database,
        member: &MemberId,
        shares: Vec<HandedOverShare>,
    ) {
        let Some(successor) = self.node.home_of(database, member) else { return };
        if successor.id == *self.node.id() {
            return;
        }
        let call = async {
            let answer = self.rpc.hand_over(&successor.rpc, member, shares).await;
            if let Err(error) = answer {
                spdlog::debug!("home: the handover of member {member} was not confirmed: {error}");
            }
        };
        let timeout = sleep(ANNOUNCE_TIMEOUT);
        call.or(timeout).await;
    }
}
