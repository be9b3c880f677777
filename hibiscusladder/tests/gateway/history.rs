//! Callers of a run, the record of their requests, and the checks of that record against the members' log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, Scope},
    time::{Duration, Instant},
};

use hibiscusladder_platform_standin::{
    BOUNDED_DATABASE, Caller, ExecutedStatement, Group, MAX_STALENESS, PRIMARY_DATABASE,
    READ_YOUR_WRITES_DATABASE, Reply, WORKSPACES, database_of,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::fleet::open;

/// Number of callers of a group in a run; each writes its own item.
const CALLERS: usize = 6;
/// Longest pause of a caller between two operations, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Consecutive failed operations after which a caller switches to another instance.
const FAILURES_BEFORE_SWITCH: u32 = 3;
/// Rate of the workspaces in operations per second unless a fault sets a lower one; the burst is as large.
pub(crate) const MAX_RATE: f64 = 200.0;
/// Window over which operations are counted against a rate (`quota_window_s` of the deployments).
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Time within which a changed rate has to be in force (`config_apply_ms` of the deployments).
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Tolerated excess over rate and burst: a factor (1 + `quota_overage`), and operations on top (`quota_slack`).
const RATE_TOLERANCE: (f64, f64) = (1.1, 20.0);
/// Error codes that guarantee that the statement had no effect.
const NOT_APPLIED_CODES: [&str; 6] =
    ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];

/// Outcome of a write, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    Acknowledged,
    /// Answered with a guarantee that it had no effect, or never committed.
    Refused,
    /// May or may not have taken effect.
    Unknown,
}

#[derive(Debug, Default)]
struct Observations {
    /// Acknowledged values of each item, with the time of the acknowledgement.
    acknowledged: BTreeMap<String, Vec<(u64, Instant)>>,
    /// Outcome of each write, by request id.
    write_outcomes: BTreeMap<String, WriteOutcome>,
    /// Workspace of the caller, by request id.
    workspaces: BTreeMap<String, &'static str>,
    /// Rates of the first workspace in operations per second, with the time at which they were configured.
    rates: Vec<(Instant, f64)>,
    violations: Vec<String>,
}

/// Runs the callers and records what they observe.
#[derive(Debug)]
pub(crate) struct History {
    seed: u64,
    /// Number of groups; caller number `n` uses group `n` modulo this number.
    groups: usize,
    observations: Mutex<Observations>,
    stopped: AtomicBool,
    /// Bit mask of the callers that succeeded since [`History::wait_until_served`] began.
    served: AtomicU64,
}

impl History {
    pub(crate) fn new(seed: u64, groups: usize) -> Self {
        Self {
            seed,
            groups,
            observations: Mutex::default(),
            stopped: AtomicBool::new(false),
            served: AtomicU64::new(0),
        }
    }

    pub(crate) fn start_callers<'scope, 'env>(
        &'env self,
        scope: &'scope Scope<'scope, 'env>,
        addresses: &'env [SocketAddr],
        end: Instant,
    ) {
        for caller in 0..CALLERS * self.groups {
            scope.spawn(move || self.run_caller(caller, addresses, end + Duration::from_secs(5)));
        }
    }

