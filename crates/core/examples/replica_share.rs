//! Simulates sessions that read and write through 8 instances, and prints the fraction of reads that replicas serve
//! under four policies and four replication lags.
//!
//! Run with `cargo run --release -p hibiscusladder-core --example replica_share`.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::{DataCentre, MemberId},
    position::{Lsn, Position, Term},
    quorum::{POLL_INTERVAL, PositionProof},
    read_route::{ReadDecision, ReadRequirement, ReadRouter, Replica},
    request::StatementClass,
    session::Session,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 1;
const RUN: Duration = Duration::from_secs(120);
const INSTANCES: usize = 8;
const WORKSPACES: usize = 8;
const SESSIONS: usize = 400;
/// Mean time between two statements of a session.
const MEAN_THINK_TIME: Duration = Duration::from_millis(500);
/// Fraction of statements that write.
const WRITE_FRACTION: f64 = 0.1;
/// Fraction of statements before which the session moves to another instance; half of the moves lose its position
/// token.
const MOVE_FRACTION: f64 = 0.05;
/// Time between two messages in which instances exchange the positions of the workspaces.
const POSITION_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two queries for the position of a replica for which a read waits.
const WAIT_STEP: Duration = Duration::from_millis(10);
const LAGS_MS: [u64; 4] = [0, 50, 500, 5000];
const DATA_CENTRES: [&str; 3] = ["bern-nord", "solothurn", "lausanne-ost"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Every read goes to the primary.
    Primary,
    /// Instances exchange the newest position of every workspace; a read requires the position that its instance has.
    Exchanged,
    /// Every read queries the primary's position first, in batches.
    ReadIndex,
    /// Reads require the session's own position; a session without one queries the primary's position once.
    Token,
}

const POLICIES: [(Policy, &str); 4] = [
    (Policy::Primary, "primary for all"),
    (Policy::Exchanged, "positions exchanged by instances"),
    (Policy::ReadIndex, "batched read index"),
    (Policy::Token, "session token"),
];

/// Counts of one run.
#[derive(Debug, Default)]
struct Counts {
    reads: u64,
    on_replicas: u64,
    /// Reads by replicas that did not include a write of their own session.
    missed_own_writes: u64,
    /// Reads that queried the primary's position.
    position_queries: u64,
    waited: Duration,
}

struct Client {
    instance: usize,
    workspace: usize,
    session: Session,
    /// Log offset of the last own write, whether or not the client still has its token.
    written: u64,
    waiting: Option<Waiting>,
}

/// A read that waits for a replica.
struct Waiting {
    arrived: Duration,
    requirement: ReadRequirement,
    /// Replica whose position was queried.
    queried: Option<MemberId>,
}

struct Run {
    policy: Policy,
    lag: Duration,
    rng: StdRng,
    /// Commit time and workspace of every write.
    log: Vec<(Duration, usize)>,
    routers: Vec<ReadRouter>,
    /// Time of the last poll by instance.
    last_poll: Vec<Duration>,
    clients: Vec<Client>,
    counts: Counts,
}

fn main() {
    println!("{SESSIONS} sessions, {INSTANCES} instances, {} s, seed {SEED}\n", RUN.as_secs());
    println!(
        "| policy | lag | reads on replicas | own write missing | queries per read | mean wait |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (policy, name) in POLICIES {
        for lag in LAGS_MS {
            let counts = Run::new(policy, Duration::from_millis(lag)).finish();
            let reads = counts.reads as f64;
            let share = 100.0 * counts.on_replicas as f64 / reads;
            let position_queries = counts.position_queries as f64 / reads;
            let wait = counts.waited.as_secs_f64() * 1000.0 / reads;
            let missed_own_writes = counts.missed_own_writes;
            println!(
                "| {name} | {lag} ms | {share:.1}% | {missed_own_writes} | {position_queries:.2} | {wait:.1} ms |"
            );
        }
    }
}

fn member(index: usize) -> MemberId {
    MemberId::from(["a", "b", "c"][index])
}

fn position(lsn: u64) -> Position {
    Position::new(Term(1), Lsn(lsn))
}

fn router(instance: usize) -> ReadRouter {
    let region = [DATA_CENTRES[0], DATA_CENTRES[1]].map(DataCentre::from);
    let mut router = ReadRouter::new(DATA_CENTRES[instance % 3].into());
    if instance % 3 < 2 {
        router = router.region(region);
    }
    for (index, data_centre) in DATA_CENTRES.iter().enumerate() {
        router.add(Replica::new(member(index), (*data_centre).into()));
    }
    router.set_primary(Some((member(0), Term(1))));
    router
}

impl Run {
    fn new(policy: Policy, lag: Duration) -> Self {
        let client = |index: usize| Client {
            instance: index % INSTANCES,
            workspace: index % WORKSPACES,
            session: Session::new(),
            written: 0,
            waiting: None,
        };
        Self {
            policy,
            lag,
            rng: StdRng::seed_from_u64(SEED),
            log: Vec::new(),
            routers: (0..INSTANCES).map(router).collect(),
            last_poll: vec![Duration::ZERO; INSTANCES],
            clients: (0..SESSIONS).map(client).collect(),
            counts: Counts::default(),
        }
    }

