//! Calls from the control tasks to other instances.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    config::Changes,
    membership::Heartbeat,
    name::{MemberId, Workspace},
    share::{Loan, LoanRequest},
};
use thiserror::Error;

/// Longest time of a call, without the wait of a long poll.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to another instance failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the instance at {address} did not answer: {reason}")]
pub struct CallError {
    /// Address of the instance.
    pub address: Arc<str>,
    /// What went wrong.
    pub reason: String,
}

/// Tokens of a workspace that a home hands over.
#[derive(Debug, Clone, PartialEq)]
pub struct HandedBucket {
    /// The workspace.
    pub workspace: Workspace,
    /// Tokens that were left.
    pub tokens: f64,
}

/// Calls to other instances, addressed as `host:port`. Every call ends within a bounded time.
pub trait PeerCalls: Clone + Send + Sync + 'static {
    /// Exchanges heartbeats.
    fn heartbeat(
        &self,
        address: &str,
        beat: Heartbeat,
    ) -> impl Future<Output = Result<Heartbeat, CallError>> + Send;

    /// Asks for the changes of the configuration since a revision, at the latest after `wait`.
    fn changes(
        &self,
        address: &str,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, CallError>> + Send;

    /// Announces that the caller is no longer home of a member.
    fn hand_over(
        &self,
        address: &str,
        member: &MemberId,
        buckets: Vec<HandedBucket>,
    ) -> impl Future<Output = Result<bool, CallError>> + Send;

    /// Asks the home of other members for loans; a request that gets none is left out of the answer.
    fn borrow_shares(
        &self,
        address: &str,
        requests: Vec<LoanRequest>,
    ) -> impl Future<Output = Result<Vec<Loan>, CallError>> + Send;
}
