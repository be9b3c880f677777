//! Serves the calls of other instances on the connections that this instance holds.

use std::{io, rc::Rc, time::Duration};

use hibiscusladder_core::{
    budget::Origin,
    clock::Instant,
    name::{MemberId, Workspace},
    sync_group::{MemberStatus, Role},
};
use smol::{
    future::FutureExt,
    net::{TcpListener, TcpStream},
};

use crate::{
    acquisition,
    adapter::{Platform, PortError},
    channel::{RunOutcome, StatementRun, roll_back, run_local},
    lease::Lease,
    ledger::Account,
    listener,
    message::{SectionKind, Sections},
    model::{Code, TransactionState},
    monitor,
    node::Node,
    tunnel::{Call, ControlCommand, FrameStream, RemoteStatus, Reply, RunCall, position},
    urgency::{self, CallUrgency, SlotRequest},
};

/// Time from the start of a stop after which new work is refused, so that it goes to another holder.
const REFUSE_AFTER: Duration = Duration::from_millis(300);

/// Accepts tunnels until the stop of the instance closes its listeners.
pub async fn serve<P>(node: Rc<Node<P>>, listener: TcpListener)
where
    P: Platform,
{
    listener::accept(node.clone(), listener, |stream| {
        let Some(account) = node.ledger.open(Origin::Other, &stream) else { return };
        node.spawn(serve_tunnel(node.clone(), stream, account));
    })
    .await;
}

async fn serve_tunnel<P>(node: Rc<Node<P>>, stream: TcpStream, account: Account)
where
    P: Platform,
{
    let frames = FrameStream::new(stream, &account).with_limits(node.settings.peer_limits);
    let serving = async {
        serve_calls(&node, frames).await;
        Ok(())
    };
    // Pinned here, so that the future of each tunnel has room for it once only.
    if let Err(PortError::Limited(limit)) = account.unless_closed(std::pin::pin!(serving)).await {
        account.record_limited(limit);
    }
}

async fn serve_calls<P>(node: &Rc<Node<P>>, mut frames: FrameStream)
where
    P: Platform,
{
    let mut open_transaction: Option<Lease<P>> = None;
    // Keeps the process running while a call runs or a transaction is open.
    let mut guard = None;
    loop {
        let is_idle = open_transaction.is_none();
        let closing = async {
            if !is_idle {
                return smol::future::pending().await;
            }
            node.wait_for_closed_listeners().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        // The other instance has closed the tunnel or has failed, or this one takes no new calls. Dropping the lease
        // rolls an open transaction back.
        let Ok((call, sections)) = frames.receive::<Call>().or(closing).await else { return };
        guard.get_or_insert_with(|| node.begin_session());
        let mut reply_sections = Sections::default();
        let reply = match call {
            Call::Run(call) => {
                let urgency = sections.get(SectionKind::Urgency);
                let outcome =
                    run_statement(node, &frames, &mut open_transaction, &call, urgency).await;
                if let RunOutcome::NoSlot(no_slot) = &outcome {
                    // A number cannot fail to be encoded.
                    let _ = reply_sections.insert(SectionKind::NoSlot, no_slot);
                }
                to_reply(outcome)
            }
            Call::Rollback { request } => {
                if let Some(lease) = open_transaction.take() {
                    roll_back(lease, request).await;
                }
                Reply::NotRun(Code::Aborted)
            }
            Call::Control { member, command } => {
                Reply::Status(send_command(node, &frames, &MemberId::new(&member), command).await)
            }
        };
        // The other instance opens its next tunnel elsewhere, so that no call is on its way when the process ends.
        let is_closing = is_refusing(node, node.now()) && open_transaction.is_none();
        let sent = frames.send(&reply, &reply_sections).await;
        if open_transaction.is_none() {
            guard = None;
        }
        if sent.is_err() || is_closing {
            return;
        }
    }
}

/// Runs a statement, unless the other instance has given the call up by the time at which it can be sent.
async fn run_statement<P>(
    node: &Rc<Node<P>>,
    frames: &FrameStream,
    open_transaction: &mut Option<Lease<P>>,
    call: &RunCall,
    urgency: Option<CallUrgency>,
) -> RunOutcome
where
    P: Platform,
{
    let limit = Duration::from_micros(call.limit);
    let until = node.now().plus(limit);
    let mut lease = match open_transaction.take() {
        Some(lease) => lease,
        None => match acquire(node, call, urgency).await {
            Ok(lease) => lease,
            Err(outcome) => return outcome,
        },
    };
    if frames.is_stale() {
        return RunOutcome::Unreachable;
    }
    let run = StatementRun {
        id: &call.id,
        payload: &call.statement,
        values: &call.values,
        after: call.after.map(position),
        limit: until.since(node.now()),
        connection_wait: Duration::ZERO,
        urgency: None,
    };
    let outcome = run_local(&mut lease, run).await;
    if matches!(&outcome, RunOutcome::Answered(answer) if answer.state != TransactionState::Idle) {
        *open_transaction = Some(lease);
    }
    outcome
}

fn to_reply(outcome: RunOutcome) -> Reply {
    match outcome {
        RunOutcome::Answered(answer) => Reply::Answered(answer.into()),
        RunOutcome::NotRun(code) => Reply::NotRun(code),
        // An earlier version sees the code only.
        RunOutcome::NoSlot(_) => Reply::NotRun(Code::TooMany),
        RunOutcome::Unreachable => Reply::Unreachable,
        RunOutcome::ConnectionLost => Reply::ConnectionLost,
    }
}

async fn acquire<P>(
    node: &Rc<Node<P>>,
    call: &RunCall,
    urgency: Option<CallUrgency>,
) -> Result<Lease<P>, RunOutcome>
where
    P: Platform,
{
    let now = node.now();
    if is_refusing(node, now) {
        return Err(RunOutcome::Unreachable);
    }
    let pool = node.pool(&MemberId::new(&call.member)).ok_or(RunOutcome::Unreachable)?;
    let workspace = Workspace::new(&call.workspace);
    let request = SlotRequest {
        workspace: &workspace,
        contract: node.contract_share(&workspace),
        urgency: urgency.filter(|_| node.settings.priorities),
        jitter: urgency::jitter(&call.id),
        until: now.plus(Duration::from_micros(call.connection_wait)),
    };
    acquisition::acquire(node, &pool, &request, &call.values).await.map_err(RunOutcome::from)
}

fn is_refusing<P>(node: &Node<P>, now: Instant) -> bool
where
    P: Platform,
{
    node.stopping_since().is_some_and(|since| now.since(since) >= REFUSE_AFTER)
}

async fn send_command<P>(
    node: &Rc<Node<P>>,
    frames: &FrameStream,
    member: &MemberId,
    command: ControlCommand,
) -> Option<RemoteStatus>
where
    P: Platform,
{
    let pool = node.pool(member)?;
    let command = monitor::member_command(command);
    let is_wanted = || !frames.is_stale();
    let status = monitor::send_control_locally(node, &pool, command, is_wanted).await.ok()?;
    Some(remote_status(&status))
}

fn remote_status(status: &MemberStatus) -> RemoteStatus {
    RemoteStatus {
        primary: status.role == Role::Primary,
        term: status.term.0,
        received: (status.received.term.0, status.received.lsn.0),
        held: status.held.0,
        lag: u64::try_from(status.lag.as_micros()).unwrap_or(u64::MAX),
        connections: status.connections,
    }
}
