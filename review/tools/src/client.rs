//! A requester: one session of the line protocol.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Client {
    reader: BufReader<TcpStream>,
}

/// A complete answer: the proof, or the error code and its text.
pub type Answer = Result<String, (String, String)>;

impl Client {
    /// Opens a session; an error text is the answer to `START`.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut client = Self { reader: BufReader::new(stream) };
        client.send(&format!("START {database} {key}\r\n"))?;
        let line = client.line()?;
        if line.starts_with("READY") { Ok(client) } else { Err(io::Error::other(line)) }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    pub fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with("\r\n") {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Reads a whole answer, up to its `READY`.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {}
                "COMPLETE" => answer = Some(Ok(rest.to_owned())),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    answer = Some(Err((code.to_owned(), text.to_owned())));
                }
                "READY" => return answer.ok_or_else(|| io::ErrorKind::InvalidData.into()),
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    pub fn query(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        self.answer()
    }
}
