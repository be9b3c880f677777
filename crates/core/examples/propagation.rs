//! Compares two ways to propagate configuration changes to all instances: every instance watches the store, or two
//! relays in each data centre watch it for the others.
//!
//! ```text
//! cargo run --release -p hibiscusladder-core --example propagation
//! ```
//!
//! Changes are accepted every 100 ms on average, far more often than in use, so that some occur during
//! the failure. At 20 s the first relay of the first data centre fails. Time is simulated and the seed is fixed; work
//! and capacity of the store are not modelled.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    config::{Change, Changes, ConfigView, Kind},
    membership::{InstanceInfo, Membership},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 5;
const RUN_MS: u64 = 40_000;
const FAILURE_MS: u64 = 20_000;
/// Longest time for which a source delays its answer until it has a change.
const LONG_POLL_MS: u64 = 500;
/// Time beyond the longest delay after which a source without an answer counts as failed.
const TIMEOUT_MS: u64 = 500;
/// Probability of a change in each millisecond.
const CHANGE_PROBABILITY: f64 = 1.0 / 100.0;
/// The first two data centres share a region with the store.
const DATA_CENTRES: [&str; 4] = ["stgo-a", "stgo-b", "vld-a", "vld-b"];

fn at(ms: u64) -> Instant {
    // An origin before the start, so that ages can be subtracted.
    Instant::new(Duration::from_millis(ms + 60_000))
}

fn latency_ms(a: usize, b: usize) -> u64 {
    if a / 2 == b / 2 { 1 } else { 20 }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    Store,
    Instance(usize),
}

struct Poll {
    sent: u64,
    since: u64,
    source: Source,
    /// Time at which the request arrives at the source.
    arrives: u64,
    /// Arrival time and content of the answer that is in transit.
    answer: Option<(u64, Changes)>,
}

struct Instance {
    data_centre: usize,
    view: ConfigView,
    sources: Vec<Source>,
    next_source: usize,
    poll: Option<Poll>,
    failed: bool,
}

struct Outcome {
    instances: usize,
    store_calls: u64,
    relay_calls: u64,
    /// Times from the acceptance of a change until all live instances had it, in milliseconds.
    delays: Vec<u64>,
    max_age: Duration,
}

/// Creates the instances. With relays, they poll the relays first and the store when all relays have failed; the relays
/// themselves poll the store.
fn instances(count: usize, with_relays: bool) -> Vec<Instance> {
    let info = |index: usize| InstanceInfo::new(&format!("i-{index}"), DATA_CENTRES[index % 4], "");
    let mut members = Membership::new(info(0));
    members.seed((1..count).map(info), at(0));
    let relays = |data_centre: usize| {
        let ids = members.relays(&DATA_CENTRES[data_centre % 4].into());
        let number = |id: &str| id.trim_start_matches("i-").parse().unwrap_or(0);
        ids.into_iter().map(move |id| Source::Instance(number(id.as_str())))
    };
    let instance = |index: usize| {
        let data_centre = index % 4;
        let own: Vec<_> = relays(data_centre).collect();
        let mut sources = Vec::new();
        if with_relays && !own.contains(&Source::Instance(index)) {
            sources.extend(own);
            sources.extend(relays(data_centre + 1));
        }
        sources.push(Source::Store);
        let view = ConfigView::default();
        Instance { data_centre, view, sources, next_source: 0, poll: None, failed: false }
    };
    (0..count).map(instance).collect()
}

