//! Serves one connection after its start-up.

mod execute;
mod extended;

use std::{
    collections::HashMap,
    hash::RandomState,
    io,
    sync::{Arc, atomic::Ordering},
};

use bytes::BytesMut;
use hibiscusladder_core::position::Position;
use pgwire::messages::{
    PgWireBackendMessage as Message, PgWireFrontendMessage as Request,
    data::{DataRow, FieldDescription, RowDescription},
    response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus},
};
use rusqlite::types::Value;
use smol::future::FutureExt;

use super::{
    error::SqlError,
    infer::{Column, StatementTypes},
    member::{Activity, Backend, Member, StopReason},
    sql::{self, Statement},
    sqlite::Rows,
    transaction::Transaction,
    value::{self, Format},
    wire::Wire,
};

/// A prepared statement with its types; `statement` is `None` for an empty text.
#[derive(Debug)]
struct Prepared {
    statement: Option<Arc<Statement>>,
    types: StatementTypes,
}

/// A prepared statement with bound parameters, and its result once it has run.
#[derive(Debug)]
struct Portal {
    prepared: Arc<Prepared>,
    params: Vec<Value>,
    formats: Vec<i16>,
    outcome: Option<Outcome>,
}

/// Result of a statement; `rows` has those that were not sent yet.
#[derive(Debug)]
struct Outcome {
    columns: Vec<Column>,
    rows: std::vec::IntoIter<Vec<Value>>,
    tag: String,
}

impl Outcome {
    fn without_rows<S>(tag: S) -> Self
    where
        S: Into<String>,
    {
        Self { columns: Vec::new(), rows: Vec::new().into_iter(), tag: tag.into() }
    }

    fn with_rows(rows: Rows, tag: String) -> Self {
        Self { columns: rows.columns, rows: rows.rows.into_iter(), tag }
    }
}

/// Reason for which a connection ends.
#[derive(Debug)]
enum EndReason {
    Io(io::Error),
    Fatal(SqlError),
    Stopped(StopReason),
}

impl From<io::Error> for EndReason {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The server side of a connection after its start-up.
#[derive(Debug)]
pub(crate) struct Session {
    member: Arc<Member>,
    backend: Arc<Backend>,
    wire: Wire,
    transaction: Option<Transaction>,
    statements: HashMap<String, Arc<Prepared>>,
    portals: HashMap<String, Portal>,
    last_commit: Option<Position>,
    skip_to_sync: bool,
    seed_hasher: RandomState,
    statements_run: u64,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.transaction = None;
        self.member.unregister(self.backend.pid);
    }
}

impl Session {
    /// Creates the session of a connection whose start-up has succeeded.
    pub(crate) fn new(member: Arc<Member>, backend: Arc<Backend>, wire: Wire) -> Self {
        Self {
            member,
            backend,
            wire,
            transaction: None,
            statements: HashMap::new(),
            portals: HashMap::new(),
            last_commit: None,
            skip_to_sync: false,
            seed_hasher: RandomState::new(),
            statements_run: 0,
        }
    }

    /// Serves the connection until it ends.
    pub(crate) async fn run(mut self) {
        match self.serve().await {
            Ok(()) => {}
            Err(EndReason::Io(error)) => {
                spdlog::debug!(
                    "emulator: connection of backend {} failed: {error}",
                    self.backend.pid
                );
            }
            Err(EndReason::Fatal(error)) => self.send_final_error(&error).await,
            Err(EndReason::Stopped(StopReason::Crashed)) => {}
            Err(EndReason::Stopped(StopReason::Terminated)) => {
                self.send_final_error(&SqlError::terminated()).await
            }
        }
    }

    async fn send_final_error(&mut self, error: &SqlError) {
        if self.backend.stop_reason() == Some(StopReason::Crashed) {
            return;
        }
        let message = Message::ErrorResponse(error.response());
        if self.wire.push(&message).is_ok() {
            // The client may have closed the connection already.
            self.wire.flush().await.ok();
        }
    }

    async fn serve(&mut self) -> Result<(), EndReason> {
        self.send_ready().await?;
        while let Some(request) = self.next_request().await? {
            self.backend.set_activity(Activity::Active);
            self.member.wait_while_blocked(&self.backend.application_name).await;
            if matches!(request, Request::Terminate(_)) {
                return Ok(());
            }
            self.handle(request).await?;
            if let Some(reason) = self.backend.stop_reason() {
                return Err(EndReason::Stopped(reason));
            }
        }
        Ok(())
    }

    async fn next_request(&mut self) -> Result<Option<Request>, EndReason> {
        let stopped = self.backend.stopped.clone();
        let backend = Arc::clone(&self.backend);
        let stop = async {
            // Nothing is ever sent: `recv` returns when the channel is closed by the stop of the backend.
            stopped.recv().await.ok();
            Err(EndReason::Stopped(backend.stop_reason().unwrap_or(StopReason::Crashed)))
        };
        let read = async { Ok(self.wire.read().await?) };
        read.or(stop).await
    }

