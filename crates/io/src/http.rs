//! One HTTP/1.1 request at a time over connections that are kept for the next one.

use std::{
    fmt, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1};
use smol::{Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;

/// Connections that are kept while they are idle.
const IDLE_CONNECTIONS: usize = 4;

/// Largest body of an answer in bytes; a listing holds many objects of at most 1 MB.
const MAX_ANSWER_BYTES: usize = 256 << 20;

type Driver = Pin<Box<dyn Future<Output = hyper::Result<()>> + Send>>;

/// A connection and the future that moves its bytes, which is polled only while a request is on its way.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

/// What happened to a request that got no answer.
#[derive(Debug)]
pub enum HttpError {
    /// Nothing was sent, so the request had no effect.
    NotSent(io::Error),
    /// The request may have taken effect.
    MaybeSent(io::Error),
}

impl HttpError {
    /// The error of the operating system or of the protocol.
    pub fn into_io(self) -> io::Error {
        match self {
            Self::NotSent(error) | Self::MaybeSent(error) => error,
        }
    }
}

/// Client for one server.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: Arc<str>,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address`, as `host:port`.
    pub fn new(address: &str) -> Self {
        Self { address: Arc::from(address), idle: Arc::default() }
    }

    /// Address of the server.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends `req` and reads the whole answer within `timeout`.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let deadline = Timer::after(timeout);
        let mut connection = match self.connection(timeout).await {
            Ok(connection) => connection,
            Err(error) => return Err(HttpError::NotSent(error)),
        };
        let Connection { sender, driver } = &mut connection;
        let exchange = async {
            let answer = sender.send_request(req).await.map_err(io::Error::other)?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(io::Error::other)?.to_bytes();
            Ok(Response::from_parts(parts, body))
        };
        let driven = async {
            let ended = driver.await;
            // The exchange sees the end of the connection; it ends by itself.
            ended.err();
            smol::future::pending().await
        };
        let late = async {
            deadline.await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let answer = match exchange.or(driven).or(late).await {
            Ok(answer) => answer,
            Err(error) => {
                // The other connections may have gone silent together with this one.
                lock(&self.idle).clear();
                return Err(HttpError::MaybeSent(error));
            }
        };
        self.keep(connection);
        Ok(answer)
    }

    async fn connection(&self, timeout: Duration) -> io::Result<Connection> {
        loop {
            let Some(mut connection) = lock(&self.idle).pop() else {
                break;
            };
            // A poll of the driver shows whether the server has closed the connection.
            let ended = smol::future::poll_once(&mut connection.driver).await.is_some();
            if !ended && connection.sender.is_ready() {
                return Ok(connection);
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
        let (sender, driver) = connect.or(late).await?;
        Ok(Connection { sender, driver: Box::pin(driver) })
    }

    fn keep(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
