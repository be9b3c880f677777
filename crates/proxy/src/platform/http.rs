//! One HTTP/1.1 request at a time over connections that are kept for the next one.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1};
use smol::{Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::node::lock;

/// Connections that are kept while they are idle.
const IDLE_CONNECTIONS: usize = 4;

/// Largest body of an answer in bytes; a listing holds many objects of at most 1 MB.
const MAX_ANSWER_BYTES: usize = 256 << 20;

type Sender = http1::SendRequest<Full<Bytes>>;

/// What happened to a request that got no answer.
#[derive(Debug)]
pub(crate) enum HttpError {
    /// Nothing was sent, so the request had no effect.
    NotSent(io::Error),
    /// The request may have taken effect.
    MaybeSent(io::Error),
}

impl HttpError {
    /// The error of the operating system or of the protocol.
    pub(crate) fn into_io(self) -> io::Error {
        match self {
            Self::NotSent(error) | Self::MaybeSent(error) => error,
        }
    }
}

/// Client for one server.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    address: Arc<str>,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address`, as `host:port`.
    pub(crate) fn new(address: &str) -> Self {
        Self { address: Arc::from(address), idle: Arc::default() }
    }

    /// Address of the server.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Sends `req` and reads the whole answer within `timeout`.
    pub(crate) async fn send(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let deadline = Timer::after(timeout);
        let mut sender = match self.connection(timeout).await {
            Ok(sender) => sender,
            Err(error) => return Err(HttpError::NotSent(error)),
        };
        let exchange = async {
            let answer = sender.send_request(req).await.map_err(io::Error::other)?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(io::Error::other)?.to_bytes();
            Ok(Response::from_parts(parts, body))
        };
        let late = async {
            deadline.await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let answer = exchange.or(late).await.map_err(HttpError::MaybeSent)?;
        self.keep(sender);
        Ok(answer)
    }

    async fn connection(&self, timeout: Duration) -> io::Result<Sender> {
        loop {
            let Some(mut sender) = lock(&self.idle).pop() else {
                break;
            };
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let connect = async {
            let stream = TcpStream::connect(&*self.address).await?;
            stream.set_nodelay(true)?;
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            handshake.map_err(io::Error::other)
        };
        let late = async {
            Timer::after(timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let (sender, connection) = connect.or(late).await?;
        smol::spawn(async move {
            // A failed connection shows at the sender, which reports it.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }

    fn keep(&self, sender: Sender) {
        let mut idle = lock(&self.idle);
        if idle.len() < IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
    }
}
