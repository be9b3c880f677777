//! Compares three ways to enforce a contract's rate over all instances: an equal split per instance, a central bucket,
//! and shares with loans.
//!
//! ```text
//! cargo run --release -p hibiscusladder-core --example limits
//! ```
//!
//! Eight instances in three data centres serve three databases with a member in each data centre. Eight workspaces
//! have 60 requests/s and a burst of 60. One sends ten times its rate, the others 80% of theirs. 80% of a
//! workspace's requests come from one data centre, which changes every 5 s. From 40 s to 50 s the third data centre
//! is partitioned from the others. Time is simulated and the seed is fixed.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    bucket::TokenBucket,
    clock::Instant,
    name::MemberId,
    position::Term,
    share::{Division, Divisions, Loan, LoanRequest, Share},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 11;
const RATE: f64 = 60.0;
const BURST: f64 = 60.0;
const WORKSPACES: usize = 8;
const DATABASES: usize = 3;
const DATA_CENTRES: usize = 3;
/// Data centre of each instance.
const INSTANCES: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// Time before the measurement, in which the shares of new homes refill.
const WARM_UP_MS: u64 = 10_000;
const RUN_MS: u64 = 70_000;
/// Time between two shifts of a workspace's demand to another data centre.
const DEMAND_SHIFT_MS: u64 = 5_000;
const ISOLATED_DATA_CENTRE: usize = 2;
const PARTITION_MS: std::ops::Range<u64> = 40_000..50_000;
/// Longest time for which a request waits for a loan.
const ADMIT_WAIT_MS: u64 = 100;
/// Shortest time between two messages of a pair of homes.
const BATCH_MS: u64 = 100;
/// Time for which a poll proves lease and gate.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Request {
    workspace: usize,
    database: usize,
    /// Instance that receives the request from its caller.
    entry: usize,
    /// Data centre of the member that serves the request.
    data_centre: usize,
}

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn reachable(a: usize, b: usize, ms: u64) -> bool {
    a == b
        || !PARTITION_MS.contains(&ms)
        || (a != ISOLATED_DATA_CENTRE && b != ISOLATED_DATA_CENTRE)
}

fn latency_ms(a: usize, b: usize) -> u64 {
    match (a == b, a == ISOLATED_DATA_CENTRE || b == ISOLATED_DATA_CENTRE) {
        (true, _) => 0,
        (false, false) => 1,
        (false, true) => 20,
    }
}

/// Workspaces with an even number use one database, the others three.
fn databases(workspace: usize) -> Vec<usize> {
    if workspace.is_multiple_of(2) {
        vec![workspace / 2 % DATABASES]
    } else {
        (0..DATABASES).collect()
    }
}

/// A way to admit requests.
trait Scheme {
    /// Decides on a request; `None` when the decision follows from a later [`Scheme::step`].
    fn arrive(&mut self, request: Request, ms: u64) -> Option<bool>;
    /// Advances by one millisecond and returns the decisions on requests that waited.
    fn step(&mut self, ms: u64) -> Vec<(Request, bool)>;
    fn messages(&self) -> u64;
    /// Sum over all requests of the latency that the decisions added, in milliseconds.
    fn added_ms(&self) -> u64;
}

struct EqualSplit(Vec<TokenBucket>);

impl EqualSplit {
    fn new() -> Self {
        let count = INSTANCES.len() as f64;
        let bucket = TokenBucket::filled(RATE / count, BURST / count, at(0));
        Self(vec![bucket; WORKSPACES * INSTANCES.len()])
    }
}

impl Scheme for EqualSplit {
    fn arrive(&mut self, request: Request, ms: u64) -> Option<bool> {
        let bucket = &mut self.0[request.workspace * INSTANCES.len() + request.entry];
        Some(bucket.try_take(1.0, at(ms)).is_ok())
    }

    fn step(&mut self, _ms: u64) -> Vec<(Request, bool)> {
        Vec::new()
    }

    fn messages(&self) -> u64 {
        0
    }

    fn added_ms(&self) -> u64 {
        0
    }
}

/// All buckets are at the first instance.
struct Central {
    buckets: Vec<TokenBucket>,
    messages: u64,
    added_ms: u64,
}

