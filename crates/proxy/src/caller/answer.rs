//! Encodes the messages that the entry itself writes to a client.

use bytes::{BufMut, BytesMut};
use hibiscusladder_core::{outcome::Refusal, position::Position};
use hibiscusladder_proto::reply::TransactionStatus;
use pgwire::messages::{
    Message,
    response::{ErrorResponse, ReadyForQuery, TransactionStatus as WireStatus},
    startup::{Authentication, ParameterStatus},
};

/// Longest error message that is sent to a client, in bytes; longer ones are truncated.
const MAX_MESSAGE_BYTES: usize = 2_000;
/// Type OID of `text` columns.
const TEXT_OID: u32 = 25;

/// Appends a message; a message that cannot be encoded is left out.
pub(super) fn put<M>(buf: &mut BytesMut, message: &M)
where
    M: Message,
{
    let start = buf.len();
    if message.encode(buf).is_err() {
        buf.truncate(start);
    }
}

/// Appends an `ErrorResponse` after which the session continues.
pub(super) fn put_error(buf: &mut BytesMut, refusal: &Refusal) {
    put_refusal(buf, "ERROR", refusal);
}

/// Appends an `ErrorResponse` after which the connection is closed.
pub(super) fn put_fatal(buf: &mut BytesMut, refusal: &Refusal) {
    put_refusal(buf, "FATAL", refusal);
}

fn put_refusal(buf: &mut BytesMut, severity: &str, refusal: &Refusal) {
    let mut message = refusal.to_string();
    let end =
        (0..=MAX_MESSAGE_BYTES.min(message.len())).rev().find(|end| message.is_char_boundary(*end));
    message.truncate(end.unwrap_or(0));
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', refusal.sqlstate().to_owned()),
        (b'M', message),
        (b'H', refusal.hint().to_owned()),
    ];
    put(buf, &ErrorResponse::new(fields));
}

/// Appends `ReadyForQuery`.
pub(super) fn put_ready(buf: &mut BytesMut, status: TransactionStatus) {
    let status = match status {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    };
    put(buf, &ReadyForQuery::new(status));
}

/// Appends the session's position as `ParameterStatus` of `hibiscus.position`.
pub(super) fn put_position(buf: &mut BytesMut, position: Position) {
    put_parameter(buf, "hibiscus.position", &position.to_string());
}

/// Appends a `ParameterStatus` message.
pub(super) fn put_parameter(buf: &mut BytesMut, name: &str, value: &str) {
    put(buf, &ParameterStatus::new(name.to_owned(), value.to_owned()));
}

/// Appends the request for a cleartext password.
pub(super) fn put_password_request(buf: &mut BytesMut) {
    put(buf, &Authentication::CleartextPassword);
}

/// Appends the message that the client is authenticated.
pub(super) fn put_authenticated(buf: &mut BytesMut) {
    put(buf, &Authentication::Ok);
}

/// Appends a message with the type byte `kind`.
pub(super) fn put_raw(buf: &mut BytesMut, kind: u8, body: &[u8]) {
    buf.put_u8(kind);
    buf.put_u32(u32::try_from(body.len() + 4).unwrap_or(u32::MAX));
    buf.put_slice(body);
}

/// Appends `CommandComplete` with `tag`.
pub(super) fn put_tag(buf: &mut BytesMut, tag: &str) {
    let mut body = tag.as_bytes().to_vec();
    body.push(0);
    put_raw(buf, b'C', &body);
}

/// Appends `RowDescription` of one text column.
pub(super) fn put_text_column(buf: &mut BytesMut, name: &str) {
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_slice(name.as_bytes());
    body.put_u8(0);
    body.put_u32(0);
    body.put_u16(0);
    body.put_u32(TEXT_OID);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_u16(0);
    put_raw(buf, b'T', &body);
}

/// Appends a `DataRow` of one text column.
pub(super) fn put_text_row(buf: &mut BytesMut, value: &str) {
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
    body.put_slice(value.as_bytes());
    put_raw(buf, b'D', &body);
}
