//! Single reads: choice of the member, retries and hedging.

use std::{rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use hibiscusladder_core::{
    clock::Instant, evacuation::Service, membership, name::MemberId, position::Position,
    return_time::Cause,
};
use hibiscusladder_io::clock::{sleep, within};

use crate::{
    adapter::Platform,
    channel::{Channel, RunOutcome, is_idle},
    directory::Consistency,
    model::{Answer, Code},
    node::Node,
    pool::OPENING_COST_S,
    request::{
        self, Attempt, Purpose, RETRY_DELAY, Request, capacity_wait, hedge_slot_wait,
        hopeless_reason, is_past_deadline, max_connection_wait, poll_if_slow, record_answer,
        record_retry, refuse, retry_delay, wait_for_change,
    },
    urgency::{NoSlot, Work},
};

/// Longest wait for a busy member in the first round, after which another member is tried; about the time of a few
/// statements.
const FIRST_CONNECTION_WAIT: Duration = Duration::from_millis(40);
/// Time without an answer after which a read is sent to a second member as well.
const HEDGE_AFTER: Duration = Duration::from_millis(250);
/// Time since the first unanswered poll after which a replica gets no reads.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(500);
/// Fraction of the drain time for which a leaving primary still gets work, as numerator and denominator.
const DRAIN_FRACTION: (u32, u32) = (3, 4);

/// A member at which a read may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Member to which the read is sent.
    pub member: MemberId,
    /// Position that the member's log has to include; `None` at the primary.
    pub after: Option<Position>,
    /// Whether the member is the primary.
    pub primary: bool,
}

/// The members that may run a read under the consistency of its route, the one with the shortest expected time first. An
/// evacuated primary is among them only when no other member may run it.
pub fn read_candidates<P>(node: &Node<P>, req: &Request) -> Vec<Candidate>
where
    P: Platform,
{
    let mut candidates = all_candidates(node, req);
    let now = node.now();
    let is_elsewhere = |candidate: &Candidate| {
        node.evacuation_service(&candidate.member, candidate.primary, now) == Service::Any
    };
    if candidates.iter().any(is_elsewhere) {
        candidates.retain(is_elsewhere);
    }
    candidates
}

