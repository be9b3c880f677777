//! A log of what clients asked and were told, and a checker of the promises made to them.
//!
//! Each write adds a value that occurs nowhere else to a key, and each read returns all values of a key. Times are
//! measured from one origin for all clients.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_testkit::history::{Facts, History, Operation, Outcome};
//!
//! let history = History::default();
//! let sent = Duration::from_millis(10);
//! let write = Operation::write("s1", "andes", "goals", "w1", sent);
//! history.record(write.answered(sent + Duration::from_millis(3), Outcome::Done));
//! let facts = Facts::default().final_values("goals", &["w1"]);
//! assert!(history.check(&facts).is_empty());
//! ```

mod admission;
mod check;
mod facts;
mod operation;
mod violation;

pub use self::{
    facts::{Facts, RateLimit, TermChange},
    operation::{Kind, Operation, Outcome},
    violation::{Rule, Violation},
};

use std::sync::{Mutex, PoisonError};

/// Operations of all clients; they may be recorded from several threads.
#[derive(Debug, Default)]
pub struct History {
    operations: Mutex<Vec<Operation>>,
}

impl History {
    /// Adds an operation, answered or given up.
    pub fn record(&self, operation: Operation) {
        self.operations.lock().unwrap_or_else(PoisonError::into_inner).push(operation);
    }

    /// All operations in the order in which they were sent.
    pub fn operations(&self) -> Vec<Operation> {
        let mut operations = self.operations.lock().unwrap_or_else(PoisonError::into_inner).clone();
        operations.sort_by_key(|operation| operation.sent);
        operations
    }

    /// Checks all rules and returns every violation.
    pub fn check(&self, facts: &Facts) -> Vec<Violation> {
        check::check(&self.operations(), facts)
    }
}
