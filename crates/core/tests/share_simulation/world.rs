//! Homes of five members of two databases, with their clocks, locks, terms, messages and faults.

use std::time::Duration;

use hibiscusladder_core::{
    clock::{Instant, with_drift},
    name::MemberId,
    position::Term,
    share::{Division, Divisions, HandedOverShare, Loan, LoanRequest, Share},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::bound::Bound;

const STEP_MS: u64 = 10;
/// Time for which a poll proves lease and gate.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest time for which a home serves without the newest change: 5 s with a proof and 2 s by evidence of an outage.
const CONFIG_LAG_MS: u64 = 7_000;
/// Name of each member and index of its database.
const MEMBERS: [(&str, usize); 5] = [("a-1", 0), ("a-2", 0), ("a-3", 0), ("b-1", 1), ("b-2", 1)];
const DATABASES: [&str; 2] = ["a", "b"];

/// A rule of the protocol that is disabled, so that the check has to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    NoPromotionWait,
    NoLeaseWait,
    LateAccept,
    DoubleAccept,
    NoDivisionGrace,
    StaleConfig,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rules {
    pub(crate) fault: Option<Fault>,
}

#[derive(Debug, Clone)]
pub(crate) enum Op {
    DemandAll {
        level: u32,
    },
    Demand {
        member: usize,
        level: u32,
    },
    Pause {
        member: usize,
        ms: u64,
    },
    /// The home cannot reach its member, or all members, but continues to serve and reaches the other homes.
    Isolate {
        member: usize,
        ms: u64,
        all: bool,
    },
    TakeOver {
        member: usize,
    },
    HandOver {
        member: usize,
    },
    Promote {
        database: usize,
        members: u8,
    },
    /// Changes rate and burst of the contract.
    Limits {
        rate: u32,
        burst: u32,
    },
    /// Divides the contract over another set of databases.
    DivideAmong {
        database_set: usize,
    },
}

#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) admitted: f64,
    pub(crate) loans: u32,
    pub(crate) promotions: u32,
    pub(crate) take_overs: u32,
    pub(crate) hand_overs: u32,
    pub(crate) divisions: u32,
}

impl Totals {
    pub(crate) fn add(&mut self, other: &Self) {
        self.admitted += other.admitted;
        self.loans += other.loans;
        self.promotions += other.promotions;
        self.take_overs += other.take_overs;
        self.hand_overs += other.hand_overs;
        self.divisions += other.divisions;
    }
}

#[derive(Debug, Clone)]
enum Message {
    /// A poll of the member by its home, with the home's local time of sending.
    Poll {
        sent: Instant,
    },
    PollAnswer {
        sent: Instant,
        /// `None` when only the other members answered.
        holds_lock: Option<bool>,
        term: Option<(Term, Vec<MemberId>)>,
    },
    RequestLoan {
        request: LoanRequest,
        from: usize,
        sent: Instant,
    },
    GrantLoan {
        request: LoanRequest,
        loan: Loan,
        sent: Instant,
    },
    HandOver(HandedOverShare),
    /// A version of the configuration arrives at the process.
    Learn {
        version: usize,
    },
    /// Begins the share of a new home, after its wait for the old lease.
    Start,
}

/// One process, which is home of one member; another home is a new process that takes the lock.
struct Process {
    member: usize,
    /// Speed of the local clock relative to true time, within the tolerated drift.
    speed: f64,
    /// Local time, in seconds, at the start of the simulation.
    origin: f64,
    paused_until: u64,
    isolated_until: u64,
    isolated_from_all: bool,
    next_poll: u64,
    /// Index of the newest configuration version that the process received.
    learned: usize,
    divisions: Divisions,
    share: Option<Share>,
}

struct Group {
    term: u64,
    members: Vec<MemberId>,
    /// End, in milliseconds, and members of a promotion that has raised the term.
    raised: Option<(u64, Vec<MemberId>)>,
}

