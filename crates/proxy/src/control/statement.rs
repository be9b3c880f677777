//! Statements that call the control functions of a member, and the parsing of their answers.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::{Database, InstanceId, MemberId},
    position::{Position, Term},
    quorum::{MemberReport, MemberRole},
};
use sha2::{Digest, Sha256};

use super::link::{Answer, LinkError, MemberLink, TextRows};

/// Query for the state of the member in its group; it returns one row.
const STATUS: &str = "SELECT * FROM group_status()";

/// Polls a member; `None` when its answer cannot be parsed.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn poll(
    link: &MemberLink,
    member: &MemberId,
    now: fn() -> Instant,
) -> Result<Option<MemberReport>, LinkError> {
    let answer = link.query(STATUS).await?;
    Ok(read_report(&answer, member, now()))
}

fn read_report(answer: &Answer, member: &MemberId, received: Instant) -> Option<MemberReport> {
    let rows = &answer.rows;
    let term = |column| rows.first(column).and_then(|text| text.parse().ok()).map(Term);
    let position = |column| rows.first(column).and_then(|text| text.parse::<Position>().ok());
    let start = position("term_start").unwrap_or_default();
    let silent = rows.first("source_silent_ms").and_then(|text| text.parse().ok());
    Some(MemberReport {
        member: rows.first("member").map_or_else(|| member.clone(), MemberId::new),
        role: match rows.first("role")? {
            "primary" => MemberRole::Primary,
            "replica" => MemberRole::Replica,
            _ => MemberRole::Fenced,
        },
        term: term("term")?,
        claimant: claimant(rows),
        // A replica reports no promoted term; the start of the newest term in its log contains the term.
        promoted_term: term("promoted_term").unwrap_or(start.term),
        position: position("position")?,
        term_start: start,
        term_members: member_ids(rows.first("term_members").unwrap_or_default()),
        source_silent: silent.map(Duration::from_millis),
        sent: answer.sent,
        received,
    })
}

fn claimant(rows: &TextRows) -> Option<InstanceId> {
    rows.first("claimant").filter(|text| !text.is_empty()).map(InstanceId::new)
}

fn member_ids(text: &str) -> Vec<MemberId> {
    text.split(',').map(str::trim).filter(|name| !name.is_empty()).map(MemberId::new).collect()
}

/// Raises the term of a member and returns its resulting term and claimant; `None` when the answer cannot be parsed.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn raise_term(
    link: &MemberLink,
    term: Term,
    claimant_name: &InstanceId,
) -> Result<Option<(Term, Option<InstanceId>)>, LinkError> {
    let name = quoted(claimant_name.as_str());
    let answer = link.query(format!("SELECT group_raise_term({term}, {name})")).await?;
    let raised = answer.rows.first("term").and_then(|text| text.parse().ok()).map(Term);
    Ok(raised.map(|term| (term, claimant(&answer.rows))))
}

/// Promotes a member to primary of `term`; false when the member rejects the promotion.
///
/// # Errors
///
/// Returns an error when the connection is lost.
pub(super) async fn promote(
    link: &MemberLink,
    term: Term,
    members: &[MemberId],
) -> Result<bool, LinkError> {
    let names: Vec<&str> = members.iter().map(MemberId::as_str).collect();
    let names = quoted(&names.join(","));
    match link.query(format!("SELECT group_promote({term}, {names})")).await {
        Ok(answer) => Ok(answer.rows.scalar() == Some("t")),
        Err(LinkError::Server { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}

/// Makes a member replicate from the primary at `address`.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn follow(link: &MemberLink, address: &str, term: Term) -> Result<(), LinkError> {
    let address = quoted(address);
    link.query(format!("SELECT group_follow({address}, {term})")).await.map(drop)
}

/// Key of the advisory lock that the home of a member holds on the member.
///
/// The key has 31 bits, since `pg_locks` shows the low half of a longer key as a signed number.
pub fn lock_key(database: &Database, member: &MemberId) -> u32 {
    let mut hash = Sha256::new();
    hash.update(database.as_str());
    hash.update([0]);
    hash.update(member.as_str());
    let hash = hash.finalize();
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]) & 0x7fff_ffff
}

/// Tries to acquire the lock; returns whether this connection holds it now and when the statement was sent.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn try_lock(link: &MemberLink, key: u32) -> Result<(bool, Instant), LinkError> {
    let answer = link.query(format!("SELECT pg_try_advisory_lock({key})")).await?;
    Ok((answer.rows.scalar() == Some("t"), answer.sent))
}

/// Releases the lock.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn unlock(link: &MemberLink, key: u32) -> Result<(), LinkError> {
    link.query(format!("SELECT pg_advisory_unlock({key})")).await.map(drop)
}

/// Process id of the backend that holds the lock; `None` when the lock is free.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn lock_holder(link: &MemberLink, key: u32) -> Result<Option<i32>, LinkError> {
    let answer = link.query(format!("SELECT pid FROM pg_locks WHERE objid = {key}")).await?;
    Ok(answer.rows.scalar().and_then(|text| text.parse().ok()))
}

/// Terminates another backend of the member, which closes its connection and releases its locks.
///
/// # Errors
///
/// Returns an error when the connection is lost or the member rejects the statement.
pub(super) async fn terminate(link: &MemberLink, pid: i32) -> Result<(), LinkError> {
    link.query(format!("SELECT pg_terminate_backend({pid})")).await.map(drop)
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}
