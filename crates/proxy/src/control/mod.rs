//! Background tasks that update the shared state of an instance and act on it.
//!
//! | Task | Purpose |
//! | --- | --- |
//! | `configuration` | fetches the configuration from the store or from relays |
//! | `heartbeat` | exchanges heartbeats, which update the membership |
//! | `members` | polls the members and holds the leases of this instance as home |
//! | `promotion` | replaces a failed or leaving primary of each database of which this instance is home of a member |
//! | `status` | writes to the store which configuration versions the instances of a data centre have applied |
//! | `registration` | registers the instance with the platform |
//! | `health` | serves the health address |

mod configuration;
mod handover;
mod health;
mod heartbeat;
pub mod link;
mod members;
mod promotion;
mod registration;
mod report;
mod service;
mod statement;
pub mod status;
mod warm_up;

use std::{collections::HashMap, sync::Arc, time::Duration};

use hibiscusladder_core::name::{Database, MemberId};
use smol::{Task, future::FutureExt, net::TcpListener};

use self::handover::Handover;
pub use self::{
    configuration::WATCH_WAIT,
    heartbeat::{Confirmations, HEARTBEAT_INTERVAL},
    members::Links,
    promotion::{claimant, may_claim, may_publish},
    service::ControlHandler,
    statement::lock_key,
};
use crate::{clock::sleep, home::Homes, node::Node, platform::PlatformClient, rpc::Rpc};

/// Longest time between two checks of which databases need a promotion task.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks of whether all locks are released.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The control tasks of one instance; dropping it ends them.
#[derive(Debug)]
pub struct Control {
    node: Arc<Node>,
    platform: PlatformClient,
    tasks: Vec<Task<()>>,
}

impl Control {
    /// Starts all tasks and the warm-up; the instance is not chosen as home until the warm-up is finished.
    pub fn start(
        node: &Arc<Node>,
        platform: &PlatformClient,
        confirmations: &Arc<Confirmations>,
        health: TcpListener,
        rpc: &Rpc,
        homes: &Arc<Homes>,
    ) -> Self {
        let links: Arc<Links> = Arc::default();
        let clone_node = || Arc::clone(node);
        let clone_platform = || platform.clone();
        let clone_confirmations = || Arc::clone(confirmations);
        let handover = Handover { node: clone_node(), rpc: rpc.clone(), homes: Arc::clone(homes) };
        node.start_warm_up();
        let announce = announce(clone_node(), clone_platform(), rpc.clone(), clone_confirmations());
        let tasks = vec![
            smol::spawn(health::run(clone_node(), clone_platform(), health)),
            smol::spawn(announce),
            smol::spawn(configuration::run(clone_node(), clone_platform(), rpc.clone())),
            smol::spawn(status::run(clone_node(), clone_platform(), clone_confirmations())),
            smol::spawn(members::run(clone_node(), Arc::clone(&links), handover)),
            smol::spawn(run_promotions(clone_node(), clone_platform(), links)),
        ];
        Self { node: clone_node(), platform: clone_platform(), tasks }
    }

    /// Waits until this instance holds no lock of a member; false when it still holds one after `timeout`.
    pub async fn wait_for_lock_release(&self, timeout: Duration) -> bool {
        let until = self.node.now().plus(timeout);
        while self.holds_locks() {
            if self.node.now() >= until {
                return false;
            }
            sleep(RELEASE_CHECK_INTERVAL).await;
        }
        true
    }

    /// Ends all tasks and removes the registration from the platform.
    pub async fn stop(self) {
        for task in self.tasks {
            task.cancel().await;
        }
        if let Err(error) = self.platform.deregister(self.node.id()).await {
            spdlog::warn!("platform: the registration could not be removed: {error}");
        }
    }

    fn holds_locks(&self) -> bool {
        let groups = self.node.groups();
        let held =
            |member: &MemberId| self.node.lease(member).is_some_and(|lease| lease.holds_lock());
        groups.values().any(|group| group.view().members.iter().any(|member| held(&member.id)))
    }
}

/// Waits for the end of the warm-up, then announces the instance to the platform and to the other instances.
async fn announce(
    node: Arc<Node>,
    platform: PlatformClient,
    rpc: Rpc,
    confirmations: Arc<Confirmations>,
) {
    warm_up::run(&node, &platform).await;
    node.finish_warm_up();
    let registration = registration::run(Arc::clone(&node), platform.clone());
    let seed = heartbeat::seed(Arc::clone(&node), platform);
    let heartbeat = heartbeat::run(node, rpc, confirmations);
    futures::join!(registration, seed, heartbeat);
}

/// Runs one promotion task for each database of which this instance is home of a member.
async fn run_promotions(node: Arc<Node>, platform: PlatformClient, links: Arc<Links>) {
    let mut tasks: HashMap<Database, Task<()>> = HashMap::new();
    loop {
        let config_changed = node.config_changed();
        let peers_changed = node.peers_changed();
        let groups = node.groups();
        let is_polled = |database: &Database| {
            groups.get(database).is_some_and(|group| {
                let view = group.view();
                view.members.iter().any(|member| node.is_home(database, &member.id))
            })
        };
        tasks.retain(|database, _| is_polled(database));
        for (database, group) in groups.iter().filter(|(database, _)| is_polled(database)) {
            tasks.entry(database.clone()).or_insert_with(|| {
                let task = promotion::run(
                    Arc::clone(&node),
                    platform.clone(),
                    Arc::clone(&links),
                    Arc::clone(group),
                );
                smol::spawn(task)
            });
        }
        let timer = sleep(RECONCILE_INTERVAL);
        config_changed.or(peers_changed).or(timer).await;
    }
}
