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

use hibiscusladder_testkit::fault_proxy::{Answers, FaultProxy, Faults};
use test_case::test_case;

use self::{
    history::{History, MAX_RATE},
    plan::{Fault, Link, plan},
};
use crate::fleet::{Fleet, keep_logs};

/// Instances of a small run, in which all connect to all members.
const FEW_INSTANCES: usize = 3;
/// Instances of a large run, in which two hold the connections to a member for all.
const MANY_INSTANCES: usize = 14;
/// Each third seed is a large run.
const LARGE_EVERY: u64 = 3;
/// Length of a run unless the environment sets another one.
const LENGTH: Duration = Duration::from_secs(8);
/// Time after the last fault until everything has to be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Delay of a slow relay; more than two regions lie apart.
const SLOW: Duration = Duration::from_millis(40);

/// Guards against broken promises under overlapping faults; seeds that ever failed stay here.
#[test_case(1; "first seed")]
#[test_case(2; "second seed")]
#[test_case(3; "large fleet")]
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
    let instances = if seed.is_multiple_of(LARGE_EVERY) { MANY_INSTANCES } else { FEW_INSTANCES };
    let mut fleet = Fleet::start(instances);
    let relays = Relays::insert(&fleet);
    let history = History::new(seed);
    let stop = Instant::now() + length();
    let addresses: Vec<_> = relays.callers.iter().map(FaultProxy::address).collect();
    thread::scope(|scope| {
        history.start_callers(scope, &addresses, stop + RECOVERY);
        let started = Instant::now();
        for (at, fault) in plan(seed, instances, length()) {
            thread::sleep((started + at).saturating_duration_since(Instant::now()));
            if let Fault::Configure { rate, .. } = fault {
                history.note_rate(rate);
            }
            inject(&mut fleet, &relays, &fault);
        }
        thread::sleep(stop.saturating_duration_since(Instant::now()));
        repair(&mut fleet, &relays);
        history.wait_until_served(Instant::now() + RECOVERY);
        history.stop();
    });
    let kept = fleet.standin.lock_group().logged_writes();
    let ran = fleet.standin.lock_group().executed().to_vec();
    let promotions = fleet.standin.lock_group().promotions().to_vec();
    let broken = history.violations(&kept, &ran, &promotions);
    if !broken.is_empty() {
        let logs = keep_logs(&fleet, &format!("soak-{seed}"));
        panic!("seed {seed}, logs in {logs}:\n{}", broken.join("\n"));
    }
}

/// Relays in front of the members and of the instances' addresses for callers.
struct Relays {
    members: Vec<FaultProxy>,
    callers: Vec<FaultProxy>,
}

impl Relays {
    fn insert(fleet: &Fleet) -> Self {
        let members = (0..3).map(|member| {
            let relay = FaultProxy::start(fleet.standin.member_address(member)).expect("a relay");
            fleet.standin.set_relay(member, relay.address());
            relay
        });
        let callers = fleet.gateways.iter();
        let callers = callers.map(|gateway| FaultProxy::start(gateway.callers).expect("a relay"));
        Self { members: members.collect(), callers: callers.collect() }
    }
}

fn set_link(relay: &FaultProxy, link: Link) {
    relay.set(match link {
        Link::Whole => Faults::default(),
        Link::Silent => Faults { blackhole: true, ..Faults::default() },
        Link::Cut => Faults { cut: true, ..Faults::default() },
        Link::OneWay => Faults { answers: Answers::Discard, ..Faults::default() },
    });
}

fn inject(fleet: &mut Fleet, relays: &Relays, fault: &Fault) {
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
        Fault::Silence(member) => relays.members[*member].blackhole_connections(),
        Fault::Reset(member) => relays.members[*member].close_connections(),
        Fault::Cut { member, cut } => relays.members[*member].change(|faults| faults.cut = *cut),
        Fault::Slow(member) => relays.members[*member].change(|faults| faults.delay = SLOW),
        Fault::Mute { member, mute } => relays.members[*member].change(|faults| {
            faults.answers = if *mute { Answers::Discard } else { Answers::Pass };
        }),
        Fault::StoreLink { instance, link } => set_link(&fleet.gateways[*instance].store, *link),
        Fault::CallerLink { instance, link } => set_link(&relays.callers[*instance], *link),
        Fault::Configure { version, rate } => {
            fleet.standin.configure(*version, [*rate, MAX_RATE], &[]);
        }
    }
}

fn repair(fleet: &mut Fleet, relays: &Relays) {
    fleet.standin.set_store(Default::default());
    for member in 0..3 {
        let mut group = fleet.standin.lock_group();
        group.set_up(member, true);
        group.set_lag(member, Duration::from_millis(10));
        group.set_leaving(member, false);
    }
    let links = relays.members.iter().chain(&relays.callers);
    let stores = fleet.gateways.iter().map(|gateway| &gateway.store);
    links.chain(stores).for_each(|relay| set_link(relay, Link::Whole));
    for instance in 0..fleet.gateways.len() {
        let process = &mut fleet.gateways[instance].process;
        process.thaw().ok();
        if process.wait(Duration::ZERO).expect("the process").is_some() {
            fleet.restart(instance);
        }
    }
}
