//! Accepts connections and relays their bytes.

use std::{
    io,
    net::Shutdown,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt::socket_error;
use smol::{
    Executor, Timer, channel,
    future::{self, FutureExt},
    net::{TcpListener, TcpStream},
};

use super::{Answers, Shared};

/// Largest number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of reads per direction that wait for their delay; further bytes stay in the socket buffers of the
/// operating system.
const MAX_DELAYED_READS: usize = 256;
/// Interval between checks whether a fault has ended; also the delay after a failed accept.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Direction of relayed bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the client to the target.
    Request,
    /// From the target to the client.
    Answer,
}

/// One connection through the relay.
#[derive(Debug)]
pub(super) struct Connection {
    /// Whether all further bytes are discarded.
    blackholed: AtomicBool,
    close: channel::Sender<()>,
    closed: channel::Receiver<()>,
}

impl Connection {
    pub(super) fn new() -> Self {
        let (close, closed) = channel::bounded(1);
        Self { blackholed: AtomicBool::new(false), close, closed }
    }

    pub(super) fn blackhole(&self) {
        self.blackholed.store(true, Ordering::SeqCst);
    }

    pub(super) fn close(&self) {
        self.close.close();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.close.is_closed()
    }
}

/// Accepts connections until this future is dropped.
pub(super) async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => executor.spawn(serve(client, Arc::clone(&shared))).detach(),
            Err(error) => {
                spdlog::warn!("fault proxy: cannot accept a connection: {error}");
                Timer::after(FAULT_CHECK_INTERVAL).await;
            }
        }
    }
}

async fn serve(client: TcpStream, shared: Arc<Shared>) {
    let Some(connection) = shared.register() else { return };
    let closed = async {
        // No message is ever sent; the channel is closed to close the connection.
        connection.closed.recv().await.ok();
        Ok(())
    };
    let result = relay(client, &shared, &connection).or(closed).await;
    connection.close();
    if let Err(error) = result {
        spdlog::debug!("fault proxy: connection closed: {error}");
    }
}

async fn relay(client: TcpStream, shared: &Shared, connection: &Connection) -> io::Result<()> {
    while shared.state().faults.freeze {
        Timer::after(FAULT_CHECK_INTERVAL).await;
    }
    // Bytes that were held up are lost if their sender has reset the connection.
    socket_error(&client)??;
    let target = TcpStream::connect(shared.target).await?;
    client.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let requests = Forwarder {
        from: client.clone(),
        to: target.clone(),
        direction: Direction::Request,
        shared,
        connection,
    };
    let answers =
        Forwarder { from: target, to: client, direction: Direction::Answer, shared, connection };
    future::try_zip(requests.run(), answers.run()).await?;
    Ok(())
}

/// Bytes with the time from which they may be relayed.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Relays the bytes of one direction.
struct Forwarder<'a> {
    from: TcpStream,
    to: TcpStream,
    direction: Direction,
    shared: &'a Shared,
    connection: &'a Connection,
}

impl Forwarder<'_> {
    async fn run(self) -> io::Result<()> {
        let (tx, rx) = channel::bounded(MAX_DELAYED_READS);
        future::try_zip(self.read(tx), self.write(rx)).await?;
        Ok(())
    }

    async fn read(&self, tx: channel::Sender<Chunk>) -> io::Result<()> {
        let mut from = self.from.clone();
        let mut buf = vec![0; READ_BUFFER_BYTES];
        loop {
            let len = from.read(&mut buf).await?;
            if len == 0 {
                return Ok(());
            }
            let due = Instant::now() + self.shared.state().faults.delay;
            if tx.send(Chunk { due, bytes: buf[..len].to_vec() }).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(&self, rx: channel::Receiver<Chunk>) -> io::Result<()> {
        let mut to = self.to.clone();
        while let Ok(chunk) = rx.recv().await {
            Timer::at(chunk.due).await;
            self.wait_while_frozen().await;
            if self.should_discard()? {
                continue;
            }
            let rate = self.shared.state().faults.bytes_per_second;
            if let Some(rate) = rate {
                let seconds = chunk.bytes.len() as f64 / f64::from(rate.max(1));
                Timer::after(Duration::from_secs_f64(seconds)).await;
            }
            to.write_all(&chunk.bytes).await?;
        }
        // A blackholed connection does not relay the end of the stream either.
        if !self.is_blackholed() {
            to.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }

    async fn wait_while_frozen(&self) {
        while self.shared.state().faults.freeze {
            Timer::after(FAULT_CHECK_INTERVAL).await;
        }
    }

    fn is_blackholed(&self) -> bool {
        self.connection.blackholed.load(Ordering::SeqCst) || self.shared.state().faults.blackhole
    }

    /// Whether the next bytes are to be discarded; an error closes the connection.
    fn should_discard(&self) -> io::Result<bool> {
        if self.is_blackholed() {
            return Ok(true);
        }
        let faults = &mut self.shared.state().faults;
        match faults.answers {
            _ if self.direction == Direction::Request => Ok(false),
            Answers::Pass | Answers::CutNext(0) => Ok(false),
            Answers::Discard => Ok(true),
            Answers::CutNext(count) => {
                faults.answers =
                    if count == 1 { Answers::Pass } else { Answers::CutNext(count - 1) };
                Err(io::Error::other("answer discarded by the fault `Answers::CutNext`"))
            }
        }
    }
}
