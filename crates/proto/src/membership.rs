//! Conversions of heartbeats between their core type and the message.

use std::time::Duration;

use capnp::Error;
use hibiscusladder_core::{
    membership::{Heartbeat, InstanceInfo, InstanceState, TermInfo},
    name::{DataCentre, Database, InstanceId, MemberId},
    position::Term,
};

use crate::{
    instance_capnp as schema,
    request::{millis, optional, read_position, required, write_position},
};

/// Writes a heartbeat to `builder`.
pub fn write_heartbeat(beat: &Heartbeat, mut builder: schema::heartbeat::Builder<'_>) {
    write_instance(&beat.sender, builder.reborrow().init_sender());
    builder.set_revision(beat.revision);
    builder.set_has_proof(beat.proof_age.is_some());
    builder.set_proof_age_ms(millis(beat.proof_age.unwrap_or_default()));
    let mut recent = builder.reborrow().init_recent(list_length(beat.recent.len()));
    for (index, info) in (0..).zip(&beat.recent) {
        write_instance(info, recent.reborrow().get(index));
    }
    let mut terms = builder.init_terms(list_length(beat.terms.len()));
    for (index, info) in (0..).zip(&beat.terms) {
        write_term(info, terms.reborrow().get(index));
    }
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Returns an error when the message is malformed or a required field is empty.
pub fn read_heartbeat(reader: schema::heartbeat::Reader<'_>) -> Result<Heartbeat, Error> {
    let age = Duration::from_millis(reader.get_proof_age_ms());
    Ok(Heartbeat {
        sender: read_instance(reader.get_sender()?)?,
        revision: reader.get_revision(),
        proof_age: reader.get_has_proof().then_some(age),
        recent: reader.get_recent()?.iter().map(read_instance).collect::<Result<_, _>>()?,
        terms: reader.get_terms()?.iter().map(read_term).collect::<Result<_, _>>()?,
    })
}

fn write_instance(info: &InstanceInfo, mut builder: schema::instance_info::Builder<'_>) {
    builder.set_id(info.id.as_str());
    builder.set_data_centre(info.data_centre.as_str());
    builder.set_rpc(&*info.rpc);
    builder.set_state(match info.state {
        InstanceState::Live => schema::MemberState::Live,
        InstanceState::Leaving => schema::MemberState::Leaving,
        InstanceState::Suspected => schema::MemberState::Suspected,
        InstanceState::Dead => schema::MemberState::Dead,
    });
    builder.set_incarnation(info.incarnation);
}

fn read_instance(reader: schema::instance_info::Reader<'_>) -> Result<InstanceInfo, Error> {
    Ok(InstanceInfo {
        id: InstanceId::new(required(reader.get_id()?, "id")?),
        data_centre: DataCentre::new(required(reader.get_data_centre()?, "dataCentre")?),
        rpc: reader.get_rpc()?.to_str()?.into(),
        state: match reader.get_state()? {
            schema::MemberState::Live => InstanceState::Live,
            schema::MemberState::Leaving => InstanceState::Leaving,
            schema::MemberState::Suspected => InstanceState::Suspected,
            schema::MemberState::Dead => InstanceState::Dead,
        },
        incarnation: reader.get_incarnation(),
    })
}

fn write_term(info: &TermInfo, mut builder: schema::term_info::Builder<'_>) {
    builder.set_database(info.database.as_str());
    builder.set_term(info.term.0);
    builder.set_primary(info.primary.as_ref().map_or("", MemberId::as_str));
    builder.set_has_term_start(info.term_start.is_some());
    write_position(info.term_start.unwrap_or_default(), builder.init_term_start());
}

fn read_term(reader: schema::term_info::Reader<'_>) -> Result<TermInfo, Error> {
    let start = reader.get_has_term_start().then(|| reader.get_term_start().map(read_position));
    Ok(TermInfo {
        database: Database::new(required(reader.get_database()?, "database")?),
        term: Term(reader.get_term()),
        primary: optional(reader.get_primary()?)?.map(MemberId::new),
        term_start: start.transpose()?,
    })
}

/// Converts the length of a list for a message; lists between instances are far shorter than `u32::MAX`.
pub(crate) fn list_length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
