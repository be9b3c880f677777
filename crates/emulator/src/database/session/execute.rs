//! Executes statements and tracks the state of the transaction.

use std::{
    hash::{BuildHasher, Hasher},
    sync::{Arc, atomic::Ordering},
};

use rusqlite::types::Value;
use smol::Timer;

use super::{Outcome, Session};
use crate::database::{
    control::CallingBackend,
    error::SqlError,
    infer::Column,
    log::{EvalContext, Role, Write},
    sql::{CommandTag, Statement, StatementKind},
    sqlite::{self, Rows, Sqlite},
    transaction::Writer,
    value::PgType,
};

impl Session {
    pub(super) async fn execute(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
    ) -> Result<Outcome, SqlError> {
        let failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        let is_allowed_after_failure = matches!(
            statement.kind,
            StatementKind::Commit | StatementKind::Rollback | StatementKind::RollbackTo(_)
        );
        if failed && !is_allowed_after_failure {
            return Err(SqlError::transaction_failed());
        }
        match &statement.kind {
            StatementKind::Begin => self.begin().await,
            StatementKind::Commit => self.commit_explicit().await,
            StatementKind::Rollback => {
                self.transaction = None;
                self.backend.writing.store(false, Ordering::SeqCst);
                Ok(Outcome::without_rows("ROLLBACK"))
            }
            StatementKind::Savepoint(name) => self.savepoint(statement, name).await,
            StatementKind::RollbackTo(name) => self.rollback_to(statement, name).await,
            StatementKind::Release(name) => self.release(statement, name).await,
            StatementKind::Set => Ok(Outcome::without_rows("SET")),
            StatementKind::Show(name) => Ok(self.show(name)),
            StatementKind::Discard => {
                self.statements.clear();
                self.member.backends().unlock_all(self.backend.pid);
                Ok(Outcome::without_rows("DISCARD ALL"))
            }
            StatementKind::Deallocate(name) => {
                self.statements
                    .retain(|prepared, _| name.as_ref().is_some_and(|name| name != prepared));
                Ok(Outcome::without_rows("DEALLOCATE"))
            }
            StatementKind::Control(call) => {
                let backend =
                    CallingBackend { pid: self.backend.pid, last_commit: self.last_commit };
                let rows = call.run(&self.member, backend, params)?;
                let tag = CommandTag::Select.text(rows.rows.len(), 0);
                Ok(Outcome::with_rows(rows, tag))
            }
            StatementKind::Data { write, tag } => {
                let rows = self.run_data(statement, params, types, *write).await?;
                let returned = rows.rows.len();
                let changed = if rows.columns.is_empty() { rows.changes } else { returned as u64 };
                Ok(Outcome::with_rows(rows, tag.text(returned, changed)))
            }
            StatementKind::Unsupported(name) => {
                Err(SqlError::new("0A000", format!("{name} is not supported")))
            }
        }
    }

    async fn begin(&mut self) -> Result<Outcome, SqlError> {
        self.acquire_slot().await?;
        if let Some(transaction) = &mut self.transaction {
            transaction.explicit = true;
        }
        Ok(Outcome::without_rows("BEGIN"))
    }

