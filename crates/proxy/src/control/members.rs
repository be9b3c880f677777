//! Control connections to members, on which the members are polled and the leases of this instance are held.
//!
//! An instance that is home of a member of a database keeps one control connection to every member of the database.

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

/// Longest time between two checks of which members to poll; changes of configuration or instances start one earlier.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a live predecessor may keep the lock before its connection is terminated.
///
/// The predecessor hands over when a heartbeat shows it that it is no longer home, which takes about one second.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Open control connections by member.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<MemberId, MemberLink>>,
}

impl Links {
    /// The connection to `member`; `None` when none is open.
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

/// Starts and ends the member tasks as the configuration and the known instances change.
pub(crate) async fn run(node: Arc<Node>, links: Arc<Links>, handover: Handover) {
    let mut tasks: HashMap<(Database, MemberId), (MemberRecord, Task<()>)> = HashMap::new();
    loop {
        let config_changed = node.config_changed();
        let peers_changed = node.peers_changed();
        let members = members_to_poll(&node);
        tasks.retain(|key, (record, _)| members.get(key).is_some_and(|m| m.record == *record));
        for (key, PolledMember { group, record }) in members {
            let database = key.0.clone();
            tasks.entry(key).or_insert_with(|| {
                let task_record = record.clone();
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
                (task_record, smol::spawn(member.run()))
            });
        }
        let timer = sleep(RECONCILE_INTERVAL);
        config_changed.or(peers_changed).or(timer).await;
    }
}

/// A member to poll, with the group of its database.
struct PolledMember {
    group: Arc<Group>,
    record: MemberRecord,
}

/// All members of each database of which this instance is home of a member.
fn members_to_poll(node: &Node) -> HashMap<(Database, MemberId), PolledMember> {
    let mut members = HashMap::new();
    for (database, group) in node.groups().iter() {
        let view = group.view();
        let is_home = |member: &MemberRecord| {
            // A leaving home keeps its connections until its locks are released.
            let holds = node.lease(&member.id).is_some_and(|lease| lease.holds_lock());
            holds || node.is_home(database, &member.id)
        };
        if !view.members.iter().any(is_home) {
            continue;
        }
        for member in &view.members {
            let entry = PolledMember { group: Arc::clone(group), record: member.clone() };
            members.insert((database.clone(), member.id.clone()), entry);
        }
    }
    members
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

/// Whether the control connection treats this instance as home of its member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HomeState {
    /// Another instance is home.
    NotHome,
    /// This instance is home since the given time.
    HomeSince(Instant),
}

impl Drop for MemberTask {
    fn drop(&mut self) {
        self.links.remove(&self.record.id);
        self.lease.handle(LeaseEvent::ConnectionLost, BootClock.now());
    }
}

impl MemberTask {
    async fn run(self) {
        // The random delay distributes the polls of many instances over the interval.
        sleep(random_up_to(POLL_INTERVAL)).await;
        let mut failure_logged = false;
        let mut lost_backend = None;
        let application = self.node.application();
        loop {
            let started = BootClock.now();
            let database = self.database.as_str();
            let credentials = &self.node.settings().upstream;
            self.group.poll_sent(&self.record.id, started);
            let address = &self.record.address;
            let connecting = MemberLink::connect(address, database, credentials, &application);
            match self.record_missed_polls_during(connecting).await {
                Ok(link) => {
                    spdlog::info!("home: control connection to member {} is open", self.record.id);
                    failure_logged = false;
                    self.links.set(&self.record.id, link.clone());
                    let error = self.serve_reconnected(&link, lost_backend).await;
                    self.links.remove(&self.record.id);
                    lost_backend = if self.lease.holds_lock() { link.backend_pid() } else { None };
                    self.lease.handle(LeaseEvent::ConnectionLost, BootClock.now());
                    spdlog::warn!("home: member {}: {error}", self.record.id);
                }
                Err(error) => {
                    self.group.poll_failed(&self.record.id, started);
                    if !failure_logged {
                        spdlog::warn!("home: member {}: {error}", self.record.id);
                        failure_logged = true;
                    }
                }
            }
            let left = POLL_INTERVAL.saturating_sub(BootClock.now().since(started));
            sleep(left).await;
        }
    }

    /// Awaits `connecting` and records an unanswered poll in each poll interval that passes meanwhile.
    async fn record_missed_polls_during<F, T>(&self, connecting: F) -> T
    where
        F: Future<Output = T>,
    {
        let missed_polls = async {
            loop {
                sleep(POLL_INTERVAL).await;
                self.group.poll_sent(&self.record.id, BootClock.now());
            }
        };
        connecting.or(missed_polls).await
    }

