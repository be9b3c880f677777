//! Callers of several workspaces, the instances that refuse or hold their requests, and the queue in front of a member.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    membership,
    name::Workspace,
    queue::{FairQueue, NewRequest, OrderedQueue, Ticket, Urgency, WorkKind},
    return_time::{Refusal, ReturnTimes, latest_return, start_rest},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::measures::{Outcome, Scenario, Trouble};

/// Slots of the member.
const SLOTS: u32 = 3;
/// Instances that refuse requests while they start.
const INSTANCES: usize = 8;
/// Length of a run; requests that begin in the last seconds are not counted.
const RUN_MS: u64 = 40_000;
const UNCOUNTED_MS: u64 = 5_000;
/// Largest number of times that a client sends a request again.
const MAX_RETRIES: u32 = 2;
/// Time from a loss of all processes until they run again, and until they have a configuration.
const DOWN_MS: u64 = 1_000;
const START_MS: u64 = 1_000;
/// Time without an answer after which a client whose connection was refused tries again.
const RECONNECT_MS: u64 = 100;

/// Constants of the gateway without the mechanism.
const FIXED_MAX_WAIT_MS: u64 = 2_000;
const FIXED_RETRY_DELAY_MS: u64 = 100;
const FIXED_RETURN_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Operation {
    workspace: usize,
    route: usize,
    began: u64,
    /// When its present request arrived.
    arrived: u64,
    retries: u32,
    /// Number of its present request, so that events of earlier ones are ignored.
    attempt: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        workspace: usize,
    },
    /// A client sends its request.
    Send {
        operation: usize,
        attempt: u32,
    },
    /// An instance passes a request to the queue, again if it was refused there before.
    Queue {
        operation: usize,
        attempt: u32,
    },
    End {
        operation: usize,
        attempt: u32,
        ticket: Ticket,
    },
    Tick,
    Lost,
    FailoverEnds,
}

enum Queue {
    Fair(FairQueue<(usize, u32)>),
    Ordered(Box<OrderedQueue<(usize, u32)>>, ReturnTimes),
}

impl Queue {
    fn new(with_mechanism: bool) -> Self {
        if with_mechanism {
            Self::Ordered(Box::new(OrderedQueue::new(SLOTS)), ReturnTimes::default())
        } else {
            Self::Fair(FairQueue::new(SLOTS))
        }
    }
}

struct World {
    scenario: Scenario,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    operations: Vec<Operation>,
    names: Vec<Workspace>,
    queue: Queue,
    /// Requests that wait at their instances for the end of a failover.
    held: Vec<(usize, u32)>,
    starting: Vec<ReturnTimes>,
    rng: SmallRng,
    outcome: Outcome,
}

/// Runs a scenario, with or without the mechanism.
pub(crate) fn run(scenario: Scenario, with_mechanism: bool) -> Outcome {
    let mut world = World {
        scenario,
        now: 0,
        events: BinaryHeap::new(),
        next_event: 0,
        operations: Vec::new(),
        names: (0..scenario.workspaces).map(|name| Workspace::new(&format!("w{name}"))).collect(),
        queue: Queue::new(with_mechanism),
        held: Vec::new(),
        starting: vec![ReturnTimes::default(); INSTANCES],
        rng: SmallRng::seed_from_u64(scenario.seed),
        outcome: Outcome::default(),
    };
    for workspace in 0..scenario.workspaces {
        world.schedule(0, Event::Arrive { workspace });
    }
    world.schedule(0, Event::Tick);
    match scenario.trouble {
        Trouble::Failover { from_ms, to_ms } => {
            world.schedule(from_ms * 1000, Event::Lost);
            world.schedule(to_ms * 1000, Event::FailoverEnds);
        }
        Trouble::Kill { at_ms } => world.schedule(at_ms * 1000, Event::Lost),
        _ => {}
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > RUN_MS * 1000 {
            break;
        }
        world.now = at;
        world.handle(event);
        world.start_requests();
    }
    world.outcome
}

fn at(us: u64) -> Instant {
    Instant::new(Duration::from_micros(us))
}

