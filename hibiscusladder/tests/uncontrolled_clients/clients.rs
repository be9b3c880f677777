//! Clients that send what a test tells them, and stay connected until they are dropped.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Barrier,
    thread,
    time::Duration,
};

use hibiscusladder_platform_standin::{PRIMARY_DATABASE, WORKSPACES};

/// Longest wait for each write or read; a client that waits longer gives up and stays connected.
const IO_TIMEOUT: Duration = Duration::from_millis(1500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connected clients. Those that the instance has closed stay in the crowd.
pub(crate) struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Connects `count` clients. Those that are not accepted are left out.
    pub(crate) fn connect(address: SocketAddr, count: usize) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
            stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
            stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
            stream.set_nodelay(true).ok()?;
            Some(stream)
        };
        Self((0..count).filter_map(connect).collect())
    }

    /// As [`connect`](Self::connect), with a session for each.
    pub(crate) fn open(address: SocketAddr, count: usize) -> Self {
        let mut crowd = Self::connect(address, count);
        crowd.send_each(|_| start().into_bytes());
        crowd.for_each(|_, stream| skip_line(stream));
        crowd
    }

    /// Sends one text at each client, one client after the other.
    pub(crate) fn send_each<F>(&mut self, text: F)
    where
        F: Fn(usize) -> Vec<u8>,
    {
        self.for_each(|number, stream| stream.write_all(&text(number)));
    }

    /// Runs `step` for each client; a client that fails stays as it is.
    pub(crate) fn for_each<F>(&mut self, mut step: F)
    where
        F: FnMut(usize, &mut TcpStream) -> io::Result<()>,
    {
        for (number, stream) in self.0.iter_mut().enumerate() {
            step(number, stream).ok();
        }
    }

    /// Runs the steps of all clients at the same time. Every client ends its first step before any begins its second.
    pub(crate) fn at_once<F, G>(&self, first: F, second: G)
    where
        F: Fn(usize, &mut &TcpStream) -> io::Result<()> + Sync,
        G: Fn(usize, &mut &TcpStream) -> io::Result<()> + Sync,
    {
        let barrier = Barrier::new(self.0.len());
        let (first, second, barrier) = (&first, &second, &barrier);
        thread::scope(|scope| {
            for (number, mut stream) in self.0.iter().enumerate() {
                scope.spawn(move || {
                    let sent = first(number, &mut stream);
                    barrier.wait();
                    if sent.is_ok() {
                        second(number, &mut stream).ok();
                    }
                });
            }
        });
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for stream in &self.0 {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// First message of an ordinary session.
pub(crate) fn start() -> String {
    format!("START {PRIMARY_DATABASE} key-{}\r\n", WORKSPACES[0])
}

/// Reads up to the end of a line, one byte after the other.
pub(crate) fn skip_line<R>(stream: &mut R) -> io::Result<()>
where
    R: Read,
{
    let mut byte = [0];
    while byte != *b"\n" {
        stream.read_exact(&mut byte)?;
    }
    Ok(())
}

/// Reads what comes until the instance closes the connection or sends nothing for a while.
pub(crate) fn read_all<R>(stream: &mut R) -> io::Result<()>
where
    R: Read,
{
    let mut chunk = [0; 16 << 10];
    while stream.read(&mut chunk)? > 0 {}
    Ok(())
}
