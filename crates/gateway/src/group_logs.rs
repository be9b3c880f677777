//! Records in the store which logs each group has.
//!
//! The list of the members lacks those that have crashed and will come back with their logs. An instance that has just
//! started takes the others for the whole group unless it reads here how many there are. One hub of each group keeps its
//! record up to date. A claimant reads it before each failover.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{Group, LogId},
    roster::Freshness,
    store_version::StoreVersion,
};
use hibiscusladder_io::clock::{BootClock, within};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    adapter::{Collection, Content, Listing, Store, StoreError},
    events::{self, Event},
    group_state::GroupState,
    metrics::{Counter, Metrics},
    store_era::SharedStoreEra,
};

/// Time between two comparisons of the records with the listed members.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a log has to be dispensable before its record is removed. It covers the delay with which instances learn
/// of a member that another one has recorded.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Logs of a group as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredLogs {
    logs: BTreeSet<LogId>,
}

/// Record of one group as this instance has read or written it.
#[derive(Debug, Clone)]
struct RecordedLogs {
    version: StoreVersion,
    logs: BTreeSet<LogId>,
}

/// Records of all groups, as this instance knows them.
#[derive(Debug, Default)]
pub struct GroupLogs {
    records: BTreeMap<Group, RecordedLogs>,
    /// Era of the store in which the records were listed; `None` before, and after a write that failed.
    listed: Option<u64>,
    /// Since when a record has had logs that are dispensable.
    dispensable_since: BTreeMap<Group, Instant>,
}

impl GroupLogs {
    /// The logs to write for `group` now, instead of those that are recorded; `None` when nothing is to be written.
    fn due(&mut self, group: &GroupState, now: Instant) -> Option<BTreeSet<LogId>> {
        let view = group.view.borrow();
        let listed = view.listed_logs();
        if listed.is_empty() {
            return None;
        }
        let recorded = self.records.get(&group.name);
        let recorded = recorded.map(|recorded| recorded.logs.clone()).unwrap_or_default();
        let wanted = view.logs_to_record(&recorded);
        if recorded.is_subset(&wanted) {
            self.dispensable_since.remove(&group.name);
        } else {
            let since = *self.dispensable_since.entry(group.name.clone()).or_insert(now);
            if now.since(since) < REMOVAL_DELAY {
                let kept: BTreeSet<LogId> = recorded.union(&wanted).cloned().collect();
                return (kept != recorded).then_some(kept);
            }
        }
        (wanted != recorded).then_some(wanted)
    }
}

/// What is needed to read and write the records.
#[derive(Debug)]
pub struct LogClient<'a, S> {
    /// Client of the store.
    pub store: &'a S,
    /// Era of the store.
    pub era: &'a SharedStoreEra,
    /// Records that this instance knows.
    pub table: &'a RefCell<GroupLogs>,
    /// Counters of the calls.
    pub metrics: &'a Metrics,
}

