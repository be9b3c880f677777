//! Cost of the operations of the ordered and of the fair queue while many requests of many workspaces wait.
//!
//! ```text
//! cargo run --release -p hibiscusladder-core --example ordered_queue
//! ```
//!
//! Each round pushes one request, starts one and finishes it, so that the number of waiting requests stays the same.

use std::time::{Duration, Instant as Timer};

use hibiscusladder_core::{
    clock::Instant,
    name::Workspace,
    queue::{FairQueue, NewRequest, OrderedQueue, Urgency, WorkKind},
};

const WORKSPACES: usize = 190;
const ROUNDS: u64 = 50_000;
const STEP: Duration = Duration::from_micros(100);
const SLACK: Duration = Duration::from_millis(120);

fn at(round: u64) -> Instant {
    Instant::new(STEP * u32::try_from(round).unwrap_or(u32::MAX))
}

fn main() {
    let names: Vec<Workspace> =
        (0..WORKSPACES).map(|name| Workspace::new(&format!("workspace-{name}"))).collect();
    let never = Instant::new(Duration::from_secs(100_000));
    let is_idle = |name: &Workspace| name.as_str().ends_with('7');
    println!("waiting  fair queue  ordered queue (microseconds for push, pop and finish)");
    for waiting in [10, 100, 1000] {
        let name = |round: u64| &names[usize::try_from(round * 31).unwrap_or(0) % WORKSPACES];
        let mut fair = FairQueue::new(1).max_wait(Duration::from_secs(100_000));
        let fair_us = time(waiting, |round| {
            fair.push(name(round), 1, round, never, at(round)).ok();
            if round >= waiting
                && let Some(started) = fair.pop_preferring(at(round), SLACK, is_idle)
            {
                fair.finish(started.ticket, at(round + 1));
            }
        });
        let mut ordered = OrderedQueue::new(1);
        let ordered_us = time(waiting, |round| {
            let urgency = Urgency {
                priority: u32::try_from(round % 3).unwrap_or(0),
                kind: WorkKind(round % 9),
                arrived: at(round),
                target: Some(Duration::from_millis(500 + 300 * (round % 3))),
                limit: never,
            };
            let new = NewRequest::new(name(round), never).urgency(urgency);
            ordered.push(new, round, at(round)).ok();
            if round >= waiting
                && let Some(started) = ordered.pop_preferring(at(round), SLACK, is_idle)
            {
                ordered.finish(started.ticket, at(round + 1));
            }
        });
        println!("{waiting:7}  {fair_us:10.2}  {ordered_us:13.2}");
    }
}

/// Mean time of a round, in microseconds, after `waiting` rounds that only push.
fn time<F>(waiting: u64, mut round: F) -> f64
where
    F: FnMut(u64),
{
    (0..waiting).for_each(&mut round);
    let started = Timer::now();
    (waiting..waiting + ROUNDS).for_each(&mut round);
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}
