//! Cancel requests of clients.
//!
//! A cancel request arrives on a separate connection, which the load balancer may route to any instance. The upper half
//! of the process id that a client receives therefore identifies the instance of its session.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use hibiscusladder_core::name::{Database, InstanceId};

use super::Entry;
use crate::{
    node::lock,
    route::{Progress, Router},
    rpc::SessionCancel,
};

/// Number of low bits of a process id that identify the session within its instance.
const SESSION_BITS: u32 = 16;

/// Client sessions of one instance by process id.
#[derive(Debug)]
pub(super) struct Sessions {
    /// Number of this instance, the upper half of its process ids.
    instance: u32,
    /// Cancel token of the next request; the first one is random, so that tokens of different instances do not
    /// collide at a home.
    next_token: AtomicU64,
    sessions: Mutex<HashMap<u32, Arc<CancelHandle>>>,
}

/// Cancel key of a session and its running request.
#[derive(Debug)]
pub(super) struct CancelHandle {
    secret: u32,
    request: Mutex<Option<RunningRequest>>,
}

#[derive(Debug, Clone)]
struct RunningRequest {
    database: Database,
    progress: Arc<Progress>,
    token: u64,
}

impl Sessions {
    pub(super) fn new(instance: &InstanceId) -> Self {
        let first_token = getrandom::u64().unwrap_or_default();
        Self {
            instance: instance_bits(instance),
            next_token: AtomicU64::new(first_token),
            sessions: Mutex::default(),
        }
    }

    /// Returns a cancel token for a request, unique within this instance.
    pub(super) fn next_token(&self) -> u64 {
        self.next_token.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a session under an unused process id; `None` when all of this instance's ids are in use or no random
    /// number is available.
    pub(super) fn register(&self) -> Option<(u32, Arc<CancelHandle>)> {
        let random = getrandom::u64().ok()?.to_be_bytes();
        let secret = u32::from_be_bytes([random[0], random[1], random[2], random[3]]);
        let first = u32::from_be_bytes([0, 0, random[4], random[5]]);
        let mut sessions = lock(&self.sessions);
        let range = 0..1_u32 << SESSION_BITS;
        let free = range
            .map(|step| (first + step) & ((1 << SESSION_BITS) - 1))
            .map(|number| self.instance << SESSION_BITS | number)
            .find(|process| !sessions.contains_key(process))?;
        let cancel_handle = Arc::new(CancelHandle { secret, request: Mutex::default() });
        sessions.insert(free, Arc::clone(&cancel_handle));
        Some((free, cancel_handle))
    }

    pub(super) fn remove(&self, process: u32) {
        lock(&self.sessions).remove(&process);
    }

    pub(super) fn find(&self, process: u32, secret: u32) -> Option<Arc<CancelHandle>> {
        let cancel_handle = lock(&self.sessions).get(&process).map(Arc::clone)?;
        (cancel_handle.secret == secret).then_some(cancel_handle)
    }

    const fn is_local(&self, process: u32) -> bool {
        process >> SESSION_BITS == self.instance
    }
}

impl CancelHandle {
    pub(super) const fn secret(&self) -> u32 {
        self.secret
    }

    pub(super) fn set_request(&self, database: &Database, progress: &Arc<Progress>, token: u64) {
        let request =
            RunningRequest { database: database.clone(), progress: Arc::clone(progress), token };
        *lock(&self.request) = Some(request);
    }

    pub(super) fn clear_request(&self) {
        *lock(&self.request) = None;
    }

    pub(super) async fn cancel(&self, router: &Router) {
        let request = lock(&self.request).clone();
        let Some(request) = request else { return };
        let Some(member) = request.progress.member() else { return };
        router.cancel(&request.database, &member, request.token).await;
    }
}

/// Serves a cancel request, or forwards it to the instances whose number is in the process id.
pub(super) async fn serve_request(entry: &Entry, process: u32, secret: u32) {
    if entry.sessions.is_local(process) {
        entry.cancel_session(process, secret).await;
        return;
    }
    let target = process >> SESSION_BITS;
    let peers = entry.node().peers();
    for peer in peers.others().filter(|peer| instance_bits(&peer.id) == target) {
        entry.router.rpc().cancel_session(&peer.rpc, process, secret).await;
    }
}

/// Number of an instance within process ids: a hash of its id. The highest bit is zero, since process ids are positive.
fn instance_bits(instance: &InstanceId) -> u32 {
    let mut hasher = DefaultHasher::new();
    instance.hash(&mut hasher);
    u32::try_from(hasher.finish() & 0x7fff).unwrap_or(0)
}
