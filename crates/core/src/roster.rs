//! Registration of an instance in the store, and how complete its list of the other instances is.
//!
//! An instance registers before it makes the list that it relies on. Of two instances that register, the later one has
//! the other in its list, and its first message makes it known to the other. Until then an instance may be unknown to
//! others, so it neither uses leadership proofs nor starts failovers, and no tokens accrue at it.
//!
//! Hubs list the registrations from the store. Other instances read a list that may be some seconds old when they
//! start, and get newer ones from their hubs, so the number of calls to the store does not grow with the square of the
//! fleet.
//!
//! A store that was restored from an older copy may lack registrations. The instances write them again, and until each has
//! had time to, lists only add instances: roles and shares of tokens stay as they are.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     roster::{FleetRole, Freshness, Listed, Roster, Step},
//!     store_version::StoreVersion,
//! };
//!
//! let now = Instant::default();
//! let mut roster = Roster::default();
//! assert_eq!(roster.next_step(FleetRole::Hub, now), Step::List(Freshness::Recent));
//! let version = StoreVersion::new(0, 7);
//! roster.listed(Listed { sent: now, freshness: Freshness::Recent, has_own: false, version }, now);
//! assert_eq!(roster.next_step(FleetRole::Hub, now), Step::Register);
//! roster.registered(StoreVersion::new(0, 8), now);
//! assert!(roster.is_registered() && !roster.is_complete(FleetRole::Hub));
//! ```

use std::{hash::Hasher, time::Duration};

use siphasher::sip::SipHasher24;

use crate::{clock::Instant, store_version::StoreVersion};

/// Time from the registration of an instance to its next list; instances that start at the same time have registered by
/// then.
pub const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Time between two lists of a hub, and of an instance whose hubs send nothing.
pub const LIST_INTERVAL: Duration = Duration::from_secs(25);
/// Time between two lists while messages of unknown instances arrive.
pub const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a restore of the store for which instances that its lists lack are kept. A live instance has registered
/// again by then; the time is that after which a silent one is removed.
pub const REGISTER_TIME: Duration = Duration::from_secs(60);
/// Time for which an instance counts as registered while the restored store lacks its registration. It is shorter than
/// [`REGISTER_TIME`], since others may have learned of the restore earlier.
const RESTORE_GRACE: Duration = Duration::from_secs(30);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Age that a list may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The list has every registration that was written before it was requested.
    Current,
    /// The list may be some seconds old.
    Recent,
}

/// Role of the instance in the fleet that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetRole {
    /// The instance decides for others, and lists the registrations itself.
    Hub,
    /// The instance gets lists from a live hub.
    Follower,
    /// The instance is no hub and no hub sends it lists, or it lists the registrations in place of the hubs.
    Orphan,
}

/// Next call of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// List the registrations, and report the result with [`Roster::listed`] or [`Roster::failed`].
    List(Freshness),
    /// Write the own registration, and report the result with [`Roster::registered`] or [`Roster::failed`].
    Register,
    /// Nothing is due before this time; `None` until something else happens.
    Wait(Option<Instant>),
}

/// A list that was read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed {
    /// When the list was requested.
    pub sent: Instant,
    /// Age that the list may have.
    pub freshness: Freshness,
    /// Whether it has the registration of this instance, as this process would write it.
    pub has_own: bool,
    /// Version of the store at which the list was read.
    pub version: StoreVersion,
}

/// Whether the own registration is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Registration {
    /// It is missing, was not read yet, or differs from the one that this process writes.
    #[default]
    Missing,
    /// It is in the store.
    Present {
        /// When this process wrote it; `None` if an earlier process did.
        written: Option<Instant>,
        /// Version of the store from which on lists have it.
        version: StoreVersion,
    },
}

/// Progress of an instance in registering and in listing the others.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    registration: Registration,
    /// Request time of the first list of any age, or when another instance sent the first one.
    known_since: Option<Instant>,
    /// The same for the latest list.
    listed_at: Option<Instant>,
    /// Whether the next list is due at once.
    urgent: bool,
    /// Request time of the latest current list that has the own registration.
    current_at: Option<Instant>,
    /// Whether a list was read that is complete enough for an instance that decides nothing for others.
    settled: bool,
    /// Whether a list was read that is complete enough for a hub.
    current: bool,
    /// When a list after a restore of the store first lacked the own registration; `None` while none does.
    lost_since: Option<Instant>,
    /// Whether the store was restored since the latest list.
    is_outdated: bool,
    /// Whether another list was asked for since the latest current one was requested.
    list_wanted: bool,
    retry_at: Instant,
    /// Whether the latest call to the store failed.
    is_failing: bool,
    version: StoreVersion,
}

