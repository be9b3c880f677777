//! Runs one instance: listeners, sessions and control tasks, on one thread.

use std::{io, rc::Rc, time::Duration};

use async_signal::{Signal, Signals};
use futures::StreamExt;
use hibiscusladder_core::{
    budget::Origin,
    shutdown::{Shutdown, ShutdownStep},
};
use hibiscusladder_io::clock::sleep;
use miette::Diagnostic;
use serde_json::json;
use smol::{
    LocalExecutor,
    net::{TcpListener, UdpSocket},
};
use thiserror::Error;

use crate::{
    adapter::{Collection, Platform},
    control, evacuations,
    events::{self, Event},
    group_logs, holder, listener, messenger,
    node::Node,
    promotion_records, session,
    settings::Settings,
    status_page::{self, Page},
    succession, sync,
};

/// Time in which the thread that writes log lines writes the last ones before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Reason why an instance could not start.
#[derive(Debug, Error, Diagnostic)]
pub enum ServeError {
    /// An address cannot be listened on.
    #[error("the address {address} for {purpose} cannot be used: {source}")]
    #[diagnostic(
        code(hibiscusladder::gateway::listen),
        help("end the process that listens there, or set another address")
    )]
    Listen {
        /// The configured address.
        address: std::net::SocketAddr,
        /// Purpose of the listener, for the message.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    #[diagnostic(code(hibiscusladder::gateway::signals), help("check the limits of the process"))]
    Signals(#[from] io::Error),
}

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// An address cannot be listened on, or signals cannot be received.
pub fn run<P>(settings: Settings, store: P::Store, promoter: P::Promoter) -> Result<(), ServeError>
where
    P: Platform,
{
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let datagrams = UdpSocket::bind(settings.peers).await;
        let datagrams = datagrams.map_err(|source| ServeError::Listen {
            address: settings.peers,
            purpose: "messages of other instances",
            source,
        })?;
        serve(Node::<P>::new(settings, store, promoter, datagrams, executor.clone())).await
    }))
}

async fn serve<P>(node: Rc<Node<P>>) -> Result<(), ServeError>
where
    P: Platform,
{
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let settings = &node.settings;
    let callers = listen(settings.callers, "callers").await?;
    let readiness = listen(settings.readiness, "readiness").await?;
    let metrics = listen(settings.metrics, "metrics").await?;
    let tunnels = listen(settings.tunnels, "calls of other instances").await?;
    let state = listen(settings.peers, "other instances").await?;
    events::log(
        Event::Started,
        json!({
            "instance": settings.instance.as_str(), "data_centre": settings.data_centre.as_str(),
            "callers": settings.callers.to_string(), "build": env!("CARGO_PKG_VERSION"),
        }),
    );
    node.supervise("callers", move |node| accept(node, callers.clone()));
    node.supervise("tunnels", move |node| holder::serve(node, tunnels.clone()));
    for (listener, page) in
        [(readiness, Page::Readiness), (metrics, Page::Metrics), (state, Page::State)]
    {
        node.supervise("pages", move |node| status_page::serve(node, listener.clone(), page));
    }
    for collection in [Collection::Configuration, Collection::Members] {
        node.supervise(collection.as_str(), move |node| sync::follow(node, collection));
    }
    if node.evacuations.is_enabled() {
        node.supervise("evacuations", evacuations::follow);
    }
    node.supervise("roster", sync::maintain_roster);
    node.supervise("registrations", sync::watch_registrations);
    node.supervise("hubs", succession::observe);
    node.supervise("succession", succession::run);
    node.supervise("store_era", sync::follow_restores);
    node.supervise("expiry", sync::expire_members);
    node.supervise("receiver", messenger::receive_all);
    node.supervise("sender", messenger::send_all);
    node.supervise("control", control::run);
    node.supervise("promotion records", promotion_records::run);
    node.supervise("group logs", group_logs::run);
    wait_for_end(&node, &mut signals).await;
    Ok(())
}

async fn listen(
    address: std::net::SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|source| ServeError::Listen {
        address,
        purpose,
        source,
    })
}

async fn accept<P>(node: Rc<Node<P>>, listener: TcpListener)
where
    P: Platform,
{
    let mut number = 0;
    listener::accept(node.clone(), listener, |stream| {
        number += 1;
        let Some(account) = node.ledger.open(Origin::Caller, &stream) else { return };
        // The process does not end between the acceptance of a caller and the start of its task.
        let guard = node.begin_session();
        node.spawn(session::serve(node.clone(), stream, number, account, guard));
    })
    .await;
}

/// Waits for a signal to stop, and then until the process may end.
async fn wait_for_end<P>(node: &Node<P>, signals: &mut Signals)
where
    P: Platform,
{
    while let Some(signal) = signals.next().await {
        // A reload changes nothing: the settings contain addresses and limits that a running process cannot change.
        if !matches!(signal, Ok(Signal::Hup)) {
            break;
        }
        events::log(Event::Reloaded, json!({ "changed": false }));
    }
    events::log(Event::Stopping, json!({ "sessions": node.sessions() }));
    let mut shutdown = Shutdown::new(node.begin_stop());
    loop {
        match shutdown.step(node.open(), node.now()) {
            ShutdownStep::Wait(until) => node.wait_for_closing(until.since(node.now())).await,
            ShutdownStep::CloseListeners => node.close_listeners(),
            ShutdownStep::End => break,
        }
    }
    events::log(Event::Stopped, json!({ "sessions": node.sessions() }));
    events::flush();
    sleep(FLUSH_TIME).await;
}