impl Central {
    fn new() -> Self {
        let buckets = vec![TokenBucket::filled(RATE, BURST, at(0)); WORKSPACES];
        Self { buckets, messages: 0, added_ms: 0 }
    }
}

impl Scheme for Central {
    fn arrive(&mut self, request: Request, ms: u64) -> Option<bool> {
        let data_centre = INSTANCES[request.entry];
        if request.entry != 0 {
            self.messages += 2;
            self.added_ms += 2 * latency_ms(data_centre, 0);
        }
        let reached = reachable(data_centre, 0, ms);
        Some(reached && self.buckets[request.workspace].try_take(1.0, at(ms)).is_ok())
    }

    fn step(&mut self, _ms: u64) -> Vec<(Request, bool)> {
        Vec::new()
    }

    fn messages(&self) -> u64 {
        self.messages
    }

    fn added_ms(&self) -> u64 {
        self.added_ms
    }
}

enum Message {
    RequestLoan { from: usize, request: LoanRequest, sent: u64 },
    GrantLoan { request: LoanRequest, loan: Loan, sent: u64 },
}

/// Two instances, the sender first.
type Pair = (usize, usize);

/// The shares of all workspaces at the homes of all members.
struct Shares {
    /// By workspace, database and data centre.
    shares: BTreeMap<(usize, usize, usize), Share>,
    keys: Vec<(usize, usize, usize)>,
    across_databases: bool,
    waiting: Vec<(u64, Request)>,
    /// Time of the last message of each pair of homes; the next message is sent [`BATCH_MS`] later at the earliest.
    last_sent: BTreeMap<Pair, u64>,
    /// Requests for loans by pair of homes.
    outbox: BTreeMap<Pair, Vec<(usize, usize, LoanRequest)>>,
    in_flight: Vec<(u64, usize, Message)>,
    messages: u64,
    added_ms: u64,
}

/// The instance that is home of a member; the third data centre has fewer instances than members.
fn home(database: usize, data_centre: usize) -> usize {
    let local: Vec<usize> =
        (0..INSTANCES.len()).filter(|index| INSTANCES[*index] == data_centre).collect();
    local[database % local.len()]
}

fn member(database: usize, data_centre: usize) -> MemberId {
    MemberId::from(format!("d{database}-{data_centre}"))
}

impl Shares {
    fn new(across_databases: bool) -> Self {
        let mut shares = BTreeMap::new();
        for workspace in 0..WORKSPACES {
            let used = databases(workspace);
            let division = used.iter().fold(Division::new(RATE, BURST), |division, database| {
                division.database(format!("d{database}").into(), DATA_CENTRES)
            });
            for database in used {
                for data_centre in 0..DATA_CENTRES {
                    let divisions = Divisions::for_new_contract(division.clone());
                    let (name, database_name) = (format!("w{workspace}"), format!("d{database}"));
                    let own = member(database, data_centre);
                    let mut share =
                        Share::new(name.into(), database_name.into(), own, divisions, at(0));
                    let members: Vec<_> = (0..DATA_CENTRES)
                        .map(|data_centre| member(database, data_centre))
                        .collect();
                    share.set_term(Term(1), &members, at(0));
                    shares.insert((workspace, database, data_centre), share);
                }
            }
        }
        let keys = shares.keys().copied().collect();
        Self {
            shares,
            keys,
            across_databases,
            waiting: Vec::new(),
            last_sent: BTreeMap::new(),
            outbox: BTreeMap::new(),
            in_flight: Vec::new(),
            messages: 0,
            added_ms: 0,
        }
    }

    fn share(&mut self, request: Request) -> &mut Share {
        let key = (request.workspace, request.database, request.data_centre);
        self.shares.get_mut(&key).expect("every member has a share")
    }

    fn poll(&mut self, ms: u64) {
        for ((_, _, data_centre), share) in &mut self.shares {
            let until = at(ms).plus(WINDOW);
            share.renew_lease(until);
            // In the partitioned data centre, no majority of the members answers.
            if reachable(*data_centre, 0, ms) {
                share.set_gate(Term(1), until);
            }
        }
    }

