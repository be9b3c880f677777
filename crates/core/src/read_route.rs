//! Choice of the member that serves a read.
//!
//! A replica serves a read when it is known to have the position that the read requires, or when the age of its data
//! is proved. The proof uses no clock of a database: data that includes the position in the primary's answer to a
//! poll is at least as fresh as the time at which the poll was sent.
//!
//! A decision is valid for the term that the router knew. The answer of a read with a position is released only while
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

/// Longest time for which a leaving primary that has not been replaced serves reads that no other member can serve.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Number of kept proofs of the primary's position; 256 cover 64 s of polls.
const MAX_PROOFS: usize = 256;

/// Requirement on the member that serves a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadRequirement {
    /// The data includes this position.
    Position(Position),
    /// The data is at most this old; see [`ReadRouter::proved_age`].
    Age(Duration),
    /// The primary's position has to be queried first; see [`crate::read_index`].
    ReadIndex,
    /// Only the primary may serve the read.
    Primary,
}

/// Decision of a [`ReadRouter`] about one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadDecision {
    /// Run the read at a replica.
    Replica {
        /// Member that serves the read.
        member: MemberId,
        /// Term whose gate has to be open when the answer is released; not used for a requirement of
        /// [age](ReadRequirement::Age), which the proof already covers.
        term: Term,
    },
    /// Request the position of `member`, [observe](ReadRouter::observe) it and route the read again, at most until
    /// `until`.
    Wait {
        /// Replica that is expected to reach the position soon.
        member: MemberId,
        /// Time at which the wait ends.
        until: Instant,
    },
    /// Run the read at the primary.
    Primary {
        /// Member that serves the read.
        member: MemberId,
        /// Term whose gate has to be open when the answer is released.
        term: Term,
    },
    /// Refuse the read: no member can serve it, and the statement is not run.
    Refuse(RefusalKind),
}

/// Chooses the member for reads that arrive at one instance.
#[derive(Debug, Clone)]
pub struct ReadRouter {
    data_centre: DataCentre,
    region: BTreeSet<DataCentre>,
    members: BTreeMap<MemberId, Replica>,
    primary: Option<(MemberId, Term)>,
    proofs: Vec<PositionProof>,
    history: TermHistory,
    replica_wait: Duration,
    member_timeout: Duration,
    leaving_grace: Duration,
}

