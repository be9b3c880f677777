//! Errors of calls to the platform.

use thiserror::Error;

use super::StoredObject;

/// A call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform could not be reached; a change had no effect, as the request was not sent.
    #[error(
        "the platform at {address} cannot be reached ({reason}); check [platform] url and whether the service runs"
    )]
    Unreachable {
        /// Address of the platform.
        address: String,
        /// Error because of which the request was not sent.
        reason: String,
    },
    /// The platform gave no valid answer after the request was sent; a change may have taken effect.
    #[error(
        "the platform at {address} gave no answer ({reason}); read the object before you try again"
    )]
    NoAnswer {
        /// Address of the platform.
        address: String,
        /// Error of the call, status of a server error, or error of decoding the answer.
        reason: String,
    },
    /// The object does not have the version that the change expected.
    #[error("{kind}/{name} was changed by another writer; read it and try again")]
    Conflict {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// The stored object; `None` when it does not exist.
        current: Option<Box<StoredObject>>,
    },
    /// The store no longer keeps the changes after the revision from which the watch was to resume.
    #[error(
        "the platform has compacted the changes after the revision; list all objects, then resume the watch"
    )]
    Compacted,
    /// The platform rejected the call, with neither success nor a server error.
    #[error("the platform rejected the call with status {status}: {message}")]
    Rejected {
        /// HTTP status of the answer; 400 when the name of the object cannot be part of a URL.
        status: u16,
        /// Start of the body of the answer, or the error for the URL.
        message: String,
    },
}

impl PlatformError {
    /// Whether the same call may succeed later.
    pub const fn is_temporary(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::NoAnswer { .. })
    }
}
