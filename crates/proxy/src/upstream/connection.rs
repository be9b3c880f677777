//! A connection to a member over the PostgreSQL wire protocol.

use std::{io, time::Duration};

use bytes::{BufMut, Bytes, BytesMut};
use futures::{
    AsyncWriteExt,
    future::{self, Either},
    io::{ReadHalf, WriteHalf},
    pin_mut,
};
use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    startup::Startup,
    startup::{Password, PasswordMessageFamily, SecretKey},
};
use smol::{Timer, net::TcpStream};
use thiserror::Error;

use crate::{
    caller::frame::{Fields, Frame, FrameError, FrameReader, row_columns},
    settings::UpstreamSettings,
};

/// Largest message that is accepted from a member, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Longest time for opening a connection, which usually takes 12 ms, or for sending a cancel request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Version of the wire protocol: major and minor number.
const PROTOCOL_VERSION: (u16, u16) = (3, 0);

/// A connection to a member failed, or the member answered with an error.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The connection failed, or an invalid message was received.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The member closed the connection.
    #[error("the member closed the connection")]
    Closed,
    /// The member did not answer within the given time.
    #[error("the member did not answer within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The member answered with an error.
    #[error("the member answered {sqlstate}: {message}")]
    ErrorResponse {
        /// SQLSTATE code of the error, such as `40001`.
        sqlstate: String,
        /// Text of the error.
        message: String,
    },
    /// The member requested an authentication method that is not supported.
    #[error(
        "the member asks for authentication of type {0}; configure cleartext passwords or trust"
    )]
    Authentication(i32),
    /// The member sent a message of a type that is not allowed there.
    #[error("the member sent an unexpected message of type {0:?}")]
    Unexpected(char),
}

impl From<io::Error> for UpstreamError {
    fn from(error: io::Error) -> Self {
        Self::Frame(FrameError::Io(error))
    }
}

/// Address and key for a cancel request to the backend of a connection.
#[derive(Debug, Clone)]
pub struct CancelKey {
    address: String,
    backend_pid: i32,
    secret: i32,
}

impl CancelKey {
    /// Process id of the backend, as the member reported it.
    pub const fn backend_pid(&self) -> i32 {
        self.backend_pid
    }

    /// Sends a cancel request for the statement that the connection runs now, on a connection of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached.
    pub async fn cancel(&self) -> Result<(), UpstreamError> {
        let request = CancelRequest::new(self.backend_pid, SecretKey::I32(self.secret));
        let mut buf = BytesMut::new();
        encode(&request, &mut buf);
        with_timeout(CONNECT_TIMEOUT, async {
            let mut stream = TcpStream::connect(&*self.address).await?;
            stream.write_all(&buf).await?;
            stream.close().await?;
            Ok(())
        })
        .await
    }
}

/// Result of a simple query that the proxy itself sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueryResult {
    /// Rows as text columns; `None` is null.
    pub rows: Vec<Vec<Option<String>>>,
    /// Command tag, such as `COMMIT`.
    pub tag: String,
}

impl QueryResult {
    /// Value of the column with the index `column` in the first row; `None` when it is null or absent.
    pub fn value(&self, column: usize) -> Option<&str> {
        self.rows.first()?.get(column)?.as_deref()
    }
}

/// An authenticated connection to a member.
#[derive(Debug)]
pub struct Connection {
    reader: FrameReader<ReadHalf<TcpStream>>,
    writer: WriteHalf<TcpStream>,
    cancel: CancelKey,
}

impl Connection {
    /// Connects to `address` (`host:port`) and waits until the member is ready for queries.
    ///
    /// `application` is the application name that the member shows for the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached, does not answer in time or rejects the connection.
    pub async fn open(
        address: &str,
        database: &str,
        credentials: &UpstreamSettings,
        application: &str,
    ) -> Result<Self, UpstreamError> {
        let establish = Self::establish(address, database, credentials, application);
        with_timeout(CONNECT_TIMEOUT, establish).await
    }

