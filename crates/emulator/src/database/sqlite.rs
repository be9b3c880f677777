//! An SQLite connection that applies the log of its member and runs statements.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime},
};

use rusqlite::{Connection, InterruptHandle, functions::FunctionFlags, types::Value};

use super::{
    error::SqlError,
    infer::{self, Column, StatementTypes},
    log::{Content, Entry, EvalContext, Write},
    sql::Statement,
    value::PgType,
};

/// Result of a statement: its rows, and the number of rows that it changed.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
    pub(crate) changes: u64,
}

/// The backend whose statement runs on an SQLite connection, and the handle to interrupt it.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningStatement(Arc<Mutex<RunningState>>);

#[derive(Default)]
struct RunningState {
    pid: Option<i32>,
    interrupt: Option<InterruptHandle>,
}

impl fmt::Debug for RunningState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunningState").field("pid", &self.pid).finish_non_exhaustive()
    }
}

impl RunningStatement {
    /// Interrupts the statement that backend `pid` is running, if any.
    pub(crate) fn interrupt(&self, pid: i32) {
        let state = self.state();
        if state.pid == Some(pid)
            && let Some(handle) = &state.interrupt
        {
            handle.interrupt();
        }
    }

    fn set(&self, pid: Option<i32>) {
        self.state().pid = pid;
    }

    fn state(&self) -> MutexGuard<'_, RunningState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An in-memory database with the first `applied` entries of the log.
#[derive(Debug)]
pub(crate) struct Sqlite {
    conn: Connection,
    eval_context: Arc<Mutex<EvalContext>>,
    running: RunningStatement,
    applied: usize,
    truncations: u64,
}

impl Sqlite {
    /// Opens an empty database.
    pub(crate) fn open() -> rusqlite::Result<Self> {
        let eval_context = Arc::default();
        let conn = connect(&eval_context)?;
        let running = RunningStatement::default();
        running.state().interrupt = Some(conn.get_interrupt_handle());
        Ok(Self { conn, eval_context, running, applied: 0, truncations: 0 })
    }

    /// Reference to the running statement, which stays valid while the database is locked and after a reset.
    pub(crate) fn running_statement(&self) -> RunningStatement {
        self.running.clone()
    }

    /// Number of entries of the log that were applied.
    pub(crate) const fn applied(&self) -> usize {
        self.applied
    }

    /// Value of [`GroupLog::truncations`](super::log::GroupLog::truncations) for which the entries were applied.
    pub(crate) const fn truncations(&self) -> u64 {
        self.truncations
    }

    /// Replaces the contents by an empty database, for a log that was truncated.
    pub(crate) fn reset(&mut self, truncations: u64) -> Result<(), SqlError> {
        self.conn = connect(&self.eval_context)?;
        self.running.state().interrupt = Some(self.conn.get_interrupt_handle());
        self.applied = 0;
        self.truncations = truncations;
        Ok(())
    }

    /// Applies the next entries of the log.
    pub(crate) fn apply(&mut self, entries: &[Arc<Entry>]) -> Result<(), SqlError> {
        if entries.is_empty() {
            return Ok(());
        }
        self.conn.execute_batch("BEGIN")?;
        for entry in entries {
            if let Content::Writes(writes) = &entry.content {
                writes.iter().try_for_each(|write| self.replay(write))?;
            }
        }
        self.conn.execute_batch("COMMIT")?;
        self.applied += entries.len();
        Ok(())
    }

    fn replay(&self, write: &Write) -> Result<(), SqlError> {
        self.set_eval_context(write.eval_context);
        let mut statement = self.conn.prepare_cached(&write.sql)?;
        bind(&mut statement, &write.params)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
        Ok(())
    }

    /// Begins a transaction that writes.
    pub(crate) fn begin(&self) -> Result<(), SqlError> {
        Ok(self.conn.execute_batch("BEGIN IMMEDIATE")?)
    }

    /// Commits the open transaction, which is the next entry of the log.
    pub(crate) fn commit(&mut self) -> Result<(), SqlError> {
        self.conn.execute_batch("COMMIT")?;
        self.applied += 1;
        Ok(())
    }

    /// Rolls back the open transaction, if any.
    pub(crate) fn rollback(&self) {
        if !self.conn.is_autocommit()
            && let Err(error) = self.conn.execute_batch("ROLLBACK")
        {
            spdlog::error!("emulator: could not roll back a transaction: {error}");
        }
    }

