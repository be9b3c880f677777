//! A member of a group: its log, databases, backends, slots and faults.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hibiscusladder_core::{
    name::{Database, MemberId},
    position::Position,
};
use rusqlite::types::Value;
use smol::{Timer, channel, future::FutureExt, lock::Semaphore};

use super::{
    admin::{MemberFaults, MemberReport},
    config::{GroupConfig, MemberConfig},
    error::SqlError,
    log::{GroupLog, Role, Write},
    sqlite::{RunningStatement, Sqlite},
    value::as_text,
};

/// Interval at which tasks check whether a fault was set or cleared, and at which they repeat failed attempts.
pub(crate) const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Settings that apply to all members.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) user: String,
    pub(crate) password: String,
    pub(crate) setup: Duration,
    pub(crate) lag: Duration,
    pub(crate) statement_time: Duration,
    pub(crate) kept_statements: usize,
}

impl Settings {
    /// Takes the settings that apply to all members from `cfg`.
    pub(crate) fn new(cfg: &GroupConfig) -> Self {
        Self {
            user: cfg.user.clone(),
            password: cfg.password.clone(),
            setup: Duration::from_millis(cfg.setup_ms),
            lag: Duration::from_millis(cfg.lag_ms),
            statement_time: Duration::from_micros(cfg.statement_us),
            kept_statements: cfg.kept_statements,
        }
    }
}

/// Reason for which a backend has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The connection ends with an error message to the client.
    Terminated,
    /// The connection is closed without a message.
    Crashed,
}

/// Activity of a backend, as in the `state` column of `pg_stat_activity`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Activity {
    Active,
    Idle,
    IdleInTransaction,
    IdleInFailedTransaction,
}

impl Activity {
    const fn name(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Idle => "idle",
            Self::IdleInTransaction => "idle in transaction",
            Self::IdleInFailedTransaction => "idle in transaction (aborted)",
        }
    }
}

/// State of one connection that other connections use, to cancel its statement or to end it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) pid: i32,
    pub(crate) secret: i32,
    pub(crate) application_name: String,
    /// Whether an open transaction has taken the writer.
    pub(crate) writing: AtomicBool,
    pub(crate) cancelled: channel::Receiver<()>,
    pub(crate) stopped: channel::Receiver<()>,
    cancel: channel::Sender<()>,
    stop: channel::Sender<()>,
    stop_reason: Mutex<Option<StopReason>>,
    activity: Mutex<Activity>,
}

impl Backend {
    fn new(pid: i32, secret: i32, application_name: String) -> Self {
        let (cancel, cancelled) = channel::bounded(1);
        let (stop, stopped) = channel::bounded(1);
        Self {
            pid,
            secret,
            application_name,
            writing: AtomicBool::new(false),
            cancelled,
            stopped,
            cancel,
            stop,
            stop_reason: Mutex::new(None),
            activity: Mutex::new(Activity::Active),
        }
    }

    /// Requests the end of the backend, which follows at its next wait; the first reason is kept.
    pub(crate) fn stop(&self, reason: StopReason) {
        lock(&self.stop_reason).get_or_insert(reason);
        self.stop.close();
    }

    /// Reason for which the backend has to end; `None` when no end was requested.
    pub(crate) fn stop_reason(&self) -> Option<StopReason> {
        *lock(&self.stop_reason)
    }

    /// Cancels the current statement.
    pub(crate) fn cancel(&self) {
        // When the channel is full, an earlier cancellation is still pending and has the same effect.
        self.cancel.try_send(()).ok();
    }

    /// Waits for `future` unless the statement is cancelled or the backend is stopped.
    pub(crate) async fn interruptible<F>(&self, future: F) -> Result<F::Output, SqlError>
    where
        F: Future,
    {
        let done = async { Ok(future.await) };
        let interrupted = async { Err(self.interrupted().await) };
        done.or(interrupted).await
    }

    /// Waits until the statement is cancelled or the backend is stopped.
    async fn interrupted(&self) -> SqlError {
        let cancelled = async {
            self.cancelled.recv().await.ok();
            SqlError::cancelled()
        };
        let stopped = async {
            self.stopped.recv().await.ok();
            SqlError::terminated()
        };
        cancelled.or(stopped).await
    }

    pub(crate) fn set_activity(&self, activity: Activity) {
        *lock(&self.activity) = activity;
    }
}

/// Backends and advisory locks of a member.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    next_pid: i32,
    backends: BTreeMap<i32, Arc<Backend>>,
    /// Holder of each advisory lock, and how many times it has taken the lock.
    locks: HashMap<i64, (i32, usize)>,
}