    fn request_loans(&mut self, ms: u64) {
        for index in 0..self.keys.len() {
            let (workspace, database, data_centre) = self.keys[index];
            let Some(share) = self.shares.get_mut(&(workspace, database, data_centre)) else {
                continue;
            };
            let Some(request) = share.loan_request(at(ms)) else { continue };
            let from = home(database, data_centre);
            for (to_index, other) in self.keys.iter().enumerate() {
                let same_workspace = other.0 == workspace && to_index != index;
                if same_workspace && (self.across_databases || other.1 == database) {
                    let pair = (from, home(other.1, other.2));
                    let batch = self.outbox.entry(pair).or_default();
                    batch.push((index, to_index, request.clone()));
                }
            }
        }
    }

    /// Sends one message for each pair of homes with all requests between them.
    fn flush(&mut self, ms: u64) {
        let last_sent = &mut self.last_sent;
        let due =
            |pair: &(usize, usize)| last_sent.get(pair).is_none_or(|last| ms - last >= BATCH_MS);
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.outbox).into_iter().partition(|(pair, _)| due(pair));
        self.outbox = later.into_iter().collect();
        for ((from, to), batch) in due {
            last_sent.insert((from, to), ms);
            let (a, b) = (INSTANCES[from], INSTANCES[to]);
            if from != to {
                self.messages += 2;
            }
            if !reachable(a, b, ms) {
                continue;
            }
            for (from, to, request) in batch {
                let message = Message::RequestLoan { from, request, sent: ms };
                self.in_flight.push((ms + latency_ms(a, b), to, message));
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(due, ..)| *due <= ms);
        self.in_flight = later;
        for (_, to, message) in due {
            let key = self.keys[to];
            let Some(share) = self.shares.get_mut(&key) else { continue };
            match message {
                Message::RequestLoan { from, request, sent } => {
                    let Some(loan) = share.lend(&request, at(ms)) else { continue };
                    let back = ms + latency_ms(key.2, self.keys[from].2);
                    self.in_flight.push((back, from, Message::GrantLoan { request, loan, sent }));
                }
                Message::GrantLoan { request, loan, sent } => {
                    share.accept(&request, &loan, at(sent), at(ms));
                }
            }
        }
    }
}

impl Scheme for Shares {
    fn arrive(&mut self, request: Request, ms: u64) -> Option<bool> {
        if self.share(request).try_admit(1.0, at(ms)).is_ok() {
            return Some(true);
        }
        self.waiting.push((ms, request));
        None
    }

    fn step(&mut self, ms: u64) -> Vec<(Request, bool)> {
        if ms % 250 == 1 {
            self.poll(ms);
        }
        self.request_loans(ms);
        self.flush(ms);
        self.deliver(ms);
        let mut decisions = Vec::new();
        for (arrived, request) in std::mem::take(&mut self.waiting) {
            let admitted = self.share(request).retry_admit(1.0, at(ms)).is_ok();
            if admitted || ms - arrived >= ADMIT_WAIT_MS {
                self.added_ms += if admitted { ms - arrived } else { 0 };
                decisions.push((request, admitted));
            } else {
                self.waiting.push((arrived, request));
            }
        }
        decisions
    }

    fn messages(&self) -> u64 {
        self.messages
    }

    fn added_ms(&self) -> u64 {
        self.added_ms
    }
}

#[derive(Debug, Clone, Default)]
struct Count {
    sent: u32,
    entitled: u32,
    admitted: u32,
    /// Requests that were rejected although the contract had a token left.
    wrongly_rejected: u32,
}

/// Figures of one scheme.
struct Run {
    counts: Vec<Count>,
    /// Tokens of the contract that remain after the requests that the scheme admitted.
    remaining: Vec<TokenBucket>,
    /// One bucket with the full contract per workspace, which decides which requests are entitled to admission.
    ideal: Vec<TokenBucket>,
    past_contract: u32,
}

