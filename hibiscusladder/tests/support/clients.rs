//! Concurrent clients that record their operations for the history checker.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::prelude::Position;
use hibiscusladder_testkit::history::{Facts, History, Operation, Outcome};
use postgres::{Client, NoTls, SimpleQueryMessage};

use super::{Installation, WAIT_TIMEOUT, eventually};

/// Pause of a client after each round of operations, and before it reconnects. It keeps four clients below the rate of
/// the contract.
const ROUND_PAUSE: Duration = Duration::from_millis(80);

/// SQLSTATE of the error that reports the loss of writes of the session in a promotion.
const WRITE_LOST_SQLSTATE: &str = "HL001";

/// Runs clients of one workspace and records their operations with the answers that they got.
#[derive(Debug)]
pub(crate) struct Recorder {
    history: History,
    /// Start of the time scale of the history.
    origin: Instant,
    stop: AtomicBool,
}

/// An error that a client got: its SQLSTATE, empty for a connection error, and the outcome of the statement.
#[derive(Debug)]
struct Failure {
    sqlstate: String,
    outcome: Outcome,
}

impl Failure {
    /// Whether a statement that may have run was answered with the error for the loss of earlier writes.
    fn reports_earlier_loss(&self) -> bool {
        self.sqlstate == WRITE_LOST_SQLSTATE && self.outcome == Outcome::Unknown
    }
}

impl From<postgres::Error> for Failure {
    fn from(error: postgres::Error) -> Self {
        let sqlstate = error.code().map(|code| code.code().to_owned()).unwrap_or_default();
        let message = error.as_db_error().map_or("", |error| error.message());
        let outcome =
            if message.starts_with("not run") { Outcome::NotRun } else { Outcome::Unknown };
        Self { sqlstate, outcome }
    }
}

impl Recorder {
    pub(crate) fn new() -> Self {
        Self { history: History::default(), origin: Instant::now(), stop: AtomicBool::new(false) }
    }

    /// Time since the origin of the history.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Makes the clients stop after their current request.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Number of writes acknowledged to `session` that were sent after `since`.
    pub(crate) fn acknowledged(&self, session: &str, since: Duration) -> usize {
        let operations = self.history.operations();
        let done = operations.iter().filter(|operation| {
            let own = operation.session.as_ref() == session && operation.sent >= since;
            own && operation.written_value().is_some() && operation.outcome == Outcome::Done
        });
        done.count()
    }

    /// Whether every session has more than three acknowledged writes that were sent after `since`.
    pub(crate) fn all_wrote(&self, sessions: &[&str], since: Duration) -> bool {
        sessions.iter().all(|session| self.acknowledged(session, since) > 3)
    }

    /// The operation that took the longest time, and this time.
    pub(crate) fn longest_operation(&self) -> (Duration, Option<Operation>) {
        let operations = self.history.operations();
        let times = operations.into_iter().map(|operation| {
            let answered = operation.answered.unwrap_or_default();
            (answered.saturating_sub(operation.sent), Some(operation))
        });
        times.max_by_key(|(time, _)| *time).unwrap_or_default()
    }

    /// Writes and reads alternately through the port until the recorder stops. After a connection ended, the client
    /// reconnects and sets the position of its session.
    pub(crate) fn run(&self, session: &str, port: u16, key: &str) {
        self.run_roaming(session, &Mutex::new(vec![port]), key);
    }

    /// Like [`Recorder::run`], but each connection uses the next one of the ports. The list may change during the run.
    pub(crate) fn run_roaming(&self, session: &str, ports: &Mutex<Vec<u16>>, key: &str) {
        let mut position = None;
        let mut number = 0;
        let mut connections = 0;
        while !self.stop.load(Ordering::Acquire) {
            let port = {
                let ports = ports.lock().unwrap();
                ports[connections % ports.len()]
            };
            connections += 1;
            if let Ok(mut client) = connect(port, key) {
                let _ = self.run_rounds(session, &mut client, &mut position, &mut number);
            }
            thread::sleep(ROUND_PAUSE);
        }
    }

