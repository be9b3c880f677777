//! Simulates failovers with the latencies of the deployment `cordillera`, and prints the time without acknowledged
//! writes and the duration of every stage.
//!
//! Run with `cargo run --release -p hibiscusladder-core --example failover_gap`.

#[allow(dead_code, unused_imports, reason = "the tests use other parts of the simulation")]
mod group;

use std::time::Duration;

use group::{Fault, Faults, Outcome, Scheduled, Settings, run};

/// Number of failovers for each scenario.
const RUNS: u64 = 24;
/// Time of the first fault; in each run, a different offset below one poll interval is added.
const FAULT_AT: Duration = Duration::from_secs(6);
const FAULT_DURATION: Duration = Duration::from_secs(14);

struct Scenario {
    name: &'static str,
    faults: &'static [Fault],
}

const SCENARIOS: [Scenario; 7] = [
    Scenario { name: "primary fails", faults: &[Fault::Crash(0)] },
    Scenario { name: "primary is isolated", faults: &[Fault::Isolate(0)] },
    Scenario { name: "primary is suspended", faults: &[Fault::Suspend(0)] },
    Scenario { name: "data centre of the primary is cut off", faults: &[Fault::Cut(0)] },
    Scenario { name: "primary fails, store is out", faults: &[Fault::Crash(0), Fault::Outage] },
    Scenario {
        name: "primary fails, claimant pauses 4 s",
        faults: &[Fault::Crash(0), Fault::PauseClaimant],
    },
    Scenario { name: "primary leaves", faults: &[Fault::Leave(0)] },
];

/// Durations in the failovers of one scenario.
#[derive(Debug, Default)]
struct Samples {
    gap: Vec<Duration>,
    detect: Vec<Duration>,
    claim: Vec<Duration>,
    fence: Vec<Duration>,
    promote: Vec<Duration>,
    publish: Vec<Duration>,
}

fn main() {
    println!("{RUNS} failovers each; median / maximum in milliseconds\n");
    println!("| scenario | write gap | detect | claim | fence | promote | publish | violations |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in &SCENARIOS {
        report(scenario);
    }
}

fn report(scenario: &Scenario) {
    let mut samples = Samples::default();
    let mut violations = 0;
    for seed in 0..RUNS {
        let outcome = run(&settings(scenario, seed));
        violations += outcome.violations.len();
        samples.add(&outcome);
    }
    let columns = [
        &mut samples.gap,
        &mut samples.detect,
        &mut samples.claim,
        &mut samples.fence,
        &mut samples.promote,
        &mut samples.publish,
    ];
    let cells: Vec<String> = columns.into_iter().map(|times| cell(times)).collect();
    println!("| {} | {} | {violations} |", scenario.name, cells.join(" | "));
}

fn settings(scenario: &Scenario, seed: u64) -> Settings {
    let mut settings = Settings::new(seed);
    let at = FAULT_AT + Duration::from_millis(seed * 250 / RUNS);
    let schedule = |fault: &Fault| {
        // The fault ends after the first attempt, so that the claimant of the next one is not paused as well.
        let duration =
            if *fault == Fault::PauseClaimant { Duration::from_secs(2) } else { FAULT_DURATION };
        Scheduled { at, duration, fault: *fault }
    };
    settings.faults = Faults::Script(scenario.faults.iter().map(schedule).collect());
    settings.fault_period = FAULT_AT + FAULT_DURATION + Duration::from_secs(1);
    settings.loss = 0.0;
    settings.delayed = 0.0;
    settings.sessions = 30;
    settings
}

impl Samples {
    fn add(&mut self, outcome: &Outcome) {
        self.gap.push(longest_gap(&outcome.acknowledged));
        if let Some(timeline) = outcome.timelines.first() {
            self.detect.push(timeline.detected.since(timeline.unresponsive_since));
            self.claim.push(timeline.claim_ended.since(timeline.detected));
            self.fence.push(timeline.fenced.since(timeline.claim_ended));
            self.promote.push(timeline.promoted.since(timeline.fenced));
            let published = timeline.published.unwrap_or(timeline.promoted);
            self.publish.push(published.since(timeline.promoted));
        }
    }
}

/// Longest time between two acknowledgements.
fn longest_gap(acknowledged: &[Duration]) -> Duration {
    acknowledged.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

fn cell(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let Some(maximum) = times.last() else { return "none".to_owned() };
    format!("{} / {}", times[times.len() / 2].as_millis(), maximum.as_millis())
}
