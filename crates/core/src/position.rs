//! Positions in the log of a database group.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::position::{Lsn, Position, Term};
//!
//! let position: Position = "3:4711".parse()?;
//! assert_eq!(position, Position::new(Term(3), Lsn(4711)));
//! # Ok::<(), hibiscusladder_core::position::ParsePositionError>(())
//! ```

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

/// Number of the time for which one member is primary of a database group; each promotion starts a higher term.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The next higher term; the highest one is followed by itself.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Log sequence number: offset in the log of a database group, in the group's own unit.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Lsn(pub u64);

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position in the log of a database group: an offset and the term in which its entry was written, ordered by term
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Position {
    /// Term of the primary that wrote the entry.
    pub term: Term,
    /// Offset in the log.
    pub lsn: Lsn,
}

impl Position {
    /// Creates the position of the entry that was written in `term` at `lsn`.
    pub const fn new(term: Term, lsn: Lsn) -> Self {
        Self { term, lsn }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.lsn)
    }
}

/// Error of parsing a text that is not a position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "`{text}` is not a position; write it as `term:lsn` with two decimal numbers, such as `3:4711`"
)]
pub struct ParsePositionError {
    text: String,
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParsePositionError { text: text.chars().take(64).collect() };
        let (term, lsn) = text.split_once(':').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        let lsn = lsn.parse().map_err(|_| error())?;
        Ok(Self::new(Term(term), Lsn(lsn)))
    }
}

impl Serialize for Position {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_str(PositionVisitor)
    }
}

struct PositionVisitor;

impl de::Visitor<'_> for PositionVisitor {
    type Value = Position;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a position written as `term:lsn`")
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        text.parse().map_err(E::custom)
    }
}
