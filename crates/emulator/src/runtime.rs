//! An async executor with its own threads, which are stopped and joined when it is dropped.

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

/// Executor that all threads of a runtime share.
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
                // Nothing is ever sent: `recv` returns when the channel is closed by the drop of the runtime.
                .spawn(move || smol::block_on(executor.run(stopped.recv())).unwrap_or(()))?;
            threads.push(thread);
        }
        Ok(Self { executor, stop, threads })
    }

    /// Starts a task that runs until it ends or the runtime is dropped.
    pub(crate) fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.executor.spawn(task).detach();
    }

    /// Weak reference to the executor, with which tasks start further tasks through [`spawn_on`].
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

/// Starts `task` on the executor of `spawner`; does nothing when the runtime has been dropped.
pub(crate) fn spawn_on<F>(spawner: &std::sync::Weak<Executor<'static>>, task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    if let Some(executor) = spawner.upgrade() {
        executor.spawn(task.boxed()).detach();
    }
}