    async fn commit_explicit(&mut self) -> Result<Outcome, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(Outcome::without_rows("COMMIT"));
        };
        if transaction.failed {
            return Ok(Outcome::without_rows("ROLLBACK"));
        }
        self.commit(transaction).await?;
        Ok(Outcome::without_rows("COMMIT"))
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
        // Only a primary accepts writes, so other members have nothing to roll back.
        if self.member.log().role == Role::Primary {
            self.run_data(statement, &[], &[], true).await?;
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.savepoints.push(name.to_owned());
        }
        Ok(Outcome::without_rows("SAVEPOINT"))
    }

    async fn rollback_to(
        &mut self,
        statement: &Arc<Statement>,
        name: &str,
    ) -> Result<Outcome, SqlError> {
        let found = self.transaction.as_mut().is_some_and(|tx| tx.remove_savepoints(name, false));
        if !found {
            return Err(missing_savepoint(name));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = false;
        }
        self.run_if_writing(statement).await?;
        Ok(Outcome::without_rows("ROLLBACK"))
    }

    async fn release(
        &mut self,
        statement: &Arc<Statement>,
        name: &str,
    ) -> Result<Outcome, SqlError> {
        let found = self.transaction.as_mut().is_some_and(|tx| tx.remove_savepoints(name, true));
        if !found {
            return Err(missing_savepoint(name));
        }
        self.run_if_writing(statement).await?;
        Ok(Outcome::without_rows("RELEASE"))
    }

    async fn run_if_writing(&mut self, statement: &Arc<Statement>) -> Result<(), SqlError> {
        if self.transaction.as_ref().is_some_and(|transaction| transaction.writer.is_some()) {
            self.run_data(statement, &[], &[], true).await?;
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
        Outcome::with_rows(Rows { columns, rows, changes: 0 }, "SHOW".to_owned())
    }

    /// Starts a transaction if none is open, and waits for its slot.
    async fn acquire_slot(&mut self) -> Result<(), SqlError> {
        if self.transaction.as_ref().is_some_and(|transaction| transaction.slot.is_some()) {
            return Ok(());
        }
        let slot = self.backend.interruptible(self.member.slots.acquire_arc()).await?;
        self.transaction.get_or_insert_default().slot = Some(slot);
        Ok(())
    }

    /// Runs a statement that reads or writes data.
    async fn run_data(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
        write: bool,
    ) -> Result<Rows, SqlError> {
        self.acquire_slot().await?;
        let extra_time = self.member.settings.statement_time + statement.sleep.unwrap_or_default();
        if !extra_time.is_zero() {
            self.backend.interruptible(Timer::after(extra_time)).await?;
        }
        self.member.wait_while_blocked(&self.backend.application_name).await;
        let eval_context = self.eval_context();
        let has_writer = self.transaction.as_ref().is_some_and(|tx| tx.writer.is_some());
        if write || has_writer {
            return self.run_in_writer(statement, params, types, eval_context, write).await;
        }
        self.member.record_read();
        let (pid, statement) = (self.backend.pid, Arc::clone(statement));
        let (params, types) = (params.to_vec(), types.to_vec());
        let short = statement.is_short();
        let job = move |db: &Sqlite| db.run(pid, &statement, &params, &types, eval_context);
        self.member.run_read(&self.backend, short, job).await
    }

    async fn run_in_writer(
        &mut self,
        statement: &Arc<Statement>,
        params: &[Value],
        types: &[PgType],
        eval_context: EvalContext,
        write: bool,
    ) -> Result<Rows, SqlError> {
        if write && self.member.log().role != Role::Primary {
            return Err(SqlError::read_only());
        }
        let (writer, is_new) = self.acquire_writer().await?;
        let member = Arc::clone(&self.member);
        let (pid, sql) = (self.backend.pid, Arc::clone(statement));
        let (values, types) = (params.to_vec(), types.to_vec());
        let short = sql.is_short();
        let job = move || {
            let mut writer = writer;
            let db = &mut *writer.0;
            let ready = if is_new { member.catch_up(db).and_then(|()| db.begin()) } else { Ok(()) };
            let result = ready.and_then(|()| db.run(pid, &sql, &values, &types, eval_context));
            (writer, result)
        };
        let (writer, result) = self.member.run_job(&self.backend, short, job).await;
        let transaction = self.transaction.get_or_insert_default();
        transaction.writer = Some(writer);
        if write && result.is_ok() {
            let sql = Arc::clone(&statement.text);
            transaction.writes.push(Write { sql, params: params.to_vec(), eval_context });
        }
        result
    }

    /// Returns the writer of the transaction, and whether its SQLite transaction is still to be begun.
    async fn acquire_writer(&mut self) -> Result<(Writer, bool), SqlError> {
        if let Some(writer) = self.transaction.as_mut().and_then(|tx| tx.writer.take()) {
            return Ok((writer, false));
        }
        let guard = self.backend.interruptible(self.member.writer.lock_arc()).await?;
        self.backend.writing.store(true, Ordering::SeqCst);
        Ok((Writer(guard), true))
    }

    fn eval_context(&mut self) -> EvalContext {
        self.statements_run += 1;
        let mut hasher = self.seed_hasher.build_hasher();
        hasher.write_u64(self.statements_run);
        EvalContext { now: sqlite::now(), seed: hasher.finish() }
    }
}

fn missing_savepoint(name: &str) -> SqlError {
    SqlError::new("3B001", format!("savepoint \"{name}\" does not exist"))
}
