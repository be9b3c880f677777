//! Database groups whose primary acknowledges a commit only after a replica has received it.
//!
//! Nobody reports that a primary has died, and a replaced primary keeps answering reads. Two facts make a change of
//! primary safe. A replica that was told to hold a higher term receives nothing more from the old primary, so once
//! all replicas hold, the old primary acknowledges no commit. And an instance reads at a primary only while it has
//! seen, within [`PROOF_WINDOW`], both the primary in office and a replica that holds no higher term, or an acknowledged
//! commit, which shows both. Whoever replaces the primary waits this long after the last replica holds, or until all
//! instances have confirmed that they discarded such proofs.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     name::MemberId,
//!     position::{Lsn, Position, Term},
//!     sync_group::{GroupView, MemberStatus, PROOF_WINDOW, Role},
//! };
//!
//! let start = Instant::default();
//! let status = |role| MemberStatus {
//!     role,
//!     term: Term(1),
//!     received: Position::new(Term(1), Lsn(7)),
//!     held: Term(0),
//!     lag: Duration::ZERO,
//!     connections: 2,
//! };
//! let mut view = GroupView::default();
//! view.set_members(["a", "b"].map(|name| (MemberId::from(name), None)));
//! view.observe(&"a".into(), status(Role::Primary), start);
//! assert_eq!(view.leader_proven_until(start), None);
//! view.observe(&"b".into(), status(Role::Replica), start);
//! assert_eq!(view.leader_proven_until(start), Some(start.plus(PROOF_WINDOW)));
//! ```

mod failover;
mod status;
mod view;

use std::time::Duration;

pub use self::{
    failover::{Failover, FailoverAction, Trigger},
    status::{MemberStatus, Role},
    view::{GroupView, Leader, LeaderInfo, LeaderPosition},
};

/// Time for which an answer about the primary's office counts, from when its question was sent.
///
/// It covers the interval of polls, a message between instances and one lost poll, and bounds the gap of a failover
/// from below when an instance cannot be asked to discard its proofs.
pub const PROOF_WINDOW: Duration = Duration::from_millis(1300);

/// Time without an answer after which a primary is suspected.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which the word of an instance that it replaces a primary stops writes there; four of its messages.
pub const FENCE_TTL: Duration = Duration::from_millis(1000);
