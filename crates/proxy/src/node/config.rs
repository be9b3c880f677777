//! Immutable view of the configuration.

use std::{collections::HashMap, sync::Arc};

use hibiscusladder_core::{
    contract::Contract,
    database::{DatabaseRecord, UpstreamRecord, UpstreamState},
    name::{Database, KeyId, MemberId, Workspace},
};

/// One object of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigObject {
    /// Kind, such as `contracts`.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Global revision at which the object changed last.
    pub version: u64,
    /// JSON text; absent when the object was deleted.
    pub value: Option<Arc<str>>,
}

/// Immutable view of the configuration at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    revision: u64,
    contracts: HashMap<Workspace, Arc<Contract>>,
    keys: HashMap<KeyId, Arc<str>>,
    databases: HashMap<Database, Arc<DatabaseRecord>>,
    upstreams: HashMap<MemberId, UpstreamState>,
}

impl ConfigSnapshot {
    /// Reads the objects; an object that cannot be read is left out and returned in the second list.
    pub fn from_objects<'a, I>(revision: u64, objects: I) -> (Self, Vec<String>)
    where
        I: IntoIterator<Item = &'a ConfigObject>,
    {
        let mut snapshot = Self { revision, ..Self::default() };
        let mut faults = Vec::new();
        for object in objects {
            if let Err(error) = snapshot.insert(object) {
                faults.push(format!("{}/{} cannot be read: {error}", object.kind, object.name));
            }
        }
        (snapshot, faults)
    }

    fn insert(&mut self, object: &ConfigObject) -> Result<(), serde_json::Error> {
        let Some(value) = &object.value else {
            return Ok(());
        };
        match &*object.kind {
            "contracts" => {
                let contract: Contract = serde_json::from_str(value)?;
                self.contracts.insert(Workspace::new(&object.name), Arc::new(contract));
            }
            "keys" => {
                self.keys.insert(KeyId::new(&object.name), Arc::clone(value));
            }
            "databases" => {
                let record: DatabaseRecord = serde_json::from_str(value)?;
                self.databases.insert(Database::new(&object.name), Arc::new(record));
            }
            "upstreams" => {
                let record: UpstreamRecord = serde_json::from_str(value)?;
                self.upstreams.insert(MemberId::new(&object.name), record.state);
            }
            _ => {}
        }
        Ok(())
    }

    /// Revision of the store that the view includes.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The contract of `workspace`.
    pub fn contract(&self, workspace: &Workspace) -> Option<&Arc<Contract>> {
        self.contracts.get(workspace)
    }

    /// All contracts.
    pub fn contracts(&self) -> impl Iterator<Item = &Arc<Contract>> {
        self.contracts.values()
    }

    /// The record of the key `id`, without its secret.
    pub fn key(&self, id: &KeyId) -> Option<&Arc<str>> {
        self.keys.get(id)
    }

    /// The record of `database`.
    pub fn database(&self, database: &Database) -> Option<&Arc<DatabaseRecord>> {
        self.databases.get(database)
    }

    /// All databases.
    pub fn databases(&self) -> impl Iterator<Item = &Arc<DatabaseRecord>> {
        self.databases.values()
    }

    /// Whether `member` takes new work; members without a record do.
    pub fn upstream(&self, member: &MemberId) -> UpstreamState {
        self.upstreams.get(member).copied().unwrap_or(UpstreamState::Live)
    }
}
