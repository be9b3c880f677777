//! Announcement of a handover to the next home.

use hibiscusladder_core::name::{Database, MemberId};

/// Tells the next home of a member that this instance no longer uses its lease.
pub trait Handover: Clone + Send + Sync + 'static {
    /// Announces the handover and waits for the answer of the successor, for a bounded time.
    fn announce(&self, database: &Database, member: &MemberId) -> impl Future<Output = ()> + Send;
}
