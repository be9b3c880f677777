//! Messages between homes about parts of a workspace's rate.

use std::time::Duration;

use crate::{
    name::{Database, MemberId, Workspace},
    position::Term,
};

/// Longest time of a loan.
pub const MAX_LOAN_DURATION: Duration = Duration::from_secs(2);

/// Shortest time between two requests for loans by one share.
pub const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A home's request for a loan, to be sent to other homes of the workspace's databases.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// Workspace whose rate is asked for.
    pub workspace: Workspace,
    /// Database of the borrower.
    pub database: Database,
    /// Member whose home asks.
    pub borrower: MemberId,
    /// Requests per second that are missing.
    pub rate: f64,
    /// Tokens that are missing.
    pub tokens: f64,
    /// Term of the borrower's database.
    pub term: Term,
    /// [`Division::fingerprint`](super::Division::fingerprint) of the borrower's division.
    pub division: u64,
}

/// A part of a lender's rate, capacity and tokens that the borrower may use for a time.
///
/// Rate and tokens are whole thousandths, so that they survive a message in that unit unchanged. The capacity that
/// moves is as large as the tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Loan {
    /// Workspace whose rate is lent.
    pub workspace: Workspace,
    /// Requests per second.
    pub rate: f64,
    /// Tokens, and the capacity to hold them.
    pub tokens: f64,
    /// Time that the borrower may use it, counted from when it asked; whole milliseconds.
    pub duration: Duration,
}

/// What a home that leaves gives to the next home of the member.
#[derive(Debug, Clone, PartialEq)]
pub struct HandOver {
    /// Workspace whose share it is.
    pub workspace: Workspace,
    /// Member of the share.
    pub member: MemberId,
    /// Tokens that were not used.
    pub tokens: f64,
    /// Time after which no loan of the leaving home is in use; [`MAX_LOAN_DURATION`] when it is not known.
    pub lent_for: Duration,
}

/// Rounds down to whole thousandths.
pub(super) fn thousandths(amount: f64) -> f64 {
    (amount.max(0.0) * 1000.0).floor() / 1000.0
}

/// Rounds down to whole milliseconds.
pub(super) fn milliseconds(time: Duration) -> Duration {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis)
}
