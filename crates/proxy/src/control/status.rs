//! Status of a data centre in the store: its instances and the versions that they confirmed.

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

/// Kind of the status objects in the store.
pub const STATUS_KIND: &str = "status";

/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at whether the status changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Instances of a data centre as its relay knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its instances, those that left excepted.
    pub instances: Vec<InstanceStatus>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name.
    pub id: InstanceId,
    /// State, such as `live`.
    pub state: String,
    /// Version up to which it applied every change of the configuration.
    pub version: u64,
}

impl DataCentreStatus {
    /// Instances that may act on their configuration.
    pub fn live(&self) -> impl Iterator<Item = &InstanceStatus> {
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
        sleep(LOOK_INTERVAL).await;
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
    let shown = |info: &&InstanceInfo| {
        info.data_centre == *node.data_centre()
            && (info.state != InstanceState::Dead
                || confirmations.died_recently(&info.id, node.now()))
    };
    let mut instances: Vec<InstanceStatus> = peers
        .iter()
        .filter(shown)
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
