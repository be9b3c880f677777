//! Conversions of configuration changes between their core types and the messages.

use std::{sync::Arc, time::Duration};

use capnp::Error;
use hibiscusladder_core::config::{Change, Changes, Kind};

use crate::{
    instance_capnp as schema,
    membership::list_length,
    request::{millis, required},
};

/// Writes changes to `builder`.
pub fn write_changes(changes: &Changes, mut builder: schema::changes::Builder<'_>) {
    builder.set_revision(changes.revision);
    builder.set_has_proof(changes.proof_age.is_some());
    builder.set_proof_age_ms(millis(changes.proof_age.unwrap_or_default()));
    builder.set_complete(changes.complete);
    let mut items = builder.init_items(list_length(changes.items.len()));
    for (index, change) in (0..).zip(&changes.items) {
        let mut item = items.reborrow().get(index);
        item.set_kind(change.kind.as_str());
        item.set_name(&*change.name);
        item.set_version(change.version);
        item.set_deleted(change.value.is_none());
        item.set_value(change.value.as_deref().unwrap_or_default());
    }
}

/// Reads changes from a message that [`write_changes`] has filled.
///
/// # Errors
///
/// Returns an error when the message is malformed, an object has no name, or a kind of object is unknown.
pub fn read_changes(reader: schema::changes::Reader<'_>) -> Result<Changes, Error> {
    let age = Duration::from_millis(reader.get_proof_age_ms());
    Ok(Changes {
        revision: reader.get_revision(),
        proof_age: reader.get_has_proof().then_some(age),
        complete: reader.get_complete(),
        items: reader.get_items()?.iter().map(read_change).collect::<Result<_, _>>()?,
    })
}

fn read_change(reader: schema::change::Reader<'_>) -> Result<Change, Error> {
    let kind: Kind = reader.get_kind()?.to_str()?.parse().map_err(conversion_error)?;
    let value: Arc<str> = reader.get_value()?.to_str()?.into();
    Ok(Change {
        kind,
        name: required(reader.get_name()?, "name")?.into(),
        version: reader.get_version(),
        value: (!reader.get_deleted()).then_some(value),
    })
}

fn conversion_error<E>(error: E) -> Error
where
    E: std::fmt::Display,
{
    Error::failed(error.to_string())
}
