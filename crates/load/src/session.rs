//! A client session: offers requests at its rate, moves between targets and checks the results of its reads.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use smol::Timer;

use crate::{
    client::{Client, Login},
    config::{RunConfig, WorkspaceLoad},
    entitlement::Entitlement,
    error::ClientError,
    operation::{Kind, Outcome, Record},
};

/// Number of times that a write with an unknown outcome is repeated with its request id.
const RESOLVE_RETRIES: u32 = 3;

/// Delay after a failed connection attempt, and before a write with an unknown outcome is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Table of the load tool to which every write adds one row with a unique id.
pub(crate) const LEDGER_TABLE: &str = "hl_load_ledger";

/// Table whose route allows stale reads.
pub(crate) const CATALOGUE_TABLE: &str = "hl_load_catalogue";

/// Requests of one session, and the outcome of each of its writes by id.
#[derive(Debug, Default)]
pub(crate) struct SessionLog {
    pub(crate) records: Vec<Record>,
    pub(crate) writes: HashMap<String, Outcome>,
}

/// Settings and times that are common to all sessions of a run.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) run: RunConfig,
    /// Start of the load, from which the times of the records are measured.
    pub(crate) start: Instant,
    /// Time from `start` at which the sessions stop sending requests.
    pub(crate) end: Duration,
}

pub(crate) struct Session {
    shared: Arc<Shared>,
    load: WorkspaceLoad,
    /// Index of the workspace in the configuration of the run.
    workspace: usize,
    name: String,
    entitlement: Arc<Mutex<Entitlement>>,
    rng: StdRng,
    /// Index of the current target, modulo the number of targets.
    target: usize,
    client: Option<Client>,
    /// Newest position that the proxy reported; the next connection sends it.
    position: Option<String>,
    /// Number of the last acknowledged write; 0 before the first one and after a reported loss.
    last_written: u64,
    next_write: u64,
    log: SessionLog,
}

impl Session {
    pub(crate) fn new(
        shared: Arc<Shared>,
        load: WorkspaceLoad,
        workspace: usize,
        index: u32,
        entitlement: Arc<Mutex<Entitlement>>,
    ) -> Self {
        let seed = shared
            .run
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(workspace as u64 * 65_537 + u64::from(index));
        Self {
            target: index as usize % shared.run.targets.len(),
            name: format!("{}-{index}", load.name),
            shared,
            load,
            workspace,
            entitlement,
            rng: StdRng::seed_from_u64(seed),
            client: None,
            position: None,
            last_written: 0,
            next_write: 1,
            log: SessionLog::default(),
        }
    }

    /// Offers load until the end of the run.
    pub(crate) async fn run(mut self) -> SessionLog {
        let rate = self.load.offered_rate / f64::from(self.load.sessions);
        let mut next = self.inter_arrival_time(rate);
        let mut since_roam = 0;
        while next < self.shared.end {
            Timer::at(self.shared.start + next).await;
            self.run_request(next).await;
            next += self.inter_arrival_time(rate);
            since_roam += 1;
            if self.load.roam_after > 0 && since_roam >= self.load.roam_after {
                self.roam().await;
                since_roam = 0;
            }
        }
        self.disconnect().await;
        self.log
    }

    async fn run_request(&mut self, offered: Duration) {
        let now = self.shared.start.elapsed();
        let entitled = self.entitlement.lock().unwrap_or_else(PoisonError::into_inner).covers(now);
        let kind = self.pick_kind();
        let outcome = match kind {
            Kind::Read => self.read().await,
            Kind::StaleRead => self.stale_read().await,
            Kind::Write => self.write().await,
        };
        let answered = self.shared.start.elapsed();
        self.log.records.push(Record {
            workspace: self.workspace,
            kind,
            offered,
            answered,
            outcome,
            entitled,
        });
    }

    async fn read(&mut self) -> Outcome {
        let sql = format!("SELECT max(n) FROM {LEDGER_TABLE} WHERE session = '{}'", self.name);
        match self.query(&sql).await {
            Ok(rows) => {
                let seen = rows.first().and_then(|row| row.first().cloned().flatten());
                let seen = seen.and_then(|text| text.parse().ok()).unwrap_or(0);
                if seen < self.last_written { Outcome::Stale } else { Outcome::Done }
            }
            Err(error) => self.handle_failure(&error),
        }
    }

