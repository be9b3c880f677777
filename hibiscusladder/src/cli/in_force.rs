//! Waits until every instance that may serve requests has applied a change.

use std::time::{Duration, Instant};

use hibiscusladder_proxy::{
    control::status::{DataCentreStatus, STATUS_KIND},
    platform::{PlatformClient, PlatformError},
};
use smol::Timer;

use super::error::CliError;

/// Time between two reads of the confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an instance that has not received the change rejects requests with a key: the sum of the largest
/// `max_config_age` (5.5 s), the 2 s for which answers are evidence of an outage, and the difference of clocks.
const OLD_CONFIG_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which instances without a confirmation are reported as an error.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until every listed instance has confirmed `version` or has certainly stopped using an older one, and returns
/// the ids of the instances that confirmed.
///
/// # Errors
///
/// [`CliError::NotConfirmed`] after [`CONFIRMATION_TIMEOUT`], and the error of the platform if its store cannot be
/// read until then or rejects the read.
pub(crate) async fn wait(platform: &PlatformClient, version: u64) -> Result<Vec<String>, CliError> {
    let start = Instant::now();
    loop {
        let statuses = statuses(platform).await;
        let timed_out = start.elapsed() >= CONFIRMATION_TIMEOUT;
        match statuses {
            Ok(statuses) => {
                let unconfirmed = unconfirmed(&statuses, version, start.elapsed());
                if unconfirmed.is_empty() {
                    return Ok(confirmed(&statuses, version));
                }
                if timed_out {
                    return Err(CliError::NotConfirmed { version, instances: unconfirmed });
                }
            }
            Err(error) if timed_out || !error.is_temporary() => return Err(error.into()),
            Err(_) => {}
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn statuses(platform: &PlatformClient) -> Result<Vec<DataCentreStatus>, PlatformError> {
    let listing = platform.list(STATUS_KIND).await?;
    let values = listing.items.into_iter();
    Ok(values.filter_map(|item| serde_json::from_value(item.value).ok()).collect())
}

fn confirmed(statuses: &[DataCentreStatus], version: u64) -> Vec<String> {
    let instances = statuses.iter().flat_map(|status| &status.instances);
    let confirmed = instances.filter(|instance| instance.version >= version);
    confirmed.map(|instance| instance.id.to_string()).collect()
}

/// Instances that may still act on an older version.
///
/// An instance that cannot reach the store uses its configuration beyond `max_config_age` only on evidence of an
/// outage, which requires that no data centre has a newer version. [`OLD_CONFIG_TIMEOUT`] therefore applies once all
/// listed instances of one data centre have confirmed.
fn unconfirmed(statuses: &[DataCentreStatus], version: u64, elapsed: Duration) -> Vec<String> {
    let complete = |status: &&DataCentreStatus| {
        let mut serving = status.possibly_serving().peekable();
        serving.peek().is_some() && serving.all(|instance| instance.version >= version)
    };
    let old_config_expired =
        elapsed >= OLD_CONFIG_TIMEOUT && statuses.iter().any(|status| complete(&status));
    if old_config_expired {
        return Vec::new();
    }
    let instances = statuses.iter().flat_map(DataCentreStatus::possibly_serving);
    let outdated = instances.filter(|instance| instance.version < version);
    let mut outdated: Vec<String> = outdated.map(|instance| instance.id.to_string()).collect();
    if statuses.is_empty() {
        outdated.push("no data centre has reported any instance".to_owned());
    }
    outdated
}
