//! Concurrent clients whose operations are recorded for the history checker.

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

use super::{Installation, PATIENCE, eventually};

/// Pause of a client between two rounds of a write and a read; keeps four clients below the rate of the contract.
const PAUSE: Duration = Duration::from_millis(80);

/// SQLSTATE of the report that writes of the session were lost at a promotion.
const LOSS_STATE: &str = "HL001";

/// Clients of one workspace and the record of what they were told.
#[derive(Debug)]
pub(crate) struct Recorder {
    history: History,
    origin: Instant,
    stop: AtomicBool,
}

/// A failure as the client was told.
#[derive(Debug)]
struct Failure {
    state: String,
    outcome: Outcome,
}

impl Failure {
    /// Whether a statement that may have run was answered with the loss of earlier writes.
    fn reports_earlier_loss(&self) -> bool {
        self.state == LOSS_STATE && self.outcome == Outcome::Unknown
    }
}

impl From<postgres::Error> for Failure {
    fn from(error: postgres::Error) -> Self {
        let state = error.code().map(|code| code.code().to_owned()).unwrap_or_default();
        let message = error.as_db_error().map_or("", |error| error.message());
        let outcome =
            if message.starts_with("not run") { Outcome::NotRun } else { Outcome::Unknown };
        Self { state, outcome }
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

    /// Lets the clients end after their present request.
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

    /// Longest time that an operation took, and the operation.
    pub(crate) fn longest(&self) -> (Duration, Option<Operation>) {
        let operations = self.history.operations();
        let times = operations.into_iter().map(|operation| {
            let answered = operation.answered.unwrap_or_default();
            (answered.saturating_sub(operation.sent), Some(operation))
        });
        times.max_by_key(|(time, _)| *time).unwrap_or_default()
    }

    /// Writes and reads through the port in turns until the recorder stops; reconnects with its position.
    pub(crate) fn run(&self, session: &str, port: u16, key: &str) {
        self.run_roaming(session, &Mutex::new(vec![port]), key);
    }

    /// Like [`Recorder::run`] through any of the ports, which may change meanwhile.
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
                let _ = self.rounds(session, &mut client, &mut position, &mut number);
            }
            thread::sleep(PAUSE);
        }
    }

    /// Operations of all sessions whose outcome stayed unknown.
    pub(crate) fn unknown(&self) -> Vec<Operation> {
        let operations = self.history.operations().into_iter();
        operations.filter(|operation| operation.outcome == Outcome::Unknown).collect()
    }

    /// Time at which the last write of `session` that was acknowledged was sent.
    pub(crate) fn last_acknowledged(&self, session: &str) -> Duration {
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
            thread::sleep(PAUSE);
        }
    }

    fn rounds(
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
            // A client that cannot be told its position was told that its connection ends.
            if !self.write(session, client, position, *number) {
                break;
            }
            self.read(session, client, position, *number);
            thread::sleep(PAUSE);
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
            // The report is about earlier writes; this one has run, as far as the client can tell.
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
                let mut found = column(&messages);
                let place = found.iter().position(|value| value.starts_with("mark-"));
                let received = place.map(|place| found.remove(place)).unwrap_or_default();
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

    /// The history with the start of the present term, which the report of a loss does not tell the client.
    ///
    /// The position of the session does not tell either: it may have written in the present term before the report.
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

    /// Asserts that the history keeps all rules, with the contents of the present primary.
    pub(crate) fn check(&self, installation: &Installation, mut facts: Facts, sessions: &[&str]) {
        let rows = contents(installation);
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

/// A connection whose establishment has a bound.
pub(crate) fn connect(port: u16, key: &str) -> Result<Client, postgres::Error> {
    let config = format!(
        "host=127.0.0.1 port={port} user=club-andino dbname=padron password={key} connect_timeout=5"
    );
    Client::connect(&config, NoTls)
}

fn outcome(result: Result<(), Failure>) -> Outcome {
    let Err(failure) = result else { return Outcome::Done };
    if failure.state == LOSS_STATE && failure.outcome == Outcome::NotRun {
        return Outcome::WriteLost { term_start: Position::default() };
    }
    failure.outcome
}

fn column(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.collect()
}

fn show_position(client: &mut Client) -> Option<Position> {
    let messages = client.simple_query("SHOW hibiscus.position").ok()?;
    column(&messages).first()?.parse().ok()
}

/// A connection past the proxy to the primary of the highest term.
fn primary(installation: &Installation) -> Option<Client> {
    let reports = installation.group.reports();
    let primary = reports
        .iter()
        .filter(|report| format!("{:?}", report.role) == "Primary")
        .max_by_key(|report| report.term)?;
    let (host, port) = primary.address.rsplit_once(':')?;
    let config = format!("host={host} port={port} user=proxy dbname=padron password=proxy");
    Client::connect(&config, NoTls).ok()
}

/// All rows of the primary.
fn contents(installation: &Installation) -> Vec<(String, String)> {
    eventually("the rows of the primary", || {
        let rows = primary(installation)?.query("SELECT k, v FROM notas", &[]).ok()?;
        Some(rows.iter().map(|row| (row.get(0), row.get(1))).collect())
    })
}

/// Position where the term of the primary began.
fn term_start(installation: &Installation) -> Position {
    eventually("the start of the term", || {
        let messages = primary(installation)?.simple_query("SELECT * FROM group_status()").ok()?;
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
        assert!(start.elapsed() < PATIENCE, "no other primary: {reports:?}");
        thread::sleep(Duration::from_millis(5));
    }
}
