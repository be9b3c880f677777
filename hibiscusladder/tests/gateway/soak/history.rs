//! Callers of a run, and what they and the members saw.

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
    BOUNDED_DATABASE, Caller, ExecutedStatement, OWN_DATABASE, PRIMARY_DATABASE, Reply, STALENESS,
    WORKSPACES,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::fleet::open;

/// Callers of a run; each writes an item of its own.
const CALLERS: usize = 6;
/// Longest pause of a caller between two operations.
const PAUSE_MS: u64 = 40;
/// Operations without success in a row after which a caller goes to another instance.
const PATIENCE: u32 = 3;
/// Rate of the workspaces in operations a second, at first and unless a fault lowers it; the burst is as large.
pub(super) const MAX_RATE: f64 = 200.0;
/// Window in which operations are counted against a rate (`quota_window_s` of the deployments).
const WINDOW: Duration = Duration::from_secs(5);
/// Time until a rate has to be in force (`config_apply_ms`).
const IN_FORCE: Duration = Duration::from_secs(4);
/// By how much a rate and burst may be passed (`quota_overage`, `quota_slack`).
const TOLERATED: (f64, f64) = (1.1, 20.0);
/// Codes that promise that nothing is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Debug, Default)]
struct Seen {
    /// Values of each item whose writes were acknowledged, with the time.
    acknowledged: BTreeMap<String, Vec<(u64, Instant)>>,
    fates: BTreeMap<String, Fate>,
    workspaces: BTreeMap<String, &'static str>,
    /// Rates of the first workspace, and when they were written.
    rates: Vec<(Instant, f64)>,
    broken: Vec<String>,
}

/// Callers of a run, and what they saw.
#[derive(Debug)]
pub(super) struct History {
    seed: u64,
    seen: Mutex<Seen>,
    stopped: AtomicBool,
    /// Bit by caller that had success since the last look.
    served: AtomicU64,
}

