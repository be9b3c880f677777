//! Changes of configuration objects, as instances receive them from the store or from each other.

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use thiserror::Error;

/// Kind of an object in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A [`Contract`](crate::contract::Contract), named after its workspace.
    Contract,
    /// A [`KeyRecord`](crate::key::KeyRecord), named after its id.
    Key,
    /// A [`DatabaseRecord`](crate::database::DatabaseRecord), named after its database.
    Database,
    /// An [`UpstreamRecord`](crate::database::UpstreamRecord), named after its member.
    Upstream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Contract, Self::Key, Self::Database, Self::Upstream];

    /// The kind as it appears in the store's paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Contract => "contracts",
            Self::Key => "keys",
            Self::Database => "databases",
            Self::Upstream => "upstreams",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names no kind of configuration object; callers skip objects of other kinds, such as `status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a kind of configuration; use contracts, keys, databases or upstreams")]
pub struct ParseKindError;

impl FromStr for Kind {
    type Err = ParseKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or(ParseKindError)
    }
}

/// The value or the deletion of one object at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object within its kind.
    pub name: Arc<str>,
    /// Global revision of the store at which the change was made.
    pub version: u64,
    /// The object as JSON; `None` when it was deleted.
    pub value: Option<Arc<str>>,
}

impl Change {
    /// Creates the change that wrote `value`, a JSON text.
    pub fn put(kind: Kind, name: &str, version: u64, value: &str) -> Self {
        Self { kind, name: Arc::from(name), version, value: Some(Arc::from(value)) }
    }

    /// Creates the change that deleted the object.
    pub fn delete(kind: Kind, name: &str, version: u64) -> Self {
        Self { kind, name: Arc::from(name), version, value: None }
    }
}

/// Changes that update a view to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Changes {
    /// Revision that the receiver has after it applied the items.
    pub revision: u64,
    /// Age of the proof that the revision was the newest, when the answer was sent; `None` without a proof.
    pub proof_age: Option<Duration>,
    /// Whether the items are all existing objects, and not only the changes since the requested revision.
    pub complete: bool,
    /// Objects and deletions to apply.
    pub items: Vec<Change>,
}

/// An object whose value cannot be parsed; it counts as deleted until a valid version is written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind}/{name} at version {version} is not valid: {reason}; write a corrected object")]
pub struct InvalidObject {
    /// Kind of the object.
    pub kind: Kind,
    /// Name that the object is stored under.
    pub name: Arc<str>,
    /// Version of the invalid value.
    pub version: u64,
    /// Error of the parser, or of the check of the object's name.
    pub reason: String,
}
