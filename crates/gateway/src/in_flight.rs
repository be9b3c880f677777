//! Counts things for as long as they are in use.

use std::{cell::Cell, rc::Rc};

use event_listener::{Event as Notify, EventListener};

/// A number of things in use.
#[derive(Debug, Clone, Default)]
pub struct InFlight(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    count: Cell<usize>,
    ended: Notify,
}

impl InFlight {
    /// Counts a use for as long as the returned guard lives.
    pub fn begin(&self) -> InFlightGuard {
        self.0.count.set(self.0.count.get() + 1);
        InFlightGuard(self.0.clone())
    }

    /// Number of uses.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Completes at the next end of a use.
    pub fn ended(&self) -> EventListener {
        self.0.ended.listen()
    }
}

/// One use; it ends when this is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify(usize::MAX);
    }
}