impl History {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            seen: Mutex::default(),
            stopped: AtomicBool::new(false),
            served: AtomicU64::new(0),
        }
    }

    pub(super) fn start_callers<'scope, 'env>(
        &'env self,
        scope: &'scope Scope<'scope, 'env>,
        addresses: &'env [SocketAddr],
        end: Instant,
    ) {
        for caller in 0..CALLERS {
            scope.spawn(move || self.call(caller, addresses, end + Duration::from_secs(5)));
        }
    }

    /// Waits until every caller has had success; notes a violation when that takes too long.
    pub(super) fn wait_until_served(&self, until: Instant) {
        self.served.store(0, Ordering::SeqCst);
        let all = (1_u64 << CALLERS) - 1;
        while self.served.load(Ordering::SeqCst) != all {
            if Instant::now() > until {
                let served = self.served.load(Ordering::SeqCst);
                self.seen().broken.push(format!("not all callers are served again: {served:b}"));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Records that the first workspace is about to have another rate.
    pub(super) fn note_rate(&self, rate: f64) {
        self.seen().rates.push((Instant::now(), rate));
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, number: usize, addresses: &[SocketAddr], end: Instant) {
        let mut rng = StdRng::seed_from_u64(self.seed * 1000 + number as u64);
        let mut caller = CallerState::new(number);
        while !self.stopped.load(Ordering::SeqCst) && Instant::now() < end {
            let database = match rng.random_range(0..4) {
                0 | 1 => PRIMARY_DATABASE,
                2 => BOUNDED_DATABASE,
                _ => OWN_DATABASE,
            };
            let served = caller.operate(self, database, addresses, &mut rng);
            if served {
                self.served.fetch_or(1 << number, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(rng.random_range(1..PAUSE_MS)));
        }
    }

    /// Everything that broke a promise.
    pub(super) fn violations(
        &self,
        kept: &BTreeMap<String, usize>,
        ran: &[ExecutedStatement],
        promotions: &[u64],
    ) -> Vec<String> {
        let seen = self.seen();
        let mut broken = seen.broken.clone();
        for (id, fate) in &seen.fates {
            let count = kept.get(id).copied().unwrap_or(0);
            let allowed = match fate {
                Fate::Acknowledged => count == 1,
                Fate::Refused => count == 0,
                Fate::Unknown => count <= 1,
            };
            if !allowed {
                broken.push(format!("write {id} was {fate:?} and is kept {count} times"));
            }
        }
        for statement in ran {
            let owner = seen.workspaces.get(&statement.id);
            if owner.is_some_and(|owner| *owner != statement.workspace) {
                broken.push(format!("{} ran for {}", statement.id, statement.workspace));
            }
        }
        broken.extend(passed_limits(&seen.rates, ran));
        if !promotions.is_sorted() {
            broken.push(format!("generation numbers fell: {promotions:?}"));
        }
        broken
    }
}

/// Windows in which more operations of the first workspace ran than any rate allows that may have been in force.
fn passed_limits(rates: &[(Instant, f64)], ran: &[ExecutedStatement]) -> Vec<String> {
    let of_first = ran.iter().filter(|ran| ran.first && ran.workspace == WORKSPACES[0]);
    let mut times: Vec<Instant> = of_first.map(|ran| ran.at).collect();
    times.sort();
    let (factor, slack) = TOLERATED;
    let passed = (0..times.len()).filter_map(|first| {
        let (from, until) = (times[first], times[first] + WINDOW);
        let count = times[first..].iter().take_while(|at| **at < until).count();
        let rate = highest_rate(rates, from, until);
        let allowed = (rate * WINDOW.as_secs_f64() + rate) * factor + slack;
        let text = || format!("{count} operations in a window at {rate} a second");
        (count as f64 > allowed).then(text)
    });
    passed.take(1).collect()
}

/// The highest rate that an instance may have enforced from `from` to `until`.
fn highest_rate(rates: &[(Instant, f64)], from: Instant, until: Instant) -> f64 {
    let first = rates.iter().rposition(|(at, _)| *at + IN_FORCE <= from);
    let later = rates.iter().skip(first.unwrap_or(0));
    let in_window = later.filter(|(at, _)| *at < until).map(|(_, rate)| *rate);
    let before = first.is_none().then_some(MAX_RATE);
    in_window.chain(before).fold(0.0, f64::max)
}

/// One caller and its open sessions.
struct CallerState {
    number: usize,
    item: String,
    workspace: &'static str,
    value: u64,
    operations: u64,
    instance: usize,
    failures: u32,
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

    /// Runs one operation; returns whether it had success.
    fn operate(
        &mut self,
        history: &History,
        database: &'static str,
        addresses: &[SocketAddr],
        rng: &mut StdRng,
    ) -> bool {
        let address = addresses[self.instance % addresses.len()];
        let (mut session, own) = match self.sessions.remove(database) {
            Some(open) => open,
            None => match open(address, database, self.workspace) {
                Ok(session) => (session, 0),
                Err(_) => return self.fail(),
            },
        };
        self.operations += 1;
        let id = format!("s{}c{}o{}", history.seed, self.number, self.operations);
        history.seen().workspaces.insert(id.clone(), self.workspace);
        let writes = database != BOUNDED_DATABASE && rng.random_bool(0.4);
        let in_transaction = rng.random_bool(0.3);
        let outcome = if writes {
            self.write(history, &mut session, &id, in_transaction).map(|value| value.max(own))
        } else {
            let other = format!("item{}", rng.random_range(0..CALLERS));
            read(history, &mut session, database, &id, (&self.item, &other), own).map(|()| own)
        };
        let Some(own) = outcome else { return self.fail() };
        self.failures = 0;
        self.sessions.insert(database, (session, own));
        true
    }

    fn fail(&mut self) -> bool {
        self.failures += 1;
        if self.failures.is_multiple_of(PATIENCE) {
            self.instance += 1;
        }
        false
    }

    /// Writes the next value of the own item; `None` without success.
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
                // Without a commit nothing is kept, whatever the answer was.
                _ => {
                    history.seen().fates.insert(id.to_owned(), Fate::Refused);
                    return None;
                }
            }
        } else {
            session.query(id, &text)
        };
        let now = Instant::now();
        let fate = fate(reply.as_ref().ok());
        let mut seen = history.seen();
        seen.fates.insert(id.to_owned(), fate);
        if fate != Fate::Acknowledged {
            return None;
        }
        check_proof(&mut seen, id, in_transaction, reply.ok()?.outcome.ok()?);
        seen.acknowledged.entry(self.item.clone()).or_default().push((self.value, now));
        Some(self.value)
    }
}

fn fate(reply: Option<&Reply>) -> Fate {
    match reply {
        Some(reply) if reply.outcome.is_ok() => Fate::Acknowledged,
        Some(reply) if reply.code().is_some_and(|code| PROMISES.contains(&code)) => Fate::Refused,
        _ => Fate::Unknown,
    }
}

