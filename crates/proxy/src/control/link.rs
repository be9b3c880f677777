//! Control connection to one member.
//!
//! Statements are pipelined: each is sent without waiting for the answers to earlier ones, so that a late answer
//! does not delay the next poll. When an answer takes too long, none behind it can arrive, so the connection is closed.

use std::{io, sync::Arc, time::Duration};

use bytes::BytesMut;
use futures::{FutureExt, channel::oneshot, pin_mut, select};
use hibiscusladder_core::clock::{Clock, Instant};
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage,
    simplequery::Query,
    startup::{Authentication, Password, Startup},
};
use smol::{
    channel::{Receiver, Sender, bounded, unbounded},
    future::FutureExt as _,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use thiserror::Error;

use crate::{
    clock::{BootClock, sleep},
    settings::UpstreamSettings,
};

/// Time limit for the answer to a control statement, and for the set-up of a connection.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of the queue of statements to be sent; a statement that does not fit closes the connection.
const MAX_QUEUED_STATEMENTS: usize = 64;

/// Error of a control connection or of a statement on it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The connection could not be set up or was lost; a statement on it may have run.
    #[error("the control connection to {address} failed: {reason}")]
    Lost {
        /// Address of the member, as in its record.
        address: Arc<str>,
        /// Cause of the failure, for the log.
        reason: String,
    },
    /// The member answered with an error; the statement had no effect.
    #[error("the member at {address} answered with error {sqlstate}: {message}")]
    Server {
        /// Address of the member, as in its record.
        address: Arc<str>,
        /// SQLSTATE, five characters.
        sqlstate: String,
        /// Message of the error, as the member sent it.
        message: String,
    },
}

/// Rows of an answer, with all values in the text format.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TextRows {
    /// Names of the columns, in the order of the values of a row.
    pub columns: Vec<String>,
    /// Values of each row; `None` for NULL.
    pub rows: Vec<Vec<Option<String>>>,
}

impl TextRows {
    /// The value of `column` in the first row; `None` for NULL and when there is no such column or no row.
    pub fn first(&self, column: &str) -> Option<&str> {
        let index = self.columns.iter().position(|name| name == column)?;
        self.rows.first()?.get(index)?.as_deref()
    }

    /// The first value of the first row; `None` for NULL and when there is no row.
    pub fn scalar(&self) -> Option<&str> {
        self.rows.first()?.first()?.as_deref()
    }
}

/// An answer with the time at which its statement was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Time immediately before the statement was written to the connection.
    pub sent: Instant,
    /// Rows that the statement returned.
    pub rows: TextRows,
}

struct Statement {
    sql: String,
    answer: oneshot::Sender<Result<Answer, LinkError>>,
}

/// Handle of a control connection to a member; clones share the connection.
#[derive(Debug, Clone)]
pub struct MemberLink {
    address: Arc<str>,
    statements: Sender<Statement>,
    stream: TcpStream,
    backend_pid: Option<i32>,
}

impl MemberLink {
    /// Connects to the member at `address` within [`CONTROL_TIMEOUT`]; `application` is sent as `application_name`.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached or rejects the connection.
    pub async fn connect(
        address: &str,
        database: &str,
        credentials: &UpstreamSettings,
        application: &str,
    ) -> Result<Self, LinkError> {
        let address: Arc<str> = Arc::from(address);
        let connect = Connection::open(&address, database, credentials, application);
        let timeout = async {
            sleep(CONTROL_TIMEOUT).await;
            Err(connection_error(&address, "no answer to the startup message within 1 s"))
        };
        let connection = connect.or(timeout).await?;
        let backend_pid = connection.backend_pid;
        let stream = connection.stream.clone();
        let (statements, queue) = bounded(MAX_QUEUED_STATEMENTS);
        smol::spawn(connection.run(queue)).detach();
        Ok(Self { address, statements, stream, backend_pid })
    }

