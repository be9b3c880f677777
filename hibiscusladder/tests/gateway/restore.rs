//! A store that returns from an older copy: nothing that callers see may depend on what it has lost.

use std::{
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{BOUNDED_DATABASE, PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::fleet::{Fleet, open, process_log, query_once, save_logs};

/// Delay after which operator and members write their objects again.
const REWRITE_DELAY: Duration = Duration::from_secs(3);
/// Delay beyond the end of a test: whatever is right then does not come from the operator.
const NO_REWRITE: Duration = Duration::from_secs(600);
/// Time within which a changed configuration has to be in force (`config_apply_ms` of the deployments).
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which every instance has learned of a restore, and has registered again.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which callers are served across a restore.
const SERVED_TIME: Duration = Duration::from_secs(6);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);

fn wait_for<F>(fleet: &Fleet, name: &str, condition: F)
where
    F: Fn() -> bool,
{
    let until = Instant::now() + RESTORE_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "{name}: logs in {}", save_logs(fleet, name));
        thread::sleep(PAUSE);
    }
}

/// Whether the log of an instance tells that it knows this era.
fn knows_era(fleet: &Fleet, number: usize, era: u64) -> bool {
    let log = process_log(&fleet.gateways[number]);
    let mut restores = log.lines().filter(|line| line.contains(r#""event":"store_restored""#));
    restores.any(|line| line.contains(&format!(r#""era":{era},"#)))
}

/// Code of the answer to a read with the key of `workspace`, or of the refusal of its session; `OK` for one that is served, `-`
/// without an answer.
fn read_code(fleet: &Fleet, number: usize, workspace: &str) -> String {
    let address = fleet.gateways[number].callers;
    match query_once(address, BOUNDED_DATABASE, workspace, "read", "READ a") {
        Ok(reply) => reply.code().unwrap_or("OK").to_owned(),
        Err(error) => {
            let line = error.to_string();
            let code = line.strip_prefix("ERROR ").and_then(|rest| rest.split(' ').next());
            code.unwrap_or("-").to_owned()
        }
    }
}

/// Guards against requests that fail because the store has lost the registration of an instance and is written again only
/// some seconds later, and against an instance that does not register again; with one data loss, and two in a row.
#[test_case(1; "one")]
#[test_case(2; "two in a row")]
fn restore_under_load_is_not_noticed_by_callers(restores: u64) {
    let mut fleet = Fleet::start(2);
    fleet.standin.take_copy();
    fleet.add(2);
    fleet.gateways[2].wait_until_serving();
    wait_for(&fleet, "registered", || fleet.standin.registered_instances().len() == 3);
    let failed = thread::scope(|scope| {
        let callers: Vec<_> = (0..fleet.gateways.len())
            .map(|number| {
                let address = fleet.gateways[number].callers;
                scope.spawn(move || {
                    let mut session = open(address, PRIMARY_DATABASE, WORKSPACES[0])?;
                    let (until, mut failed) = (Instant::now() + SERVED_TIME, Vec::new());
                    for round in 0.. {
                        if Instant::now() >= until {
                            break;
                        }
                        let reply = session.query(&format!("{number}-{round}"), "WRITE a 1")?;
                        failed.extend(reply.code().map(str::to_owned));
                        thread::sleep(PAUSE);
                    }
                    std::io::Result::Ok(failed)
                })
            })
            .collect();
        for _ in 0..restores {
            thread::sleep(Duration::from_secs(1));
            fleet.standin.restore(REWRITE_DELAY);
        }
        let ends = callers.into_iter().map(|caller| caller.join().expect("the caller ends"));
        ends.collect::<std::io::Result<Vec<_>>>().expect("the sessions stay open").concat()
    });
    assert!(failed.is_empty(), "{failed:?}: logs in {}", save_logs(&fleet, "restore-load"));
    wait_for(&fleet, "restore-known", || (0..3).all(|number| knows_era(&fleet, number, restores)));
    wait_for(&fleet, "restore-register", || fleet.standin.registered_instances().len() == 3);
    let is_gone = |number| process_log(&fleet.gateways[number]).contains("member_gone");
    assert!(!(0..3).any(is_gone), "logs in {}", save_logs(&fleet, "restore-load"));
}

/// Guards against a withdrawn key that becomes valid again, at instances that run and at a process that starts right after
/// the data loss; also if lists that may be old are answered from before it.
#[test_case(false; "current lists")]
#[test_case(true; "old lists")]
fn withdrawn_key_stays_withdrawn(stale_lists: bool) {
    let [workspace, other] = WORKSPACES;
    let mut fleet = Fleet::start(3);
    fleet.standin.take_copy();
    fleet.standin.configure(9, [200.0; 2], &[workspace]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);
    if stale_lists {
        fleet.standin.serve_stale_lists();
    }
    fleet.standin.restore(NO_REWRITE);
    fleet.gateways[2].process.kill().expect("the process runs");
    fleet.restart(2);
    let until = Instant::now() + SERVED_TIME;
    while Instant::now() < until {
        for number in 0..3 {
            let code = read_code(&fleet, number, workspace);
            let logs = || save_logs(&fleet, "restore-withdrawn");
            assert_ne!(code, "OK", "instance {number}: logs in {}", logs());
            assert!(number == 2 || code == "NOAUTH", "{code}: logs in {}", logs());
        }
        thread::sleep(PAUSE);
    }
    for number in 0..3 {
        assert_eq!(read_code(&fleet, number, other), "OK", "instance {number}");
    }
}

/// Guards against an instance that cannot reach the store and keeps its state from before the data loss, because the
/// revisions of the others are lower.
#[test]
fn instance_without_store_learns_of_a_restore_from_others() {
    let fleet = Fleet::start(3);
    fleet.standin.take_copy();
    fleet.gateways[2].store_proxy.change(|faults| faults.cut = true);
    fleet.standin.restore(Duration::ZERO);
    wait_for(&fleet, "restore-cut", || knows_era(&fleet, 2, 1));
    fleet.standin.configure(9, [200.0; 2], &[WORKSPACES[0]]);
    thread::sleep(CONFIG_APPLY_TIMEOUT);
    for number in 0..3 {
        assert_eq!(read_code(&fleet, number, WORKSPACES[0]), "NOAUTH", "instance {number}");
    }
}

/// Guards against new work at a draining member, because the store has its entry from before.
#[test]
fn draining_member_stays_draining() {
    let fleet = Fleet::start(2);
    let read_for = |time: Duration| {
        let started = Instant::now();
        while started.elapsed() < time {
            for number in 0..2 {
                assert_eq!(read_code(&fleet, number, WORKSPACES[0]), "OK");
            }
            thread::sleep(PAUSE);
        }
    };
    let reads_since = |member, since| {
        let group = fleet.standin.lock_group();
        let reads = group.executed().iter().filter(|read| read.member == member);
        reads.filter(|read| read.at >= since).count()
    };
    let started = Instant::now();
    read_for(Duration::from_secs(2));
    let busiest = [1, 2].into_iter().max_by_key(|member| reads_since(*member, started));
    let member = busiest.expect("a replica");
    assert!(reads_since(member, started) > 0, "no replica is used");
    fleet.standin.take_copy();
    fleet.standin.lock_group().set_leaving(member, true);
    thread::sleep(CONFIG_APPLY_TIMEOUT);
    let restored = Instant::now();
    fleet.standin.restore(SERVED_TIME);
    read_for(SERVED_TIME);
    let late = reads_since(member, restored);
    assert_eq!(late, 0, "logs in {}", save_logs(&fleet, "restore-draining"));
}
