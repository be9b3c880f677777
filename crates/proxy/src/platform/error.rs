//! Errors of calls to the platform.

use thiserror::Error;

use super::StoredObject;

/// A call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform could not be reached; a change had no effect.
    #[error(
        "the platform at {address} cannot be reached ({reason}); check [platform] url and whether the service runs"
    )]
    Unreachable {
        /// Address of the platform.
        address: String,
        /// What the operating system reported.
        reason: String,
    },
    /// The platform gave no usable answer; a change may have had an effect.
    #[error(
        "the platform at {address} gave no answer ({reason}); read the object before you try again"
    )]
    NoAnswer {
        /// Address of the platform.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// The object changed since it was read.
    #[error("{kind}/{name} was changed by someone else; read it and try again")]
    Conflict {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// The present object; absent when it does not exist.
        current: Option<Box<StoredObject>>,
    },
    /// The revision to resume from is no longer kept.
    #[error("the platform no longer keeps the revision; list all objects and resume")]
    Compacted,
    /// The platform rejected the call.
    #[error("the platform rejected the call with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        message: String,
    },
}

impl PlatformError {
    /// Whether another attempt may succeed without a change of the call.
    pub const fn is_temporary(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::NoAnswer { .. })
    }
}
