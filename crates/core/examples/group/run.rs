//! Events of a run, the messages between its components, and the rules that are checked.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{InstanceId, MemberId},
    position::{Position, Term},
    promotion::{
        AbandonReason, PromotionAction, PromotionEvent, StoreAnswer, TermRecord, Timeline,
    },
    quorum::{Gate, MemberReport, MemberRole, POLL_INTERVAL},
    read_index::ReadIndexQueryId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    home::{HeldAnswer, Home, Reply, member_id, member_index},
    member::{Entry, Member},
    network::{MEMBERS, Network, random_faults},
    sessions::Client,
    settings::{Fault, Faults, Scheduled, Settings},
};

const TICK_INTERVAL: Duration = Duration::from_millis(25);
const REPLICATION_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which an answer is held back while the gate is closed.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a write that is held back during a planned replacement is retried.
const HELD_WRITE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// One-way delay between a home and the store.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// An observation that breaks a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A write was acknowledged under `term` after a primary was promoted for the higher term `promoted`.
    LateAcknowledgement { at: Duration, term: Term, promoted: Term },
    /// Two members became primary of one term.
    TwoPrimaries { at: Duration, term: Term },
    /// A session did not read its own write, and the loss of the write was not reported to it.
    MissingWrite { at: Duration, write: Position, keeps_position: bool },
    /// A stale read lacked a write that was acknowledged longer ago than the allowed age of the data.
    TooOld { at: Duration, write: Position, acknowledged: Duration },
    /// No write was acknowledged in the second half of the recovery period.
    NoRecovery,
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) violations: Vec<Violation>,
    /// True times of the acknowledgements of writes.
    pub(crate) acknowledged: Vec<Duration>,
    /// True time, term and member of the promotions.
    pub(crate) promotions: Vec<(Duration, Term, usize)>,
    /// Roles and terms of the members at the end.
    pub(crate) members: Vec<(MemberRole, Term)>,
    pub(crate) timelines: Vec<Timeline>,
    pub(crate) abandoned: Vec<(Term, AbandonReason)>,
    pub(crate) reads: usize,
    pub(crate) reads_on_replicas: usize,
    pub(crate) stale_reads: usize,
    pub(crate) unknown_outcomes: usize,
    pub(crate) losses_reported: usize,
}

#[derive(Debug, Clone)]
pub(super) enum Event {
    Tick(usize),
    Poll(usize),
    Replicate,
    Step(usize),
    ToMember { home: usize, member: usize, request: Request },
    ToHome { home: usize, message: Message },
    ToStore { home: usize, request: StoreRequest },
    Timeout { session: usize, step: u64 },
    RouteAgain { session: usize, step: u64 },
    WriteAgain { session: usize, step: u64 },
}

/// A request of a home to a member.
#[derive(Debug, Clone)]
pub(super) enum Request {
    Status { sent: Instant, query: Option<(usize, ReadIndexQueryId)> },
    Position,
    Raise(Term),
    Promote(Term),
    Follow { primary: usize, term: Term },
    Write { session: usize, step: u64, write: u64 },
    Read { session: usize, step: u64, term: Term, stale: Option<Duration> },
}

/// A message that arrives at a home.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Report {
        report: MemberReport,
        query: Option<(usize, ReadIndexQueryId)>,
    },
    Position {
        member: MemberId,
        position: Position,
        at: Instant,
    },
    Promotion(PromotionEvent),
    Record(TermRecord, Option<(Term, Position)>),
    Held(HeldAnswer),
    /// From another home: query the position of the primary.
    Query {
        from: usize,
        id: ReadIndexQueryId,
        member: usize,
    },
    Answer {
        id: ReadIndexQueryId,
        position: Position,
        gate: Gate,
        start: Option<(Term, Position)>,
    },
    /// From the entry of a session: run a statement at the home's member.
    Run(Request),
}

/// A request of a home to the store.
#[derive(Debug, Clone)]
pub(super) enum StoreRequest {
    Claim(Term),
    Read,
    Publish(Term, MemberId, Option<Position>),
}

