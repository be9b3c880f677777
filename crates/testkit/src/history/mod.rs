//! A history of client requests and their outcomes, and a checker of the guarantees given to clients.
//!
//! Each write adds a unique value to a key, and each read returns all values of a key. The times of all clients are
//! measured from the same origin.
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

/// Operations of all clients; several threads may record at the same time.
#[derive(Debug, Default)]
pub struct History {
    operations: Mutex<Vec<Operation>>,
}

impl History {
    /// Adds an operation that was answered or abandoned.
    pub fn record(&self, operation: Operation) {
        self.operations.lock().unwrap_or_else(PoisonError::into_inner).push(operation);
    }

    /// All operations in the order in which they were sent.
    pub fn operations(&self) -> Vec<Operation> {
        let mut operations = self.operations.lock().unwrap_or_else(PoisonError::into_inner).clone();
        operations.sort_by_key(|operation| operation.sent);
        operations
    }

    /// Checks all rules and returns every violation; rules whose facts are missing are skipped.
    pub fn check(&self, facts: &Facts) -> Vec<Violation> {
        check::check(&self.operations(), facts)
    }
}
