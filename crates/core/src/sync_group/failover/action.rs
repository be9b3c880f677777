//! What the owner of a failover has to do.

use crate::{
    name::MemberId,
    position::Term,
    sync_group::{ClaimGrant, Demand, PromotionRecord},
};

/// Claim that was granted for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedClaim {
    /// Generation number and end of the claim.
    pub grant: ClaimGrant,
    /// Whether an earlier claim was made for the same term or a later one, or may have been and is lost. Other instances may
    /// have confirmed that term for the earlier attempt, and have got new leadership proofs since.
    pub repeats_term: bool,
    /// Latest promotion that was recorded with a claim for the group; `None` when there was none.
    pub latest: Option<PromotionRecord>,
    /// Whether the store has lost data, so that a later promotion may have been recorded.
    pub may_lack_records: bool,
}

/// Action that the owner of a [`Failover`](super::Failover) has to take.
///
/// Commands and promotions are sent only while [`Failover::grant`](super::Failover::grant) is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailoverAction {
    /// Claim the failover of the group, and report the answer with [`Failover::claimed`](super::Failover::claimed).
    Claim {
        /// Term that the replicas are going to hold.
        term: Term,
    },
    /// Command a replica to hold a term, so that it receives no log from primaries of lower terms.
    Hold {
        /// Replica that does not hold the term yet.
        member: MemberId,
        /// Term to hold; higher than all terms that were known when the attempt started.
        term: Term,
    },
    /// Command a primary to become a replica.
    Demote {
        /// Member that reports itself as primary of the replaced term or an earlier one.
        member: MemberId,
        /// Higher term than that of the member.
        term: Term,
    },
    /// Renew the claim, unless another instance has claimed meanwhile, and report the answer with
    /// [`Failover::renewed`](super::Failover::renewed).
    Renew {
        /// Promotion to record with the claim; `None` to keep the latest one.
        promotion: Option<PromotionRecord>,
    },
    /// Promote a replica to primary of the next term.
    Promote {
        /// The replica with the longest log.
        member: MemberId,
        /// The renewed claim.
        grant: ClaimGrant,
    },
    /// The group needs no other primary: members that held a term without need are being released.
    Repaired,
    /// Command a replica to receive the log of lower-term primaries again.
    Resume {
        /// Replica that still holds the term of the attempt.
        member: MemberId,
    },
    /// The attempt ended.
    Ended {
        /// Whether a primary of a newer term answers.
        replaced: bool,
    },
}

impl From<(MemberId, Demand)> for FailoverAction {
    fn from((member, demand): (MemberId, Demand)) -> Self {
        match demand {
            Demand::Hold(term) => Self::Hold { member, term },
            Demand::Demote(term) => Self::Demote { member, term },
        }
    }
}
