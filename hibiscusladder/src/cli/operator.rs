//! Conditional writes of objects in the store of the platform, for the commands of an operator.

use std::time::Duration;

use hibiscusladder_proxy::platform::{Expected, PlatformClient, PlatformError, StoredObject};
use serde_json::Value;

use super::{difference::differences, error::CliError, in_force, output};

/// Time limit of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Creates a client of the platform at `url`, which must be `http://` with a host and a port.
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

/// Writes an object if it is unchanged since it was read as `base`, and returns its new version. Without a `base` the
/// object must not exist.
pub(crate) async fn put(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    base: Option<&StoredObject>,
    value: &Value,
) -> Result<u64, CliError> {
    let expected = base.map_or(Expected::Absent, |base| Expected::Version(base.version));
    let result = platform.put(kind, name, expected, value).await;
    result.map_err(|error| write_error(error, base.map(|base| &base.value), value))
}

/// Writes an object if it has the version `expected` (0: does not exist), and returns its new version.
pub(crate) async fn put_expected(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    expected: u64,
    value: &Value,
) -> Result<u64, CliError> {
    let expected = if expected == 0 { Expected::Absent } else { Expected::Version(expected) };
    let result = platform.put(kind, name, expected, value).await;
    result.map_err(|error| write_error(error, None, value))
}

/// Deletes an object if it is unchanged since it was read as `base`, and returns a revision that includes the
/// deletion.
pub(crate) async fn delete(
    platform: &PlatformClient,
    kind: &str,
    name: &str,
    base: &StoredObject,
) -> Result<u64, CliError> {
    let result = platform.delete(kind, name, Expected::Version(base.version)).await;
    result.map_err(|error| write_error(error, Some(&base.value), &Value::Null))
}

/// Waits until an accepted `change` is in force on all live instances and prints the result; with `no_wait`, only
/// prints its version.
pub(crate) async fn wait_for_confirmation(
    platform: &PlatformClient,
    change: &str,
    version: u64,
    no_wait: bool,
) -> Result<(), CliError> {
    if no_wait {
        return output::line(&format!("{change}: accepted as version {version}"));
    }
    let confirmed = in_force::wait(platform, version).await?;
    let count = confirmed.len();
    output::line(&format!("{change}: version {version} is in force on all {count} live instances"))
}

/// Converts the error of a write; a conflict lists how the current object differs from `base`, or from `proposed`
/// without a `base`.
fn write_error(error: PlatformError, base: Option<&Value>, proposed: &Value) -> CliError {
    match error {
        PlatformError::Conflict { kind, name, current: Some(current) } => CliError::Conflict {
            object: format!("{kind}/{name}"),
            version: current.version,
            changes: differences(base.unwrap_or(proposed), &current.value),
        },
        PlatformError::Conflict { kind, name, current: None } => {
            CliError::Deleted { object: format!("{kind}/{name}") }
        }
        error => CliError::Platform(error),
    }
}
