//! Executes a run: creates the tables, offers load, injects the faults, and checks the outcome.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::join_all;
use hyper::Method;
use serde::Deserialize;
use smol::Timer;

use crate::{
    client::{Client, Login},
    config::{LoadConfig, WorkspaceLoad},
    entitlement::Entitlement,
    error::{ClientError, LoadError},
    fault, http,
    ledger::{self, LedgerCheck},
    measure::Measures,
    operation::Outcome,
    report::Report,
    session::{CATALOGUE_TABLE, LEDGER_TABLE, Session, SessionLog, Shared},
};

/// Attempts of each statement that creates a table or reads the ledger for the final check.
const STATEMENT_ATTEMPTS: u32 = 40;

/// Delay between two attempts of such a statement.
const STATEMENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs the load that `cfg` describes and returns the report.
///
/// # Errors
///
/// Returns an error when a workspace cannot run a statement on any target, before the load or for the final check.
pub async fn run(cfg: &LoadConfig) -> Result<Report, LoadError> {
    create_tables(cfg).await?;
    let before = reads_by_role(cfg).await;
    let start = Instant::now();
    let schedule = smol::spawn(fault::run_schedule(cfg.faults.clone(), start));
    let logs = run_sessions(cfg, start).await;
    let faults = schedule.await;
    let after = reads_by_role(cfg).await;
    let (records, writes) = merge_logs(logs);
    Ok(Report {
        measures: Measures::compute(cfg, &records),
        replica_share: before.zip(after).map(|(before, after)| after.replica_share_since(before)),
        ledger: check_ledger(cfg, &writes).await?,
        faults: Report::describe_faults(&faults),
        records,
    })
}

async fn run_sessions(cfg: &LoadConfig, start: Instant) -> Vec<SessionLog> {
    let shared = Arc::new(Shared { run: cfg.run.clone(), start, end: cfg.duration() });
    let mut tasks = Vec::new();
    for (workspace, load) in cfg.workspaces.iter().enumerate() {
        let entitlement = Entitlement::new(load.contract_rate, load.contract_burst);
        let entitlement = Arc::new(Mutex::new(entitlement));
        for index in 0..load.sessions {
            let shared = Arc::clone(&shared);
            let session =
                Session::new(shared, load.clone(), workspace, index, Arc::clone(&entitlement));
            tasks.push(smol::spawn(session.run()));
        }
    }
    join_all(tasks).await
}

fn merge_logs(logs: Vec<SessionLog>) -> (Vec<crate::operation::Record>, HashMap<String, Outcome>) {
    let mut records = Vec::new();
    let mut writes = HashMap::new();
    for log in logs {
        records.extend(log.records);
        writes.extend(log.writes);
    }
    (records, writes)
}

async fn create_tables(cfg: &LoadConfig) -> Result<(), LoadError> {
    for load in &cfg.workspaces {
        let statements = [
            format!("CREATE TABLE IF NOT EXISTS {LEDGER_TABLE} (id TEXT, session TEXT, n BIGINT)"),
            format!(
                "CREATE INDEX IF NOT EXISTS {LEDGER_TABLE}_session ON {LEDGER_TABLE} (session, n)"
            ),
            format!("CREATE TABLE IF NOT EXISTS {CATALOGUE_TABLE} (id BIGINT)"),
        ];
        for sql in statements {
            query_with_retries(cfg, load, &sql).await?;
        }
    }
    Ok(())
}

async fn check_ledger(
    cfg: &LoadConfig,
    writes: &HashMap<String, Outcome>,
) -> Result<LedgerCheck, LoadError> {
    let mut ids = Vec::new();
    for load in &cfg.workspaces {
        let sql = format!("SELECT id FROM {LEDGER_TABLE} WHERE session LIKE '{}-%'", load.name);
        let rows = query_with_retries(cfg, load, &sql).await?;
        ids.extend(rows.into_iter().filter_map(|row| row.into_iter().next().flatten()));
    }
    Ok(ledger::compare(writes, &ids))
}

/// Runs `sql` on the targets in turn until it succeeds, since a workspace may be past its rate or a target may be down.
async fn query_with_retries(
    cfg: &LoadConfig,
    load: &WorkspaceLoad,
    sql: &str,
) -> Result<crate::client::Rows, LoadError> {
    let timeout = Duration::from_millis(cfg.run.timeout_ms);
    let mut attempt = 0;
    loop {
        let target = &cfg.run.targets[attempt as usize % cfg.run.targets.len()];
        let error = match run_once(load, target, sql, timeout).await {
            Ok(rows) => return Ok(rows),
            Err(error) => error,
        };
        attempt += 1;
        if attempt >= STATEMENT_ATTEMPTS {
            return Err(LoadError::Unreachable {
                target: target.clone(),
                workspace: load.name.clone(),
                source: error,
            });
        }
        Timer::after(STATEMENT_RETRY_DELAY).await;
    }
}

async fn run_once(
    load: &WorkspaceLoad,
    target: &str,
    sql: &str,
    timeout: Duration,
) -> Result<crate::client::Rows, ClientError> {
    let login = Login {
        target,
        workspace: &load.name,
        database: &load.database,
        key: &load.key,
        position: None,
    };
    let mut client = Client::connect(login, timeout).await?;
    let rows = client.query(sql).await?;
    client.close().await;
    Ok(rows)
}

/// Number of reads that the members of the emulated databases have run so far, by their role.
#[derive(Debug, Clone, Copy, Default)]
struct ReadsByRole {
    primary: u64,
    replica: u64,
}

/// Part of an emulator's list of members that counts reads.
#[derive(Debug, Deserialize)]
struct MemberList {
    items: Vec<MemberReads>,
}

/// Reads of one member.
#[derive(Debug, Deserialize)]
struct MemberReads {
    reads_as_primary: u64,
    reads_as_replica: u64,
}

impl ReadsByRole {
    fn replica_share_since(self, before: Self) -> f64 {
        let replica = self.replica.saturating_sub(before.replica);
        let total = replica + self.primary.saturating_sub(before.primary);
        if total == 0 { 0.0 } else { replica as f64 / total as f64 }
    }
}

async fn reads_by_role(cfg: &LoadConfig) -> Option<ReadsByRole> {
    if cfg.run.database_admin.is_empty() {
        return None;
    }
    let mut sum = ReadsByRole::default();
    for address in &cfg.run.database_admin {
        let text = http::call(address, Method::GET, "/admin/members", "").await.ok()?;
        let list: MemberList = serde_json::from_str(&text).ok()?;
        for member in list.items {
            sum.primary += member.reads_as_primary;
            sum.replica += member.reads_as_replica;
        }
    }
    Some(sum)
}