    fn finish(mut self) -> Counts {
        let mut queue: BinaryHeap<Reverse<(Duration, usize)>> =
            (0..SESSIONS).map(|session| Reverse((self.think(), session))).collect();
        while let Some(Reverse((now, session))) = queue.pop() {
            if now > RUN {
                break;
            }
            let waits = match self.clients[session].waiting.take() {
                Some(read) => self.read(session, read, now),
                None => self.step(session, now),
            };
            let pause = if waits { WAIT_STEP } else { self.think() };
            queue.push(Reverse((now + pause, session)));
        }
        self.counts
    }

    fn think(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        MEAN_THINK_TIME.mul_f64(-uniform.ln())
    }

    /// Runs the next statement of a session; returns whether it waits.
    fn step(&mut self, session: usize, now: Duration) -> bool {
        let moves = self.rng.random_bool(MOVE_FRACTION);
        let (instance, keeps_token) =
            (self.rng.random_range(0..INSTANCES), self.rng.random_bool(0.5));
        let writes = self.rng.random_bool(WRITE_FRACTION);
        let client = &mut self.clients[session];
        if moves {
            client.instance = instance;
            if !keeps_token {
                client.session = Session::new();
            }
        }
        if writes {
            self.log.push((now, client.workspace));
            client.written = self.log.len() as u64;
            client.session.committed(position(client.written));
            return false;
        }
        self.counts.reads += 1;
        let requirement = self.read_requirement(session, now);
        self.read(session, Waiting { arrived: now, requirement, queried: None }, now)
    }

    /// Routes a read; returns whether it waits.
    fn read(&mut self, session: usize, read: Waiting, now: Duration) -> bool {
        let instance = self.clients[session].instance;
        self.poll(instance, now);
        let present = Instant::new(now);
        if let Some(replica) = &read.queried {
            let reached = position(self.applied(now));
            self.routers[instance].observe(replica, reached, present);
        }
        let arrived = Instant::new(read.arrived);
        match self.routers[instance].route(read.requirement, arrived, present) {
            ReadDecision::Wait { member, .. } => {
                let queried = Some(member);
                self.clients[session].waiting = Some(Waiting { queried, ..read });
                return true;
            }
            ReadDecision::Replica { .. } => {
                self.counts.on_replicas += 1;
                let applied = self.applied(now);
                self.counts.missed_own_writes += u64::from(applied < self.clients[session].written);
            }
            ReadDecision::Primary { .. } | ReadDecision::Refuse(_) => {}
        }
        self.counts.waited += now - read.arrived;
        false
    }

    fn read_requirement(&mut self, session: usize, now: Duration) -> ReadRequirement {
        let client = &mut self.clients[session];
        match self.policy {
            Policy::Primary => ReadRequirement::Primary,
            Policy::Exchanged => {
                let received_until = last_exchange(client.instance, now);
                let received = |(at, workspace): &(Duration, usize)| {
                    *workspace == client.workspace && *at <= received_until
                };
                let lsn = self.log.iter().rposition(received).map_or(0, |index| index as u64 + 1);
                ReadRequirement::Position(position(lsn))
            }
            Policy::ReadIndex => {
                self.counts.position_queries += 1;
                ReadRequirement::Position(position(self.log.len() as u64))
            }
            Policy::Token => match client.session.read_requirement(StatementClass::Read) {
                ReadRequirement::ReadIndex => {
                    self.counts.position_queries += 1;
                    client.session.record_proved_position(position(self.log.len() as u64));
                    client.session.read_requirement(StatementClass::Read)
                }
                requirement => requirement,
            },
        }
    }

    /// Applies the answers to the last poll of the instance.
    fn poll(&mut self, instance: usize, now: Duration) {
        let at = last_tick(instance, now, POLL_INTERVAL);
        if at <= self.last_poll[instance] {
            return;
        }
        self.last_poll[instance] = at;
        let committed = self.log.partition_point(|(commit, _)| *commit <= at);
        let applied = position(self.applied(at));
        let router = &mut self.routers[instance];
        let sent = Instant::new(at);
        router.record_proof(PositionProof { sent, position: position(committed as u64) });
        for replica in 1..3 {
            router.observe(&member(replica), applied, sent);
        }
    }

    /// Log offset that the replicas have reached.
    fn applied(&self, now: Duration) -> u64 {
        self.log.partition_point(|(commit, _)| *commit + self.lag <= now) as u64
    }
}

/// Last multiple of `interval` before `now`, with a phase shift that differs between instances.
fn last_tick(instance: usize, now: Duration, interval: Duration) -> Duration {
    let phase = interval * u32::try_from(instance).unwrap_or(0) / 8;
    let ticks = now.saturating_sub(phase).as_micros() / interval.as_micros();
    phase + interval * u32::try_from(ticks).unwrap_or(0)
}

fn last_exchange(instance: usize, now: Duration) -> Duration {
    last_tick(instance, now, POSITION_EXCHANGE_INTERVAL)
}
