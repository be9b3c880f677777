//! Limits the statements that run at a member at once, by how it answers.
//!
//! The load is that of a member that has just started or recovers from overload: it opens connections, each of which takes
//! one of its few slots for 12 ms, its caches are empty, and the queue of all requests that have waited for it arrives
//! at once. Then most answers are rejections or come too late, although a smaller number at once would be served.
//!
//! A holder starts with one statement, the probe. Each round, as many answers as statements may run at once, doubles
//! the limit, or adds one from half of the value on at which the member was overloaded. A round with rejections, lost
//! connections or only slow answers halves it. At the holder's part of the slots the member is in steady service and
//! the limit has no effect.
//!
//! A false detection costs more than a late one. In steady service, at least half of a round of four answers have to be
//! bad. An answer is slow only in relation to the member's own best time for the same kind of work and to the peers, so a
//! machine on which everything is slow limits nothing.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, pace::{GroupPace, Outcome}};
//!
//! let now = Instant::default();
//! let mut group = GroupPace::default();
//! group.start(&"m-1".into(), 4, now);
//! assert_eq!(group.limit(&"m-1".into(), now), Some(1));
//! let answer = Outcome::Answered { kind: Some(1), service: Duration::from_millis(5) };
//! group.record(&"m-1".into(), answer, now, now);
//! assert_eq!(group.limit(&"m-1".into(), now), Some(2));
//! ```

mod member;
mod times;

use std::{collections::BTreeMap, time::Duration};

use self::member::MemberPace;
use crate::{clock::Instant, name::MemberId};

/// Outcome of a statement or of opening a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The member answered.
    Answered {
        /// Kind of the work; answers of different kinds are not compared. `None` if it is not known.
        kind: Option<u64>,
        /// Time from sending the statement to the answer, without the way.
        service: Duration,
    },
    /// The member rejected the statement or the connection for lack of capacity.
    Rejected,
    /// No answer came in time, or the connection was lost.
    Lost,
}

/// What the other members of a group say about the time of an answer.
#[derive(Debug, Clone, Copy, Default)]
struct Peers {
    /// Usual time of the same kind of work at a peer, in seconds.
    usual_s: Option<f64>,
    /// Factor by which a peer is slower than at its best.
    slowdown: Option<f64>,
}

/// A change between steady service and a limit because of trouble, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The member is limited to this number of statements from now on.
    Limited(u32),
    /// The member is in steady service again.
    Steady,
}

/// Pace of the members of one group at one holder.
#[derive(Debug, Default)]
pub struct GroupPace {
    members: BTreeMap<MemberId, MemberPace>,
    /// Number of statements so far.
    statements: u64,
}

impl GroupPace {
    /// Begins with a probe at a member, whose connections may run `most` statements at once.
    pub fn start(&mut self, member: &MemberId, most: u32, now: Instant) {
        self.members.insert(member.clone(), MemberPace::new(most, now));
    }

    /// Changes the number of statements that may run at once in steady service.
    pub fn set_most(&mut self, member: &MemberId, most: u32) {
        if let Some(pace) = self.members.get_mut(member) {
            pace.set_most(most);
        }
    }

    /// Removes a member that is gone.
    pub fn remove(&mut self, member: &MemberId) {
        self.members.remove(member);
    }

    /// Number of statements that may run at once; `None` in steady service.
    ///
    /// A statement without an answer for a while leaves its place to another one, so that a lost probe does not stop all
    /// others.
    pub fn limit(&self, member: &MemberId, now: Instant) -> Option<u32> {
        self.members.get(member)?.limit(now)
    }

    /// Counts a statement as running; returns its number for [`end`](Self::end).
    pub fn begin(&mut self, member: &MemberId, now: Instant) -> u64 {
        self.statements += 1;
        if let Some(pace) = self.members.get_mut(member) {
            pace.begin(self.statements, now);
        }
        self.statements
    }

    /// Counts a statement as ended.
    pub fn end(&mut self, member: &MemberId, number: u64) {
        if let Some(pace) = self.members.get_mut(member) {
            pace.end(number);
        }
    }

    /// Records the outcome of what was sent to a member at `sent`.
    pub fn record(
        &mut self,
        member: &MemberId,
        outcome: Outcome,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        let peers = match outcome {
            Outcome::Answered { kind: Some(kind), .. } => self.peers(member, kind, now),
            _ => Peers::default(),
        };
        self.members.get_mut(member)?.record(outcome, peers, sent, now)
    }

    /// The members that this holder has found overloaded, with the number of statements that it runs at once.
    pub fn reports(&self) -> impl Iterator<Item = (&MemberId, u32)> {
        self.members.iter().filter_map(|(member, pace)| Some((member, pace.report()?)))
    }

    /// Takes over the limit that another holder reports, unless this one has answers of its own from the last second.
    pub fn merge(&mut self, member: &MemberId, limit: u32, now: Instant) {
        if let Some(pace) = self.members.get_mut(member) {
            pace.merge(limit, now);
        }
    }

    /// Times of the other members for one kind of work. The slowest peer counts, so that a member is compared with none
    /// that is faster than it has to be.
    fn peers(&self, member: &MemberId, kind: u64, now: Instant) -> Peers {
        let peers = || self.members.iter().filter(|(other, _)| *other != member);
        let usual = peers().filter_map(|(_, pace)| pace.times().usual_s(kind, now));
        let slowdown = peers().filter_map(|(_, pace)| pace.times().slowdown(now));
        Peers { usual_s: usual.max_by(f64::total_cmp), slowdown: slowdown.max_by(f64::total_cmp) }
    }
}