/// A version of the configuration, which contains the contract.
struct Version {
    /// Time in milliseconds at which the store accepted the version.
    accepted: u64,
    /// Time in milliseconds from which every process that serves has received the version.
    received_everywhere: u64,
    division: Division,
    rate: f64,
    burst: f64,
}

pub(crate) struct World {
    pub(crate) totals: Totals,
    rng: StdRng,
    /// Probability that a message is lost.
    loss: f64,
    /// Probability that a message is delayed by up to 900 ms instead of 30 ms.
    delayed: f64,
    rules: Rules,
    /// True time in milliseconds since the start.
    now: u64,
    processes: Vec<Process>,
    /// Process that holds the lock of each member.
    locks: [usize; 5],
    groups: [Group; 2],
    /// Level of the demand at each member, from 0 (almost idle) to 2 (flooded).
    demand: [u32; 5],
    versions: Vec<Version>,
    database_set: usize,
    next_division_change: u64,
    /// Rate and burst of the contract.
    limits: (f64, f64),
    /// Time of arrival in milliseconds, receiving process and content of the messages in transit.
    messages: Vec<(u64, usize, Message)>,
    bound: Bound,
}

impl World {
    pub(crate) fn new(seed: u64, rules: Rules) -> Self {
        let names = |database: usize| {
            let own = MEMBERS.iter().filter(move |(_, of)| *of == database);
            own.map(|(name, _)| MemberId::new(name)).collect()
        };
        let group = |database| Group { term: 1, members: names(database), raised: None };
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = Self {
            totals: Totals::default(),
            loss: [0.0, 0.02, 0.2][rng.random_range(0..3)],
            delayed: [0.05, 0.5][rng.random_range(0..2)],
            rng,
            rules,
            now: 0,
            processes: Vec::new(),
            locks: [0; 5],
            groups: [group(0), group(1)],
            demand: [2, 0, 1, 2, 0],
            versions: Vec::new(),
            database_set: 0,
            next_division_change: 0,
            limits: (200.0, 50.0),
            messages: Vec::new(),
            bound: Bound::default(),
        };
        world.accept_version();
        for member in 0..5 {
            let process = world.start(member);
            world.locks[member] = process;
            world.begin_share(process);
        }
        world
    }

