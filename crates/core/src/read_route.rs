//! Choice of the member that serves a read.
//!
//! A replica serves a read when it is known to have the position that the read needs, or when the age of its data
//! is proved. Age is proved without the clock of any database: data that includes the position that the primary
//! answered to a poll is at least as fresh as the time at which the poll was sent.
//!
//! A decision holds for the term that the router knew. The answer of a read with a position is released only while
//! the gate of that term is open, because a member may cut off the end of its log after the next promotion.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     name::DataCentre,
//!     position::{Lsn, Position, Term},
//!     read_route::{ReadDecision, ReadRequirement, ReadRouter, Replica},
//! };
//!
//! let near = DataCentre::from("bern-nord");
//! let mut router = ReadRouter::new(near.clone());
//! router.add(Replica::new("a".into(), "solothurn".into()));
//! router.add(Replica::new("b".into(), near));
//! let now = Instant::default();
//! router.set_primary(Some(("a".into(), Term(1))));
//! router.observe(&"a".into(), Position::new(Term(1), Lsn(9)), now);
//! router.observe(&"b".into(), Position::new(Term(1), Lsn(7)), now);
//!
//! let reached = ReadRequirement::Position(Position::new(Term(1), Lsn(7)));
//! let decision = router.route(reached, now, now);
//! assert_eq!(decision, ReadDecision::Replica { member: "b".into(), term: Term(1) });
//!
//! let ahead = ReadRequirement::Position(Position::new(Term(1), Lsn(9)));
//! let late = now.plus(Duration::from_millis(50));
//! let decision = router.route(ahead, now, late);
//! assert_eq!(decision, ReadDecision::Primary { member: "a".into(), term: Term(1) });
//! ```

mod replica;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use replica::Replica;

use crate::{
    clock::Instant,
    name::{DataCentre, MemberId},
    outcome::RefusalKind,
    position::{Position, Term},
    quorum::{POLL_INTERVAL, PositionProof, QuorumView},
    term_history::TermHistory,
};

/// Longest wait for a replica to reach a position before the primary is used.
pub const REPLICA_WAIT: Duration = Duration::from_millis(50);

/// Time since the last answer after which a member is not chosen.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a leaving primary still serves reads that nobody else can, until it is replaced.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Proofs of the primary's position that are kept; 256 cover 64 s of polls.
const MAX_PROOFS: usize = 256;

/// What a member has to have for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadRequirement {
    /// The data includes this position.
    Position(Position),
    /// The data is at most this old.
    Age(Duration),
    /// The primary's position has to be asked for first, see [`crate::read_index`].
    ReadIndex,
    /// Only the primary will do.
    Primary,
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDecision {
    /// To a replica.
    Replica {
        /// Member that serves the read.
        member: MemberId,
        /// Term whose gate has to be open when the answer is released; of no meaning for a need of
        /// [age](ReadRequirement::Age), which the proof already covers.
        term: Term,
    },
    /// Nowhere yet: ask `member` for its position, [observe](ReadRouter::observe) it and route again, until the time.
    Wait {
        /// Replica that is expected to reach the position soon.
        member: MemberId,
        /// Time at which the wait ends.
        until: Instant,
    },
    /// To the primary.
    Primary {
        /// Member that serves the read.
        member: MemberId,
        /// Term whose gate has to be open when the answer is released.
        term: Term,
    },
    /// Nowhere: the statement is not run.
    Refuse(RefusalKind),
}

/// Chooses the member for reads that enter at one instance.
#[derive(Debug, Clone)]
pub struct ReadRouter {
    data_centre: DataCentre,
    region: BTreeSet<DataCentre>,
    members: BTreeMap<MemberId, Replica>,
    primary: Option<(MemberId, Term)>,
    proofs: Vec<PositionProof>,
    history: TermHistory,
    replica_wait: Duration,
    silence: Duration,
    leaving_grace: Duration,
}