impl Run {
    fn decide(&mut self, request: Request, admitted: bool, ms: u64) {
        let count = &mut self.counts[request.workspace];
        let remaining = &mut self.remaining[request.workspace];
        if admitted {
            count.admitted += 1;
            self.past_contract += u32::from(remaining.try_take(1.0, at(ms)).is_err());
        } else {
            count.wrongly_rejected += u32::from(remaining.tokens(at(ms)) >= 1.0);
        }
    }
}

fn arrivals(rng: &mut StdRng, ms: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for workspace in 0..WORKSPACES {
        let rate = if workspace == 0 { 10.0 * RATE } else { 0.8 * RATE };
        if !rng.random_bool(rate / 1000.0) {
            continue;
        }
        let phase = usize::try_from(ms / DEMAND_SHIFT_MS).unwrap_or(0);
        let busy = (workspace + phase) % DATA_CENTRES;
        let data_centre =
            if rng.random_bool(0.8) { busy } else { rng.random_range(0..DATA_CENTRES) };
        let local: Vec<usize> =
            (0..INSTANCES.len()).filter(|index| INSTANCES[*index] == data_centre).collect();
        let entry = local[rng.random_range(0..local.len())];
        let used = databases(workspace);
        let first = (workspace + phase / DATA_CENTRES) % used.len();
        let database =
            if rng.random_bool(0.6) { used[first] } else { used[rng.random_range(0..used.len())] };
        // One request in five is a write, which the primary in the first data centre serves.
        let write = rng.random_bool(0.2) && reachable(data_centre, 0, ms);
        let data_centre = if write { 0 } else { data_centre };
        requests.push(Request { workspace, database, entry, data_centre });
    }
    requests
}

fn simulate<S>(mut scheme: S, name: &str)
where
    S: Scheme,
{
    let mut rng = StdRng::seed_from_u64(SEED);
    let full = vec![TokenBucket::filled(RATE, BURST, at(0)); WORKSPACES];
    let counts = vec![Count::default(); WORKSPACES];
    let mut run = Run { counts, remaining: full.clone(), ideal: full, past_contract: 0 };
    for ms in 1..=RUN_MS {
        for (request, admitted) in scheme.step(ms) {
            run.decide(request, admitted, ms);
        }
        if ms <= WARM_UP_MS {
            continue;
        }
        for request in arrivals(&mut rng, ms) {
            let entitled = run.ideal[request.workspace].try_take(1.0, at(ms)).is_ok();
            let count = &mut run.counts[request.workspace];
            count.sent += 1;
            count.entitled += u32::from(entitled);
            if let Some(admitted) = scheme.arrive(request, ms) {
                run.decide(request, admitted, ms);
            }
        }
    }
    report(name, &run, &scheme);
}

fn report<S>(name: &str, run: &Run, scheme: &S)
where
    S: Scheme,
{
    let percent = |part: u32, whole: u32| f64::from(part) / f64::from(whole) * 100.0;
    let flood = &run.counts[0];
    let sum = |of: fn(&Count) -> u32| run.counts[1..].iter().map(of).sum::<u32>();
    let worst = run.counts[1..].iter().map(|count| percent(count.wrongly_rejected, count.sent));
    let admitted: u32 = run.counts.iter().map(|count| count.admitted).sum();
    let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1000.0;
    println!(
        "{name:<34} within rate: {:>5.1}% of entitled, wrongly rejected {:>5.2}% (worst {:>5.2}%); \
         flooding: {:>5.1}% of entitled; past contract {}; {:>6.1} messages/s; +{:.2} ms",
        percent(sum(|count| count.admitted), sum(|count| count.entitled)),
        percent(sum(|count| count.wrongly_rejected), sum(|count| count.sent)),
        worst.fold(0.0, f64::max),
        percent(flood.admitted, flood.entitled),
        run.past_contract,
        scheme.messages() as f64 / seconds,
        scheme.added_ms() as f64 / f64::from(admitted),
    );
}

fn main() {
    println!("seed {SEED}, {} s simulated", (RUN_MS - WARM_UP_MS) / 1000);
    simulate(EqualSplit::new(), "equal split per instance");
    simulate(Central::new(), "central bucket");
    simulate(Shares::new(false), "shares, loans within the database");
    simulate(Shares::new(true), "shares, loans between all homes");
}
