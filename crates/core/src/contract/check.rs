//! Validation of contracts.

use std::{collections::HashSet, fmt, hash::Hash, sync::Arc};

use thiserror::Error;

use super::{Contract, Route, RouteRule};
use crate::name::{Database, KeyId};

/// Largest weight, which is the largest ratio between the weights of two workspaces in a fair queue.
const MAX_WEIGHT: u32 = 1_000;
/// Largest number of characters in the name of a workspace, as for a user name of PostgreSQL.
const MAX_NAME_CHARS: usize = 63;

/// One error of a contract; its message names the remedy.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum ContractError {
    /// The name of the workspace cannot be a user name.
    #[error(
        "workspace name `{0}`: use 1 to {MAX_NAME_CHARS} lower-case letters, digits, `-`, `_` or `.`"
    )]
    WorkspaceName(String),
    /// The contract names no database.
    #[error("databases: name at least one database")]
    NoDatabase,
    /// A database is named twice.
    #[error("databases: remove the second `{0}`")]
    DuplicateDatabase(Database),
    /// The rate is not a positive number.
    #[error("rate {0}: set a number of requests per second above 0")]
    Rate(f64),
    /// The burst is below one request.
    #[error("burst {0}: set a number of requests of at least 1")]
    Burst(f64),
    /// The burst leaves the members less than one token each.
    #[error("burst {burst}: set at least {members}, one request for each member of the databases")]
    BurstBelowMembers {
        /// Burst of the contract in requests.
        burst: f64,
        /// Members of all databases of the contract.
        members: usize,
    },
    /// The weight is out of range.
    #[error("weight {0}: set a number from 1 to {MAX_WEIGHT}")]
    Weight(u32),
    /// A key is named twice.
    #[error("keys: remove the second `{0}`")]
    DuplicateKey(KeyId),
    /// A route names no table.
    #[error("routes[{route}]: name at least one table or remove the route")]
    NoTable {
        /// Index in the contract's routes.
        route: usize,
    },
    /// A route names a table twice.
    #[error("routes[{route}]: remove the second `{table}`")]
    DuplicateTable {
        /// Index in the contract's routes.
        route: usize,
        /// Table as the route names it.
        table: Arc<str>,
    },
    /// A table name is empty, has blanks or is not in lower case.
    #[error("routes[{route}]: write the table `{table}` in lower case and without blanks")]
    TableName {
        /// Index in the contract's routes.
        route: usize,
        /// Table as the route names it.
        table: Arc<str>,
    },
    /// The largest age of a route is 0.
    #[error("routes[{route}]: set max_age_ms above 0 or remove the route")]
    NoAge {
        /// Index in the contract's routes.
        route: usize,
    },
    /// A route never matches, because an earlier one covers all of its tables.
    #[error("routes[{route}]: never matches because of routes[{earlier}]; remove it or move it up")]
    Unreachable {
        /// Index in the contract's routes.
        route: usize,
        /// Index of the earlier route that covers it.
        earlier: usize,
    },
}

/// All errors of a contract.
#[derive(Debug, Clone, PartialEq, Error)]
pub struct ContractErrors(Vec<ContractError>);

impl ContractErrors {
    /// The errors in the order of the contract's fields; at least one.
    pub fn errors(&self) -> &[ContractError] {
        &self.0
    }
}

impl fmt::Display for ContractErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the contract has {} error(s)", self.0.len())?;
        for error in &self.0 {
            write!(f, "\n- {error}")?;
        }
        Ok(())
    }
}

pub(super) fn check(contract: &Contract, members: Option<usize>) -> Result<(), ContractErrors> {
    let mut errors = Vec::new();
    check_name(contract, &mut errors);
    check_databases(contract, &mut errors);
    check_amounts(contract, members, &mut errors);
    let keys = duplicates(&contract.keys);
    errors.extend(keys.cloned().map(ContractError::DuplicateKey));
    for (index, route) in contract.routes.iter().enumerate() {
        check_route(index, route, &mut errors);
        check_reachable(index, &contract.routes, &mut errors);
    }
    if errors.is_empty() { Ok(()) } else { Err(ContractErrors(errors)) }
}

fn check_name(contract: &Contract, errors: &mut Vec<ContractError>) {
    let name = contract.workspace.as_str();
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let fits = (1..=MAX_NAME_CHARS).contains(&name.len());
    if !fits || !name.chars().all(allowed) {
        errors.push(ContractError::WorkspaceName(name.to_owned()));
    }
}

fn check_databases(contract: &Contract, errors: &mut Vec<ContractError>) {
    if contract.databases.is_empty() {
        errors.push(ContractError::NoDatabase);
    }
    let databases = duplicates(&contract.databases);
    errors.extend(databases.cloned().map(ContractError::DuplicateDatabase));
}

fn check_amounts(contract: &Contract, members: Option<usize>, errors: &mut Vec<ContractError>) {
    let Contract { rate, burst, weight, .. } = *contract;
    if !rate.is_finite() || rate <= 0.0 {
        errors.push(ContractError::Rate(rate));
    }
    if !burst.is_finite() || burst < 1.0 {
        errors.push(ContractError::Burst(burst));
    } else if let Some(members) = members.filter(|members| burst < count_as_f64(*members)) {
        errors.push(ContractError::BurstBelowMembers { burst, members });
    }
    if !(1..=MAX_WEIGHT).contains(&weight) {
        errors.push(ContractError::Weight(weight));
    }
}

fn check_route(index: usize, route: &Route, errors: &mut Vec<ContractError>) {
    if route.tables.is_empty() {
        errors.push(ContractError::NoTable { route: index });
    }
    for table in duplicates(&route.tables) {
        errors.push(ContractError::DuplicateTable { route: index, table: table.clone() });
    }
    for table in &route.tables {
        let invalid = |c: char| c.is_uppercase() || c.is_whitespace();
        if table.is_empty() || table.contains(invalid) {
            errors.push(ContractError::TableName { route: index, table: table.clone() });
        }
    }
    if route.rule.max_age().is_some_and(|age| age.is_zero()) {
        errors.push(ContractError::NoAge { route: index });
    }
}

/// Reports a route that never matches because an earlier one covers all of its tables.
///
/// [`Contract::open_read`] looks only at open routes, so an open route is unreachable only behind another open one.
fn check_reachable(index: usize, routes: &[Route], errors: &mut Vec<ContractError>) {
    let route = &routes[index];
    let covers_kind = |earlier: &Route| match route.rule {
        RouteRule::StaleRead { .. } => earlier.rule.max_age().is_some(),
        RouteRule::OpenRead { .. } => matches!(earlier.rule, RouteRule::OpenRead { .. }),
        RouteRule::Unrepeatable => earlier.rule == RouteRule::Unrepeatable,
    };
    let covered = |earlier: &Route| covers_kind(earlier) && earlier.covers(&route.tables);
    if let Some(earlier) = routes[..index].iter().position(covered) {
        errors.push(ContractError::Unreachable { route: index, earlier });
    }
}

fn duplicates<T>(items: &[T]) -> impl Iterator<Item = &T>
where
    T: Eq + Hash,
{
    let mut seen = HashSet::new();
    items.iter().filter(move |item| !seen.insert(*item))
}

fn count_as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
