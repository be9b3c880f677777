//! Larger fleets whose hubs are lost, frozen, or turned away by the store.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, Scale, WORKSPACES};
use hibiscusladder_testkit::fault_proxy::Faults;
use test_case::test_case;

use crate::fleet::{Fleet, open, process_log, query_once, save_logs};

/// Number of instances; more than in a flat fleet.
const INSTANCES: usize = 14;
/// Time within which a fleet serves again after the loss of machines (`recovery_s` of the deployments).
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time within which a changed configuration has to be in force (`config_apply_ms` of the deployments).
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(6);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// The first instances have the highest capacity, two at a time in each region, so that their order as hubs is known.
fn capacity(number: usize) -> &'static str {
    match number {
        0..4 => "limits.cpu_share=0.9\n",
        4..8 => "limits.cpu_share=0.8\n",
        _ => "limits.cpu_share=0.5\n",
    }
}

fn start(two_regions: bool) -> Fleet {
    let fleet = Fleet::start_configured(INSTANCES, two_regions, Scale::default(), capacity);
    let until = Instant::now() + RECOVERY_TIME;
    while fleet.standin.registered_instances().len() < INSTANCES {
        assert!(Instant::now() < until, "logs in {}", save_logs(&fleet, "hubs-start"));
        thread::sleep(PAUSE);
    }
    // The lists of all instances have all others by then.
    thread::sleep(Duration::from_secs(3));
    fleet
}

fn is_served(fleet: &Fleet, number: usize, workspace: &str) -> bool {
    let address = fleet.gateways[number].callers;
    let answer = query_once(address, PRIMARY_DATABASE, workspace, "probe", "WRITE probe 1");
    answer.is_ok_and(|reply| reply.outcome.is_ok())
}

/// Waits until each of the instances serves a write.
fn wait_until_served(fleet: &Fleet, numbers: &[usize], until: Instant) {
    for number in numbers {
        while !is_served(fleet, *number, WORKSPACES[0]) {
            let logs = || save_logs(fleet, "hubs-lost");
            assert!(Instant::now() < until, "instance {number}: logs in {}", logs());
            thread::sleep(PAUSE);
        }
    }
}

/// Guards against a fleet that serves nothing for good because all its hubs are lost, and only a hub removes their
/// registrations: after a loss of power of all (`review/13`), while the others run, with the successors of the hubs, with more than
/// half of the fleet, and one set of hubs after the other.
#[test_case(true, &[0, 1, 2, 3], true; "loss of power in two regions")]
#[test_case(true, &[0, 1, 2, 3], false; "two regions")]
#[test_case(false, &[0, 1], false; "one region")]
#[test_case(false, &[0, 1, 2, 3, 4, 5], false; "hubs and their successors")]
#[test_case(false, &[0, 1, 2, 3, 8, 9, 10, 11], true; "more than half")]
fn lost_hubs_are_replaced(two_regions: bool, lost: &[usize], others_restart: bool) {
    let mut fleet = start(two_regions);
    let rest: Vec<usize> = (0..INSTANCES).filter(|number| !lost.contains(number)).collect();
    for number in 0..INSTANCES {
        if others_restart || lost.contains(&number) {
            fleet.gateways[number].process.kill().expect("the process runs");
        }
    }
    if others_restart {
        rest.iter().for_each(|number| fleet.restart(*number));
    }
    wait_until_served(&fleet, &rest, Instant::now() + RECOVERY_TIME);
}

/// Guards against a fleet that hangs when its new hubs are lost before they have settled.
#[test]
fn lost_hubs_are_replaced_one_after_the_other() {
    let mut fleet = start(false);
    for (number, pause) in [(0, 2), (1, 7), (2, 1), (3, 0)] {
        fleet.gateways[number].process.kill().expect("the process runs");
        thread::sleep(Duration::from_secs(pause));
    }
    let rest: Vec<usize> = (4..INSTANCES).collect();
    wait_until_served(&fleet, &rest, Instant::now() + RECOVERY_TIME);
}

