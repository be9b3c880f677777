//! Starts database groups and gives tests access to them.

use std::{io, net::SocketAddr, sync::Arc};

use futures::FutureExt;
use hibiscusladder_core::name::MemberId;
use smol::net::TcpListener;

use super::{
    admin::{Admin, MemberFaults, MemberReport},
    config::{DatabaseConfig, GroupConfig},
    log::GroupLog,
    member::{Member, Settings},
    replication, server,
};
use crate::{http, runtime::Runtime};

/// Number of threads that serve the connections of all members; long statements run on the blocking thread pool.
///
/// With several threads, each message first wakes another thread, which takes longer than a short statement.
const THREADS: usize = 1;

/// Starts the database emulator.
#[derive(Debug)]
pub struct Group;

impl Group {
    /// Binds the addresses in `cfg` and serves the members until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a thread cannot be started, a database has no members, a
    /// member name is used twice or the configured primary is not a member of its database.
    pub fn start(cfg: GroupConfig) -> io::Result<GroupHandle> {
        let settings = Arc::new(Settings::new(&cfg));
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for database in &cfg.databases {
            let group = start_database(database, &settings, &mut listeners)?;
            let weak_members: Vec<_> = group.iter().map(Arc::downgrade).collect();
            group.iter().for_each(|member| member.set_group(weak_members.clone()));
            members.extend(group);
        }
        check_unique_ids(&members)?;
        let runtime = Runtime::start("database", THREADS)?;
        let admin_listener = http::bind(&cfg.admin)?;
        let admin = admin_listener.local_addr()?;
        let members = Arc::new(members);
        runtime.spawn(
            http::serve(admin_listener, Admin(Arc::clone(&members)), runtime.spawner()).boxed(),
        );
        for (member, listener) in members.iter().zip(listeners) {
            let spawner = runtime.spawner();
            runtime.spawn(server::run(Arc::clone(member), listener, spawner).boxed());
            runtime.spawn(replication::run_copy(Arc::downgrade(member)).boxed());
            runtime.spawn(replication::run_apply(Arc::downgrade(member)).boxed());
            spdlog::info!("emulator: member {} listens on {}", member.id(), member.address);
        }
        spdlog::info!("emulator: admin interface of the database groups listens on {admin}");
        Ok(GroupHandle { admin, members, runtime })
    }
}

fn start_database(
    database: &DatabaseConfig,
    settings: &Arc<Settings>,
    listeners: &mut Vec<TcpListener>,
) -> io::Result<Vec<Arc<Member>>> {
    let ids: Vec<MemberId> = database.members.iter().map(|member| member.id.clone()).collect();
    let primary = database.primary.as_ref().or(ids.first());
    let primary = primary.filter(|primary| ids.contains(primary)).ok_or_else(|| {
        invalid_input(format!(
            "the primary of database {} is not one of its members; name a configured member",
            database.name
        ))
    })?;
    let mut members = Vec::with_capacity(ids.len());
    for cfg in &database.members {
        let listener = http::bind(&cfg.listen)?;
        let address = listener.local_addr()?;
        let log = GroupLog::new(primary, cfg.id == *primary, ids.clone());
        let settings = Arc::clone(settings);
        let member = Member::new(cfg.clone(), database.name.clone(), settings, address, log);
        members.push(Arc::new(member.map_err(io::Error::other)?));
        listeners.push(listener);
    }
    Ok(members)
}

fn check_unique_ids(members: &[Arc<Member>]) -> io::Result<()> {
    for (index, member) in members.iter().enumerate() {
        if members[..index].iter().any(|other| other.id() == member.id()) {
            return Err(invalid_input(format!(
                "the member name {} is used twice; names must be unique over all databases",
                member.id()
            )));
        }
    }
    Ok(())
}

fn invalid_input(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, message)
}

/// Handle of running database groups, which stop when the handle is dropped.
#[derive(Debug)]
pub struct GroupHandle {
    admin: SocketAddr,
    members: Arc<Vec<Arc<Member>>>,
    runtime: Runtime,
}

impl GroupHandle {
    /// Address on which the admin interface listens, with the port that was bound.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Members with the addresses on which they accept connections, in the order of the settings.
    pub fn addresses(&self) -> Vec<(MemberId, SocketAddr)> {
        self.members.iter().map(|member| (member.id().clone(), member.address)).collect()
    }

    /// Address on which the member `id` accepts connections; `None` when there is no such member.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.member(id).map(|member| member.address)
    }

    /// Replaces all faults of the member `id`; false when there is no such member.
    pub fn set_faults(&self, id: &str, faults: MemberFaults) -> bool {
        let member = self.member(id);
        if let Some(member) = member {
            member.set_faults(faults);
        }
        member.is_some()
    }

    /// Changes some faults of the member `id` and keeps the others; false when there is no such member.
    pub fn change_faults<F>(&self, id: &str, change: F) -> bool
    where
        F: FnOnce(&mut MemberFaults),
    {
        let Some(member) = self.member(id) else { return false };
        let mut faults = member.faults().clone();
        change(&mut faults);
        member.set_faults(faults);
        true
    }

    /// States of all members, in the order of the settings.
    pub fn reports(&self) -> Vec<MemberReport> {
        self.members.iter().map(|member| member.report()).collect()
    }

    /// State of the member `id`; `None` when there is no such member.
    pub fn report(&self, id: &str) -> Option<MemberReport> {
        self.member(id).map(|member| member.report())
    }

    /// Stops all members and waits until their threads have ended.
    pub fn shutdown(self) {
        drop(self.runtime);
    }

    fn member(&self, id: &str) -> Option<&Arc<Member>> {
        self.members.iter().find(|member| member.id().as_str() == id)
    }
}
