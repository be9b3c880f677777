//! A small asynchronous PostgreSQL client that speaks the simple query protocol.

use std::{collections::BTreeMap, time::Duration};

use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use pgwire::messages::{
    DecodeContext, Message, PgWireBackendMessage, ProtocolVersion,
    data::DataRow,
    response::ErrorResponse,
    simplequery::Query,
    startup::{Authentication, Password, Startup},
    terminate::Terminate,
};
use smol::{Timer, net::TcpStream};

use crate::error::ClientError;

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Parameter in which the proxy reports the session's position, and in which a new connection of the session sends it.
const POSITION_PARAMETER: &str = "hibiscus.position";

/// Rows of a result in text form; `None` is a NULL value.
pub type Rows = Vec<Vec<Option<String>>>;

/// A connection to a server.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    buf: BytesMut,
    position: Option<String>,
    timeout: Duration,
}

/// Target and credentials of a connection.
#[derive(Debug, Clone)]
pub struct Login<'a> {
    /// Address of the server as `host:port`.
    pub target: &'a str,
    /// Workspace, sent as the user name.
    pub workspace: &'a str,
    /// Database to connect to.
    pub database: &'a str,
    /// Key of the workspace, sent as the password.
    pub key: &'a str,
    /// Position that an earlier connection of the session received; `None` for a new session.
    pub position: Option<String>,
}

impl Client {
    /// Connects and logs in.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or an error when the connection fails, a message is malformed or the login exceeds
    /// `timeout`.
    pub async fn connect(login: Login<'_>, timeout: Duration) -> Result<Self, ClientError> {
        with_timeout(timeout, Self::log_in(login, timeout)).await
    }

    /// Newest position of the session that the proxy reported; until then the position from [`Login`].
    pub fn position(&self) -> Option<&str> {
        self.position.as_deref()
    }

    /// Runs `sql` and returns the rows of its answer.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or an error when the connection fails, a message is malformed or the statement
    /// exceeds the timeout; the client cannot be used after the latter three.
    pub async fn query(&mut self, sql: &str) -> Result<Rows, ClientError> {
        with_timeout(self.timeout, self.run_query(sql)).await
    }

    /// Ends the connection with a `Terminate` message.
    pub async fn close(mut self) {
        let sent = self.send(&Terminate::new()).await;
        drop(sent);
    }

    async fn log_in(login: Login<'_>, timeout: Duration) -> Result<Self, ClientError> {
        let stream = TcpStream::connect(login.target).await?;
        stream.set_nodelay(true)?;
        let mut client =
            Self { stream, buf: BytesMut::new(), position: login.position.clone(), timeout };
        client.send(&startup(&login)).await?;
        loop {
            match client.receive().await? {
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    client.send(&Password::new(login.key.to_owned())).await?;
                }
                PgWireBackendMessage::ErrorResponse(error) => return Err(server_error(&error)),
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(client),
                _ => {}
            }
        }
    }

    async fn run_query(&mut self, sql: &str) -> Result<Rows, ClientError> {
        self.send(&Query::new(sql.to_owned())).await?;
        let mut rows = Rows::new();
        let mut failure = None;
        loop {
            match self.receive().await? {
                PgWireBackendMessage::DataRow(row) => rows.push(text_columns(&row)?),
                PgWireBackendMessage::ErrorResponse(error) => failure = Some(server_error(&error)),
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        failure.map_or(Ok(rows), Err)
    }

    async fn send<M>(&mut self, message: &M) -> Result<(), ClientError>
    where
        M: Message,
    {
        let mut buf = BytesMut::new();
        message.encode(&mut buf).map_err(|error| ClientError::Protocol(error.to_string()))?;
        self.stream.write_all(&buf).await?;
        Ok(())
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, ClientError> {
        let mut cx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        cx.awaiting_frontend_ssl = false;
        cx.awaiting_frontend_startup = false;
        loop {
            let decoded = PgWireBackendMessage::decode(&mut self.buf, &cx);
            match decoded.map_err(|error| ClientError::Protocol(error.to_string()))? {
                Some(PgWireBackendMessage::ParameterStatus(status))
                    if status.name == POSITION_PARAMETER =>
                {
                    self.position = Some(status.value);
                }
                Some(message) => return Ok(message),
                None => self.fill().await?,
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ClientError> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let len = self.stream.read(&mut chunk).await?;
        if len == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }
}

fn startup(login: &Login<'_>) -> Startup {
    let mut parameters = BTreeMap::new();
    parameters.insert("user".to_owned(), login.workspace.to_owned());
    parameters.insert("database".to_owned(), login.database.to_owned());
    if let Some(position) = &login.position {
        parameters.insert(POSITION_PARAMETER.to_owned(), position.clone());
    }
    let mut startup = Startup::new();
    startup.parameters = parameters;
    startup
}

fn server_error(error: &ErrorResponse) -> ClientError {
    let field =
        |code| error.fields.iter().find(|field| field.0 == code).map_or("", |field| &field.1);
    ClientError::Server { sqlstate: field(b'C').to_owned(), message: field(b'M').to_owned() }
}

fn text_columns(row: &DataRow) -> Result<Vec<Option<String>>, ClientError> {
    let mut rest = &row.data[..];
    let mut columns = Vec::new();
    for _ in 0..row.field_count {
        let (len, tail) = rest.split_first_chunk::<4>().ok_or_else(short_row)?;
        rest = tail;
        let Ok(len) = usize::try_from(i32::from_be_bytes(*len)) else {
            columns.push(None);
            continue;
        };
        let (value, tail) = rest.split_at_checked(len).ok_or_else(short_row)?;
        rest = tail;
        columns.push(Some(String::from_utf8_lossy(value).into_owned()));
    }
    Ok(columns)
}

fn short_row() -> ClientError {
    ClientError::Protocol("a data row is shorter than the sum of its columns".to_owned())
}

async fn with_timeout<T, F>(timeout: Duration, work: F) -> Result<T, ClientError>
where
    F: Future<Output = Result<T, ClientError>>,
{
    let work = work.fuse();
    let timer = FutureExt::fuse(Timer::after(timeout));
    futures::pin_mut!(work, timer);
    futures::select_biased! {
        result = work => result,
        _ = timer => Err(ClientError::Timeout),
    }
}
