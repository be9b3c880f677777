//! Splits a byte stream into protocol messages and reads their fields with bounds checks.
//!
//! `pgwire` encodes messages that the proxy itself writes, and decodes the start-up message. Its decoders panic on
//! message bodies that are too short, so all other received messages are decoded here.

use std::{io, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures::io::{AsyncRead, AsyncReadExt};
use hibiscusladder_core::{
    budget::Activity,
    clock::{Clock, Instant},
};
use hibiscusladder_io::clock::{BootClock, within};
use smol::future::yield_now;
use thiserror::Error;

use super::ledger::{Account, Charge};

/// Length of the type byte and the length field, in bytes.
const HEADER_BYTES: usize = 5;
/// Smallest value of the length field, which counts itself: that of a message without a body.
const MIN_LENGTH: usize = 4;
/// Bytes after which a reader gives way to other tasks, so that what it receives counts for them.
const YIELD_BYTES: usize = 64 << 10;
/// Bytes of messages that are part of the charge of the connection.
const FREE_BYTES: usize = 8 << 10;
/// Number of times that a message is in memory while it runs: its frame, its parsed statement, the plan, and the message to the
/// home.
const COPIES: usize = 4;
/// Size of the read buffer of a connection, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Error while messages are read from a stream.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// The length field is smaller than the field itself.
    #[error("a message has the impossible length {0}")]
    BadLength(usize),
    /// The message took too long.
    #[error("a message took too long; send it in one piece")]
    TooSlow,
    /// The instance has no memory for the message.
    #[error("the instance has no memory for the message; send less at once, or raise memory_mb")]
    NoMemory,
    /// The message is larger than the limit.
    #[error("a message of {length} bytes exceeds the bound of {max_bytes} bytes")]
    TooLarge {
        /// Value of the length field, or length of the messages of a batch, in bytes.
        length: usize,
        /// Largest length that is accepted, in bytes.
        max_bytes: usize,
    },
}

/// One message with its type byte and length field.
#[derive(Debug, Clone)]
pub struct Frame {
    raw: Bytes,
}

impl Frame {
    /// Type byte of the message.
    pub fn kind(&self) -> u8 {
        self.raw[0]
    }

    /// The message without its type byte and length field.
    pub fn body(&self) -> &[u8] {
        &self.raw[HEADER_BYTES..]
    }

    /// The whole message.
    pub fn raw(&self) -> &Bytes {
        &self.raw
    }

    /// Length of the whole message in bytes.
    pub fn size(&self) -> usize {
        self.raw.len()
    }
}

/// Collects bytes of a stream and splits them into messages.
#[derive(Debug)]
pub struct Framer {
    buf: BytesMut,
    max_bytes: usize,
}

impl Framer {
    /// Creates a framer that rejects messages longer than `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { buf: BytesMut::new(), max_bytes }
    }

    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next message; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error when the length field is too small or exceeds the limit.
    pub fn pop(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.buf.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = (&self.buf[1..HEADER_BYTES]).get_u32() as usize;
        self.check_length(length)?;
        if self.buf.len() < length + 1 {
            return Ok(None);
        }
        Ok(Some(Frame { raw: self.buf.split_to(length + 1).freeze() }))
    }

    /// Takes the next message without a type byte, as in the start-up phase; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error when the length field is too small or exceeds the limit.
    pub fn pop_untyped(&mut self) -> Result<Option<BytesMut>, FrameError> {
        if self.buf.len() < MIN_LENGTH {
            return Ok(None);
        }
        let length = (&self.buf[..MIN_LENGTH]).get_u32() as usize;
        self.check_length(length)?;
        if self.buf.len() < length {
            return Ok(None);
        }
        Ok(Some(self.buf.split_to(length)))
    }

    /// Number of bytes that are buffered.
    pub fn size(&self) -> usize {
        self.buf.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn check_length(&self, length: usize) -> Result<(), FrameError> {
        if length < MIN_LENGTH {
            return Err(FrameError::BadLength(length));
        }
        if length > self.max_bytes {
            return Err(FrameError::TooLarge { length, max_bytes: self.max_bytes });
        }
        Ok(())
    }
}

/// Splits bytes that consist of complete messages.
///
/// # Errors
///
/// Returns an error when a message is incomplete or not valid.
pub fn split_messages(bytes: &Bytes) -> Result<Vec<Frame>, FrameError> {
    let mut framer = Framer::new(bytes.len());
    framer.push(bytes);
    let mut frames = Vec::new();
    while let Some(frame) = framer.pop()? {
        frames.push(frame);
    }
    if framer.is_empty() { Ok(frames) } else { Err(FrameError::Truncated) }
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    framer: Framer,
    read_buf: Box<[u8]>,
    meter: Option<Meter>,
    /// Bytes that were read since the reader last gave way to other tasks.
    read_at_once: usize,
}

/// What a client holds and how long it takes.
#[derive(Debug)]
struct Meter {
    charge: Charge,
    timeout: Duration,
    /// Bytes of the messages that are kept until their batch is complete and has run.
    kept: usize,
    /// When the first byte of an incomplete message was received.
    began: Option<Instant>,
}

impl Meter {
    fn charge(&mut self, buffered: usize) -> Result<(), FrameError> {
        let bytes = (self.kept + buffered).saturating_sub(FREE_BYTES) * COPIES;
        if self.charge.resize(bytes) { Ok(()) } else { Err(FrameError::NoMemory) }
    }
}

