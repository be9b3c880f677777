//! Reads and writes the messages of one connection.

use std::io;

use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use smol::net::TcpStream;

/// Bytes that one read makes room for.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// One connection with its buffers.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    pub(crate) ctx: DecodeContext,
}

impl Wire {
    /// Starts with an empty buffer and waits for a start-up message.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let ctx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { stream, input: BytesMut::new(), output: BytesMut::new(), ctx }
    }

    /// The next message; `None` when the client has closed the connection.
    pub(crate) async fn read(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.ctx)? {
                return Ok(Some(message));
            }
            let mut chunk = [0; READ_BUFFER_BYTES];
            let len = self.stream.read(&mut chunk).await?;
            if len == 0 {
                return Ok(None);
            }
            self.input.extend_from_slice(&chunk[..len]);
        }
    }

    /// Adds a message to the output.
    pub(crate) fn push(&mut self, message: &PgWireBackendMessage) -> io::Result<()> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Adds one byte to the output, the answer to a request for TLS.
    pub(crate) fn push_byte(&mut self, byte: u8) {
        self.output.extend_from_slice(&[byte]);
    }

    /// Sends the output.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output).await
    }
}
