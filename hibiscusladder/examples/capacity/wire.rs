//! Minimal PostgreSQL client; a client library would use more memory for each connection.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// Version 3.0 of the protocol, as in the start-up message.
const PROTOCOL_3: u32 = 196_608;

/// Time limit of a read from the server.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A client connection.
#[derive(Debug)]
pub(crate) struct Client(TcpStream);

impl Client {
    /// Connects to `port` on loopback and completes the start-up.
    pub(crate) fn connect(
        port: u16,
        user: &str,
        database: &str,
        password: &str,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut client = Self(stream);
        let mut body = PROTOCOL_3.to_be_bytes().to_vec();
        for text in ["user", user, "database", database, ""] {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
        client.send(None, &body)?;
        client.send(Some(b'p'), &[password.as_bytes(), &[0]].concat())?;
        client.read_until_ready()?;
        Ok(client)
    }

    /// Runs a statement and discards its rows.
    pub(crate) fn query(&mut self, statement: &str) -> io::Result<()> {
        self.send(Some(b'Q'), &[statement.as_bytes(), &[0]].concat())?;
        self.read_until_ready()
    }

    fn send(&mut self, kind: Option<u8>, body: &[u8]) -> io::Result<()> {
        let mut message: Vec<u8> = kind.into_iter().collect();
        let length = u32::try_from(body.len() + 4).map_err(io::Error::other)?;
        message.extend_from_slice(&length.to_be_bytes());
        message.extend_from_slice(body);
        self.0.write_all(&message)
    }

    /// Reads messages up to `ReadyForQuery`. An error response becomes the result; the last one if there are several.
    fn read_until_ready(&mut self) -> io::Result<()> {
        let mut failure = None;
        loop {
            let mut head = [0; 5];
            if let Err(error) = self.0.read_exact(&mut head) {
                return Err(failure.unwrap_or(error));
            }
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
            let mut body = vec![0; usize::try_from(length).map_err(io::Error::other)? - 4];
            self.0.read_exact(&mut body)?;
            match head[0] {
                b'Z' => return failure.map_or(Ok(()), Err),
                b'E' => {
                    failure = Some(io::Error::other(String::from_utf8_lossy(&body).into_owned()))
                }
                _ => {}
            }
        }
    }
}
