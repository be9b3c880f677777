//! HTTP server of the health address: whether the instance accepts clients, and its status as JSON.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;

use super::report;
use crate::{clock::sleep, node::Node, platform::PlatformClient};

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers `GET /health` and `GET /status` until the task is cancelled.
pub(crate) async fn run(node: Arc<Node>, platform: PlatformClient, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (node, platform) = (Arc::clone(&node), platform.clone());
                let service = service_fn(move |req| {
                    let answer = answer(&req, &node, &platform);
                    async move { Ok::<_, Infallible>(answer) }
                });
                smol::spawn(async move {
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(FuturesIo::new(stream), service);
                    // A client that closes the connection early is not an error of this instance.
                    let _ = connection.await;
                })
                .detach();
            }
            Err(error) => pause(&error).await,
        }
    }
}

async fn pause(error: &io::Error) {
    spdlog::warn!("platform: accepting a connection at the health address failed: {error}");
    sleep(ACCEPT_RETRY_DELAY).await;
}

fn answer(
    req: &Request<Incoming>,
    node: &Node,
    platform: &PlatformClient,
) -> Response<Full<Bytes>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/" | "/health") => match not_ready(node) {
            None => text(StatusCode::OK, "ready\n"),
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
        },
        (&Method::GET, "/status") => {
            let mut response =
                text(StatusCode::OK, &format!("{}\n", report::status(node, platform)));
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        _ => text(StatusCode::NOT_FOUND, "use /health or /status\n"),
    }
}

/// Reason for which the instance should get no clients; `None` when it is ready.
fn not_ready(node: &Node) -> Option<&'static str> {
    if node.is_draining() {
        return Some("leaving\n");
    }
    if node.config_revision() == 0 {
        return Some("no configuration yet\n");
    }
    None
}

fn text(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
