//! Bodies of the platform's calls.

use hibiscusladder_core::name::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An object as the store returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind, such as `contracts`.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Global revision at which the object changed last; 0 when it does not exist.
    pub version: u64,
    /// Value; null when the object does not exist.
    #[serde(default)]
    pub value: Value,
}

/// All objects of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// Revision of the store when it was listed.
    pub revision: u64,
    /// The objects.
    pub items: Vec<StoredObject>,
}

/// Whether a change writes or deletes its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeType {
    /// The object has a new value.
    Put,
    /// The object was deleted.
    Delete,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StoreEvent {
    /// Whether the object was written or deleted.
    #[serde(rename = "type")]
    pub change: ChangeType,
    /// The object after the change.
    #[serde(flatten)]
    pub object: StoredObject,
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WatchAnswer {
    /// Revision of the store when it answered.
    pub revision: u64,
    /// The changes in the order of their versions.
    pub events: Vec<StoreEvent>,
}

/// Registration of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address for calls as `host:port`.
    pub rpc: String,
    /// Address of the health check as `host:port`.
    pub health: String,
    /// State.
    pub state: RegistrationState,
}

/// State of a registered instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RegistrationState {
    /// Takes connections.
    Live,
    /// Shuts down.
    Leaving,
}

#[derive(Debug, Deserialize)]
pub(super) struct Accepted {
    pub(super) version: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Registrations {
    pub(super) items: Vec<Registration>,
}