    /// Operations of all sessions whose outcome is unknown.
    pub(crate) fn unknown_operations(&self) -> Vec<Operation> {
        let operations = self.history.operations().into_iter();
        operations.filter(|operation| operation.outcome == Outcome::Unknown).collect()
    }

    /// Time at which the last operation of `session` that succeeded was sent.
    pub(crate) fn last_success(&self, session: &str) -> Duration {
        let operations = self.history.operations().into_iter();
        let own = operations.filter(|operation| operation.session.as_ref() == session);
        let done = own.filter(|operation| operation.outcome == Outcome::Done);
        done.map(|operation| operation.sent).max().unwrap_or_default()
    }

    /// Writes until the recorder stops, and repeats each write under its request id until it is acknowledged.
    pub(crate) fn run_repeating(&self, session: &str, port: u16, key: &str) {
        let mut number = 0;
        while !self.stop.load(Ordering::Acquire) {
            number += 1;
            let value = format!("{session}-{number}");
            let write = Operation::write(session, "club-andino", session, &value, self.now());
            let statement = format!(
                "/* hibiscus.request_id='{value}' */ INSERT INTO notas VALUES ('{session}', '{value}')"
            );
            eventually("the outcome of a write with a request id", || {
                connect(port, key).ok()?.batch_execute(&statement).ok()
            });
            self.history.record(write.answered(self.now(), Outcome::Done));
            thread::sleep(ROUND_PAUSE);
        }
    }

    fn run_rounds(
        &self,
        session: &str,
        client: &mut Client,
        position: &mut Option<Position>,
        number: &mut usize,
    ) -> Result<(), postgres::Error> {
        if let Some(position) = position {
            client.batch_execute(&format!("SET hibiscus.position = '{position}'"))?;
        }
        while !self.stop.load(Ordering::Acquire) && !client.is_closed() {
            *number += 1;
            // When `SHOW hibiscus.position` gets no answer, the connection is ending.
            if !self.write(session, client, position, *number) {
                break;
            }
            self.read(session, client, position, *number);
            thread::sleep(ROUND_PAUSE);
        }
        Ok(())
    }

    fn write(
        &self,
        session: &str,
        client: &mut Client,
        position: &mut Option<Position>,
        number: usize,
    ) -> bool {
        let value = format!("{session}-{number}");
        let write = Operation::write(session, "club-andino", session, &value, self.now());
        let statement = format!(
            "/* hibiscus.request_id='{value}' */ INSERT INTO notas VALUES ('{session}', '{value}')"
        );
        let result = client.batch_execute(&statement);
        let answered = self.now();
        let shown = show_position(client);
        *position = shown.or(*position);
        let result = result.map_err(Failure::from);
        if result.as_ref().is_err_and(Failure::reports_earlier_loss) {
            // The error reports the loss of earlier writes; the outcome of this write is unknown to the client.
            let report = Operation::read(session, "club-andino", session, write.sent);
            let lost = Outcome::WriteLost { term_start: Position::default() };
            self.history.record(report.answered(answered, lost));
        }
        let mut write = write.answered(answered, outcome(result));
        if let (Outcome::Done, Some(shown)) = (write.outcome, shown) {
            write = write.at_position(shown);
        }
        self.history.record(write);
        shown.is_some()
    }

    fn read(
        &self,
        session: &str,
        client: &mut Client,
        position: &mut Option<Position>,
        number: usize,
    ) {
        let mark = format!("mark-{session}-{number}");
        let read = Operation::read(session, "club-andino", session, self.now());
        let statement =
            format!("SELECT '{mark}' UNION ALL SELECT v FROM notas WHERE k = '{session}'");
        let result = client.simple_query(&statement);
        let answered = self.now();
        let read = match result {
            Ok(messages) => {
                let mut found = first_column(&messages);
                let index = found.iter().position(|value| value.starts_with("mark-"));
                let received = index.map(|index| found.remove(index)).unwrap_or_default();
                let values: Vec<&str> = found.iter().map(String::as_str).collect();
                let read = read.answered(answered, Outcome::Done).values(&values);
                read.marks(&mark, &received)
            }
            Err(error) => {
                let shown = show_position(client);
                *position = shown.or(*position);
                read.answered(answered, outcome(Err(error.into())))
            }
        };
        self.history.record(read);
    }

