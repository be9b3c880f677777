//! Checks a client's key, contract and database against the current configuration.

use std::sync::Arc;

use hibiscusladder_core::{
    contract::Contract,
    key::{Key, SecretDetector},
    name::{Database, Workspace},
    outcome::{Refusal, RefusalKind},
};

use crate::node::Node;

/// Workspace, database and key that a client connected with.
#[derive(Debug)]
pub(super) struct Identity {
    pub(super) workspace: Workspace,
    pub(super) database: Database,
    /// `None` for a client without a key, which may use open routes only.
    pub(super) key: Option<ClientKey>,
}

/// The key of a client, with a detector of its secret.
#[derive(Debug)]
pub(super) struct ClientKey {
    key: Key,
    detector: SecretDetector,
}

impl ClientKey {
    pub(super) fn new(key: Key) -> Self {
        Self { detector: key.detector(), key }
    }

    pub(super) const fn key(&self) -> &Key {
        &self.key
    }

    /// Whether `bytes` contain the secret of the key.
    pub(super) fn is_in(&self, bytes: &[u8]) -> bool {
        self.detector.found_in(bytes)
    }
}

/// Contract of an authorised client, and the result of the check of its key.
#[derive(Debug)]
pub(super) struct Authorised {
    pub(super) contract: Arc<Contract>,
    /// The refusal of requests that need a valid key, if there is one; open routes can be used nevertheless.
    pub(super) key_check: Result<(), Refusal>,
}

impl Identity {
    /// Checks key, contract and database against the current configuration.
    ///
    /// This is called for every batch, so that a connected client loses access when its key is withdrawn.
    ///
    /// # Errors
    ///
    /// Returns the refusal after which the connection is closed.
    pub(super) fn authorise(&self, node: &Node) -> Result<Authorised, Refusal> {
        let config = node.config();
        let rejected = || Refusal::not_run(RefusalKind::KeyRejected);
        let usable = node.config_usable();
        let Some(contract) = config.contract(&self.workspace).map(Arc::clone) else {
            // The workspace may be missing only because the configuration is not up to date.
            return Err(if usable { rejected() } else { config_unconfirmed() });
        };
        if !contract.databases.contains(&self.database) {
            return Err(Refusal::not_run(RefusalKind::DatabaseNotInContract)
                .detail(self.database.to_string()));
        }
        let Some(client_key) = &self.key else {
            return Ok(Authorised { contract, key_check: Err(rejected()) });
        };
        let key = client_key.key();
        let valid = config.key(key.id()).is_some_and(|record| {
            record.verify(key)
                && record.workspace == self.workspace
                && contract.keys.contains(key.id())
        });
        if !valid {
            return Err(rejected());
        }
        Ok(Authorised {
            contract,
            key_check: if usable { Ok(()) } else { Err(config_unconfirmed()) },
        })
    }
}

fn config_unconfirmed() -> Refusal {
    Refusal::not_run(RefusalKind::ConfigUnconfirmed)
}
