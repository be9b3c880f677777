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
/// Time between two applications of copied entries; reads that come earlier apply them themselves.
const APPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Copies from time to time, as long as the member exists.
pub(crate) async fn run_copy(member: Weak<Member>) {
    loop {
        Timer::after(COPY_INTERVAL).await;
        let Some(member) = member.upgrade() else { return };
        copy_due_entries(&member);
    }
}

/// Applies copied entries from time to time, so that neither the first read nor a promotion has to wait for it.
pub(crate) async fn run_apply(member: Weak<Member>) {
    loop {
        Timer::after(APPLY_INTERVAL).await;
        let Some(member) = member.upgrade() else { return };
        if let Err(error) = smol::unblock(move || member.apply_log()).await {
            spdlog::error!("emulator: copied entries were not applied: {error}");
        }
    }
}

/// Copies the entries that are due.
pub(crate) fn copy_due_entries(member: &Member) {
    let Some(source) = source(member).filter(|source| member.reaches(source)) else { return };
    let lag = Duration::from_millis(member.faults().lag_ms);
    let (own_len, last, term, claimant) = {
        let log = member.log();
        (log.len(), log.entries().last().cloned(), log.term, log.claimant.clone())
    };
    // The two logs are never locked at the same time, so two members cannot wait for each other.
    let update = {
        let mut log = source.log();
        // The replica tells a source that has been replaced.
        log.raise_term(term, claimant.as_deref().unwrap_or(""));
        if log.role != Role::Primary || log.term != term {
            return;
        }
        let at_last = own_len.checked_sub(1).and_then(|index| log.entries().get(index));
        let continues = match (&last, at_last) {
            (None, _) => true,
            (Some(own), Some(entry)) => Arc::ptr_eq(own, entry),
            (Some(_), None) => false,
        };
        if continues {
            let now = Instant::now();
            let due = |entry: &&Arc<Entry>| now.duration_since(entry.committed) >= lag;
            let next = log.entries_from(own_len).iter().take_while(due);
            LogUpdate::Append(next.cloned().collect())
        } else {
            LogUpdate::Diverged(log.entries().to_vec())
        }
    };
    let mut log = member.log();
    let unchanged = log.role == Role::Replica
        && log.source.as_ref() == Some(source.id())
        && log.term == term
        && log.len() == own_len;
    if unchanged {
        log.source_last_reached = Instant::now();
        update.apply_to(&mut log);
    }
}

fn source(member: &Member) -> Option<Arc<Member>> {
    let id = {
        let log = member.log();
        if log.role == Role::Replica { log.source.clone() } else { None }
    };
    member.peer(&id?)
}

/// Part of the log of a primary.
enum LogUpdate {
    /// Entries that follow those of the replica.
    Append(Vec<Arc<Entry>>),
    /// All entries, because the replica has some that the primary has not.
    Diverged(Vec<Arc<Entry>>),
}

impl LogUpdate {
    /// Appends the entries, or removes what the replica does not share.
    fn apply_to(self, log: &mut GroupLog) {
        match self {
            Self::Append(entries) => entries.into_iter().for_each(|entry| log.push(entry)),
            Self::Diverged(entries) => {
                let common = log.common_prefix_len(&entries);
                log.truncate(common);
            }
        }
    }
}
