//! Database groups whose primary acknowledges a commit only after a replica has received it.
//!
//! Nothing reports the failure of a primary, and a replaced primary keeps answering reads. Two rules make a change of
//! primary safe. A replica that holds a higher term receives nothing more from the old primary, so once all replicas
//! hold it, the old primary acknowledges no commit. And an instance reads at a primary only with a leadership proof
//! from within [`PROOF_WINDOW`]: answers of both the primary and a replica that holds no higher term, or an
//! acknowledged commit, which shows both. The instance that replaces the primary waits for this window after the
//! last replica holds the term, or until all instances have confirmed that they discarded their proofs.
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
//! view.set_members(["a", "b"].map(|name| (MemberId::from(name), None)), start);
//! view.observe(&"a".into(), status(Role::Primary), start);
//! assert_eq!(view.leader_proven_until(start), None);
//! view.observe(&"b".into(), status(Role::Replica), start);
//! assert_eq!(view.leader_proven_until(start), Some(start.plus(PROOF_WINDOW)));
//! ```

mod acknowledged;
mod claim;
mod departures;
mod failover;
mod leader;
mod listed_member;
mod member;
mod orphan;
mod promotion_record;
mod promotion_rule;
mod status;
mod trigger;
mod view;

use std::time::Duration;

pub use self::{
    claim::{
        CLAIM_VALIDITY, ClaimGrant, MAX_PROMOTION_TIME, PreviousClaim, TAKEOVER_DELAY,
        generation_era, may_claim, may_take_over, next_generation, record_generation,
    },
    failover::{Failover, FailoverAction, GrantedClaim},
    leader::{Leader, LeaderInfo, LeaderPosition},
    listed_member::ListedMember,
    orphan::OrphanDetector,
    promotion_record::{PromotionRecord, PromotionRecords, RecordedPromotion},
    promotion_rule::{Demand, PromotionRule, Stop, Verdict},
    status::{MemberStatus, Role},
    trigger::Trigger,
    view::GroupView,
};

/// Time for which a leadership proof is valid, from when its request was sent.
///
/// It covers the interval of polls, a message between instances and one lost poll. The write gap of a failover is at
/// least this long when an instance does not confirm that it discarded its proofs.
pub const PROOF_WINDOW: Duration = Duration::from_millis(1300);

/// Time without an answer after which a primary is suspected.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which an instance's announcement that it replaces a primary blocks writes to that primary; it covers four
/// of the messages that repeat the announcement.
pub const FENCE_TTL: Duration = Duration::from_millis(1000);

/// Time after which the owner of a failover gives up a command without an answer, and withdraws it if it has not been delivered.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of logs that may be unknown at a promotion, because each acknowledged commit is in two: those of the primary and of
/// one replica.
const MAX_UNKNOWN_LOGS: usize = 1;

/// Longest time since an instance heard that the replicas hold a term for which it confirms this to others.
const CONFIRMATION_AGE: Duration = Duration::from_millis(500);

/// Time for which an instance passes on no acknowledgement of a replaced term after it last heard that the replicas hold
/// a higher one. It covers the time that a message may be old, and the time that a promotion takes.
pub const BARRIER_TTL: Duration = Duration::from_millis(2500);
