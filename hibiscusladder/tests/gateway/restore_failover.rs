//! A store that returns from an older copy before, during and after a change of primary.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::fleet::{Fleet, Gateway, process_log, query_once, save_logs};

/// Time within which a failed primary has to be replaced: 10 s, the delay of claims after a data loss, and the wait of a write.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a claimant may not act any more under its claim (2.3 s).
const CLAIM_TIME: Duration = Duration::from_millis(2500);
/// Delay after which operator and members write their objects again.
const REWRITE_DELAY: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(10);

/// When the store loses data, always from a copy made before the change of primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum When {
    Before,
    /// While the promotion is requested.
    During,
    /// During, and once more a second later.
    Twice,
    /// After the change, and a second change follows.
    After,
}

fn wait_for<F>(fleet: &Fleet, what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let until = Instant::now() + FAILOVER_TIMEOUT;
    while !condition() {
        let logs = || save_logs(fleet, "restore-failover");
        assert!(Instant::now() < until, "{what}: logs in {}", logs());
        thread::sleep(PAUSE);
    }
}

/// Writes `value` to `key` at a primary, which may have to be replaced first.
fn write(fleet: &Fleet, key: &str, value: u32) {
    let (address, text) = (fleet.gateways[0].callers, format!("WRITE {key} {value}"));
    let mut number = 0;
    let until = Instant::now() + FAILOVER_TIMEOUT;
    loop {
        number += 1;
        let id = format!("{key}{number}");
        let answer = query_once(address, PRIMARY_DATABASE, WORKSPACES[0], &id, &text);
        if answer.is_ok_and(|reply| reply.outcome.is_ok()) {
            return;
        }
        let logs = || save_logs(fleet, "restore-failover");
        assert!(Instant::now() < until, "no write of {key}: logs in {}", logs());
        thread::sleep(PAUSE);
    }
}

fn is_in_log(fleet: &Fleet, text: &str) -> bool {
    fleet.gateways.iter().any(|gateway| process_log(gateway).contains(text))
}

fn hold_promotions(fleet: &Fleet, freeze: bool) {
    let proxies = fleet.gateways.iter().map(|gateway| &gateway.promotion_proxy);
    proxies.for_each(|proxy| proxy.change(|faults| faults.freeze = freeze));
}

/// Guards against two claimants at once, a number that is lower than one before or given twice, the loss of an acknowledged
/// commit, a record that stays lost, and a group without a primary, each around a data loss of the store.
#[test_case(When::Before, &[1]; "before")]
#[test_case(When::During, &[1]; "during")]
#[test_case(When::Twice, &[2]; "twice")]
#[test_case(When::After, &[0, 1]; "after")]
fn restore_around_a_change_of_primary(when: When, eras: &[u64]) {
    let fleet = Fleet::start(3);
    fleet.standin.take_copy();
    write(&fleet, "a", 41);
    let stop = |member| fleet.standin.lock_group().set_running(member, false);
    match when {
        When::Before => {
            fleet.standin.restore(REWRITE_DELAY);
            stop(0);
        }
        When::During | When::Twice => {
            hold_promotions(&fleet, true);
            stop(0);
            let is_asking = |gateway: &Gateway| gateway.promotion_proxy.connections() > 0;
            wait_for(&fleet, "promotion", || fleet.gateways.iter().any(is_asking));
            fleet.standin.restore(REWRITE_DELAY);
            if when == When::Twice {
                thread::sleep(Duration::from_secs(1));
                fleet.standin.restore(REWRITE_DELAY);
            }
            thread::sleep(CLAIM_TIME);
            hold_promotions(&fleet, false);
        }
        When::After => {
            stop(0);
            write(&fleet, "b", 42);
            fleet.standin.lock_group().set_running(0, true);
            fleet.standin.restore(REWRITE_DELAY);
            let written = r#""outcome":"written""#;
            wait_for(&fleet, "record", || is_in_log(&fleet, written));
            write(&fleet, "b", 43);
            let primary = fleet.standin.lock_group().primary();
            stop(primary);
        }
    }
    write(&fleet, "c", 44);
    let promotions = fleet.standin.lock_group().promotions().to_vec();
    let is_rising = promotions.is_sorted_by(|one, next| one < next);
    assert!(is_rising, "{promotions:?}: logs in {}", save_logs(&fleet, "restore-failover"));
    let mut found: Vec<u64> = promotions.iter().map(|number| number >> 32).collect();
    found.dedup();
    assert_eq!(found, eras, "logs in {}", save_logs(&fleet, "restore-failover"));
    let b = if when == When::After { Some(("b", "43")) } else { None };
    for (key, value) in [("a", "41"), ("c", "44")].into_iter().chain(b) {
        for gateway in &fleet.gateways {
            let text = format!("READ {key}");
            let read = query_once(gateway.callers, PRIMARY_DATABASE, WORKSPACES[0], "r", &text);
            assert_eq!(read.expect("an answer").rows, [value], "{key}");
        }
    }
}
