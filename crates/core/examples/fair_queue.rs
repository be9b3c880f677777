//! Compares the fair queue with a first-in-first-out queue in front of two slots, while one workspace floods them.
//!
//! ```text
//! cargo run --release -p hibiscusladder-core --example fair_queue
//! ```
//!
//! Seven workspaces send 8 statements/s each; an eighth sends 400/s. A statement takes 10 ms on average, so the two
//! slots serve about 200/s and each of the eight is entitled to 25/s. Time is simulated and the seed is fixed.

use std::{collections::VecDeque, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::Workspace,
    queue::{FairQueue, Ticket},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 7;
const SLOTS: usize = 2;
const RUN: Duration = Duration::from_secs(60);
const MAX_WAIT: Duration = Duration::from_secs(2);
const MEAN_SERVICE_S: f64 = 0.010;
/// Requests per second of each workspace.
const RATES: [f64; 8] = [400.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0, 8.0];
/// Step of the simulated time.
const STEP: Duration = Duration::from_micros(250);

#[derive(Clone, Copy)]
struct Request {
    workspace: usize,
    arrived: Instant,
    service: Duration,
}

/// Decides which waiting request gets a free slot.
trait Scheduler {
    fn push(&mut self, request: Request, now: Instant) -> bool;
    fn pop(&mut self, now: Instant) -> Option<(Option<Ticket>, Request)>;
    fn finish(&mut self, ticket: Option<Ticket>, now: Instant);
}

struct Fair(FairQueue<Request>);

impl Scheduler for Fair {
    fn push(&mut self, request: Request, now: Instant) -> bool {
        let name = Workspace::from(format!("w-{}", request.workspace));
        self.0.push(&name, 1, request, now.plus(MAX_WAIT), now).is_ok()
    }

    fn pop(&mut self, now: Instant) -> Option<(Option<Ticket>, Request)> {
        self.0.take_expired(now);
        self.0.pop(now).map(|started| (Some(started.ticket), started.item))
    }

    fn finish(&mut self, ticket: Option<Ticket>, now: Instant) {
        if let Some(ticket) = ticket {
            self.0.finish(ticket, now);
        }
    }
}

/// One queue with the same longest wait as the fair queue: a request is rejected when the queue is too long to serve it
/// in time.
struct FirstInFirstOut(VecDeque<Request>);

impl Scheduler for FirstInFirstOut {
    fn push(&mut self, request: Request, _now: Instant) -> bool {
        let max_length = MAX_WAIT.as_secs_f64() * 2.0 / MEAN_SERVICE_S;
        let fits = (self.0.len() as f64) < max_length;
        if fits {
            self.0.push_back(request);
        }
        fits
    }

    fn pop(&mut self, now: Instant) -> Option<(Option<Ticket>, Request)> {
        while let Some(request) = self.0.pop_front() {
            if now.since(request.arrived) < MAX_WAIT {
                return Some((None, request));
            }
        }
        None
    }

    fn finish(&mut self, _ticket: Option<Ticket>, _now: Instant) {}
}

#[derive(Clone, Default)]
struct Outcome {
    sent: u32,
    served: u32,
    waits: Vec<Duration>,
}

impl Outcome {
    fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
        let index = (waits.len().saturating_sub(1) as f64 * quantile) as usize;
        waits.get(index).map_or(f64::NAN, |wait| wait.as_secs_f64() * 1000.0)
    }
}

fn simulate<S>(mut scheduler: S) -> Vec<Outcome>
where
    S: Scheduler,
{
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut outcomes = vec![Outcome::default(); RATES.len()];
    let mut busy: Vec<(Instant, Option<Ticket>)> = Vec::new();
    let mut now = Instant::default();
    while now.since_origin() < RUN {
        now = now.plus(STEP);
        for (workspace, rate) in RATES.iter().enumerate() {
            if rng.random_bool(rate * STEP.as_secs_f64()) {
                let random: f64 = rng.random_range(f64::EPSILON..1.0);
                let service = Duration::from_secs_f64(-random.ln() * MEAN_SERVICE_S);
                outcomes[workspace].sent += 1;
                scheduler.push(Request { workspace, arrived: now, service }, now);
            }
        }
        busy.retain(|(end, ticket)| {
            let done = *end <= now;
            if done {
                scheduler.finish(*ticket, now);
            }
            !done
        });
        while busy.len() < SLOTS {
            let Some((ticket, request)) = scheduler.pop(now) else { break };
            busy.push((now.plus(request.service), ticket));
            let outcome = &mut outcomes[request.workspace];
            outcome.served += 1;
            outcome.waits.push(now.since(request.arrived));
        }
    }
    outcomes
}

fn report(name: &str, outcomes: &[Outcome]) {
    let others = &outcomes[1..];
    let served = |outcome: &Outcome| f64::from(outcome.served) / f64::from(outcome.sent) * 100.0;
    let worst = others.iter().map(served).fold(f64::INFINITY, f64::min);
    let wait =
        |quantile| others.iter().map(|outcome| outcome.wait_ms(quantile)).fold(0.0, f64::max);
    println!(
        "{name:<20} worst-served: {worst:>5.1}% served, wait p50 {:>7.1} ms, p99 {:>7.1} ms; flooding: {:>5.1}/s served",
        wait(0.5),
        wait(0.99),
        f64::from(outcomes[0].served) / RUN.as_secs_f64(),
    );
}

fn main() {
    println!("seed {SEED}, {SLOTS} slots, {} s simulated", RUN.as_secs());
    report("first-in-first-out", &simulate(FirstInFirstOut(VecDeque::new())));
    report("fair queue", &simulate(Fair(FairQueue::new(2).max_wait(MAX_WAIT))));
}
