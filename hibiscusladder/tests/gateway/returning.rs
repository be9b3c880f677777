//! Members that return: a replica that receives nothing while the primary crashes, in three databases, with links that
//! recover late, instances that are scheduled late, and changes in the store that reach some instances late.
//!
//! `HIBISCUS_DAY_SEEDS=FIRST..END` plays whole days; the regression case plays the first fault of one.

use std::{
    env,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{CatchUp, MEMBERS, Scale, Standin};
use hibiscusladder_testkit::fault_proxy::FaultProxy;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    fleet::{Fleet, save_logs},
    history::History,
    soak::parse_range,
};

const INSTANCES: usize = 8;
const GROUPS: usize = 3;
const DAY: Duration = Duration::from_secs(80);
/// Length of the part of the day with its first fault.
const FIRST_PART: Duration = Duration::from_secs(22);
/// Starts of the faults, with the group of each.
const FAULTS: [(Duration, usize); 4] = [
    (Duration::from_secs(5), 0),
    (Duration::from_secs(23), 1),
    (Duration::from_secs(41), 2),
    (Duration::from_secs(59), 0),
];
/// Time for which a replica receives nothing.
const DEAF_TIME: Duration = Duration::from_secs(6);
/// Time from then on after which the primary crashes, and for which it is down.
const CRASH_AFTER: Duration = Duration::from_millis(500);
const CRASH_TIME: Duration = Duration::from_secs(7);
/// Longest additional time until a replication link carries commits again, as when its next attempt is backed off.
const MAX_LINK_RECOVERY_MS: u64 = 4000;
/// Pace at which a member catches up after its link has recovered.
const CATCH_UP: CatchUp = CatchUp { batch: 4, interval: Duration::from_millis(40) };
/// Interval of the members' reports to the store, in milliseconds.
const REPORT_MS: u64 = 1200;
/// Time from the request of a promotion until the member is primary.
const PROMOTION_TIME: Duration = Duration::from_millis(1000);
/// Longest time for which an instance is not scheduled, and longest pause until the next one is not.
const MAX_PAUSE_MS: u64 = 400;
/// Longest time for which the changes in the store do not reach an instance.
const MAX_STORE_DELAY_MS: u64 = 3000;
/// Rate of both workspaces in operations per second, above what the callers send.
const RATE: f64 = 2000.0;
/// Time after the day within which all callers have to be served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Guards against a failover that loses commits which the replaced primary acknowledged through a member that returned
/// meanwhile.
#[test]
fn failover_with_returning_members_loses_no_commit() {
    play(1, FIRST_PART);
}

/// Plays the seeds of `HIBISCUS_DAY_SEEDS`; does nothing when it is not set.
#[test]
fn returning_members_of_named_seeds() {
    let Ok(seeds) = env::var("HIBISCUS_DAY_SEEDS") else { return };
    for seed in parse_range(&seeds).expect("HIBISCUS_DAY_SEEDS is FIRST..END") {
        play(seed, DAY);
    }
}

fn play(seed: u64, length: Duration) {
    let scale = Scale { groups: GROUPS, promotion_time: PROMOTION_TIME };
    let fleet = Fleet::start_with(INSTANCES, true, scale);
    let history = History::new(seed, GROUPS);
    history.record_rate(RATE);
    fleet.standin.configure(3, [RATE; 2], &[]);
    let addresses: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.callers).collect();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let started = Instant::now();
        history.start_callers(scope, &addresses, started + length + RECOVERY_TIMEOUT);
        for (number, (at, group)) in FAULTS.into_iter().enumerate() {
            if at < length {
                let standin = fleet.standin.clone();
                let rng = StdRng::seed_from_u64(seed * 100 + number as u64);
                scope.spawn(move || crash_beside_deaf_replica(&standin, group, started + at, rng));
            }
        }
        scope.spawn(|| pause_instances(&fleet, &ended, StdRng::seed_from_u64(seed * 100 + 10)));
        scope.spawn(|| delay_store(&fleet, &ended, StdRng::seed_from_u64(seed * 100 + 11)));
        sleep_until(started + length);
        ended.store(true, Ordering::SeqCst);
        history.wait_until_served(Instant::now() + RECOVERY_TIMEOUT);
        history.stop();
    });
    let violations =
        history.violations_in((0..GROUPS).map(|group| fleet.standin.lock_group_of(group)));
    if !violations.is_empty() {
        let logs = save_logs(&fleet, &format!("returning-{seed}"));
        panic!("seed {seed}, logs in {logs}:\n{}", violations.join("\n"));
    }
}

fn sleep_until(until: Instant) {
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn duration(rng: &mut StdRng, longest_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..longest_ms))
}

/// From `at` on a replica of the group receives nothing, and the primary crashes soon after. The links of both recover
/// some time after them.
fn crash_beside_deaf_replica(standin: &Standin, group: usize, at: Instant, mut rng: StdRng) {
    let link_recovery = duration(&mut rng, MAX_LINK_RECOVERY_MS);
    let start = duration(&mut rng, MAX_LINK_RECOVERY_MS);
    let (last_report, next_report) = (duration(&mut rng, REPORT_MS), duration(&mut rng, REPORT_MS));
    let crash_at = at + CRASH_AFTER;
    sleep_until(at);
    let primary = standin.lock_group_of(group).primary();
    let replica = (primary + rng.random_range(1..MEMBERS)) % MEMBERS;
    let block = |member| {
        let mut group = standin.lock_group_of(group);
        group.set_replication_blocked(member, true);
        group.set_catch_up(member, Some(CATCH_UP));
    };
    block(replica);
    sleep_until(crash_at);
    standin.lock_group_of(group).set_running(primary, false);
    standin.lock_group_of(group).set_last_report(primary, last_report);
    block(primary);
    let mut events = [
        (at + DEAF_TIME + link_recovery, replica, false),
        (crash_at + CRASH_TIME, primary, true),
        (crash_at + CRASH_TIME + start, primary, false),
    ];
    events.sort();
    for (at, member, starts) in events {
        sleep_until(at);
        let mut group = standin.lock_group_of(group);
        if starts {
            group.set_next_report(member, next_report);
            group.set_running(member, true);
        } else {
            group.set_replication_blocked(member, false);
        }
    }
}

/// Suspends one instance after the other for a short time.
fn pause_instances(fleet: &Fleet, ended: &AtomicBool, mut rng: StdRng) {
    while !ended.load(Ordering::SeqCst) {
        let process = &fleet.gateways[rng.random_range(0..INSTANCES)].process;
        process.freeze().ok();
        thread::sleep(duration(&mut rng, MAX_PAUSE_MS));
        process.thaw().ok();
        thread::sleep(duration(&mut rng, MAX_PAUSE_MS));
    }
}

/// Holds up what an instance exchanges with the store, one instance after the other.
fn delay_store(fleet: &Fleet, ended: &AtomicBool, mut rng: StdRng) {
    let hold = |proxy: &FaultProxy, held| proxy.change(|faults| faults.freeze = held);
    while !ended.load(Ordering::SeqCst) {
        let proxy = &fleet.gateways[rng.random_range(0..INSTANCES)].store_proxy;
        hold(proxy, true);
        thread::sleep(duration(&mut rng, MAX_STORE_DELAY_MS));
        hold(proxy, false);
        thread::sleep(duration(&mut rng, MAX_STORE_DELAY_MS));
    }
}