/// Like [`read_candidates`], for a transaction that only the primary can run.
pub fn all_candidates<P>(node: &Node<P>, req: &Request) -> Vec<Candidate>
where
    P: Platform,
{
    let Some(group) = node.group(&req.route.group) else { return Vec::new() };
    let now = node.now();
    let view = group.view.borrow();
    let consistency = req.route.consistency;
    let oldest = req.arrived.minus(consistency.max_age());
    let own_commit = match consistency {
        Consistency::ReadYourWrites(_) => req.last_commit,
        Consistency::Primary | Consistency::Bounded(_) => None,
    };
    let leader = view.leader(now);
    let mut candidates: Vec<(f64, Candidate)> = Vec::new();
    if let Some(leader) = &leader {
        let proven = view.leader_proven_until(now).is_some_and(|until| oldest < until);
        let has_commit =
            own_commit.is_none_or(|own_commit| own_commit.position.term <= leader.term);
        let reachable = !view.is_unresponsive(&leader.member, REPLICA_TIMEOUT, now);
        if proven && has_commit && reachable && accepts_work(node, &leader.member, true, now) {
            push_candidate(node, req, &mut candidates, &leader.member, None, true);
        }
    }
    let required = match consistency {
        Consistency::Primary => None,
        Consistency::Bounded(_) | Consistency::ReadYourWrites(_) => view.position_at(oldest, now),
    };
    if let Some(required) = required {
        let after = own_commit
            .map_or(required.position, |own_commit| own_commit.position.max(required.position));
        // Time of the newest commit that the replica has to have applied.
        let newest =
            own_commit.map_or(required.sent, |own_commit| own_commit.at.max(required.sent));
        for member in view.members() {
            let lag = view.status(member).map_or(Duration::ZERO, |status| status.lag);
            let is_leader = leader.as_ref().is_some_and(|leader| leader.member == *member);
            let applied = lag <= now.since(newest);
            let reachable = !view.is_unresponsive(member, REPLICA_TIMEOUT, now);
            if !is_leader && applied && reachable && accepts_work(node, member, false, now) {
                push_candidate(node, req, &mut candidates, member, Some(after), false);
            }
        }
    }
    drop(view);
    prefer_one_replica(node, req, &mut candidates);
    candidates.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    candidates.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Makes a workspace prefer one replica in a fleet where holders have the connections, so that these are reused.
fn prefer_one_replica<P>(node: &Node<P>, req: &Request, candidates: &mut [(f64, Candidate)])
where
    P: Platform,
{
    if !node.uses_holders(&req.route.group) {
        return;
    }
    let weight = |member: &MemberId| membership::weight(&[req.workspace.as_str()], member.as_str());
    let replicas = || candidates.iter().filter(|(_, candidate)| !candidate.primary);
    let preferred = replicas().map(|(_, candidate)| weight(&candidate.member)).max();
    for (expected, candidate) in candidates.iter_mut() {
        if !candidate.primary && Some(weight(&candidate.member)) != preferred {
            *expected += OPENING_COST_S;
        }
    }
}

fn push_candidate<P>(
    node: &Node<P>,
    req: &Request,
    candidates: &mut Vec<(f64, Candidate)>,
    member: &MemberId,
    after: Option<Position>,
    primary: bool,
) where
    P: Platform,
{
    let Some(pool) = node.pool(member) else { return };
    let now = node.now();
    // A replica that lagged lately is left out; the primary cannot lag.
    if !primary && pool.is_lagging(now) {
        return;
    }
    let expected = pool.expected_s(&req.workspace, now);
    candidates.push((expected, Candidate { member: member.clone(), after, primary }));
}

/// Whether new work may be given to a member. A leaving replica gets none, and a leaving primary only for a fraction of
/// the drain time, in which it is to be replaced. The same holds for evacuated members.
pub fn accepts_work<P>(node: &Node<P>, member: &MemberId, primary: bool, now: Instant) -> bool
where
    P: Platform,
{
    let (numerator, denominator) = DRAIN_FRACTION;
    let limit = node.settings.drain * numerator / denominator;
    node.member(member)
        .is_some_and(|entry| entry.is_active() || primary && entry.is_within_drain(limit, now))
        && node.evacuation_service(member, primary, now) != Service::None
}

/// What the members have answered in one round of attempts.
#[derive(Debug, Default)]
pub struct Round {
    /// The refusal of a queue with the shortest delay.
    no_slot: Option<NoSlot>,
    /// Whether a member has failed for another reason than a refusal that was known in advance.
    may_succeed: bool,
}

impl Round {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: &RunOutcome) {
        let Some(no_slot) = outcome.no_slot().filter(|no_slot| no_slot.is_expected) else {
            self.may_succeed = true;
            return;
        };
        let is_shorter = |known: NoSlot| no_slot.return_after < known.return_after;
        if self.no_slot.is_none_or(is_shorter) {
            self.no_slot = Some(no_slot);
        }
    }

    /// The refusal of the caller, when no member has a slot for its request within its limit.
    pub fn refusal(&self) -> Option<NoSlot> {
        self.no_slot.filter(|_| !self.may_succeed)
    }
}

/// Runs a single read, and tries other members when one fails.
pub async fn run<P>(node: &Rc<Node<P>>, req: &Rc<Request>) -> Answer
where
    P: Platform,
{
    let mut tried: Vec<MemberId> = Vec::new();
    let mut had_candidates = false;
    let mut busy = false;
    let mut round = Round::default();
    let mut is_first_round = true;
    loop {
        let now = node.now();
        if is_past_deadline(node, req, req.arrived) {
            let reason =
                if had_candidates { "no member answered" } else { "no member with recent data" };
            return refuse(node, req, reason, Cause::Failover, None);
        }
        let mut candidates = read_candidates(node, req);
        if candidates.is_empty() {
            let needs_primary = req.route.consistency == Consistency::Primary;
            if let Some(reason) = hopeless_reason(node, req, needs_primary) {
                return refuse(node, req, reason, Cause::Failover, None);
            }
            wait_for_change(node, req).await;
            continue;
        }
        candidates.retain(|candidate| !tried.contains(&candidate.member));
        let group = &req.route.group;
        node.outliers.order(group, &mut candidates, |candidate| &candidate.member, now);
        let Some(candidate) = candidates.first() else {
            let round = std::mem::take(&mut round);
            let refusal = round.refusal().filter(|_| !is_first_round);
            if refusal.is_some() || busy && now.since(req.arrived) >= capacity_wait(node, req) {
                let reason = "the members are at capacity";
                return refuse(node, req, reason, Cause::Capacity, refusal);
            }
            tried.clear();
            sleep(if is_first_round { RETRY_DELAY } else { retry_delay(node, req) }).await;
            is_first_round = false;
            continue;
        };
        let longest = max_connection_wait(node, req);
        let connection_wait =
            if is_first_round { longest.min(FIRST_CONNECTION_WAIT) } else { longest };
        had_candidates = true;
        let second = candidates.get(1);
        let wait = (connection_wait, !is_first_round);
        let (outcome, member) = attempt_hedged(node, req, candidate, second, wait).await;
        busy = outcome.is_busy();
        round.record(&outcome);
        if let Some(answer) = final_answer(node, req, outcome, &member) {
            return answer;
        }
        tried.push(member);
    }
}