fn simulate(count: usize, with_relays: bool) -> Outcome {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut instances = instances(count, with_relays);
    let mut store = ConfigView::default();
    let mut pending: Vec<(u64, u64)> = Vec::new();
    let mut outcome = Outcome {
        instances: count,
        store_calls: 0,
        relay_calls: 0,
        delays: Vec::new(),
        max_age: Duration::ZERO,
    };
    let failing = instances.iter().find_map(|instance| match instance.sources[0] {
        Source::Instance(relay) => Some(relay),
        Source::Store => None,
    });
    for ms in 1..RUN_MS {
        if ms == FAILURE_MS {
            instances[failing.unwrap_or(0)].failed = true;
        }
        if ms < RUN_MS - 5_000 && rng.random_bool(CHANGE_PROBABILITY) {
            let revision = store.revision() + 1;
            let change = Change::put(Kind::Upstream, "m", revision, r#"{"state":"live"}"#);
            let items = vec![change];
            let since = store.revision();
            store.apply_all(Changes { revision, items, ..Changes::default() }, since, at(ms));
            pending.push((revision, ms));
        }
        store.merge_proof(store.revision(), Duration::ZERO, at(ms));
        for index in 0..count {
            step(&mut instances, index, &store, ms, &mut outcome);
        }
        let live = || instances.iter().filter(|instance| !instance.failed);
        pending.retain(|(revision, accepted)| {
            let everywhere = live().all(|instance| instance.view.revision() >= *revision);
            if everywhere {
                outcome.delays.push(ms - accepted);
            }
            !everywhere
        });
        if ms > 2_000 {
            let oldest = live().filter_map(|instance| instance.view.freshness().age(at(ms))).max();
            outcome.max_age = outcome.max_age.max(oldest.unwrap_or_default());
        }
    }
    assert!(pending.is_empty(), "a change did not reach every instance");
    outcome
}

/// Sends, answers or completes the poll of one instance, whichever is due.
fn step(
    instances: &mut [Instance],
    index: usize,
    store: &ConfigView,
    ms: u64,
    outcome: &mut Outcome,
) {
    if instances[index].failed {
        return;
    }
    let Some(mut poll) = instances[index].poll.take() else {
        instances[index].poll = Some(start_poll(instances, index, ms, outcome));
        return;
    };
    let delay = poll.arrives - poll.sent;
    if poll.answer.is_none() && ms >= poll.arrives {
        let source = match poll.source {
            Source::Store => Some(store),
            Source::Instance(source) => Some(&instances[source])
                .filter(|instance| !instance.failed)
                .map(|instance| &instance.view),
        };
        let due = ms - poll.arrives >= LONG_POLL_MS;
        if let Some(view) = source.filter(|view| due || view.revision() > poll.since) {
            poll.answer = Some((ms + delay, view.changes_since(poll.since, at(ms))));
        }
    }
    match poll.answer {
        Some((arrives, changes)) if ms >= arrives => {
            // The proof is dated to the request, so a delayed answer makes the copy look older.
            instances[index].view.apply_all(changes, poll.since, at(poll.sent));
        }
        None if ms - poll.sent >= LONG_POLL_MS + TIMEOUT_MS => instances[index].next_source += 1,
        _ => instances[index].poll = Some(poll),
    }
}

fn start_poll(instances: &[Instance], index: usize, ms: u64, outcome: &mut Outcome) -> Poll {
    let instance = &instances[index];
    let source = instance.sources[instance.next_source % instance.sources.len()];
    let data_centre = match source {
        Source::Store => 0,
        Source::Instance(source) => instances[source].data_centre,
    };
    match source {
        Source::Store => outcome.store_calls += 1,
        Source::Instance(_) => outcome.relay_calls += 1,
    }
    let arrives = ms + latency_ms(instance.data_centre, data_centre);
    Poll { sent: ms, since: instance.view.revision(), source, arrives, answer: None }
}

fn report(name: &str, mut outcome: Outcome) {
    outcome.delays.sort_unstable();
    let seconds = RUN_MS / 1000;
    println!(
        "{name:<26} {:>4} instances: {:>7.1} store calls/s, {:>7.1} relay calls/s; in force everywhere: median {:>4} ms, \
         maximum {:>5} ms; oldest proof {:>5} ms",
        outcome.instances,
        outcome.store_calls as f64 / seconds as f64,
        outcome.relay_calls as f64 / seconds as f64,
        outcome.delays[outcome.delays.len() / 2],
        outcome.delays.last().unwrap_or(&0),
        outcome.max_age.as_millis(),
    );
}

fn main() {
    println!(
        "seed {SEED}, {} s simulated, a relay fails at {} s",
        RUN_MS / 1000,
        FAILURE_MS / 1000
    );
    for count in [8, 64, 620] {
        report("all watch the store", simulate(count, false));
        report("two relays per data centre", simulate(count, true));
    }
}
