//! Connections to upstream members.
//!
//! A [`Connection`] speaks the PostgreSQL wire protocol with one member; a [`Pool`] keeps a bounded number of them
//! ready. A connection is bound to one transaction. It returns to the pool only after the upstream confirmed the
//! reset of its session; in every other case it is closed.

pub(crate) mod connection;
mod pool;
mod probe;

pub use self::{
    connection::{CancelKey, Connection, QueryResult, UpstreamError},
    pool::{Pool, PoolError, PooledConnection},
    probe::{BackendState, Probe},
};
