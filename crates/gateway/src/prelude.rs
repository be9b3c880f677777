//! The types that most modules of this crate need.

pub use hibiscusladder_core::{
    clock::{Clock, Instant},
    name::{DataCentre, Database, Group, InstanceId, MemberId, Workspace},
    position::{Lsn, Position, Term},
};

pub use crate::{
    adapter::{CallerPort, Order, Platform, Promoter, Store, UpstreamPort},
    directory::{Consistency, Directory, Route},
    events::Event,
    model::{Answer, Code, Failure, Query, Statement, TransactionState},
    node::Node,
};
