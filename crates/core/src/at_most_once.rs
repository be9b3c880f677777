//! At-most-once execution of writes: request ids, digests of statements, and the rule for sending a statement again.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::at_most_once::{
//!     Failure, RequestDecision, RequestRecord, Resend, SendState, StatementDigest, decide,
//! };
//!
//! let digest = StatementDigest::of(["INSERT INTO clubs VALUES (1)"]);
//! assert_eq!(decide(None, digest), RequestDecision::Run);
//!
//! let record = RequestRecord { digest, outcome: "INSERT 0 1".into() };
//! assert_eq!(decide(Some(&record), digest), RequestDecision::Return("INSERT 0 1".into()));
//!
//! let other = StatementDigest::of(["DELETE FROM clubs"]);
//! assert_eq!(decide(Some(&record), other), RequestDecision::Reject);
//!
//! let sent = SendState::NotSent.sending();
//! assert_eq!(Failure::new(sent).resend(), Resend::Never);
//! ```

mod failure;
mod send_state;

use std::{fmt, str::FromStr, sync::Arc};

use sha2::{Digest, Sha256};
use thiserror::Error;

pub use failure::{Failure, Resend};
pub use send_state::SendState;

use crate::outcome::{Refusal, RefusalKind};

const DIGEST_BYTES: usize = 32;

/// SHA-256 over the statements and parameters of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementDigest([u8; DIGEST_BYTES]);

impl StatementDigest {
    /// Computes the digest of statements and parameters, in order.
    ///
    /// The length of every part is included, so moving text from one part to the next changes the digest.
    pub fn of<I, P>(parts: I) -> Self
    where
        I: IntoIterator<Item = P>,
        P: AsRef<[u8]>,
    {
        let mut hasher = Sha256::new();
        for part in parts {
            let part = part.as_ref();
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// The 32 bytes of the SHA-256 digest.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for StatementDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error of parsing a text that is not 64 hexadecimal digits; it holds the first 80 characters of the text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a digest; it has to be 64 hexadecimal digits")]
pub struct ParseDigestError {
    text: String,
}

impl FromStr for StatementDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseDigestError { text: text.chars().take(80).collect() };
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

/// Row of the table `hl_requests`: the outcome that the transaction of a request id recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Digest of the statements that ran under the id.
    pub digest: StatementDigest,
    /// Command tag of the first execution, whether or not the client received it.
    pub outcome: Arc<str>,
}

/// How to handle a request that carries an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestDecision {
    /// The id is new: run the statements and record the outcome in the same transaction.
    Run,
    /// The statements were run before: answer with the recorded command tag.
    Return(Arc<str>),
    /// The id was used with other statements: refuse the request.
    Reject,
}

impl RequestDecision {
    /// Refusal to send to the client; `None` unless the decision is [`Reject`](Self::Reject).
    pub fn refusal(&self) -> Option<Refusal> {
        match self {
            Self::Run | Self::Return(_) => None,
            Self::Reject => Some(Refusal::not_run(RefusalKind::RequestIdReused)),
        }
    }
}

/// Decides how to handle a request with an id; `recorded` is the row of `hl_requests` for the id, if there is one.
pub fn decide(recorded: Option<&RequestRecord>, digest: StatementDigest) -> RequestDecision {
    match recorded {
        None => RequestDecision::Run,
        Some(record) if record.digest == digest => RequestDecision::Return(record.outcome.clone()),
        Some(_) => RequestDecision::Reject,
    }
}
