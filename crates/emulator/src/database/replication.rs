//! Copies the log of a primary to a replica.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use smol::Timer;

use super::{
    log::{Entry, GroupLog, Role},
    member::Member,
};

/// Time between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(2);

/// Copies from time to time, as long as the member exists.
pub(crate) async fn run(member: Weak<Member>) {
    loop {
        Timer::after(COPY_INTERVAL).await;
        let Some(member) = member.upgrade() else { return };
        step(&member);
    }
}

/// Copies the entries that are due.
pub(crate) fn step(member: &Member) {
    let Some(source) = source(member).filter(|source| member.reaches(source)) else { return };
    let lag = Duration::from_millis(member.faults().lag_ms);
    let (own_len, last, term, claimant) = {
        let log = member.log();
        (log.len(), log.entries().last().cloned(), log.term, log.claimant.clone())
    };
    // The two logs are never locked at the same time, so two members cannot wait for each other.
    let theirs = {
        let mut log = source.log();
        // The replica tells a source that has been replaced.
        log.raise_term(term, claimant.as_deref().unwrap_or(""));
        if log.role != Role::Primary {
            return;
        }
        let at_last = own_len.checked_sub(1).and_then(|index| log.entries().get(index));
        let continues = match (&last, at_last) {
            (None, _) => true,
            (Some(own), Some(entry)) => Arc::ptr_eq(own, entry),
            (Some(_), None) => false,
        };
        let from = if continues { own_len } else { 0 };
        Excerpt { from, entries: log.entries_from(from).to_vec() }
    };
    let mut log = member.log();
    let unchanged = log.role == Role::Replica
        && log.source.as_ref() == Some(source.id())
        && log.term == term
        && log.len() == own_len;
    if unchanged {
        log.source_heard = Instant::now();
        theirs.append_to(&mut log, lag);
    }
}

fn source(member: &Member) -> Option<Arc<Member>> {
    let id = {
        let log = member.log();
        if log.role == Role::Replica { log.source.clone() } else { None }
    };
    member.peer(&id?)
}

/// Part of the log of a primary from an index on.
struct Excerpt {
    from: usize,
    entries: Vec<Arc<Entry>>,
}

impl Excerpt {
    /// Removes what the replica does not share, and appends what is older than `lag`.
    fn append_to(&self, log: &mut GroupLog, lag: Duration) {
        let common = if self.from == 0 { log.common_len(&self.entries) } else { self.from };
        log.truncate(common);
        let now = Instant::now();
        let due = |entry: &&Arc<Entry>| now.duration_since(entry.committed) >= lag;
        let next = self.entries.get(common - self.from..).unwrap_or_default();
        next.iter().take_while(due).cloned().for_each(|entry| log.push(entry));
    }
}