pub(super) struct Run {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    /// True time since the start; the homes' clocks drift from it.
    pub(super) now: Duration,
    /// Number of the last scheduled event, which orders events of the same time.
    pub(super) sequence: u64,
    pub(super) queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) network: Network,
    pub(super) members: Vec<Member>,
    pub(super) homes: Vec<Home>,
    pub(super) clients: Vec<Client>,
    pub(super) store: TermRecord,
    /// Last published term and the position at which it began.
    pub(super) store_start: Option<(Term, Position)>,
    pub(super) next_write: u64,
    /// The member that was promoted in each term, with its log at that time.
    pub(super) primaries: BTreeMap<Term, (usize, Vec<Entry>)>,
    /// Every acknowledged write with the true time of the acknowledgement.
    pub(super) acknowledged: Vec<(Duration, Position, u64)>,
    pub(super) outcome: Outcome,
}

/// Runs a simulation.
pub(crate) fn run(settings: &Settings) -> Outcome {
    let mut run = Run::new(settings.clone());
    run.start();
    run.finish()
}

impl Run {
    fn new(settings: Settings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let faults = match &settings.faults {
            Faults::Random => random_faults(&settings, &mut rng),
            Faults::Script(faults) => faults.clone(),
        };
        let homes = (0..MEMBERS)
            .map(|index| Home::new(index, &settings, rng.random_range(-0.0045..0.0045)))
            .collect();
        let clients = (0..settings.sessions).map(Client::new).collect();
        Self {
            network: Network::new(&settings, faults),
            settings,
            rng,
            now: Duration::ZERO,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            members: (0..MEMBERS).map(Member::new).collect(),
            homes,
            clients,
            store: TermRecord { term: Term(1), claimant: None, primary: Some(member_id(0)) },
            store_start: None,
            next_write: 0,
            primaries: BTreeMap::from([(Term(1), (0, Vec::new()))]),
            acknowledged: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn start(&mut self) {
        self.schedule(Duration::ZERO, Event::Replicate);
        for home in 0..MEMBERS {
            let phase = Duration::from_micros(self.rng.random_range(0..250_000));
            self.schedule(phase, Event::Poll(home));
            self.schedule(phase, Event::Tick(home));
        }
        for session in 0..self.clients.len() {
            let phase = Duration::from_millis(1000 + self.rng.random_range(0..500));
            self.schedule(phase, Event::Step(session));
        }
        let end = self.settings.fault_period + self.settings.recovery_period;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&sequence).expect("a scheduled event");
            self.handle(event);
        }
    }

    fn finish(mut self) -> Outcome {
        let recovered = self.settings.fault_period + self.settings.recovery_period / 2;
        if !self.outcome.acknowledged.iter().any(|at| *at > recovered) {
            self.outcome.violations.push(Violation::NoRecovery);
        }
        self.outcome.members =
            self.members.iter().map(|member| (member.role, member.term)).collect();
        self.outcome
    }