impl ReadRouter {
    /// Creates a router without members for an instance in `data_centre`.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            region: BTreeSet::new(),
            members: BTreeMap::new(),
            primary: None,
            proofs: Vec::new(),
            history: TermHistory::default(),
            replica_wait: REPLICA_WAIT,
            member_timeout: MEMBER_TIMEOUT,
            leaving_grace: LEAVING_GRACE,
        }
    }

    /// Sets the data centres of the instance's region, whose replicas are preferred to those of other regions.
    #[must_use]
    pub fn region<I>(mut self, data_centres: I) -> Self
    where
        I: IntoIterator<Item = DataCentre>,
    {
        self.region = data_centres.into_iter().collect();
        self
    }

    /// Sets the longest wait for a replica to reach a position, by default [`REPLICA_WAIT`].
    #[must_use]
    pub const fn replica_wait(mut self, wait: Duration) -> Self {
        self.replica_wait = wait;
        self
    }

    /// Sets the time since the last answer after which a member is not chosen, by default [`MEMBER_TIMEOUT`].
    #[must_use]
    pub const fn member_timeout(mut self, timeout: Duration) -> Self {
        self.member_timeout = timeout;
        self
    }

    /// Sets the longest time for which a leaving primary still serves reads, by default [`LEAVING_GRACE`].
    #[must_use]
    pub const fn leaving_grace(mut self, grace: Duration) -> Self {
        self.leaving_grace = grace;
        self
    }

    /// Adds a member, or replaces it with its position and state.
    pub fn add(&mut self, replica: Replica) {
        self.members.insert(replica.member.clone(), replica);
    }

    /// Removes a member; unknown members are ignored.
    pub fn remove(&mut self, member: &MemberId) {
        self.members.remove(member);
    }

    /// Sets the primary and its term; `None` while no primary is known.
    pub fn set_primary(&mut self, primary: Option<(MemberId, Term)>) {
        self.primary = primary;
    }

    /// The primary and its term; `None` while no primary is known.
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

    /// Records whether `member` is leaving; a leaving replica gets no new reads.
    pub fn set_leaving(&mut self, member: &MemberId, leaving: bool, now: Instant) {
        if let Some(replica) = self.members.get_mut(member) {
            replica.leaving = leaving.then(|| replica.leaving.unwrap_or(now));
        }
    }

    /// Records that `member` had `position` at or after `at`.
    ///
    /// A member that truncated its log answers a lower position, so the newest answer counts.
    pub fn observe(&mut self, member: &MemberId, position: Position, at: Instant) {
        if let Some(replica) = self.members.get_mut(member) {
            replica.observe(position, at);
        }
    }

    /// Records that the primary had `proof.position` at or after `proof.sent`, confirmed by an open gate.
    pub fn record_proof(&mut self, proof: PositionProof) {
        if self.proofs.last().is_some_and(|last| last.sent >= proof.sent) {
            return;
        }
        if self.proofs.len() == MAX_PROOFS {
            self.proofs.remove(0);
        }
        self.proofs.push(proof);
    }

    /// Merges the reports, the primary, the starts of the terms and the proofs of `quorum`.
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

    /// Proved upper bound of the age of `member`'s data at `now`; `None` without a proof.
    pub fn proved_age(&self, member: &MemberId, now: Instant) -> Option<Duration> {
        let position = self.members.get(member)?.observed()?.position;
        let included = |proof: &&PositionProof| self.history.reaches(position, proof.position);
        let proof = self.proofs.iter().rev().find(included)?;
        Some(now.since(proof.sent))
    }

    /// Chooses the member for a read that arrived at `arrived`.
    pub fn route(
        &self,
        requirement: ReadRequirement,
        arrived: Instant,
        now: Instant,
    ) -> ReadDecision {
        self.route_round_robin(requirement, arrived, now, 0)
    }

    /// Chooses the member as [`route`](Self::route) does, and distributes reads among equally near replicas.
    ///
    /// With a `sequence` that grows by one with each read, the replicas get equal numbers of reads. A read that is
    /// routed again keeps its number, so that the choice changes only when the replicas do.
    pub fn route_round_robin(
        &self,
        requirement: ReadRequirement,
        arrived: Instant,
        now: Instant,
        sequence: u64,
    ) -> ReadDecision {
        match requirement {
            ReadRequirement::Position(position) => {
                self.route_position(position, arrived, now, sequence)
            }
            ReadRequirement::Age(max_age) => self.route_age(max_age, now, sequence),
            ReadRequirement::ReadIndex | ReadRequirement::Primary => self.route_primary(now),
        }
    }

    fn route_position(
        &self,
        position: Position,
        arrived: Instant,
        now: Instant,
        sequence: u64,
    ) -> ReadDecision {
        let term = self.primary.as_ref().map_or(position.term, |(_, term)| *term);
        // Either the term of the position or the start of the current term is not known here yet; without that start, a
        // lost write could not be reported to the session. No member can be chosen until this instance receives it.
        if position.term > term || !self.is_loss_detectable(position.term, term) {
            return ReadDecision::Refuse(RefusalKind::NoMember);
        }
        let reached = self.nearest(now, sequence, |replica| replica.has_reached(position));
        if let Some(replica) = reached {
            return ReadDecision::Replica { member: replica.member.clone(), term };
        }
        let until = arrived.plus(self.replica_wait);
        if now < until
            && let Some(replica) =
                self.nearest(now, sequence, |replica| self.may_reach_soon(replica))
        {
            return ReadDecision::Wait { member: replica.member.clone(), until };
        }
        self.route_primary(now)
    }

    fn route_age(&self, max_age: Duration, now: Instant, sequence: u64) -> ReadDecision {
        let fresh = |replica: &Replica| {
            self.proved_age(&replica.member, now).is_some_and(|age| age <= max_age)
        };
        if let Some(replica) = self.nearest(now, sequence, fresh) {
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

    /// The nearest replica that accepts reads and fulfils `condition`, by round robin among equally near ones.
    fn nearest<F>(&self, now: Instant, sequence: u64, condition: F) -> Option<&Replica>
    where
        F: Fn(&Replica) -> bool,
    {
        let usable = self
            .members
            .values()
            .filter(|replica| !self.is_primary(&replica.member))
            .filter(|replica| replica.leaving.is_none())
            .filter(|replica| replica.answered_within(self.member_timeout, now))
            .filter(|replica| self.is_on_current_log(replica))
            .filter(|replica| condition(replica));
        let mut near: Vec<&Replica> = usable.collect();
        let distance = near.iter().map(|replica| self.distance(&replica.data_centre)).min()?;
        near.retain(|replica| self.distance(&replica.data_centre) == distance);
        let count = u64::try_from(near.len()).unwrap_or(u64::MAX);
        near.get(usize::try_from(sequence % count).unwrap_or(0)).copied()
    }

    /// Whether the lag of a replica at its last report was small enough that it may catch up within the wait.
    ///
    /// The resolution of the lag is the poll interval.
    fn may_reach_soon(&self, replica: &Replica) -> bool {
        let Some(observed) = replica.observed() else { return false };
        let proof = self.proofs.iter().rev().find(|proof| proof.position <= observed.position);
        proof
            .is_some_and(|proof| observed.at.since(proof.sent) <= POLL_INTERVAL + self.replica_wait)
    }

    /// Whether a write of term `older` that the promotion to `term` lost would have been detected.
    fn is_loss_detectable(&self, older: Term, term: Term) -> bool {
        older == term || self.history.latest().is_some_and(|(latest, _)| latest >= term)
    }

    /// Whether the replica's log is part of the log of the current term, so that its position can be compared.
    fn is_on_current_log(&self, replica: &Replica) -> bool {
        let Some(observed) = replica.observed() else { return false };
        let term = observed.position.term;
        let Some((_, current)) = &self.primary else { return self.history.continues(term) };
        let is_start_known = self.history.latest().is_some_and(|(latest, _)| latest >= *current);
        term == *current || (is_start_known && self.history.continues(term))
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
