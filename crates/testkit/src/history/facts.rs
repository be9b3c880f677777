//! What a test knows besides the history.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use hibiscusladder_core::{name::Workspace, position::Term};

/// Rate and burst of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// A change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermChange {
    /// Term that began.
    pub term: Term,
    /// Time when its primary could first accept a write, since the origin of the test.
    pub began: Duration,
}

/// Longest time that an answer is on its way to a client, unless a test sets another one.
const TRANSIT: Duration = Duration::from_secs(1);

/// What a test knows besides the history; rules without facts are not checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// Contracts, by workspace.
    pub rate_limits: HashMap<Workspace, RateLimit>,
    /// Changes of primary of the database that the history is about.
    pub term_changes: Vec<TermChange>,
    /// Longest time that an answer is on its way to a client, with the delays that the test sets.
    pub max_answer_delay: Duration,
    /// Values of each key at the end; absent when they are not known.
    pub final_values: Option<BTreeMap<Arc<str>, Vec<Arc<str>>>>,
}

impl Default for Facts {
    fn default() -> Self {
        Self {
            rate_limits: HashMap::new(),
            term_changes: Vec::new(),
            max_answer_delay: TRANSIT,
            final_values: None,
        }
    }
}

impl Facts {
    /// Sets the allowance of a workspace.
    #[must_use]
    pub fn rate_limit(mut self, workspace: &str, rate: f64, burst: f64) -> Self {
        self.rate_limits.insert(Workspace::new(workspace), RateLimit { rate, burst });
        self
    }

    /// Adds a change of primary.
    #[must_use]
    pub fn term_change(mut self, term: u64, began: Duration) -> Self {
        self.term_changes.push(TermChange { term: Term(term), began });
        self
    }

    /// Sets the values of a key at the end.
    #[must_use]
    pub fn final_values(mut self, key: &str, values: &[&str]) -> Self {
        let values = values.iter().map(|value| Arc::from(*value)).collect();
        self.final_values.get_or_insert_default().insert(Arc::from(key), values);
        self
    }
}
