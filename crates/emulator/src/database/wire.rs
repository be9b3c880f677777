//! Reads and writes the PostgreSQL messages of one connection.

use std::io;

use bytes::BytesMut;
use futures::{AsyncReadExt, AsyncWriteExt};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use smol::net::TcpStream;

/// Buffer size of one read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A client connection with its input and output buffers.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    pub(crate) ctx: DecodeContext,
}

impl Wire {
    /// Wraps a new connection, whose first message is decoded as a start-up message.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let ctx = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Self { stream, input: BytesMut::new(), output: BytesMut::new(), ctx }
    }

    /// Reads the next message; `None` when the client has closed the connection.
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

    /// Appends a message to the output buffer.
    pub(crate) fn push(&mut self, message: &PgWireBackendMessage) -> io::Result<()> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Appends one byte, the response to a request for TLS, to the output buffer.
    pub(crate) fn push_byte(&mut self, byte: u8) {
        self.output.extend_from_slice(&[byte]);
    }

    /// Sends the contents of the output buffer.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output).await
    }
}
