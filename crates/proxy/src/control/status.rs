//! Status of a data centre in the store: its instances and the configuration versions that they have applied.

use std::{sync::Arc, time::Duration};

use hibiscusladder_core::{
    membership::{InstanceInfo, InstanceState},
    name::{DataCentre, InstanceId},
};
use serde::{Deserialize, Serialize};

use super::heartbeat::Confirmations;
use crate::{
    clock::sleep,
    node::Node,
    platform::{Backoff, Expected, PlatformClient},
};

/// Kind of the status objects in the store; each has the name of its data centre.
pub const STATUS_KIND: &str = "status";

/// Shortest time between two writes of the status.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks of whether the status changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Instances of a data centre, as known to its preferred relay, which writes this object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Instances in the order of their names, without those that left or failed some time ago.
    pub instances: Vec<InstanceStatus>,
}

/// State of one instance and the configuration version that it confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub id: InstanceId,
    /// `live`, `suspected`, `leaving` or `dead`.
    pub state: String,
    /// Version up to which the instance has applied every change of the configuration.
    pub version: u64,
}

impl DataCentreStatus {
    /// All listed instances: each of them may still serve requests with the configuration that it has.
    pub fn possibly_serving(&self) -> impl Iterator<Item = &InstanceStatus> {
        self.instances.iter()
    }
}

/// Writes the status while this instance is the preferred relay of its data centre.
pub(crate) async fn run(
    node: Arc<Node>,
    platform: PlatformClient,
    confirmations: Arc<Confirmations>,
) {
    let mut written: Option<DataCentreStatus> = None;
    let mut backoff = Backoff::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let preferred = node.peers().relays(node.data_centre()).first() == Some(node.id());
        if !preferred {
            written = None;
            continue;
        }
        let status = collect(&node, &confirmations);
        if written.as_ref() == Some(&status) {
            continue;
        }
        let Ok(value) = serde_json::to_value(&status) else { continue };
        let name = node.data_centre().as_str();
        match platform.put(STATUS_KIND, name, Expected::Any, &value).await {
            Ok(_) => {
                written = Some(status);
                backoff.record_success();
                sleep(WRITE_INTERVAL).await;
            }
            Err(_) => sleep(WRITE_INTERVAL + backoff.record_failure()).await,
        }
    }
}

fn collect(node: &Node, confirmations: &Confirmations) -> DataCentreStatus {
    let peers = node.peers();
    let newest = node.config_version();
    let is_listed = |info: &&InstanceInfo| {
        info.data_centre == *node.data_centre()
            && (info.state != InstanceState::Dead
                || confirmations.failed_recently(&info.id, node.now()))
    };
    let mut instances: Vec<InstanceStatus> = peers
        .iter()
        .filter(is_listed)
        .map(|info| {
            let own = info.id == *node.id();
            let revision =
                if own { node.config_revision() } else { confirmations.revision(&info.id) };
            InstanceStatus {
                id: info.id.clone(),
                state: info.state.to_string(),
                version: revision.min(newest),
            }
        })
        .collect();
    instances.sort_by(|a, b| a.id.cmp(&b.id));
    DataCentreStatus { data_centre: node.data_centre().clone(), instances }
}
