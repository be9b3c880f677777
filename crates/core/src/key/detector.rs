//! Detection of a key's secret in statements and parameters.

use std::fmt;

use aho_corasick::AhoCorasick;
use data_encoding::HEXLOWER;

use super::{Key, SECRET_BYTES};

/// Bytes of the secret in one pattern; 64 bits do not occur by chance.
const PIECE_BYTES: usize = 8;

/// Finds the secret of one key, or a quarter of it, in bytes.
///
/// It matches three forms: the text in any case, the text written in hexadecimal as in a `bytea` literal, and the
/// raw bytes.
#[derive(Clone)]
pub struct SecretDetector {
    /// `None` when the patterns could not be compiled; then every text counts as containing the secret.
    patterns: Option<AhoCorasick>,
}

impl SecretDetector {
    /// Creates the detector of the secret of `key`.
    pub fn new(key: &Key) -> Self {
        let mut patterns = Vec::with_capacity(3 * SECRET_BYTES / PIECE_BYTES);
        for piece in key.secret.chunks(PIECE_BYTES) {
            let text = HEXLOWER.encode(piece);
            patterns.push(HEXLOWER.encode(text.as_bytes()).into_bytes());
            patterns.push(text.into_bytes());
            patterns.push(piece.to_vec());
        }
        let patterns = AhoCorasick::builder().ascii_case_insensitive(true).build(patterns).ok();
        Self { patterns }
    }

    /// Whether `bytes` contain the secret or one of its four aligned quarters.
    pub fn found_in(&self, bytes: &[u8]) -> bool {
        self.patterns.as_ref().is_none_or(|patterns| patterns.is_match(bytes))
    }
}

impl fmt::Debug for SecretDetector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretDetector(..)")
    }
}
