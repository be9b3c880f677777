//! Conversions of request heads and positions.

use std::{sync::Arc, time::Duration};

use capnp::Error;
use hibiscusladder_core::{
    name::{Database, KeyId, MemberId, Workspace},
    position::{Lsn, Position, Term},
    request::{RequestHead, StatementClass},
};

use crate::instance_capnp as schema;

/// A request head with the fields that are used only for the transport.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Description of the request.
    pub head: RequestHead,
    /// Member whose home receives the request.
    pub member: MemberId,
    /// Identifies the request in a call that cancels it.
    pub cancel_token: u64,
}

/// Writes an envelope to `builder`; durations become whole milliseconds.
pub fn write_envelope(envelope: &Envelope, mut builder: schema::request_head::Builder<'_>) {
    let head = &envelope.head;
    builder.set_workspace(head.workspace.as_str());
    builder.set_database(head.database.as_str());
    builder.set_member(envelope.member.as_str());
    builder.set_key(head.key.as_ref().map_or("", KeyId::as_str));
    builder.set_request_id(head.request_id.as_deref().unwrap_or_default());
    let (class, max_age) = match head.class {
        StatementClass::Read => (schema::StatementClass::Read, Duration::ZERO),
        StatementClass::StaleRead { max_age } => (schema::StatementClass::StaleRead, max_age),
        StatementClass::Write => (schema::StatementClass::Write, Duration::ZERO),
        StatementClass::UnrepeatableWrite => {
            (schema::StatementClass::UnrepeatableWrite, Duration::ZERO)
        }
    };
    builder.set_class(class);
    builder.set_max_age_ms(millis(max_age));
    builder.set_has_position(head.position.is_some());
    write_position(head.position.unwrap_or_default(), builder.reborrow().init_position());
    builder.set_remaining_ms(u32::try_from(head.remaining.as_millis()).unwrap_or(u32::MAX));
    builder.set_revision(head.revision);
    builder.set_trace_parent(&*head.trace_parent);
    builder.set_cancel_token(envelope.cancel_token);
}

/// Reads an envelope.
///
/// # Errors
///
/// Returns an error when the message is malformed or a required field, such as the workspace, is empty.
pub fn read_envelope(reader: schema::request_head::Reader<'_>) -> Result<Envelope, Error> {
    let max_age = Duration::from_millis(reader.get_max_age_ms());
    let class = match reader.get_class()? {
        schema::StatementClass::Read => StatementClass::Read,
        schema::StatementClass::StaleRead => StatementClass::StaleRead { max_age },
        schema::StatementClass::Write => StatementClass::Write,
        schema::StatementClass::UnrepeatableWrite => StatementClass::UnrepeatableWrite,
    };
    let position = reader.get_has_position().then(|| reader.get_position().map(read_position));
    let head = RequestHead {
        workspace: Workspace::new(required(reader.get_workspace()?, "workspace")?),
        database: Database::new(required(reader.get_database()?, "database")?),
        key: optional(reader.get_key()?)?.map(KeyId::new),
        request_id: optional(reader.get_request_id()?)?.map(Arc::from),
        class,
        position: position.transpose()?,
        remaining: Duration::from_millis(u64::from(reader.get_remaining_ms())),
        revision: reader.get_revision(),
        trace_parent: Arc::from(reader.get_trace_parent()?.to_str()?),
    };
    let member = MemberId::new(required(reader.get_member()?, "member")?);
    Ok(Envelope { head, member, cancel_token: reader.get_cancel_token() })
}

/// Writes a position to `builder`.
pub fn write_position(position: Position, mut builder: schema::position::Builder<'_>) {
    builder.set_term(position.term.0);
    builder.set_lsn(position.lsn.0);
}

/// Reads a position.
pub fn read_position(reader: schema::position::Reader<'_>) -> Position {
    Position::new(Term(reader.get_term()), Lsn(reader.get_lsn()))
}

/// Returns the text of a field that must not be empty.
pub(crate) fn required<'a>(text: capnp::text::Reader<'a>, field: &str) -> Result<&'a str, Error> {
    let text = text.to_str()?;
    if text.is_empty() {
        Err(Error::failed(format!("the field `{field}` is empty")))
    } else {
        Ok(text)
    }
}

/// Returns the text of a field, with `None` for an empty one.
pub(crate) fn optional(text: capnp::text::Reader<'_>) -> Result<Option<&str>, Error> {
    let text = text.to_str()?;
    Ok(if text.is_empty() { None } else { Some(text) })
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
