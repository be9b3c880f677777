//! Events that a promotion takes and actions that it returns.

use crate::{
    clock::Instant,
    name::{DataCentre, InstanceId, MemberId},
    position::{Position, Term},
};

/// Term, claimant and primary of a database as the platform's store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermRecord {
    /// Newest term that was claimed.
    pub term: Term,
    /// Instance that claimed it.
    pub claimant: Option<InstanceId>,
    /// Primary of the term; absent between claim and promotion.
    pub primary: Option<MemberId>,
}

/// Answer of the store to a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The update took effect.
    Stored,
    /// The record had changed; it holds this now.
    Conflict(TermRecord),
    /// The update may have taken effect.
    Unknown,
    /// The store could not be reached.
    Unavailable,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionEvent {
    /// Time passed, or the witness recorded, sent or missed a poll.
    Tick,
    /// The configuration delivered a newer record of the database.
    Record(TermRecord),
    /// Another instance, in `data_centre`, reports that the primary of `term` misses its polls, too.
    Agreement {
        /// Instance that reports it.
        instance: InstanceId,
        /// Data centre of that instance.
        data_centre: DataCentre,
        /// Term of the primary.
        term: Term,
    },
    /// The store answered a [claim](PromotionAction::Claim) of `term`.
    Claimed {
        /// Term of the claim.
        term: Term,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// The store answered a [`PromotionAction::ReadBack`]; `None` when it could not be reached.
    ReadBack(Option<TermRecord>),
    /// A member answered `group_raise_term` with the term and claimant that it has now.
    Raised {
        /// Member that answered.
        member: MemberId,
        /// Its term after the call.
        term: Term,
        /// The claimant that raised it to this term.
        claimant: Option<InstanceId>,
    },
    /// A member answered `group_promote` for `term`.
    Promoted {
        /// Member that answered.
        member: MemberId,
        /// Term of the promotion.
        term: Term,
        /// Whether it is primary of the term now.
        accepted: bool,
    },
    /// The store answered a [publication](PromotionAction::Publish) of `term`.
    Published {
        /// Term of the publication.
        term: Term,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// A new primary is wanted although the present one answers, because it is leaving.
    ///
    /// The attempt first waits until a replica has the whole log, and gives up when none catches up in time. The
    /// home of the primary holds new writes back while [`Promotion::holds_writes`](super::Promotion::holds_writes).
    Handover {
        /// Term of the primary that is to be replaced.
        term: Term,
    },
}

/// What has to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Update the record in the store to this term without primary, on condition that its version is unchanged since
    /// it held a lower term.
    Claim {
        /// Term to claim.
        term: Term,
    },
    /// Read the record in the store.
    ReadBack,
    /// Send `group_raise_term` to a member.
    Raise {
        /// Member to raise.
        member: MemberId,
        /// Term to raise it to.
        term: Term,
    },
    /// Send `group_promote` to a member.
    Promote {
        /// Member to promote.
        member: MemberId,
        /// Term of the promotion.
        term: Term,
        /// Members that were raised to the term.
        term_members: Vec<MemberId>,
    },
    /// Poll a member now instead of at its next turn.
    Poll {
        /// Member to poll.
        member: MemberId,
    },
    /// Send `group_follow` to a member.
    Follow {
        /// Member that is to follow.
        member: MemberId,
        /// Primary to follow.
        primary: MemberId,
        /// Term of the primary.
        term: Term,
    },
    /// Update the record in the store, on condition that its version is unchanged since it held a lower term, or
    /// this term without primary.
    Publish(Publication),
    /// Nothing to send: the attempt ended without a primary, for the log.
    Abandoned {
        /// Term of the attempt.
        term: Term,
        /// Why it ended.
        reason: AbandonReason,
    },
}

/// The outcome of a promotion, for the store and for the heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Term of the promotion.
    pub term: Term,
    /// Primary of the term.
    pub primary: MemberId,
    /// Position at which the term began; absent when the primary did not report it in time.
    pub term_start: Option<Position>,
    /// Members that were raised to the term.
    pub term_members: Vec<MemberId>,
}

/// Why an attempt ended without a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonReason {
    /// Another instance claimed the term or a higher one.
    Superseded,
    /// The stage lasted longer than the bound, for example because this instance was paused.
    StageBound,
    /// Too many members accepted the term from another claimant.
    NoMajority,
    /// The chosen member rejected the promotion.
    Rejected,
    /// No replica had the whole log of a leaving primary in time.
    NotCaughtUp,
}

/// Times of the stages of one promotion that this instance completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Sending time of the last poll that the old primary answered.
    pub silent_since: Instant,
    /// The old primary counted as silent, and others agreed.
    pub detected: Instant,
    /// The term was claimed.
    pub agreed: Instant,
    /// A majority was raised, and the window had passed.
    pub fenced: Instant,
    /// The new primary answered.
    pub promoted: Instant,
    /// The store holds the new primary; absent until then.
    pub published: Option<Instant>,
}
