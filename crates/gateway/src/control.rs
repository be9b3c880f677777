//! Control of failovers: detects primaries that have to be replaced, decides which instance starts a failover, and
//! executes its steps.

mod steps;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use hibiscusladder_core::{
    clock::Instant,
    name::{Group, MemberId},
    position::Term,
    roster::FleetRole,
    sync_group::{
        COMMAND_TIMEOUT, FailoverAction, MemberStatus, OrphanDetector, Role, SUSPICION_TIMEOUT,
        Trigger,
    },
};
use hibiscusladder_io::clock::within;
use serde_json::json;

use crate::{
    adapter::Platform,
    events::{self, Event},
    group_state::GroupState,
    metrics::Counter,
    monitor::{self, ControlError},
    node::Node,
    tunnel::ControlCommand,
};

/// Longest time between two evaluations of all groups.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between the starts of two instances that are next to each other in the order of candidates.
const CANDIDATE_DELAY: Duration = Duration::from_millis(700);
/// Number of consecutive writes without an answer, and the least time since the first of them, after which a primary
/// counts as stalled.
const STALLED_AFTER: (u32, Duration) = (3, Duration::from_millis(1000));
/// Time between two demote commands to a replaced primary.
const DEMOTE_INTERVAL: Duration = Duration::from_secs(1);

/// Failover state of one group that is kept from one evaluation to the next.
#[derive(Debug, Default)]
struct FailoverContext {
    suspected: Option<(Trigger, Instant)>,
    orphans: OrphanDetector,
    demoted: BTreeMap<MemberId, Instant>,
    /// Members with a command that has not been answered.
    unanswered: Rc<RefCell<BTreeSet<MemberId>>>,
}

/// A command without an answer; it ends with its task, whatever the reason.
struct Unanswered {
    members: Rc<RefCell<BTreeSet<MemberId>>>,
    member: MemberId,
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.members.borrow_mut().remove(&self.member);
    }
}

/// Polls the members of all groups and, at hubs, evaluates the groups, until the instance begins to stop.
///
/// A failover that is running then is carried to its end: the replicas may hold the next term already, so that nobody
/// else could commit or promote until the term counts as orphaned.
pub async fn run<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut contexts: BTreeMap<Group, FailoverContext> = BTreeMap::new();
    // Keeps the process running while a failover runs.
    let mut guard = None;
    loop {
        within(STEP_INTERVAL, node.evaluate_now.listen()).await;
        let is_running = |group: &Rc<GroupState>| !group.failover.borrow().is_idle();
        let any_running = node.groups().iter().any(is_running);
        guard = any_running.then(|| guard.take().unwrap_or_else(|| node.begin_session()));
        let is_stopping = node.stopping_since().is_some();
        if is_stopping && !any_running {
            return;
        }
        // A failover of an instance that cannot know this one yet would not wait for its proofs to run out.
        if !node.roster.borrow().is_registered() {
            continue;
        }
        let role = node.role();
        for group in node.groups() {
            group.observe_logs(node.now());
            monitor::send_due_polls(&node, &group, role, node.now());
            if role != FleetRole::Hub || is_stopping && !is_running(&group) {
                continue;
            }
            let cx = contexts.entry(group.name.clone()).or_default();
            evaluate(&node, &group, cx);
        }
    }
}

fn evaluate<P>(node: &Rc<Node<P>>, group: &Rc<GroupState>, cx: &mut FailoverContext)
where
    P: Platform,
{
    let now = node.now();
    record_leader_state(group, cx, now);
    let running = group.failover.borrow().is_running();
    if !running {
        start_if_due(node, group, cx, now);
        demote_replaced(node, group, cx, now);
    }
    let excluded = node.members_not_promoted(&group.name, &group.view.borrow());
    steps::observe_era(node, group);
    let fence = group.failover.borrow().fence();
    let held_since = group.failover.borrow().held_since();
    let actions = {
        let view = group.view.borrow();
        let mut failover = group.failover.borrow_mut();
        let confirmed = fence.is_some_and(|(term, _)| {
            // Confirmations count only where every other instance is known and sends to this one: not before the
            // instances were listed after the hold, and not in a larger fleet.
            held_since.is_some_and(|since| node.roster.borrow().is_listed_since(since))
                && node.topology().is_flat()
                && node.peers.borrow().all_confirmed(group.name.as_str(), term.0, now)
        });
        failover.step(&view, &excluded, confirmed, now)
    };
    if held_since.is_none() && group.failover.borrow().held_since().is_some() {
        node.roster.borrow_mut().list_now();
        node.roster_changed.notify(usize::MAX);
    }
    apply_fence(node, group, fence, now);
    for action in actions {
        execute_action(node, group, cx, action);
    }
}

/// Applies the fence of this instance's own failover to its view, and has messages sent at once when the fence has
/// changed.
fn apply_fence<P>(node: &Node<P>, group: &GroupState, before: Option<(Term, bool)>, now: Instant)
where
    P: Platform,
{
    let fence = group.failover.borrow().fence();
    if let Some((term, held)) = fence {
        let mut view = group.view.borrow_mut();
        view.fence(term, now);
        if held {
            view.replicas_hold(term, now);
        }
    }
    if fence != before {
        node.announce();
        group.log_leader_change(None, now);
    }
}

