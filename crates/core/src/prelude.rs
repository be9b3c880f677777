//! The types that most users of this crate need.

pub use crate::{
    bucket::TokenBucket,
    clock::{Clock, Instant, ManualClock},
    config::{Change, Changes, ConfigView, DoubtPolicy, Freshness, Kind, Standing},
    contract::{Contract, Route, RouteRule},
    database::{DatabaseRecord, MemberRecord, UpstreamRecord, UpstreamState},
    key::{Key, KeyRecord},
    membership::{Heartbeat, InstanceInfo, InstanceState, Membership},
    name::{DataCentre, Database, InstanceId, KeyId, MemberId, Workspace},
    outcome::{Execution, Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    queue::FairQueue,
    request::{RequestHead, StatementClass},
    retry::{Backoff, RetryBudget, SlowStart},
    share::{Division, Divisions, Loan, LoanRequest, Share},
};
