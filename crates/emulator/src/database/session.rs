//! Serves one connection after its start-up.

use std::{
    collections::HashMap,
    hash::{BuildHasher, Hasher, RandomState},
    io,
    sync::{Arc, atomic::Ordering},
};

use bytes::{Bytes, BytesMut};
use hibiscusladder_core::position::Position;
use pgwire::messages::{
    PgWireBackendMessage as Message, PgWireFrontendMessage as Request,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{
        Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
        PortalSuspended,
    },
    response::{CommandComplete, EmptyQueryResponse, ReadyForQuery, TransactionStatus},
};
use rusqlite::types::Value;
use smol::{Timer, future::FutureExt};

use super::{
    control::Caller,
    error::SqlError,
    infer::{Column, Types},
    log::{Context, Role, Write},
    member::{Activity, Backend, Member, Stop},
    sql::{self, Kind, Statement, Tag},
    sqlite::{self, Rows},
    transaction::{Transaction, Writer},
    value::{self, Format, PgType},
    wire::Wire,
};

/// Target types of a Close or Describe message.
const TARGET_STATEMENT: u8 = b'S';

/// A statement that was parsed; `None` for an empty text.
#[derive(Debug)]
struct Prepared {
    statement: Option<Arc<Statement>>,
    types: Types,
}

/// A prepared statement with its parameters.
#[derive(Debug)]
struct Portal {
    prepared: Arc<Prepared>,
    params: Vec<Value>,
    formats: Vec<i16>,
    outcome: Option<Outcome>,
}

/// Result of a statement, of which a part may have been sent.
#[derive(Debug)]
struct Outcome {
    columns: Vec<Column>,
    rows: std::vec::IntoIter<Vec<Value>>,
    tag: String,
}

impl Outcome {
    fn tag<S>(tag: S) -> Self
    where
        S: Into<String>,
    {
        Self { columns: Vec::new(), rows: Vec::new().into_iter(), tag: tag.into() }
    }

    fn rows(rows: Rows, tag: String) -> Self {
        Self { columns: rows.columns, rows: rows.rows.into_iter(), tag }
    }
}

/// Why a connection ends.
#[derive(Debug)]
enum End {
    Io(io::Error),
    Stopped(Stop),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The server's side of a connection.
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
    random: RandomState,
    statements_run: u64,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.transaction = None;
        self.member.unregister(self.backend.pid);
    }
}

