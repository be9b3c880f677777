//! HTTP server of an instance: readiness, metrics, and the state of the store for other instances.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use hibiscusladder_core::{
    budget::{Activity, Origin},
    catch_up::TRANSFER_TIMEOUT,
};
use hibiscusladder_io::clock::{sleep, within};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use serde::Serialize;
use smol::{
    future::yield_now,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::FuturesIo;

use crate::{
    adapter::{Platform, PortError},
    events,
    ledger::Account,
    node::Node,
    peers::SEND_INTERVAL,
    relay::{DIRECTORY_PATH, MEMBERS_PATH, MembersPage, ROSTER_PATH, RosterPage},
    snapshot::Snapshot,
};

/// Path of the [`Snapshot`] for other instances.
pub const SNAPSHOT_PATH: &str = "/directory";
/// Largest header of a request; those of probes have some hundred bytes.
const MAX_HEADER_BYTES: usize = 8 << 10;
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Kind of page that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Page {
    /// Whether the instance is ready for new callers, at any path.
    Readiness,
    /// State of the store for other instances: a [`Snapshot`], or a page of [`crate::relay`].
    State,
    /// Metrics in the text format of Prometheus.
    Metrics,
}

/// Serves `page` at `listener` for as long as the process runs.
pub async fn serve<P>(node: Rc<Node<P>>, listener: TcpListener, page: Page)
where
    P: Platform,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(account) = node.ledger.open(Origin::Other, &stream) else { continue };
                node.spawn(serve_connection(node.clone(), stream, page, account));
                // A connection that was closed for this one is closed before the next is accepted.
                yield_now().await;
            }
            // File descriptors may be used up for a short time.
            Err(_) => sleep(SEND_INTERVAL).await,
        }
    }
}

async fn serve_connection<P>(node: Rc<Node<P>>, stream: TcpStream, page: Page, account: Account)
where
    P: Platform,
{
    let server = node.clone();
    let progress = account.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        // Begins the time anew for which the connection has been unfinished.
        progress.set_activity(Activity::Running);
        progress.set_activity(Activity::Unfinished);
        let answer = answer(&server, page, req.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut connection = hyper::server::conn::http1::Builder::new();
    connection.max_buf_size(MAX_HEADER_BYTES);
    let serving = connection.serve_connection(FuturesIo::new(stream), service);
    let serving = async {
        // An error affects only this connection; the client can send its request again.
        if page != Page::State {
            let _ = serving.await;
            return Ok(());
        }
        // Transfers that all share the link at once would all be late.
        let _transfer = node.transfers.acquire().await;
        let _ = within(TRANSFER_TIMEOUT, serving).await;
        Ok(())
    };
    // Pinned here, so that the future of each connection has room for it once only.
    if let Err(PortError::Limited(limit)) = account.unless_closed(std::pin::pin!(serving)).await {
        account.record_limited(limit);
    }
}

fn answer<P>(node: &Node<P>, page: Page, path: &str) -> Response<Full<Bytes>>
where
    P: Platform,
{
    match page {
        Page::Readiness if is_ready(node) => reply(StatusCode::OK, Bytes::new()),
        Page::Readiness => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Page::State if path == SNAPSHOT_PATH => encoded(Snapshot::capture(node)),
        Page::State if path == ROSTER_PATH => bytes(RosterPage::encode(node)),
        Page::State if path == MEMBERS_PATH => bytes(MembersPage::encode(node)),
        Page::State if path == DIRECTORY_PATH => {
            node.compressed_directory().map_or_else(unavailable, |body| reply(StatusCode::OK, body))
        }
        Page::Metrics if path == METRICS_PATH => metrics(node),
        Page::State | Page::Metrics => reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Whether the instance can serve new callers; an outage of the store does not matter once a configuration is in force and the
/// evacuated data centres are known.
fn is_ready<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    node.stopping_since().is_none()
        && node.directory().is_some()
        && node.evacuations.may_serve(node.now())
}

/// Answers with the state in `postcard` encoding, or that it is not known yet.
fn encoded<T>(state: Option<T>) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    bytes(state.and_then(|state| postcard::to_stdvec(&state).ok()))
}

fn bytes(body: Option<Vec<u8>>) -> Response<Full<Bytes>> {
    match body {
        Some(body) => reply(StatusCode::OK, Bytes::from(body)),
        None => unavailable(),
    }
}

fn unavailable() -> Response<Full<Bytes>> {
    reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
}

fn metrics<P>(node: &Node<P>) -> Response<Full<Bytes>>
where
    P: Platform,
{
    let claims = node.failover_claims.borrow();
    let (bytes, bytes_limit) = node.ledger.bytes();
    let (connections, connections_limit) = node.ledger.connections();
    let mut text = format!(
        "hibiscus_configuration_version {}\nhibiscus_sessions {}\nhibiscus_log_lines_dropped_total {}\n\
         hibiscus_priorities_enabled {}\nhibiscus_return_times_enabled {}\nhibiscus_waiting_requests {}\n\
         hibiscus_store_era {}\nhibiscus_store_restores_total {}\nhibiscus_store_answers_rejected_total {}\n\
         hibiscus_instances_kept {}\nhibiscus_configuration_unconfirmed {}\n\
         hibiscus_promotion_records {}\nhibiscus_promotion_records_lacking {}\nhibiscus_absent_logs {}\n\
         hibiscus_peer_bytes {bytes}\nhibiscus_peer_bytes_limit {bytes_limit}\n\
         hibiscus_peer_connections {connections}\nhibiscus_peer_connections_limit {connections_limit}\n",
        node.version(),
        node.sessions(),
        events::dropped(),
        u8::from(node.settings.priorities),
        u8::from(node.settings.return_times),
        node.waiting_requests(),
        node.store_era.known(),
        node.store_era.restores(),
        node.store_era.rejected(),
        node.peers.borrow().kept().len(),
        u8::from(node.has_unconfirmed_directory()),
        claims.known_records(),
        claims.lacking(node.instance(), node.store_era.known(), node.now()).len(),
        node.groups().iter().map(|group| group.view.borrow().absent_logs().len()).sum::<usize>(),
    );
    let written = node.evacuations.write_metrics(&mut text);
    let written = written.and_then(|()| node.succession.write_metrics(&mut text));
    let written = written.and_then(|()| node.cold.write(&mut text, node.now()));
    let written = written.and_then(|()| node.paces.write(&mut text));
    let written = written.and_then(|()| node.outliers.write(&mut text, node.now()));
    match written.and_then(|()| node.metrics.write(&mut text)) {
        Ok(()) => reply(StatusCode::OK, Bytes::from(text)),
        Err(_) => reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
