//! Tasks of an instance. A panic in one of them ends neither the others nor the process.
//!
//! What a task holds is released when it panics: a session is closed, and its slots, connections and tunnels are
//! returned or closed. A task that runs for as long as the process is started again.

use std::{any::Any, panic::AssertUnwindSafe, rc::Rc, time::Duration};

use futures::FutureExt;
use hibiscusladder_io::clock::sleep;
use serde_json::json;
use smol::LocalExecutor;

use crate::events::{self, Event};

/// Delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(250);

/// Starts the tasks of an instance, which all run on one thread; clones share the executor.
#[derive(Debug, Clone)]
pub struct Tasks {
    executor: Rc<LocalExecutor<'static>>,
}

impl Tasks {
    /// Creates tasks that run on `executor`.
    pub const fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor }
    }

    /// Runs `future` to its end or to a panic.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let task = async move {
            if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
                log_panic("request", &*panic);
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Runs the task that `start` creates, and starts it again whenever it panics. `name` is for the log.
    pub fn supervise<S, F>(&self, name: &'static str, start: S)
    where
        S: Fn() -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        let task = async move {
            while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
                log_panic(name, &*panic);
                sleep(RESTART_DELAY).await;
            }
        };
        self.executor.spawn(task).detach();
    }
}

fn log_panic(task: &'static str, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let reason = text.unwrap_or("no message");
    events::log(Event::TaskFailed, json!({ "task": task, "reason": reason }));
}