impl Session {
    /// Takes over a connection whose start-up has succeeded.
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
            random: RandomState::new(),
            statements_run: 0,
        }
    }

    /// Serves the connection until it ends.
    pub(crate) async fn run(mut self) {
        match self.serve().await {
            Ok(()) => {}
            Err(End::Io(error)) => {
                spdlog::debug!("emulator: connection {} ended: {error}", self.backend.pid);
            }
            Err(End::Stopped(Stop::Crashed)) => {}
            Err(End::Stopped(Stop::Terminated)) => self.say_terminated().await,
        }
    }

    async fn say_terminated(&mut self) {
        let message = Message::ErrorResponse(SqlError::terminated().response());
        if self.wire.push(&message).is_ok() {
            // The client may have gone already.
            self.wire.flush().await.ok();
        }
    }

    async fn serve(&mut self) -> Result<(), End> {
        self.ready().await?;
        while let Some(request) = self.next().await? {
            self.backend.set_activity(Activity::Active);
            self.member.runnable(&self.backend.peer).await;
            if matches!(request, Request::Terminate(_)) {
                return Ok(());
            }
            self.handle(request).await?;
            if let Some(reason) = self.backend.stop_reason() {
                return Err(End::Stopped(reason));
            }
        }
        Ok(())
    }

    async fn next(&mut self) -> Result<Option<Request>, End> {
        let stopped = self.backend.stopped.clone();
        let backend = Arc::clone(&self.backend);
        let stop = async {
            // The channel carries nothing; it is closed when the backend is stopped.
            stopped.recv().await.ok();
            Err(End::Stopped(backend.stop_reason().unwrap_or(Stop::Crashed)))
        };
        let read = async { Ok(self.wire.read().await?) };
        read.or(stop).await
    }

    async fn handle(&mut self, request: Request) -> Result<(), End> {
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
            self.fail(&error)?;
        }
        Ok(())
    }

    async fn simple_query(&mut self, text: &str) -> Result<(), End> {
        self.begin_message(text);
        let result = match sql::parse(text) {
            Ok(statements) if statements.is_empty() => {
                self.wire.push(&Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
                Ok(())
            }
            Ok(statements) => self.run_all(statements).await?,
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            self.fail(&error)?;
        }
        self.end_implicit().await.or_else(|error| self.fail(&error))?;
        self.ready().await
    }

    async fn run_all(&mut self, statements: Vec<Statement>) -> Result<Result<(), SqlError>, End> {
        let last = statements.len() - 1;
        for (index, statement) in statements.into_iter().enumerate() {
            let mut outcome = match self.execute(&Arc::new(statement), &[], &[]).await {
                Ok(outcome) => outcome,
                Err(error) => return Ok(Err(error)),
            };
            // A client that sees the tag of the last statement may rely on its commit.
            if index == last
                && let Err(error) = self.end_implicit().await
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

    async fn sync(&mut self) -> Result<(), End> {
        self.skip_to_sync = false;
        self.end_implicit().await.or_else(|error| self.fail(&error))?;
        self.ready().await
    }

    async fn parse(&mut self, parse: Parse) -> Result<Result<(), SqlError>, End> {
        self.begin_message(&parse.query);
        let prepared = match self.prepare(&parse).await {
            Ok(prepared) => Arc::new(prepared),
            Err(error) => return Ok(Err(error)),
        };
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Ok(Err(SqlError::new("42P05", message)));
        }
        self.statements.insert(name, prepared);
        self.wire.push(&Message::ParseComplete(ParseComplete::new()))?;
        Ok(Ok(()))
    }

    async fn prepare(&mut self, parse: &Parse) -> Result<Prepared, SqlError> {
        let mut statements = sql::parse(&parse.query)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(SqlError::new("42601", message));
        }
        let Some(statement) = statements.pop().map(Arc::new) else {
            return Ok(Prepared { statement: None, types: Types::default() });
        };
        let types = match &statement.kind {
            Kind::Control(call) => {
                Types { params: call.numbered_param_types(), columns: call.columns() }
            }
            Kind::Show(name) => {
                Types { params: Vec::new(), columns: vec![Column::new(name, PgType::Text)] }
            }
            Kind::Data { .. } => self.describe_data(&statement, parse.type_oids.clone()).await?,
            _ => Types::default(),
        };
        Ok(Prepared { statement: Some(statement), types })
    }

    /// Types of a data statement, as the open transaction sees the tables.
    async fn describe_data(
        &mut self,
        statement: &Arc<Statement>,
        oids: Vec<u32>,
    ) -> Result<Types, SqlError> {
        let statement = Arc::clone(statement);
        if let Some(writer) = self.transaction.as_mut().and_then(|tx| tx.writer.take()) {
            let (writer, types) = run_job(statement.is_short(), move || {
                let types = writer.0.describe(&statement, &oids);
                (writer, types)
            })
            .await;
            if let Some(transaction) = &mut self.transaction {
                transaction.writer = Some(writer);
            }
            return types;
        }
        let member = Arc::clone(&self.member);
        run_job(statement.is_short(), move || {
            let mut db = member.reader.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            member.catch_up(&mut db)?;
            db.describe(&statement, &oids)
        })
        .await
    }

    fn bind(&mut self, bind: &Bind) -> Result<Result<(), SqlError>, End> {
        let portal = match self.portal(bind) {
            Ok(portal) => portal,
            Err(error) => return Ok(Err(error)),
        };
        self.member.record_params(&portal.params);
        self.portals.insert(bind.portal_name.clone().unwrap_or_default(), portal);
        self.wire.push(&Message::BindComplete(BindComplete::new()))?;
        Ok(Ok(()))
    }

    fn portal(&self, bind: &Bind) -> Result<Portal, SqlError> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let prepared = self.statement(name)?;
        let types = &prepared.types.params;
        if types.len() != bind.parameters.len() {
            let message = format!(
                "bind message supplies {} parameters, but prepared statement \"{name}\" requires {}",
                bind.parameters.len(),
                types.len()
            );
            return Err(SqlError::new("08P01", message));
        }
        let formats = &bind.parameter_format_codes;
        let decode = |(index, (bytes, pg_type)): (usize, (&Option<Bytes>, &PgType))| {
            value::decode(bytes.as_deref(), *pg_type, format_at(formats, index))
        };
        let params: Result<Vec<Value>, SqlError> =
            bind.parameters.iter().zip(types).enumerate().map(decode).collect();
        Ok(Portal {
            params: params?,
            formats: bind.result_column_format_codes.clone(),
            outcome: None,
            prepared,
        })
    }

    fn statement(&self, name: &str) -> Result<Arc<Prepared>, SqlError> {
        let missing =
            || SqlError::new("26000", format!("prepared statement \"{name}\" does not exist"));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    fn describe(&mut self, describe: &Describe) -> Result<Result<(), SqlError>, End> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (prepared, formats) = if describe.target_type == TARGET_STATEMENT {
            let prepared = match self.statement(name) {
                Ok(prepared) => prepared,
                Err(error) => return Ok(Err(error)),
            };
            let oids = prepared.types.params.iter().map(|pg_type| pg_type.oid()).collect();
            self.wire.push(&Message::ParameterDescription(ParameterDescription::new(oids)))?;
            (prepared, Vec::new())
        } else {
            match self.portals.get(name) {
                Some(portal) => (Arc::clone(&portal.prepared), portal.formats.clone()),
                None => return Ok(Err(missing_portal(name))),
            }
        };
        if prepared.types.columns.is_empty() {
            self.wire.push(&Message::NoData(NoData::new()))?;
        } else {
            self.push_row_description(&prepared.types.columns, &formats)?;
        }
        Ok(Ok(()))
    }

    async fn execute_portal(&mut self, execute: &Execute) -> Result<Result<(), SqlError>, End> {
        let name = execute.name.clone().unwrap_or_default();
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(missing_portal(&name)));
        };
        let Some(statement) = portal.prepared.statement.clone() else {
            self.wire.push(&Message::EmptyQueryResponse(EmptyQueryResponse::new()))?;
            return Ok(Ok(()));
        };
        let mut outcome = match portal.outcome.take() {
            Some(outcome) => outcome,
            None => {
                let types = &portal.prepared.types.params;
                match self.execute(&statement, &portal.params, types).await {
                    Ok(outcome) => outcome,
                    Err(error) => return Ok(Err(error)),
                }
            }
        };
        let limit = usize::try_from(execute.max_rows).ok().filter(|max| *max > 0);
        if let Err(error) =
            self.push_rows(&mut outcome, &portal.formats, limit.unwrap_or(usize::MAX))?
        {
            return Ok(Err(error));
        }
        if limit.is_some() && outcome.rows.len() > 0 {
            self.wire.push(&Message::PortalSuspended(PortalSuspended::new()))?;
        } else {
            let tag = outcome.tag.clone();
            self.wire.push(&Message::CommandComplete(CommandComplete::new(tag)))?;
        }
        portal.outcome = Some(outcome);
        self.portals.insert(name, portal);
        Ok(Ok(()))
    }

    fn close(&mut self, close: &Close) -> Result<Result<(), SqlError>, End> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        self.wire.push(&Message::CloseComplete(CloseComplete::new()))?;
        Ok(Ok(()))
    }

    fn push_row_description(&mut self, columns: &[Column], formats: &[i16]) -> Result<(), End> {
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
    ) -> Result<Result<(), SqlError>, End> {
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

    fn begin_message(&mut self, text: &str) {
        self.member.record(text);
        // A cancellation that arrived after the last statement had ended has no effect.
        self.backend.cancelled.try_recv().ok();
    }

    /// Sends an error and marks the transaction as failed.
    fn fail(&mut self, error: &SqlError) -> Result<(), End> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
        }
        self.wire.push(&Message::ErrorResponse(error.response()))?;
        if error.fatal {
            return Err(End::Stopped(self.backend.stop_reason().unwrap_or(Stop::Crashed)));
        }
        Ok(())
    }

    /// Ends a transaction that was not begun explicitly.
    async fn end_implicit(&mut self) -> Result<(), SqlError> {
        match self.transaction.take_if(|transaction| !transaction.explicit) {
            Some(transaction) if !transaction.failed => self.commit(transaction).await,
            _ => Ok(()),
        }
    }

    async fn commit(&mut self, transaction: Transaction) -> Result<(), SqlError> {
        self.backend.writing.store(false, Ordering::SeqCst);
        self.member.runnable(&self.backend.peer).await;
        if let Some(position) = transaction.commit(&self.member)? {
            self.last_commit = Some(position);
        }
        Ok(())
    }

    async fn ready(&mut self) -> Result<(), End> {
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

    async fn flush(&mut self) -> Result<(), End> {
        self.member.runnable(&self.backend.peer).await;
        if let Some(reason @ Stop::Crashed) = self.backend.stop_reason() {
            return Err(End::Stopped(reason));
        }
        Ok(self.wire.flush().await?)
    }

    async fn execute(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
    ) -> Result<Outcome, SqlError> {
        let failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        let ends = matches!(statement.kind, Kind::Commit | Kind::Rollback | Kind::RollbackTo(_));
        if failed && !ends {
            return Err(SqlError::transaction_failed());
        }
        match &statement.kind {
            Kind::Begin => self.begin().await,
            Kind::Commit => self.commit_explicit().await,
            Kind::Rollback => {
                self.transaction = None;
                self.backend.writing.store(false, Ordering::SeqCst);
                Ok(Outcome::tag("ROLLBACK"))
            }
            Kind::Savepoint(name) => self.savepoint(statement, name).await,
            Kind::RollbackTo(name) => self.rollback_to(statement, name).await,
            Kind::Release(name) => self.release(statement, name).await,
            Kind::Set => Ok(Outcome::tag("SET")),
            Kind::Show(name) => Ok(self.show(name)),
            Kind::Discard(tag) => {
                self.statements.clear();
                Ok(Outcome::tag(*tag))
            }
            Kind::Control(call) => {
                let caller = Caller { pid: self.backend.pid, last_commit: self.last_commit };
                let rows = call.run(&self.member, caller, params)?;
                let tag = Tag::Select.text(rows.rows.len(), 0);
                Ok(Outcome::rows(rows, tag))
            }
            Kind::Data { write, tag } => {
                let rows = self.data(statement, params, types, *write).await?;
                let returned = rows.rows.len();
                let changed = if rows.columns.is_empty() { rows.changes } else { returned as u64 };
                Ok(Outcome::rows(rows, tag.text(returned, changed)))
            }
            Kind::Unsupported(what) => {
                Err(SqlError::new("0A000", format!("{what} is not supported")))
            }
        }
    }

    async fn begin(&mut self) -> Result<Outcome, SqlError> {
        self.take_slot().await?;
        if let Some(transaction) = &mut self.transaction {
            transaction.explicit = true;
        }
        Ok(Outcome::tag("BEGIN"))
    }

    async fn commit_explicit(&mut self) -> Result<Outcome, SqlError> {
        let Some(transaction) = self.transaction.take() else { return Ok(Outcome::tag("COMMIT")) };
        if transaction.failed {
            return Ok(Outcome::tag("ROLLBACK"));
        }
        self.commit(transaction).await?;
        Ok(Outcome::tag("COMMIT"))
    }

    async fn savepoint(
        &mut self,
        statement: &Arc<Statement>,
        name: &str,
    ) -> Result<Outcome, SqlError> {
        if !self.transaction.as_ref().is_some_and(|transaction| transaction.explicit) {
            let message = "SAVEPOINT can only be used in transaction blocks";
            return Err(SqlError::new("25P01", message));
        }
        // A replica has nothing to return to, because it accepts no writes.
        if self.member.log().role == Role::Primary {
            self.data(statement, &[], &[], true).await?;
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.savepoints.push(name.to_owned());
        }
        Ok(Outcome::tag("SAVEPOINT"))
    }

    async fn rollback_to(
        &mut self,
        statement: &Arc<Statement>,
        name: &str,
    ) -> Result<Outcome, SqlError> {
        let known = self.transaction.as_mut().is_some_and(|tx| tx.forget_savepoints(name, false));
        if !known {
            return Err(missing_savepoint(name));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = false;
        }
        self.data_if_writing(statement).await?;
        Ok(Outcome::tag("ROLLBACK"))
    }

    async fn release(
        &mut self,
        statement: &Arc<Statement>,
        name: &str,
    ) -> Result<Outcome, SqlError> {
        let known = self.transaction.as_mut().is_some_and(|tx| tx.forget_savepoints(name, true));
        if !known {
            return Err(missing_savepoint(name));
        }
        self.data_if_writing(statement).await?;
        Ok(Outcome::tag("RELEASE"))
    }

    async fn data_if_writing(&mut self, statement: &Arc<Statement>) -> Result<(), SqlError> {
        if self.transaction.as_ref().is_some_and(|transaction| transaction.writer.is_some()) {
            self.data(statement, &[], &[], true).await?;
        }
        Ok(())
    }

    fn show(&self, name: &str) -> Outcome {
        let text = match name {
            "transaction_read_only" if self.member.log().role != Role::Primary => "on",
            "transaction_read_only" => "off",
            "server_version" => "16.0",
            "transaction_isolation" => "read committed",
            "server_encoding" | "client_encoding" => "UTF8",
            "timezone" => "UTC",
            _ => "",
        };
        let columns = vec![Column::new(name, PgType::Text)];
        let rows = vec![vec![Value::Text(text.to_owned())]];
        Outcome::rows(Rows { columns, rows, changes: 0 }, "SHOW".to_owned())
    }

    /// Starts a transaction if there is none and waits for a slot.
    async fn take_slot(&mut self) -> Result<(), SqlError> {
        if self.transaction.as_ref().is_some_and(|transaction| transaction.slot.is_some()) {
            return Ok(());
        }
        let slot = self.backend.interruptible(self.member.slots.acquire_arc()).await?;
        self.transaction.get_or_insert_default().slot = Some(slot);
        Ok(())
    }

    /// Runs a statement that reads or writes data.
    async fn data(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
        write: bool,
    ) -> Result<Rows, SqlError> {
        self.take_slot().await?;
        let time = self.member.settings.statement_time + statement.sleep.unwrap_or_default();
        if !time.is_zero() {
            self.backend.interruptible(Timer::after(time)).await?;
        }
        self.member.runnable(&self.backend.peer).await;
        let context = self.context();
        let has_writer = self.transaction.as_ref().is_some_and(|tx| tx.writer.is_some());
        if write || has_writer {
            return self.run_in_writer(statement, params, types, context, write).await;
        }
        let member = Arc::clone(&self.member);
        let (pid, statement) = (self.backend.pid, Arc::clone(statement));
        let (params, types) = (params.to_vec(), types.to_vec());
        run_job(statement.is_short(), move || {
            let mut db = member.reader.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            member.catch_up(&mut db)?;
            db.run(pid, &statement, &params, &types, context)
        })
        .await
    }

    async fn run_in_writer(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
        context: Context,
        write: bool,
    ) -> Result<Rows, SqlError> {
        if write && self.member.log().role != Role::Primary {
            return Err(SqlError::read_only());
        }
        let (writer, fresh) = self.take_writer().await?;
        let member = Arc::clone(&self.member);
        let (pid, sql) = (self.backend.pid, Arc::clone(statement));
        let (values, types) = (params.to_vec(), types.to_vec());
        let (writer, result) = run_job(sql.is_short(), move || {
            let mut writer = writer;
            let db = &mut *writer.0;
            let ready = if fresh { member.catch_up(db).and_then(|()| db.begin()) } else { Ok(()) };
            let result = ready.and_then(|()| db.run(pid, &sql, &values, &types, context));
            (writer, result)
        })
        .await;
        let transaction = self.transaction.get_or_insert_default();
        transaction.writer = Some(writer);
        if write && result.is_ok() {
            let sql = Arc::clone(&statement.text);
            transaction.writes.push(Write { sql, params: params.to_vec(), context });
        }
        result
    }

    /// The writer of the transaction, and whether it has not begun yet.
    async fn take_writer(&mut self) -> Result<(Writer, bool), SqlError> {
        if let Some(writer) = self.transaction.as_mut().and_then(|tx| tx.writer.take()) {
            return Ok((writer, false));
        }
        let guard = self.backend.interruptible(self.member.writer.lock_arc()).await?;
        self.backend.writing.store(true, Ordering::SeqCst);
        Ok((Writer(guard), true))
    }

    fn context(&mut self) -> Context {
        self.statements_run += 1;
        let mut hasher = self.random.build_hasher();
        hasher.write_u64(self.statements_run);
        Context { now: sqlite::now(), seed: hasher.finish() }
    }
}

/// Runs a job that uses SQLite; only a short one may hold up the tasks of the other connections.
async fn run_job<T, F>(short: bool, job: F) -> T
where
    T: Send + 'static,
    F: FnOnce() -> T + Send + 'static,
{
    // Handing a job to another thread takes longer than most statements do.
    if short { job() } else { smol::unblock(job).await }
}

/// Format of the value at `index`: one code is valid for all, none means text.
fn format_at(codes: &[i16], index: usize) -> Format {
    let code = if codes.len() == 1 { codes.first() } else { codes.get(index) };
    Format::from_code(code.copied().unwrap_or(0))
}

fn missing_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}

fn missing_savepoint(name: &str) -> SqlError {
    SqlError::new("3B001", format!("savepoint \"{name}\" does not exist"))
}
