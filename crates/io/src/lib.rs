//! Clock, sockets and HTTP client that the PostgreSQL proxy and the gateway share.

pub mod clock;
mod deadline_stream;
pub mod foreign_json;
pub mod http;
pub mod socket;
