//! HTTP/1.1 client that sends one request at a time on a connection and reuses idle connections.

use std::{
    fmt, io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hibiscusladder_core::clock::{Clock, Instant};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, client::conn::http1};
use smol::{Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::{
    clock::BootClock,
    deadline_stream::{DeadlineStream, SendDeadline},
    socket::{limit_unacknowledged, reset_on_close},
};

/// Largest number of idle connections that a client keeps open for reuse.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Largest body of an answer without another limit, in bytes; a listing holds many objects of at most 1 MB each.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Number of timeouts after which an exchange fails although parts of the answer arrive.
const MAX_TIMEOUTS: usize = 4;

type Driver = Pin<Box<dyn Future<Output = hyper::Result<()>> + Send>>;

/// A connection and the future that does its I/O, which is polled only during a request and before the next one.
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    socket: TcpStream,
    /// Deadline for the sending of the present request.
    deadline: SendDeadline,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

/// Reason for which a request got no answer, which shows whether it may have taken effect.
#[derive(Debug)]
pub enum HttpError {
    /// No connection was established, so the request had no effect.
    NotSent(io::Error),
    /// The exchange failed or timed out; the request may have taken effect.
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

/// Client for one server; clones share its idle connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: Arc<str>,
    max_answer_bytes: usize,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl HttpClient {
    /// Creates a client for the server at `address`, as `host:port`.
    pub fn new(address: &str) -> Self {
        let max_answer_bytes = MAX_ANSWER_BYTES;
        Self { address: Arc::from(address), max_answer_bytes, idle: Arc::default() }
    }

    /// Sets the largest body of an answer, in bytes; the exchange fails when it is larger.
    #[must_use]
    pub const fn with_max_answer(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Address of the server, as `host:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends `req` and reads the whole answer. The exchange fails when no connection is open, or no further part of the
    /// answer comes, for `timeout`, and in any case after four times that.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] when no connection could be opened, [`HttpError::MaybeSent`] when the exchange failed or
    /// took too long.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let connection = self.acquire(timeout).await.map_err(HttpError::NotSent)?;
        self.exchange(connection, req, timeout).await
    }

    /// Like [`send`](Self::send), for a request that must not arrive after `until`. It is not sent later, and one that
    /// has not been delivered by then is withdrawn.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send), and [`HttpError::NotSent`] when `until` came first.
    pub async fn send_before(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        until: Instant,
    ) -> Result<Response<Bytes>, HttpError> {
        let connection = self.acquire(timeout.min(until.since(BootClock.now()))).await;
        let connection = connection.map_err(HttpError::NotSent)?;
        let left = until.since(BootClock.now());
        if left.is_zero() {
            return Err(HttpError::NotSent(io::ErrorKind::TimedOut.into()));
        }
        connection.deadline.set(Some(until));
        let options = reset_on_close(&connection.socket)
            .and_then(|()| limit_unacknowledged(&connection.socket, left));
        options.map_err(HttpError::NotSent)?;
        self.exchange(connection, req, timeout.min(left)).await
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let received = AtomicUsize::new(0);
        let Connection { sender, driver, .. } = &mut connection;
        let exchange = async {
            let answer = sender.send_request(req).await.map_err(io::Error::other)?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, self.max_answer_bytes);
            let body = body.map_frame(|frame| {
                received.fetch_add(1, Ordering::Relaxed);
                frame
            });
            let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
            Ok(Response::from_parts(parts, body))
        };
        let drive = async {
            let ended = driver.await;
            // The end of the connection also fails `exchange`, which returns the error.
            ended.err();
            smol::future::pending().await
        };
        let timer = async {
            let mut received_before = 0;
            for _ in 0..MAX_TIMEOUTS {
                Timer::after(timeout).await;
                let received = received.load(Ordering::Relaxed);
                if received == received_before {
                    break;
                }
                received_before = received;
            }
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let answer = match exchange.or(drive).or(timer).await {
            Ok(answer) => answer,
            Err(error) => {
                // The idle connections may be affected by the same failure.
                lock(&self.idle).clear();
                return Err(HttpError::MaybeSent(error));
            }
        };
        connection.deadline.set(None);
        self.return_connection(connection);
        Ok(answer)
    }

    /// Takes an idle connection that is still open, or opens one.
    async fn acquire(&self, timeout: Duration) -> io::Result<Connection> {
        loop {
            let Some(mut connection) = lock(&self.idle).pop() else {
                break;
            };
            // Polling the driver shows whether the server has closed the connection.
            let ended = smol::future::poll_once(&mut connection.driver).await.is_some();
            if !ended && connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        let connect = async {
            let socket = TcpStream::connect(&*self.address).await?;
            socket.set_nodelay(true)?;
            let deadline = SendDeadline::default();
            let stream = DeadlineStream::new(socket.clone(), deadline.clone());
            let handshake = http1::handshake(FuturesIo::new(stream)).await;
            let (sender, driver) = handshake.map_err(io::Error::other)?;
            Ok(Connection { sender, driver: Box::pin(driver), socket, deadline })
        };
        let timer = async {
            Timer::after(timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        connect.or(timer).await
    }

    fn return_connection(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
