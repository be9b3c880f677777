//! Stand-in for a group of members: a primary and replicas with a log, the line protocol, and promotions.
//!
//! A commit is acknowledged once one replica has received it. What a primary had sent before it crashed still arrives.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

pub const SERVICE: &str = "werkstatt";
/// Time from the call of a promotion until the member leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);
/// Time after which an old primary that can reach the new one becomes a replica.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Longest wait of a commit for a replica.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    term: u64,
    id: String,
    at: Instant,
}

pub struct Member {
    pub id: String,
    /// Zone, and the number of its region.
    pub zone: &'static str,
    pub region: usize,
    pub primary: bool,
    pub term: u64,
    held: u64,
    log: Vec<Entry>,
    running: bool,
    crashed_at: Option<Instant>,
    /// Whether it receives nothing from other members.
    pub deaf: bool,
    pub leaving: bool,
    epoch: u64,
    leads_since: Instant,
    connections: usize,
}

/// A promotion that has taken effect.
pub struct Promotion {
    pub member: usize,
    pub term: u64,
    pub at: Instant,
    /// Ids of the writes in the log of the member at that moment.
    pub log: Vec<String>,
}

/// A read or write that a member ran.
pub struct Run {
    pub id: String,
    pub member: usize,
    pub at: Instant,
}

pub struct State {
    pub members: Vec<Member>,
    pub runs: Vec<Run>,
    pub promotions: Vec<Promotion>,
    pending: Option<(usize, Instant)>,
    statement_time: Duration,
    max_connections: usize,
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    record: Record,
}

/// A path from one gateway to one member. While it is cut, nothing passes; held bytes pass afterwards.
#[derive(Clone, Default)]
pub struct Path(Arc<AtomicBool>);

impl Path {
    pub fn set_cut(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn delay(a: &Member, b: &Member) -> Duration {
    Duration::from_micros(match (a.zone == b.zone, a.region == b.region) {
        (true, _) => 100,
        (_, true) => 500,
        _ => 20_000,
    })
}

impl Group {
    /// Starts a group; the first member is the primary. Each place is a zone and the number of its region.
    pub fn start(
        record: Record,
        places: &[(&'static str, usize)],
        statement_time: Duration,
        max_connections: usize,
    ) -> Self {
        let member = |(number, (zone, region)): (usize, &(&'static str, usize))| Member {
            id: format!("m-{number}"),
            zone,
            region: *region,
            primary: number == 0,
            term: 1,
            held: 0,
            log: Vec::new(),
            running: true,
            crashed_at: None,
            deaf: false,
            leaving: false,
            epoch: 0,
            leads_since: Instant::now(),
            connections: 0,
        };
        let state = State {
            members: places.iter().enumerate().map(member).collect(),
            runs: Vec::new(),
            promotions: Vec::new(),
            pending: None,
            statement_time,
            max_connections,
        };
        let group = Self { state: Arc::new(Mutex::new(state)), record };
        let ticker = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                ticker.tick();
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Serves a member on a new port, which one gateway uses over `path`.
    pub fn serve(&self, member: usize, path: Path) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (group, path) = (group.clone(), path.clone());
                thread::spawn(move || {
                    path.wait();
                    let epoch = {
                        let mut state = group.lock();
                        let member = &mut state.members[member];
                        if !member.running {
                            return;
                        }
                        member.connections += 1;
                        member.epoch
                    };
                    let mut session = Session {
                        group: group.clone(),
                        member,
                        epoch,
                        path,
                        transaction: None,
                        prepared: BTreeMap::new(),
                    };
                    session.run(stream).ok();
                    group.lock().members[member].connections -= 1;
                });
            }
        });
        Ok(address)
    }

    /// The store entry of a member.
    pub fn entry(&self, member: usize) -> String {
        let state = self.lock();
        let member_state = &state.members[member];
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"@{member}@\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity\":5,\"state\":\"{}\",\"cold_remaining_ms\":0,\"db_role\":\"{}\",\"sequence\":4,\
             \"born\":1700000000000}}",
            member_state.zone,
            if member_state.leaving { "draining" } else { "ready" },
            if member_state.primary { "primary" } else { "replica" },
        )
    }

    pub fn is_running(&self, member: usize) -> bool {
        self.lock().members[member].running
    }

    /// Kills a member: its connections end, and it sends nothing more.
    pub fn crash(&self, member: usize) {
        let mut state = self.lock();
        let member = &mut state.members[member];
        member.running = false;
        member.crashed_at = Some(Instant::now());
        member.epoch += 1;
        member.held = 0;
    }

    /// Starts a member that crashed, with its log.
    pub fn restart(&self, member: usize) {
        let mut state = self.lock();
        let newest = state.members.iter().map(|member| member.term).max().unwrap_or(0);
        let member = &mut state.members[member];
        member.primary &= member.term == newest;
        member.running = true;
        member.crashed_at = None;
    }

    pub fn promote(&self, id: &str) -> bool {
        let mut state = self.lock();
        let Some(member) = state.members.iter().position(|member| member.id == id) else {
            return false;
        };
        if !state.members[member].running {
            return false;
        }
        let newest = state.members.iter().map(|member| member.term).max().unwrap_or(0);
        if state.members[member].primary && state.members[member].term == newest {
            return true;
        }
        if state.pending.is_none() {
            state.pending = Some((member, Instant::now() + PROMOTE_TIME));
        }
        true
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some((member, due)) = state.pending
            && now >= due
        {
            state.pending = None;
            let term = state.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
            for member in &mut state.members {
                member.held = 0;
            }
            let promoted = &mut state.members[member];
            promoted.primary = true;
            promoted.term = term;
            promoted.leads_since = now;
            let log: Vec<String> = promoted.log.iter().map(|entry| entry.id.clone()).collect();
            let id = promoted.id.clone();
            self.record.write(&format!(
                "member {id} leads term {term} with {} commits in its log",
                log.len()
            ));
            state.promotions.push(Promotion { member, term, at: now, log });
        }
        let mut primaries: Vec<usize> = (0..state.members.len())
            .filter(|number| {
                let member = &state.members[*number];
                let sends =
                    member.crashed_at.is_none_or(|at| now - at < Duration::from_millis(200));
                member.primary && sends
            })
            .collect();
        primaries.sort_by_key(|number| std::cmp::Reverse(state.members[*number].term));
        if let [newest, older @ ..] = &*primaries {
            let (leads_since, term) =
                (state.members[*newest].leads_since, state.members[*newest].term);
            for old in older {
                if state.members[*newest].running && now - leads_since >= NOTICE_TIME {
                    let old = &mut state.members[*old];
                    if old.term < term {
                        old.primary = false;
                    }
                }
            }
        }
        for primary in primaries {
            for replica in 0..state.members.len() {
                let (from, to) = (&state.members[primary], &state.members[replica]);
                let receives = replica != primary
                    && to.running
                    && !to.deaf
                    && !to.primary
                    && to.held <= from.term
                    && to.term <= from.term;
                if !receives {
                    continue;
                }
                let wait = delay(from, to);
                let arrived = from
                    .log
                    .iter()
                    .rposition(|entry| entry.at + wait <= now)
                    .map_or(0, |at| at + 1);
                let mut common = to.log.len().min(arrived);
                while common > 0 && to.log[common - 1] != from.log[common - 1] {
                    common -= 1;
                }
                let term = from.term;
                let new: Vec<Entry> = from.log[common..arrived.max(common)].to_vec();
                let to = &mut state.members[replica];
                if to.term < term || !new.is_empty() {
                    to.term = term;
                    to.log.truncate(common);
                    to.log.extend(new);
                }
            }
        }
    }
}

struct Session {
    group: Group,
    member: usize,
    epoch: u64,
    path: Path,
    /// Ids of the writes of the open transaction.
    transaction: Option<Vec<String>>,
    prepared: BTreeMap<String, String>,
}

type Outcome = Result<(Vec<String>, String), &'static str>;

impl Session {
    fn lives(&self) -> bool {
        let state = self.group.lock();
        let member = &state.members[self.member];
        member.running && member.epoch == self.epoch
    }

