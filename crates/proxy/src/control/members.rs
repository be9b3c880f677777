//! Control connections to members: polls and the lease of the home.
//!
//! An instance keeps one control connection to every member of each database of which it is home of a member.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use hibiscusladder_core::{
    clock::{Clock, Instant},
    database::MemberRecord,
    home_lease::{LeaseAction, LeaseEvent},
    name::{Database, MemberId},
    quorum::POLL_INTERVAL,
};
use smol::{Task, future::FutureExt};

use super::{
    handover::Handover,
    link::{LinkError, MemberLink},
    statement,
};
use crate::{
    clock::{BootClock, sleep},
    node::{Group, Lease, Node, lock},
    platform::random_up_to,
};

/// Time between two looks at which members to poll, when nothing announces a change.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a live predecessor may keep the lock before its connection is terminated.
///
/// It hands over as soon as a heartbeat tells it that it is no longer home, which takes about one second.
const HANDOVER_PATIENCE: Duration = Duration::from_secs(5);

/// Control connections that are open, by member.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<MemberId, MemberLink>>,
}

impl Links {
    /// The connection to `member`, when it is open.
    pub fn get(&self, member: &MemberId) -> Option<MemberLink> {
        lock(&self.links).get(member).filter(|link| !link.is_closed()).cloned()
    }

    fn set(&self, member: &MemberId, link: MemberLink) {
        lock(&self.links).insert(member.clone(), link);
    }

    fn remove(&self, member: &MemberId) {
        if let Some(link) = lock(&self.links).remove(member) {
            link.close();
        }
    }
}

/// Starts and ends the tasks of members as the configuration and the known instances change.
pub(crate) async fn run(node: Arc<Node>, links: Arc<Links>, handover: Handover) {
    let mut tasks: HashMap<(Database, MemberId), (MemberRecord, Task<()>)> = HashMap::new();
    loop {
        let config_changed = node.config_changed();
        let peers_changed = node.peers_changed();
        let wanted = wanted(&node);
        tasks.retain(|key, (record, _)| wanted.get(key).is_some_and(|want| want.record == *record));
        for (key, Wanted { group, record }) in wanted {
            let database = key.0.clone();
            tasks.entry(key).or_insert_with(|| {
                let kept = record.clone();
                let member = MemberTask {
                    node: Arc::clone(&node),
                    links: Arc::clone(&links),
                    lease: node.lease_or_new(&record.id),
                    group,
                    key: statement::lock_key(&database, &record.id),
                    database,
                    record,
                    handover: handover.clone(),
                };
                (kept, smol::spawn(member.run()))
            });
        }
        let timer = sleep(REVIEW_INTERVAL);
        config_changed.or(peers_changed).or(timer).await;
    }
}

/// A member to poll.
struct Wanted {
    group: Arc<Group>,
    record: MemberRecord,
}

/// All members of the databases of which this instance is home of a member.
fn wanted(node: &Node) -> HashMap<(Database, MemberId), Wanted> {
    let mut wanted = HashMap::new();
    for (database, group) in node.groups().iter() {
        let view = group.view();
        let is_home = |member: &MemberRecord| {
            // A home that leaves keeps its connections until its locks are released.
            let holds = node.lease(&member.id).is_some_and(|lease| lease.holds_lock());
            holds || node.is_home(database, &member.id)
        };
        if !view.members.iter().any(is_home) {
            continue;
        }
        for member in &view.members {
            let entry = Wanted { group: Arc::clone(group), record: member.clone() };
            wanted.insert((database.clone(), member.id.clone()), entry);
        }
    }
    wanted
}

struct MemberTask {
    node: Arc<Node>,
    links: Arc<Links>,
    lease: Arc<Lease>,
    group: Arc<Group>,
    database: Database,
    record: MemberRecord,
    key: u32,
    handover: Handover,
}

/// What a connection does about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Homing {
    /// Another instance is home.
    No,
    /// This instance is home since the given time.
    Since(Instant),
}

