//! Members, instances, store and platform of a run, with the messages between them.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    name::MemberId,
    sync_group::{LeaderInfo, MemberStatus, RecordedPromotion, Role},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    instances::Instance,
    members::{Member, Pending},
    store::{Answer, Purpose, Store, Write},
};

pub(crate) const MEMBERS: usize = 3;
pub(crate) const INSTANCES: usize = 3;
/// Time between two steps of the simulation.
pub(crate) const STEP_MS: u64 = 10;
/// Time in which faults begin.
pub(crate) const FAULTS_MS: u64 = 40_000;
/// Time after the end of the last fault within which a group has a primary that acknowledges commits.
pub(crate) const RECOVERY_MS: u64 = 12_000;
/// Time for which commits are observed after that.
const OBSERVED_MS: u64 = 2000;
/// Interval at which instances send each other what they know of the leader, and the time by which the receiver may take
/// it for older than it is.
pub(crate) const NEWS_MS: u64 = 250;
/// Time after which a command without an answer is given up and withdrawn.
pub(crate) const COMMAND_MS: u64 = 700;
/// Shortest time for which a member is down. After a shorter one it could be back without its hold before an instance notices
/// that it was gone.
pub(crate) const RESTART_MS: u64 = 2000;
/// Time from the start of a member until it receives the log of the primary; shorter than a promotion takes.
pub(crate) const START_MS: u64 = 100;
/// Longest wait of a commit for a replica; its caller has given up then.
pub(crate) const COMMIT_WAIT_MS: u64 = 3000;
/// Time after which the entry of a member that is down is removed, and for which instances keep the member after that.
pub(crate) const ENTRY_MS: u64 = 3600;
pub(crate) const LAPSE_MS: u64 = 2500;
/// Time from the start of a member whose entry was removed until instances list it again.
pub(crate) const LIST_MS: u64 = 700;

pub(crate) fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

pub(crate) fn id(member: usize) -> MemberId {
    format!("m{member}").as_str().into()
}

pub(crate) fn number(member: &MemberId) -> usize {
    member.as_str()[1..].parse().expect("a number")
}

/// A commit: the term in which it was written, and its number.
pub(crate) type Commit = (u64, u64);

#[derive(Debug, Clone, Copy)]
pub(crate) enum Command {
    Status,
    Hold(u64),
    Demote(u64),
    Resume,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    ToMember {
        from: usize,
        member: usize,
        command: Command,
        sent: u64,
        /// Time at which the command is withdrawn unless it has been delivered.
        until: u64,
    },
    /// What an instance knows of the leader.
    News {
        to: usize,
        info: LeaderInfo,
    },
    FromMember {
        to: usize,
        member: usize,
        status: MemberStatus,
        sent: u64,
    },
    ToStore {
        from: usize,
        purpose: Purpose,
        write: Option<Write>,
        sent: u64,
    },
    FromStore {
        to: usize,
        purpose: Purpose,
        answer: Box<Answer>,
        sent: u64,
    },
    /// Era of the store and the latest record of a promotion, as another instance knows them.
    Records {
        to: usize,
        era: u64,
        record: Option<RecordedPromotion>,
    },
    ToPlatform {
        member: usize,
        generation: u64,
    },
    Promotion {
        member: usize,
    },
    /// A primary acknowledges the last of these commits of its log.
    Acknowledgement {
        to: usize,
        member: usize,
        commits: Vec<Commit>,
    },
    /// An instance learns that a member was started again.
    Restarted {
        to: usize,
        member: usize,
    },
}