    pub(crate) fn run(&mut self, ops: &[(u64, Op)]) -> Result<(), String> {
        for (pause, op) in ops {
            self.advance(*pause)?;
            self.apply(op);
        }
        self.advance(12_000)
    }

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.step()?;
        }
        self.totals.admitted = self.bound.admitted();
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        let in_use = self.versions.iter().enumerate().filter(|(index, version)| {
            let replaced =
                self.versions.get(index + 1).map_or(u64::MAX, |next| next.received_everywhere);
            version.accepted <= self.now && replaced.saturating_add(STEP_MS) >= self.now
        });
        let (rate, burst) = in_use.fold((0.0_f64, 0.0_f64), |(rate, burst), (_, version)| {
            (rate.max(version.rate), burst.max(version.burst))
        });
        self.bound.advance(STEP_MS as f64 / 1000.0, rate, burst);
        self.finish_promotions();
        self.deliver();
        for process in 0..self.processes.len() {
            if self.processes[process].paused_until <= self.now {
                self.poll(process);
                self.request_loans(process);
                self.admit(process)?;
            }
        }
        Ok(())
    }

    fn local(&self, process: usize) -> Instant {
        let process = &self.processes[process];
        let seconds = process.origin + self.now as f64 / 1000.0 * process.speed;
        Instant::new(Duration::from_secs_f64(seconds))
    }

    /// Upper bound of the true time, in milliseconds, that passes during a span of local time.
    fn true_ms(&self, process: usize, span: Duration) -> u64 {
        let span = span.div_f64(self.processes[process].speed);
        u64::try_from(span.as_millis()).expect("a short span") + 1
    }

    fn send(&mut self, to: usize, message: Message) {
        if !self.rng.random_bool(self.loss) {
            let delay = if self.rng.random_bool(self.delayed) { 900 } else { 30 };
            let due = self.now + self.rng.random_range(0..=delay);
            self.messages.push((due, to, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.messages);
        let (due, waiting) = waiting.into_iter().partition::<Vec<_>, _>(|(due, to, _)| {
            *due <= now && self.processes[*to].paused_until <= now
        });
        self.messages = waiting;
        for (_, to, message) in due {
            self.receive(to, message);
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.local(to);
        let serves = self.serves(to);
        match message {
            Message::Poll { sent } => self.answer_poll(to, sent),
            Message::PollAnswer { sent, holds_lock, term } => {
                let Some(share) = &mut self.processes[to].share else { return };
                match holds_lock {
                    Some(true) => share.renew_lease(sent.plus(WINDOW)),
                    Some(false) => {
                        self.processes[to].share = None;
                        return;
                    }
                    None => {}
                }
                if let Some((term, members)) = term {
                    share.set_term(term, &members, now);
                    share.set_gate(term, sent.plus(WINDOW));
                }
            }
            Message::RequestLoan { request, from, sent } => {
                let Some(share) = &mut self.processes[to].share else { return };
                let Some(loan) = share.lend(&request, now).filter(|_| serves) else { return };
                self.send(from, Message::GrantLoan { request, loan, sent });
            }
            Message::GrantLoan { request, loan, sent } => {
                let late = self.rules.fault == Some(Fault::LateAccept);
                let twice = self.rules.fault == Some(Fault::DoubleAccept);
                let Some(share) = &mut self.processes[to].share else { return };
                let sent = if late { now } else { sent };
                if serves && share.accept(&request, &loan, sent, now) {
                    self.totals.loans += 1;
                    if twice {
                        share.accept(&request, &loan, sent, now);
                    }
                }
            }
            Message::HandOver(handed) => {
                if let Some(share) = &mut self.processes[to].share {
                    share.take_over(&handed, now);
                }
            }
            Message::Learn { version } => self.learn(to, version),
            Message::Start => self.begin_share(to),
        }
    }

    /// Answers a poll with the state of the member and its group at the time of arrival.
    fn answer_poll(&mut self, to: usize, sent: Instant) {
        let home = &self.processes[to];
        let (member, isolated) = (home.member, home.isolated_until > self.now);
        if isolated && home.isolated_from_all {
            return;
        }
        let group = &self.groups[MEMBERS[member].1];
        let term = group.raised.is_none().then(|| (Term(group.term), group.members.clone()));
        let holds_lock = (!isolated).then_some(self.locks[member] == to);
        self.send(to, Message::PollAnswer { sent, holds_lock, term });
    }

    fn poll(&mut self, process: usize) {
        if self.processes[process].share.is_some() && self.processes[process].next_poll <= self.now
        {
            self.processes[process].next_poll = self.now + 250;
            let sent = self.local(process);
            self.send(process, Message::Poll { sent });
        }
    }

    fn request_loans(&mut self, process: usize) {
        let now = self.local(process);
        if !self.serves(process) {
            return;
        }
        let Some(share) = &mut self.processes[process].share else { return };
        let Some(request) = share.loan_request(now) else { return };
        for other in 0..self.processes.len() {
            if other != process && self.processes[other].share.is_some() {
                let request = request.clone();
                self.send(other, Message::RequestLoan { request, from: process, sent: now });
            }
        }
    }

    fn admit(&mut self, process: usize) -> Result<(), String> {
        let now = self.local(process);
        let attempts = match self.demand[self.processes[process].member] {
            0 => u32::from(self.rng.random_bool(0.02)),
            1 => u32::from(self.rng.random_bool(0.3)),
            _ => 5,
        };
        if !self.serves(process) {
            return Ok(());
        }
        let Some(share) = &mut self.processes[process].share else { return Ok(()) };
        for _ in 0..attempts {
            if share.try_admit(1.0, now).is_ok() {
                self.bound.admit().map_err(|error| format!("at {} ms: {error}", self.now))?;
            }
        }
        Ok(())
    }

    /// Whether the process serves requests: not without a proof or evidence that its configuration is current.
    fn serves(&self, process: usize) -> bool {
        let learned = self.processes[process].learned;
        let next = self.versions.get(learned + 1);
        let unconfirmed = next.is_some_and(|next| next.accepted + CONFIG_LAG_MS < self.now);
        !unconfirmed || self.rules.fault == Some(Fault::StaleConfig)
    }

    fn accept_version(&mut self) {
        let (rate, burst) = self.limits;
        let division = match self.database_set {
            0 => Division::new(rate, burst).database("a".into(), 3).database("b".into(), 2),
            1 => Division::new(rate, burst).database("a".into(), 3),
            _ => Division::new(rate, burst).database("b".into(), 2),
        };
        let version = self.versions.len();
        for process in 0..self.processes.len() {
            let due = self.now + self.config_delay();
            // Changes arrive in order.
            let earlier = self.messages.iter().filter(|(_, to, message)| {
                *to == process && matches!(message, Message::Learn { .. })
            });
            let due = earlier.map(|(due, ..)| *due).max().unwrap_or(0).max(due);
            self.messages.push((due, process, Message::Learn { version }));
        }
        let received_everywhere = self.now + CONFIG_LAG_MS;
        self.versions.push(Version {
            accepted: self.now,
            received_everywhere,
            division,
            rate,
            burst,
        });
        self.totals.divisions += 1;
    }

    /// Time in milliseconds until a process receives a change; some processes are disconnected from the store.
    fn config_delay(&mut self) -> u64 {
        let disconnected = self.rng.random_bool(0.1);
        self.rng.random_range(0..if disconnected { 3 * CONFIG_LAG_MS } else { CONFIG_LAG_MS })
    }

    fn learn(&mut self, to: usize, version: usize) {
        let now = self.local(to);
        let division = self.versions[version].division.clone();
        let grace = self.rules.fault != Some(Fault::NoDivisionGrace);
        let process = &mut self.processes[to];
        if version <= process.learned {
            return;
        }
        process.learned = version;
        if grace {
            process.divisions.record(division.clone(), now);
        } else {
            process.divisions = Divisions::for_new_contract(division.clone());
        }
        let Some(share) = &mut process.share else { return };
        if grace {
            share.set_division(division, now);
            return;
        }
        let member = MEMBERS[process.member];
        *share = Share::new(
            "w".into(),
            DATABASES[member.1].into(),
            member.0.into(),
            process.divisions.clone(),
            now,
        );
    }

    /// Starts a process, which has received some of the changes that are in transit.
    fn start(&mut self, member: usize) -> usize {
        let id = self.processes.len();
        let speed = self.rng.random_range(1.0 / 1.01..=1.0);
        let origin = self.rng.random_range(100.0..200.0);
        let newest = self.versions.len() - 1;
        let at =
            |ms: u64| Instant::new(Duration::from_secs_f64(origin + ms as f64 / 1000.0 * speed));
        let existing_contract = self.now > 0 && self.rng.random_bool(0.2);
        let mut divisions = if existing_contract {
            // The process received its first configuration just now.
            let division = self.versions[newest].division.clone();
            Divisions::for_existing_contract(division, at(self.now))
        } else {
            Divisions::for_new_contract(self.versions[0].division.clone())
        };
        let mut learned = if existing_contract { newest } else { 0 };
        for version in learned + 1..=newest {
            let due = self.versions[version].accepted + self.config_delay();
            if due <= self.now && learned + 1 == version {
                divisions.record(self.versions[version].division.clone(), at(due));
                learned = version;
            } else {
                self.messages.push((due.max(self.now), id, Message::Learn { version }));
            }
        }
        let process = Process {
            member,
            speed,
            origin,
            paused_until: 0,
            isolated_until: 0,
            isolated_from_all: false,
            next_poll: 0,
            learned,
            divisions,
            share: None,
        };
        self.processes.push(process);
        id
    }

    fn begin_share(&mut self, id: usize) {
        let now = self.local(id);
        let process = &mut self.processes[id];
        let (member, database) = MEMBERS[process.member];
        if self.locks[process.member] != id {
            return;
        }
        let divisions = process.divisions.clone();
        let database = DATABASES[database].into();
        process.share = Some(Share::new("w".into(), database, member.into(), divisions, now));
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::DemandAll { level } => self.demand = [*level; 5],
            Op::Demand { member, level } => self.demand[*member] = *level,
            Op::Pause { member, ms } => {
                let home = self.locks[*member];
                self.processes[home].paused_until = self.now + ms;
            }
            Op::Isolate { member, ms, all } => {
                let home = &mut self.processes[self.locks[*member]];
                home.isolated_until = self.now + ms;
                home.isolated_from_all = *all;
            }
            Op::TakeOver { member } => self.take_over(*member),
            Op::HandOver { member } => self.hand_over(*member),
            Op::Promote { database, members } => self.promote(*database, *members),
            Op::Limits { rate, burst } => {
                self.limits = (f64::from(20 + 90 * rate), f64::from(10 + 30 * burst));
                self.accept_version();
            }
            // The operator's tool writes a division only when the previous one is in force everywhere.
            Op::DivideAmong { database_set } if self.now >= self.next_division_change => {
                self.database_set = *database_set;
                self.next_division_change = self.now + CONFIG_LAG_MS + 8_000;
                self.accept_version();
            }
            Op::DivideAmong { .. } => {}
        }
    }

    /// Another process takes the lock of a member whose home may be paused or still running.
    fn take_over(&mut self, member: usize) {
        self.totals.take_overs += 1;
        let successor = self.start(member);
        self.locks[member] = successor;
        let wait = match self.rules.fault {
            Some(Fault::NoLeaseWait) => 0,
            _ => self.true_ms(successor, with_drift(WINDOW)),
        };
        self.messages.push((self.now + wait, successor, Message::Start));
    }

    /// The home leaves: it sends its tokens to its successor and releases the lock.
    fn hand_over(&mut self, member: usize) {
        let home = self.locks[member];
        let now = self.local(home);
        let paused = self.processes[home].paused_until > self.now;
        let share = if paused { None } else { self.processes[home].share.take() };
        let Some(handed) = share.and_then(|share| share.hand_over(now)) else {
            return self.take_over(member);
        };
        self.totals.hand_overs += 1;
        let successor = self.start(member);
        self.locks[member] = successor;
        self.begin_share(successor);
        self.send(successor, Message::HandOver(handed));
    }

    fn promote(&mut self, database: usize, mask: u8) {
        let all = MEMBERS.iter().filter(|(_, of)| *of == database).map(|(name, _)| *name);
        let chosen = all.enumerate().filter(|(index, _)| mask >> index & 1 == 1);
        let members: Vec<MemberId> = chosen.map(|(_, name)| MemberId::new(name)).collect();
        if self.groups[database].raised.is_some() || members.is_empty() {
            return;
        }
        let wait = match self.rules.fault {
            Some(Fault::NoPromotionWait) => 0,
            _ => 1_010,
        };
        self.groups[database].raised = Some((self.now + wait, members));
        self.totals.promotions += 1;
    }

    fn finish_promotions(&mut self) {
        for group in &mut self.groups {
            if let Some((_, members)) = group.raised.take_if(|(end, _)| *end <= self.now) {
                group.term += 1;
                group.members = members;
            }
        }
    }
}
