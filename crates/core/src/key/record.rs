//! Records of keys in the store.

use std::fmt;

use data_encoding::HEXLOWER;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::Key;
use crate::name::{KeyId, Workspace};

const HASH_BYTES: usize = 32;

/// SHA-256 of a key's full text, written as 64 hexadecimal digits.
#[derive(Clone, Copy)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes the text of `key`.
    pub fn of(key: &Key) -> Self {
        Self(Sha256::digest(key.expose().as_bytes()).into())
    }
}

impl PartialEq for KeyHash {
    /// Compares in a time that does not depend on the position of the first difference.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyHash {}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl Serialize for KeyHash {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&HEXLOWER.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(HashVisitor)
    }
}

struct HashVisitor;

impl de::Visitor<'_> for HashVisitor {
    type Value = KeyHash;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a SHA-256 hash as 64 hexadecimal digits in lower case")
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        let bytes = HEXLOWER.decode(text.as_bytes()).map_err(E::custom)?;
        let hash = bytes.try_into().map_err(|_| E::invalid_length(text.len(), &self))?;
        Ok(KeyHash(hash))
    }
}

/// A key as it is stored, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Public part of the key.
    pub id: KeyId,
    /// Workspace that the key acts for.
    pub workspace: Workspace,
    /// Hash of the key's full text.
    pub hash: KeyHash,
    /// Whether the key was withdrawn and is no longer valid.
    #[serde(default)]
    pub withdrawn: bool,
}

impl KeyRecord {
    /// Creates the record of a valid key.
    pub fn new(key: &Key, workspace: Workspace) -> Self {
        Self { id: key.id().clone(), workspace, hash: KeyHash::of(key), withdrawn: false }
    }

    /// Whether `key` is the recorded key and has not been withdrawn.
    ///
    /// The hashes are compared in constant time.
    pub fn verify(&self, key: &Key) -> bool {
        let matches = self.hash == KeyHash::of(key);
        matches && !self.withdrawn && self.id == *key.id()
    }
}