    async fn establish(
        address: &str,
        database: &str,
        credentials: &UpstreamSettings,
        application: &str,
    ) -> Result<Self, UpstreamError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = futures::AsyncReadExt::split(stream);
        let reader = FrameReader::new(reader, MAX_MESSAGE_BYTES);
        let cancel = CancelKey { address: address.to_owned(), backend_pid: 0, secret: 0 };
        let mut connection = Self { reader, writer, cancel };
        connection.send(&startup_message(database, &credentials.user, application)).await?;
        connection.finish_startup(&credentials.password).await?;
        Ok(connection)
    }

    async fn finish_startup(&mut self, password: &str) -> Result<(), UpstreamError> {
        loop {
            let frame = self.next().await?;
            match frame.kind() {
                b'R' => self.authenticate(&frame, password).await?,
                b'K' => self.read_cancel_key(&frame),
                b'E' => return Err(error_response(&frame)),
                b'Z' => return Ok(()),
                b'S' | b'N' => {}
                kind => return Err(UpstreamError::Unexpected(char::from(kind))),
            }
        }
    }

    async fn authenticate(&mut self, frame: &Frame, password: &str) -> Result<(), UpstreamError> {
        match Fields::new(frame.body()).int32() {
            Some(0) => Ok(()),
            Some(3) => {
                let message = PasswordMessageFamily::Password(Password::new(password.to_owned()));
                let mut buf = BytesMut::new();
                encode(&message, &mut buf);
                self.send(&buf).await
            }
            other => Err(UpstreamError::Authentication(other.unwrap_or(-1))),
        }
    }

    fn read_cancel_key(&mut self, frame: &Frame) {
        let mut fields = Fields::new(frame.body());
        self.cancel.backend_pid = fields.int32().unwrap_or(0);
        self.cancel.secret = fields.int32().unwrap_or(0);
    }

    /// Key for cancelling a statement of this connection.
    pub const fn cancel_key(&self) -> &CancelKey {
        &self.cancel
    }

    /// Sends the bytes of complete messages.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection failed; part of the bytes may have been sent.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        self.writer.write_all(bytes).await?;
        self.writer.flush().await?;
        Ok(())
    }

    /// Reads the next message.
    ///
    /// The future can be dropped and the call repeated without losing bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection failed or was closed.
    pub async fn next(&mut self) -> Result<Frame, UpstreamError> {
        self.reader.next().await?.ok_or(UpstreamError::Closed)
    }

    /// Runs a simple query and reads its whole result.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection failed or the member answered with an error.
    pub async fn query(&mut self, sql: &str) -> Result<QueryResult, UpstreamError> {
        self.send(&query_message(sql)).await?;
        self.read_result().await
    }

    /// Reads the result of a simple query that was already sent, up to `ReadyForQuery`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection failed or the member answered with an error.
    pub async fn read_result(&mut self) -> Result<QueryResult, UpstreamError> {
        let mut result = QueryResult::default();
        let mut failure = None;
        loop {
            let frame = self.next().await?;
            match frame.kind() {
                b'D' => result.rows.extend(row_columns(frame.body())),
                b'C' => result.tag = command_tag(&frame),
                b'E' => failure = Some(error_response(&frame)),
                b'Z' => break,
                _ => {}
            }
        }
        failure.map_or(Ok(result), Err)
    }
}

/// Runs `step`, an operation on a connection, with a time limit.
///
/// # Errors
///
/// Returns [`UpstreamError::Timeout`] when `step` does not complete within `timeout`, or the error of `step`.
pub(crate) async fn with_timeout<F, T>(timeout: Duration, step: F) -> Result<T, UpstreamError>
where
    F: Future<Output = Result<T, UpstreamError>>,
{
    let timer = Timer::after(timeout);
    pin_mut!(step);
    match future::select(step, timer).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(UpstreamError::Timeout(timeout)),
    }
}

/// The command tag of a `CommandComplete` message.
pub(crate) fn command_tag(frame: &Frame) -> String {
    let tag = Fields::new(frame.body()).cstr().unwrap_or_default();
    String::from_utf8_lossy(tag).into_owned()
}

/// Encodes a `Query` message with the text `sql`.
pub(crate) fn query_message(sql: &str) -> Bytes {
    let mut buf = BytesMut::with_capacity(sql.len() + 6);
    buf.put_u8(b'Q');
    buf.put_u32(u32::try_from(sql.len() + 5).unwrap_or(u32::MAX));
    buf.put_slice(sql.as_bytes());
    buf.put_u8(0);
    buf.freeze()
}

/// SQLSTATE and text of an `ErrorResponse` message; empty where the message lacks the field.
pub(crate) fn error_fields(frame: &Frame) -> (String, String) {
    let mut fields = Fields::new(frame.body());
    let (mut sqlstate, mut message) = (String::new(), String::new());
    while let Some(kind) = fields.byte().filter(|kind| *kind != 0) {
        let Some(value) = fields.cstr() else { break };
        let value = String::from_utf8_lossy(value).into_owned();
        match kind {
            b'C' => sqlstate = value,
            b'M' => message = value,
            _ => {}
        }
    }
    (sqlstate, message)
}

fn error_response(frame: &Frame) -> UpstreamError {
    let (sqlstate, message) = error_fields(frame);
    UpstreamError::ErrorResponse { sqlstate, message }
}

fn startup_message(database: &str, user: &str, application: &str) -> BytesMut {
    let mut message = Startup::default();
    (message.protocol_number_major, message.protocol_number_minor) = PROTOCOL_VERSION;
    for (key, value) in [("user", user), ("database", database), ("application_name", application)]
    {
        message.parameters.insert(key.to_owned(), value.to_owned());
    }
    let mut buf = BytesMut::new();
    encode(&message, &mut buf);
    buf
}

/// Appends `message`; only messages of fixed or bounded size are encoded here, so the encoding does not fail.
fn encode<M>(message: &M, buf: &mut BytesMut)
where
    M: Message,
{
    let start = buf.len();
    if message.encode(buf).is_err() {
        buf.truncate(start);
    }
}
