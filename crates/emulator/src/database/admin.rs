//! Faults that tests set, and reports about members.

use std::sync::Arc;

use hibiscusladder_core::{
    name::{DataCentre, Database, MemberId},
    position::{Position, Term},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use super::{log::Role, member::Member};
use crate::http::{self, Body, Handler, HttpError, Reply};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Faults of one member.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberFaults {
    /// Age that a log entry has when the member copies it as a replica, in milliseconds.
    pub lag_ms: u64,
    /// Whether the member is suspended: connections stay open, nothing is answered.
    pub frozen: bool,
    /// Members, data centres of members, or clients that no messages pass to or from.
    ///
    /// A client is known by its `application_name`, or by one of the parts between slashes.
    pub isolated_from: Vec<String>,
    /// Whether the member is stopped: connections break and new ones are refused; committed data remain.
    pub down: bool,
}

impl MemberFaults {
    /// Whether the faults cut the member off from `name`.
    pub(crate) fn is_isolated_from(&self, name: &str) -> bool {
        self.isolated_from.iter().any(|isolated| isolated == name)
    }
}

/// Changes of the faults; what is absent stays as it is.
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

/// State of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub id: MemberId,
    /// Database that it serves.
    pub database: Database,
    /// Data centre in the settings.
    pub data_centre: Option<DataCentre>,
    /// Address of the wire protocol.
    pub address: String,
    /// Role in the group.
    pub role: Role,
    /// Highest term that the member knows.
    pub term: Term,
    /// Position of its log.
    pub position: Position,
    /// Open connections.
    pub connections: usize,
    /// Connections with a statement that runs or waits.
    pub active: usize,
    /// Texts of statements and start-ups received since the start.
    pub statements: u64,
    /// Statements that read data outside a transaction that writes, while the member was primary.
    pub reads_as_primary: u64,
    /// The same, while it was a replica.
    pub reads_as_replica: u64,
    /// The last of these texts with their parameters.
    pub recent: Vec<String>,
    /// Faults that are set.
    pub faults: MemberFaults,
}

/// All members.
#[derive(Debug, Serialize)]
struct MemberList {
    items: Vec<MemberReport>,
}

/// An answer without contents, written as `{}`.
#[derive(Debug, Serialize)]
struct Empty {}

/// Answers the calls of the admin interface.
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
