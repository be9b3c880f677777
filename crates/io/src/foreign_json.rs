//! JSON answers with entries of several writers, of which one may be unreadable.
//!
//! An entry is read only when it is needed, so that one that cannot be read does not hide the others. Such an entry may
//! have bytes that are no UTF-8 text, escapes that are no character, numbers out of range, or any depth.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_io::foreign_json::ForeignJson;
//! use serde::Deserialize;
//! use serde_json::value::RawValue;
//!
//! #[derive(Deserialize)]
//! struct List<'a> {
//!     #[serde(borrow)]
//!     items: Vec<&'a RawValue>,
//! }
//!
//! let json = ForeignJson::new(b"{\"items\":[\"\xff\",1e999,\"\\ud800\",7]}");
//! let list: List<'_> = json.parse()?;
//! let read: Vec<Option<u8>> = list.items.iter().map(|item| json.entry(item).ok()).collect();
//! assert_eq!(read, [None, None, None, Some(7)]);
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::borrow::Cow;

use serde::{Deserialize, de};
use serde_json::value::RawValue;

/// Characters that may stand for bytes that cannot be read; one that the text does not have is used.
const MARKS: [char; 4] = ['\u{fffd}', '\u{fdd0}', '\u{fdd1}', '\u{fdd2}'];

/// Text of a JSON answer.
#[derive(Debug, Clone)]
pub struct ForeignJson<'a> {
    text: Cow<'a, str>,
    /// Character in place of bytes that cannot be read; `None` when there are none.
    mark: Option<char>,
}

impl<'a> ForeignJson<'a> {
    /// Takes over the bytes of an answer.
    pub fn new(bytes: &'a [u8]) -> Self {
        match str::from_utf8(bytes) {
            Ok(text) if !bytes.iter().any(u8::is_ascii_control) => {
                Self { text: Cow::Borrowed(text), mark: None }
            }
            _ => Self::with_mark(bytes),
        }
    }

    fn with_mark(bytes: &[u8]) -> Self {
        let valid = || bytes.utf8_chunks().map(|chunk| chunk.valid());
        let is_free = |mark: &char| !valid().any(|text| text.contains(*mark));
        let mark = MARKS.into_iter().find(is_free).unwrap_or(MARKS[0]);
        let mut text = String::with_capacity(bytes.len());
        let mut strings = Strings::default();
        for chunk in bytes.utf8_chunks() {
            for char in chunk.valid().chars() {
                text.push(if strings.is_control(char) { mark } else { char });
            }
            if !chunk.invalid().is_empty() {
                text.push(mark);
            }
        }
        Self { text: Cow::Owned(text), mark: Some(mark) }
    }

    /// Parses the answer. Entries have to be of the type [`RawValue`], and are read with [`entry`](Self::entry).
    ///
    /// # Errors
    ///
    /// The answer is no JSON, or has not the form of `T`.
    pub fn parse<'b, T>(&'b self) -> serde_json::Result<T>
    where
        T: Deserialize<'b>,
    {
        serde_json::from_str(&self.text)
    }

    /// Splits an entry into parts of the type [`RawValue`], which are read with [`entry`](Self::entry). A part that cannot be
    /// read does not hide the others.
    ///
    /// # Errors
    ///
    /// The entry has not the form of `T`.
    pub fn parts<'b, T>(&self, entry: &'b RawValue) -> serde_json::Result<T>
    where
        T: Deserialize<'b>,
    {
        serde_json::from_str(entry.get())
    }

    /// Reads an entry, or a part of one.
    ///
    /// # Errors
    ///
    /// The entry has bytes that cannot be read, or is no `T`.
    pub fn entry<'b, T>(&self, entry: &'b RawValue) -> serde_json::Result<T>
    where
        T: Deserialize<'b>,
    {
        if self.mark.is_some_and(|mark| entry.get().contains(mark)) {
            return Err(de::Error::custom("the entry has bytes that are no text"));
        }
        serde_json::from_str(entry.get())
    }
}

/// Follows a JSON text to tell whether a character is part of a string.
#[derive(Debug, Default)]
struct Strings {
    is_inside: bool,
    is_escaped: bool,
}

impl Strings {
    /// Whether the next character is a control character inside a string, which makes the whole text invalid.
    fn is_control(&mut self, char: char) -> bool {
        let was_escaped = std::mem::take(&mut self.is_escaped);
        match char {
            '"' if !was_escaped => self.is_inside = !self.is_inside,
            '\\' if self.is_inside && !was_escaped => self.is_escaped = true,
            _ => return self.is_inside && char.is_ascii_control() && char != '\u{7f}',
        }
        false
    }
}