    /// Runs `sql` and waits at most [`CONTROL_TIMEOUT`] for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is lost or the member answers with an error.
    pub async fn query<S>(&self, sql: S) -> Result<Answer, LinkError>
    where
        S: Into<String>,
    {
        let (tx, rx) = oneshot::channel();
        let statement = Statement { sql: sql.into(), answer: tx };
        if self.statements.try_send(statement).is_err() {
            self.close();
            return Err(connection_error(&self.address, "the connection is closed"));
        }
        let answer =
            async { rx.await.unwrap_or_else(|_| Err(connection_error(&self.address, "closed"))) };
        let timeout = async {
            sleep(CONTROL_TIMEOUT).await;
            self.close();
            Err(connection_error(&self.address, "no answer within 1 s"))
        };
        answer.or(timeout).await
    }

    /// Process id of the backend that serves the connection; `None` when the member did not send it.
    pub const fn backend_pid(&self) -> Option<i32> {
        self.backend_pid
    }

    /// Whether the connection was closed or has failed.
    pub fn is_closed(&self) -> bool {
        self.statements.is_closed()
    }

    /// Closes the connection. The member releases the locks of the connection when it detects that.
    pub fn close(&self) {
        self.statements.close();
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn connection_error(address: &Arc<str>, reason: &str) -> LinkError {
    LinkError::Lost { address: Arc::clone(address), reason: reason.to_owned() }
}

/// A statement that was sent, and whose answer was not received yet.
struct Pending {
    sent: Instant,
    answer: oneshot::Sender<Result<Answer, LinkError>>,
}

struct Connection {
    address: Arc<str>,
    stream: TcpStream,
    decoder: Decoder,
    backend_pid: Option<i32>,
}

impl Connection {
    async fn open(
        address: &Arc<str>,
        database: &str,
        credentials: &UpstreamSettings,
        application: &str,
    ) -> Result<Self, LinkError> {
        let io_error = |error: io::Error| connection_error(address, &error.to_string());
        let stream = TcpStream::connect(&**address).await.map_err(io_error)?;
        stream.set_nodelay(true).map_err(io_error)?;
        let decoder = Decoder::new(Arc::clone(address));
        let mut connection =
            Self { address: Arc::clone(address), stream, decoder, backend_pid: None };
        let mut startup = Startup::new();
        startup.parameters.insert("user".to_owned(), credentials.user.clone());
        startup.parameters.insert("database".to_owned(), database.to_owned());
        startup.parameters.insert("application_name".to_owned(), application.to_owned());
        connection.write(&startup).await?;
        connection.authenticate(credentials).await?;
        Ok(connection)
    }

    async fn authenticate(&mut self, credentials: &UpstreamSettings) -> Result<(), LinkError> {
        loop {
            match self.decoder.next(&mut self.stream).await? {
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    self.write(&Password::new(credentials.password.clone())).await?;
                }
                PgWireBackendMessage::Authentication(Authentication::Ok)
                | PgWireBackendMessage::ParameterStatus(_)
                | PgWireBackendMessage::NoticeResponse(_) => {}
                PgWireBackendMessage::BackendKeyData(data) => self.backend_pid = Some(data.pid),
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                PgWireBackendMessage::ErrorResponse(error) => {
                    return Err(server_error(&self.address, &error.fields));
                }
                _ => return Err(connection_error(&self.address, "unexpected message at startup")),
            }
        }
    }

    async fn write<M>(&mut self, message: &M) -> Result<(), LinkError>
    where
        M: Message,
    {
        let mut buf = BytesMut::new();
        message
            .encode(&mut buf)
            .map_err(|error| connection_error(&self.address, &error.to_string()))?;
        let written = self.stream.write_all(&buf).await;
        written.map_err(|error| connection_error(&self.address, &error.to_string()))
    }

    async fn run(self, queue: Receiver<Statement>) {
        let (pending_tx, pending_rx) = unbounded();
        let writer = send_statements(&self.address, self.stream.clone(), &queue, pending_tx);
        let reader = read_answers(self.decoder, self.stream.clone(), &pending_rx);
        let ended = {
            let writer = writer.fuse();
            let reader = reader.fuse();
            pin_mut!(writer, reader);
            select! {
                error = writer => error,
                error = reader => error,
            }
        };
        queue.close();
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        while let Ok(pending) = pending_rx.try_recv() {
            let _ = pending.answer.send(Err(ended.clone()));
        }
        while let Ok(statement) = queue.try_recv() {
            let _ = statement.answer.send(Err(ended.clone()));
        }
    }
}

async fn send_statements(
    address: &Arc<str>,
    mut stream: TcpStream,
    queue: &Receiver<Statement>,
    pending: Sender<Pending>,
) -> LinkError {
    let mut buf = BytesMut::new();
    while let Ok(statement) = queue.recv().await {
        buf.clear();
        if let Err(error) = Query::new(statement.sql).encode(&mut buf) {
            return connection_error(address, &error.to_string());
        }
        let sent = BootClock.now();
        let _ = pending.try_send(Pending { sent, answer: statement.answer });
        if let Err(error) = stream.write_all(&buf).await {
            return connection_error(address, &error.to_string());
        }
    }
    connection_error(address, "closed")
}

async fn read_answers(
    mut decoder: Decoder,
    mut stream: TcpStream,
    pending: &Receiver<Pending>,
) -> LinkError {
    loop {
        let answer = match decoder.answer(&mut stream).await {
            Ok(answer) => answer,
            Err(error) => return error,
        };
        let Ok(next) = pending.try_recv() else {
            return connection_error(&decoder.address, "an answer without a pending statement");
        };
        let sent = next.sent;
        let _ = next.answer.send(answer.map(|rows| Answer { sent, rows }));
    }
}

fn server_error(address: &Arc<str>, fields: &[(u8, String)]) -> LinkError {
    let field = |code: u8| {
        let found = fields.iter().find(|(name, _)| *name == code);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    LinkError::Server { address: Arc::clone(address), sqlstate: field(b'C'), message: field(b'M') }
}

/// Reads messages from a stream.
struct Decoder {
    address: Arc<str>,
    buf: BytesMut,
    cx: DecodeContext,
}

impl Decoder {
    fn new(address: Arc<str>) -> Self {
        let mut cx = DecodeContext::default();
        cx.awaiting_frontend_ssl = false;
        cx.awaiting_frontend_startup = false;
        Self { address, buf: BytesMut::with_capacity(4096), cx }
    }

    async fn next(&mut self, stream: &mut TcpStream) -> Result<PgWireBackendMessage, LinkError> {
        loop {
            let message = PgWireBackendMessage::decode(&mut self.buf, &self.cx);
            match message.map_err(|error| connection_error(&self.address, &error.to_string()))? {
                Some(message) => return Ok(message),
                None => self.fill(stream).await?,
            }
        }
    }

    async fn fill(&mut self, stream: &mut TcpStream) -> Result<(), LinkError> {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) => Err(connection_error(&self.address, "closed by the member")),
            Ok(count) => {
                self.buf.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Err(error) => Err(connection_error(&self.address, &error.to_string())),
        }
    }

    /// Reads one complete answer. The outer error is a failure of the connection, the inner one the member's error.
    async fn answer(
        &mut self,
        stream: &mut TcpStream,
    ) -> Result<Result<TextRows, LinkError>, LinkError> {
        let mut answer = Ok(TextRows::default());
        loop {
            match self.next(stream).await? {
                PgWireBackendMessage::RowDescription(description) => {
                    if let Ok(rows) = &mut answer {
                        let names = description.fields.into_iter().map(|field| field.name);
                        rows.columns = names.collect();
                    }
                }
                PgWireBackendMessage::DataRow(row) => {
                    if let Ok(rows) = &mut answer {
                        rows.rows.push(text_values(&row.data, &self.address)?);
                    }
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    answer = Err(server_error(&self.address, &error.fields));
                }
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(answer),
                _ => {}
            }
        }
    }
}

/// Splits a row into its fields, each of which follows its length in 4 bytes; a negative length stands for NULL.
fn text_values(data: &[u8], address: &Arc<str>) -> Result<Vec<Option<String>>, LinkError> {
    let mut values = Vec::new();
    let mut rest = data;
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let length = i32::from_be_bytes(*head);
        let Ok(length) = usize::try_from(length) else {
            values.push(None);
            rest = tail;
            continue;
        };
        let Some((text, tail)) = tail.split_at_checked(length) else {
            return Err(connection_error(address, "a row of the answer is truncated"));
        };
        values.push(Some(String::from_utf8_lossy(text).into_owned()));
        rest = tail;
    }
    Ok(values)
}
