//! Conversions of the ends of replies and of refusals.

use std::time::Duration;

use capnp::Error;
use hibiscusladder_core::{
    outcome::{Execution, Refusal, RefusalKind},
    position::Position,
};

use crate::{
    instance_capnp as schema,
    request::{read_position, write_position},
};

/// Transaction status after a batch, as in `ReadyForQuery`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and failed, so that it can only be rolled back.
    Failed,
}

/// End of the reply to a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyEnd {
    /// Status of the transaction after the batch.
    pub status: TransactionStatus,
    /// Position after the commit; `None` when the batch did not commit.
    pub position: Option<Position>,
    /// Reason for which the batch was refused or not answered completely; `None` for a complete answer.
    pub refusal: Option<Refusal>,
}

impl ReplyEnd {
    /// Creates the end of the reply to a batch that was refused outside a transaction.
    pub const fn refused(refusal: Refusal) -> Self {
        Self { status: TransactionStatus::Idle, position: None, refusal: Some(refusal) }
    }
}

/// Writes the end of a reply to `builder`.
pub fn write_end(end: &ReplyEnd, mut builder: schema::reply_end::Builder<'_>) {
    builder.set_status(match end.status {
        TransactionStatus::Idle => schema::TransactionStatus::Idle,
        TransactionStatus::Open => schema::TransactionStatus::Open,
        TransactionStatus::Failed => schema::TransactionStatus::Failed,
    });
    builder.set_has_position(end.position.is_some());
    if let Some(position) = end.position {
        write_position(position, builder.reborrow().init_position());
    }
    builder.set_has_refusal(end.refusal.is_some());
    if let Some(refusal) = &end.refusal {
        write_refusal(refusal, builder.init_refusal());
    }
}

/// Reads the end of a reply.
///
/// # Errors
///
/// Returns an error when the message is malformed or has a refusal of an unknown kind.
pub fn read_end(reader: schema::reply_end::Reader<'_>) -> Result<ReplyEnd, Error> {
    let status = match reader.get_status()? {
        schema::TransactionStatus::Idle => TransactionStatus::Idle,
        schema::TransactionStatus::Open => TransactionStatus::Open,
        schema::TransactionStatus::Failed => TransactionStatus::Failed,
    };
    let position = reader.get_has_position().then(|| reader.get_position().map(read_position));
    let refusal = reader.get_has_refusal().then(|| read_refusal(reader.get_refusal()?));
    Ok(ReplyEnd { status, position: position.transpose()?, refusal: refusal.transpose()? })
}

/// Writes a refusal to `builder`; `retry_after` becomes whole milliseconds.
pub fn write_refusal(refusal: &Refusal, mut builder: schema::refusal::Builder<'_>) {
    builder.set_kind(kind_number(refusal.kind));
    builder.set_unknown(refusal.execution == Execution::Unknown);
    builder.set_detail(&*refusal.detail);
    let after = refusal.retry_after.unwrap_or_default();
    builder.set_retry_after_ms(u32::try_from(after.as_millis()).unwrap_or(u32::MAX));
    if let RefusalKind::WriteLost { lost, term_start } = refusal.kind {
        write_position(lost, builder.reborrow().init_lost());
        write_position(term_start, builder.init_term_start());
    }
}

/// Reads a refusal.
///
/// # Errors
///
/// Returns an error when the message is malformed or has an unknown kind.
pub fn read_refusal(reader: schema::refusal::Reader<'_>) -> Result<Refusal, Error> {
    let lost = read_position(reader.get_lost()?);
    let term_start = read_position(reader.get_term_start()?);
    let kind = kind_from_number(reader.get_kind(), lost, term_start)
        .ok_or_else(|| Error::failed(format!("unknown kind of refusal {}", reader.get_kind())))?;
    let execution = if reader.get_unknown() { Execution::Unknown } else { Execution::NotRun };
    let after = Duration::from_millis(u64::from(reader.get_retry_after_ms()));
    let retry_after = (!after.is_zero()).then_some(after);
    let detail = reader.get_detail()?.to_string()?;
    Ok(Refusal { kind, execution, detail, retry_after })
}

/// Number of a kind in messages between instances; a number is never reused for another kind.
const fn kind_number(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::KeyRejected => 1,
        RefusalKind::DatabaseNotInContract => 2,
        RefusalKind::RateExceeded => 3,
        RefusalKind::QueueFull => 4,
        RefusalKind::ConfigUnconfirmed => 5,
        RefusalKind::NoMember => 6,
        RefusalKind::StaleReadUnproved => 7,
        RefusalKind::WriteLost { .. } => 8,
        RefusalKind::TermUnconfirmed => 9,
        RefusalKind::ConnectionLost => 10,
        RefusalKind::Unsupported => 11,
        RefusalKind::RequestIdReused => 12,
        RefusalKind::KeyInStatement => 13,
        RefusalKind::IdleInTransaction => 14,
        RefusalKind::Leaving => 15,
        RefusalKind::DeadlineExceeded => 16,
        RefusalKind::Protocol => 17,
    }
}

const fn kind_from_number(
    number: u16,
    lost: Position,
    term_start: Position,
) -> Option<RefusalKind> {
    Some(match number {
        1 => RefusalKind::KeyRejected,
        2 => RefusalKind::DatabaseNotInContract,
        3 => RefusalKind::RateExceeded,
        4 => RefusalKind::QueueFull,
        5 => RefusalKind::ConfigUnconfirmed,
        6 => RefusalKind::NoMember,
        7 => RefusalKind::StaleReadUnproved,
        8 => RefusalKind::WriteLost { lost, term_start },
        9 => RefusalKind::TermUnconfirmed,
        10 => RefusalKind::ConnectionLost,
        11 => RefusalKind::Unsupported,
        12 => RefusalKind::RequestIdReused,
        13 => RefusalKind::KeyInStatement,
        14 => RefusalKind::IdleInTransaction,
        15 => RefusalKind::Leaving,
        16 => RefusalKind::DeadlineExceeded,
        17 => RefusalKind::Protocol,
        _ => return None,
    })
}
