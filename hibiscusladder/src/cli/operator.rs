//! Conditional changes of objects on behalf of an operator.

use std::time::Duration;

use hibiscusladder_proxy::platform::{Expected, PlatformClient, PlatformError, StoredObject};
use serde_json::Value;

use super::{difference::differences, error::CliError, in_force, output};

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Creates the client for the platform at `url`.
pub(crate) fn client(url: &str) -> Result<PlatformClient, CliError> {
    let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    let has_port = |address: &&str| {
        address.rsplit_once(':').is_some_and(|(_, port)| port.parse::<u16>().is_ok())
    };
    let address = address.filter(has_port).ok_or_else(|| CliError::Usage {
        message: format!("`{url}` is not the URL of a platform"),
        remedy: "write it like http://127.0.0.1:7300, with the port".to_owned(),
    })?;
    Ok(PlatformClient::new(address, CALL_TIMEOUT))
}

/// Writes an object that was read as `base`, and returns its version.
pub(crate) async fn put(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    base: Option<&StoredObject>,
    value: &Value,
) -> Result<u64, CliError> {
    let expected = base.map_or(Expected::Absent, |base| Expected::Version(base.version));
    let result = platform.put(kind, name, expected, value).await;
    result.map_err(|error| explain(error, base.map(|base| &base.value), value))
}

/// Writes an object if it has the version `expected`, and returns its version.
pub(crate) async fn put_expected(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    expected: u64,
    value: &Value,
) -> Result<u64, CliError> {
    let expected = if expected == 0 { Expected::Absent } else { Expected::Version(expected) };
    let result = platform.put(kind, name, expected, value).await;
    result.map_err(|error| explain(error, None, value))
}

/// Deletes an object that was read as `base`, and returns a revision that includes it.
pub(crate) async fn delete(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    base: &StoredObject,
) -> Result<u64, CliError> {
    let result = platform.delete(kind, name, Expected::Version(base.version)).await;
    result.map_err(|error| explain(error, Some(&base.value), &Value::Null))
}

/// Reports an accepted change and waits until it is in force everywhere.
pub(crate) async fn accepted(
    platform: &PlatformClient,
    what: &str,
    version: u64,
    no_wait: bool,
) -> Result<(), CliError> {
    if no_wait {
        return output::line(&format!("{what}: accepted as version {version}"));
    }
    let confirmed = in_force::wait(platform, version).await?;
    let count = confirmed.len();
    output::line(&format!("{what}: version {version} is in force on all {count} live instances"))
}

fn explain(error: PlatformError, base: Option<&Value>, own: &Value) -> CliError {
    match error {
        PlatformError::Conflict { kind, name, current: Some(current) } => CliError::LostRace {
            object: format!("{kind}/{name}"),
            version: current.version,
            changes: differences(base.unwrap_or(own), &current.value),
        },
        PlatformError::Conflict { kind, name, current: None } => {
            CliError::Deleted { object: format!("{kind}/{name}") }
        }
        error => CliError::Platform(error),
    }
}
