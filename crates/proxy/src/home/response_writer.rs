//! Writer of an answer to the entry: packs messages into chunks and holds acknowledgements back.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hibiscusladder_proto::reply::ReplyEnd;
use smol::{Timer, channel::Sender, future::FutureExt};

use super::Chunk;
use crate::caller::frame::Frame;

/// Size in bytes at which collected messages are sent, and largest size of a chunk.
const CHUNK_BYTES: usize = 256 * 1024;
/// Longest time for which a slow reader may delay a chunk; its request then ends, so that it does not keep its slot.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The entry dropped the answer, or did not read it in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Abandoned;

/// Collects the messages of one answer.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    chunks: Sender<Chunk>,
    ready: BytesMut,
    held: BytesMut,
    holding: bool,
    sent: bool,
}

impl ResponseWriter {
    pub(crate) fn new(chunks: Sender<Chunk>) -> Self {
        let (ready, held) = (BytesMut::new(), BytesMut::new());
        Self { chunks, ready, held, holding: false, sent: false }
    }

    /// Adds a message; it is held back when [`ResponseWriter::hold`] was called.
    pub(crate) async fn push(&mut self, frame: &Frame) -> Result<(), Abandoned> {
        if self.holding {
            self.held.extend_from_slice(frame.raw());
            return Ok(());
        }
        self.ready.extend_from_slice(frame.raw());
        if self.ready.len() >= CHUNK_BYTES { self.flush().await } else { Ok(()) }
    }

    /// Holds back everything that is added from now on.
    pub(crate) const fn hold(&mut self) {
        self.holding = true;
    }

    /// Number of bytes that are held back.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Makes the messages that are held back ready to be sent; messages that are added later are not held back.
    pub(crate) fn release(&mut self) {
        self.holding = false;
        self.ready.unsplit(self.held.split());
    }

    /// Drops all messages that were not sent; messages that are added later are not held back.
    pub(crate) fn discard(&mut self) {
        self.ready.clear();
        self.held.clear();
        self.holding = false;
    }

    /// Whether part of the answer was sent.
    pub(crate) const fn has_sent(&self) -> bool {
        self.sent
    }

    /// Adds messages that the home generated; they are not held back.
    pub(crate) fn push_bytes(&mut self, bytes: &[u8]) {
        self.ready.extend_from_slice(bytes);
    }

    /// Sends the collected messages and the end; messages that are still held back are dropped.
    pub(crate) async fn finish(mut self, end: ReplyEnd) -> Result<(), Abandoned> {
        self.held.clear();
        if !self.ready.is_empty() {
            self.flush().await?;
        }
        self.send(Chunk::End(end)).await
    }

    async fn send(&self, chunk: Chunk) -> Result<(), Abandoned> {
        let send = async { self.chunks.send(chunk).await.map_err(|_| Abandoned) };
        let timeout = async {
            Timer::after(SEND_TIMEOUT).await;
            Err(Abandoned)
        };
        send.or(timeout).await
    }

    async fn flush(&mut self) -> Result<(), Abandoned> {
        let mut data: Bytes = self.ready.split().freeze();
        self.sent = true;
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(CHUNK_BYTES));
            self.send(Chunk::Data(chunk)).await?;
        }
        Ok(())
    }
}