impl Roster {
    /// The next call to the store.
    pub fn next_step(&self, role: FleetRole, now: Instant) -> Step {
        if now < self.retry_at {
            return Step::Wait(Some(self.retry_at));
        }
        let Some(listed_at) = self.listed_at else { return Step::List(Freshness::Recent) };
        if self.lost_since.is_some() {
            return Step::Register;
        }
        match self.registration {
            Registration::Missing => return Step::Register,
            Registration::Present { written: Some(written), .. }
                if !self.settled && listed_at < written.plus(SETTLE_TIME) =>
            {
                return list_at(written.plus(SETTLE_TIME), Freshness::Recent, now);
            }
            Registration::Present { .. } => {}
        }
        match role {
            FleetRole::Hub => match self.current_at {
                None => Step::List(Freshness::Current),
                Some(_) if self.urgent || self.is_outdated => Step::List(Freshness::Current),
                Some(current) if self.list_wanted => {
                    list_at(current.plus(MIN_LIST_INTERVAL), Freshness::Current, now)
                }
                Some(current) => list_at(current.plus(LIST_INTERVAL), Freshness::Current, now),
            },
            FleetRole::Follower => Step::Wait(None),
            FleetRole::Orphan if self.is_outdated => Step::List(Freshness::Recent),
            FleetRole::Orphan => list_at(listed_at.plus(LIST_INTERVAL), Freshness::Recent, now),
        }
    }

    /// Records a list from the store.
    pub fn listed(&mut self, listed: Listed, now: Instant) {
        self.known_since.get_or_insert(listed.sent);
        self.listed_at = Some(listed.sent);
        self.retry_at = now;
        self.is_failing = false;
        self.record_list(listed.has_own, listed.version, now);
        let Registration::Present { written, .. } = self.registration else { return };
        if written.is_some_and(|written| listed.sent < written.plus(SETTLE_TIME)) {
            return;
        }
        self.settled = true;
        if listed.freshness == Freshness::Current {
            self.current = true;
            self.current_at = Some(listed.sent);
            self.list_wanted = false;
            self.urgent = false;
        }
    }

    /// Records that the own registration was written with `version`.
    pub fn registered(&mut self, version: StoreVersion, now: Instant) {
        self.registration = Registration::Present { written: Some(now), version };
        self.lost_since = None;
        self.retry_at = now;
    }

    /// Records a list that another instance read from the store at `version` and sent; `has_own` is whether it has the
    /// registration of this instance.
    pub fn relayed(&mut self, has_own: bool, version: StoreVersion, now: Instant) {
        self.known_since.get_or_insert(now);
        self.listed_at = Some(now);
        self.record_list(has_own, version, now);
        if has_own {
            // Whoever registered after this list was made has this instance in its own list.
            self.settled = true;
            self.current = true;
        }
    }

    /// Records whether a list of `version` has the own registration.
    fn record_list(&mut self, has_own: bool, version: StoreVersion, now: Instant) {
        self.version = self.version.max(version);
        self.is_outdated = false;
        if has_own {
            self.lost_since = None;
        }
        match self.registration {
            Registration::Present { version: since, .. } if since.era < version.era => {
                if has_own {
                    self.registration = Registration::Present { written: None, version };
                } else {
                    self.lost_since.get_or_insert(now);
                    self.end_grace(now);
                }
            }
            Registration::Missing if has_own => {
                self.registration = Registration::Present { written: None, version };
            }
            Registration::Present { version: since, .. } if !has_own && version >= since => {
                self.registration = Registration::Missing;
            }
            _ => {}
        }
    }

    /// Records that a call to the store failed.
    pub fn failed(&mut self, now: Instant) {
        self.retry_at = now.plus(RETRY_DELAY);
        self.is_failing = true;
        self.end_grace(now);
    }

    /// Records that the store was restored from an older copy.
    pub const fn store_restored(&mut self) {
        self.is_outdated = true;
    }

    /// Gives up the registration that was lost for [`RESTORE_GRACE`]: others no longer count on this instance.
    fn end_grace(&mut self, now: Instant) {
        if self.lost_since.is_some_and(|since| now.since(since) >= RESTORE_GRACE) {
            self.registration = Registration::Missing;
            self.lost_since = None;
        }
    }

    /// Requests another list, because a message came from an instance that is not registered here.
    pub const fn request_list(&mut self) {
        self.list_wanted = true;
    }

    /// Requests another list at once, because a decision waits for it.
    pub const fn list_now(&mut self) {
        self.urgent = true;
    }

    /// When the first list was requested; `None` before.
    pub const fn known_since(&self) -> Option<Instant> {
        self.known_since
    }

    /// Whether the own registration is in the store, so that every later list of another instance has it, or was lost by a
    /// restore so lately that the others still count on this instance.
    pub const fn is_registered(&self) -> bool {
        matches!(self.registration, Registration::Present { .. })
    }

    /// Whether the list is complete enough for an instance that decides nothing for others.
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether the list is complete enough for `role`: others that registered before are in it, and those that register
    /// later send messages.
    pub const fn is_complete(&self, role: FleetRole) -> bool {
        match role {
            FleetRole::Hub => self.current,
            FleetRole::Follower | FleetRole::Orphan => self.settled,
        }
    }

    /// Whether the latest call to the store failed, so that a newer list has to come from another instance.
    pub const fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Whether a current list was requested at `since` or later.
    pub fn is_listed_since(&self, since: Instant) -> bool {
        self.current_at.is_some_and(|current| current >= since)
    }

    /// Version of the store of the newest list; the default before the first.
    pub const fn version(&self) -> StoreVersion {
        self.version
    }
}

fn list_at(due: Instant, freshness: Freshness, now: Instant) -> Step {
    if now < due { Step::Wait(Some(due)) } else { Step::List(freshness) }
}

/// Digest of an encoded list, SipHash-2-4 with a zero key; instances of different versions have to agree on it.
pub fn digest(encoded: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(encoded);
    hasher.finish()
}
