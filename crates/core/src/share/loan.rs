//! Messages with which homes lend parts of a workspace's rate or hand them over.

use std::time::Duration;

use crate::{
    name::{Database, MemberId, Workspace},
    position::Term,
};

/// Longest duration of a loan.
pub const MAX_LOAN_DURATION: Duration = Duration::from_secs(2);

/// Shortest time between two requests for loans by one share.
pub const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A home's request for a loan, to be sent to other homes of the workspace's databases.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// Workspace whose rate is requested.
    pub workspace: Workspace,
    /// Database of the borrower.
    pub database: Database,
    /// Member whose home requests the loan.
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
/// Rate and tokens are whole thousandths, so that a message in that unit keeps them exactly. The capacity that is lent
/// is as large as the tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Loan {
    /// Workspace whose rate is lent.
    pub workspace: Workspace,
    /// Requests per second.
    pub rate: f64,
    /// Tokens, and the capacity to hold them.
    pub tokens: f64,
    /// Time for which the borrower may use the loan, counted from when it sent the request; whole milliseconds.
    pub duration: Duration,
}

/// Share of a leaving home, as handed over to the next home of the member.
#[derive(Debug, Clone, PartialEq)]
pub struct HandedOverShare {
    /// Workspace whose share it is.
    pub workspace: Workspace,
    /// Member of the share.
    pub member: MemberId,
    /// Unused tokens of the share.
    pub tokens: f64,
    /// Time after which no loan by the leaving home is in use any more; [`MAX_LOAN_DURATION`] when it is not known.
    pub lent_for: Duration,
}

/// Rounds down to whole thousandths.
pub(super) fn floor_to_thousandths(amount: f64) -> f64 {
    (amount.max(0.0) * 1000.0).floor() / 1000.0
}

/// Rounds down to whole milliseconds.
pub(super) fn floor_to_milliseconds(time: Duration) -> Duration {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis)
}