impl World {
    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { workspace } => self.arrive(workspace),
            Event::Send { operation, attempt } => self.send(operation, attempt),
            Event::Queue { operation, attempt } => self.push(operation, attempt),
            Event::End { operation, attempt, ticket } => self.end(operation, attempt, ticket),
            Event::Tick => {
                self.take_refused();
                self.schedule(self.now + 10_000, Event::Tick);
            }
            Event::Lost => self.lose_requests(),
            Event::FailoverEnds => {
                for (operation, attempt) in std::mem::take(&mut self.held) {
                    self.push(operation, attempt);
                }
            }
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let now = self.now;
        let route = self.rng.random_range(0..3);
        let operation =
            Operation { workspace, route, began: now, arrived: now, retries: 0, attempt: 0 };
        self.operations.push(operation);
        if self.counts(&operation) {
            self.outcome.routes[route].sent += 1.0;
            self.outcome.workspaces.entry(workspace).or_default().sent += 1.0;
        }
        let operation = self.operations.len() - 1;
        self.send(operation, 0);
        let mean_work: u64 =
            self.scenario.routes.iter().map(|route| route.work_us).sum::<u64>() / 3;
        let all_per_us = self.scenario.load * f64::from(SLOTS) / mean_work as f64;
        let factor = match self.scenario.trouble {
            Trouble::Burst { from_ms, to_ms } if (from_ms..to_ms).contains(&(now / 1000)) => 1.7,
            Trouble::Flood if workspace == 0 => 8.0,
            _ => 1.0,
        };
        let per_us = all_per_us * factor / self.scenario.workspaces as f64;
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / per_us;
        self.schedule(now + whole(wait) + 1, Event::Arrive { workspace });
    }

    fn counts(&self, operation: &Operation) -> bool {
        operation.began < (RUN_MS - UNCOUNTED_MS) * 1000
    }

    /// A client sends its request to an instance.
    fn send(&mut self, number: usize, attempt: u32) {
        let now_ms = self.now / 1000;
        self.operations[number].arrived = self.now;
        match self.scenario.trouble {
            Trouble::Kill { at_ms } if (at_ms..at_ms + DOWN_MS).contains(&now_ms) => {
                let spread = jitter(number, u32::MAX) * (RECONNECT_MS * 1000) as f64;
                let back = (at_ms + DOWN_MS) * 1000 + whole(spread);
                self.schedule(back, Event::Send { operation: number, attempt });
            }
            Trouble::Kill { at_ms }
                if (at_ms + DOWN_MS..at_ms + DOWN_MS + START_MS).contains(&now_ms) =>
            {
                let age = Duration::from_millis(now_ms - at_ms - DOWN_MS);
                let operation = self.operations[number];
                let refusal = Refusal {
                    priority: 0,
                    expected_wait: start_rest(age),
                    spacing: Duration::from_millis(10),
                    latest: Duration::from_millis(4000),
                    jitter: jitter(number, attempt),
                };
                let instance = operation.workspace % INSTANCES;
                let delay = match self.queue {
                    Queue::Fair(_) => Duration::from_millis(FIXED_RETURN_MS),
                    Queue::Ordered(..) => self.starting[instance].book(&refusal, at(self.now)),
                };
                self.refuse(number, attempt, delay);
            }
            Trouble::Failover { from_ms, to_ms } if (from_ms..to_ms).contains(&now_ms) => {
                self.held.push((number, attempt));
            }
            _ => self.push(number, attempt),
        }
    }

    fn push(&mut self, number: usize, attempt: u32) {
        let operation = self.operations[number];
        if operation.attempt != attempt {
            return;
        }
        let route = self.scenario.routes[operation.route];
        let name = &self.names[operation.workspace];
        let limit = operation.arrived + route.limit_ms * 1000;
        let now = at(self.now);
        let is_refused = match &mut self.queue {
            Queue::Fair(queue) => {
                let until = self.now + FIXED_MAX_WAIT_MS.min(route.limit_ms / 2) * 1000;
                queue.push(name, 1, (number, attempt), at(until), now).is_err()
            }
            Queue::Ordered(queue, _) => {
                let urgency = Urgency {
                    priority: route.priority,
                    kind: WorkKind(operation.route as u64),
                    arrived: at(operation.arrived),
                    target: Some(Duration::from_millis(route.target_ms)),
                    limit: at(limit),
                };
                // The gateway keeps a quarter of the limit for running.
                let start_by = at(operation.arrived + route.limit_ms * 750);
                let new = NewRequest::new(name, start_by).urgency(urgency);
                queue.push(new, (number, attempt), now).is_err()
            }
        };
        if is_refused {
            self.refused_by_queue(number, attempt);
        }
        self.take_refused();
    }

    fn take_refused(&mut self) {
        let refused: Vec<(usize, u32)> = match &mut self.queue {
            Queue::Fair(queue) => queue.take_expired(at(self.now)),
            Queue::Ordered(queue, _) => {
                queue.take_refused(at(self.now)).into_iter().map(|refused| refused.item).collect()
            }
        };
        for (operation, attempt) in refused {
            self.refused_by_queue(operation, attempt);
        }
    }

    /// The queue has refused a request: the instance tries again or refuses it too.
    fn refused_by_queue(&mut self, number: usize, attempt: u32) {
        let operation = self.operations[number];
        let route = self.scenario.routes[operation.route];
        let used = Duration::from_micros(self.now - operation.arrived);
        let limit = Duration::from_millis(route.limit_ms);
        let delay = match &mut self.queue {
            Queue::Fair(_) if used < limit => {
                let at = self.now + FIXED_RETRY_DELAY_MS * 1000;
                self.schedule(at, Event::Queue { operation: number, attempt });
                return;
            }
            Queue::Fair(_) => Duration::from_millis(FIXED_RETURN_MS),
            Queue::Ordered(queue, times) => {
                let service = queue.service_time(WorkKind(operation.route as u64));
                let refusal = Refusal {
                    priority: route.priority,
                    expected_wait: queue.clearing_time(route.priority, at(self.now)),
                    spacing: queue.spacing(
                        route.priority,
                        WorkKind(operation.route as u64),
                        at(self.now),
                    ),
                    latest: latest_return(limit, used, service),
                    jitter: jitter(number, attempt),
                };
                times.book(&refusal, at(self.now))
            }
        };
        self.outcome.refused += 1.0;
        if used * 10 > limit * 7 {
            self.outcome.refused_late += 1.0;
        }
        self.refuse(number, attempt, delay);
    }

    /// A client learns that its request was refused, and may send it again.
    fn refuse(&mut self, number: usize, attempt: u32, delay: Duration) {
        let back = self.now + whole(delay.as_secs_f64() * 1e6);
        let operation = &mut self.operations[number];
        if operation.attempt != attempt {
            return;
        }
        operation.attempt += 1;
        let limit = self.scenario.routes[operation.route].limit_ms * 1000;
        if operation.retries < MAX_RETRIES && back < operation.began + limit {
            operation.retries += 1;
            let attempt = operation.attempt;
            self.schedule(back, Event::Send { operation: number, attempt });
        }
    }

    fn start_requests(&mut self) {
        let now_ms = self.now / 1000;
        let is_stopped = match self.scenario.trouble {
            Trouble::Failover { from_ms, to_ms } => (from_ms..to_ms).contains(&now_ms),
            _ => false,
        };
        if is_stopped {
            return;
        }
        loop {
            let started = match &mut self.queue {
                Queue::Fair(queue) => queue.pop(at(self.now)),
                Queue::Ordered(queue, _) => queue.pop(at(self.now)),
            };
            let Some(started) = started else { return };
            let (operation, attempt) = started.item;
            if self.operations[operation].attempt != attempt {
                self.finish(started.ticket);
                continue;
            }
            let work = self.scenario.routes[self.operations[operation].route].work_us;
            let work = work as f64 * (0.5 + jitter(operation, u32::MAX));
            let end = Event::End { operation, attempt, ticket: started.ticket };
            self.schedule(self.now + whole(work), end);
        }
    }

    fn finish(&mut self, ticket: Ticket) {
        match &mut self.queue {
            Queue::Fair(queue) => queue.finish(ticket, at(self.now)),
            Queue::Ordered(queue, _) => queue.finish(ticket, at(self.now)),
        }
    }

    fn end(&mut self, number: usize, attempt: u32, ticket: Ticket) {
        self.finish(ticket);
        let operation = self.operations[number];
        if operation.attempt != attempt {
            return;
        }
        self.operations[number].attempt += 1;
        if !self.counts(&operation) {
            return;
        }
        let target = self.scenario.routes[operation.route].target_ms * 1000;
        let is_on_time = self.now - operation.began <= target;
        let workspace = self.outcome.workspaces.entry(operation.workspace).or_default();
        for tally in [&mut self.outcome.routes[operation.route], workspace] {
            tally.answered += 1.0;
            tally.on_time += f64::from(u8::from(is_on_time));
        }
    }

    /// The primary, or all processes, are lost with the requests that they run. A lost process also loses those that wait.
    fn lose_requests(&mut self) {
        let mut running: Vec<(usize, u32)> = Vec::new();
        for Reverse((_, _, event)) in self.events.iter() {
            if let Event::End { operation, attempt, .. } = event {
                running.push((*operation, *attempt));
            }
        }
        let is_kill = matches!(self.scenario.trouble, Trouble::Kill { .. });
        for (operation, _) in &running {
            // Their outcome is unknown to the client, which does not send them again.
            self.operations[*operation].attempt += 1;
        }
        if !is_kill {
            return;
        }
        self.queue = Queue::new(matches!(self.queue, Queue::Ordered(..)));
        let waiting: Vec<usize> = (0..self.operations.len())
            .filter(|number| {
                let operation = self.operations[*number];
                let limit = self.scenario.routes[operation.route].limit_ms * 1000;
                let is_running = running.iter().any(|(running, _)| running == number);
                !is_running
                    && operation.began + limit > self.now
                    && operation.attempt == operation.retries
            })
            .collect();
        for number in waiting {
            let attempt = self.operations[number].attempt;
            self.refuse(number, attempt, Duration::ZERO);
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole(number: f64) -> u64 {
    number as u64
}

/// A number from 0 to 1 that is the same with and without the mechanism.
fn jitter(operation: usize, attempt: u32) -> f64 {
    let hash = membership::weight(&[&attempt.to_string()], &operation.to_string());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