impl Drop for MemberTask {
    fn drop(&mut self) {
        self.links.remove(&self.record.id);
        self.lease.handle(LeaseEvent::ConnectionLost, BootClock.now());
    }
}

impl MemberTask {
    async fn run(self) {
        // Spreads the polls of many instances over the interval.
        sleep(random_up_to(POLL_INTERVAL)).await;
        let mut reported = false;
        let mut lost_holder = None;
        let application = self.node.application();
        loop {
            let started = BootClock.now();
            let database = self.database.as_str();
            let user = &self.node.settings().upstream;
            self.group.poll_sent(&self.record.id, started);
            let address = &self.record.address;
            let connecting = MemberLink::connect(address, database, user, &application);
            match self.while_missing(connecting).await {
                Ok(link) => {
                    spdlog::info!("home: control connection to member {} is open", self.record.id);
                    reported = false;
                    self.links.set(&self.record.id, link.clone());
                    let error = self.resume(&link, lost_holder).await;
                    self.links.remove(&self.record.id);
                    lost_holder = if self.lease.holds_lock() { link.process() } else { None };
                    self.lease.handle(LeaseEvent::ConnectionLost, BootClock.now());
                    spdlog::warn!("home: member {}: {error}", self.record.id);
                }
                Err(error) => {
                    self.group.poll_failed(&self.record.id, started);
                    if !reported {
                        spdlog::warn!("home: member {}: {error}", self.record.id);
                        reported = true;
                    }
                }
            }
            let left = POLL_INTERVAL.saturating_sub(BootClock.now().since(started));
            sleep(left).await;
        }
    }

    /// Notes a missed poll in each interval that passes before `connecting` completes.
    async fn while_missing<F, T>(&self, connecting: F) -> T
    where
        F: Future<Output = T>,
    {
        let missing = async {
            loop {
                sleep(POLL_INTERVAL).await;
                self.group.poll_sent(&self.record.id, BootClock.now());
            }
        };
        connecting.or(missing).await
    }

    /// Ends the backend of a lost connection that held the lock, then serves on the new connection.
    ///
    /// The member does not learn that a connection went silent, so that backend would keep the lock.
    async fn resume(&self, link: &MemberLink, lost_holder: Option<i32>) -> LinkError {
        if let Some(lost) = lost_holder {
            match statement::lock_holder(link, self.key).await {
                Ok(holder) if holder == Some(lost) => {
                    if let Err(error) = statement::terminate(link, lost).await {
                        return error;
                    }
                }
                Ok(_) => {}
                Err(error) => return error,
            }
        }
        self.serve(link).await
    }

    async fn serve(&self, link: &MemberLink) -> LinkError {
        let mut homing = Homing::No;
        loop {
            let due = BootClock.now().plus(POLL_INTERVAL);
            smol::spawn(poll(
                Arc::clone(&self.group),
                Arc::clone(&self.lease),
                link.clone(),
                self.record.id.clone(),
            ))
            .detach();
            if let Err(error) = self.hold_lease(link, &mut homing, due).await {
                return error;
            }
            if link.is_closed() {
                return LinkError::Lost {
                    address: Arc::from(self.record.address.as_str()),
                    reason: "the connection ended".to_owned(),
                };
            }
        }
    }

    /// Acts on the lease until the next poll is due.
    async fn hold_lease(
        &self,
        link: &MemberLink,
        homing: &mut Homing,
        due: Instant,
    ) -> Result<(), LinkError> {
        loop {
            let peers_changed = self.node.peers_changed();
            let handover = self.lease.handover_announced();
            self.drive_lease(link, homing).await?;
            let left = due.since(BootClock.now());
            if left.is_zero() {
                return Ok(());
            }
            sleep(left).or(peers_changed).or(handover).await;
        }
    }

