//! Keys of workspaces: their text, the record that is kept of them, and their redaction.
//!
//! A key is `hlk_<id>_<secret>`. The id is public; the secret is known to the client only, the store keeps a
//! hash.
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

/// A key as its client holds it.
///
/// `Debug` and `Display` show the id only; [`Key::expose`] is the one way to the secret's text.
#[derive(Clone)]
pub struct Key {
    id: KeyId,
    secret: [u8; SECRET_BYTES],
}

impl Key {
    /// Random bytes that a new key is made of.
    pub const RANDOM_BYTES: usize = ID_BYTES + SECRET_BYTES;

    /// Creates a key from bytes of a cryptographically secure random source.
    pub fn from_random(random: &[u8; Self::RANDOM_BYTES]) -> Self {
        let (id, rest) = random.split_at(ID_BYTES);
        let mut secret = [0; SECRET_BYTES];
        secret.copy_from_slice(rest);
        Self { id: KeyId::from(HEXLOWER.encode(id)), secret }
    }

    /// The public part.
    pub const fn id(&self) -> &KeyId {
        &self.id
    }

    /// The whole text with the secret, for the client that receives a new key.
    pub fn expose(&self) -> String {
        format!("{PREFIX}{}_{}", self.id, self.secret_text())
    }

    /// A detector of this key's secret.
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
/// It does not hold the text, which may be a mistyped secret.
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
