//! What both the PostgreSQL proxy and the gateway need of the operating system: the clock and an HTTP client.

pub mod clock;
pub mod http;