    /// Uses a new connection; first terminates the backend of the lost connection when it still holds the lock.
    ///
    /// The member does not detect that a connection stopped delivering, so the backend would keep the lock.
    async fn serve_reconnected(&self, link: &MemberLink, lost_backend: Option<i32>) -> LinkError {
        if let Some(backend) = lost_backend {
            match statement::lock_holder(link, self.key).await {
                Ok(holder) if holder == Some(backend) => {
                    if let Err(error) = statement::terminate(link, backend).await {
                        return error;
                    }
                }
                Ok(_) => {}
                Err(error) => return error,
            }
        }
        self.serve(link).await
    }

    /// Polls the member and holds the lease on `link` until the connection fails.
    async fn serve(&self, link: &MemberLink) -> LinkError {
        let mut home_state = HomeState::NotHome;
        loop {
            let due = BootClock.now().plus(POLL_INTERVAL);
            smol::spawn(poll(
                Arc::clone(&self.group),
                Arc::clone(&self.lease),
                link.clone(),
                self.record.id.clone(),
            ))
            .detach();
            if let Err(error) = self.hold_lease(link, &mut home_state, due).await {
                return error;
            }
            if link.is_closed() {
                return LinkError::Lost {
                    address: Arc::from(self.record.address.as_str()),
                    reason: "the connection was closed".to_owned(),
                };
            }
        }
    }

    /// Updates the lease after each change of the instances or announced handover, until the next poll is due.
    async fn hold_lease(
        &self,
        link: &MemberLink,
        home_state: &mut HomeState,
        due: Instant,
    ) -> Result<(), LinkError> {
        loop {
            let peers_changed = self.node.peers_changed();
            let handover = self.lease.handover_announced();
            self.update_lease(link, home_state).await?;
            let left = due.since(BootClock.now());
            if left.is_zero() {
                return Ok(());
            }
            sleep(left).or(peers_changed).or(handover).await;
        }
    }

    async fn update_lease(
        &self,
        link: &MemberLink,
        home_state: &mut HomeState,
    ) -> Result<(), LinkError> {
        let now = BootClock.now();
        let is_home = self.node.is_home(&self.database, &self.record.id);
        let action = match (*home_state, is_home) {
            (HomeState::NotHome, true) => {
                *home_state = HomeState::HomeSince(now);
                // The handover may be announced before a heartbeat shows that this instance is home.
                if let Some(announced) = self.lease.take_handover() {
                    self.lease.handle(LeaseEvent::HandedOver, announced);
                }
                self.lease.handle(LeaseEvent::Connected, now)
            }
            (HomeState::HomeSince(_), false) => {
                *home_state = HomeState::NotHome;
                return self.release(link).await;
            }
            (HomeState::HomeSince(since), true) if !self.lease.holds_lock() => {
                if let Some(announced) = self.lease.take_handover() {
                    return self.handle_event(link, LeaseEvent::HandedOver, announced).await;
                }
                self.handle_event(link, LeaseEvent::Tick, now).await?;
                if self.lease.holds_lock() || !self.holder_is_unresponsive(since, now) {
                    return Ok(());
                }
                self.lease.handle(LeaseEvent::HolderUnresponsive, now)
            }
            _ => None,
        };
        self.run_action(link, action).await
    }

    /// Whether the holder of the lock is known to have stopped or failed, or has not handed over in time.
    fn holder_is_unresponsive(&self, since: Instant, now: Instant) -> bool {
        let peers = self.node.peers();
        let data_centre = &self.record.data_centre;
        peers.preferred_is_gone(&self.database, &self.record.id, data_centre)
            || now.since(since) >= HANDOVER_TIMEOUT
    }

    /// Stops using the lease, hands its shares over to the next home and releases the lock.
    async fn release(&self, link: &MemberLink) -> Result<(), LinkError> {
        let held = self.lease.holds_lock();
        let shares = if held { self.handover.end_shares(&self.record.id) } else { Vec::new() };
        self.lease.handle(LeaseEvent::Stop, BootClock.now());
        if held {
            self.handover.announce(&self.database, &self.record.id, shares).await;
        }
        let action = self.lease.handle(LeaseEvent::Release, BootClock.now());
        self.run_action(link, action).await?;
        if held {
            spdlog::info!("home: released the lock of member {}", self.record.id);
        }
        Ok(())
    }

    async fn handle_event(
        &self,
        link: &MemberLink,
        event: LeaseEvent,
        at: Instant,
    ) -> Result<(), LinkError> {
        self.run_action(link, self.lease.handle(event, at)).await
    }

    /// Runs `action` and the actions that the lease returns for its outcome.
    async fn run_action(
        &self,
        link: &MemberLink,
        action: Option<LeaseAction>,
    ) -> Result<(), LinkError> {
        let mut next = action;
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
                        "home: terminating backend {pid}, the unresponsive holder of the lock of member {}",
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
        Ok(None) => spdlog::warn!("home: the status of member {member} cannot be parsed"),
        Err(LinkError::Server { message, .. }) => {
            spdlog::warn!("home: member {member} rejected a poll: {message}");
        }
        Err(LinkError::Lost { .. }) => {}
    }
}
