//! Connections to upstream members.
//!
//! A [`Connection`] speaks the PostgreSQL wire protocol with one member; a [`Pool`] holds a bounded number of
//! connections to one member. One transaction at a time uses a connection. The connection returns to the pool only
//! after the member has confirmed the reset of its session; in every other case it is closed.

pub(crate) mod connection;
mod pool;
mod probe;

pub use self::{
    connection::{CancelKey, Connection, QueryResult, UpstreamError},
    pool::{Pool, PoolError, PooledConnection},
    probe::{BackendState, Probe},
};
