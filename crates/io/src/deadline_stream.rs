//! Connections on which nothing is sent after a deadline.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures::{AsyncRead, AsyncWrite};
use hibiscusladder_core::clock::{Clock, Instant};
use smol::net::TcpStream;

use crate::clock::BootClock;

/// Time of a deadline that does not come.
const NEVER: u64 = u64::MAX;

/// A deadline for the sending of bytes; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct SendDeadline(Arc<AtomicU64>);

impl Default for SendDeadline {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(NEVER)))
    }
}

impl SendDeadline {
    /// Sets the deadline; `None` removes it.
    pub(crate) fn set(&self, until: Option<Instant>) {
        let nanos = until.and_then(|until| u64::try_from(until.since_origin().as_nanos()).ok());
        self.0.store(nanos.unwrap_or(NEVER), Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        let until = Instant::new(Duration::from_nanos(self.0.load(Ordering::Relaxed)));
        BootClock.now() >= until
    }
}

/// A connection that checks its deadline whenever it hands bytes to the operating system, so that a process which was
/// paused since an earlier check sends nothing.
#[derive(Debug)]
pub(crate) struct DeadlineStream {
    stream: TcpStream,
    deadline: SendDeadline,
}

impl DeadlineStream {
    pub(crate) const fn new(stream: TcpStream, deadline: SendDeadline) -> Self {
        Self { stream, deadline }
    }
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.deadline.is_over() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
