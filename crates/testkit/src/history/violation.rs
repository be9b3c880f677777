//! Rules of the checker and their violations.

use std::fmt;

/// A guarantee to clients that the checker verifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A session reads its own writes.
    ReadYourWrites,
    /// An acknowledged write is retained, unless its loss is reported to its session.
    NoLostWrite,
    /// No write is applied twice.
    NoDoubledWrite,
    /// A write that was reported as not run has not run.
    NotRunIsTrue,
    /// A replaced primary acknowledges no writes.
    NoReplacedTerm,
    /// No workspace has more requests admitted than its rate and burst allow.
    RateAndBurst,
    /// Each answer belongs to its request.
    NoCrossedAnswer,
}

/// A violation of a rule, with its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Rule that was violated.
    pub rule: Rule,
    /// Requests, times and values that show the violation, for the message of a failed test.
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
