//! Settings of database groups.

use hibiscusladder_core::name::{DataCentre, Database, MemberId};
use serde::{Deserialize, Serialize};

/// Settings of the database emulator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupConfig {
    /// Address of the admin interface; port 0 chooses a free one.
    pub admin: String,
    /// Name of the only user that may connect.
    pub user: String,
    /// Password of the user.
    pub password: String,
    /// Time that the set-up of a connection takes, in milliseconds.
    pub setup_ms: u64,
    /// Lag of replicas without [`MemberConfig::lag_ms`], in milliseconds.
    pub lag_ms: u64,
    /// Time for which each statement holds its slot in addition to its execution, in microseconds.
    pub statement_us: u64,
    /// Number of received texts that a member keeps for [`MemberReport::recent`](super::MemberReport::recent).
    pub kept_statements: usize,
    /// Databases, each with a group of members.
    pub databases: Vec<DatabaseConfig>,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self {
            admin: "127.0.0.1:0".to_owned(),
            user: "proxy".to_owned(),
            password: "proxy".to_owned(),
            setup_ms: 12,
            lag_ms: 5,
            statement_us: 0,
            kept_statements: 1_000,
            databases: Vec::new(),
        }
    }
}

impl GroupConfig {
    /// Settings of one database with the named members on free ports; the first member is the primary.
    pub fn single(database: &str, members: &[&str]) -> Self {
        let members = members.iter().map(|id| MemberConfig::new(id)).collect();
        let database = DatabaseConfig { name: Database::new(database), members, primary: None };
        Self { databases: vec![database], ..Self::default() }
    }
}

/// One database and its group of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseConfig {
    /// Name that clients connect to.
    pub name: Database,
    /// Members of the group; at least one.
    pub members: Vec<MemberConfig>,
    /// Primary of term 1; the first member when absent.
    #[serde(default)]
    pub primary: Option<MemberId>,
}

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberConfig {
    /// Name of the member, unique over all databases.
    pub id: MemberId,
    /// Data centre of the member, for reports and for faults that isolate members by data centre.
    #[serde(default)]
    pub data_centre: Option<DataCentre>,
    /// Address to listen on; port 0 chooses a free one.
    #[serde(default = "any_port")]
    pub listen: String,
    /// Further addresses under which `group_follow` finds the member, such as those of TCP relays in front of it.
    #[serde(default)]
    pub aliases: Vec<String>,
    /// Number of open transactions and single statements at a time; further ones wait for a slot.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Number of connections at a time; further ones are refused with SQLSTATE 53300.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Lag as a replica, in milliseconds; [`GroupConfig::lag_ms`] when absent.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

impl MemberConfig {
    /// Settings of a member on a free port with 2 slots and 16 connections.
    pub fn new(id: &str) -> Self {
        Self {
            id: MemberId::new(id),
            data_centre: None,
            listen: any_port(),
            aliases: Vec::new(),
            slots: default_slots(),
            connections: default_connections(),
            lag_ms: None,
        }
    }
}

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

const fn default_slots() -> usize {
    2
}

const fn default_connections() -> usize {
    16
}
