//! Requesters, as PROTOCOL.md describes them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::record::Record;

/// A requester closes its session if READY takes longer after START.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9_7f4a_7c15 % (1 << 62))
}

#[derive(Debug, Clone)]
pub struct Answer {
    /// The proof, or the code of the error.
    pub outcome: Result<String, String>,
    pub state: String,
}

pub struct Session {
    reader: BufReader<TcpStream>,
    record: Record,
    label: String,
}

impl Session {
    pub fn open(
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        let mut session = Self {
            reader: BufReader::new(stream),
            record: record.clone(),
            label: format!("requester of {database} with {key} at {address}"),
        };
        session.send(&format!("START {database} {key}\r\n"))?;
        let line = session.line()?;
        if !line.starts_with("READY") {
            session.record.line(&format!("{}: START -> {line}", session.label));
            return Err(io::Error::other(line));
        }
        Ok(session)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Reads the answer to a request that was sent.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Answer> {
        self.reader.get_mut().set_read_timeout(Some(limit))?;
        let mut outcome = Err("none".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {}
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Answer { outcome, state });
                }
                _ => return Err(io::Error::other(line)),
            }
        }
    }

    /// Sends a request and reads its answer.
    pub fn query(&mut self, text: &str, limit: Duration) -> io::Result<Answer> {
        let id = new_id();
        self.query_with(&id, text, limit)
    }

    pub fn query_with(&mut self, id: &str, text: &str, limit: Duration) -> io::Result<Answer> {
        self.record.line(&format!("{}: {id} {text}", self.label));
        let sent = self.send(&format!("QUERY {id} {text}\r\n"));
        let answer = sent.and_then(|()| self.receive(limit));
        match &answer {
            Ok(answer) => self
                .record
                .line(&format!("{}: {id} -> {:?} {}", self.label, answer.outcome, answer.state)),
            Err(error) => self.record.line(&format!("{}: {id} -> {error}", self.label)),
        }
        answer
    }
}