/// Guards against a withdrawn key that works at instances which could read the store, because their hubs are live and have
/// lost the store: its calls are reset, or not answered (`review/14`).
#[test_case(Faults { cut: true, ..Faults::default() }; "reset")]
#[test_case(Faults { blackhole: true, ..Faults::default() }; "silent")]
fn withdrawn_key_while_hubs_have_no_store(faults: Faults) {
    let [withdrawn, kept] = WORKSPACES;
    let fleet = start(true);
    let others: Vec<usize> = (4..INSTANCES).collect();
    wait_until_served(&fleet, &others, Instant::now() + RECOVERY_TIME);
    for hub in &fleet.gateways[..4] {
        hub.store_proxy.set(faults.clone());
    }
    fleet.standin.configure(9, [200.0; 2], &[withdrawn]);
    thread::sleep(CONFIG_APPLY_TIME);
    for number in others {
        let logs = || save_logs(&fleet, "hubs-turned-away");
        assert!(!is_served(&fleet, number, withdrawn), "instance {number}: logs in {}", logs());
        assert!(is_served(&fleet, number, kept), "instance {number}: logs in {}", logs());
    }
}

/// Guards against hubs that keep duties for which they need the store: with the store lost at all hubs for long, a failed
/// primary is replaced, and the hubs serve on.
#[test]
fn failover_while_hubs_have_no_store() {
    let fleet = start(true);
    for hub in &fleet.gateways[..4] {
        hub.store_proxy.change(|faults| faults.cut = true);
    }
    thread::sleep(Duration::from_secs(1));
    fleet.standin.lock_group().set_running(0, false);
    thread::sleep(RECOVERY_TIME);
    let all: Vec<usize> = (0..INSTANCES).collect();
    wait_until_served(&fleet, &all, Instant::now() + RECOVERY_TIME);
}

/// Guards against an allowance that is spent twice: by the instances that have replaced frozen hubs, and by those hubs when
/// they go on.
#[test]
fn frozen_hubs_spend_no_allowance_again() {
    const RATE: f64 = 60.0;
    const WINDOW: Duration = Duration::from_secs(5);
    const HUBS: [usize; 2] = [0, 1];
    let fleet = start(false);
    fleet.standin.configure(9, [RATE; 2], &[]);
    thread::sleep(CONFIG_APPLY_TIME);
    let began = Instant::now();
    let end = began + Duration::from_secs(27);
    thread::scope(|scope| {
        for gateway in &fleet.gateways {
            scope.spawn(move || {
                while Instant::now() < end {
                    let Ok(mut session) = open(gateway.callers, PRIMARY_DATABASE, WORKSPACES[1])
                    else {
                        thread::sleep(PAUSE);
                        continue;
                    };
                    // A session with a frozen instance ends with a time-out, and another one is opened.
                    while Instant::now() < end && session.query("q", "READ a").is_ok() {
                        thread::sleep(PAUSE);
                    }
                }
            });
        }
        HUBS.iter().for_each(|hub| fleet.gateways[*hub].process.freeze().expect("it runs"));
        thread::sleep(Duration::from_secs(15));
        HUBS.iter().for_each(|hub| fleet.gateways[*hub].process.thaw().expect("it is frozen"));
    });
    let group = fleet.standin.lock_group();
    let executed = group.executed().iter().filter(|read| read.workspace == WORKSPACES[1]);
    let times: Vec<Instant> = executed.map(|read| read.at).filter(|at| *at >= began).collect();
    drop(group);
    let in_window =
        |start: &Instant| times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    let most = times.iter().map(in_window).max().unwrap_or(0) as f64;
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1 + 20.0;
    let logs = || save_logs(&fleet, "hubs-frozen");
    assert!(most <= allowed, "{most} ran, at most {allowed} may; logs in {}", logs());
    let replaced_at = began + Duration::from_secs(9);
    let later = times.iter().filter(|at| **at > replaced_at).count() as f64;
    assert!(later > RATE, "{later} ran after the hubs were replaced; logs in {}", logs());
    let took_over = |gateway| process_log(gateway).contains(r#""outcome":"replaced""#);
    assert!(fleet.gateways.iter().any(took_over), "logs in {}", logs());
}
