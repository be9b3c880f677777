//! Limit of the connections that an instance opens to a member, lowered while the member accepts fewer.
//!
//! Handles the seconds after the loss of many processes. A member counts the connections of a lost process until it
//! notices the loss, so that it refuses new ones although the instance has not used its part. An instance that kept trying
//! would serve nothing meanwhile. With a lowered limit it reuses or replaces the connections that it has, and opens more
//! step by step.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{clock::Instant, connection_limit::ConnectionLimit};
//!
//! let now = Instant::default();
//! let mut limit = ConnectionLimit::new(30);
//! limit.refused(4, now);
//! assert_eq!(limit.current(now), 4);
//! assert_eq!(limit.current(now.plus(Duration::from_millis(200))), 6);
//! assert_eq!(limit.current(now.plus(Duration::from_secs(10))), 30);
//! ```

use std::time::Duration;

use crate::clock::Instant;

/// Time after which the limit rises by one connection; each attempt that the member refuses costs it a handshake.
const RAISE_INTERVAL: Duration = Duration::from_millis(100);
/// Connections for each slot of a member that its holders leave unused together. The connections of lost processes then
/// leave enough for every slot to open one while another runs a statement.
const RESERVE_PER_SLOT: usize = 2;
/// Divisor of a holder's part that gives the largest reserve, so that a member that accepts few connections keeps its use.
const MAX_RESERVE_DIVISOR: usize = 4;

/// Connections of a holder's part of `part` that it does not open for statements, at a member with `slots` and `holders`
/// holders. At least one is left, for control commands.
pub fn reserve(part: usize, slots: usize, holders: usize) -> usize {
    let wanted = (slots * RESERVE_PER_SLOT).div_ceil(holders.max(1));
    wanted.min(part / MAX_RESERVE_DIVISOR).max(1)
}

/// Connections that each of `standbys` instances may open to a member while its `holders` holders, which leave `reserve` of
/// their parts unused, cannot reach it. One of each holder's reserve stays for control commands.
pub fn standby_part(reserve: usize, holders: usize, standbys: usize) -> usize {
    (reserve.saturating_sub(1) * holders).checked_div(standbys).unwrap_or(0)
}

/// Limit of the connections to one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    configured: usize,
    /// Connections that were open when the member last refused one, and when that was; `None` while it accepts all.
    refused: Option<(usize, Instant)>,
}

impl ConnectionLimit {
    /// Creates a limit of `configured` connections.
    pub const fn new(configured: usize) -> Self {
        Self { configured, refused: None }
    }

    /// Changes the configured limit.
    pub const fn configure(&mut self, configured: usize) {
        self.configured = configured;
    }

    /// Records that the member refused a connection while this instance had `open` others.
    pub fn refused(&mut self, open: usize, now: Instant) {
        self.refused = Some((open.max(1), now));
    }

    /// Connections that may be open now.
    pub fn current(&self, now: Instant) -> usize {
        let Some((open, at)) = self.refused else { return self.configured };
        let raised = now.since(at).as_millis() / RAISE_INTERVAL.as_millis();
        open.saturating_add(usize::try_from(raised).unwrap_or(usize::MAX)).min(self.configured)
    }
}
