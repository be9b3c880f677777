//! Randomized fault soak: real processes, faults from outside, and promises checked from callers and members.
//!
//! The seed fixes the plan of faults. `HIBISCUS_SOAK_SEEDS=FIRST..END` runs other seeds than the regression cases, and
//! `HIBISCUS_SOAK_SECONDS` sets the length of a run.

mod history;
mod plan;

use std::{
    env,
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_testkit::fault_proxy::{FaultProxy, Faults};
use test_case::test_case;

use self::{
    history::History,
    plan::{Fault, plan},
};
use crate::fleet::{Fleet, keep_logs};

/// Instances of a run.
const INSTANCES: usize = 3;
/// Length of a run unless the environment sets another one.
const LENGTH: Duration = Duration::from_secs(8);
/// Time after the last fault until everything has to be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Delay of a slow relay; more than two regions lie apart.
const SLOW: Duration = Duration::from_millis(40);

/// Guards against broken promises under overlapping faults; seeds that ever failed stay here.
#[test_case(1; "first seed")]
#[test_case(2; "second seed")]
fn soak_keeps_promises(seed: u64) {
    run(seed);
}

/// Runs the seeds that the environment names.
#[test]
fn soak_of_named_seeds() {
    let Ok(seeds) = env::var("HIBISCUS_SOAK_SEEDS") else { return };
    for seed in parse_range(&seeds).expect("HIBISCUS_SOAK_SEEDS is FIRST..END") {
        run(seed);
    }
}

fn parse_range(text: &str) -> Option<Range<u64>> {
    let (first, end) = text.split_once("..")?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

fn length() -> Duration {
    let seconds = env::var("HIBISCUS_SOAK_SECONDS").ok().and_then(|text| text.parse().ok());
    seconds.map_or(LENGTH, Duration::from_secs)
}

fn run(seed: u64) {
    let mut fleet = Fleet::start(INSTANCES);
    let relays = insert_relays(&fleet);
    let history = History::new(seed);
    let stop = Instant::now() + length();
    let addresses: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.callers).collect();
    thread::scope(|scope| {
        history.start_callers(scope, &addresses, stop + RECOVERY);
        let started = Instant::now();
        for (at, fault) in plan(seed, length()) {
            thread::sleep((started + at).saturating_duration_since(Instant::now()));
            inject(&mut fleet, &relays, &fault);
        }
        thread::sleep(stop.saturating_duration_since(Instant::now()));
        repair(&mut fleet, &relays);
        history.wait_until_served(Instant::now() + RECOVERY);
        history.stop();
    });
    let kept = fleet.standin.lock_group().kept();
    let ran = fleet.standin.lock_group().ran().to_vec();
    let promotions = fleet.standin.lock_group().promotions().to_vec();
    let broken = history.violations(&kept, &ran, &promotions);
    if !broken.is_empty() {
        let logs = keep_logs(&fleet, &format!("soak-{seed}"));
        panic!("seed {seed}, logs in {logs}:\n{}", broken.join("\n"));
    }
}

/// Puts a relay in front of each member.
fn insert_relays(fleet: &Fleet) -> Vec<FaultProxy> {
    let relays = (0..3).map(|member| {
        let relay = FaultProxy::start(fleet.standin.member_address(member)).expect("a relay");
        fleet.standin.set_relay(member, relay.address());
        relay
    });
    relays.collect()
}

fn inject(fleet: &mut Fleet, relays: &[FaultProxy], fault: &Fault) {
    match fault {
        Fault::Kill(instance) => {
            fleet.gateways[*instance].process.kill().expect("the process was started here");
            fleet.restart(*instance);
        }
        Fault::Terminate(instance) => {
            fleet.gateways[*instance].process.terminate().ok();
        }
        Fault::Restart(instance) => {
            let process = &mut fleet.gateways[*instance].process;
            // One that still runs was asked to stop a moment ago.
            if process.wait(Duration::from_secs(6)).expect("the process").is_none() {
                process.kill().expect("the process was started here");
            }
            fleet.restart(*instance);
        }
        Fault::Freeze(instance) => {
            fleet.gateways[*instance].process.freeze().ok();
        }
        Fault::Thaw(instance) => {
            fleet.gateways[*instance].process.thaw().ok();
        }
        Fault::Store(fault) => fleet.standin.set_store(*fault),
        Fault::Member { member, up } => fleet.standin.lock_group().set_up(*member, *up),
        Fault::Primary { up: false } => {
            let primary = fleet.standin.lock_group().primary();
            fleet.standin.lock_group().set_up(primary, false);
        }
        Fault::Primary { up: true } => {
            (0..3).for_each(|member| fleet.standin.lock_group().set_up(member, true));
        }
        Fault::Lag { member, lag } => fleet.standin.lock_group().set_lag(*member, *lag),
        Fault::Leaving => {
            let primary = fleet.standin.lock_group().primary();
            fleet.standin.lock_group().set_leaving(primary, true);
        }
        Fault::Silence(member) => relays[*member].silence_open(),
        Fault::Reset(member) => relays[*member].close_open(),
        Fault::Cut { member, cut } => relays[*member].change(|faults| faults.cut = *cut),
        Fault::Slow(member) => relays[*member].change(|faults| faults.delay = SLOW),
        Fault::Configure(version) => fleet.standin.configure(*version, [200.0; 2], &[]),
    }
}

fn repair(fleet: &mut Fleet, relays: &[FaultProxy]) {
    fleet.standin.set_store(Default::default());
    for member in 0..3 {
        let mut group = fleet.standin.lock_group();
        group.set_up(member, true);
        group.set_lag(member, Duration::from_millis(10));
        group.set_leaving(member, false);
    }
    relays.iter().for_each(|relay| relay.set(Faults::default()));
    for instance in 0..fleet.gateways.len() {
        let process = &mut fleet.gateways[instance].process;
        process.thaw().ok();
        if process.wait(Duration::ZERO).expect("the process").is_some() {
            fleet.restart(instance);
        }
    }
}
