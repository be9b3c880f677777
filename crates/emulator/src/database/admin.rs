//! Admin interface of database groups: faults that tests set, and reports about members.

use std::sync::Arc;

use hibiscusladder_core::{
    name::{DataCentre, Database, MemberId},
    position::{Position, Term},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use super::{log::Role, member::Member};
use crate::http::{self, Body, Handler, HttpError, Reply};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Faults of one member.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberFaults {
    /// Age from which the member copies a log entry as a replica, in milliseconds.
    pub lag_ms: u64,
    /// Whether the member is suspended: connections stay open, but requests get no response.
    pub frozen: bool,
    /// Names of members, data centres and clients with which the member exchanges no messages.
    ///
    /// A client matches if one of the parts of its `application_name` between slashes is listed.
    pub isolated_from: Vec<String>,
    /// Whether the member is stopped: its connections are closed and new ones refused; committed data remain.
    pub down: bool,
}

impl MemberFaults {
    /// Whether the member is isolated from the member, data centre or client `name`.
    pub(crate) fn is_isolated_from(&self, name: &str) -> bool {
        self.isolated_from.iter().any(|isolated| isolated == name)
    }
}

/// Change of some faults; absent fields leave their fault unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultChange {
    lag_ms: Option<u64>,
    frozen: Option<bool>,
    isolated_from: Option<Vec<String>>,
    down: Option<bool>,
}

impl FaultChange {
    fn apply(self, faults: MemberFaults) -> MemberFaults {
        MemberFaults {
            lag_ms: self.lag_ms.unwrap_or(faults.lag_ms),
            frozen: self.frozen.unwrap_or(faults.frozen),
            isolated_from: self.isolated_from.unwrap_or(faults.isolated_from),
            down: self.down.unwrap_or(faults.down),
        }
    }
}

/// State of one member, with counters since its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member, unique over all databases.
    pub id: MemberId,
    /// Database that the member belongs to.
    pub database: Database,
    /// Data centre from the settings, if one is set.
    pub data_centre: Option<DataCentre>,
    /// Address on which the member accepts PostgreSQL connections.
    pub address: String,
    /// Whether the member is the primary, a replica or a fenced former primary.
    pub role: Role,
    /// Highest term that the member has accepted.
    pub term: Term,
    /// Position of the last entry of its log.
    pub position: Position,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections with a statement that runs or waits.
    pub active: usize,
    /// Number of query texts and start-up messages received.
    pub statements: u64,
    /// Number of statements that read data outside a transaction that writes, while the member was primary.
    pub reads_as_primary: u64,
    /// The same as [`reads_as_primary`](Self::reads_as_primary), while the member was not primary.
    pub reads_as_replica: u64,
    /// Latest received texts and bound parameters, oldest first; at most [`GroupConfig::kept_statements`] of them.
    ///
    /// [`GroupConfig::kept_statements`]: super::GroupConfig::kept_statements
    pub recent: Vec<String>,
    /// Faults that are set at present.
    pub faults: MemberFaults,
}

/// Reports of the members of all databases.
#[derive(Debug, Serialize)]
struct MemberList {
    items: Vec<MemberReport>,
}

/// Response without contents, written as `{}`.
#[derive(Debug, Serialize)]
struct Empty {}

/// Handles the calls of the admin interface for the members of all databases.
#[derive(Debug, Clone)]
pub(crate) struct Admin(pub(crate) Arc<Vec<Arc<Member>>>);

impl Handler for Admin {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        Ok(http::into_response(self.answer(req).await))
    }
}

impl Admin {
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, HttpError> {
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().clone(), segments.as_slice()) {
            (Method::GET, ["admin", "members"]) => {
                let items = self.0.iter().map(|member| member.report()).collect();
                Ok(http::json(StatusCode::OK, &MemberList { items }))
            }
            (Method::GET, ["admin", "members", id]) => {
                Ok(http::json(StatusCode::OK, &self.member(id)?.report()))
            }
            (Method::PUT, ["admin", "members", id]) => {
                let member = self.member(id)?;
                let change: FaultChange = http::read_json(req.into_body(), MAX_BODY_BYTES).await?;
                let faults = member.faults().clone();
                member.set_faults(change.apply(faults));
                Ok(http::json(StatusCode::OK, &Empty {}))
            }
            _ => Err(HttpError::not_found()),
        }
    }

    fn member(&self, id: &str) -> Result<&Arc<Member>, HttpError> {
        let mut members = self.0.iter();
        members.find(|member| member.id().as_str() == id).ok_or_else(HttpError::not_found)
    }
}
