//! Records of database groups in the platform's store.

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
    /// Highest term that was claimed.
    pub term: Term,
    /// Primary of the term; `None` between claim and promotion.
    pub primary: Option<MemberId>,
    /// Instance that claimed the term; `None` for the first term.
    #[serde(default)]
    pub claimant: Option<InstanceId>,
    /// Position at which the term began; `None` when it is unknown.
    #[serde(default)]
    pub term_start: Option<Position>,
    /// Members that accepted the term; the term part of each workspace's rate is divided among them.
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
    /// Client statements that may run at the same time.
    pub slots: u32,
    /// Connections that the member accepts.
    pub connections: u32,
}

/// Whether an upstream receives new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Receives new work.
    Live,
    /// Receives no new work.
    Leaving,
}

/// State of one upstream, as set by the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Whether the upstream receives new work.
    pub state: UpstreamState,
}
