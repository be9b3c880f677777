//! Budget of bytes and connections of one process, which all of its peers share.
//!
//! Handles peers that send or request more than the process can hold: many large messages at once, answers that nobody reads,
//! and connections that send nothing. When the budget is exceeded, peers are closed until it suffices:
//!
//! 1. peers that have not finished something (a first message, a message, the reading of an answer), the one with
//!    the largest product of bytes and time first;
//! 2. idle peers that hold more than the one that needs the bytes would hold, the largest first.
//!
//! Peers whose request is running are never closed. If this does not suffice, or the one that needs the bytes comes first in
//! this order, it is refused.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{budget::{Budget, Limits, Origin}, clock::Instant};
//!
//! let limits = Limits { bytes: 1000, connections: 10, callers: 8, connection_bytes: 0 };
//! let mut budget = Budget::new(limits);
//! let now = Instant::default();
//! let slow = budget.open(Origin::Caller, now).peer.expect("there is room");
//! assert!(budget.charge(slow, 900, now).granted);
//! let now = now.plus(Duration::from_secs(3));
//! let other = budget.open(Origin::Caller, now).peer.expect("there is room");
//! let charged = budget.charge(other, 400, now);
//! assert!(charged.granted);
//! assert_eq!(charged.closed, [slow]);
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::clock::Instant;

/// Time that is added to the age of an unfinished peer, so that the size of those that have just begun counts.
const AGE_FLOOR: Duration = Duration::from_millis(100);

/// What a process may hold for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all peers together.
    pub bytes: usize,
    /// Connections that peers may open.
    pub connections: usize,
    /// Connections of callers among them; the rest is for other peers.
    pub callers: usize,
    /// Bytes that are charged for each connection.
    pub connection_bytes: usize,
}

/// Identifies a peer of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(u64);

/// Who has opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance, or the platform.
    Other,
}

/// What a peer is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It has begun something that only it can finish: a first message, a message, or the reading of an answer.
    Unfinished,
    /// It has finished its messages and has no request.
    Idle,
    /// Its request is running.
    Running,
}

/// Result of opening a connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Opened {
    /// The new peer; `None` when it is refused.
    pub peer: Option<PeerId>,
    /// Peers whose connections have to be closed.
    pub closed: Vec<PeerId>,
}

/// Result of charging bytes.
#[derive(Debug, PartialEq, Eq)]
pub struct Charged {
    /// Whether the peer may hold the bytes. Otherwise nothing was charged.
    pub granted: bool,
    /// Peers whose connections have to be closed.
    pub closed: Vec<PeerId>,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    bytes: usize,
    activity: Activity,
    /// Start of the activity.
    since: Instant,
    /// Who has opened the connection; `None` for a connection that this process has opened.
    origin: Option<Origin>,
}

impl Peer {
    /// Product of bytes and time, by which unfinished peers are closed.
    fn weight(&self, now: Instant) -> u128 {
        let age = now.since(self.since) + AGE_FLOOR;
        self.bytes.max(1) as u128 * age.as_millis()
    }
}

/// Bytes and connections of the peers of one process.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    peers: BTreeMap<PeerId, Peer>,
    used: usize,
    connections: usize,
    callers: usize,
    next: u64,
}

