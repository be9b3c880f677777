//! Parses the arguments of commands.

use std::{error::Error, str::FromStr, time::Duration};

use goldenscript::ArgumentConsumer;

/// Returns the next positional argument; `name` is its name in the error.
pub(super) fn positional<'a>(
    args: &mut ArgumentConsumer<'a>,
    name: &str,
) -> Result<&'a str, Box<dyn Error>> {
    args.next_pos().ok_or_else(|| format!("the argument {name} is missing").into())
}

/// Parses the argument `key=value`; `default` applies when it is absent.
pub(super) fn keyed<T>(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
    default: Option<T>,
) -> Result<T, Box<dyn Error>>
where
    T: FromStr<Err: Error + 'static>,
{
    match (args.take_key(key), default) {
        (Some(text), _) => Ok(text.parse()?),
        (None, Some(default)) => Ok(default),
        (None, None) => Err(format!("the argument {key}=… is missing").into()),
    }
}

/// Parses the duration `key=…`; `default` applies when it is absent.
pub(super) fn keyed_duration(
    args: &mut ArgumentConsumer<'_>,
    key: &str,
    default: Duration,
) -> Result<Duration, Box<dyn Error>> {
    args.take_key(key).map_or(Ok(default), parse_duration)
}

/// Parses a duration such as `250ms` or `2s`.
pub(super) fn parse_duration(text: &str) -> Result<Duration, Box<dyn Error>> {
    if let Some(number) = text.strip_suffix("ms") {
        return Ok(Duration::from_millis(number.parse()?));
    }
    let number = text
        .strip_suffix('s')
        .ok_or_else(|| format!("{text} is not a duration such as 250ms or 2s"))?;
    Ok(Duration::from_secs(number.parse()?))
}