fn record_leader_state(group: &GroupState, cx: &mut FailoverContext, now: Instant) {
    cx.orphans.observe(&group.view.borrow(), now);
    let leaderless = {
        let view = group.view.borrow();
        view.leader(now).is_none() && view.members().any(|member| view.status(member).is_some())
    };
    let since = group.leaderless_since.get();
    group.leaderless_since.set(leaderless.then(|| since.unwrap_or(now)));
}

/// Starts a failover when there is a trigger and this instance's start delay is over.
fn start_if_due<P>(
    node: &Rc<Node<P>>,
    group: &Rc<GroupState>,
    cx: &mut FailoverContext,
    now: Instant,
) where
    P: Platform,
{
    let Some(trigger) = trigger(node, group, cx, now) else {
        cx.suspected = None;
        return;
    };
    let since = match cx.suspected {
        Some((previous, since)) if previous == trigger => since,
        _ => {
            cx.suspected = Some((trigger, now));
            now
        }
    };
    let start_delay = CANDIDATE_DELAY * candidate_rank(node, group, now);
    // An instance that does not know the others cannot announce the failover to them.
    if now.since(since) < start_delay
        || !node.knows_fleet()
        || !enough_suspect(node, group, trigger, now)
    {
        return;
    }
    let started = group.failover.borrow_mut().start(trigger, &group.view.borrow(), now);
    if started {
        events::log(
            Event::FailoverStarted,
            json!({
                "group": group.name.as_str(), "trigger": trigger.as_str(),
                "term": group.view.borrow().leader_term().0,
                "suspected_ms": crate::events::millis(now.since(since)),
            }),
        );
    }
}

fn trigger<P>(
    node: &Node<P>,
    group: &GroupState,
    cx: &FailoverContext,
    now: Instant,
) -> Option<Trigger>
where
    P: Platform,
{
    let view = group.view.borrow();
    if cx.orphans.is_fenced() {
        return cx.orphans.is_orphaned(now).then_some(Trigger::Orphaned);
    }
    let Some(leader) = view.leader(now) else {
        // After a start the primary may not have answered yet.
        let since = group.leaderless_since.get();
        return since
            .is_some_and(|since| now.since(since) >= SUSPICION_TIMEOUT)
            .then_some(Trigger::Silent);
    };
    if node.member(&leader.member).is_some_and(|member| !member.is_active()) {
        let successor = view.members().any(|member| {
            *member != leader.member && node.member(member).is_some_and(|entry| entry.is_active())
        });
        return successor.then_some(Trigger::Leaving);
    }
    if view.unanswered_for(&leader.member, now) >= SUSPICION_TIMEOUT {
        return Some(Trigger::Silent);
    }
    if node.is_evacuated_primary(&leader.member) {
        return Some(Trigger::Evacuated);
    }
    let (count, span) = STALLED_AFTER;
    let unanswered_writes = group.unanswered_writes.get();
    unanswered_writes
        .is_some_and(|(writes, since)| writes >= count && now.since(since) >= span)
        .then_some(Trigger::Stalled)
}

/// Position of this instance in the order of candidates that may start a failover. The latest claimant comes first,
/// because it does not have to wait until its own claim has ended.
fn candidate_rank<P>(node: &Node<P>, group: &GroupState, now: Instant) -> u32
where
    P: Platform,
{
    let failover_claims = node.failover_claims.borrow();
    let claimant = failover_claims.claimant(&group.name);
    if claimant == Some(node.instance()) {
        return 0;
    }
    let claimant_lives =
        claimant.is_some_and(|claimant| node.peers.borrow().live(now).contains(claimant));
    let hub_rank = monitor::hub_rank(node, group.name.as_str(), now);
    u32::try_from(hub_rank).unwrap_or(u32::MAX).saturating_add(u32::from(claimant_lives))
}

/// Whether at least half of the live hubs, this one included, suspect the primary. With three or more live hubs, one
/// that alone cannot reach the primary must not replace it.
fn enough_suspect<P>(node: &Node<P>, group: &GroupState, trigger: Trigger, now: Instant) -> bool
where
    P: Platform,
{
    if trigger.is_planned() || trigger == Trigger::Orphaned {
        return true;
    }
    let term = group.view.borrow().leader_term().0;
    let topology = node.topology();
    let peers = node.peers.borrow();
    let others = || topology.hubs().filter(|hub| *hub != node.instance());
    let live = 1 + others().filter(|hub| peers.is_live(hub, now)).count();
    let suspecting = 1 + peers.suspecting(others(), group.name.as_str(), term, now);
    2 * suspecting >= live
}

/// Term of the group's primary if this instance suspects it, for the messages to other instances.
pub fn suspected_term<P>(node: &Node<P>, group: &GroupState, now: Instant) -> Option<Term>
where
    P: Platform,
{
    let trigger = trigger(node, group, &FailoverContext::default(), now)?;
    let is_suspicion = matches!(trigger, Trigger::Silent | Trigger::Stalled);
    is_suspicion.then(|| group.view.borrow().leader_term())
}

