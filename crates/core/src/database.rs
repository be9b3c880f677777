//! Records of database groups as they are kept in the platform's store.

use serde::{Deserialize, Serialize};

use crate::{
    name::{DataCentre, Database, InstanceId, MemberId},
    position::{Position, Term},
};

/// One database with its members, term and primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseRecord {
    /// Name of the database.
    pub name: Database,
    /// Members, in the order in which ties are broken.
    pub members: Vec<MemberRecord>,
    /// Newest term that was claimed.
    pub term: Term,
    /// Primary of the term; absent between claim and promotion.
    pub primary: Option<MemberId>,
    /// Instance that claimed the term; absent for the first one.
    #[serde(default)]
    pub claimant: Option<InstanceId>,
    /// Position at which the term began.
    #[serde(default)]
    pub term_start: Option<Position>,
    /// Members that raised to the term; they divide the term part of every share.
    #[serde(default)]
    pub term_members: Vec<MemberId>,
}

/// One member of a database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    /// Name of the member, unique over all databases.
    pub id: MemberId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Address as `host:port`.
    pub address: String,
    /// Statements of callers that may run at a time.
    pub slots: u32,
    /// Connections that the member accepts.
    pub connections: u32,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes work.
    Live,
    /// Gets no new work.
    Leaving,
}

/// The operator's word on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Whether it takes new work.
    pub state: UpstreamState,
}
