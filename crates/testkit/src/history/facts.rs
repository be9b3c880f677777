//! Facts about a test run that its history does not contain.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use hibiscusladder_core::{name::Workspace, position::Term};

/// Rate and burst that the contract of a workspace allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be admitted at once.
    pub burst: f64,
}

/// A change of primary, which begins a new term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermChange {
    /// The new term.
    pub term: Term,
    /// Earliest time at which the primary of the new term could accept a write, since the origin of the test.
    pub began: Duration,
}

/// Default of [`Facts::max_answer_delay`].
const DEFAULT_MAX_ANSWER_DELAY: Duration = Duration::from_secs(1);

/// Facts about a test run that its history does not contain; rules whose facts are missing are not checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// Rate limits by workspace; other workspaces are not checked for rate and burst.
    pub rate_limits: HashMap<Workspace, RateLimit>,
    /// Changes of primary in the database to which the history belongs.
    pub term_changes: Vec<TermChange>,
    /// Longest time from the sending of an answer to its arrival at the client, including delays that the test
    /// injects.
    pub max_answer_delay: Duration,
    /// Values of each key at the end of the test; with `None`, the rules on stored writes are not checked.
    pub final_values: Option<BTreeMap<Arc<str>, Vec<Arc<str>>>>,
}

impl Default for Facts {
    fn default() -> Self {
        Self {
            rate_limits: HashMap::new(),
            term_changes: Vec::new(),
            max_answer_delay: DEFAULT_MAX_ANSWER_DELAY,
            final_values: None,
        }
    }
}

impl Facts {
    /// Sets the `rate` (requests per second) and the `burst` (requests at once) that the contract of a workspace
    /// allows.
    #[must_use]
    pub fn rate_limit(mut self, workspace: &str, rate: f64, burst: f64) -> Self {
        self.rate_limits.insert(Workspace::new(workspace), RateLimit { rate, burst });
        self
    }

    /// Adds a change of primary; `began` is the earliest time at which the new primary could accept a write.
    #[must_use]
    pub fn term_change(mut self, term: u64, began: Duration) -> Self {
        self.term_changes.push(TermChange { term: Term(term), began });
        self
    }

    /// Sets the values of a key at the end of the test.
    #[must_use]
    pub fn final_values(mut self, key: &str, values: &[&str]) -> Self {
        let values = values.iter().map(|value| Arc::from(*value)).collect();
        self.final_values.get_or_insert_default().insert(Arc::from(key), values);
        self
    }
}
