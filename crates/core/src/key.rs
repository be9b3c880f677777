//! Keys of workspaces: parsing and formatting, their records in the store, and their redaction.
//!
//! A key is `hlk_<id>_<secret>`. The id is public; only the client holds the secret, and the store keeps a hash of the
//! key.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     key::{Key, KeyRecord, redact},
//!     name::Workspace,
//! };
//!
//! let key = Key::from_random(&[7; Key::RANDOM_BYTES]);
//! let record = KeyRecord::new(&key, Workspace::new("club-andino"));
//! assert!(record.verify(&key));
//!
//! let text = key.expose();
//! assert_eq!(redact(&format!("password is {text}")), format!("password is {key}"));
//! assert!(key.detector().found_in(text.as_bytes()));
//! ```

mod detector;
mod record;
mod redact;

pub use self::{
    detector::SecretDetector,
    record::{KeyHash, KeyRecord},
    redact::{contains_key, redact},
};

use std::{fmt, str::FromStr};

use data_encoding::HEXLOWER;
use thiserror::Error;

use crate::name::KeyId;

/// Text that every key begins with.
const PREFIX: &str = "hlk_";
/// Shown in place of a secret.
const REDACTED: &str = "***";
/// Random bytes of the id.
const ID_BYTES: usize = 8;
/// Random bytes of the secret; 256 bits cannot be guessed, so a plain hash of them may be stored.
const SECRET_BYTES: usize = 32;
/// Characters of the secret's text.
const SECRET_CHARS: usize = 2 * SECRET_BYTES;
/// Longest id in characters.
const MAX_ID_CHARS: usize = 64;

/// A key with its secret.
///
/// `Debug` and `Display` show the id only; [`Key::expose`] is the only access to the secret's text.
#[derive(Clone)]
pub struct Key {
    id: KeyId,
    secret: [u8; SECRET_BYTES],
}

impl Key {
    /// Number of random bytes from which a new key is made.
    pub const RANDOM_BYTES: usize = ID_BYTES + SECRET_BYTES;

    /// Creates a key from bytes of a cryptographically secure random source.
    pub fn from_random(random: &[u8; Self::RANDOM_BYTES]) -> Self {
        let (id, rest) = random.split_at(ID_BYTES);
        let mut secret = [0; SECRET_BYTES];
        secret.copy_from_slice(rest);
        Self { id: KeyId::from(HEXLOWER.encode(id)), secret }
    }

    /// The public part, which may be logged.
    pub const fn id(&self) -> &KeyId {
        &self.id
    }

    /// The full text with the secret, for the client that receives a new key.
    pub fn expose(&self) -> String {
        format!("{PREFIX}{}_{}", self.id, self.secret_text())
    }

    /// Creates a detector that finds this key's secret in statements and parameters.
    pub fn detector(&self) -> SecretDetector {
        SecretDetector::new(self)
    }

    fn secret_text(&self) -> String {
        HEXLOWER.encode(&self.secret)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}_{REDACTED}", self.id)
    }
}

/// The text is not a key.
///
/// The error does not contain the text, which may be a mistyped secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "the text is not a key; a key is `hlk_<id>_<secret>` with a secret of {SECRET_CHARS} hexadecimal digits in lower case"
)]
pub struct ParseKeyError;

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix(PREFIX).ok_or(ParseKeyError)?;
        let (id, secret_text) = rest.split_once('_').ok_or(ParseKeyError)?;
        if id.is_empty() || id.len() > MAX_ID_CHARS || !id.bytes().all(is_id_byte) {
            return Err(ParseKeyError);
        }
        let decoded = HEXLOWER.decode(secret_text.as_bytes()).map_err(|_| ParseKeyError)?;
        let secret = decoded.try_into().map_err(|_| ParseKeyError)?;
        Ok(Self { id: KeyId::new(id), secret })
    }
}

const fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
}
