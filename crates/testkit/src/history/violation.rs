//! A promise that was not kept.

use std::fmt;

/// A promise to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A session reads what it has written.
    ReadYourWrites,
    /// A write that was acknowledged stays, unless its session is told.
    NoLostWrite,
    /// No write is applied twice.
    NoDoubledWrite,
    /// A write that is said not to have run has not run.
    NotRunIsTrue,
    /// A primary that was replaced acknowledges nothing.
    NoReplacedTerm,
    /// No workspace gets more than its rate and burst.
    RateAndBurst,
    /// Each answer belongs to its request.
    NoCrossedAnswer,
}

/// A promise that was not kept, with what shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub rule: Rule,
    /// What shows that it was not kept.
    pub evidence: String,
}

impl Violation {
    pub(crate) const fn new(rule: Rule, evidence: String) -> Self {
        Self { rule, evidence }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.evidence)
    }
}
