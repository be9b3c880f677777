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
/// Length and codes of the requests that come in place of a start-up message.
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
const REQUEST_BYTES: usize = 8;
const CANCEL_BYTES: usize = 16;

/// A client that has introduced itself.
pub(super) struct Greeting<S> {
    pub(super) reader: FrameReader<S>,
    pub(super) parameters: BTreeMap<String, String>,
    /// Minor version of the protocol that the client asks for.
    pub(super) minor: u16,
}

/// How a connection begins.
pub(super) enum Opening {
    Plain(Box<Greeting<TcpStream>>),
    Encrypted(Box<Greeting<TlsStream<TcpStream>>>),
    Cancel { process: u32, secret: u32 },
    Closed,
}

/// First message of a connection or of its encrypted part.
enum First {
    Startup(Startup),
    Ssl,
    Gss,
    Cancel { process: u32, secret: u32 },
    Invalid,
}

/// Reads up to the start-up message.
pub(super) async fn open(stream: TcpStream, tls: Option<&Tls>) -> Opening {
    let mut reader = FrameReader::new(stream, MAX_STARTUP_BYTES);
    loop {
        let Some(first) = read_first(&mut reader).await else { return Opening::Closed };
        match (first, tls) {
            (First::Startup(startup), _) => {
                return Opening::Plain(Box::new(greeting(reader, startup)));
            }
            (First::Cancel { process, secret }, _) => return Opening::Cancel { process, secret },
            // Bytes that came before the answer would be taken for encrypted ones.
            (First::Ssl, Some(tls)) if !reader.has_rest() => return encrypt(reader, tls).await,
            (First::Ssl | First::Gss, _) => {
                if reader.stream().write_all(b"N").await.is_err() {
                    return Opening::Closed;
                }
            }
            (First::Invalid, _) => {
                reject(&mut reader).await;
                return Opening::Closed;
            }
        }
    }
}

async fn encrypt(mut reader: FrameReader<TcpStream>, tls: &Tls) -> Opening {
    if reader.stream().write_all(b"S").await.is_err() {
        return Opening::Closed;
    }
    let stream = match tls.acceptor().accept(reader.into_inner()).await {
        Ok(stream) => stream,
        Err(error) => {
            spdlog::debug!("entry: a TLS handshake failed: {error}");
            return Opening::Closed;
        }
    };
    let mut reader = FrameReader::new(stream, MAX_STARTUP_BYTES);
    match read_first(&mut reader).await {
        Some(First::Startup(startup)) => Opening::Encrypted(Box::new(greeting(reader, startup))),
        Some(First::Cancel { process, secret }) => Opening::Cancel { process, secret },
        Some(_) => {
            reject(&mut reader).await;
            Opening::Closed
        }
        None => Opening::Closed,
    }
}

fn greeting<S>(reader: FrameReader<S>, startup: Startup) -> Greeting<S> {
    let minor = startup.protocol_number_minor;
    Greeting { reader, parameters: startup.parameters, minor }
}

async fn read_first<S>(reader: &mut FrameReader<S>) -> Option<First>
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

fn parse_first(mut message: BytesMut) -> First {
    if message.len() < REQUEST_BYTES {
        return First::Invalid;
    }
    let code = (&message[4..REQUEST_BYTES]).get_u32();
    match code {
        SSL_REQUEST if message.len() == REQUEST_BYTES => First::Ssl,
        GSS_REQUEST if message.len() == REQUEST_BYTES => First::Gss,
        CANCEL_REQUEST if message.len() == CANCEL_BYTES => {
            let mut key = &message[REQUEST_BYTES..];
            First::Cancel { process: key.get_u32(), secret: key.get_u32() }
        }
        _ => match Startup::decode(&mut message, &DecodeContext::default()) {
            Ok(Some(startup)) if startup.protocol_number_major == 3 => First::Startup(startup),
            _ => First::Invalid,
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
