//! Collects the messages of a client into batches.

use super::{
    frame::{Frame, FrameError},
    message::ClientMessage,
};

/// Messages of a client that are answered together.
#[derive(Debug)]
pub(super) enum Batch {
    /// One `Query` message.
    Simple(Frame),
    /// Messages of the extended protocol, without the `Sync` that ends them.
    Extended(Vec<Frame>),
    /// Messages before a `Flush`; the client waits for their answers before it sends `Sync`.
    Flushed(Vec<Frame>),
    /// A message that violates the protocol; messages up to the next `Sync` are skipped.
    Invalid(&'static str),
    /// An invalid or unsupported message that no `Sync` follows.
    InvalidWithoutSync(&'static str),
    /// The client ends the session.
    Terminate,
}

/// Collects the messages of the batch that is being received.
#[derive(Debug)]
pub(super) struct Collector {
    frames: Vec<Frame>,
    bytes: usize,
    max_bytes: usize,
    /// Whether messages up to the next `Sync` are skipped, as the protocol requires after an error.
    skipping: bool,
}

impl Collector {
    /// Creates a collector of batches of at most `max_bytes` bytes.
    pub(super) const fn new(max_bytes: usize) -> Self {
        Self { frames: Vec::new(), bytes: 0, max_bytes, skipping: false }
    }

    /// Whether no batch is being received or skipped.
    pub(super) const fn is_idle(&self) -> bool {
        self.frames.is_empty() && !self.skipping
    }

    /// Skips messages up to the next `Sync`.
    pub(super) const fn skip_to_sync(&mut self) {
        self.skipping = true;
    }

    /// Adds a message; returns a batch when the message completes one.
    ///
    /// # Errors
    ///
    /// Returns an error when the messages of a batch exceed the limit.
    pub(super) fn push(&mut self, frame: Frame) -> Result<Option<Batch>, FrameError> {
        let Some(message) = ClientMessage::parse(&frame) else {
            if frame.kind() == b'Q' && self.is_idle() {
                return Ok(Some(Batch::InvalidWithoutSync("the text of the query is not valid")));
            }
            return Ok(self.reject("a message is not valid"));
        };
        match message {
            ClientMessage::Terminate => return Ok(Some(Batch::Terminate)),
            ClientMessage::Sync => {
                self.skipping = false;
                return Ok(Some(Batch::Extended(self.take())));
            }
            _ if self.skipping => return Ok(None),
            ClientMessage::Query { .. } if self.frames.is_empty() => {
                return Ok(Some(Batch::Simple(frame)));
            }
            ClientMessage::Query { .. } => {
                return Ok(self.reject("a query came before the end of an extended batch"));
            }
            // The client may still send COPY data after its COPY was refused.
            ClientMessage::Copy => return Ok(None),
            ClientMessage::FunctionCall if self.frames.is_empty() => {
                return Ok(Some(Batch::InvalidWithoutSync("function calls are not supported")));
            }
            ClientMessage::FunctionCall | ClientMessage::Other => {
                return Ok(self.reject("a message has no place here"));
            }
            ClientMessage::Flush if self.frames.is_empty() => return Ok(None),
            ClientMessage::Flush => return Ok(Some(Batch::Flushed(self.take()))),
            _ => {}
        }
        self.bytes += frame.size();
        if self.bytes > self.max_bytes {
            return Err(FrameError::TooLarge { length: self.bytes, max_bytes: self.max_bytes });
        }
        self.frames.push(frame);
        Ok(None)
    }

    fn take(&mut self) -> Vec<Frame> {
        self.bytes = 0;
        std::mem::take(&mut self.frames)
    }

    /// Drops the messages of the batch and skips those up to the next `Sync`; `None` when they are skipped already.
    fn reject(&mut self, reason: &'static str) -> Option<Batch> {
        if self.skipping {
            return None;
        }
        self.take();
        self.skipping = true;
        Some(Batch::Invalid(reason))
    }
}
