//! Client sessions that read, write and move between instances, and the checks of their answers.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::with_drift,
    name::MemberId,
    outcome::RefusalKind,
    position::{Position, Term},
    read_index::ReadIndexAnswer,
    read_route::{ReadDecision, ReadRequirement},
    request::StatementClass,
    session::Session,
};
use rand::Rng;

use super::{
    home::{HeldAnswer, Reply, member_index},
    network::MEMBERS,
    run::{Event, Message, Request, Run, Violation},
};

/// Time after which a session abandons a step.
const STEP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two attempts of a statement that waits for a replica or a primary.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Every n-th step of a session is a stale read, unless it writes.
const STALE_READ_EVERY: u64 = 7;
/// Largest allowed age of the data of a stale read.
const MAX_AGE: Duration = Duration::from_millis(400);

/// Client with its session and the writes that were acknowledged to it.
#[derive(Debug)]
pub(super) struct Client {
    entry: usize,
    session: Session,
    /// Whether the client supplies its position when it moves to another entry.
    keeps_position: bool,
    step: u64,
    busy: bool,
    arrived: Duration,
    /// Acknowledged writes that were not reported as lost.
    acknowledged: BTreeMap<Position, u64>,
}

impl Client {
    pub(super) fn new(index: usize) -> Self {
        Self {
            entry: index % MEMBERS,
            session: Session::new(),
            keeps_position: index.is_multiple_of(2),
            step: 0,
            busy: false,
            arrived: Duration::ZERO,
            acknowledged: BTreeMap::new(),
        }
    }

    fn move_to(&mut self, entry: usize) {
        self.entry = entry;
        let position = self.session.position().filter(|_| self.keeps_position);
        self.session = position.map_or_else(Session::new, Session::with_position);
    }
}

impl Run {
    pub(super) fn step(&mut self, session: usize) {
        let think_time = self.rng.random_range(Duration::from_millis(5)..self.settings.think_time);
        self.schedule(think_time, Event::Step(session));
        if self.clients[session].busy {
            return;
        }
        let moves = self.rng.random_bool(0.1);
        let entry = self.rng.random_range(0..MEMBERS);
        let writes = self.rng.random_bool(0.4);
        let client = &mut self.clients[session];
        if moves {
            client.move_to(entry);
        }
        client.step += 1;
        client.busy = true;
        client.arrived = self.now;
        let step = client.step;
        self.schedule(STEP_TIMEOUT, Event::Timeout { session, step });
        self.report_loss(session);
        if writes {
            self.write(session, step);
        } else {
            self.read(session, step);
        }
    }

    pub(super) fn end_step(&mut self, session: usize, step: u64) {
        let client = &mut self.clients[session];
        if client.step == step {
            client.busy = false;
        }
    }

    /// Reports to the session which of its writes were lost.
    fn report_loss(&mut self, session: usize) {
        if !self.settings.check_losses {
            return;
        }
        let client = &mut self.clients[session];
        let history = self.homes[client.entry].router.history();
        if let Some(RefusalKind::WriteLost { lost, term_start }) = client.session.check(history) {
            self.outcome.losses_reported += 1;
            client.acknowledged.retain(|write, _| *write <= term_start || *write > lost);
        }
    }

    /// Sends a write to the home of the primary, or retries later while no primary is known.
    pub(super) fn write(&mut self, session: usize, step: u64) {
        let client = &self.clients[session];
        if !client.busy || client.step != step {
            return;
        }
        let entry = client.entry;
        let now = self.clock(entry);
        let Some(primary) = self.homes[entry].quorum.primary(now) else {
            self.schedule(RETRY_INTERVAL, Event::WriteAgain { session, step });
            return;
        };
        self.next_write += 1;
        let request = Request::Write { session, step, write: self.next_write };
        self.send_to_home(entry, member_index(&primary), Message::Run(request));
    }

    pub(super) fn read(&mut self, session: usize, step: u64) {
        let client = &self.clients[session];
        if !client.busy || client.step != step {
            return;
        }
        let entry = client.entry;
        let (now, arrived) = (self.clock(entry), self.homes[entry].clock(client.arrived));
        let stale = step.is_multiple_of(STALE_READ_EVERY);
        let class = StatementClass::StaleRead { max_age: MAX_AGE };
        let class = if stale { class } else { StatementClass::Read };
        let mut requirement = client.session.read_requirement(class);
        if !self.settings.use_positions {
            requirement = ReadRequirement::Position(Position::default());
        }
        if requirement == ReadRequirement::ReadIndex {
            self.homes[entry].read_index.add_reader((session, step));
            self.send_read_index_query(entry);
            return;
        }
        match self.homes[entry].router.route(requirement, arrived, now) {
            ReadDecision::Replica { member, term } => {
                self.outcome.reads_on_replicas += 1;
                let stale = stale.then_some(self.now);
                let request = Request::Read { session, step, term, stale };
                self.run_read(entry, &member, request);
            }
            ReadDecision::Primary { member, term } => {
                let request = Request::Read { session, step, term, stale: None };
                self.run_read(entry, &member, request);
            }
            ReadDecision::Wait { member, .. } => {
                self.send_to_member(entry, member_index(&member), Request::Position);
                self.schedule(RETRY_INTERVAL, Event::RouteAgain { session, step });
            }
            ReadDecision::Refuse(_) => self.end_step(session, step),
        }
    }

