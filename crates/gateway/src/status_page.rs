//! HTTP server of an instance: readiness, metrics, and the state of the store for other instances.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use hibiscusladder_io::clock::sleep;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::{adapter::Platform, events, node::Node, peers::SEND_INTERVAL, snapshot::Snapshot};

/// Path of the [`Snapshot`] for other instances.
pub const SNAPSHOT_PATH: &str = "/directory";
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Kind of page that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Page {
    /// Whether the instance is ready for new callers, at any path.
    Readiness,
    /// The [`Snapshot`] for other instances.
    Snapshot,
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
                let serving = serve_connection(node.clone(), stream, page);
                node.spawn(serving);
            }
            // File descriptors may be used up for a short time.
            Err(_) => sleep(SEND_INTERVAL).await,
        }
    }
}

async fn serve_connection<P>(node: Rc<Node<P>>, stream: TcpStream, page: Page)
where
    P: Platform,
{
    let service = service_fn(move |req: Request<Incoming>| {
        let answer = answer(&node, page, req.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = hyper::server::conn::http1::Builder::new();
    // An error affects only this connection; the client can send its request again.
    let _ = connection.serve_connection(FuturesIo::new(stream), service).await;
}

fn answer<P>(node: &Node<P>, page: Page, path: &str) -> Response<Full<Bytes>>
where
    P: Platform,
{
    match page {
        Page::Readiness if is_ready(node) => reply(StatusCode::OK, Bytes::new()),
        Page::Readiness => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Page::Snapshot if path == SNAPSHOT_PATH => snapshot(node),
        Page::Metrics if path == METRICS_PATH => metrics(node),
        Page::Snapshot | Page::Metrics => reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Whether the instance can serve new callers; an outage of the store does not matter once a configuration is in force.
fn is_ready<P>(node: &Node<P>) -> bool
where
    P: Platform,
{
    node.stopping_since().is_none() && node.directory().is_some()
}

fn snapshot<P>(node: &Node<P>) -> Response<Full<Bytes>>
where
    P: Platform,
{
    let body = Snapshot::capture(node).and_then(|snapshot| postcard::to_stdvec(&snapshot).ok());
    match body {
        Some(body) => reply(StatusCode::OK, Bytes::from(body)),
        None => reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

fn metrics<P>(node: &Node<P>) -> Response<Full<Bytes>>
where
    P: Platform,
{
    let mut text = format!(
        "hibiscus_configuration_version {}\nhibiscus_sessions {}\nhibiscus_log_lines_dropped_total {}\n",
        node.version(),
        node.sessions(),
        events::dropped(),
    );
    match node.metrics.write(&mut text) {
        Ok(()) => reply(StatusCode::OK, Bytes::from(text)),
        Err(_) => reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
