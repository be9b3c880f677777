//! Store of versioned objects, and the events from which watches resume.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use serde_json::Value;

/// A versioned object, as calls return it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Object {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) value: Value,
}

/// All objects of a kind at a revision.
#[derive(Debug, Serialize)]
pub(crate) struct ObjectList {
    revision: u64,
    items: Vec<Object>,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum EventType {
    Put,
    Delete,
}

/// A change with the object after it; the value of a deleted object is null.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type")]
    event_type: EventType,
    #[serde(flatten)]
    object: Object,
}

/// Changes after a revision, with the current revision of the store.
#[derive(Debug, Serialize)]
pub(crate) struct Changes {
    revision: u64,
    events: Vec<Event>,
}

impl Changes {
    pub(crate) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}

/// Response to a successful change, with the version that it gave the object.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    version: u64,
}

/// The expected version of a change is not the current one.
///
/// Holds the current object; one that does not exist has version 0 and a null value.
#[derive(Debug)]
pub(crate) struct Conflict(pub(crate) Object);

/// The events after the requested revision are no longer kept.
#[derive(Debug)]
pub(crate) struct Compacted;

/// Versioned objects; the version of a change is the next value of one counter for the whole store.
#[derive(Debug)]
pub(crate) struct Store {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    events: VecDeque<Event>,
    kept_events: usize,
}

impl Store {
    /// Creates an empty store that keeps the last `kept_events` changes.
    pub(crate) const fn new(kept_events: usize) -> Self {
        Self { objects: BTreeMap::new(), revision: 0, events: VecDeque::new(), kept_events }
    }

    /// All objects of `kind`, with the current revision of the store.
    pub(crate) fn list(&self, kind: &str) -> ObjectList {
        let of_kind = self.objects.values().filter(|object| object.kind == kind);
        ObjectList { revision: self.revision, items: of_kind.cloned().collect() }
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Writes an object if its current version is `expected`, where 0 means that it does not exist.
    ///
    /// Without `expected`, the object is written whatever its version.
    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        value: Value,
    ) -> Result<Accepted, Conflict> {
        self.check_version(kind, name, expected)?;
        self.revision += 1;
        let object =
            Object { kind: kind.to_owned(), name: name.to_owned(), version: self.revision, value };
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.record_event(EventType::Put, object);
        Ok(Accepted { version: self.revision })
    }

    /// Deletes an object if it exists and its current version is `expected`; without `expected`, whatever its version.
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<Accepted, Conflict> {
        self.check_version(kind, name, expected)?;
        if self.objects.remove(&(kind.to_owned(), name.to_owned())).is_none() {
            return Err(Conflict(absent_object(kind, name)));
        }
        self.revision += 1;
        let object = Object { version: self.revision, ..absent_object(kind, name) };
        self.record_event(EventType::Delete, object);
        Ok(Accepted { version: self.revision })
    }

    /// Changes after the revision `from`.
    pub(crate) fn changes(&self, from: u64) -> Result<Changes, Compacted> {
        let oldest = self.events.front().map_or(self.revision + 1, |event| event.object.version);
        if from + 1 < oldest {
            return Err(Compacted);
        }
        let newer = self.events.iter().filter(|event| event.object.version > from);
        Ok(Changes { revision: self.revision, events: newer.cloned().collect() })
    }

    fn check_version(&self, kind: &str, name: &str, expected: Option<u64>) -> Result<(), Conflict> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        if expected.is_some_and(|expected| expected != version) {
            return Err(Conflict(current.cloned().unwrap_or_else(|| absent_object(kind, name))));
        }
        Ok(())
    }

    fn record_event(&mut self, event_type: EventType, object: Object) {
        self.events.push_back(Event { event_type, object });
        if self.events.len() > self.kept_events {
            self.events.pop_front();
        }
    }
}

/// Represents an object that does not exist.
fn absent_object(kind: &str, name: &str) -> Object {
    Object { kind: kind.to_owned(), name: name.to_owned(), version: 0, value: Value::Null }
}
