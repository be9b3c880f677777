//! Account of what the peers of an instance hold, and the notices to those that have to be closed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use event_listener::Event as Notify;
use hibiscusladder_core::{
    budget::{Activity, Budget, Limits, Origin, PeerId},
    clock::Clock,
};
use hibiscusladder_io::clock::BootClock;
use smol::{future::FutureExt, net::TcpStream};

use crate::{adapter::PortError, events, metrics::Metrics};

/// Limit that a peer has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Limit {
    /// Bytes of all peers together.
    Memory,
    /// Connections that peers have opened.
    Connections,
    /// Time for the first message.
    FirstMessage,
    /// Time for a whole message.
    Message,
    /// Time for which an answer waits for its reader.
    Answer,
    /// Values and prepared statements of a session.
    SessionState,
    /// Length of an answer of a member.
    AnswerSize,
}

impl Limit {
    /// Name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::FirstMessage => "first_message",
            Self::Message => "message",
            Self::Answer => "answer",
            Self::SessionState => "session_state",
            Self::AnswerSize => "answer_size",
        }
    }

    /// What a peer that reaches the limit can do.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::AnswerSize => "an answer of a member is too long; read less at once",
            Self::Memory => {
                "the instance has no memory for it; send less at once, or raise limits.memory_mb"
            }
            Self::Connections => {
                "too many connections are open; close some, or raise limits.max_fds"
            }
            Self::FirstMessage => {
                "the first message took too long; send it when the connection is open"
            }
            Self::Message => "a message took too long; send it in one piece",
            Self::Answer => "an answer was not read in time; read answers as they come",
            Self::SessionState => {
                "the values and prepared statements of the session are too large; remove some"
            }
        }
    }
}

/// Accounts of the peers of an instance; clones share them.
#[derive(Debug, Clone)]
pub struct Ledger(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    budget: RefCell<Budget>,
    metrics: Rc<Metrics>,
    notices: RefCell<BTreeMap<PeerId, Rc<Notice>>>,
}

/// Tells a peer's task that its connection has to be closed.
#[derive(Debug, Default)]
struct Notice {
    limit: Cell<Option<Limit>>,
    given: Notify,
}

impl Ledger {
    /// Creates a ledger without accounts.
    pub fn new(limits: Limits, metrics: Rc<Metrics>) -> Self {
        let budget = RefCell::new(Budget::new(limits));
        Self(Rc::new(Shared { budget, metrics, notices: RefCell::default() }))
    }

    /// Opens the account of an accepted connection; `None` when the connection is refused.
    pub fn open(&self, origin: Origin, stream: &TcpStream) -> Option<Account> {
        let address = stream.peer_addr().ok();
        let opened = self.0.budget.borrow_mut().open(origin, BootClock.now());
        self.0.close(&opened.closed, Limit::Connections);
        if opened.peer.is_none() {
            events::limited(&self.0.metrics, Limit::Connections, address);
        }
        opened.peer.map(|peer| self.account(peer, address))
    }

    /// Opens the account of a connection that has a limit of its own.
    pub fn open_reserved(&self, address: Option<SocketAddr>) -> Account {
        let peer = self.0.budget.borrow_mut().add_reserved(BootClock.now());
        self.account(peer, address)
    }

    /// Bytes that the peers hold, and the limit for them.
    pub fn bytes(&self) -> (usize, usize) {
        let budget = self.0.budget.borrow();
        (budget.used(), budget.limits().bytes)
    }

    /// Connections that peers have opened, and the limit for them.
    pub fn connections(&self) -> (usize, usize) {
        let budget = self.0.budget.borrow();
        (budget.connections(), budget.limits().connections)
    }

    fn account(&self, peer: PeerId, address: Option<SocketAddr>) -> Account {
        let notice = Rc::<Notice>::default();
        self.0.notices.borrow_mut().insert(peer, notice.clone());
        Account(Rc::new(Owner { ledger: self.0.clone(), peer, address, notice }))
    }
}

impl Shared {
    fn close(&self, peers: &[PeerId], limit: Limit) {
        let notices = self.notices.borrow();
        for notice in peers.iter().filter_map(|peer| notices.get(peer)) {
            notice.limit.set(Some(limit));
            notice.given.notify(usize::MAX);
        }
    }
}

/// Account of one peer; clones share it. It is closed when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Account(Rc<Owner>);

#[derive(Debug)]
struct Owner {
    ledger: Rc<Shared>,
    peer: PeerId,
    address: Option<SocketAddr>,
    notice: Rc<Notice>,
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.ledger.budget.borrow_mut().close(self.peer);
        self.ledger.notices.borrow_mut().remove(&self.peer);
    }
}

impl Account {
    /// Counts and logs that the peer was refused or closed because it has reached a limit.
    pub fn record_limited(&self, limit: Limit) {
        events::limited(&self.0.ledger.metrics, limit, self.0.address);
    }

    /// Records what the peer is doing.
    pub fn set_activity(&self, activity: Activity) {
        self.0.ledger.budget.borrow_mut().set_activity(self.0.peer, activity, BootClock.now());
    }

    /// A charge of no bytes.
    pub fn empty_charge(&self) -> Charge {
        Charge { account: self.clone(), bytes: 0 }
    }

    /// Awaits `future`, unless the peer has to be closed before.
    ///
    /// # Errors
    ///
    /// The error of `future`, or the limit for which the peer has to be closed.
    pub async fn unless_closed<F, T>(&self, future: F) -> Result<T, PortError>
    where
        F: Future<Output = Result<T, PortError>>,
    {
        let closed = async {
            loop {
                let given = self.0.notice.given.listen();
                if let Some(limit) = self.0.notice.limit.get() {
                    return Err(PortError::Limited(limit));
                }
                given.await;
            }
        };
        closed.or(future).await
    }
}

/// Bytes that are charged to an account until the value is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    bytes: usize,
}

impl Charge {
    /// Number of bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The account that is charged.
    pub const fn account(&self) -> &Account {
        &self.account
    }

    /// Changes the number of bytes.
    ///
    /// # Errors
    ///
    /// The instance has no memory for more bytes, or the peer has to be closed; the number stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), PortError> {
        if bytes <= self.bytes {
            self.release(bytes);
            return Ok(());
        }
        let Owner { ledger, peer, .. } = &*self.account.0;
        let charged = ledger.budget.borrow_mut().charge(*peer, bytes - self.bytes, BootClock.now());
        ledger.close(&charged.closed, Limit::Memory);
        if !charged.granted {
            return Err(PortError::Limited(Limit::Memory));
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Changes the number of bytes to that of what is in memory already.
    pub fn resize_held(&mut self, bytes: usize) {
        if bytes <= self.bytes {
            self.release(bytes);
            return;
        }
        let Owner { ledger, peer, .. } = &*self.account.0;
        let more = bytes - self.bytes;
        let closed = ledger.budget.borrow_mut().charge_held(*peer, more, BootClock.now());
        ledger.close(&closed, Limit::Memory);
        self.bytes = bytes;
    }

    fn release(&mut self, bytes: usize) {
        let Owner { ledger, peer, .. } = &*self.account.0;
        ledger.budget.borrow_mut().release(*peer, self.bytes - bytes);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(0);
    }
}