    /// Waits until every caller has succeeded; records a violation when one has not by `until`.
    pub(crate) fn wait_until_served(&self, until: Instant) {
        self.served.store(0, Ordering::SeqCst);
        let all = (1_u64 << (CALLERS * self.groups)) - 1;
        while self.served.load(Ordering::SeqCst) != all {
            if Instant::now() > until {
                let served = self.served.load(Ordering::SeqCst);
                self.observations()
                    .violations
                    .push(format!("not all callers are served again: {served:b}"));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Records a new rate of the first workspace; to be called before it is configured.
    pub(crate) fn record_rate(&self, rate: f64) {
        self.observations().rates.push((Instant::now(), rate));
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_caller(&self, number: usize, addresses: &[SocketAddr], end: Instant) {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + number as u64);
        let mut caller = CallerState::new(number);
        while !self.stopped.load(Ordering::SeqCst) && Instant::now() < end {
            let database = match rng.random_range(0..4) {
                0 | 1 => PRIMARY_DATABASE,
                2 => BOUNDED_DATABASE,
                _ => READ_YOUR_WRITES_DATABASE,
            };
            let served = caller.run_operation(self, database, addresses, &mut rng);
            if served {
                self.served.fetch_or(1 << number, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS)));
        }
    }

    /// Descriptions of all violated guarantees, from what the callers saw and what the groups have recorded.
    pub(crate) fn violations_in<'a, I>(&self, groups: I) -> Vec<String>
    where
        I: IntoIterator<Item = MutexGuard<'a, Group>>,
    {
        let (mut logged_writes, mut executed) = (BTreeMap::new(), Vec::new());
        let mut violations = Vec::new();
        for group in groups {
            logged_writes.extend(group.logged_writes());
            executed.extend_from_slice(group.executed());
            violations.extend(order_violation(group.promotions()));
            let lost = group.lost_writes();
            if !lost.is_empty() {
                violations
                    .push(format!("a member was promoted without acknowledged writes: {lost:?}"));
            }
        }
        violations.extend(self.violations(&logged_writes, &executed));
        violations
    }

    /// Descriptions of the violated guarantees of requests. `logged_writes` holds the number of writes in the primaries'
    /// logs by request id.
    fn violations(
        &self,
        logged_writes: &BTreeMap<String, usize>,
        executed: &[ExecutedStatement],
    ) -> Vec<String> {
        let observations = self.observations();
        let mut violations = observations.violations.clone();
        for (id, outcome) in &observations.write_outcomes {
            let count = logged_writes.get(id).copied().unwrap_or(0);
            let allowed = match outcome {
                WriteOutcome::Acknowledged => count == 1,
                WriteOutcome::Refused => count == 0,
                WriteOutcome::Unknown => count <= 1,
            };
            if !allowed {
                violations
                    .push(format!("write {id} was {outcome:?} but is in the log {count} times"));
            }
        }
        for statement in executed {
            let owner = observations.workspaces.get(&statement.id);
            if owner.is_some_and(|owner| *owner != statement.workspace) {
                violations
                    .push(format!("{} ran for workspace {}", statement.id, statement.workspace));
            }
        }
        violations.extend(rate_violations(&observations.rates, executed));
        violations
    }
}

/// Describes a decrease in the generation numbers of a group's promotions, in the order of their arrival.
fn order_violation(promotions: &[u64]) -> Option<String> {
    let text = || format!("generation numbers decreased: {promotions:?}");
    (!promotions.is_sorted()).then(text)
}

/// Describes the first window in which the first workspace ran more operations than the highest rate permits that may
/// have been in force; empty if there is none.
fn rate_violations(rates: &[(Instant, f64)], executed: &[ExecutedStatement]) -> Vec<String> {
    let of_first = executed
        .iter()
        .filter(|statement| statement.outside_transaction && statement.workspace == WORKSPACES[0]);
    let mut times: Vec<Instant> = of_first.map(|statement| statement.at).collect();
    times.sort();
    let (factor, slack) = RATE_TOLERANCE;
    let violations = (0..times.len()).filter_map(|first| {
        let (from, until) = (times[first], times[first] + RATE_WINDOW);
        let count = times[first..].iter().take_while(|at| **at < until).count();
        let rate = highest_rate(rates, from, until);
        let allowed = (rate * RATE_WINDOW.as_secs_f64() + rate) * factor + slack;
        let text = || format!("{count} operations in a window at a rate of {rate} per second");
        (count as f64 > allowed).then(text)
    });
    violations.take(1).collect()
}

/// The highest rate that an instance may have enforced from `from` to `until`.
fn highest_rate(rates: &[(Instant, f64)], from: Instant, until: Instant) -> f64 {
    let first = rates.iter().rposition(|(at, _)| *at + CONFIG_APPLY_TIMEOUT <= from);
    let later = rates.iter().skip(first.unwrap_or(0));
    let in_window = later.filter(|(at, _)| *at < until).map(|(_, rate)| *rate);
    let before = first.is_none().then_some(MAX_RATE);
    in_window.chain(before).fold(0.0, f64::max)
}

/// State of one caller.
struct CallerState {
    number: usize,
    /// Item that only this caller writes.
    item: String,
    workspace: &'static str,
    /// Value of the latest write to the item, acknowledged or not; each write increments it.
    value: u64,
    operations: u64,
    /// Index of the instance that the caller uses, modulo the number of instances.
    instance: usize,
    /// Consecutive failed operations.
    failures: u32,
    /// Open sessions by database, with the last value that was acknowledged in the session.
    sessions: BTreeMap<&'static str, (Caller, u64)>,
}

impl CallerState {
    fn new(number: usize) -> Self {
        Self {
            number,
            item: format!("item{number}"),
            workspace: WORKSPACES[number % WORKSPACES.len()],
            value: 0,
            operations: 0,
            instance: number,
            failures: 0,
            sessions: BTreeMap::new(),
        }
    }

    /// Runs one operation; returns whether it succeeded.
    fn run_operation(
        &mut self,
        history: &History,
        database: &'static str,
        addresses: &[SocketAddr],
        rng: &mut StdRng,
    ) -> bool {
        let address = addresses[self.instance % addresses.len()];
        let name = database_of(database, self.number % history.groups);
        let (mut session, last_written) = match self.sessions.remove(database) {
            Some(open) => open,
            None => match open(address, &name, self.workspace) {
                Ok(session) => (session, 0),
                Err(_) => return self.fail(),
            },
        };
        self.operations += 1;
        let id = format!("s{}c{}o{}", history.seed, self.number, self.operations);
        history.observations().workspaces.insert(id.clone(), self.workspace);
        let writes = database != BOUNDED_DATABASE && rng.random_bool(0.4);
        let in_transaction = rng.random_bool(0.3);
        let outcome = if writes {
            self.write(history, &mut session, &id, in_transaction)
                .map(|value| value.max(last_written))
        } else {
            let other =
                rng.random_range(0..CALLERS) * history.groups + self.number % history.groups;
            let other = format!("item{other}");
            read(history, &mut session, database, &id, (&self.item, &other), last_written)
                .map(|()| last_written)
        };
        let Some(last_written) = outcome else { return self.fail() };
        self.failures = 0;
        self.sessions.insert(database, (session, last_written));
        true
    }

    /// Counts a failed operation, and switches to the next instance after [`FAILURES_BEFORE_SWITCH`] of them.
    fn fail(&mut self) -> bool {
        self.failures += 1;
        if self.failures.is_multiple_of(FAILURES_BEFORE_SWITCH) {
            self.instance += 1;
        }
        false
    }

    /// Writes the next value of the caller's item and returns it; `None` when the write was not acknowledged.
    fn write(
        &mut self,
        history: &History,
        session: &mut Caller,
        id: &str,
        in_transaction: bool,
    ) -> Option<u64> {
        self.value += 1;
        let text = format!("WRITE {} {}", self.item, self.value);
        let reply = if in_transaction {
            let begun = session.query(&format!("{id}b"), "BEGIN");
            let written = begun.and_then(|_| session.query(id, &text));
            match written {
                Ok(reply) if reply.outcome.is_ok() => session.query(&format!("{id}c"), "COMMIT"),
                // Without a commit the write has no effect, whatever the answer was.
                _ => {
                    history
                        .observations()
                        .write_outcomes
                        .insert(id.to_owned(), WriteOutcome::Refused);
                    return None;
                }
            }
        } else {
            session.query(id, &text)
        };
        let now = Instant::now();
        let outcome = write_outcome(reply.as_ref().ok());
        let mut observations = history.observations();
        observations.write_outcomes.insert(id.to_owned(), outcome);
        if outcome != WriteOutcome::Acknowledged {
            return None;
        }
        check_proof(&mut observations, id, in_transaction, reply.ok()?.outcome.ok()?);
        observations.acknowledged.entry(self.item.clone()).or_default().push((self.value, now));
        Some(self.value)
    }
}

fn write_outcome(reply: Option<&Reply>) -> WriteOutcome {
    match reply {
        Some(reply) if reply.outcome.is_ok() => WriteOutcome::Acknowledged,
        Some(reply) if reply.code().is_some_and(|code| NOT_APPLIED_CODES.contains(&code)) => {
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unknown,
    }
}

fn check_proof(observations: &mut Observations, id: &str, in_transaction: bool, proof: String) {
    let request = if in_transaction { format!("{id}c") } else { id.to_owned() };
    if proof != format!("proof.{request}") {
        observations.violations.push(format!("{request} was answered with the proof {proof}"));
    }
}

/// Reads the caller's item or another one, and checks that the value is not staler than the database permits; `None`
/// when the read failed. `last_written` is the last value that was acknowledged in this session.
fn read(
    history: &History,
    session: &mut Caller,
    database: &'static str,
    id: &str,
    (own_item, other): (&str, &str),
    last_written: u64,
) -> Option<()> {
    let item = if id.len().is_multiple_of(2) { own_item } else { other };
    let started = Instant::now();
    let reply = session.query(id, &format!("READ {item}")).ok()?;
    let proof = reply.outcome.ok()?;
    let mut observations = history.observations();
    check_proof(&mut observations, id, false, proof);
    let value: u64 = reply.rows.first()?.parse().ok()?;
    let max_age = if database == PRIMARY_DATABASE { Duration::ZERO } else { MAX_STALENESS };
    let acknowledged = observations.acknowledged.get(item).into_iter().flatten();
    let visible = acknowledged.filter(|(_, at)| *at + max_age < started).map(|(value, _)| *value);
    let last_written =
        if database == READ_YOUR_WRITES_DATABASE && item == own_item { last_written } else { 0 };
    let minimum = visible.max().unwrap_or(0).max(last_written);
    if value < minimum {
        observations.violations.push(format!(
            "{id} on {database} read {value} of {item}, expected at least {minimum}"
        ));
    }
    Some(())
}

/// Guards against checks that miss a violated guarantee: one history with a violation for each rule.
#[test_case::test_case(WriteOutcome::Acknowledged, 1, "club-a", &[1, 2], 0; "no violation")]
#[test_case::test_case(WriteOutcome::Acknowledged, 0, "club-a", &[1, 2], 1; "an acknowledged write is lost")]
#[test_case::test_case(WriteOutcome::Acknowledged, 2, "club-a", &[1, 2], 1; "a write is applied twice")]
#[test_case::test_case(WriteOutcome::Refused, 1, "club-a", &[1, 2], 1; "a refused write is applied")]
#[test_case::test_case(WriteOutcome::Unknown, 2, "club-a", &[1, 2], 1; "a write with unknown outcome is applied twice")]
#[test_case::test_case(WriteOutcome::Acknowledged, 1, "club-b", &[1, 2], 1; "it ran for another workspace")]
#[test_case::test_case(WriteOutcome::Acknowledged, 1, "club-a", &[2, 1], 1; "a generation number decreased")]
fn violations_finds(
    outcome: WriteOutcome,
    logged_writes: usize,
    executed_for: &str,
    promotions: &[u64],
    violations: usize,
) {
    let history = History::new(0, 1);
    history.observations().write_outcomes.insert("w".to_owned(), outcome);
    history.observations().workspaces.insert("w".to_owned(), WORKSPACES[0]);
    let logged_writes = BTreeMap::from([("w".to_owned(), logged_writes)]);
    let workspace = executed_for.to_owned();
    let executed = [ExecutedStatement {
        member: 0,
        id: "w".to_owned(),
        workspace,
        outside_transaction: true,
        at: Instant::now(),
    }];
    let found = history.violations(&logged_writes, &executed);
    assert_eq!(found.into_iter().chain(order_violation(promotions)).count(), violations);
}

/// Guards against a rate check that misses an excess, or that enforces a rate before it has to be in force.
#[test_case::test_case(110, &[], 0; "within the first rate")]
#[test_case::test_case(200, &[(-10, 15.0)], 1; "above a rate in force")]
#[test_case::test_case(200, &[(-1, 15.0)], 0; "above a rate that is new")]
#[test_case::test_case(200, &[(-10, 15.0), (2, 200.0)], 0; "raised within the window")]
fn rate_violations_finds(count: u64, rates: &[(i64, f64)], found: usize) {
    let start = Instant::now() + Duration::from_secs(60);
    let at = |seconds: i64| match u64::try_from(seconds) {
        Ok(seconds) => start + Duration::from_secs(seconds),
        Err(_) => start - Duration::from_secs(seconds.unsigned_abs()),
    };
    let rates: Vec<(Instant, f64)> = rates.iter().map(|(time, rate)| (at(*time), *rate)).collect();
    let executed: Vec<ExecutedStatement> = (0..count)
        .map(|number| ExecutedStatement {
            member: 0,
            id: number.to_string(),
            workspace: WORKSPACES[0].to_owned(),
            outside_transaction: true,
            at: start + Duration::from_millis(20 * number),
        })
        .collect();
    assert_eq!(rate_violations(&rates, &executed).len(), found);
}