    async fn handle(&mut self, request: Request) -> Result<(), EndReason> {
        if self.skip_to_sync && !matches!(request, Request::Sync(_)) {
            return Ok(());
        }
        let result = match request {
            Request::Query(query) => return self.simple_query(&query.query).await,
            Request::Sync(_) => return self.sync().await,
            Request::Flush(_) => return self.flush().await,
            Request::Parse(parse) => self.parse(parse).await?,
            Request::Bind(bind) => self.bind(&bind)?,
            Request::Describe(describe) => self.describe(&describe)?,
            Request::Execute(execute) => self.execute_portal(&execute).await?,
            Request::Close(close) => self.close(&close)?,
            _ => Err(SqlError::fatal("08P01", "the message is not supported")),
        };
        if let Err(error) = result {
            self.skip_to_sync = true;
            self.report_error(&error)?;
        }
        Ok(())
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), EndReason> {
        self.begin_statement(text);
        let result = match sql::parse(text) {
            Ok(statements) if statements.is_empty() => {
                self.wire.push(&Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
                Ok(())
            }
            Ok(statements) => self.run_all(statements).await?,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            self.report_error(&error)?;
        }
        self.end_implicit_transaction().await.or_else(|error| self.report_error(&error))?;
        self.send_ready().await
    }

    async fn run_all(
        &mut self,
        statements: Vec<Statement>,
    ) -> Result<Result<(), SqlError>, EndReason> {
        let last = statements.len() - 1;
        for (index, statement) in statements.into_iter().enumerate() {
            let mut outcome = match self.execute(&Arc::new(statement), &[], &[]).await {
                Ok(outcome) => outcome,
                Err(error) => return Ok(Err(error)),
            };
            // Commits before the last command tag is sent, because a client that gets it may rely on the commit.
            if index == last
                && let Err(error) = self.end_implicit_transaction().await
            {
                return Ok(Err(error));
            }
            if !outcome.columns.is_empty() {
                self.push_row_description(&outcome.columns, &[])?;
            }
            if let Err(error) = self.push_rows(&mut outcome, &[], usize::MAX)? {
                return Ok(Err(error));
            }
            self.wire.push(&Message::CommandComplete(CommandComplete::new(outcome.tag)))?;
        }
        Ok(Ok(()))
    }

    async fn sync(&mut self) -> Result<(), EndReason> {
        self.skip_to_sync = false;
        self.end_implicit_transaction().await.or_else(|error| self.report_error(&error))?;
        self.send_ready().await
    }

    fn push_row_description(
        &mut self,
        columns: &[Column],
        formats: &[i16],
    ) -> Result<(), EndReason> {
        let field = |(index, column): (usize, &Column)| {
            FieldDescription::new(
                column.name.clone(),
                0,
                0,
                column.pg_type.oid(),
                column.pg_type.size(),
                -1,
                format_at(formats, index).code(),
            )
        };
        let fields = columns.iter().enumerate().map(field).collect();
        Ok(self.wire.push(&Message::RowDescription(RowDescription::new(fields)))?)
    }

    fn push_rows(
        &mut self,
        outcome: &mut Outcome,
        formats: &[i16],
        limit: usize,
    ) -> Result<Result<(), SqlError>, EndReason> {
        for row in outcome.rows.by_ref().take(limit) {
            let mut data = BytesMut::new();
            for (index, (value, column)) in row.iter().zip(&outcome.columns).enumerate() {
                let format = format_at(formats, index);
                if let Err(error) = value::encode(value, column.pg_type, format, &mut data) {
                    return Ok(Err(error));
                }
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            self.wire.push(&Message::DataRow(DataRow::new(data, count)))?;
        }
        Ok(Ok(()))
    }

    fn begin_statement(&mut self, text: &str) {
        self.member.record(text);
        // Discards a cancellation that arrived after the previous statement had ended.
        self.backend.cancelled.try_recv().ok();
    }

    /// Adds an error to the output and marks the transaction as failed; a fatal error ends the connection.
    fn report_error(&mut self, error: &SqlError) -> Result<(), EndReason> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        if error.fatal {
            return Err(EndReason::Fatal(error.clone()));
        }
        Ok(self.wire.push(&Message::ErrorResponse(error.response()))?)
    }

    /// Ends a transaction that was not begun explicitly: commits it, or rolls it back if it has failed.
    async fn end_implicit_transaction(&mut self) -> Result<(), SqlError> {
        match self.transaction.take_if(|transaction| !transaction.explicit) {
            Some(transaction) if !transaction.failed => self.commit(transaction).await,
            _ => Ok(()),
        }
    }

    async fn commit(&mut self, transaction: Transaction) -> Result<(), SqlError> {
        self.backend.writing.store(false, Ordering::SeqCst);
        self.member.wait_while_blocked(&self.backend.application_name).await;
        if self.backend.stop_reason().is_some() {
            return Err(SqlError::terminated());
        }
        if let Some(position) = transaction.commit(&self.member)? {
            self.last_commit = Some(position);
        }
        Ok(())
    }

    async fn send_ready(&mut self) -> Result<(), EndReason> {
        let (status, activity) = match &self.transaction {
            None => (TransactionStatus::Idle, Activity::Idle),
            Some(transaction) if transaction.failed => {
                (TransactionStatus::Error, Activity::IdleInFailedTransaction)
            }
            Some(_) => (TransactionStatus::Transaction, Activity::IdleInTransaction),
        };
        if self.transaction.is_none() {
            self.portals.clear();
        }
        self.wire.push(&Message::ReadyForQuery(ReadyForQuery::new(status)))?;
        self.backend.set_activity(activity);
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), EndReason> {
        self.member.wait_while_blocked(&self.backend.application_name).await;
        if let Some(reason @ StopReason::Crashed) = self.backend.stop_reason() {
            return Err(EndReason::Stopped(reason));
        }
        Ok(self.wire.flush().await?)
    }
}

/// Format of the value at `index`: a single code applies to all values, without any code all are text.
fn format_at(codes: &[i16], index: usize) -> Format {
    let code = if codes.len() == 1 { codes.first() } else { codes.get(index) };
    Format::from_code(code.copied().unwrap_or(0))
}
