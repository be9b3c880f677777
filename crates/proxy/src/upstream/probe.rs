//! Checks of a silent connection through a new one.

use super::{Connection, Pool, UpstreamError, connection::with_timeout};
use std::time::Duration;

/// Longest time of a check.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a member says about one of its backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It runs a statement.
    Active,
    /// It does not exist or waits for a statement, so the answer to the last one was lost.
    Inactive,
}

/// A connection for checks.
#[derive(Debug)]
pub struct Probe {
    connection: Connection,
}

impl Probe {
    /// Opens a connection outside the bound of the pool.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached.
    pub async fn open(pool: &Pool) -> Result<Self, UpstreamError> {
        let connection = with_timeout(PROBE_TIMEOUT, pool.open()).await?;
        Ok(Self { connection })
    }

    /// State of the backend with the process id `process`.
    ///
    /// # Errors
    ///
    /// Returns an error when the member does not answer.
    pub async fn backend(&mut self, process: i32) -> Result<BackendState, UpstreamError> {
        let sql = format!("SELECT pid, state FROM pg_stat_activity WHERE pid = {process}");
        let result = with_timeout(PROBE_TIMEOUT, self.connection.query(&sql)).await?;
        Ok(match result.value(1) {
            Some("active") => BackendState::Active,
            _ => BackendState::Inactive,
        })
    }

    /// Runs a query within the bound of a check.
    ///
    /// # Errors
    ///
    /// Returns an error when the member does not answer in time or answers an error.
    pub async fn query(&mut self, sql: &str) -> Result<super::QueryResult, UpstreamError> {
        with_timeout(PROBE_TIMEOUT, self.connection.query(sql)).await
    }
}
