//! Tasks that panic.

use std::{cell::Cell, rc::Rc, time::Duration};

use hibiscusladder_gateway::{in_flight::InFlight, tasks::Tasks};
use hibiscusladder_io::clock::{sleep, within};
use smol::LocalExecutor;

/// Longer than a task needs to start again.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an error in one request that ends the process, or that keeps what the request held.
#[test]
fn spawn_panic_ends_one_task() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(executor.clone());
    let held = InFlight::default();
    let guard = held.begin();
    let finished = Rc::new(Cell::new(false));
    let other = finished.clone();
    smol::block_on(executor.run(async {
        tasks.spawn(async move {
            let _guard = guard;
            sleep(Duration::from_millis(1)).await;
            panic!("a statement that nobody thought of");
        });
        tasks.spawn(async move {
            sleep(Duration::from_millis(20)).await;
            other.set(true);
        });
        sleep(Duration::from_millis(60)).await;
    }));
    assert!(finished.get(), "the other task goes on");
    assert_eq!(held.count(), 0, "what the task held is released");
}

/// Guards against an instance that goes on without one of its control tasks.
#[test]
fn supervise_starts_again_after_a_panic() {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(executor.clone());
    let starts = Rc::new(Cell::new(0));
    let counter = starts.clone();
    let ended = smol::block_on(executor.run(async {
        tasks.supervise("test", move || {
            let counter = counter.clone();
            async move {
                counter.set(counter.get() + 1);
                assert!(counter.get() > 2, "an unexpected error");
            }
        });
        let restarted = async {
            while starts.get() < 3 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        within(TIMEOUT, restarted).await
    }));
    assert!(ended.is_some(), "the task was started {} times", starts.get());
}