/// Demotes primaries of lower terms, which do not notice that they were replaced while they are cut off from the new
/// primary.
fn demote_replaced<P>(
    node: &Rc<Node<P>>,
    group: &Rc<GroupState>,
    cx: &mut FailoverContext,
    now: Instant,
) where
    P: Platform,
{
    let view = group.view.borrow();
    let Some(leader) = view.leader(now) else { return };
    let replaced = view.members().filter(|member| {
        let status = view.status(member);
        status.is_some_and(|status| status.role == Role::Primary && status.term < leader.term)
    });
    for member in replaced {
        let due = cx.demoted.get(member).is_none_or(|last| now.since(*last) >= DEMOTE_INTERVAL);
        if due {
            cx.demoted.insert(member.clone(), now);
            // It does no harm whenever it arrives, as the term has a primary.
            let demote = ControlCommand::Demote(leader.term.0);
            send_command(node, group, cx, member.clone(), demote, None);
        }
    }
}

const fn command_name(command: ControlCommand) -> &'static str {
    match command {
        ControlCommand::Status => "status",
        ControlCommand::Hold(_) => "hold",
        ControlCommand::Resume => "resume",
        ControlCommand::Demote(_) => "demote",
    }
}

fn execute_action<P>(
    node: &Rc<Node<P>>,
    group: &Rc<GroupState>,
    cx: &mut FailoverContext,
    action: FailoverAction,
) where
    P: Platform,
{
    match action {
        FailoverAction::Claim { term } => {
            let (node, group) = (node.clone(), group.clone());
            node.clone().spawn(async move { steps::claim(&node, &group, term).await });
        }
        FailoverAction::Hold { member, term } => {
            let until = group.failover.borrow().grant().map(|grant| grant.until);
            send_command(node, group, cx, member, ControlCommand::Hold(term.0), until);
        }
        FailoverAction::Demote { member, term } => {
            let until = group.failover.borrow().grant().map(|grant| grant.until);
            send_command(node, group, cx, member, ControlCommand::Demote(term.0), until);
        }
        FailoverAction::Resume { member } => {
            let until = group.failover.borrow().grant().map(|grant| grant.until);
            send_command(node, group, cx, member, ControlCommand::Resume, until);
        }
        FailoverAction::Renew { promotion } => {
            let (node, group) = (node.clone(), group.clone());
            node.clone().spawn(async move { steps::renew(&node, &group, promotion).await });
        }
        FailoverAction::Promote { member, grant } => {
            let (node, group) = (node.clone(), group.clone());
            node.clone().spawn(async move { steps::promote(&node, &group, &member, grant).await });
        }
        FailoverAction::Repaired => {
            cx.suspected = None;
            node.metrics.count(Counter::Failovers, "repaired");
            log_end(group, "repaired");
        }
        FailoverAction::Ended { replaced } => {
            group.unanswered_writes.set(None);
            cx.suspected = None;
            if !replaced {
                let mut view = group.view.borrow_mut();
                let term = group.failover.borrow().target_term();
                view.failover_abandoned(term);
            }
            node.send_now.notify(usize::MAX);
            let label = if replaced { "replaced" } else { "abandoned" };
            node.metrics.count(Counter::Failovers, label);
            log_end(group, label);
            group.notify();
        }
    }
}

fn log_end(group: &GroupState, outcome: &str) {
    let term = group.view.borrow().leader_term().0;
    let fields = json!({ "group": group.name.as_str(), "outcome": outcome, "term": term });
    events::log(Event::FailoverEnded, fields);
}

/// Sends a command unless an earlier one to the member is still unanswered. It does not arrive after `until`, the end of
/// the claim for a command of a failover, nor later than [`COMMAND_TIMEOUT`] from now.
fn send_command<P>(
    node: &Rc<Node<P>>,
    group: &Rc<GroupState>,
    cx: &FailoverContext,
    member: MemberId,
    command: ControlCommand,
    until: Option<Instant>,
) where
    P: Platform,
{
    if !cx.unanswered.borrow_mut().insert(member.clone()) {
        return;
    }
    let unanswered = Unanswered { members: cx.unanswered.clone(), member: member.clone() };
    let (node, group) = (node.clone(), group.clone());
    let longest = node.now().plus(COMMAND_TIMEOUT);
    let until = Some(until.map_or(longest, |until| until.min(longest)));
    node.clone().spawn(async move {
        let answered = monitor::send_control(&node, &group, &member, command, until).await;
        drop(unanswered);
        log_step(&group, command, &member, &answered);
        node.evaluate_now.notify(usize::MAX);
    });
}

fn log_step(
    group: &GroupState,
    command: ControlCommand,
    member: &MemberId,
    answered: &Result<MemberStatus, ControlError>,
) {
    let outcome = match answered {
        Ok(status) => format!("received {}, holds {}", status.received, status.held),
        Err(error) => format!("no answer ({error:?})"),
    };
    events::log(
        Event::FailoverStep,
        json!({
            "group": group.name.as_str(), "step": command_name(command),
            "member": member.as_str(), "outcome": outcome,
        }),
    );
}
