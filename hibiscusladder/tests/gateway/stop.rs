//! Planned stops under load: callers use open sessions and open new ones until the process is gone.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{BOUNDED_DATABASE, PRIMARY_DATABASE, WORKSPACES};
use test_case::test_case;

use crate::fleet::{Fleet, open, process_log};

/// Longest time from SIGTERM to the end of the process (`grace_s` of the deployments).
const GRACE: Duration = Duration::from_secs(6);
/// Time from sending a request up to which the end of the process may cut it, if no member has got it. The deployments
/// allow 200 ms (`loss_slack_ms`).
const UNREAD_TIME: Duration = Duration::from_millis(50);

/// A request without a complete answer.
#[derive(Debug)]
struct Cut {
    id: String,
    waited: Duration,
}

/// Sends requests to `address` until `until`, some in a session and some in new ones; returns those that got no complete
/// answer.
fn run_caller(address: SocketAddr, (name, workspace): (&str, &str), until: Instant) -> Vec<Cut> {
    let mut cut = Vec::new();
    let mut kept = None;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let database = if number % 2 == 0 { PRIMARY_DATABASE } else { BOUNDED_DATABASE };
        let session = match kept.take() {
            Some(session) => Ok(session),
            None => open(address, database, workspace),
        };
        // A connection that was not accepted has no request.
        let Ok(mut session) = session else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let id = format!("{name}-{number}");
        let sent = Instant::now();
        match session.query(&id, "READ a") {
            Ok(_) if number % 5 != 0 => kept = Some(session),
            Ok(_) => {}
            Err(_) => cut.push(Cut { id, waited: sent.elapsed() }),
        }
    }
    cut
}

/// Guards against a stopping process that takes sessions after it has stopped waiting for them, or requests that it cannot
/// answer before its end.
#[test_case(1, &[]; "few sessions")]
#[test_case(8, &[]; "sessions until the end")]
#[test_case(2, &[0, 1, 2, 3]; "requests that wait for tokens")]
fn stop_cuts_no_request(callers: usize, over_limit: &[usize]) {
    const STOPS: usize = 3;
    let mut fleet = Fleet::start(2);
    if !over_limit.is_empty() {
        fleet.standin.configure(9, [5.0, 200.0], &[]);
    }
    let cut = Mutex::new(Vec::new());
    let mut stopped_logs = Vec::new();
    for _ in 0..STOPS {
        let address = fleet.gateways[0].callers;
        let until = Instant::now() + GRACE;
        fleet.gateways[0].process.terminate().expect("the process runs");
        thread::scope(|scope| {
            let within = (0..callers).map(|caller| (caller, WORKSPACES[1]));
            let beyond = over_limit.iter().map(|caller| (callers + caller, WORKSPACES[0]));
            for (caller, workspace) in within.chain(beyond) {
                let cut = &cut;
                scope.spawn(move || {
                    let name = format!("c{caller}");
                    let ended = run_caller(address, (&name, workspace), until);
                    cut.lock().expect("no caller panicked").extend(ended);
                });
            }
        });
        let status = fleet.gateways[0].process.wait(Duration::ZERO).expect("the process");
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        stopped_logs.push(process_log(&fleet.gateways[0]));
        fleet.restart(0);
        fleet.gateways[0].wait_until_serving();
    }
    let executed = fleet.standin.lock_group().executed().to_vec();
    let cut = cut.into_inner().expect("no caller panicked");
    let with_fate = cut.into_iter().map(|cut| {
        let was_passed_on = executed.iter().any(|statement| statement.id == cut.id);
        (cut, was_passed_on)
    });
    let lost: Vec<(Cut, bool)> = with_fate
        .filter(|(cut, was_passed_on)| *was_passed_on || cut.waited > UNREAD_TIME)
        .collect();
    if !lost.is_empty() {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stop-cuts.log");
        std::fs::write(&path, stopped_logs.join("\n")).ok();
        panic!("{lost:?} (whether a member got it), logs of the stopped processes in {path:?}");
    }
}
