//! Request ids and their recorded outcomes, in the table `hl_requests` of each database.

use bytes::{BufMut, BytesMut};
use hibiscusladder_core::{
    at_most_once::{RequestDecision, RequestRecord, StatementDigest, decide},
    name::Workspace,
};

use crate::{
    caller::frame::{Fields, Frame},
    upstream::{Connection, QueryResult, UpstreamError, connection::query_message},
};

/// Statement that creates the table of request ids.
pub(super) const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS hl_requests (workspace text NOT NULL, \
     id text NOT NULL, digest text NOT NULL, outcome text NOT NULL, PRIMARY KEY (workspace, id))";
/// Recorded outcome of a transaction that the client itself commits.
pub(super) const COMMITTED: &str = "COMMIT";

/// Request id of one transaction, with its workspace and the digest of its statements.
#[derive(Debug, Clone)]
pub(super) struct RequestKey {
    workspace: String,
    id: String,
    digest: StatementDigest,
}

impl RequestKey {
    pub(super) fn new(workspace: &Workspace, id: &str, digest: StatementDigest) -> Self {
        Self { workspace: quoted(workspace.as_str()), id: quoted(id), digest }
    }

    /// Begins a transaction and inserts the id in it; returns how the request has to be handled.
    ///
    /// The transaction stays open only when the request has to be run.
    pub(super) async fn begin_with_id(
        &self,
        connection: &mut Connection,
    ) -> Result<RequestDecision, UpstreamError> {
        let insert = self.insert_statement();
        let mut messages = BytesMut::new();
        messages.put(query_message("BEGIN"));
        messages.put(query_message(&insert));
        connection.send(&messages).await?;
        let begun = connection.read_result().await;
        let inserted = connection.read_result().await;
        begun?;
        if inserted?.tag == "INSERT 0 1" {
            return Ok(RequestDecision::Run);
        }
        let recorded = connection.query(&self.lookup_statement()).await?;
        connection.query("ROLLBACK").await?;
        Ok(decide(parse_record(&recorded).as_ref(), self.digest))
    }

    /// Inserts the id in the open transaction; false when another transaction has committed with the same id.
    pub(super) async fn insert_id(
        &self,
        connection: &mut Connection,
    ) -> Result<bool, UpstreamError> {
        let inserted = connection.query(&self.insert_statement()).await?;
        Ok(inserted.tag == "INSERT 0 1")
    }

    fn insert_statement(&self) -> String {
        format!(
            "INSERT INTO hl_requests (workspace, id, digest, outcome) VALUES ({}, {}, '{}', '{COMMITTED}') \
             ON CONFLICT DO NOTHING",
            self.workspace, self.id, self.digest
        )
    }

    /// How a repeated request has to be handled, according to the result of the lookup; `None` when nothing is
    /// recorded, so the request has not committed.
    pub(super) fn recorded(&self, result: &QueryResult) -> Option<RequestDecision> {
        parse_record(result).map(|record| decide(Some(&record), self.digest))
    }

    /// Statement that reads digest and outcome of the request.
    pub(super) fn lookup_statement(&self) -> String {
        format!(
            "SELECT digest, outcome FROM hl_requests WHERE workspace = {} AND id = {}",
            self.workspace, self.id
        )
    }

    /// Statement that records the command tag of the request.
    pub(super) fn outcome_statement(&self, tag: &str) -> String {
        format!(
            "UPDATE hl_requests SET outcome = {} WHERE workspace = {} AND id = {}",
            quoted(tag),
            self.workspace,
            self.id
        )
    }
}

fn parse_record(result: &QueryResult) -> Option<RequestRecord> {
    let row = result.rows.first()?;
    let digest = row.first()?.as_deref()?.parse().ok()?;
    let outcome = row.get(1)?.as_deref()?.into();
    Some(RequestRecord { digest, outcome })
}

/// An SQL text literal. Backslashes are not escaped, since `standard_conforming_strings` is on.
fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

/// Digest of the statements and parameters in a batch.
///
/// Names of prepared statements and portals are left out, since a client library may choose other names on each
/// connection.
pub(super) fn digest(frames: &[Frame]) -> StatementDigest {
    let mut texts: Vec<(&[u8], &[u8])> = Vec::new();
    let mut parts: Vec<&[u8]> = Vec::new();
    for frame in frames {
        let mut fields = Fields::new(frame.body());
        match frame.kind() {
            b'Q' => parts.extend(fields.cstr()),
            b'P' => {
                if let (Some(name), Some(text)) = (fields.cstr(), fields.cstr()) {
                    texts.push((name, text));
                }
            }
            b'B' => {
                let (_portal, name) = (fields.cstr(), fields.cstr().unwrap_or_default());
                let text = texts.iter().rev().find(|(prepared, _)| *prepared == name);
                parts.extend(text.map(|(_, text)| *text));
                parts.push(fields.rest());
            }
            _ => {}
        }
    }
    StatementDigest::of(parts)
}

/// Messages that answer a batch whose outcome was recorded earlier; they contain no rows.
pub(super) fn replay(frames: &[Frame], outcome: &str) -> BytesMut {
    let mut buf = BytesMut::new();
    for frame in frames {
        match frame.kind() {
            b'P' => put_message(&mut buf, b'1', &[]),
            b'B' => put_message(&mut buf, b'2', &[]),
            b'C' => put_message(&mut buf, b'3', &[]),
            b'D' if frame.body().first() == Some(&b'S') => {
                put_message(&mut buf, b't', &[0, 0]);
                put_message(&mut buf, b'n', &[]);
            }
            b'D' => put_message(&mut buf, b'n', &[]),
            b'Q' | b'E' => {
                let mut tag = outcome.as_bytes().to_vec();
                tag.push(0);
                put_message(&mut buf, b'C', &tag);
            }
            _ => {}
        }
    }
    buf
}

fn put_message(buf: &mut BytesMut, kind: u8, body: &[u8]) {
    buf.put_u8(kind);
    buf.put_u32(u32::try_from(body.len() + 4).unwrap_or(u32::MAX));
    buf.put_slice(body);
}