impl Budget {
    /// Creates a budget without peers.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, peers: BTreeMap::new(), used: 0, connections: 0, callers: 0, next: 0 }
    }

    /// Opens a connection for a peer, which is unfinished at first. At a limit, the peer that has been unfinished for
    /// the longest time is closed for it; at the limit of callers, the caller.
    pub fn open(&mut self, origin: Origin, now: Instant) -> Opened {
        let mut closed = Vec::new();
        let at_callers = origin == Origin::Caller && self.callers >= self.limits.callers;
        if at_callers || self.connections >= self.limits.connections {
            let unfinished = self.peers.iter().filter(|(_, peer)| {
                let may_close = match peer.origin {
                    Some(Origin::Caller) => true,
                    Some(Origin::Other) => !at_callers,
                    None => false,
                };
                may_close && peer.activity == Activity::Unfinished
            });
            let longest = unfinished.min_by_key(|(_, peer)| peer.since).map(|(id, _)| *id);
            let Some(longest) = longest else { return Opened { peer: None, closed } };
            self.close(longest);
            closed.push(longest);
        }
        let peer = self.insert(Activity::Unfinished, Some(origin), now);
        let charged = self.charge(peer, self.limits.connection_bytes, now);
        closed.extend(charged.closed);
        if charged.granted {
            return Opened { peer: Some(peer), closed };
        }
        self.close(peer);
        Opened { peer: None, closed }
    }

    /// Adds a peer whose connections have a limit of their own, for example a member. It counts as running.
    pub fn add_reserved(&mut self, now: Instant) -> PeerId {
        self.insert(Activity::Running, None, now)
    }

    /// Charges more bytes to a peer. A peer that was closed is refused.
    pub fn charge(&mut self, peer: PeerId, bytes: usize, now: Instant) -> Charged {
        let mut closed = Vec::new();
        let Some(state) = self.peers.get(&peer) else { return Charged { granted: false, closed } };
        let total = state.bytes.saturating_add(bytes);
        while self.used.saturating_add(bytes) > self.limits.bytes {
            match self.heaviest(peer, total, now) {
                Some(heaviest) if heaviest != peer => {
                    self.close(heaviest);
                    closed.push(heaviest);
                }
                _ => return Charged { granted: false, closed },
            }
        }
        self.add(peer, bytes);
        Charged { granted: true, closed }
    }

    /// Charges bytes that the process already holds. Others are closed for them as far as that helps.
    pub fn charge_held(&mut self, peer: PeerId, bytes: usize, now: Instant) -> Vec<PeerId> {
        let Charged { granted, closed } = self.charge(peer, bytes, now);
        if !granted {
            self.add(peer, bytes);
        }
        closed
    }

    /// Returns bytes of a peer.
    pub fn release(&mut self, peer: PeerId, bytes: usize) {
        let Some(state) = self.peers.get_mut(&peer) else { return };
        let returned = bytes.min(state.bytes);
        state.bytes -= returned;
        self.used -= returned;
    }

    /// Records what a peer is doing. The time of an activity counts from its first record.
    pub fn set_activity(&mut self, peer: PeerId, activity: Activity, now: Instant) {
        let Some(state) = self.peers.get_mut(&peer) else { return };
        if state.activity != activity {
            state.activity = activity;
            state.since = now;
        }
    }

    /// Removes a peer with all that it holds.
    pub fn close(&mut self, peer: PeerId) {
        let Some(state) = self.peers.remove(&peer) else { return };
        self.used -= state.bytes;
        self.connections -= usize::from(state.origin.is_some());
        self.callers -= usize::from(state.origin == Some(Origin::Caller));
    }

    /// Bytes that the peers hold.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Connections that peers have opened.
    pub const fn connections(&self) -> usize {
        self.connections
    }

    /// Connections of peers that have not left anything unfinished.
    pub fn finished(&self) -> usize {
        let counted = self.peers.values().filter(|peer| peer.origin.is_some());
        counted.filter(|peer| peer.activity != Activity::Unfinished).count()
    }

    /// The limits of the budget.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// The peer to be closed first for `asking`, which is going to hold `total` bytes.
    fn heaviest(&self, asking: PeerId, total: usize, now: Instant) -> Option<PeerId> {
        let weighed = self.peers.iter().map(|(id, peer)| {
            let bytes = if *id == asking { total } else { peer.bytes };
            (*id, Peer { bytes, ..*peer })
        });
        let unfinished = weighed.clone().filter(|(_, peer)| peer.activity == Activity::Unfinished);
        // Of equal peers the one that asks is closed.
        let unfinished = unfinished.max_by_key(|(id, peer)| (peer.weight(now), *id == asking));
        let heaviest = unfinished.or_else(|| {
            let larger =
                weighed.filter(|(_, peer)| peer.activity == Activity::Idle && peer.bytes > total);
            larger.max_by_key(|(_, peer)| peer.bytes)
        });
        heaviest.map(|(id, _)| id)
    }

    fn insert(&mut self, activity: Activity, origin: Option<Origin>, now: Instant) -> PeerId {
        let id = PeerId(self.next);
        self.next += 1;
        self.peers.insert(id, Peer { bytes: 0, activity, since: now, origin });
        self.connections += usize::from(origin.is_some());
        self.callers += usize::from(origin == Some(Origin::Caller));
        id
    }

    fn add(&mut self, peer: PeerId, bytes: usize) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.bytes = state.bytes.saturating_add(bytes);
            self.used = self.used.saturating_add(bytes);
        }
    }
}