    /// The history with the start of the current term in each report of lost writes, as the error does not contain it.
    ///
    /// The position of the session does not show it either: the session may have written in the current term before
    /// the report.
    fn with_term_start(&self, installation: &Installation) -> History {
        let start = term_start(installation);
        let history = History::default();
        for mut operation in self.history.operations() {
            if let Outcome::WriteLost { term_start } = &mut operation.outcome {
                *term_start = start;
            }
            history.record(operation);
        }
        history
    }

    /// Asserts that the history, together with the rows of the current primary, violates no rule.
    pub(crate) fn check(&self, installation: &Installation, mut facts: Facts, sessions: &[&str]) {
        let rows = primary_rows(installation);
        for session in sessions {
            let own = rows.iter().filter(|(key, _)| key == session);
            let values: Vec<&str> = own.map(|(_, value)| value.as_str()).collect();
            facts = facts.final_values(session, &values);
        }
        let violations = self.with_term_start(installation).check(&facts.rate_limit(
            "club-andino",
            200.0,
            100.0,
        ));
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Connects with a timeout of 5 s.
pub(crate) fn connect(port: u16, key: &str) -> Result<Client, postgres::Error> {
    let config = format!(
        "host=127.0.0.1 port={port} user=club-andino dbname=padron password={key} connect_timeout=5"
    );
    Client::connect(&config, NoTls)
}

fn outcome(result: Result<(), Failure>) -> Outcome {
    let Err(failure) = result else { return Outcome::Done };
    if failure.sqlstate == WRITE_LOST_SQLSTATE && failure.outcome == Outcome::NotRun {
        return Outcome::WriteLost { term_start: Position::default() };
    }
    failure.outcome
}

fn first_column(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

fn show_position(client: &mut Client) -> Option<Position> {
    let messages = client.simple_query("SHOW hibiscus.position").ok()?;
    first_column(&messages).first()?.parse().ok()
}

/// Connects directly to the primary of the highest term.
fn connect_to_primary(installation: &Installation) -> Option<Client> {
    let reports = installation.group.reports();
    let primary = reports
        .iter()
        .filter(|report| format!("{:?}", report.role) == "Primary")
        .max_by_key(|report| report.term)?;
    let (host, port) = primary.address.rsplit_once(':')?;
    let config = format!("host={host} port={port} user=proxy dbname=padron password=proxy");
    Client::connect(&config, NoTls).ok()
}

/// All rows of the table `notas` on the primary.
fn primary_rows(installation: &Installation) -> Vec<(String, String)> {
    eventually("the rows of the primary", || {
        let rows = connect_to_primary(installation)?.query("SELECT k, v FROM notas", &[]).ok()?;
        Some(rows.iter().map(|row| (row.get(0), row.get(1))).collect())
    })
}

/// Position at which the term of the primary started.
fn term_start(installation: &Installation) -> Position {
    eventually("the start of the term", || {
        let messages =
            connect_to_primary(installation)?.simple_query("SELECT * FROM group_status()").ok()?;
        messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get("term_start")?.parse().ok(),
            _ => None,
        })
    })
}

/// Waits until a member other than `old` is primary and returns its term.
pub(crate) fn wait_for_other_primary(installation: &Installation, old: &str) -> u64 {
    let start = Instant::now();
    loop {
        let reports = installation.group.reports();
        let other = reports
            .iter()
            .find(|report| report.id.as_str() != old && format!("{:?}", report.role) == "Primary");
        if let Some(other) = other {
            return other.term.0;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no other primary: {reports:?}");
        thread::sleep(Duration::from_millis(5));
    }
}
