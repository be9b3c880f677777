//! Members of the simulated group: logs, replication, restarts and promotions.

use std::time::Duration;

use hibiscusladder_core::{
    position::{Lsn, Position, Term},
    sync_group::{MemberStatus, Role},
};

use crate::world::{Commit, MEMBERS, Message, START_MS, STEP_MS, World, at};

/// A commit that waits for a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pending {
    /// Index in the log of the primary.
    pub(crate) index: usize,
    /// Instance that sent the write.
    pub(crate) from: usize,
    /// Until when it is waited for.
    pub(crate) until: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) held: u64,
    /// Lowest term of a primary that it receives from, since a promotion ended its hold.
    pub(crate) follows: u64,
    pub(crate) log: Vec<Commit>,
    /// Until when the member is down, and since when; 0 when it runs.
    pub(crate) down_until: u64,
    pub(crate) down_since: u64,
    pub(crate) deaf_until: u64,
    pub(crate) leaving: bool,
    /// Commits that no replica is known to have received.
    pub(crate) pending: Vec<Pending>,
}

impl Member {
    pub(crate) const fn is_running(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub(crate) fn received(&self) -> Position {
        let term = self.log.last().map_or(1, |(term, _)| *term);
        Position::new(Term(term), Lsn(self.log.len() as u64))
    }

    /// Role, term, log and hold, for a report.
    pub(crate) fn describe(&self) -> String {
        let (role, term, held) = (self.role, self.term, self.held);
        format!("{role:?} of term {term} with {} that holds {held}", self.received())
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: Term(self.term),
            received: self.received(),
            held: Term(self.held),
            lag: Duration::ZERO,
            connections: 1,
        }
    }
}

impl World {
    pub(crate) fn promote(&mut self, member: usize) {
        let now = self.now;
        let highest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
        let state = &self.members[member];
        if !state.is_running(now) || state.role == Role::Primary && state.term == highest {
            return;
        }
        let log = state.log.clone();
        let kept = self.acknowledged.iter().zip(&log).take_while(|(acked, own)| acked == own);
        let kept = kept.count();
        if kept < self.acknowledged.len() {
            let lost = self.acknowledged.len() - kept;
            self.violations.push(format!("{now}: m{member} lacks {lost} acknowledged commits"));
            self.acknowledged.truncate(kept);
        }
        let term = highest + 1;
        // A promotion ends only holds that are not above its term.
        for member in self.members.iter_mut().filter(|member| (1..=term).contains(&member.held)) {
            member.held = 0;
            member.follows = term;
        }
        let state = &mut self.members[member];
        state.held = 0;
        state.role = Role::Primary;
        state.term = term;
        state.pending.clear();
        self.promotions += 1;
    }

    /// A primary that crashed comes back as a replica if another member was promoted.
    pub(crate) fn restart_members(&mut self) {
        let highest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
        let (now, before) = (self.now, self.now - STEP_MS);
        let restarted = |member: &&mut Member| !member.is_running(before) && member.is_running(now);
        for member in self.members.iter_mut().filter(restarted) {
            if member.term < highest {
                member.role = Role::Replica;
            }
        }
    }

    pub(crate) fn replicate(&mut self) {
        let now = self.now;
        for primary in 0..MEMBERS {
            let source = self.members[primary].clone();
            if source.role != Role::Primary || !source.is_running(now) {
                continue;
            }
            for member in 0..MEMBERS {
                let replica = &mut self.members[member];
                let hears = member != primary
                    && now >= replica.down_until + START_MS
                    && now >= replica.deaf_until;
                if !hears || now < source.deaf_until {
                    continue;
                }
                if replica.role == Role::Primary && replica.term < source.term {
                    replica.role = Role::Replica;
                    replica.pending.clear();
                }
                if replica.role == Role::Replica
                    && replica.held.max(replica.follows).max(replica.term) <= source.term
                {
                    replica.term = source.term;
                    replica.log.clone_from(&source.log);
                }
            }
        }
        for primary in 0..MEMBERS {
            let source = self.members[primary].clone();
            if source.role != Role::Primary || !source.is_running(now) {
                continue;
            }
            let is_received = |pending: &Pending| {
                let index = pending.index;
                let others = self.members.iter().enumerate();
                let mut others = others.filter(|(other, _)| *other != primary);
                others.any(|(_, other)| {
                    other.is_running(now) && other.log.get(index) == source.log.get(index)
                })
            };
            let waiting = source.pending.iter().copied().filter(|pending| now < pending.until);
            let (received, pending): (Vec<_>, Vec<_>) = waiting.partition(is_received);
            self.members[primary].pending = pending;
            for Pending { index, from, .. } in received {
                let commits = source.log[..=index].to_vec();
                self.send(Message::Acknowledgement { to: from, member: primary, commits });
            }
        }
    }

    /// An instance passes on the acknowledgement of the last of these commits, unless it knows that their term is being
    /// replaced.
    pub(crate) fn acknowledge(&mut self, instance: usize, commits: Vec<Commit>) {
        let now = self.now;
        let Some((term, _)) = commits.last() else { return };
        if self.instances[instance].view.refuses(Term(*term), at(now)) {
            self.withheld += 1;
            return;
        }
        let primaries = self.members.iter().filter(|member| member.role == Role::Primary);
        let primary = primaries.max_by_key(|member| member.term);
        // Without a primary, the next promotion shows whether the commit is lost.
        if primary.is_some_and(|primary| !primary.log.starts_with(&commits)) {
            let text = format!("{now}: i{instance} passes on a commit that is lost");
            self.violations.push(text);
        } else if commits.len() > self.acknowledged.len() {
            self.acknowledged = commits;
        }
    }
}
