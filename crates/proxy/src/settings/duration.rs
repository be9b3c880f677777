//! Parses and formats durations such as `250ms`.

use std::time::Duration;

use thiserror::Error;

/// Units of duration texts with their length in milliseconds.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("min", 60_000), ("h", 3_600_000)];

/// A text is not a valid duration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseDurationError {
    /// The number is missing, negative, fractional or too large; holds the whole text.
    #[error("`{0}` does not start with a whole number")]
    Number(String),
    /// The unit is missing; holds the whole text.
    #[error("`{0}` has no unit")]
    NoUnit(String),
    /// The unit is unknown.
    #[error("`{unit}` is not a unit of time")]
    Unit {
        /// Text after the number.
        unit: String,
    },
}

/// Parses a duration such as `250ms`, `2s`, `5min` or `1h`: a whole number and a unit, without a space.
///
/// # Errors
///
/// Returns an error when the number or the unit is missing or not valid.
pub fn parse_duration(text: &str) -> Result<Duration, ParseDurationError> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let count: u64 = number.parse().map_err(|_| ParseDurationError::Number(text.to_owned()))?;
    if unit.is_empty() {
        return Err(ParseDurationError::NoUnit(text.to_owned()));
    }
    let unknown = || ParseDurationError::Unit { unit: unit.to_owned() };
    let (_, factor) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(unknown)?;
    let millis =
        count.checked_mul(*factor).ok_or_else(|| ParseDurationError::Number(text.to_owned()))?;
    Ok(Duration::from_millis(millis))
}

/// Formats a duration, in whole milliseconds, with the largest unit that gives a whole number.
pub fn duration_text(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (unit, factor) = UNITS
        .iter()
        .rev()
        .find(|(_, factor)| millis >= *factor && millis.is_multiple_of(*factor))
        .unwrap_or(&UNITS[0]);
    format!("{}{unit}", millis / factor)
}
