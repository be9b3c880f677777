//! Bodies of requests and answers of the platform.

use hibiscusladder_core::name::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind, such as `contracts`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Global revision at which the object changed last; 0 when it does not exist.
    pub version: u64,
    /// Contents; null when the object does not exist.
    #[serde(default)]
    pub value: Value,
}

/// Answer with all objects of one kind that can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store that the list reflects, from which a watch can resume.
    pub revision: u64,
    /// The objects of the kind.
    pub items: Vec<StoredObject>,
}

/// Type of a change to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeType {
    /// The object was created or has a new value.
    Put,
    /// The object was deleted.
    Delete,
}

/// One change to an object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StoreEvent {
    /// Type of the change.
    #[serde(rename = "type")]
    pub change: ChangeType,
    /// The object after the change.
    #[serde(flatten)]
    pub object: StoredObject,
}

/// Answer to a watch: the changes after a revision that can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchAnswer {
    /// Revision of the store at the time of the answer, from which the next watch resumes.
    pub revision: u64,
    /// The changes in the order of their versions; empty when there was none during the wait.
    pub events: Vec<StoreEvent>,
}

/// Entry of an instance in the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the instance, the key of the entry.
    pub id: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Address for calls of other instances as `host:port`.
    pub rpc: String,
    /// Address of the HTTP server for the health check as `host:port`.
    pub health: String,
    /// Whether the instance takes connections.
    pub state: RegistrationState,
}

/// State of a registered instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RegistrationState {
    /// The instance takes connections.
    Live,
    /// The instance drains before it stops.
    Leaving,
}

/// Parts of a [`StoreEvent`] without the value, of which each may be unreadable by itself.
#[derive(Debug, Deserialize)]
pub(super) struct EventParts<'a> {
    #[serde(borrow, rename = "type")]
    pub(super) change: &'a RawValue,
    #[serde(borrow)]
    pub(super) kind: &'a RawValue,
    #[serde(borrow)]
    pub(super) name: &'a RawValue,
    #[serde(borrow)]
    pub(super) version: &'a RawValue,
}

/// Answer to an accepted change, with the new version of the object.
#[derive(Debug, Deserialize)]
pub(super) struct Accepted {
    pub(super) version: u64,
}

/// A list whose entries come from several writers and are read one by one.
#[derive(Debug, Deserialize)]
pub(super) struct RawList<'a> {
    /// Revision of the store; 0 for a list that has none.
    #[serde(default)]
    pub(super) revision: u64,
    #[serde(borrow, alias = "events")]
    pub(super) items: Vec<&'a RawValue>,
}
