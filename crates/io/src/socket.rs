//! Options of TCP connections.

use std::{io, os::fd::AsFd, time::Duration};

use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};

/// Has the connection reset when it is closed, also by the end of the process: bytes that have not been delivered are
/// discarded. Without this, the operating system goes on sending them, for as long as a partition lasts.
///
/// # Errors
///
/// The option cannot be set.
pub fn reset_on_close<S>(stream: &S) -> io::Result<()>
where
    S: AsFd,
{
    Ok(set_socket_linger(stream, Some(Duration::ZERO))?)
}

/// Lets the connection be closed without a reset, after [`reset_on_close`].
///
/// # Errors
///
/// The option cannot be set.
pub fn deliver_on_close<S>(stream: &S) -> io::Result<()>
where
    S: AsFd,
{
    Ok(set_socket_linger(stream, None)?)
}

/// Has the connection fail when bytes are not acknowledged for `limit`, also while the process is paused.
///
/// # Errors
///
/// The option cannot be set.
pub fn limit_unacknowledged<S>(stream: &S, limit: Duration) -> io::Result<()>
where
    S: AsFd,
{
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, millis.max(1))?)
}
