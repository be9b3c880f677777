//! What callers get under the load patterns for which the order of requests is made, compared with first come, first served
//! within each workspace and a constant retry delay, in the same run.

#[path = "request_order_simulation/measures.rs"]
mod measures;
#[path = "request_order_simulation/world.rs"]
mod world;

use test_case::test_case;

use self::{
    measures::{Outcome, Route, Scenario, Trouble},
    world::run,
};

/// Postings, enquiries and statement runs of a pension fund.
const PENSION: [Route; 3] = [
    Route { priority: 0, work_us: 3_000, target_ms: 500, limit_ms: 4_000, worth: 4.9 },
    Route { priority: 1, work_us: 15_000, target_ms: 800, limit_ms: 5_000, worth: 1.3 },
    Route { priority: 2, work_us: 9_000, target_ms: 2_000, limit_ms: 4_000, worth: 1.3 },
];
/// Longer work side by side.
const LONG: [Route; 3] = [
    Route { priority: 0, work_us: 9_000, target_ms: 800, limit_ms: 8_000, worth: 2.0 },
    Route { priority: 1, work_us: 47_000, target_ms: 1_200, limit_ms: 12_000, worth: 1.0 },
    Route { priority: 1, work_us: 28_000, target_ms: 1_500, limit_ms: 8_000, worth: 1.0 },
];
const BURST: Trouble = Trouble::Burst { from_ms: 10_000, to_ms: 18_000 };
const FAILOVER: Trouble = Trouble::Failover { from_ms: 10_000, to_ms: 13_000 };
const KILL: Trouble = Trouble::Kill { at_ms: 10_000 };
const WORKSPACES: usize = 16;
/// Workspace that sends eight times its usual in [`Trouble::Flood`].
const FLOODING: usize = 0;
const SEEDS: [u64; 2] = [1, 2];

/// What callers got without and with the mechanism.
struct Compared {
    scenario: Scenario,
    off: Outcome,
    on: Outcome,
}

impl Compared {
    fn run(routes: [Route; 3], trouble: Trouble, load: f64, seed: u64) -> Self {
        let scenario = Scenario { routes, workspaces: WORKSPACES, load, trouble, seed };
        let compared = Self { scenario, off: run(scenario, false), on: run(scenario, true) };
        println!("without: {}", compared.line(&compared.off));
        println!("with:    {}", compared.line(&compared.on));
        compared
    }

    fn line(&self, outcome: &Outcome) -> String {
        format!(
            "worth {:.3}, by route {:.3?}, worst workspace {:.3}, {} refused, {} of them late",
            outcome.worth(&self.scenario),
            outcome.shares(),
            outcome.worst_workspace(FLOODING),
            outcome.refused,
            outcome.refused_late
        )
    }

    fn gain(&self) -> f64 {
        self.on.worth(&self.scenario) - self.off.worth(&self.scenario)
    }
}

fn worst(shares: [f64; 3]) -> f64 {
    shares.into_iter().fold(1.0, f64::min)
}

/// Guards against an order that serves late what could have been on time, that starves the worst-served kind of request for the
/// sake of others, and against callers that come back together. Shares are of answers within the target, counted from the first
/// try; `gain` is the least gain of the share weighted by worth.
#[test_case(PENSION, BURST, 0.8, 0.25; "burst")]
#[test_case(LONG, BURST, 0.8, 0.2; "burst of longer work")]
#[test_case(PENSION, Trouble::Flood, 0.7, 0.1; "one workspace at eight times its usual")]
#[test_case(LONG, Trouble::Flood, 0.7, 0.05; "one workspace with longer work")]
#[test_case(PENSION, FAILOVER, 0.75, 0.1; "failover")]
#[test_case(LONG, FAILOVER, 0.75, 0.08; "failover with longer work")]
#[test_case(PENSION, KILL, 0.75, 0.03; "loss of all processes")]
#[test_case(LONG, KILL, 0.75, 0.02; "loss of all processes with longer work")]
fn callers_get_more_answers_in_time(routes: [Route; 3], trouble: Trouble, load: f64, gain: f64) {
    for seed in SEEDS {
        let compared = Compared::run(routes, trouble, load, seed);
        assert!(compared.gain() >= gain, "gain of {:.3} with seed {seed}", compared.gain());
        let (off, on) = (worst(compared.off.shares()), worst(compared.on.shares()));
        assert!(on > off, "worst kind {on:.3}, {off:.3} without, with seed {seed}");
        let (off, on) = (&compared.off, &compared.on);
        let (off, on) = (off.worst_workspace(FLOODING), on.worst_workspace(FLOODING));
        assert!(on >= off, "worst workspace {on:.3}, {off:.3} without, with seed {seed}");
    }
}

/// Guards against a mechanism that refuses or delays requests while the capacity suffices.
#[test_case(PENSION; "short work")]
#[test_case(LONG; "longer work")]
fn callers_get_all_answers_in_time_without_overload(routes: [Route; 3]) {
    for seed in SEEDS {
        let compared = Compared::run(routes, Trouble::None, 0.75, seed);
        assert!(compared.on.refused == 0.0 && worst(compared.on.shares()) > 0.995);
    }
}

/// Guards against a kind of request that starves during a lasting overload, and against callers that wait for a refusal until
/// their limit.
#[test_case(PENSION, 0.65; "short work")]
#[test_case(LONG, 0.55; "longer work")]
fn lasting_overload_starves_nobody(routes: [Route; 3], gain: f64) {
    for seed in SEEDS {
        let compared = Compared::run(routes, Trouble::None, 1.7, seed);
        assert!(compared.gain() >= gain, "gain of {:.3} with seed {seed}", compared.gain());
        let [first, ..] = compared.on.shares();
        assert!(first > 0.99 && worst(compared.on.shares()) > 0.15);
        let refused_late = |outcome: &Outcome| outcome.refused_late / outcome.refused;
        assert!(refused_late(&compared.off) > 0.9 && refused_late(&compared.on) < 0.05);
    }
}