impl Backends {
    /// Takes the advisory lock `key` for `pid`, which may take it several times; false when another backend holds it.
    pub(crate) fn try_lock(&mut self, key: i64, pid: i32) -> bool {
        let (holder, count) = self.locks.entry(key).or_insert((pid, 0));
        if *holder != pid {
            return false;
        }
        *count += 1;
        true
    }

    /// Releases the advisory lock `key` once; false when `pid` does not hold it.
    pub(crate) fn unlock(&mut self, key: i64, pid: i32) -> bool {
        match self.locks.get_mut(&key) {
            Some((holder, count)) if *holder == pid => {
                *count -= 1;
                if *count == 0 {
                    self.locks.remove(&key);
                }
                true
            }
            _ => false,
        }
    }

    /// Releases all advisory locks of `pid`.
    pub(crate) fn unlock_all(&mut self, pid: i32) {
        self.locks.retain(|_, (holder, _)| *holder != pid);
    }

    /// Backend that holds the advisory lock `key`.
    pub(crate) fn lock_holder(&self, key: i64) -> Option<i32> {
        self.locks.get(&key).map(|(pid, _)| *pid)
    }

    /// Process ids of the backends with their activity.
    pub(crate) fn activity(&self) -> impl Iterator<Item = (i32, &'static str)> {
        self.backends.values().map(|backend| (backend.pid, lock(&backend.activity).name()))
    }

    /// Ends the backends whose open transaction has taken the writer.
    pub(crate) fn stop_writers(&self) {
        let writers =
            self.backends.values().filter(|backend| backend.writing.load(Ordering::SeqCst));
        writers.for_each(|backend| backend.stop(StopReason::Terminated));
    }

    pub(crate) fn get(&self, pid: i32) -> Option<&Arc<Backend>> {
        self.backends.get(&pid)
    }

    fn stop_all(&self) {
        self.backends.values().for_each(|backend| backend.stop(StopReason::Crashed));
    }

    fn remove(&mut self, pid: i32) {
        self.backends.remove(&pid);
        self.unlock_all(pid);
    }
}

/// Counters of received texts and reads, and the latest texts.
#[derive(Debug, Default)]
struct StatementStats {
    received: u64,
    reads_as_primary: u64,
    reads_as_replica: u64,
    recent: VecDeque<String>,
}

/// One member of a group.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) cfg: MemberConfig,
    pub(crate) database: Database,
    pub(crate) settings: Arc<Settings>,
    pub(crate) address: SocketAddr,
    pub(crate) slots: Arc<Semaphore>,
    /// Database for transactions that write, one at a time.
    pub(crate) writer: Arc<smol::lock::Mutex<Sqlite>>,
    /// Database for short reads.
    reader: Mutex<Sqlite>,
    /// Database for reads that may take long, so that short reads do not wait for them.
    long_reader: Mutex<Sqlite>,
    running_statements: [RunningStatement; 3],
    log: Mutex<GroupLog>,
    faults: Mutex<MemberFaults>,
    backends: Mutex<Backends>,
    stats: Mutex<StatementStats>,
    /// All members of the group, this one included.
    group: OnceLock<Vec<Weak<Self>>>,
}

impl Member {
    /// Creates a member with an empty database.
    pub(crate) fn new(
        cfg: MemberConfig,
        database: Database,
        settings: Arc<Settings>,
        address: SocketAddr,
        log: GroupLog,
    ) -> rusqlite::Result<Self> {
        let writer = Sqlite::open()?;
        let reader = Sqlite::open()?;
        let long_reader = Sqlite::open()?;
        let faults = MemberFaults {
            lag_ms: cfg
                .lag_ms
                .unwrap_or(u64::try_from(settings.lag.as_millis()).unwrap_or(u64::MAX)),
            ..MemberFaults::default()
        };
        Ok(Self {
            slots: Arc::new(Semaphore::new(cfg.slots)),
            running_statements: [
                writer.running_statement(),
                reader.running_statement(),
                long_reader.running_statement(),
            ],
            writer: Arc::new(smol::lock::Mutex::new(writer)),
            reader: Mutex::new(reader),
            long_reader: Mutex::new(long_reader),
            log: Mutex::new(log),
            faults: Mutex::new(faults),
            backends: Mutex::default(),
            stats: Mutex::default(),
            group: OnceLock::new(),
            cfg,
            database,
            settings,
            address,
        })
    }

