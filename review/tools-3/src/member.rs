//! Members of a database group, as PROTOCOL.md describes them: a primary, and replicas that receive its commits at once.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Longest message, from PROTOCOL.md.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Requests that wait for a slot before a member answers BUSY.
const QUEUE: usize = 16;
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Size and speed of the members.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub slots: usize,
    pub connections: usize,
    pub work: Duration,
}

#[derive(Debug, Clone)]
struct Commit {
    term: u64,
    number: u64,
    writes: Vec<(String, String)>,
}

#[derive(Debug)]
struct MemberState {
    id: String,
    primary: bool,
    term: u64,
    held: u64,
    log: Vec<Commit>,
    connections: usize,
    running: usize,
    waiting: usize,
}

impl MemberState {
    fn end(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |commit| (commit.term, commit.number))
    }
}

/// A group of three members with a replicated log; `sync_replicas` is 1.
pub struct Group {
    name: String,
    shape: Shape,
    members: Mutex<Vec<MemberState>>,
    changed: Condvar,
    proofs: AtomicU64,
    record: Record,
}

type Outcome = Result<(Vec<String>, String), String>;

impl Group {
    pub fn new(name: &str, ids: [&str; 3], shape: Shape, record: Record) -> Arc<Self> {
        let member = |number: usize| MemberState {
            id: ids[number].to_owned(),
            primary: number == 0,
            term: 1,
            held: 0,
            log: Vec::new(),
            connections: 0,
            running: 0,
            waiting: 0,
        };
        Arc::new(Self {
            name: name.to_owned(),
            shape,
            members: Mutex::new((0..3).map(member).collect()),
            changed: Condvar::new(),
            proofs: AtomicU64::new(1),
            record,
        })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn is_running(&self, id: &str) -> bool {
        self.members.lock().unwrap().iter().any(|member| member.id == id)
    }

    /// Makes a member the primary of the next term, with what it had received and nothing more.
    pub fn promote(&self, id: &str) {
        let mut members = self.members.lock().unwrap();
        let term = members.iter().map(|member| member.term.max(member.held)).max().unwrap_or(0) + 1;
        let Some(chosen) = members.iter().position(|member| member.id == id) else { return };
        if members[chosen].primary {
            return;
        }
        let log = members[chosen].log.clone();
        for (number, member) in members.iter_mut().enumerate() {
            member.primary = number == chosen;
            member.term = term;
            member.held = 0;
            member.log = log.clone();
        }
        self.changed.notify_all();
    }

    /// Serves a member on a free port until the process ends.
    pub fn serve(self: &Arc<Self>, member: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || group.serve_connection(member, stream));
            }
        });
        address
    }

    fn serve_connection(&self, member: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let Some(start) = read_message(&mut reader) else { return };
        let words: Vec<&str> = start.split(' ').collect();
        let (is_named, is_accepted) = {
            let mut members = self.members.lock().unwrap();
            let state = &mut members[member];
            let expected = words.get(3).copied().unwrap_or(&state.id);
            let is_named = words.first() == Some(&"START")
                && words.get(1) == Some(&&*self.name)
                && expected == state.id;
            let is_accepted = state.connections < self.shape.connections;
            state.connections += usize::from(is_named && is_accepted);
            (is_named, is_accepted)
        };
        if !is_named {
            writer.write_all(b"ERROR MISROUTED other\r\n").ok();
            return;
        }
        if !is_accepted {
            writer.write_all(b"ERROR TOOMANY full\r\n").ok();
            return;
        }
        let workspace = words.get(2).copied().unwrap_or_default().to_owned();
        let mut session = Session {
            group: self,
            member,
            workspace,
            transaction: None,
            writable: false,
            failed: false,
            prepared: BTreeMap::new(),
        };
        if writer.write_all(session.ready().as_bytes()).is_ok() {
            while let Some(line) = read_message(&mut reader) {
                let Some(query) = line.strip_prefix("QUERY ") else { break };
                let (id, text) = query.split_once(' ').unwrap_or((query, ""));
                let answer = session.answer(id, text);
                if writer.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
        self.members.lock().unwrap()[member].connections -= 1;
    }
}

fn read_message<R>(reader: &mut R) -> Option<String>
where
    R: BufRead,
{
    let mut line = Vec::new();
    std::io::Read::take(reader, MAX_MESSAGE_BYTES + 1024).read_until(b'\n', &mut line).ok()?;
    let text = String::from_utf8(line).ok()?;
    text.strip_suffix("\r\n").map(str::to_owned)
}

/// One connection to a member.
struct Session<'a> {
    group: &'a Group,
    member: usize,
    workspace: String,
    transaction: Option<Vec<(String, String)>>,
    writable: bool,
    failed: bool,
    /// `READ` or `WRITE`, by the name of the prepared statement.
    prepared: BTreeMap<String, String>,
}

