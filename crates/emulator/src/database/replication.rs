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

/// Interval at which a replica copies from its source.
const COPY_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which copied entries are applied; a read before that applies them itself.
const APPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Copies due entries every [`COPY_INTERVAL`] until the member is dropped.
pub(crate) async fn run_copy(member: Weak<Member>) {
    loop {
        Timer::after(COPY_INTERVAL).await;
        let Some(member) = member.upgrade() else { return };
        copy_due_entries(&member);
    }
}

/// Applies copied entries every [`APPLY_INTERVAL`], so that neither the first read nor a promotion waits for it.
pub(crate) async fn run_apply(member: Weak<Member>) {
    loop {
        Timer::after(APPLY_INTERVAL).await;
        let Some(member) = member.upgrade() else { return };
        if let Err(error) = smol::unblock(move || member.apply_log()).await {
            spdlog::error!("emulator: could not apply copied log entries: {error}");
        }
    }
}

/// Copies the entries whose age has reached the lag, or truncates a log that has diverged from that of its source.
pub(crate) fn copy_due_entries(member: &Member) {
    let Some(source) = source(member).filter(|source| member.reaches(source)) else { return };
    let lag = Duration::from_millis(member.faults().lag_ms);
    let (own_len, last, term, claimant) = {
        let log = member.log();
        (log.len(), log.entries().last().cloned(), log.term, log.claimant.clone())
    };
    // The two logs are never locked at the same time, so two members cannot deadlock.
    let update = {
        let mut log = source.log();
        // The replica passes its term on, which fences a source that has been replaced.
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

/// Update of the log of a replica from that of its source.
enum LogUpdate {
    /// Entries to append to those of the replica.
    Append(Vec<Arc<Entry>>),
    /// All entries of the source, because the replica has some that the source lacks.
    Diverged(Vec<Arc<Entry>>),
}

impl LogUpdate {
    /// Appends the entries, or removes those after the common prefix of a log that has diverged.
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
