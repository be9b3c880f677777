//! Start-up of a connection: encryption, cancel requests and the start-up message.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use futures_rustls::server::TlsStream;
use hibiscusladder_core::outcome::{Refusal, RefusalKind};
use pgwire::messages::{DecodeContext, Message, startup::Startup};
use smol::net::TcpStream;

use super::{answer, frame::FrameReader, tls::Tls};

/// Largest message before the client is authenticated, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Codes and lengths, in bytes, of the requests that a client may send in place of a start-up message.
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
const REQUEST_BYTES: usize = 8;
const CANCEL_BYTES: usize = 16;

/// A connection whose start-up message was read.
pub(super) struct ClientStartup<S> {
    pub(super) reader: FrameReader<S>,
    pub(super) parameters: BTreeMap<String, String>,
    /// Minor version of the protocol that the client requests.
    pub(super) minor: u16,
}

/// Result of the start-up phase of a connection.
pub(super) enum StartupOutcome {
    Plain(Box<ClientStartup<TcpStream>>),
    Encrypted(Box<ClientStartup<TlsStream<TcpStream>>>),
    Cancel { process: u32, secret: u32 },
    Closed,
}

/// First message of a connection, also after the change to TLS.
enum FirstMessage {
    Startup(Startup),
    Ssl,
    Gss,
    Cancel { process: u32, secret: u32 },
    Invalid,
}

/// Answers encryption requests and reads up to the start-up message or a cancel request.
pub(super) async fn read_startup(stream: TcpStream, tls: Option<&Tls>) -> StartupOutcome {
    let mut reader = FrameReader::new(stream, MAX_STARTUP_BYTES);
    loop {
        let Some(first) = read_first(&mut reader).await else { return StartupOutcome::Closed };
        match (first, tls) {
            (FirstMessage::Startup(startup), _) => {
                return StartupOutcome::Plain(Box::new(client_startup(reader, startup)));
            }
            (FirstMessage::Cancel { process, secret }, _) => {
                return StartupOutcome::Cancel { process, secret };
            }
            // Plaintext that was received before the answer must not be treated as sent over TLS.
            (FirstMessage::Ssl, Some(tls)) if !reader.has_buffered_bytes() => {
                return accept_tls(reader, tls).await;
            }
            (FirstMessage::Ssl | FirstMessage::Gss, _) => {
                if reader.stream().write_all(b"N").await.is_err() {
                    return StartupOutcome::Closed;
                }
            }
            (FirstMessage::Invalid, _) => {
                reject(&mut reader).await;
                return StartupOutcome::Closed;
            }
        }
    }
}

async fn accept_tls(mut reader: FrameReader<TcpStream>, tls: &Tls) -> StartupOutcome {
    if reader.stream().write_all(b"S").await.is_err() {
        return StartupOutcome::Closed;
    }
    let stream = match tls.acceptor().accept(reader.into_inner()).await {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("entry: TLS handshake with a client failed: {error}");
            return StartupOutcome::Closed;
        }
    };
    let mut reader = FrameReader::new(stream, MAX_STARTUP_BYTES);
    match read_first(&mut reader).await {
        Some(FirstMessage::Startup(startup)) => {
            StartupOutcome::Encrypted(Box::new(client_startup(reader, startup)))
        }
        Some(FirstMessage::Cancel { process, secret }) => {
            StartupOutcome::Cancel { process, secret }
        }
        Some(_) => {
            reject(&mut reader).await;
            StartupOutcome::Closed
        }
        None => StartupOutcome::Closed,
    }
}

fn client_startup<S>(reader: FrameReader<S>, startup: Startup) -> ClientStartup<S> {
    let minor = startup.protocol_number_minor;
    ClientStartup { reader, parameters: startup.parameters, minor }
}

async fn read_first<S>(reader: &mut FrameReader<S>) -> Option<FirstMessage>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match reader.next_untyped().await {
        Ok(message) => message.map(parse_first),
        Err(_) => {
            reject(reader).await;
            None
        }
    }
}

fn parse_first(mut message: BytesMut) -> FirstMessage {
    if message.len() < REQUEST_BYTES {
        return FirstMessage::Invalid;
    }
    let code = (&message[4..REQUEST_BYTES]).get_u32();
    match code {
        SSL_REQUEST if message.len() == REQUEST_BYTES => FirstMessage::Ssl,
        GSS_REQUEST if message.len() == REQUEST_BYTES => FirstMessage::Gss,
        CANCEL_REQUEST if message.len() == CANCEL_BYTES => {
            let mut key = &message[REQUEST_BYTES..];
            FirstMessage::Cancel { process: key.get_u32(), secret: key.get_u32() }
        }
        _ => match Startup::decode(&mut message, &DecodeContext::default()) {
            Ok(Some(startup)) if startup.protocol_number_major == 3 => {
                FirstMessage::Startup(startup)
            }
            _ => FirstMessage::Invalid,
        },
    }
}

async fn reject<S>(reader: &mut FrameReader<S>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let refusal =
        Refusal::not_run(RefusalKind::Protocol).detail("the start-up message is not valid");
    let mut buf = BytesMut::new();
    answer::put_fatal(&mut buf, &refusal);
    let _ = reader.stream().write_all(&buf).await;
}