    async fn drive_lease(&self, link: &MemberLink, homing: &mut Homing) -> Result<(), LinkError> {
        let now = BootClock.now();
        let is_home = self.node.is_home(&self.database, &self.record.id);
        let action = match (*homing, is_home) {
            (Homing::No, true) => {
                *homing = Homing::Since(now);
                // The announcement may arrive before the news that this instance is home.
                if let Some(announced) = self.lease.take_handover() {
                    self.lease.handle(LeaseEvent::HandedOver, announced);
                }
                self.lease.handle(LeaseEvent::Connected, now)
            }
            (Homing::Since(_), false) => {
                *homing = Homing::No;
                return self.release(link).await;
            }
            (Homing::Since(since), true) if !self.lease.holds_lock() => {
                if let Some(announced) = self.lease.take_handover() {
                    return self.act(link, LeaseEvent::HandedOver, announced).await;
                }
                self.act(link, LeaseEvent::Tick, now).await?;
                if self.lease.holds_lock() || !self.predecessor_is_silent(since, now) {
                    return Ok(());
                }
                self.lease.handle(LeaseEvent::HolderUnresponsive, now)
            }
            _ => None,
        };
        self.run_action(link, action).await
    }

    /// Whether the holder of the lock is known or likely to be unable to hand over.
    fn predecessor_is_silent(&self, since: Instant, now: Instant) -> bool {
        let peers = self.node.peers();
        let data_centre = &self.record.data_centre;
        peers.preferred_is_gone(&self.database, &self.record.id, data_centre)
            || now.since(since) >= HANDOVER_PATIENCE
    }

    async fn release(&self, link: &MemberLink) -> Result<(), LinkError> {
        let held = self.lease.holds_lock();
        let buckets = if held { self.handover.end_shares(&self.record.id) } else { Vec::new() };
        self.lease.handle(LeaseEvent::Stop, BootClock.now());
        if held {
            self.handover.announce(&self.database, &self.record.id, buckets).await;
        }
        let action = self.lease.handle(LeaseEvent::Release, BootClock.now());
        self.run_action(link, action).await?;
        if held {
            spdlog::info!("home: released member {}", self.record.id);
        }
        Ok(())
    }

    async fn act(
        &self,
        link: &MemberLink,
        event: LeaseEvent,
        at: Instant,
    ) -> Result<(), LinkError> {
        self.run_action(link, self.lease.handle(event, at)).await
    }

    async fn run_action(
        &self,
        link: &MemberLink,
        first: Option<LeaseAction>,
    ) -> Result<(), LinkError> {
        let mut next = first;
        while let Some(action) = next {
            let event = match action {
                LeaseAction::TryLock => match statement::try_lock(link, self.key).await? {
                    (true, sent) => {
                        spdlog::info!("home: took the lock of member {}", self.record.id);
                        LeaseEvent::LockTaken { sent }
                    }
                    (false, _) => LeaseEvent::LockBusy,
                },
                LeaseAction::FindHolder => {
                    LeaseEvent::Holder { pid: statement::lock_holder(link, self.key).await? }
                }
                LeaseAction::Terminate { pid } => {
                    spdlog::warn!(
                        "home: terminating backend {pid}, the silent holder of member {}",
                        self.record.id
                    );
                    statement::terminate(link, pid).await?;
                    LeaseEvent::Terminated
                }
                LeaseAction::Unlock => {
                    return statement::unlock(link, self.key).await;
                }
            };
            next = self.lease.handle(event, BootClock.now());
        }
        Ok(())
    }
}

async fn poll(group: Arc<Group>, lease: Arc<Lease>, link: MemberLink, member: MemberId) {
    let sent = BootClock.now();
    group.poll_sent(&member, sent);
    match statement::poll(&link, &member, || BootClock.now()).await {
        Ok(Some(report)) => {
            let polled = report.sent;
            group.apply_report(report);
            lease.handle(LeaseEvent::PollAnswered { sent: polled }, BootClock.now());
        }
        Ok(None) => spdlog::warn!("home: member {member} gave a status that cannot be read"),
        Err(LinkError::Server { message, .. }) => {
            spdlog::warn!("home: member {member} rejected a poll: {message}");
        }
        Err(LinkError::Lost { .. }) => {}
    }
}