    /// Whether a transaction is open.
    pub(crate) fn in_transaction(&self) -> bool {
        !self.conn.is_autocommit()
    }

    /// Runs a statement for backend `pid`.
    pub(crate) fn run(
        &self,
        pid: i32,
        sql: &Statement,
        params: &[Value],
        types: &[PgType],
        eval_context: EvalContext,
    ) -> Result<Rows, SqlError> {
        self.running.set(Some(pid));
        self.set_eval_context(eval_context);
        let result = self.query(sql, params, types);
        self.running.set(None);
        result
    }

    fn query(&self, sql: &Statement, params: &[Value], types: &[PgType]) -> Result<Rows, SqlError> {
        let mut statement = self.conn.prepare(&sql.text)?;
        let columns = infer::result_columns(&self.conn, sql, &statement, types);
        let width = columns.len();
        bind(&mut statement, params)?;
        let mut fetched = Vec::new();
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next()? {
            let values: rusqlite::Result<Vec<Value>> =
                (0..width).map(|index| row.get(index)).collect();
            fetched.push(values?);
        }
        drop(rows);
        Ok(Rows { columns, rows: fetched, changes: self.conn.changes() })
    }

    /// Types of the parameters and columns of a statement.
    pub(crate) fn describe(
        &self,
        sql: &Statement,
        oids: &[u32],
    ) -> Result<StatementTypes, SqlError> {
        let statement = self.conn.prepare(&sql.text)?;
        let params = infer::param_types(&self.conn, sql, oids);
        let columns = infer::result_columns(&self.conn, sql, &statement, &params);
        Ok(StatementTypes { params, columns })
    }

    fn set_eval_context(&self, eval_context: EvalContext) {
        *self.eval_context.lock().unwrap_or_else(PoisonError::into_inner) = eval_context;
    }
}

/// Binds parameters by the number in their name, such as `$2`.
fn bind(statement: &mut rusqlite::Statement<'_>, params: &[Value]) -> Result<(), SqlError> {
    for index in 1..=statement.parameter_count() {
        let number = statement.parameter_name(index).and_then(|name| name.get(1..)?.parse().ok());
        let value = number.and_then(|number: usize| params.get(number.checked_sub(1)?));
        let missing = || SqlError::new("08P01", "a parameter of the statement was not bound");
        statement.raw_bind_parameter(index, value.ok_or_else(missing)?)?;
    }
    Ok(())
}

/// Time since the Unix epoch.
pub(crate) fn now() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

fn connect(eval_context: &Arc<Mutex<EvalContext>>) -> rusqlite::Result<Connection> {
    let conn = Connection::open_in_memory()?;
    conn.pragma_update(None, "foreign_keys", true)?;
    let flags = FunctionFlags::SQLITE_UTF8;

    let shared = Arc::clone(eval_context);
    conn.create_scalar_function("now", 0, flags, move |_| {
        let eval_context = *shared.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(timestamp(eval_context.now))
    })?;

    let shared = Arc::clone(eval_context);
    conn.create_scalar_function("random", 0, flags, move |_| {
        let mut eval_context = shared.lock().unwrap_or_else(PoisonError::into_inner);
        eval_context.seed = next_random(eval_context.seed);
        // The upper 53 bits, as many as a double has in its mantissa, give a number from 0 to below 1.
        #[expect(clippy::cast_precision_loss, reason = "53 bits are exact")]
        Ok((eval_context.seed >> 11) as f64 / (1u64 << 53) as f64)
    })?;

    // The session waits before it runs the statement, so the function itself does nothing.
    conn.create_scalar_function("pg_sleep", 1, flags, |_| Ok(String::new()))?;
    conn.create_scalar_function("version", 0, flags, |_| {
        Ok("PostgreSQL 16.0 (hibiscusladder emulator)")
    })?;
    Ok(conn)
}

/// Text of a time since the Unix epoch in UTC, in the format of PostgreSQL.
fn timestamp(since_epoch: Duration) -> String {
    let seconds = since_epoch.as_secs();
    let (days, second_of_day) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) =
        (second_of_day / 3_600, second_of_day / 60 % 60, second_of_day % 60);
    let micros = since_epoch.subsec_micros();
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{micros:06}+00")
}

/// Year, month and day in the Gregorian calendar of the day that is `days` after 1 January 1970.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years are counted from March, so that the leap day is the last one; an era has 400 years. There are 719 468
    // days from 1 March of year 0 to 1 January 1970.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}

/// One step of the SplitMix64 generator.
const fn next_random(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