impl Session<'_> {
    fn ready(&self) -> String {
        let members = self.group.members.lock().unwrap();
        let (term, number) = members[self.member].end();
        let state = match (&self.transaction, self.failed) {
            (None, _) => 'I',
            (Some(_), false) => 'T',
            (Some(_), true) => 'E',
        };
        format!("READY {state} {term}.{number}\r\n")
    }

    fn answer(&mut self, id: &str, text: &str) -> String {
        let outcome = self.run(text);
        if id != "-" {
            let result = match &outcome {
                Ok((_, proof)) => format!("COMPLETE {proof}"),
                Err(code) => format!("ERROR {code}"),
            };
            let (group, member) =
                (&self.group.name, self.group.members.lock().unwrap()[self.member].id.clone());
            self.group.record.line(&format!(
                "member {member} of {group} for {}: {id} {text} -> {result}",
                self.workspace
            ));
        }
        let mut out = String::new();
        match outcome {
            Ok((rows, proof)) => {
                rows.iter().for_each(|row| out.push_str(&format!("ROW {row}\r\n")));
                out.push_str(&format!("COMPLETE {proof}\r\n"));
            }
            Err(code) => {
                self.failed = self.transaction.is_some();
                out.push_str(&format!("ERROR {code} stand-in\r\n"));
            }
        }
        out + &self.ready()
    }

    fn run(&mut self, text: &str) -> Outcome {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let wanted = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if self.group.members.lock().unwrap()[self.member].end() < wanted {
                return Err("LAGGING".into());
            }
            text = rest.to_owned();
        }
        if let Some(rest) = text.strip_prefix("EXECUTE ") {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let access = self.prepared.get(name).ok_or("NOSTMT")?;
            text = format!("{access} {arguments}");
        }
        let words: Vec<&str> = text.splitn(3, ' ').collect();
        let done = || Ok((Vec::new(), "-".to_owned()));
        if self.failed && !matches!(words[0], "ROLLBACK" | "COMMIT") {
            return Err("MALFORMED".into());
        }
        match words.as_slice() {
            ["STATUS"] => Ok((vec![self.status()], "-".into())),
            ["PAUSE", term] => self.control(|state| {
                let term: u64 = term.parse().unwrap_or(0);
                if !state.primary && term > state.term {
                    state.held = state.held.max(term);
                }
            }),
            ["RESUME"] => self.control(|state| state.held = 0),
            ["DEMOTE", term] => self.control(|state| {
                state.primary &= term.parse::<u64>().unwrap_or(0) <= state.term;
            }),
            ["SET", _, _] => done(),
            ["RESET"] => {
                self.prepared.clear();
                done()
            }
            ["PREPARE", name, rest] => {
                let access = rest.split(' ').next().unwrap_or_default();
                self.prepared.insert((*name).to_owned(), access.to_owned());
                done()
            }
            ["DEALLOCATE", name] => {
                self.prepared.remove(*name);
                done()
            }
            ["BEGIN"] if !self.is_primary() => Err("READONLY".into()),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                self.writable = words.len() == 1;
                self.transaction = Some(Vec::new());
                done()
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                self.failed = false;
                done()
            }
            ["READ", item] => {
                self.work()?;
                let own = self.transaction.iter().flatten().rev().find(|(name, _)| name == item);
                let row = own.map(|(_, data)| data.clone());
                let row = row.unwrap_or_else(|| self.stored(item));
                Ok((vec![row], self.proof()))
            }
            ["WRITE", item, data] => {
                if !self.is_primary() || self.transaction.is_some() && !self.writable {
                    return Err("READONLY".into());
                }
                self.work()?;
                let write = ((*item).to_owned(), (*data).to_owned());
                match &mut self.transaction {
                    Some(writes) => writes.push(write),
                    None => self.commit(vec![write])?,
                }
                Ok((Vec::new(), self.proof()))
            }
            ["COMMIT"] => {
                let failed = std::mem::take(&mut self.failed);
                let writes = self.transaction.take().ok_or("MALFORMED")?;
                if failed {
                    return Err("FAILED".into());
                }
                if !writes.is_empty() {
                    self.work()?;
                    self.commit(writes)?;
                }
                Ok((Vec::new(), self.proof()))
            }
            _ => Err("MALFORMED".into()),
        }
    }

    fn status(&self) -> String {
        let members = self.group.members.lock().unwrap();
        let state = &members[self.member];
        let role = if state.primary { "primary" } else { "replica" };
        let (term, number) = state.end();
        format!(
            "{role} {} {term}.{number} {} 0 {} {}",
            state.term, state.held, state.running, state.connections
        )
    }

    fn control<F>(&self, change: F) -> Outcome
    where
        F: FnOnce(&mut MemberState),
    {
        change(&mut self.group.members.lock().unwrap()[self.member]);
        Ok((vec![self.status()], "-".into()))
    }

    fn is_primary(&self) -> bool {
        self.group.members.lock().unwrap()[self.member].primary
    }

    fn proof(&self) -> String {
        format!("proof.{}.{}", self.member, self.group.proofs.fetch_add(1, Ordering::Relaxed))
    }

    fn stored(&self, item: &str) -> String {
        let members = self.group.members.lock().unwrap();
        let writes =
            members[self.member].log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let mut of_item = writes.filter(|(name, _)| name == item);
        of_item.next().map_or_else(|| "-".to_owned(), |(_, data)| data.clone())
    }

    /// Takes a slot for the time of a read, write or commit.
    fn work(&self) -> Result<(), String> {
        let Shape { slots, work, .. } = self.group.shape;
        let mut members = self.group.members.lock().unwrap();
        if members[self.member].waiting >= QUEUE {
            return Err("BUSY".into());
        }
        members[self.member].waiting += 1;
        while members[self.member].running >= slots {
            members = self.group.changed.wait(members).unwrap();
        }
        members[self.member].waiting -= 1;
        members[self.member].running += 1;
        drop(members);
        thread::sleep(work);
        self.group.members.lock().unwrap()[self.member].running -= 1;
        self.group.changed.notify_all();
        Ok(())
    }

    /// Appends a commit to the log; it is acknowledged once a replica that holds no higher term has received it.
    fn commit(&self, writes: Vec<(String, String)>) -> Result<(), String> {
        let until = Instant::now() + COMMIT_TIMEOUT;
        let mut members = self.group.members.lock().unwrap();
        let leader = &mut members[self.member];
        let (term, number) = (leader.term, leader.end().1 + 1);
        leader.log.push(Commit { term, number, writes });
        loop {
            let leader = &members[self.member];
            if !leader.primary || leader.term != term {
                return Err("TIMEOUT".into());
            }
            let log = leader.log.clone();
            let mut is_received = false;
            for member in members.iter_mut().filter(|member| !member.primary && member.held <= term)
            {
                member.log = log.clone();
                member.term = term;
                is_received = true;
            }
            if is_received {
                return Ok(());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("TIMEOUT".into());
            }
            members = self
                .group
                .changed
                .wait_timeout(members, left.min(Duration::from_millis(5)))
                .unwrap()
                .0;
        }
    }
}