    async fn stale_read(&mut self) -> Outcome {
        match self.query(&format!("SELECT count(*) FROM {CATALOGUE_TABLE}")).await {
            Ok(_) => Outcome::Done,
            Err(error) => self.handle_failure(&error),
        }
    }

    async fn write(&mut self) -> Outcome {
        let n = self.next_write;
        self.next_write += 1;
        let id = format!("{}-{n}", self.name);
        let sql = format!(
            "/* hibiscus.request_id='{id}' */ INSERT INTO {LEDGER_TABLE} (id, session, n) VALUES ('{id}', '{}', {n})",
            self.name
        );
        let outcome = self.resolve(&sql).await;
        if outcome == Outcome::Done {
            self.last_written = n;
        }
        self.log.writes.insert(id, outcome);
        outcome
    }

    /// Runs a write and repeats it while its outcome is unknown; its request id makes the repetition safe.
    async fn resolve(&mut self, sql: &str) -> Outcome {
        let mut repeated = false;
        for _ in 0..=RESOLVE_RETRIES {
            let outcome = match self.query(sql).await {
                Ok(_) => Outcome::Done,
                Err(error) => self.handle_failure(&error),
            };
            match outcome {
                Outcome::Unknown => repeated = true,
                // A refused repetition does not show whether an earlier attempt ran.
                Outcome::RefusedForRate | Outcome::RefusedNotRun if repeated => {}
                outcome => return outcome,
            }
            Timer::after(RETRY_DELAY).await;
        }
        Outcome::Unknown
    }

    /// Returns the outcome of a failed request. After a reported loss the session does not expect its earlier writes in
    /// reads.
    fn handle_failure(&mut self, error: &ClientError) -> Outcome {
        let outcome = Outcome::from_error(error);
        if outcome == Outcome::WriteLost {
            self.last_written = 0;
        }
        outcome
    }

    async fn query(&mut self, sql: &str) -> Result<crate::client::Rows, ClientError> {
        let mut client = match self.client.take() {
            Some(client) => client,
            None => self.connect().await?,
        };
        let result = client.query(sql).await;
        self.position = client.position().map(str::to_owned).or_else(|| self.position.take());
        if is_connection_usable(&result) {
            self.client = Some(client);
        } else {
            self.target += 1;
        }
        result
    }

    async fn connect(&mut self) -> Result<Client, ClientError> {
        let targets = &self.shared.run.targets;
        let login = Login {
            target: &targets[self.target % targets.len()],
            workspace: &self.load.name,
            database: &self.load.database,
            key: &self.load.key,
            position: self.position.clone(),
        };
        let timeout = Duration::from_millis(self.shared.run.timeout_ms);
        let result = Client::connect(login, timeout).await;
        if result.is_err() {
            self.target += 1;
            Timer::after(RETRY_DELAY).await;
        }
        // The statement is sent only after the connection is established, so it certainly did not run.
        result.map_err(|error| ClientError::Server {
            sqlstate: "08001".to_owned(),
            message: format!("not run: {error}"),
        })
    }

    async fn roam(&mut self) {
        self.disconnect().await;
        self.target += 1;
    }

    async fn disconnect(&mut self) {
        if let Some(client) = self.client.take() {
            client.close().await;
        }
    }

    fn pick_kind(&mut self) -> Kind {
        let mix = self.load.mix;
        let choice = self.rng.random_range(0..mix.read + mix.stale_read + mix.write);
        if choice < mix.read {
            Kind::Read
        } else if choice < mix.read + mix.stale_read {
            Kind::StaleRead
        } else {
            Kind::Write
        }
    }

    /// Exponentially distributed time between two requests, for a mean of `rate` requests per second.
    fn inter_arrival_time(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

fn is_connection_usable<T>(result: &Result<T, ClientError>) -> bool {
    match result {
        Ok(_) => true,
        // `57P01` is the shutdown of the server, class `08` are connection errors.
        Err(ClientError::Server { sqlstate, .. }) => {
            !sqlstate.starts_with("57P01") && !sqlstate.starts_with("08")
        }
        Err(_) => false,
    }
}
