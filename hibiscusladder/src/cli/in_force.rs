//! The wait until every live instance has a change.

use std::time::{Duration, Instant};

use hibiscusladder_proxy::{
    control::status::{DataCentreStatus, STATUS_KIND},
    platform::{PlatformClient, PlatformError},
};
use smol::Timer;

use super::error::CliError;

/// Time between two looks at the confirmations.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an instance without the change rejects requests with a key: the largest
/// `max_config_age` (5.5 s), the 2 s of outage evidence and the difference of clocks.
const DOUBT_BOUND: Duration = Duration::from_secs(8);

/// Longest wait.
const WAIT: Duration = Duration::from_secs(20);

/// Waits until every live instance confirmed `version` or has certainly reached its doubt bound.
///
/// Returns the instances that confirmed.
pub(crate) async fn wait(platform: &PlatformClient, version: u64) -> Result<Vec<String>, CliError> {
    let start = Instant::now();
    loop {
        let statuses = statuses(platform).await;
        let late = start.elapsed() >= WAIT;
        match statuses {
            Ok(statuses) => {
                let unconfirmed = unconfirmed(&statuses, version, start.elapsed());
                if unconfirmed.is_empty() {
                    return Ok(confirmed(&statuses, version));
                }
                if late {
                    return Err(CliError::NotConfirmed { version, instances: unconfirmed });
                }
            }
            Err(error) if late || !error.is_temporary() => return Err(error.into()),
            Err(_) => {}
        }
        Timer::after(LOOK_INTERVAL).await;
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
/// An instance that is cut off relies on evidence of an outage only while no data centre has a newer version,
/// so the bound counts once all live instances of one data centre have confirmed.
fn unconfirmed(statuses: &[DataCentreStatus], version: u64, elapsed: Duration) -> Vec<String> {
    let complete = |status: &&DataCentreStatus| {
        let mut live = status.live().peekable();
        live.peek().is_some() && live.all(|instance| instance.version >= version)
    };
    let bound_reached = elapsed >= DOUBT_BOUND && statuses.iter().any(|status| complete(&status));
    if bound_reached {
        return Vec::new();
    }
    let instances = statuses.iter().flat_map(DataCentreStatus::live);
    let behind = instances.filter(|instance| instance.version < version);
    let mut behind: Vec<String> = behind.map(|instance| instance.id.to_string()).collect();
    if statuses.is_empty() {
        behind.push("no data centre has reported any instance".to_owned());
    }
    behind
}
