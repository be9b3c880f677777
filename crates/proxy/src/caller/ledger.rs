//! Account of what the clients of an instance hold, and the notices to those that have to be closed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hibiscusladder_core::{
    budget::{Activity, Budget, Limits, Origin, PeerId},
    clock::{Clock, Instant},
};
use hibiscusladder_io::clock::BootClock;
use smol::channel::{self, Receiver, Sender};

/// Time in which one line is logged for all clients that were refused or closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accounts of the clients of an instance; clones share them.
#[derive(Debug, Clone)]
pub(super) struct Ledger(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Closed when the client has to be closed.
    notices: BTreeMap<PeerId, Sender<()>>,
    /// When a line was logged, and the clients that were limited since without a line.
    logged: Option<Instant>,
    suppressed: u64,
}

impl State {
    fn close(&mut self, peers: &[PeerId]) {
        for peer in peers {
            self.notices.remove(peer);
        }
    }
}

impl Ledger {
    /// Creates a ledger without accounts.
    pub(super) fn new(limits: Limits) -> Self {
        let (budget, notices) = (Budget::new(limits), BTreeMap::new());
        Self(Arc::new(Mutex::new(State { budget, notices, logged: None, suppressed: 0 })))
    }

    /// Opens the account of a client; `None` when its connection is refused.
    pub(super) fn open(&self, address: SocketAddr) -> Option<Account> {
        let mut state = self.lock();
        let opened = state.budget.open(Origin::Caller, BootClock.now());
        state.close(&opened.closed);
        let peer = opened.peer?;
        let (sender, notice) = channel::bounded(1);
        state.notices.insert(peer, sender);
        Some(Account(Arc::new(Owner { ledger: self.clone(), peer, address, notice })))
    }

    /// Number of clients that have not left anything unfinished.
    pub(super) fn finished(&self) -> usize {
        self.lock().budget.finished()
    }

    /// Logs that the client at `address` was refused or closed, with a bounded number of lines.
    pub(super) fn log_limited(&self, address: SocketAddr, reason: &str) {
        let now = BootClock.now();
        let mut state = self.lock();
        if state.logged.is_some_and(|logged| now.since(logged) < LOG_INTERVAL) {
            state.suppressed += 1;
            return;
        }
        state.logged = Some(now);
        let others = std::mem::take(&mut state.suppressed);
        drop(state);
        spdlog::warn!(
            "entry: closed the connection of {address}: {reason} ({others} others before)"
        );
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Account of one client; clones share it. It is closed when the last clone is dropped.
#[derive(Debug, Clone)]
pub(super) struct Account(Arc<Owner>);

#[derive(Debug)]
struct Owner {
    ledger: Ledger,
    peer: PeerId,
    address: SocketAddr,
    notice: Receiver<()>,
}

impl Drop for Owner {
    fn drop(&mut self) {
        let mut state = self.ledger.lock();
        state.budget.close(self.peer);
        state.notices.remove(&self.peer);
    }
}

impl Account {
    /// Records what the client is doing.
    pub(super) fn set_activity(&self, activity: Activity) {
        self.0.ledger.lock().budget.set_activity(self.0.peer, activity, BootClock.now());
    }

    /// Logs that the client is closed.
    pub(super) fn log_limited(&self, reason: &str) {
        self.0.ledger.log_limited(self.0.address, reason);
    }

    /// Completes when the client has to be closed.
    pub(super) async fn closed(&self) {
        // No message is sent; the channel is closed.
        let _ = self.0.notice.recv().await;
    }

    /// A charge of no bytes.
    pub(super) fn empty_charge(&self) -> Charge {
        Charge { account: self.clone(), bytes: 0 }
    }
}

/// Bytes that are charged to an account until the value is dropped.
#[derive(Debug)]
pub(super) struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Account that is charged.
    pub(super) const fn account(&self) -> &Account {
        &self.account
    }

    /// Changes the number of bytes; returns whether the instance has memory for them.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let Owner { ledger, peer, .. } = &*self.account.0;
        let mut state = ledger.lock();
        if bytes <= self.bytes {
            state.budget.release(*peer, self.bytes - bytes);
        } else {
            let charged = state.budget.charge(*peer, bytes - self.bytes, BootClock.now());
            state.close(&charged.closed);
            if !charged.granted {
                return false;
            }
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}
