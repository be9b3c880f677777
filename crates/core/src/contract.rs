//! Contracts: the databases, limits and routes of a workspace.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::prelude::*;
//!
//! let contract = Contract {
//!     workspace: "club-andino".into(),
//!     databases: vec!["padron".into()],
//!     rate: 50.0,
//!     burst: 100.0,
//!     weight: 1,
//!     keys: vec![],
//!     routes: vec![Route {
//!         tables: vec!["horarios".into()],
//!         rule: RouteRule::StaleRead { max_age_ms: 2_000 },
//!     }],
//! };
//! assert!(contract.check().is_ok());
//!
//! let class = contract.classify(&["horarios"], false);
//! assert_eq!(class, StatementClass::StaleRead { max_age: Duration::from_secs(2) });
//! assert_eq!(contract.classify(&["horarios", "socios"], false), StatementClass::Read);
//! ```

mod check;

pub use self::check::{ContractError, ContractErrors};

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    name::{Database, KeyId, Workspace},
    request::StatementClass,
};

/// Limits and rules of a workspace, stored and changed as one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Workspace that the contract is for.
    pub workspace: Workspace,
    /// Databases that the workspace may use; rate and burst are divided among their members.
    pub databases: Vec<Database>,
    /// Requests per second, over all instances.
    pub rate: f64,
    /// Requests that may be admitted at once, over all instances.
    pub burst: f64,
    /// Weight in the fair queue, from 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys that may act for the workspace.
    #[serde(default)]
    pub keys: Vec<KeyId>,
    /// Rules for statements on named tables; the first that matches applies.
    #[serde(default)]
    pub routes: Vec<Route>,
}

impl Contract {
    /// Validates the contract without the database groups.
    ///
    /// # Errors
    ///
    /// Every error of the contract, each with its remedy.
    pub fn check(&self) -> Result<(), ContractErrors> {
        check::check(self, None)
    }

    /// Validates the contract when its databases have `members` members in total.
    ///
    /// # Errors
    ///
    /// Every error of the contract, each with its remedy. A burst below `members` is an error: the part of a member
    /// would stay below one token, and no request could be admitted without a loan.
    pub fn check_for(&self, members: usize) -> Result<(), ContractErrors> {
        check::check(self, Some(members))
    }

    /// Class of a statement that uses `tables`, which are in lower case.
    ///
    /// A write that touches a table with an unrepeatable route is unrepeatable as a whole. A read may be stale only when
    /// one route covers all of its tables.
    pub fn classify<S>(&self, tables: &[S], is_write: bool) -> StatementClass
    where
        S: AsRef<str>,
    {
        if is_write {
            return self.write_class(tables);
        }
        match self.max_read_age(tables) {
            Some(max_age) => StatementClass::StaleRead { max_age },
            None => StatementClass::Read,
        }
    }

    /// Largest age of the data for a read of `tables` by a client without a key; `None` when it is not allowed.
    pub fn open_read<S>(&self, tables: &[S]) -> Option<Duration>
    where
        S: AsRef<str>,
    {
        let open = |route: &&Route| matches!(route.rule, RouteRule::OpenRead { .. });
        self.routes.iter().filter(open).find(|route| route.covers(tables))?.rule.max_age()
    }

    fn write_class<S>(&self, tables: &[S]) -> StatementClass
    where
        S: AsRef<str>,
    {
        let unrepeatable =
            |route: &Route| route.rule == RouteRule::Unrepeatable && route.touches(tables);
        if self.routes.iter().any(unrepeatable) {
            return StatementClass::UnrepeatableWrite;
        }
        StatementClass::Write
    }

    fn max_read_age<S>(&self, tables: &[S]) -> Option<Duration>
    where
        S: AsRef<str>,
    {
        let allows_age = |route: &&Route| route.rule.max_age().is_some();
        self.routes.iter().filter(allows_age).find(|route| route.covers(tables))?.rule.max_age()
    }
}

/// A rule for statements on the named tables.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Tables that the rule covers, in lower case.
    pub tables: Vec<Arc<str>>,
    /// Rule for reads that use only these tables, or for writes that use one of them.
    pub rule: RouteRule,
}

impl Route {
    /// Whether the route names all of `tables`; false when `tables` is empty.
    pub fn covers<S>(&self, tables: &[S]) -> bool
    where
        S: AsRef<str>,
    {
        !tables.is_empty() && tables.iter().all(|table| self.names(table.as_ref()))
    }

    /// Whether the route names at least one of `tables`.
    pub fn touches<S>(&self, tables: &[S]) -> bool
    where
        S: AsRef<str>,
    {
        tables.iter().any(|table| self.names(table.as_ref()))
    }

    fn names(&self, table: &str) -> bool {
        self.tables.iter().any(|named| &**named == table)
    }
}

/// Rule of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RouteRule {
    /// Reads may return stale data.
    StaleRead {
        /// Largest age of the data in milliseconds.
        max_age_ms: u64,
    },
    /// Writes may not be repeated without a request id.
    Unrepeatable,
    /// Reads are allowed without a key.
    OpenRead {
        /// Largest age of the data in milliseconds.
        max_age_ms: u64,
    },
}

impl RouteRule {
    /// Largest age of the data that the rule allows for reads; `None` for a rule on writes.
    pub const fn max_age(&self) -> Option<Duration> {
        match self {
            Self::StaleRead { max_age_ms } | Self::OpenRead { max_age_ms } => {
                Some(Duration::from_millis(*max_age_ms))
            }
            Self::Unrepeatable => None,
        }
    }
}

const fn default_weight() -> u32 {
    1
}
