//! The types that most users of this crate need.

pub use crate::{
    at_most_once::{SendState, StatementDigest},
    clock::{Clock, Instant, ManualClock},
    contract::{Contract, Route, RouteRule},
    database::{DatabaseRecord, MemberRecord, UpstreamRecord, UpstreamState},
    home_lease::{HomeLease, LeaseAction, LeaseEvent},
    name::{DataCentre, Database, InstanceId, KeyId, MemberId, Workspace},
    outcome::{Execution, Refusal, RefusalKind},
    position::{Lsn, Position, Term},
    promotion::{Promotion, PromotionAction, PromotionEvent, PromotionSettings},
    read_index::{ReadIndex, ReadIndexAnswer},
    read_route::{ReadDecision, ReadNeed, ReadRouter, Replica},
    request::{RequestHead, StatementClass},
    session::Session,
    term_history::{Fate, TermHistory},
    witness::{Gate, MemberReport, MemberRole, Witness},
};
