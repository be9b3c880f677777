//! An executor with threads of its own that ends when it is dropped.

use std::{io, sync::Arc, thread};

use futures::{FutureExt, future::BoxFuture};
use smol::{Executor, channel};

/// Runs tasks on a fixed number of threads; dropping it cancels all of them.
#[derive(Debug)]
pub(crate) struct Runtime {
    executor: SharedExecutor,
    stop: channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Starts tasks on a runtime.
pub(crate) type SharedExecutor = Arc<Executor<'static>>;

impl Runtime {
    /// Starts `count` threads whose names begin with `name`.
    pub(crate) fn start(name: &str, count: usize) -> io::Result<Self> {
        let executor = SharedExecutor::default();
        let (stop, stopped) = channel::bounded::<()>(1);
        let mut threads = Vec::with_capacity(count);
        for number in 0..count {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            let thread = thread::Builder::new()
                .name(format!("{name}-{number}"))
                // The channel carries nothing; it is closed when the runtime is dropped.
                .spawn(move || smol::block_on(executor.run(stopped.recv())).unwrap_or(()))?;
            threads.push(thread);
        }
        Ok(Self { executor, stop, threads })
    }

    /// Starts a task that runs until it ends or the runtime is dropped.
    pub(crate) fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.executor.spawn(task).detach();
    }

    /// Starts tasks of this runtime from inside of them.
    pub(crate) fn spawner(&self) -> std::sync::Weak<Executor<'static>> {
        Arc::downgrade(&self.executor)
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            // A thread that panicked has already reported it.
            thread.join().ok();
        }
    }
}

/// Starts `task` when the runtime behind `spawner` still exists.
pub(crate) fn spawn_on<F>(spawner: &std::sync::Weak<Executor<'static>>, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    if let Some(executor) = spawner.upgrade() {
        executor.spawn(task.boxed()).detach();
    }
}
