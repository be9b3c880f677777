//! The types that most users of this crate need.

pub use crate::{
    clock::{Clock, Instant, ManualClock},
    contract::{Contract, Route, RouteRule},
    database::{DatabaseRecord, MemberRecord, UpstreamRecord, UpstreamState},
    name::{DataCentre, Database, InstanceId, KeyId, MemberId, Workspace},
    outcome::{Execution, Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    request::{RequestHead, StatementClass},
};
