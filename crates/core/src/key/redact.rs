//! Removal of secrets from text that is logged, traced or shown.

use std::borrow::Cow;

use super::{PREFIX, REDACTED};

/// Replaces the secret of every key in `text` by `***`; the ids stay.
///
/// Every letter and digit that follows `hlk_<id>_` counts as part of a secret, so a cut or mistyped secret is
/// removed as well.
pub fn redact(text: &str) -> Cow<'_, str> {
    let mut redacted = String::new();
    let mut rest = text;
    while let Some((before, after)) = split_secret(rest) {
        redacted.push_str(before);
        redacted.push_str(REDACTED);
        rest = after;
    }
    if redacted.is_empty() {
        return Cow::Borrowed(text);
    }
    redacted.push_str(rest);
    Cow::Owned(redacted)
}

/// Whether `bytes` contain the text of any key.
pub fn contains_key(bytes: &[u8]) -> bool {
    find_secret(bytes).is_some()
}

/// Text before and after the first secret.
fn split_secret(text: &str) -> Option<(&str, &str)> {
    let (start, end) = find_secret(text.as_bytes())?;
    Some((&text[..start], &text[end..]))
}

/// Start and end of the first secret; both are next to ASCII characters, so they are character boundaries.
fn find_secret(bytes: &[u8]) -> Option<(usize, usize)> {
    let prefix = PREFIX.as_bytes();
    let mut from = 0;
    while let Some(found) = find_prefix(bytes, from) {
        let id = found + prefix.len();
        from = id;
        let id_end = end_of_run(bytes, id, |byte| byte.is_ascii_alphanumeric() || byte == b'-');
        if id_end == id || bytes.get(id_end) != Some(&b'_') {
            continue;
        }
        let secret = id_end + 1;
        let end = end_of_run(bytes, secret, |byte| byte.is_ascii_alphanumeric());
        if end > secret {
            return Some((secret, end));
        }
    }
    None
}

fn find_prefix(bytes: &[u8], from: usize) -> Option<usize> {
    let prefix = PREFIX.as_bytes();
    let found =
        bytes[from..].windows(prefix.len()).position(|part| part.eq_ignore_ascii_case(prefix))?;
    Some(from + found)
}

fn end_of_run<F>(bytes: &[u8], from: usize, belongs: F) -> usize
where
    F: Fn(u8) -> bool,
{
    let length = bytes[from..].iter().take_while(|byte| belongs(**byte)).count();
    from + length
}
