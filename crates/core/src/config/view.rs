//! The copy of all configuration objects.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use serde::de::DeserializeOwned;

use super::{Change, Changes, Freshness, InvalidObject, Kind};
use crate::{
    clock::Instant,
    contract::Contract,
    database::{DatabaseRecord, UpstreamRecord, UpstreamState},
    key::KeyRecord,
    name::{Database, KeyId, MemberId, Workspace},
};

/// Largest number of deletions that are kept. Beyond it the oldest are dropped, and instances that are further behind
/// receive a snapshot.
const MAX_TOMBSTONES: usize = 10_000;

/// Result of applying one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The view holds the object at the new version.
    Updated,
    /// The view already held this version or a higher one.
    Stale,
}

/// Result of applying a batch of changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchOutcome {
    /// Objects that changed, as kind and name.
    pub updated: Vec<(Kind, Arc<str>)>,
    /// Objects that cannot be parsed and count as deleted.
    pub invalid: Vec<InvalidObject>,
}

#[derive(Debug, Clone)]
enum Object {
    Contract(Arc<Contract>),
    Key(Arc<KeyRecord>),
    Database(Arc<DatabaseRecord>),
    Upstream(UpstreamRecord),
}

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    /// JSON as received, to be sent to other instances unchanged; `None` when the object was deleted.
    value: Option<Arc<str>>,
    /// `None` when the object was deleted or cannot be parsed.
    object: Option<Object>,
}

/// All objects at their highest known versions, with the proof of how recent they are.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    entries: BTreeMap<Kind, BTreeMap<Arc<str>, Entry>>,
    revision: u64,
    /// Deletions up to this revision may be missing, because a complete list contains none or they were dropped.
    floor: u64,
    freshness: Freshness,
}

impl ConfigView {
    /// Applies one change if its version is higher than the one held.
    ///
    /// The view's revision stays, since only a batch is known to have no gaps.
    ///
    /// # Errors
    ///
    /// The object cannot be parsed. It counts as deleted from its version on.
    pub fn apply(&mut self, change: Change) -> Result<Applied, InvalidObject> {
        let objects = self.entries.entry(change.kind).or_default();
        // Every change up to the view's revision has been applied, also the deletions that complete lists do not
        // contain.
        let held = objects.get(&change.name).map_or(0, |held| held.version);
        if change.version <= held.max(self.revision) {
            return Ok(Applied::Stale);
        }
        let parsed = change.value.as_ref().map(|value| parse(&change, value)).transpose();
        let (object, result) = match parsed {
            Ok(object) => (object, Ok(Applied::Updated)),
            Err(invalid) => (None, Err(invalid)),
        };
        let entry = Entry { version: change.version, value: change.value, object };
        objects.insert(change.name, entry);
        result
    }

    /// Applies the answer to a request for the changes since `since` that was sent at `sent`.
    ///
    /// An incremental answer leaves a gap when `since` is above this view's revision; its items are applied but the
    /// revision stays.
    pub fn apply_all(&mut self, changes: Changes, since: u64, sent: Instant) -> BatchOutcome {
        let Changes { revision, proof_age, complete, items } = changes;
        let without_gap = complete || since <= self.revision;
        let mut outcome = BatchOutcome::default();
        if complete {
            self.delete_missing(&items, revision, &mut outcome);
        }
        for change in items {
            let name = (change.kind, change.name.clone());
            match self.apply(change) {
                Ok(Applied::Updated) => outcome.updated.push(name),
                Ok(Applied::Stale) => {}
                Err(invalid) => {
                    outcome.updated.push(name);
                    outcome.invalid.push(invalid);
                }
            }
        }
        self.drop_old_tombstones();
        if complete && revision > self.revision {
            self.floor = revision;
        }
        if without_gap {
            self.revision = self.revision.max(revision);
            proof_age.map(|age| self.merge_proof(revision, age, sent));
        }
        outcome
    }

    /// Adopts the proof of another instance that has `revision`, if this view has the same revision. The proof was
    /// `proof_age` old in the answer to a request sent at `sent`.
    ///
    /// Returns whether the proof was newer than the one held.
    pub fn merge_proof(&mut self, revision: u64, proof_age: Duration, sent: Instant) -> bool {
        revision == self.revision && self.freshness.record_proof(revision, sent, proof_age)
    }

    /// Revision up to which the view has every change.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The most recent proof of the view's age.
    pub const fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// The changes after revision `since`, or a snapshot when deletions after `since` may be missing.
    pub fn changes_since(&self, since: u64, now: Instant) -> Changes {
        if since < self.floor {
            return self.snapshot(now);
        }
        self.changes(false, now, |entry| entry.version > since)
    }

    /// All objects, with the deletions that are kept.
    pub fn snapshot(&self, now: Instant) -> Changes {
        self.changes(true, now, |_| true)
    }

    /// The contract of a workspace; `None` when there is no valid one.
    pub fn contract(&self, workspace: &Workspace) -> Option<&Arc<Contract>> {
        match self.object(Kind::Contract, workspace.as_str())? {
            Object::Contract(contract) => Some(contract),
            _ => None,
        }
    }

    /// All valid contracts, sorted by the name of the workspace.
    pub fn contracts(&self) -> impl Iterator<Item = &Arc<Contract>> {
        self.objects(Kind::Contract).filter_map(|object| match object {
            Object::Contract(contract) => Some(contract),
            _ => None,
        })
    }

