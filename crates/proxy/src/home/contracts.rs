//! Division of every contract among its databases, with the changes since the process started.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, Weak},
};

use hibiscusladder_core::{
    name::Workspace,
    share::{Division, Divisions},
};

use crate::node::{Node, lock};

/// Present and earlier divisions of the contracts.
#[derive(Debug, Default)]
pub(super) struct ContractDivisions {
    histories: Mutex<Histories>,
}

#[derive(Debug, Default)]
struct Histories {
    by_workspace: HashMap<Workspace, Divisions>,
    /// Whether a configuration was applied before. Contracts in the first one may have been changed shortly before, so
    /// other homes may still use an older division.
    config_applied: bool,
}

impl ContractDivisions {
    /// Applies every change of the configuration of `node` until the returned value is dropped.
    pub(super) fn follow(node: &Arc<Node>) -> Arc<Self> {
        let contracts = Arc::new(Self::default());
        contracts.update(node);
        smol::spawn(follow(Arc::downgrade(&contracts), Arc::clone(node))).detach();
        contracts
    }

    /// The divisions of the contract of `workspace`; `None` when the workspace has had no contract since the
    /// process started.
    pub(super) fn divisions(&self, node: &Node, workspace: &Workspace) -> Option<Divisions> {
        if let Some(divisions) = lock(&self.histories).by_workspace.get(workspace) {
            return Some(divisions.clone());
        }
        // The contract may be part of a change that the following task has not applied yet.
        self.update(node);
        lock(&self.histories).by_workspace.get(workspace).cloned()
    }

    fn update(&self, node: &Node) {
        let config = node.config();
        let now = node.now();
        let mut histories = lock(&self.histories);
        if config.revision() == 0 && config.contracts().next().is_none() {
            return;
        }
        let config_applied = histories.config_applied;
        histories.config_applied = true;
        for contract in config.contracts() {
            let division = Division::of(contract, &config);
            match histories.by_workspace.get_mut(&contract.workspace) {
                Some(divisions) if *divisions.current() == division => {}
                Some(divisions) => divisions.record(division, now),
                None => {
                    let divisions = match config_applied {
                        true => Divisions::for_new_contract(division),
                        false => Divisions::for_existing_contract(division, now),
                    };
                    histories.by_workspace.insert(contract.workspace.clone(), divisions);
                }
            }
        }
        for (workspace, divisions) in &mut histories.by_workspace {
            if config.contract(workspace).is_none() && *divisions.current() != Division::default() {
                divisions.record(Division::default(), now);
            }
        }
    }
}

async fn follow(contracts: Weak<ContractDivisions>, node: Arc<Node>) {
    loop {
        let changed = node.config_changed();
        let Some(contracts) = contracts.upgrade() else { return };
        contracts.update(&node);
        drop(contracts);
        changed.await;
    }
}