    /// Sets the members of the group, this one included; called once, before the member is served.
    pub(crate) fn set_group(&self, members: Vec<Weak<Self>>) {
        // This is called once, so no earlier value exists.
        self.group.set(members).ok();
    }

    /// Name of the member, unique over all databases.
    pub(crate) const fn id(&self) -> &MemberId {
        &self.cfg.id
    }

    /// Locks the replicated state.
    pub(crate) fn log(&self) -> MutexGuard<'_, GroupLog> {
        lock(&self.log)
    }

    /// Locks the backends.
    pub(crate) fn backends(&self) -> MutexGuard<'_, Backends> {
        lock(&self.backends)
    }

    /// Locks the faults.
    pub(crate) fn faults(&self) -> MutexGuard<'_, MemberFaults> {
        lock(&self.faults)
    }

    /// Replaces the faults; setting `down` closes all connections of the member.
    pub(crate) fn set_faults(&self, faults: MemberFaults) {
        spdlog::info!("emulator: faults of member {} are now {faults:?}", self.id());
        let down = faults.down;
        *self.faults() = faults;
        if down {
            self.backends().stop_all();
        }
    }

    /// Returns the member of the group with the name `id`.
    pub(crate) fn peer(&self, id: &MemberId) -> Option<Arc<Self>> {
        self.peers().find(|member| member.id() == id)
    }

    /// Returns the member of the group with `address` as its own address or an alias.
    pub(crate) fn peer_by_address(&self, address: &str) -> Option<Arc<Self>> {
        self.peers().find(|member| {
            member.address.to_string() == address
                || member.cfg.aliases.iter().any(|alias| alias == address)
        })
    }

    fn peers(&self) -> impl Iterator<Item = Arc<Self>> {
        self.group.get().into_iter().flatten().filter_map(Weak::upgrade)
    }

    /// Whether the faults of both members let them exchange messages.
    pub(crate) fn reaches(&self, other: &Self) -> bool {
        let is_cut_off = |from: &Self, to: &Self| {
            let faults = from.faults();
            let data_centre = to.cfg.data_centre.as_ref().map_or("", |name| name.as_str());
            faults.down
                || faults.frozen
                || faults.is_isolated_from(to.id().as_str())
                || faults.is_isolated_from(data_centre)
        };
        !is_cut_off(self, other) && !is_cut_off(other, self)
    }

    /// Waits while the member is frozen or isolated from the client with `application_name`; not while it is down.
    pub(crate) async fn wait_while_blocked(&self, application_name: &str) {
        while self.is_blocked_for(application_name) {
            Timer::after(FAULT_CHECK_INTERVAL).await;
        }
    }

    fn is_blocked_for(&self, application_name: &str) -> bool {
        let faults = self.faults();
        if faults.down {
            return false;
        }
        faults.frozen || application_name.split('/').any(|part| faults.is_isolated_from(part))
    }

    /// Registers a connection; `None` when the limit of connections is reached.
    pub(crate) fn register(&self, application_name: &str, secret: i32) -> Option<Arc<Backend>> {
        let mut backends = self.backends();
        if backends.backends.len() >= self.cfg.connections {
            return None;
        }
        backends.next_pid += 1;
        let backend =
            Arc::new(Backend::new(backends.next_pid, secret, application_name.to_owned()));
        backends.backends.insert(backend.pid, Arc::clone(&backend));
        Some(backend)
    }

    /// Removes a connection and releases its advisory locks.
    pub(crate) fn unregister(&self, pid: i32) {
        self.backends().remove(pid);
    }

    /// Cancels the statement of the backend `pid` if `secret` matches.
    pub(crate) fn cancel(&self, pid: i32, secret: i32) {
        let backend = self.backends().get(pid).cloned();
        if let Some(backend) = backend.filter(|backend| backend.secret == secret) {
            backend.cancel();
        }
    }

    /// Terminates the backend `pid`; false when it does not exist.
    pub(crate) fn terminate(&self, pid: i32) -> bool {
        let backend = self.backends().get(pid).cloned();
        let Some(backend) = backend else { return false };
        backend.stop(StopReason::Terminated);
        true
    }

    /// Runs a job that uses SQLite: a short one on this thread, where it delays the other connections, any other on the
    /// blocking thread pool.
    pub(crate) async fn run_job<T, F>(&self, backend: &Backend, short: bool, job: F) -> T
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if short {
            // Passing a job to another thread takes longer than most statements do.
            return job();
        }
        let interrupt = async {
            backend.interrupted().await;
            // An interrupt has no effect while the job waits for a thread or for the database, so it is repeated.
            loop {
                self.running_statements.iter().for_each(|running| running.interrupt(backend.pid));
                Timer::after(FAULT_CHECK_INTERVAL).await;
            }
        };
        smol::unblock(job).or(interrupt).await
    }

    /// Runs a job on a database for reads, to which all entries of the log are applied first.
    pub(crate) async fn run_read<T, F>(
        self: &Arc<Self>,
        backend: &Backend,
        short: bool,
        job: F,
    ) -> Result<T, SqlError>
    where
        T: Send + 'static,
        F: FnOnce(&Sqlite) -> Result<T, SqlError> + Send + 'static,
    {
        if short && let Ok(mut reader) = self.reader.try_lock() {
            self.catch_up(&mut reader)?;
            return job(&reader);
        }
        // Waiting for the lock on this thread would block its other connections, and with them the cancellation of
        // the statement that holds the lock.
        let member = Arc::clone(self);
        let job = move || {
            let mut reader = lock(if short { &member.reader } else { &member.long_reader });
            member.catch_up(&mut reader)?;
            job(&reader)
        };
        self.run_job(backend, false, job).await
    }

    /// Records a query text or start-up message that a client has sent.
    pub(crate) fn record(&self, text: &str) {
        let mut stats = lock(&self.stats);
        stats.received += 1;
        stats.recent.push_back(text.to_owned());
        if stats.recent.len() > self.settings.kept_statements {
            stats.recent.pop_front();
        }
    }

    /// Counts a statement that reads data outside a transaction that writes.
    pub(crate) fn record_read(&self) {
        let is_primary = self.log().role == Role::Primary;
        let mut stats = lock(&self.stats);
        let reads =
            if is_primary { &mut stats.reads_as_primary } else { &mut stats.reads_as_replica };
        *reads += 1;
    }

    /// Records bound parameters that a client has sent.
    pub(crate) fn record_params(&self, params: &[Value]) {
        if !params.is_empty() {
            let texts: Vec<String> = params.iter().map(as_text).collect();
            let mut stats = lock(&self.stats);
            stats.recent.push_back(format!("parameters: {}", texts.join(", ")));
            if stats.recent.len() > self.settings.kept_statements {
                stats.recent.pop_front();
            }
        }
    }

    /// Applies the entries of the log that `db` lacks; rebuilds it when entries were removed from the log since.
    pub(crate) fn catch_up(&self, db: &mut Sqlite) -> Result<(), SqlError> {
        let (truncations, entries) = {
            let log = self.log();
            let from = if db.truncations() == log.truncations() { db.applied() } else { 0 };
            (log.truncations(), log.entries_from(from).to_vec())
        };
        if db.truncations() != truncations {
            db.reset(truncations)?;
        }
        db.apply(&entries)
    }

    /// Applies the log to the database for short reads and to the writer, unless they are in use.
    pub(crate) fn apply_log(&self) -> Result<(), SqlError> {
        if let Ok(mut reader) = self.reader.try_lock() {
            self.catch_up(&mut reader)?;
        }
        match self.writer.try_lock() {
            Some(mut writer) => self.catch_up(&mut writer),
            None => Ok(()),
        }
    }

    /// Commits the open transaction of the writer; fails when the member is not primary or its log has changed since
    /// the transaction began.
    pub(crate) fn commit(&self, db: &mut Sqlite, writes: Vec<Write>) -> Result<Position, SqlError> {
        let mut log = self.log();
        let is_current = log.truncations() == db.truncations() && log.len() == db.applied();
        if log.role != Role::Primary || !is_current {
            return Err(SqlError::read_only());
        }
        db.commit()?;
        log.commit(writes)
    }

    /// State of the member for the admin interface.
    pub(crate) fn report(&self) -> MemberReport {
        let log = self.log();
        let backends = self.backends();
        let stats = lock(&self.stats);
        MemberReport {
            id: self.id().clone(),
            database: self.database.clone(),
            data_centre: self.cfg.data_centre.clone(),
            address: self.address.to_string(),
            role: log.role,
            term: log.term,
            position: log.position(),
            connections: backends.backends.len(),
            active: backends.activity().filter(|(_, state)| *state == "active").count(),
            statements: stats.received,
            reads_as_primary: stats.reads_as_primary,
            reads_as_replica: stats.reads_as_replica,
            recent: stats.recent.iter().cloned().collect(),
            faults: self.faults().clone(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