    fn run_read(&mut self, entry: usize, member: &MemberId, request: Request) {
        self.outcome.reads += 1;
        self.send_to_home(entry, member_index(member), Message::Run(request));
    }

    /// Sends the next read-index query to the home of the primary.
    pub(super) fn send_read_index_query(&mut self, entry: usize) {
        let now = self.clock(entry);
        let home = &mut self.homes[entry];
        let Some((primary, _)) = home.quorum.last_primary() else { return };
        let Some(id) = home.read_index.start_query(now) else { return };
        let member = member_index(&primary);
        self.send_to_home(entry, member, Message::Query { from: entry, id, member });
    }

    pub(super) fn read_index_answered(
        &mut self,
        entry: usize,
        answered: Vec<((usize, u64), ReadIndexAnswer)>,
    ) {
        for ((session, step), answer) in answered {
            let client = &mut self.clients[session];
            if !client.busy || client.step != step || client.entry != entry {
                continue;
            }
            match answer {
                ReadIndexAnswer::Position(position) => {
                    client.session.record_proved_position(position);
                    self.report_loss(session);
                    self.read(session, step);
                }
                ReadIndexAnswer::Unconfirmed => self.end_step(session, step),
            }
        }
    }

    /// Releases the held answers whose gate is open, and drops those that were held for too long.
    pub(super) fn release(&mut self, home: usize) {
        let now = self.clock(home);
        for held in std::mem::take(&mut self.homes[home].held) {
            let gated = match held.reply {
                Reply::Write { .. } => true,
                Reply::Read { stale, .. } => self.settings.gate_reads && stale.is_none(),
            };
            let open = self.homes[home].quorum.gate(held.term, now).is_open();
            if open || !gated {
                self.deliver(home, held);
            } else if now >= held.until {
                self.outcome.unknown_outcomes += 1;
            } else {
                self.homes[home].held.push(held);
            }
        }
    }

    fn deliver(&mut self, home: usize, held: HeldAnswer) {
        let client = &self.clients[held.session];
        let current = client.busy && client.step == held.step;
        match held.reply {
            Reply::Write { write, position } => {
                self.check_acknowledgement(held.term);
                if current {
                    self.acknowledge(home, held.session, write, position);
                }
            }
            Reply::Read { log, stale: Some(routed) } if current => self.check_age(routed, &log),
            // A stale read at the primary also includes the session's writes.
            Reply::Read { log, stale: None } if current => {
                self.check_read(held.session, held.term, &log);
            }
            Reply::Read { .. } => {}
        }
        self.end_step(held.session, held.step);
    }

    /// Records the write in the session at the entry, which learns the start of the term with the answer.
    fn acknowledge(&mut self, home: usize, session: usize, write: u64, position: Position) {
        self.outcome.acknowledged.push(self.now);
        self.acknowledged.push((self.now, position, write));
        let start = self.homes[home].router.history().latest();
        self.learn_start(self.clients[session].entry, start);
        let client = &mut self.clients[session];
        client.session.committed(position);
        client.acknowledged.insert(position, write);
        self.report_loss(session);
    }

    fn check_acknowledgement(&mut self, term: Term) {
        let Some((promoted, _)) = self.primaries.last_key_value() else { return };
        if *promoted > term {
            let violation =
                Violation::LateAcknowledgement { at: self.now, term, promoted: *promoted };
            self.outcome.violations.push(violation);
        }
    }

    /// Checks that the returned log contains the session's acknowledged writes.
    ///
    /// The loss of a write in a promotion cannot be reported to a session whose client does not keep its position.
    fn check_read(&mut self, session: usize, term: Term, log: &[Option<u64>]) {
        let client = &self.clients[session];
        for (position, write) in &client.acknowledged {
            let index = usize::try_from(position.lsn.0).expect("a short log") - 1;
            if log.get(index) == Some(&Some(*write)) {
                continue;
            }
            let base = self.primaries.get(&term).map(|(_, log)| log.as_slice()).unwrap_or_default();
            let kept = base.get(index).is_some_and(|entry| entry.write == Some(*write));
            let lost = position.term < term && !kept;
            let keeps_position = client.keeps_position;
            if keeps_position || !lost {
                let violation =
                    Violation::MissingWrite { at: self.now, write: *position, keeps_position };
                self.outcome.violations.push(violation);
            }
        }
    }

    /// Checks that a stale read returned all writes that were acknowledged longer ago than [`MAX_AGE`], except those
    /// that the current primary lacks as well.
    fn check_age(&mut self, routed: Duration, log: &[Option<u64>]) {
        self.outcome.stale_reads += 1;
        // The entry's clock may be slow by the drift bound.
        let oldest = routed.saturating_sub(with_drift(MAX_AGE));
        let Some((_, (primary, _))) = self.primaries.last_key_value() else { return };
        let current = &self.members[*primary].log;
        let until = self.acknowledged.partition_point(|(at, ..)| *at < oldest);
        let missing = self.acknowledged[..until].iter().rev().find(|(_, position, write)| {
            let index = usize::try_from(position.lsn.0).expect("a short log") - 1;
            let kept = current.get(index).is_some_and(|entry| entry.write == Some(*write));
            kept && log.get(index) != Some(&Some(*write))
        });
        if let Some((acknowledged, position, _)) = missing {
            let (at, write) = (self.now, *position);
            let violation = Violation::TooOld { at, write, acknowledged: *acknowledged };
            self.outcome.violations.push(violation);
        }
    }
}
