//! Events that a promotion takes and actions that it returns.

use crate::{
    clock::Instant,
    name::{DataCentre, InstanceId, MemberId},
    position::{Position, Term},
};

/// Term, claimant and primary of a database as the platform's store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermRecord {
    /// Highest claimed term.
    pub term: Term,
    /// Instance that claimed the term; `None` when the record names none.
    pub claimant: Option<InstanceId>,
    /// Primary of the term; `None` between claim and promotion.
    pub primary: Option<MemberId>,
}

/// Answer of the store to a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The update took effect.
    Stored,
    /// The condition of the update failed; this is the record that the store holds.
    Conflict(TermRecord),
    /// The update may have taken effect.
    Unknown,
    /// The store could not be reached.
    Unavailable,
}

/// Event that a [`Promotion`](super::Promotion) handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionEvent {
    /// Time passed, or a poll was sent, answered or failed in the quorum view.
    Tick,
    /// The configuration delivered a newer record of the database.
    Record(TermRecord),
    /// Another instance reports that the primary of `term` misses its polls as well.
    Agreement {
        /// Instance that polled the primary.
        instance: InstanceId,
        /// Data centre of the instance; agreement from the data centre of the receiver does not count.
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
    /// A member answered `group_raise_term` with its term and claimant after the call.
    Raised {
        /// Member that answered.
        member: MemberId,
        /// Term of the member after the call.
        term: Term,
        /// Instance that raised the member to this term.
        claimant: Option<InstanceId>,
    },
    /// A member answered `group_promote` for `term`.
    Promoted {
        /// Member that answered.
        member: MemberId,
        /// Term of the promotion.
        term: Term,
        /// Whether the member is primary of the term after the call.
        accepted: bool,
    },
    /// The store answered a [publication](PromotionAction::Publish) of `term`.
    Published {
        /// Term of the publication.
        term: Term,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// The primary answers but is leaving, so it has to be replaced.
    ///
    /// The attempt first waits until a replica has the whole log, and is abandoned when none catches up in time. The
    /// home of the primary holds new writes back while [`Promotion::holds_writes`](super::Promotion::holds_writes).
    PlannedReplacement {
        /// Term of the primary that is to be replaced.
        term: Term,
    },
}

/// Action that the owner of a [`Promotion`](super::Promotion) has to take.
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
    /// Poll a member now, without waiting for the poll interval.
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
    /// Log that the attempt ended without a primary; nothing has to be sent.
    Abandoned {
        /// Term of the attempt.
        term: Term,
        /// Reason for which it ended.
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
    /// Position at which the term began; `None` when the primary did not report it in time.
    pub term_start: Option<Position>,
    /// Members that were raised to the term.
    pub term_members: Vec<MemberId>,
}

/// Reason for which an attempt ended without a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonReason {
    /// Another instance claimed the term or a higher one.
    Superseded,
    /// A stage exceeded its time limit, for example because this instance was paused.
    StageBound,
    /// No majority can be raised any more: too many members accepted the term from another claimant or, besides these,
    /// are unresponsive.
    NoMajority,
    /// The chosen member rejected the promotion.
    Rejected,
    /// No replica had the whole log of a leaving primary in time.
    NotCaughtUp,
}

/// Times of the stages of one promotion that this instance completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Sending time of the last poll that the old primary answered. In a planned replacement, the start of the
    /// attempt; for a raised term without primary, the time at which that term became known.
    pub unresponsive_since: Instant,
    /// Time at which the attempt started: the old primary counted as unresponsive, and another instance or a majority
    /// of the members agreed, or the primary was leaving.
    pub detected: Instant,
    /// Time at which the claim ended: it was stored, or the promotion continues without the store. In a planned
    /// replacement, a replica has caught up before the claim.
    pub claim_ended: Instant,
    /// Time at which a majority had been raised and the report window had passed.
    pub fenced: Instant,
    /// Time at which the new primary answered.
    pub promoted: Instant,
    /// Time from which the store holds the new primary; `None` until then.
    pub published: Option<Instant>,
}