impl<R> FrameReader<R>
where
    R: AsyncRead + Unpin,
{
    /// Creates a reader that rejects messages longer than `max_bytes` bytes.
    pub fn new(stream: R, max_bytes: usize) -> Self {
        Self {
            stream,
            framer: Framer::new(max_bytes),
            read_buf: vec![0; READ_BYTES].into(),
            meter: None,
            read_at_once: 0,
        }
    }

    /// Charges the bytes that the client has the process hold to `account`, and limits the time for each message.
    pub(super) fn meter(&mut self, account: &Account, timeout: Duration) {
        let charge = account.empty_charge();
        self.meter = Some(Meter { charge, timeout, kept: 0, began: None });
    }

    /// Records that a message is kept until its batch has run.
    pub(super) fn keep(&mut self, bytes: usize) {
        if let Some(meter) = &mut self.meter {
            meter.kept += bytes;
        }
    }

    /// Records that no message is kept.
    pub(super) fn release(&mut self) {
        if let Some(meter) = &mut self.meter {
            meter.kept = 0;
            // Fewer bytes are always granted.
            let _ = meter.charge(0);
        }
    }

    /// Reads the next message; `None` when the connection ended between messages.
    ///
    /// The future can be dropped and the call repeated without losing bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the message is not valid.
    pub async fn next(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.framer.pop()? {
                if let Some(meter) = &mut self.meter {
                    meter.began = None;
                }
                return Ok(Some(frame));
            }
            if !self.fill_in_time().await? {
                return Ok(None);
            }
        }
    }

    /// Takes the next message from the buffer, without reading from the connection; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is not valid.
    pub fn next_buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        self.framer.pop()
    }

    /// Reads the next message of the start-up phase, which has no type byte; `None` when the connection ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the message is not valid.
    pub async fn next_untyped(&mut self) -> Result<Option<BytesMut>, FrameError> {
        loop {
            if let Some(message) = self.framer.pop_untyped()? {
                return Ok(Some(message));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Changes the limit for later messages, in bytes.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.framer.max_bytes = max_bytes;
    }

    /// The underlying stream, for writing; reading from it would lose messages.
    pub const fn stream(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Returns the underlying stream and drops buffered bytes.
    pub fn into_inner(self) -> R {
        self.stream
    }

    /// Whether bytes were read that are not part of a returned message.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.framer.is_empty()
    }

    /// As [`fill`](Self::fill), within the time and the memory that the client may take.
    async fn fill_in_time(&mut self) -> Result<bool, FrameError> {
        let buffered = self.framer.size();
        let Some(meter) = &mut self.meter else { return self.fill().await };
        if buffered == 0 {
            return self.fill().await;
        }
        meter.charge(buffered)?;
        let began = match meter.began {
            Some(began) => began,
            None => {
                meter.charge.account().set_activity(Activity::Unfinished);
                *meter.began.insert(BootClock.now())
            }
        };
        let left = meter.timeout.saturating_sub(BootClock.now().since(began));
        within(left, self.fill()).await.unwrap_or(Err(FrameError::TooSlow))
    }

    /// Reads more bytes; returns `false` when the connection ended between messages.
    async fn fill(&mut self) -> Result<bool, FrameError> {
        if self.read_at_once >= YIELD_BYTES {
            self.read_at_once = 0;
            yield_now().await;
        }
        let count = self.stream.read(&mut self.read_buf).await?;
        self.read_at_once += count;
        if count > 0 {
            self.framer.push(&self.read_buf[..count]);
            return Ok(true);
        }
        if self.framer.is_empty() { Ok(false) } else { Err(FrameError::Truncated) }
    }
}

/// Reads the fields of a message body; every method returns `None` when the body is too short.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Creates a reader of `body`.
    pub const fn new(body: &'a [u8]) -> Self {
        Self { rest: body }
    }

    /// The bytes that were not read yet.
    pub const fn rest(&self) -> &'a [u8] {
        self.rest
    }

    /// Reads bytes up to the next zero byte, which is skipped.
    pub fn cstr(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|byte| *byte == 0)?;
        let text = &self.rest[..end];
        self.rest = &self.rest[end + 1..];
        Some(text)
    }

    /// Reads text up to the next zero byte; `None` also when it is not UTF-8.
    pub fn text(&mut self) -> Option<&'a str> {
        std::str::from_utf8(self.cstr()?).ok()
    }

    /// Reads the next `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(head)
    }

    /// Reads the next byte.
    pub fn byte(&mut self) -> Option<u8> {
        self.bytes(1).map(|bytes| bytes[0])
    }

    /// Reads a big-endian unsigned 16-bit number.
    pub fn int16(&mut self) -> Option<u16> {
        self.bytes(2).map(|mut bytes| bytes.get_u16())
    }

    /// Reads a big-endian signed 32-bit number.
    pub fn int32(&mut self) -> Option<i32> {
        self.bytes(4).map(|mut bytes| bytes.get_i32())
    }
}

/// Columns of a `DataRow` body as text, with `None` for nulls; `None` when the body is too short.
pub fn row_columns(body: &[u8]) -> Option<Vec<Option<String>>> {
    let mut fields = Fields::new(body);
    let count = fields.int16()?;
    let mut columns = Vec::new();
    for _ in 0..count {
        let column = match usize::try_from(fields.int32()?) {
            Ok(length) => Some(String::from_utf8_lossy(fields.bytes(length)?).into_owned()),
            Err(_) => None,
        };
        columns.push(column);
    }
    Some(columns)
}
