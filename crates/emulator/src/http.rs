//! HTTP/1.1 server that both emulators use, with JSON requests and responses.

use std::{io, sync::Weak};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use serde::{Serialize, de::DeserializeOwned};
use smol::{
    Executor,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::runtime::spawn_on;

/// Body of a response.
pub(crate) type Body = Full<Bytes>;

/// Result of a request: a response, or [`HangUp`] to close the connection without one.
pub(crate) type Reply = Result<Response<Body>, HangUp>;

/// Closes the connection without a response, as an injected fault requires.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response because of an injected fault")]
pub(crate) struct HangUp;

/// Handles the requests of a server.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Accepts connections on `listener` and serves each in its own task.
pub(crate) async fn serve<H>(listener: TcpListener, handler: H, spawner: Weak<Executor<'static>>)
where
    H: Handler,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_on(&spawner, serve_connection(stream, handler.clone())),
            Err(error) => {
                spdlog::warn!("emulator: could not accept an HTTP connection: {error}");
                smol::Timer::after(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection<H>(stream: TcpStream, handler: H)
where
    H: Handler,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = result {
        spdlog::debug!("emulator: HTTP connection ended: {error}");
    }
}

/// Body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Creates a response with a JSON body.
pub(crate) fn json<T>(status: StatusCode, body: &T) -> Response<Body>
where
    T: Serialize,
{
    let (status, text) = match serde_json::to_vec(body) {
        Ok(text) => (status, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Error response to a request.
#[derive(Debug)]
pub(crate) struct HttpError {
    status: StatusCode,
    message: String,
}

impl HttpError {
    /// Creates an error; `message` states what the client has to change.
    pub(crate) fn new<S>(status: StatusCode, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { status, message: message.into() }
    }

    /// Error for a path or object that does not exist.
    pub(crate) fn not_found() -> Self {
        Self::new(StatusCode::NOT_FOUND, "there is no such path or object")
    }

    /// Error for a method that the path does not support.
    pub(crate) fn method_not_allowed() -> Self {
        Self::new(StatusCode::METHOD_NOT_ALLOWED, "the path does not support this method")
    }

    /// The response with the message in a JSON body.
    pub(crate) fn response(&self) -> Response<Body> {
        json(self.status, &ErrorBody { error: &self.message })
    }
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(HttpError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or incomplete",
        )),
    }
}

/// Reads a JSON body of at most `limit` bytes.
pub(crate) async fn read_json<T>(body: Incoming, limit: usize) -> Result<T, HttpError>
where
    T: DeserializeOwned,
{
    let body = read_body(body, limit).await?;
    serde_json::from_slice(&body).map_err(|reason| {
        HttpError::new(StatusCode::BAD_REQUEST, format!("the body is not valid: {reason}"))
    })
}

/// Value of `name` in a query string such as `from=3&wait_ms=500`; `None` when it is missing or cannot be parsed.
pub(crate) fn query_value<T>(query: Option<&str>, name: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

/// Binds `address`; blocks the calling thread.
pub(crate) fn bind(address: &str) -> io::Result<TcpListener> {
    smol::block_on(TcpListener::bind(address))
}

/// Turns an error into its response.
pub(crate) fn into_response(result: Result<Response<Body>, HttpError>) -> Response<Body> {
    result.unwrap_or_else(|error| error.response())
}