    fn run(&mut self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(start) = self.line(&mut reader)? else { return Ok(()) };
        let words: Vec<&str> = start.split(' ').collect();
        let own = self.group.lock().members[self.member].id.clone();
        let full = {
            let state = self.group.lock();
            state.members[self.member].connections > state.max_connections
        };
        if words.first() != Some(&"START") || words.get(1) != Some(&SERVICE) {
            return stream.write_all(b"ERROR MISROUTED other service\r\n");
        }
        if words.get(3).is_some_and(|id| *id != own) {
            return stream.write_all(b"ERROR MISROUTED other member\r\n");
        }
        if full {
            return stream.write_all(b"ERROR TOOMANY connections\r\n");
        }
        let ready = self.ready();
        stream.write_all(ready.as_bytes())?;
        loop {
            let Some(line) = self.line(&mut reader)? else { return Ok(()) };
            let Some(query) = line.strip_prefix("QUERY ") else { return Ok(()) };
            let (id, text) = query.split_once(' ').unwrap_or((query, ""));
            let outcome = self.execute(id, text);
            self.path.wait();
            if !self.lives() {
                return Ok(());
            }
            let mut answer = String::new();
            match outcome {
                Ok((rows, proof)) => {
                    rows.iter().for_each(|row| answer.push_str(&format!("ROW {row}\r\n")));
                    answer.push_str(&format!("COMPLETE {proof}\r\n"));
                }
                Err(code) => answer.push_str(&format!("ERROR {code} stand-in\r\n")),
            }
            answer.push_str(&self.ready());
            stream.write_all(answer.as_bytes())?;
        }
    }

