//! Checks, through a new connection, whether the backend of an unresponsive connection still runs its statement.

use super::{Connection, Pool, UpstreamError, connection::with_timeout};
use std::time::Duration;

/// Longest time for opening the connection, and for each query on it.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a backend as its member reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// The backend runs a statement.
    Active,
    /// The backend does not exist or waits for a statement, so the answer to its last statement was lost.
    Inactive,
}

/// A connection for checks of a member, outside its pool.
#[derive(Debug)]
pub struct Probe {
    connection: Connection,
}

impl Probe {
    /// Opens a connection that does not count towards the size of the pool.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached, does not answer in time or rejects the connection.
    pub async fn open(pool: &Pool) -> Result<Self, UpstreamError> {
        let connection = with_timeout(PROBE_TIMEOUT, pool.open()).await?;
        Ok(Self { connection })
    }

    /// Queries the state of the backend with the process id `pid`.
    ///
    /// # Errors
    ///
    /// Returns an error when the member does not answer in time or answers with an error.
    pub async fn backend_state(&mut self, pid: i32) -> Result<BackendState, UpstreamError> {
        let sql = format!("SELECT pid, state FROM pg_stat_activity WHERE pid = {pid}");
        let result = with_timeout(PROBE_TIMEOUT, self.connection.query(&sql)).await?;
        Ok(match result.value(1) {
            Some("active") => BackendState::Active,
            _ => BackendState::Inactive,
        })
    }

    /// Runs a simple query within the time limit of a check.
    ///
    /// # Errors
    ///
    /// Returns an error when the member does not answer in time or answers with an error.
    pub async fn query(&mut self, sql: &str) -> Result<super::QueryResult, UpstreamError> {
        with_timeout(PROBE_TIMEOUT, self.connection.query(sql)).await
    }
}