/// The answer for the caller after an attempt; `None` when the read has to be tried again.
fn final_answer<P>(
    node: &Node<P>,
    req: &Request,
    outcome: RunOutcome,
    member: &MemberId,
) -> Option<Answer>
where
    P: Platform,
{
    let cause = match outcome {
        RunOutcome::Answered(answer) => match answer.code() {
            Some(code) if may_succeed_elsewhere(code) => code.as_str(),
            _ => return Some(answer),
        },
        RunOutcome::NotRun(code) => code.as_str(),
        RunOutcome::NoSlot(_) => "no_slot",
        RunOutcome::Unreachable => "unreachable",
        RunOutcome::ConnectionLost => "broken",
    };
    record_retry(node, &req.id, cause, member);
    None
}

/// Whether a read that failed with `code` may succeed at another member.
const fn may_succeed_elsewhere(code: Code) -> bool {
    code.is_safe_to_retry() || matches!(code, Code::Failed | Code::NoStatement)
}

type MemberOutcome = (RunOutcome, MemberId);

/// Runs a read at `first`, and at `second` as well when `first` does not answer in time. The first complete answer
/// counts.
async fn attempt_hedged<P>(
    node: &Rc<Node<P>>,
    req: &Rc<Request>,
    first: &Candidate,
    second: Option<&Candidate>,
    wait: (Duration, bool),
) -> MemberOutcome
where
    P: Platform,
{
    let mut running = boxed_attempt(node, req, first, wait);
    let Some(second) = second else { return running.await };
    // While a read may be waiting for a slot at a holder, it is not sent to a second member.
    let slot_wait = hedge_slot_wait(node, req, wait.0);
    if let Some(outcome) = within(HEDGE_AFTER + slot_wait, &mut running).await {
        return outcome;
    }
    record_retry(node, &req.id, "slow", &first.member);
    let hedge = boxed_attempt(node, req, second, wait);
    let (outcome, other) = match futures::future::select(running, hedge).await {
        futures::future::Either::Left(ended) | futures::future::Either::Right(ended) => ended,
    };
    if !matches!(outcome.0, RunOutcome::Answered(_)) {
        return other.await;
    }
    // The slower attempt runs to its end, so that its connection can be reused.
    node.spawn(other.map(|_| ()));
    outcome
}

fn boxed_attempt<P>(
    node: &Rc<Node<P>>,
    req: &Rc<Request>,
    candidate: &Candidate,
    wait: (Duration, bool),
) -> LocalBoxFuture<'static, MemberOutcome>
where
    P: Platform,
{
    let (node, req, candidate) = (node.clone(), req.clone(), candidate.clone());
    async move {
        let (connection_wait, is_final) = wait;
        let purpose = Purpose {
            member: &candidate.member,
            work: Work::Read,
            needs_primary: candidate.primary,
            since: req.arrived,
            connection_wait,
            is_final,
        };
        let attempt = request::attempt(&node, &req, &purpose);
        let outcome = try_member(&node, &req, &candidate, &attempt).await;
        (outcome, candidate.member)
    }
    .boxed_local()
}

async fn try_member<P>(
    node: &Node<P>,
    req: &Request,
    candidate: &Candidate,
    attempt: &Attempt,
) -> RunOutcome
where
    P: Platform,
{
    let mut channel = match request::open(node, req, &candidate.member, attempt).await {
        Ok(channel) => channel,
        Err(outcome) => return outcome,
    };
    let limit = node.limit_to_deadline(req.route.statement_timeout);
    let sent = node.now();
    // The time of a call includes the wait for a slot of the holder.
    let slow_after = match channel {
        Channel::Local(_) => HEDGE_AFTER,
        Channel::Remote(_) => Duration::MAX,
    };
    let running = channel.run(node, req.statement_run(candidate.after, limit, attempt));
    let outcome = poll_if_slow(node, req, &candidate.member, running).await;
    let now = node.now();
    let time = (now.since(sent), slow_after);
    node.outliers.record(&req.route.group, &candidate.member, &outcome, time, now);
    match outcome {
        RunOutcome::Answered(answer) if is_idle(&answer) => {
            record_answer(node, req, &candidate.member, answer.position, sent);
            if let Some(pool) = node.pool(&candidate.member) {
                pool.record_lagging(answer.code() == Some(Code::Lagging), node.now());
            }
            RunOutcome::Answered(answer)
        }
        RunOutcome::Answered(_) => RunOutcome::ConnectionLost,
        other => other,
    }
}