    /// The next line; `None` at the end of the connection or of the member.
    fn line(&self, reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
        let mut line = String::new();
        loop {
            match reader.read_line(&mut line) {
                Ok(0) => return Ok(None),
                Ok(_) => {
                    self.path.wait();
                    return Ok(self.lives().then(|| line.trim_end().to_owned()));
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    if !self.lives() {
                        return Ok(None);
                    }
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn ready(&self) -> String {
        let state = self.group.lock();
        let member = &state.members[self.member];
        let last = member.log.last().map_or(1, |entry| entry.term);
        let open = if self.transaction.is_some() { "T" } else { "I" };
        format!("READY {open} {last}.{}\r\n", member.log.len())
    }

    fn execute(&mut self, id: &str, text: &str) -> Outcome {
        let done = || Ok((Vec::new(), "-".to_owned()));
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let (term, number): (u64, usize) =
                (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let state = self.group.lock();
            let log = &state.members[self.member].log;
            if log.len() < number || number > 0 && log[number - 1].term < term {
                return Err("LAGGING");
            }
            text = rest.to_owned();
        }
        if let Some(rest) = text.strip_prefix("EXECUTE ") {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let access = self.prepared.get(name).ok_or("NOSTMT")?;
            text = format!("{access} {arguments}");
        }
        let words: Vec<&str> = text.split(' ').collect();
        match words[0] {
            "BEGIN" => {
                if words.len() == 1 && !self.leads() {
                    return Err("READONLY");
                }
                self.transaction = Some(Vec::new());
                done()
            }
            "ROLLBACK" => {
                self.transaction = None;
                done()
            }
            "READ" => {
                thread::sleep(self.group.lock_time());
                self.ran(id);
                Ok((vec!["row".to_owned()], format!("proof.{id}")))
            }
            "WRITE" => {
                thread::sleep(self.group.lock_time());
                if !self.leads() {
                    return Err("READONLY");
                }
                self.ran(id);
                if let Some(writes) = &mut self.transaction {
                    writes.push(id.to_owned());
                    return Ok((Vec::new(), format!("proof.{id}")));
                }
                self.commit(id)?;
                Ok((Vec::new(), format!("proof.{id}")))
            }
            "COMMIT" => {
                let writes = self.transaction.take().ok_or("MALFORMED")?;
                if !writes.is_empty() {
                    if !self.leads() {
                        return Err("READONLY");
                    }
                    self.commit(id)?;
                }
                Ok((Vec::new(), format!("proof.{id}")))
            }
            "PREPARE" => {
                let access = words.get(2).copied().unwrap_or_default().to_owned();
                self.prepared.insert(words.get(1).copied().unwrap_or_default().to_owned(), access);
                done()
            }
            "SET" | "DEALLOCATE" => done(),
            "RESET" => {
                self.prepared.clear();
                done()
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let term = words.get(1).and_then(|term| term.parse::<u64>().ok()).unwrap_or(0);
                let mut state = self.group.lock();
                let member = &mut state.members[self.member];
                match words[0] {
                    "PAUSE" if !member.primary && term > member.term => member.held = term,
                    "RESUME" => member.held = 0,
                    "DEMOTE" if member.primary && member.term < term => member.primary = false,
                    _ => {}
                }
                let last = member.log.last().map_or(1, |entry| entry.term);
                let row = format!(
                    "{} {} {last}.{} {} 0 0 {}",
                    if member.primary { "primary" } else { "replica" },
                    member.term,
                    member.log.len(),
                    member.held,
                    member.connections
                );
                if words[0] != "STATUS" {
                    let text = format!("member {}: {text}: {row}", member.id);
                    self.group.record.write(&text);
                }
                Ok((vec![row], "-".to_owned()))
            }
            _ => Err("MALFORMED"),
        }
    }

    fn leads(&self) -> bool {
        self.group.lock().members[self.member].primary
    }

    fn ran(&self, id: &str) {
        let run = Run { id: id.to_owned(), member: self.member, at: Instant::now() };
        self.group.lock().runs.push(run);
    }

    /// Appends a commit, and waits until a replica has received it.
    fn commit(&self, id: &str) -> Result<(), &'static str> {
        let started = Instant::now();
        let (entry, at) = {
            let mut state = self.group.lock();
            let member = &mut state.members[self.member];
            let entry = Entry { term: member.term, id: id.to_owned(), at: started };
            member.log.push(entry.clone());
            (entry, member.log.len() - 1)
        };
        loop {
            thread::sleep(Duration::from_micros(500));
            let state = self.group.lock();
            let own = &state.members[self.member];
            if !own.running || own.epoch != self.epoch || !own.primary {
                return Err("TIMEOUT");
            }
            let received = state.members.iter().enumerate().any(|(number, other)| {
                number != self.member
                    && other.log.get(at) == Some(&entry)
                    && started.elapsed() >= 2 * delay(own, other)
            });
            if received {
                return Ok(());
            }
            if started.elapsed() > SYNC_TIMEOUT {
                return Err("TIMEOUT");
            }
        }
    }
}

impl Group {
    fn lock_time(&self) -> Duration {
        self.lock().statement_time
    }
}