pub(crate) struct World {
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) store: Store,
    /// Instance that was granted each generation number.
    pub(crate) granted: BTreeMap<u64, usize>,
    pub(crate) messages: Vec<(u64, u64, Message)>,
    pub(crate) acknowledged: Vec<Commit>,
    pub(crate) written: u64,
    pub(crate) generations: Vec<u64>,
    pub(crate) promotions: usize,
    /// Data losses of the store, and records that were written again.
    pub(crate) losses: usize,
    pub(crate) rewrites: usize,
    /// Acknowledgements that instances did not pass on.
    pub(crate) withheld: usize,
    pub(crate) violations: Vec<String>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let member = |member: usize| Member {
            role: if member == 0 { Role::Primary } else { Role::Replica },
            term: 1,
            held: 0,
            follows: 0,
            log: Vec::new(),
            down_until: 0,
            down_since: 0,
            deaf_until: 0,
            leaving: false,
            pending: Vec::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            members: (0..MEMBERS).map(member).collect(),
            instances: (0..INSTANCES).map(|_| Instance::start(0)).collect(),
            store: Store::default(),
            granted: BTreeMap::new(),
            messages: Vec::new(),
            acknowledged: Vec::new(),
            written: 0,
            generations: Vec::new(),
            promotions: 0,
            losses: 0,
            rewrites: 0,
            withheld: 0,
            violations: Vec::new(),
        }
    }

    pub(crate) fn run(&mut self) {
        while self.now < FAULTS_MS {
            self.now += STEP_MS;
            self.inject_fault();
            self.lose_claims();
            self.step();
        }
        self.members.iter_mut().for_each(|member| member.leaving = false);
        let members = self.members.iter().flat_map(|member| [member.down_until, member.deaf_until]);
        let instances = self.instances.iter().flat_map(|instance| {
            let own = [instance.paused_until, instance.cut_from_store, instance.cut_from_others];
            own.into_iter().chain(instance.cut_from_member)
        });
        let calm_since = members.chain(instances).fold(FAULTS_MS, u64::max);
        self.run_until(calm_since + RECOVERY_MS);
        let acknowledged = self.acknowledged.len();
        self.run_until(self.now + OBSERVED_MS);
        if self.acknowledged.len() == acknowledged {
            let members: Vec<String> = self.members.iter().map(Member::describe).collect();
            let members = members.join(", ");
            self.violations.push(format!("no commits after the end of the faults: {members}"));
        }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        self.restart_members();
        self.step_store();
        self.deliver();
        self.replicate();
        self.write();
        for instance in 0..INSTANCES {
            if self.now >= self.instances[instance].paused_until {
                self.step_instance(instance);
            }
        }
        self.check_claimants();
    }

    fn duration(&mut self, shortest: u64, longest: u64) -> u64 {
        self.now + self.rng.random_range(shortest..longest)
    }

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.006) {
            return;
        }
        let instance = self.rng.random_range(0..INSTANCES);
        // Mostly the primary, whose replacement is of interest.
        let primary = self.primary();
        let member =
            if self.rng.random_bool(0.5) { primary } else { self.rng.random_range(0..MEMBERS) };
        match self.rng.random_range(0..10) {
            0 | 1 => self.instances[instance].cut_from_member[member] = self.duration(200, 7000),
            2 => self.instances[instance].cut_from_store = self.duration(200, 7000),
            3 => self.instances[instance].paused_until = self.duration(200, 6000),
            4 => self.instances[instance] = Instance::start(self.now),
            5 | 6 => {
                let until = self.duration(RESTART_MS, 14_000);
                let state = &mut self.members[member];
                if state.is_running(self.now) {
                    state.down_since = self.now;
                    state.down_until = until;
                    state.held = 0;
                    state.pending.clear();
                    for to in 0..INSTANCES {
                        let due = until + self.rng.random_range(10..500);
                        self.send_at(due, Message::Restarted { to, member });
                    }
                }
            }
            7 => self.members[member].deaf_until = self.duration(200, 6000),
            8 => self.lose_data(),
            _ => {
                let leaving = self.members.iter().any(|member| member.leaving);
                self.members.iter_mut().for_each(|member| member.leaving = false);
                self.members[member].leaving = !leaving;
            }
        }
    }

    /// The running primary of the highest term, or any member when there is none.
    fn primary(&self) -> usize {
        let members = self.members.iter().enumerate();
        let primaries = members
            .filter(|(_, member)| member.role == Role::Primary && member.is_running(self.now));
        primaries.max_by_key(|(_, member)| member.term).map_or(0, |(member, _)| member)
    }

    pub(crate) fn send_at(&mut self, due: u64, message: Message) {
        let order = self.rng.random();
        self.messages.push((due, order, message));
    }

    pub(crate) fn send(&mut self, message: Message) {
        let due = self.now + self.rng.random_range(1..60);
        self.send_at(due, message);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        due.sort_by_key(|(at, order, _)| (*at, *order));
        for (_, _, message) in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::ToMember { from, member, command, sent, until } => {
                let state = &mut self.members[member];
                let is_cut = now < self.instances[from].cut_from_member[member];
                if !state.is_running(now) || is_cut || now >= until {
                    return;
                }
                match command {
                    Command::Status => {}
                    Command::Hold(term) if state.role == Role::Replica && term > state.term => {
                        state.held = term;
                    }
                    Command::Hold(_) => {}
                    Command::Demote(term) if state.role == Role::Primary && state.term < term => {
                        state.role = Role::Replica;
                    }
                    Command::Demote(_) => {}
                    Command::Resume => state.held = 0,
                }
                let status = state.status();
                if !self.rng.random_bool(0.1) {
                    self.send(Message::FromMember { to: from, member, status, sent });
                }
            }
            Message::FromMember { to, member, status, sent } => {
                let instance = &mut self.instances[to];
                if now < instance.paused_until {
                    let due = instance.paused_until;
                    self.send_at(due, Message::FromMember { to, member, status, sent });
                } else if now >= instance.cut_from_member[member] && sent >= instance.started {
                    instance.view.observe(&id(member), status, at(sent));
                }
            }
            Message::ToStore { from, purpose, write, sent } => {
                self.handle_request(from, purpose, write, sent);
            }
            Message::FromStore { to, purpose, answer, sent } => {
                let instance = &self.instances[to];
                if now < instance.paused_until {
                    let due = instance.paused_until;
                    self.send_at(due, Message::FromStore { to, purpose, answer, sent });
                } else if sent >= instance.started && now >= instance.cut_from_store {
                    self.handle_answer(to, purpose, *answer, sent);
                }
            }
            Message::Records { to, era, record } => {
                let instance = &mut self.instances[to];
                if now >= instance.paused_until {
                    instance.learn_era(era, now);
                    if let Some(record) = record {
                        instance.learn_record(&record, now);
                    }
                }
            }
            Message::ToPlatform { member, generation } => {
                if self.generations.last().is_some_and(|last| *last > generation) {
                    self.violations.push(format!("{now}: generation {generation} is late"));
                }
                self.generations.push(generation);
                if self.members[member].is_running(now) {
                    let due = now + self.rng.random_range(300..1000);
                    self.send_at(due, Message::Promotion { member });
                }
            }
            Message::Promotion { member } => self.promote(member),
            Message::News { to, info } => {
                let instance = &mut self.instances[to];
                if now >= instance.paused_until {
                    instance.view.merge_leader_info(&info);
                }
            }
            Message::Acknowledgement { to, member, commits } => {
                let instance = &self.instances[to];
                if now < instance.paused_until {
                    let due = instance.paused_until;
                    self.send_at(due, Message::Acknowledgement { to, member, commits });
                } else if now >= instance.cut_from_member[member] {
                    self.acknowledge(to, commits);
                }
            }
            Message::Restarted { to, member } => {
                if self.members[member].is_running(now) {
                    self.instances[to].view.reset_member(&id(member), at(now));
                }
            }
        }
    }

    /// An instance sends a write to the member that it takes for the primary.
    fn write(&mut self) {
        let now = self.now;
        let from = self.rng.random_range(0..INSTANCES);
        let instance = &self.instances[from];
        let leader = instance.view.leader(at(now)).filter(|leader| !leader.fenced);
        let Some(leader) = leader else { return };
        let member = number(&leader.member);
        let state = &mut self.members[member];
        let is_cut = now < instance.cut_from_member[member] || now < instance.paused_until;
        if is_cut || !state.is_running(now) || state.role != Role::Primary {
            return;
        }
        self.written += 1;
        let until = now + COMMIT_WAIT_MS;
        state.pending.push(Pending { index: state.log.len(), from, until });
        state.log.push((state.term, self.written));
    }
}