impl<S> LogClient<'_, S>
where
    S: Store,
{
    /// Reads the records of all groups, and tells `groups` which logs they have.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn read(&self, groups: &[Rc<GroupState>]) -> Result<(), StoreError> {
        let listing = self.list(Collection::GroupLogs).await?;
        let records = listing.objects.into_iter().filter_map(|object| {
            // A record that cannot be read or decoded was written by another version, and is replaced.
            let logs = match &object.content {
                Content::GatewayText(text) => {
                    serde_json::from_str(text).map(|StoredLogs { logs }| logs).unwrap_or_default()
                }
                Content::Unreadable { .. } => BTreeSet::new(),
                _ => return None,
            };
            Some((Group::from(&*object.name), RecordedLogs { version: object.version, logs }))
        });
        let mut table = self.table.borrow_mut();
        table.records = records.collect();
        table.listed = Some(listing.version.era);
        for group in groups {
            let recorded = table.records.get(&group.name);
            let logs = recorded.map(|recorded| recorded.logs.clone()).unwrap_or_default();
            group.view.borrow_mut().record_logs(logs, BTreeSet::new());
        }
        Ok(())
    }

    /// Reads the records before a failover of `group`. If logs are absent, reads also which of them an operator has declared
    /// lost.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn read_for(&self, group: &Rc<GroupState>) -> Result<(), StoreError> {
        self.read(std::slice::from_ref(group)).await?;
        let absent = group.view.borrow().absent_logs();
        if absent.is_empty() {
            return Ok(());
        }
        let lost = self.list(Collection::LostMembers).await?;
        let lost = lost.objects.iter().map(|object| LogId::new(&object.name));
        let given_up: BTreeSet<LogId> = lost.filter(|log| absent.contains(log)).collect();
        if !given_up.is_empty() {
            let logs: Vec<&str> = given_up.iter().map(LogId::as_str).collect();
            let fields = json!({ "group": group.name.as_str(), "logs": logs });
            events::log(Event::LogsGivenUp, fields);
        }
        let table = self.table.borrow();
        let recorded = table.records.get(&group.name);
        let logs = recorded.map(|recorded| recorded.logs.clone()).unwrap_or_default();
        group.view.borrow_mut().record_logs(logs, given_up);
        Ok(())
    }

    async fn list(&self, collection: Collection) -> Result<Listing, StoreError> {
        let listed = self.store.list(collection, Freshness::Current).await;
        let label = if listed.is_ok() { "listed" } else { "list_failed" };
        self.metrics.count(Counter::StoreCalls, label);
        listed
    }

    /// Writes the logs of `group`, based on the record that was read last.
    async fn write(&self, group: &GroupState, logs: BTreeSet<LogId>) -> Result<(), StoreError> {
        let stored = StoredLogs { logs };
        let text = serde_json::to_string(&stored);
        let text =
            text.map_err(|error| StoreError::NoAnswer { reason: error.to_string().into() })?;
        let base = self.table.borrow().records.get(&group.name).map(|recorded| recorded.version);
        let (collection, name) = (Collection::GroupLogs, group.name.as_str());
        let written = match base {
            Some(base) => self.store.replace(collection, name, base, &text).await,
            None => self.store.create(collection, name, &text).await,
        };
        let label = if written.is_ok() { "written" } else { "write_failed" };
        self.metrics.count(Counter::StoreCalls, label);
        let logs: Vec<&str> = stored.logs.iter().map(LogId::as_str).collect();
        let error = written.as_ref().err().map(ToString::to_string);
        let fields = json!({ "group": name, "logs": logs, "outcome": label, "error": error });
        events::log(Event::LogsRecorded, fields);
        let mut table = self.table.borrow_mut();
        let Ok(version) = written else {
            // Another instance may have written, or this write may have taken effect without an answer.
            table.listed = None;
            return written.map(|_| ());
        };
        let logs = stored.logs;
        table.records.insert(group.name.clone(), RecordedLogs { version, logs: logs.clone() });
        group.view.borrow_mut().record_logs(logs, BTreeSet::new());
        Ok(())
    }
}

/// What the task needs of the instance.
pub trait LogHost {
    /// Client of the store.
    type Store: Store;

    /// Client of the records.
    fn logs(&self) -> LogClient<'_, Self::Store>;

    /// All groups, or none at an instance that carries out no failovers.
    fn guarded_groups(&self) -> Vec<Rc<GroupState>>;

    /// Whether this instance keeps the record of `group`.
    fn keeps_record(&self, group: &Group) -> bool;
}

/// Keeps the records up to date, for as long as the process runs.
pub async fn run<H>(host: Rc<H>)
where
    H: LogHost,
{
    loop {
        let client = host.logs();
        within(CHECK_INTERVAL, client.era.listen()).await;
        let groups = host.guarded_groups();
        if groups.is_empty() {
            continue;
        }
        let is_listed = client.table.borrow().listed == Some(client.era.known());
        if !is_listed && client.read(&groups).await.is_err() {
            continue;
        }
        for group in groups.iter().filter(|group| host.keeps_record(&group.name)) {
            let due = client.table.borrow_mut().due(group, BootClock.now());
            // A write that fails is repeated after the records were read again.
            if let Some(logs) = due
                && client.write(group, logs).await.is_err()
            {
                break;
            }
        }
    }
}