    /// The record of a key; `None` when there is no valid one.
    pub fn key(&self, id: &KeyId) -> Option<&Arc<KeyRecord>> {
        match self.object(Kind::Key, id.as_str())? {
            Object::Key(record) => Some(record),
            _ => None,
        }
    }

    /// The record of a database; `None` when there is no valid one.
    pub fn database(&self, name: &Database) -> Option<&Arc<DatabaseRecord>> {
        match self.object(Kind::Database, name.as_str())? {
            Object::Database(record) => Some(record),
            _ => None,
        }
    }

    /// All valid records of databases, sorted by name.
    pub fn databases(&self) -> impl Iterator<Item = &Arc<DatabaseRecord>> {
        self.objects(Kind::Database).filter_map(|object| match object {
            Object::Database(record) => Some(record),
            _ => None,
        })
    }

    /// State of an upstream; one without a record is live.
    pub fn upstream(&self, member: &MemberId) -> UpstreamState {
        match self.object(Kind::Upstream, member.as_str()) {
            Some(Object::Upstream(record)) => record.state,
            _ => UpstreamState::Live,
        }
    }

    /// Version of an object or of its deletion; 0 when it never existed or its deletion was dropped.
    pub fn version(&self, kind: Kind, name: &str) -> u64 {
        self.entry(kind, name).map_or(0, |entry| entry.version)
    }

    fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&kind)?.get(name)
    }

    fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.entry(kind, name)?.object.as_ref()
    }

    fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let entries = self.entries.get(&kind).into_iter().flat_map(BTreeMap::values);
        entries.filter_map(|entry| entry.object.as_ref())
    }

    fn changes<F>(&self, complete: bool, now: Instant, selected: F) -> Changes
    where
        F: Fn(&Entry) -> bool,
    {
        let mut items = Vec::new();
        for (kind, entries) in &self.entries {
            for (name, entry) in entries.iter().filter(|(_, entry)| selected(entry)) {
                let (version, value) = (entry.version, entry.value.clone());
                items.push(Change { kind: *kind, name: name.clone(), version, value });
            }
        }
        items.sort_by_key(|change| change.version);
        let proof_age = self.freshness.age(now);
        Changes { revision: self.revision, proof_age, complete, items }
    }

    /// Deletes the objects that a complete list at `revision` does not contain; objects with a higher version are kept.
    fn delete_missing(&mut self, items: &[Change], revision: u64, outcome: &mut BatchOutcome) {
        let listed: HashSet<(Kind, &str)> =
            items.iter().map(|item| (item.kind, &*item.name)).collect();
        for (kind, entries) in &mut self.entries {
            for (name, entry) in entries {
                let listed = listed.contains(&(*kind, &**name));
                let missing = entry.value.is_some() && entry.version <= revision && !listed;
                if missing {
                    *entry = Entry { version: revision, value: None, object: None };
                    outcome.updated.push((*kind, name.clone()));
                }
            }
        }
    }

    fn drop_old_tombstones(&mut self) {
        let entries = self.entries.values().flat_map(BTreeMap::values);
        let revision = self.revision;
        let deleted = entries.filter(|entry| entry.value.is_none() && entry.version <= revision);
        let mut versions: Vec<u64> = deleted.map(|entry| entry.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        // Half are dropped at once, so that this does not run for every change.
        let middle = versions.len() / 2;
        let (_, floor, _) = versions.select_nth_unstable(middle);
        self.floor = self.floor.max(*floor);
        let floor = self.floor;
        for entries in self.entries.values_mut() {
            entries.retain(|_, entry| entry.value.is_some() || entry.version > floor);
        }
    }
}

fn parse(change: &Change, value: &str) -> Result<Object, InvalidObject> {
    let name: &str = &change.name;
    match change.kind {
        Kind::Contract => {
            let contract: Contract = parse_json(change, value)?;
            check_name(change, contract.workspace.as_str() == name)?;
            Ok(Object::Contract(Arc::new(contract)))
        }
        Kind::Key => {
            let record: KeyRecord = parse_json(change, value)?;
            check_name(change, record.id.as_str() == name)?;
            Ok(Object::Key(Arc::new(record)))
        }
        Kind::Database => {
            let record: DatabaseRecord = parse_json(change, value)?;
            check_name(change, record.name.as_str() == name)?;
            Ok(Object::Database(Arc::new(record)))
        }
        Kind::Upstream => Ok(Object::Upstream(parse_json(change, value)?)),
    }
}

fn parse_json<T>(change: &Change, value: &str) -> Result<T, InvalidObject>
where
    T: DeserializeOwned,
{
    serde_json::from_str(value).map_err(|error| invalid(change, &error))
}

/// Rejects an object that contains another name than it is stored under; otherwise one key could act for another.
fn check_name(change: &Change, matches: bool) -> Result<(), InvalidObject> {
    if matches {
        Ok(())
    } else {
        Err(invalid(change, &"its name differs from the name it is stored under"))
    }
}

fn invalid<E>(change: &Change, reason: &E) -> InvalidObject
where
    E: fmt::Display,
{
    InvalidObject {
        kind: change.kind,
        name: change.name.clone(),
        version: change.version,
        reason: reason.to_string(),
    }
}
