//! Decides whether a failed statement may be sent again.

use super::SendState;
use crate::request::StatementClass;

/// Whether a statement may be sent again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resend {
    /// It may be sent again within the retry budget.
    Allowed,
    /// It may be sent again within the retry budget, after the record of its request id was looked up.
    AfterLookup,
    /// It may have taken effect and must not be sent again.
    Never,
}

/// SQLSTATEs with which an upstream rejects a statement for a cause that a retry or another member can avoid: fenced
/// primary or replica, too many connections, shutting down, starting up.
const RETRYABLE_STATES: [&str; 5] = ["25006", "53300", "57P01", "57P02", "57P03"];

/// Failure of a statement, as observed by the home or by the instance that the client is connected to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure<'a> {
    send_state: SendState,
    class: StatementClass,
    has_request_id: bool,
    in_transaction: bool,
    sqlstate: Option<&'a str>,
}

impl<'a> Failure<'a> {
    /// Creates the failure of a write without request id, outside a transaction, to which the upstream did not answer.
    pub const fn new(send_state: SendState) -> Self {
        Self {
            send_state,
            class: StatementClass::Write,
            has_request_id: false,
            in_transaction: false,
            sqlstate: None,
        }
    }

    /// Sets the class of the statement.
    #[must_use]
    pub const fn class(mut self, class: StatementClass) -> Self {
        self.class = class;
        self
    }

    /// Sets whether the request carries an id that its transaction records.
    #[must_use]
    pub const fn request_id(mut self, present: bool) -> Self {
        self.has_request_id = present;
        self
    }

    /// Sets whether the statement belongs to a transaction that the client began earlier, or to a batch that contains
    /// transaction control, whose first part may have been committed.
    #[must_use]
    pub const fn in_transaction(mut self, inside: bool) -> Self {
        self.in_transaction = inside;
        self
    }

    /// Sets the SQLSTATE that the upstream answered.
    #[must_use]
    pub const fn sqlstate(mut self, sqlstate: &'a str) -> Self {
        self.sqlstate = Some(sqlstate);
        self
    }

    /// Whether the statement may be sent again.
    pub fn resend(&self) -> Resend {
        if self.in_transaction {
            return Resend::Never;
        }
        if self.send_state == SendState::NotSent || !self.class.needs_primary() {
            return self.resend_without_effect();
        }
        match self.sqlstate {
            // These three are reported before the upstream changes anything. A shutdown (57P01, 57P02) may also be
            // reported after a commit.
            Some("25006" | "53300" | "57P03") => Resend::Allowed,
            Some("57P01" | "57P02") | None if self.has_request_id => Resend::AfterLookup,
            _ => Resend::Never,
        }
    }

    /// Decides for a statement that was not sent or does not write: it may be sent again unless the upstream answered
    /// with an error that a retry cannot avoid.
    fn resend_without_effect(&self) -> Resend {
        match self.sqlstate {
            Some(state) if !RETRYABLE_STATES.contains(&state) => Resend::Never,
            _ => Resend::Allowed,
        }
    }
}
