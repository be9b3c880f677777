//! The connection of a caller, from its first message to its end.

use std::{rc::Rc, time::Duration};

use futures::FutureExt;
use hibiscusladder_core::{budget::Activity, clock::Instant};
use hibiscusladder_io::clock::{sleep, within};
use serde_json::json;
use smol::net::TcpStream;

use crate::{
    adapter::{CallerMessage, CallerPort, Handshake, Platform, PortError},
    events::{self, Event},
    in_flight::InFlightGuard,
    ledger::{Account, Limit},
    metrics::Counter,
    model::{Code, Failure, TransactionState},
    node::Node,
    operation::{Session, authorise},
};

/// Longest wait of a new caller for the first configuration and evacuations; callers give up after 2 s.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1500);
/// Time between two checks for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the start of a stop until idle sessions are closed; two readiness probes have failed by then.
const CLOSE_AFTER: Duration = Duration::from_millis(2300);
/// Upper limit of the jitter in the closing of idle sessions, so that callers do not all reconnect at once.
const CLOSE_JITTER: Duration = Duration::from_millis(800);
/// Time for which a session has to have been idle before it is closed.
const CLOSE_IDLE: Duration = Duration::from_millis(60);

/// Serves a caller until it disconnects or the instance stops.
///
/// `number` is the number of the connection, from which the jitter in the closing of idle sessions is derived. The
/// process does not end while `_guard` lives.
pub async fn serve<P>(
    node: Rc<Node<P>>,
    stream: TcpStream,
    number: u64,
    account: Account,
    _guard: InFlightGuard,
) where
    P: Platform,
{
    let mut port = P::Caller::new(stream, account.clone(), &node.settings.peer_limits);
    let Some(handshake) = read_handshake(&node, &mut port, &account).await else { return };
    if let Err(failure) = check_handshake(&node, &handshake).await {
        node.metrics.count(Counter::Sessions, failure.code.as_str());
        events::log(
            Event::RequestRefused,
            json!({
                "database": handshake.database.as_str(), "code": failure.code.as_str(),
                "reason": failure.detail, "version": node.version(),
            }),
        );
        // The caller may have disconnected already.
        let _ = port.reject(&failure).await;
        return;
    }
    node.metrics.count(Counter::Sessions, "accepted");
    if port.accept().await.is_err() {
        return;
    }
    let mut session = Session::new(node.clone(), handshake.database, handshake.key, &account);
    let serving = serve_requests(&node, &mut port, &mut session, &account, number);
    // Pinned here, so that the future of each session has room for it once only.
    let ended = account.unless_closed(std::pin::pin!(serving)).await;
    session.abort("the caller left");
    match ended {
        Ok(()) | Err(PortError::Closed | PortError::Io(_)) => {}
        Err(PortError::Limited(limit)) => account.record_limited(limit),
        Err(error) => reject_message(&mut port, &error).await,
    }
}

/// Reads the first message of a caller; `None` when the connection is to be closed.
async fn read_handshake<P>(
    node: &Node<P>,
    port: &mut P::Caller,
    account: &Account,
) -> Option<Handshake>
where
    P: Platform,
{
    let reading = within(node.settings.peer_limits.first_message, port.read_handshake());
    let reading = async { reading.await.unwrap_or(Err(PortError::Limited(Limit::FirstMessage))) };
    let read = account.unless_closed(reading).await;
    if let Err(PortError::Limited(limit)) = read {
        account.record_limited(limit);
    }
    read.ok()
}

async fn check_handshake<P>(node: &Rc<Node<P>>, handshake: &Handshake) -> Result<(), Failure>
where
    P: Platform,
{
    let configured = async {
        while node.directory().is_none() || !node.evacuations.may_serve(node.now()) {
            sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
    };
    within(node.limit_to_deadline(CONFIGURATION_WAIT), configured).await;
    // A caller that opens a session has no request yet, so its time of arrival spreads the delays.
    let id = node.now().since_origin().as_nanos().to_string();
    authorise(node, &handshake.database, &handshake.key, &id).map(|_| ())
}

async fn reject_message<C>(port: &mut C, error: &PortError)
where
    C: CallerPort,
{
    let code = match error {
        PortError::TooLong { .. } => Code::TooBig,
        _ => Code::Malformed,
    };
    events::log(Event::SessionEnded, json!({ "code": code.as_str(), "reason": error.to_string() }));
    // The caller may have disconnected already.
    let _ = port.reject(&Failure::new(code, error.to_string())).await;
}

async fn serve_requests<P>(
    node: &Rc<Node<P>>,
    port: &mut P::Caller,
    session: &mut Session<P>,
    account: &Account,
    number: u64,
) -> Result<(), PortError>
where
    P: Platform,
{
    loop {
        let message = match session.state() {
            TransactionState::Idle => match next_or_close(node, port, number).await? {
                Some(message) => message,
                None => return Ok(()),
            },
            TransactionState::Open => next_in_transaction(node, port, session, account).await?,
            TransactionState::Failed => {
                // Only the caller can end a failed transaction.
                account.set_activity(Activity::Unfinished);
                port.next().await?
            }
        };
        let CallerMessage::Query(query) = message else { return Ok(()) };
        let arrived = node.now();
        // The state of a running request is large, so that idle sessions are kept without it.
        let answer = Box::pin(session.handle(query, arrived)).await;
        let code = answer.code();
        port.answer(answer).await?;
        if code == Some(Code::NoAuth) {
            return Ok(());
        }
    }
}

/// The next message of a session outside a transaction; `None` when the session is to be closed.
async fn next_or_close<P>(
    node: &Rc<Node<P>>,
    port: &mut P::Caller,
    number: u64,
) -> Result<Option<CallerMessage>, PortError>
where
    P: Platform,
{
    let idle_since = node.now();
    let closing = async {
        node.wait_for_stop().await;
        sleep(close_wait(node, number, idle_since)).await;
    };
    futures::select_biased! {
        message = port.next().fuse() => return message.map(Some),
        () = closing.fuse() => {}
    }
    if port.has_pending() {
        return port.next().await.map(Some);
    }
    Ok(None)
}

/// Time until an idle session may be closed; sessions are closed one after the other.
fn close_wait<P>(node: &Node<P>, number: u64, idle_since: Instant) -> Duration
where
    P: Platform,
{
    let stopping_since = node.stopping_since().unwrap_or_default();
    let jitter = CLOSE_JITTER * u32::try_from(number % 16).unwrap_or(0) / 16;
    let due = stopping_since.plus(CLOSE_AFTER + jitter).max(idle_since.plus(CLOSE_IDLE));
    due.since(node.now())
}

/// The next message of a session in a transaction. The transaction is rolled back when the caller is idle for too long,
/// or when half of the grace time of a stop is over.
async fn next_in_transaction<P>(
    node: &Rc<Node<P>>,
    port: &mut P::Caller,
    session: &mut Session<P>,
    account: &Account,
) -> Result<CallerMessage, PortError>
where
    P: Platform,
{
    let idle = node.directory().map_or(Duration::MAX, |directory| directory.transaction_idle);
    let half_grace = async {
        node.wait_for_stop().await;
        sleep(node.transaction_time()).await;
    };
    let reason = futures::select_biased! {
        message = port.next().fuse() => return message,
        () = sleep(idle).fuse() => "idle for too long",
        () = half_grace.fuse() => "the instance stops",
    };
    session.abort(reason);
    account.set_activity(Activity::Unfinished);
    port.next().await
}