impl ReadRouter {
    /// Creates a router for an instance in `data_centre` that knows no member.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            region: BTreeSet::new(),
            members: BTreeMap::new(),
            primary: None,
            proofs: Vec::new(),
            history: TermHistory::default(),
            replica_wait: REPLICA_WAIT,
            silence: MEMBER_TIMEOUT,
            leaving_grace: LEAVING_GRACE,
        }
    }

    /// Sets the data centres of the instance's region.
    #[must_use]
    pub fn region<I>(mut self, data_centres: I) -> Self
    where
        I: IntoIterator<Item = DataCentre>,
    {
        self.region = data_centres.into_iter().collect();
        self
    }

    /// Sets the longest wait for a replica.
    #[must_use]
    pub const fn replica_wait(mut self, wait: Duration) -> Self {
        self.replica_wait = wait;
        self
    }

    /// Sets the time since the last answer after which a member is not chosen.
    #[must_use]
    pub const fn member_timeout(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Sets the time for which a leaving primary still serves reads.
    #[must_use]
    pub const fn leaving_grace(mut self, grace: Duration) -> Self {
        self.leaving_grace = grace;
        self
    }

    /// Adds a member, or replaces what is known about it.
    pub fn add(&mut self, replica: Replica) {
        self.members.insert(replica.member.clone(), replica);
    }

    /// Removes a member.
    pub fn remove(&mut self, member: &MemberId) {
        self.members.remove(member);
    }

    /// Sets the primary and its term; `None` while there is none.
    pub fn set_primary(&mut self, primary: Option<(MemberId, Term)>) {
        self.primary = primary;
    }

    /// The primary and its term.
    pub const fn primary(&self) -> Option<&(MemberId, Term)> {
        self.primary.as_ref()
    }

    /// Records that `term` began at `start`; see [`TermHistory::record`].
    pub fn record_term(&mut self, term: Term, start: Position) {
        self.history.record(term, start);
    }

    /// Starts of the terms, against which sessions check their positions.
    pub const fn history(&self) -> &TermHistory {
        &self.history
    }

    /// Notes whether `member` is leaving; a leaving replica gets no new reads from now on.
    pub fn set_leaving(&mut self, member: &MemberId, leaving: bool, now: Instant) {
        if let Some(replica) = self.members.get_mut(member) {
            replica.leaving = leaving.then(|| replica.leaving.unwrap_or(now));
        }
    }

    /// Notes that `member` had `position` at or after `at`.
    ///
    /// A member that cut off the end of its log answers a lower position, so the newest answer counts.
    pub fn observe(&mut self, member: &MemberId, position: Position, at: Instant) {
        if let Some(replica) = self.members.get_mut(member) {
            replica.observe(position, at);
        }
    }

    /// Notes that the primary had `proof.position` at or after `proof.sent`, confirmed by an open gate.
    pub fn record_proof(&mut self, proof: PositionProof) {
        if self.proofs.last().is_some_and(|last| last.sent >= proof.sent) {
            return;
        }
        if self.proofs.len() == MAX_PROOFS {
            self.proofs.remove(0);
        }
        self.proofs.push(proof);
    }

    /// Takes over the reports, the primary, the starts of the terms and the proofs of `quorum`.
    pub fn update(&mut self, quorum: &QuorumView, now: Instant) {
        for report in quorum.reports() {
            self.observe(&report.member, report.position, report.sent);
        }
        self.history.merge(quorum.history());
        for proof in quorum.proofs() {
            self.record_proof(*proof);
        }
        let current = quorum.current_term(now);
        let primary = quorum.primary(now).zip(current);
        if primary.is_some() {
            self.primary = primary;
        } else if self.primary.as_ref().is_some_and(|(_, term)| current > Some(*term)) {
            self.primary = None;
        }
    }

    /// Age that the data of `member` certainly does not exceed at `now`; `None` when nothing proves it.
    pub fn proved_age(&self, member: &MemberId, now: Instant) -> Option<Duration> {
        let position = self.members.get(member)?.observed()?.position;
        let included = |proof: &&PositionProof| self.history.reaches(position, proof.position);
        let proof = self.proofs.iter().rev().find(included)?;
        Some(now.since(proof.sent))
    }

    /// Chooses the member for a read that arrived at `arrived`.
    pub fn route(&self, need: ReadRequirement, arrived: Instant, now: Instant) -> ReadDecision {
        self.route_round_robin(need, arrived, now, 0)
    }

    /// Chooses the member as [`route`](Self::route) does, and the one whose turn it is among equally near replicas.
    ///
    /// With a number that grows by one with each read, the replicas get equal parts. A read that is routed again
    /// keeps its number, so that the choice changes only when the replicas do.
    pub fn route_round_robin(
        &self,
        need: ReadRequirement,
        arrived: Instant,
        now: Instant,
        turn: u64,
    ) -> ReadDecision {
        match need {
            ReadRequirement::Position(position) => {
                self.route_position(position, arrived, now, turn)
            }
            ReadRequirement::Age(max_age) => self.route_age(max_age, now, turn),
            ReadRequirement::ReadIndex | ReadRequirement::Primary => self.route_primary(now),
        }
    }

    fn route_position(
        &self,
        position: Position,
        arrived: Instant,
        now: Instant,
        turn: u64,
    ) -> ReadDecision {
        let term = self.primary.as_ref().map_or(position.term, |(_, term)| *term);
        // Another instance knows a newer term, or the start of the present one is unknown here, so that the session
        // could not be told of a lost write. Nothing can be chosen until this instance has heard more.
        if position.term > term || !self.may_compare(position.term, term) {
            return ReadDecision::Refuse(RefusalKind::NoMember);
        }
        let reached = self.nearest(now, turn, |replica| replica.has(position));
        if let Some(replica) = reached {
            return ReadDecision::Replica { member: replica.member.clone(), term };
        }
        let until = arrived.plus(self.replica_wait);
        if now < until
            && let Some(replica) = self.nearest(now, turn, |replica| self.may_reach_soon(replica))
        {
            return ReadDecision::Wait { member: replica.member.clone(), until };
        }
        self.route_primary(now)
    }

    fn route_age(&self, max_age: Duration, now: Instant, turn: u64) -> ReadDecision {
        let fresh = |replica: &Replica| {
            self.proved_age(&replica.member, now).is_some_and(|age| age <= max_age)
        };
        if let Some(replica) = self.nearest(now, turn, fresh) {
            let term = self.primary.as_ref().map_or_else(Term::default, |(_, term)| *term);
            return ReadDecision::Replica { member: replica.member.clone(), term };
        }
        match self.route_primary(now) {
            ReadDecision::Refuse(_) => ReadDecision::Refuse(RefusalKind::StaleReadUnproved),
            decision => decision,
        }
    }

    fn route_primary(&self, now: Instant) -> ReadDecision {
        let Some((member, term)) = &self.primary else {
            return ReadDecision::Refuse(RefusalKind::NoMember);
        };
        let leaving = self.members.get(member).and_then(|replica| replica.leaving);
        if leaving.is_some_and(|since| now.since(since) >= self.leaving_grace) {
            return ReadDecision::Refuse(RefusalKind::NoMember);
        }
        ReadDecision::Primary { member: member.clone(), term: *term }
    }

    /// The nearest replica that takes reads and fulfils `condition`; equally near ones take turns.
    fn nearest<F>(&self, now: Instant, turn: u64, condition: F) -> Option<&Replica>
    where
        F: Fn(&Replica) -> bool,
    {
        let usable = self
            .members
            .values()
            .filter(|replica| !self.is_primary(&replica.member))
            .filter(|replica| replica.leaving.is_none())
            .filter(|replica| replica.heard_within(self.silence, now))
            .filter(|replica| self.shares_log(replica))
            .filter(|replica| condition(replica));
        let mut near: Vec<&Replica> = usable.collect();
        let distance = near.iter().map(|replica| self.distance(&replica.data_centre)).min()?;
        near.retain(|replica| self.distance(&replica.data_centre) == distance);
        let count = u64::try_from(near.len()).unwrap_or(u64::MAX);
        near.get(usize::try_from(turn % count).unwrap_or(0)).copied()
    }

    /// Whether a replica lagged little enough at its last report that waiting for it is of use.
    ///
    /// The lag is known with the resolution of the polls.
    fn may_reach_soon(&self, replica: &Replica) -> bool {
        let Some(observed) = replica.observed() else { return false };
        let proof = self.proofs.iter().rev().find(|proof| proof.position <= observed.position);
        proof
            .is_some_and(|proof| observed.at.since(proof.sent) <= POLL_INTERVAL + self.replica_wait)
    }

    /// Whether sessions with a position of `older` were checked against the start of `term`.
    fn may_compare(&self, older: Term, term: Term) -> bool {
        older == term || self.history.latest().is_some_and(|(latest, _)| latest >= term)
    }

    /// Whether the replica's log is part of the log of the present term, so that its position can be compared.
    fn shares_log(&self, replica: &Replica) -> bool {
        let Some(observed) = replica.observed() else { return false };
        let term = observed.position.term;
        let Some((_, present)) = &self.primary else { return self.history.continues(term) };
        let known = self.history.latest().is_some_and(|(latest, _)| latest >= *present);
        term == *present || (known && self.history.continues(term))
    }

    fn is_primary(&self, member: &MemberId) -> bool {
        self.primary.as_ref().is_some_and(|(primary, _)| primary == member)
    }

    fn distance(&self, data_centre: &DataCentre) -> u8 {
        if *data_centre == self.data_centre {
            0
        } else if self.region.contains(data_centre) {
            1
        } else {
            2
        }
    }
}