    pub(super) fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.deferred_until(&event) {
            self.schedule(until - self.now, event);
            return;
        }
        match event {
            Event::Tick(home) => self.tick(home),
            Event::Poll(home) => self.poll(home),
            Event::Replicate => self.replicate(),
            Event::Step(session) => self.step(session),
            Event::ToMember { home, member, request } => self.at_member(home, member, request),
            Event::ToHome { home, message } => self.at_home(home, message),
            Event::ToStore { home, request } => self.at_store(home, &request),
            Event::Timeout { session, step } => self.end_step(session, step),
            Event::RouteAgain { session, step } => self.read(session, step),
            Event::WriteAgain { session, step } => self.write(session, step),
        }
    }

    /// Time until which a paused home or a suspended member does not handle the event.
    fn deferred_until(&self, event: &Event) -> Option<Duration> {
        match event {
            Event::Tick(home) | Event::Poll(home) | Event::ToHome { home, .. } => {
                self.network.active_until(Fault::Pause(*home), self.now)
            }
            Event::ToMember { member, .. } => {
                self.network.active_until(Fault::Suspend(*member), self.now)
            }
            _ => None,
        }
    }

    pub(super) fn clock(&self, home: usize) -> Instant {
        self.homes[home].clock(self.now)
    }

    fn tick(&mut self, home: usize) {
        self.schedule(TICK_INTERVAL, Event::Tick(home));
        self.handle_promotion_event(home, PromotionEvent::Tick);
        self.request_planned_replacement(home);
        self.send_suspicion(home);
        let now = self.clock(home);
        let expired = self.homes[home].read_index.expire(now);
        self.read_index_answered(home, expired);
        self.send_read_index_query(home);
        self.release(home);
    }

    /// Requests the replacement of a leaving primary at its home.
    fn request_planned_replacement(&mut self, home: usize) {
        let Some((primary, term)) = self.homes[home].quorum.last_primary() else { return };
        if member_index(&primary) == home && self.network.is_active(Fault::Leave(home), self.now) {
            self.handle_promotion_event(home, PromotionEvent::PlannedReplacement { term });
        }
    }

    fn poll(&mut self, home: usize) {
        self.schedule(POLL_INTERVAL, Event::Poll(home));
        for member in 0..MEMBERS {
            self.send_poll(home, member, None);
        }
    }

    fn send_poll(&mut self, home: usize, member: usize, query: Option<(usize, ReadIndexQueryId)>) {
        let sent = self.clock(home);
        self.homes[home].quorum.poll_sent(&member_id(member), sent);
        self.send_to_member(home, member, Request::Status { sent, query });
    }

    pub(super) fn send_to_member(&mut self, home: usize, member: usize, request: Request) {
        if !self.network.home_reaches_member(home, member, self.now) {
            return;
        }
        if let Some(delay) = self.network.delay(home, member, self.now, &mut self.rng) {
            self.schedule(delay, Event::ToMember { home, member, request });
        }
    }

    pub(super) fn send_to_home(&mut self, from: usize, home: usize, message: Message) {
        if !self.network.homes_connected(from, home, self.now) {
            return;
        }
        if let Some(delay) = self.network.delay(from, home, self.now, &mut self.rng) {
            self.schedule(delay, Event::ToHome { home, message });
        }
    }

    fn at_home(&mut self, home: usize, message: Message) {
        let now = self.clock(home);
        match message {
            Message::Report { mut report, query } => {
                report.received = now;
                let (position, term) = (report.position, report.term);
                let primary = report.is_primary();
                self.homes[home].record(report, now);
                if let Some((from, id)) = query {
                    let open = primary && self.homes[home].quorum.gate(term, now).is_open();
                    let checked = open || !self.settings.gate_read_index;
                    let gate = if checked { Gate::Open } else { Gate::Closed };
                    let start = self.homes[home].router.history().latest();
                    self.send_to_home(home, from, Message::Answer { id, position, gate, start });
                }
                self.release(home);
                self.handle_promotion_event(home, PromotionEvent::Tick);
            }
            Message::Position { member, position, at } => {
                self.homes[home].router.observe(&member, position, at);
            }
            Message::Promotion(event) => self.handle_promotion_event(home, event),
            Message::Record(record, start) => {
                self.learn_start(home, start);
                self.handle_promotion_event(home, PromotionEvent::Record(record));
            }
            Message::Held(mut held) => {
                held.until = now.plus(HOLD_TIMEOUT);
                self.homes[home].held.push(held);
                self.release(home);
            }
            Message::Query { from, id, member } => {
                self.send_poll(home, member, Some((from, id)));
            }
            Message::Answer { id, position, gate, start } => {
                self.learn_start(home, start);
                let answered = self.homes[home].read_index.answered(id, position, gate);
                self.read_index_answered(home, answered);
                self.send_read_index_query(home);
            }
            Message::Run(Request::Write { .. }) if self.homes[home].promotion.holds_writes() => {
                self.schedule(HELD_WRITE_RETRY_DELAY, Event::ToHome { home, message });
            }
            Message::Run(request) => self.send_to_member(home, home, request),
        }
    }

    pub(super) fn learn_start(&mut self, home: usize, start: Option<(Term, Position)>) {
        if let Some((term, start)) = start {
            self.homes[home].quorum.record_term(term, start);
            self.homes[home].router.record_term(term, start);
        }
    }

    fn handle_promotion_event(&mut self, home: usize, event: PromotionEvent) {
        let now = self.clock(home);
        let before = self.homes[home].promotion.timeline().copied();
        let instance = &mut self.homes[home];
        let actions = instance.promotion.handle(event, &instance.quorum, now);
        let after = instance.promotion.timeline().copied();
        if let Some(timeline) = after
            && before != after
            && timeline.published.is_some()
        {
            self.outcome.timelines.push(timeline);
        }
        for action in actions {
            self.perform(home, action);
        }
    }

    fn perform(&mut self, home: usize, action: PromotionAction) {
        match action {
            PromotionAction::Claim { term } => self.send_to_store(home, StoreRequest::Claim(term)),
            PromotionAction::ReadBack => self.send_to_store(home, StoreRequest::Read),
            PromotionAction::Publish(publication) => {
                let start = publication.term_start;
                let request = StoreRequest::Publish(publication.term, publication.primary, start);
                self.send_to_store(home, request);
            }
            PromotionAction::Raise { member, term } => {
                self.send_to_member(home, member_index(&member), Request::Raise(term));
            }
            PromotionAction::Promote { member, term, .. } => {
                self.send_to_member(home, member_index(&member), Request::Promote(term));
            }
            PromotionAction::Poll { member } => {
                self.send_poll(home, member_index(&member), None);
            }
            PromotionAction::Follow { member, primary, term } => {
                let primary = member_index(&primary);
                let request = Request::Follow { primary, term };
                self.send_to_member(home, member_index(&member), request);
            }
            PromotionAction::Abandoned { term, reason } => {
                self.outcome.abandoned.push((term, reason));
            }
        }
    }

    /// Reports to the other homes that the primary misses its polls.
    fn send_suspicion(&mut self, home: usize) {
        let now = self.clock(home);
        let instance = &self.homes[home];
        let Some((_, term)) = instance.promotion.suspected_primary(&instance.quorum, now) else {
            return;
        };
        let event = PromotionEvent::Agreement {
            instance: instance.id.clone(),
            data_centre: super::home::data_centre(home),
            term,
        };
        for other in (0..MEMBERS).filter(|other| *other != home) {
            self.send_to_home(home, other, Message::Promotion(event.clone()));
        }
    }

    fn at_member(&mut self, home: usize, member: usize, request: Request) {
        if !self.network.home_reaches_member(home, member, self.now) {
            return;
        }
        let message = match request {
            Request::Status { sent, query } => {
                Message::Report { report: self.status(member, sent), query }
            }
            Request::Position => Message::Position {
                member: member_id(member),
                position: self.members[member].position(),
                at: self.clock(home),
            },
            Request::Raise(term) => Message::Promotion(self.raise(home, member, term)),
            Request::Promote(term) => Message::Promotion(self.promote(member, term)),
            Request::Follow { primary, term } => {
                self.members[member].follow(primary, term, self.now);
                return;
            }
            Request::Write { session, step, write } => {
                let now = self.now;
                let Some(position) = self.members[member].write(write, now) else { return };
                let reply = Reply::Write { write, position };
                let until = Instant::default();
                Message::Held(HeldAnswer { session, step, term: position.term, until, reply })
            }
            Request::Read { session, step, term, stale } => {
                let log = self.members[member].log.iter().map(|entry| entry.write).collect();
                let (until, reply) = (Instant::default(), Reply::Read { log, stale });
                Message::Held(HeldAnswer { session, step, term, until, reply })
            }
        };
        if let Some(delay) = self.network.delay(member, home, self.now, &mut self.rng) {
            self.schedule(delay, Event::ToHome { home, message });
        }
    }

    fn status(&self, index: usize, sent: Instant) -> MemberReport {
        let member = &self.members[index];
        let mut term_start = member.term_start;
        if self.settings.start_has_new_term {
            term_start.term = member.promoted_term;
        }
        let silent = (member.role == MemberRole::Replica)
            .then(|| self.now.saturating_sub(member.source_last_reached));
        MemberReport {
            member: member_id(index),
            role: member.role,
            term: member.term,
            claimant: member.claimant.clone(),
            promoted_term: member.promoted_term,
            position: member.position(),
            term_start,
            term_members: Vec::new(),
            source_silent: silent,
            sent,
            received: sent,
        }
    }

    fn raise(&mut self, home: usize, index: usize, term: Term) -> PromotionEvent {
        let claimant: InstanceId = self.homes[home].id.clone();
        let member = &mut self.members[index];
        member.raise(term, claimant, self.settings.exclusive_claimants);
        PromotionEvent::Raised {
            member: member_id(index),
            term: member.term,
            claimant: member.claimant.clone(),
        }
    }

    fn promote(&mut self, index: usize, term: Term) -> PromotionEvent {
        let log = self.members[index].log.clone();
        let (accepted, became) = self.members[index].promote(term, self.now);
        if became {
            self.outcome.promotions.push((self.now, term, index));
            if self.primaries.get(&term).is_some_and(|(primary, _)| *primary != index) {
                let violation = Violation::TwoPrimaries { at: self.now, term };
                self.outcome.violations.push(violation);
            }
            self.primaries.insert(term, (index, log));
        }
        PromotionEvent::Promoted { member: member_id(index), term, accepted }
    }

    fn replicate(&mut self) {
        self.schedule(REPLICATION_INTERVAL, Event::Replicate);
        for replica in 0..MEMBERS {
            let Some(source) = self.members[replica].source else { continue };
            if source != replica && self.network.members_connected(replica, source, self.now) {
                let source = self.members[source].clone();
                self.members[replica].replicate(&source, self.settings.lag, self.now);
            }
        }
    }

    fn send_to_store(&mut self, home: usize, request: StoreRequest) {
        if self.network.is_active(Fault::PauseClaimant, self.now)
            && matches!(request, StoreRequest::Claim(_))
        {
            let (at, duration) = (self.now + Duration::from_millis(300), Duration::from_secs(4));
            self.network.add_fault(Scheduled { at, duration, fault: Fault::Pause(home) });
        }
        self.schedule(STORE_DELAY, Event::ToStore { home, request });
    }

    fn at_store(&mut self, home: usize, request: &StoreRequest) {
        let reachable = self.network.home_reaches_store(home, self.now);
        let answer =
            if reachable { self.update_store(home, request) } else { StoreAnswer::Unavailable };
        let lost = reachable && self.network.is_active(Fault::LostAnswers, self.now);
        let answer = if lost { StoreAnswer::Unknown } else { answer };
        let event = match request {
            StoreRequest::Claim(term) => PromotionEvent::Claimed { term: *term, answer },
            StoreRequest::Publish(term, ..) => PromotionEvent::Published { term: *term, answer },
            StoreRequest::Read => PromotionEvent::ReadBack(reachable.then(|| self.store.clone())),
        };
        let message = Message::Promotion(event);
        self.schedule(STORE_DELAY, Event::ToHome { home, message });
    }

    fn update_store(&mut self, home: usize, request: &StoreRequest) -> StoreAnswer {
        let claimant = Some(self.homes[home].id.clone());
        match request {
            StoreRequest::Claim(term) if *term > self.store.term => {
                self.store = TermRecord { term: *term, claimant, primary: None };
            }
            StoreRequest::Publish(term, primary, start)
                if *term > self.store.term
                    || (*term == self.store.term && self.store.primary.is_none()) =>
            {
                let primary = Some(primary.clone());
                self.store = TermRecord { term: *term, claimant, primary };
                self.store_start = start.map(|start| (*term, start));
            }
            _ => return StoreAnswer::Conflict(self.store.clone()),
        }
        for other in 0..MEMBERS {
            if !self.network.home_reaches_store(other, self.now) {
                continue;
            }
            let message = Message::Record(self.store.clone(), self.store_start);
            self.schedule(Duration::from_millis(30), Event::ToHome { home: other, message });
        }
        StoreAnswer::Stored
    }
}
