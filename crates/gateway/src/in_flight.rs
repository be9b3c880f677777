//! Counters of operations that are in flight.

use std::{cell::Cell, rc::Rc};

use event_listener::{Event as Notify, EventListener};

/// A counter of operations in flight; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    count: Cell<usize>,
    ended: Notify,
}

impl InFlight {
    /// Counts one operation for as long as the returned guard lives.
    pub fn begin(&self) -> InFlightGuard {
        self.0.count.set(self.0.count.get() + 1);
        InFlightGuard(self.0.clone())
    }

    /// Number of operations in flight.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Completes when the next operation ends.
    pub fn ended(&self) -> EventListener {
        self.0.ended.listen()
    }
}

/// One operation in flight, which ends when the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify(usize::MAX);
    }
}