fn check_proof(seen: &mut Seen, id: &str, in_transaction: bool, proof: String) {
    let request = if in_transaction { format!("{id}c") } else { id.to_owned() };
    if proof != format!("proof.{request}") {
        seen.broken.push(format!("{request} was answered with {proof}"));
    }
}

/// Reads the own item or another one, and checks how old the value is; `None` without success.
fn read(
    history: &History,
    session: &mut Caller,
    database: &'static str,
    id: &str,
    (own_item, other): (&str, &str),
    own: u64,
) -> Option<()> {
    let item = if id.len().is_multiple_of(2) { own_item } else { other };
    let started = Instant::now();
    let reply = session.query(id, &format!("READ {item}")).ok()?;
    let proof = reply.outcome.ok()?;
    let mut seen = history.seen();
    check_proof(&mut seen, id, false, proof);
    let value: u64 = reply.rows.first()?.parse().ok()?;
    let age = if database == PRIMARY_DATABASE { Duration::ZERO } else { STALENESS };
    let acknowledged = seen.acknowledged.get(item).into_iter().flatten();
    let old = acknowledged.filter(|(_, at)| *at + age < started).map(|(value, _)| *value);
    let own = if database == OWN_DATABASE && item == own_item { own } else { 0 };
    let least = old.max().unwrap_or(0).max(own);
    if value < least {
        seen.broken.push(format!("{id} on {database} read {value} of {item}, not {least}"));
    }
    Some(())
}

/// Guards against a checker that misses broken promises: one broken history for each rule.
#[test_case::test_case(Fate::Acknowledged, 1, "club-a", &[1, 2], 0; "nothing broken")]
#[test_case::test_case(Fate::Acknowledged, 0, "club-a", &[1, 2], 1; "an acknowledged write is lost")]
#[test_case::test_case(Fate::Acknowledged, 2, "club-a", &[1, 2], 1; "a write is kept twice")]
#[test_case::test_case(Fate::Refused, 1, "club-a", &[1, 2], 1; "a refused write is kept")]
#[test_case::test_case(Fate::Unknown, 2, "club-a", &[1, 2], 1; "a write in doubt is kept twice")]
#[test_case::test_case(Fate::Acknowledged, 1, "club-b", &[1, 2], 1; "it ran for another workspace")]
#[test_case::test_case(Fate::Acknowledged, 1, "club-a", &[2, 1], 1; "a generation number fell")]
fn violations_finds(fate: Fate, kept: usize, ran_for: &str, promotions: &[u64], broken: usize) {
    let history = History::new(0);
    history.seen().fates.insert("w".to_owned(), fate);
    history.seen().workspaces.insert("w".to_owned(), WORKSPACES[0]);
    let kept = BTreeMap::from([("w".to_owned(), kept)]);
    let workspace = ran_for.to_owned();
    let ran =
        [ExecutedStatement { id: "w".to_owned(), workspace, first: true, at: Instant::now() }];
    assert_eq!(history.violations(&kept, &ran, promotions).len(), broken);
}

/// Guards against a check of the limits that misses an excess, or counts one against a rate that is not in force yet.
#[test_case::test_case(110, &[], 0; "within the first rate")]
#[test_case::test_case(200, &[(-10, 15.0)], 1; "above a rate in force")]
#[test_case::test_case(200, &[(-1, 15.0)], 0; "above a rate that is new")]
#[test_case::test_case(200, &[(-10, 15.0), (2, 200.0)], 0; "raised within the window")]
fn passed_limits_finds(count: u64, rates: &[(i64, f64)], found: usize) {
    let start = Instant::now() + Duration::from_secs(60);
    let at = |seconds: i64| match u64::try_from(seconds) {
        Ok(seconds) => start + Duration::from_secs(seconds),
        Err(_) => start - Duration::from_secs(seconds.unsigned_abs()),
    };
    let rates: Vec<(Instant, f64)> = rates.iter().map(|(time, rate)| (at(*time), *rate)).collect();
    let ran: Vec<ExecutedStatement> = (0..count)
        .map(|number| ExecutedStatement {
            id: number.to_string(),
            workspace: WORKSPACES[0].to_owned(),
            first: true,
            at: start + Duration::from_millis(20 * number),
        })
        .collect();
    assert_eq!(passed_limits(&rates, &ran).len(), found);
}
