//! Errors with an SQLSTATE that are sent to clients.

use pgwire::{error::ErrorInfo, messages::response::ErrorResponse};
use rusqlite::ErrorCode;
use thiserror::Error;

/// An error with an SQLSTATE that is sent to a client.
#[derive(Debug, Clone, Error)]
#[error("{code}: {message}")]
pub(crate) struct SqlError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) fatal: bool,
}

impl SqlError {
    /// Creates an error after which the connection stays open.
    pub(crate) fn new<S>(code: &'static str, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), fatal: false }
    }

    /// Creates an error that ends the connection.
    pub(crate) fn fatal<S>(code: &'static str, message: S) -> Self
    where
        S: Into<String>,
    {
        Self { code, message: message.into(), fatal: true }
    }

    /// Error for a statement that was cancelled.
    pub(crate) fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }

    /// Error for a backend that was terminated.
    pub(crate) fn terminated() -> Self {
        Self::fatal("57P01", "terminating connection due to administrator command")
    }

    /// Error for a write on a member that is not the primary of its term.
    pub(crate) fn read_only() -> Self {
        Self::new("25006", "cannot execute a write: the member is not the primary of its term")
    }

    /// Error for a statement in a transaction of which an earlier statement has failed.
    pub(crate) fn transaction_failed() -> Self {
        Self::new(
            "25P02",
            "current transaction is aborted, commands ignored until end of transaction block",
        )
    }

    /// The `ErrorResponse` message of the wire protocol.
    pub(crate) fn response(&self) -> ErrorResponse {
        let severity = if self.fatal { "FATAL" } else { "ERROR" };
        let mut info =
            ErrorInfo::new(severity.to_owned(), self.code.to_owned(), self.message.clone());
        info.severity_nonlocalized = Some(severity.to_owned());
        info.into()
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        if error.sqlite_error_code() == Some(ErrorCode::OperationInterrupted) {
            return Self::cancelled();
        }
        let message = match &error {
            rusqlite::Error::SqlInputError { msg, .. } => msg.clone(),
            other => other.to_string(),
        };
        let extended_code = error.sqlite_error().map_or(0, |error| error.extended_code);
        Self::new(sqlstate(extended_code, &message), message)
    }
}

/// SQLSTATE for an extended result code of SQLite and its message.
fn sqlstate(extended_code: i32, message: &str) -> &'static str {
    use rusqlite::ffi;

    match extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        ffi::SQLITE_CONSTRAINT_DATATYPE => "22P02",
        _ => sqlstate_by_message(message),
    }
}

/// SQLSTATE by the message: SQLite reports all errors in the text of a statement with one result code, so only the
/// message distinguishes them.
fn sqlstate_by_message(message: &str) -> &'static str {
    const BY_MESSAGE: [(&str, &str); 9] = [
        ("no such table", "42P01"),
        ("no such index", "42704"),
        ("no such column", "42703"),
        ("has no column named", "42703"),
        ("no such function", "42883"),
        ("wrong number of arguments", "42883"),
        ("already exists", "42P07"),
        ("no such savepoint", "3B001"),
        ("ambiguous column", "42702"),
    ];
    const SYNTAX_ERRORS: [&str; 4] =
        ["syntax error", "incomplete input", "unrecognized token", "values for"];
    if SYNTAX_ERRORS.iter().any(|part| message.contains(part)) {
        return "42601";
    }
    BY_MESSAGE.iter().find(|(part, _)| message.contains(part)).map_or("XX000", |(_, code)| code)
}
