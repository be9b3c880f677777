//! Whether a statement that failed may be sent again.

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

/// SQLSTATEs with which an upstream certainly rejects a statement before it changes anything and that another
/// try or member can avoid: fenced primary or replica, too many connections, shutting down, starting up.
const RETRYABLE_STATES: [&str; 5] = ["25006", "53300", "57P01", "57P02", "57P03"];

/// A failure of a statement as the home or the entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure<'a> {
    send_state: SendState,
    class: StatementClass,
    request_id: bool,
    in_transaction: bool,
    sqlstate: Option<&'a str>,
}

impl<'a> Failure<'a> {
    /// Creates the failure of a write without request id, outside a transaction, without an answer.
    pub const fn new(send_state: SendState) -> Self {
        Self {
            send_state,
            class: StatementClass::Write,
            request_id: false,
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
        self.request_id = present;
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
            // The upstream's own answer names a cause that precedes any change, except that a shutdown may come
            // after a commit, which 57P01 and 57P02 do not exclude.
            Some("25006" | "53300" | "57P03") => Resend::Allowed,
            Some("57P01" | "57P02") | None if self.request_id => Resend::AfterLookup,
            _ => Resend::Never,
        }
    }

    /// A statement without effect may be sent again unless the upstream answered an error of its own.
    fn resend_without_effect(&self) -> Resend {
        match self.sqlstate {
            Some(state) if !RETRYABLE_STATES.contains(&state) => Resend::Never,
            _ => Resend::Allowed,
        }
    }
}
