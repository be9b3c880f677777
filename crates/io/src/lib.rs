//! Clock and HTTP client that the PostgreSQL proxy and the gateway share.

pub mod clock;
pub mod http;
