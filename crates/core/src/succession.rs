//! Decides which instance acts when the hubs of its region are lost, or are there and cannot act.
//!
//! The hubs of a region are the first unreplaced instances in an order that all instances compute from the registrations
//! ([`Topology`](crate::topology::Topology)). The others are stand-ins in pairs, in the same order. One rule passes the
//! duties of hubs on: when those before have not acted in time, it is the turn of one pair after the other, and who
//! succeeds in its turn goes on.
//!
//! - Hubs that no message comes from are replaced by a mark on their registrations, which the store grants to one writer.
//!   So are hubs that have lost the store for long while a stand-in has it.
//! - While no hub has the store, a stand-in reads it, and the hubs get from it what they cannot read.
//!
//! A hub cannot tell whether the others are lost or only cut off, and neither can its successor. So while either is
//! possible, the allowances that accrue at a hub are reduced to the part of the instances that it hears: two sets of hubs
//! that do not hear each other share an allowance and do not spend it twice.
//!
//! The load: a fleet of hundreds of instances loses its hubs at once, and the others neither read the store all at once nor
//! wait for a hub to remove them.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     succession::{Place, Succession, TAKEOVER_TIME, TakeoverCause},
//! };
//!
//! let start = Instant::default();
//! let mut succession = Succession::default();
//! let place = Place { pair: 0, pairs: 5 };
//! let lost = ["hub-1".into(), "hub-2".into()];
//! succession.observe(&lost, false, start);
//! assert_eq!(succession.takeover(&lost, place, start), None);
//! let mut now = start;
//! while now.since(start) < TAKEOVER_TIME {
//!     now = now.plus(Duration::from_millis(500));
//!     succession.observe(&lost, false, now);
//! }
//! assert_eq!(succession.takeover(&lost, place, now), Some(TakeoverCause::Silent));
//! ```

use std::time::Duration;

use crate::{clock::Instant, name::InstanceId};

/// Age of the latest contact of a hub with the store after which a stand-in reads the store. A hub with short watches
/// has contact every 2 s.
pub const STORE_STALE: Duration = Duration::from_millis(3500);
/// Time without a message of any hub of the region after which a pair of stand-ins may replace them. Longer than the
/// partitions that a region is expected to bridge without new hubs.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(6);
/// Time without contact of any hub with the store after which a stand-in that has contact replaces them.
pub const STORE_LOSS_TIME: Duration = Duration::from_secs(12);
/// Time for which a stand-in has had contact with the store before it replaces hubs that have not.
const STEADY_CONTACT: Duration = Duration::from_secs(3);
/// Time that a pair of stand-ins has before it is the next one's turn.
pub const TURN: Duration = Duration::from_secs(1);
/// Time between two observations after which this process counts as frozen meanwhile.
pub const FREEZE: Duration = Duration::from_secs(3);
/// Time without an expected message after which an instance no longer counts as heard.
pub const UNHEARD_AFTER: Duration = Duration::from_secs(3);
/// Time for which a replaced instance gets messages of other hubs before it asks to be a hub again.
pub const RETURN_TIME: Duration = Duration::from_secs(30);

/// Age from which a contact is not told: it makes no difference to the receiver.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(15);

/// Place of a stand-in among those of its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of the pair, from 0.
    pub pair: usize,
    /// Number of pairs.
    pub pairs: usize,
}

impl Place {
    /// Whether it is this pair's turn when the first pair's turn began `elapsed` ago. After the last pair the first one
    /// follows.
    fn is_turn(self, elapsed: Duration) -> bool {
        let turns = elapsed.as_millis() / TURN.as_millis();
        turns % self.pairs.max(1) as u128 == self.pair as u128
    }
}

/// Why hubs are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverCause {
    /// No message comes from any of them.
    Silent,
    /// None of them has the store.
    NoStore,
}

impl TakeoverCause {
    /// Name of the cause in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NoStore => "no_store",
        }
    }
}

/// Ages of contacts with the store, as one instance tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ContactAges {
    /// Age of the latest contact of any hub; `None` when none is known.
    pub hubs: Option<Duration>,
    /// Age of the latest contact of any instance; `None` when none is known.
    pub any: Option<Duration>,
}

/// What an instance knows about the hubs of its region and about contacts with the store.
#[derive(Debug, Clone, Default)]
pub struct Succession {
    /// The hubs of the region.
    hubs: Vec<InstanceId>,
    /// Since when no message has come from any of `hubs`; `None` while one is live.
    silent_since: Option<Instant>,
    /// Since when at least one of `hubs` has been live; `None` while none is.
    live_since: Option<Instant>,
    observed_at: Option<Instant>,
    /// When the first observation was made, or the first one after a freeze of this process.
    observing_since: Option<Instant>,
    /// Latest contacts with the store: of this instance, of hubs, and of any instance.
    own_contact: Option<Instant>,
    hub_contact: Option<Instant>,
    any_contact: Option<Instant>,
    /// Begin of the contact of this instance that has lasted since.
    contact_since: Option<Instant>,
    /// Whether another instance has told its contacts; one of an earlier version never does.
    is_told: bool,
}

impl Succession {
    /// Records the hubs of the region other than this instance, and whether a message of one of them came lately. To be
    /// called at least once a second. Returns whether this process was frozen since the last call.
    pub fn observe(&mut self, hubs: &[InstanceId], any_live: bool, now: Instant) -> bool {
        let frozen = self.observed_at.is_some_and(|last| now.since(last) >= FREEZE);
        self.observed_at = Some(now);
        self.observing_since.get_or_insert(now);
        if frozen || self.hubs != hubs {
            // Others may have acted meanwhile, and new hubs have not been heard yet.
            self.silent_since = None;
            self.live_since = None;
            hubs.clone_into(&mut self.hubs);
        }
        if frozen {
            self.observing_since = Some(now);
        }
        if any_live {
            self.silent_since = None;
            self.live_since.get_or_insert(now);
        } else {
            self.live_since = None;
            self.silent_since.get_or_insert(now);
        }
        frozen
    }

    /// Records that the store answered a call of this instance; `is_hub` is whether it is a hub.
    pub fn record_contact(&mut self, is_hub: bool, now: Instant) {
        if self.own_contact.is_none_or(|last| now.since(last) >= STORE_STALE) {
            self.contact_since = Some(now);
        }
        self.own_contact = Some(now);
        self.any_contact = self.any_contact.max(Some(now));
        if is_hub {
            self.hub_contact = self.hub_contact.max(Some(now));
        }
    }

    /// Records the contacts that a message tells. `sent` is a time on this instance's clock before which the message was
    /// not sent.
    pub fn record_told(&mut self, ages: ContactAges, sent: Instant) {
        self.is_told = true;
        self.hub_contact = self.hub_contact.max(ages.hubs.map(|age| sent.minus(age)));
        self.any_contact = self.any_contact.max(ages.any.map(|age| sent.minus(age)));
    }

    /// What a message of this instance tells. An instance that is no hub tells its own contacts only, since it has learned
    /// all others from hubs.
    pub fn contact_ages(&self, is_hub: bool, now: Instant) -> ContactAges {
        let age = |contact: Option<Instant>| {
            contact.map(|contact| now.since(contact)).filter(|age| *age < FORGOTTEN_AFTER)
        };
        if is_hub {
            ContactAges { hubs: age(self.hub_contact), any: age(self.any_contact) }
        } else {
            ContactAges { hubs: None, any: age(self.own_contact) }
        }
    }

    /// Whether a hub, this one or another, had contact with the store lately.
    pub fn do_hubs_have_store(&self, now: Instant) -> bool {
        is_fresh(self.hub_contact, now)
    }

    /// Time since the latest contact of a hub, or since this instance began to observe if that was later.
    fn store_lost_for(&self, now: Instant) -> Duration {
        let since = self.hub_contact.max(self.observing_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether the stand-in at `place` reads the store in place of the hubs: in its turn, and for as long as it has contact
    /// while hubs are live. `false` for a hub, which has no place.
    pub fn reads_store(&self, place: Option<Place>, now: Instant) -> bool {
        let lost_for = self.store_lost_for(now);
        let may_have_store = self.live_since.is_some() && !self.is_told;
        if place.is_none() || lost_for < STORE_STALE || may_have_store {
            return false;
        }
        // Without a live hub the stand-ins do not learn from each other who reads the store.
        if is_fresh(self.own_contact, now) && self.live_since.is_some() {
            return true;
        }
        let is_turn =
            place.is_some_and(|place| place.is_turn(lost_for.saturating_sub(STORE_STALE)));
        is_turn && !is_fresh(self.any_contact, now)
    }

    /// Why the stand-in at `place` replaces `hubs`, those of its region, now; `None` when it does not. Hubs that were not
    /// observed yet have their time first.
    pub fn takeover(
        &self,
        hubs: &[InstanceId],
        place: Place,
        now: Instant,
    ) -> Option<TakeoverCause> {
        if self.hubs != hubs {
            return None;
        }
        let silent = self.silent_since.map_or(Duration::ZERO, |since| now.since(since));
        if silent >= TAKEOVER_TIME && place.is_turn(silent.saturating_sub(TAKEOVER_TIME)) {
            return Some(TakeoverCause::Silent);
        }
        let lasts =
            |since: Option<Instant>, time| since.is_some_and(|since| now.since(since) >= time);
        let has_store =
            lasts(self.contact_since, STEADY_CONTACT) && is_fresh(self.own_contact, now);
        // New hubs have their time as well.
        let have_lost_store = self.is_told
            && lasts(self.live_since, STORE_LOSS_TIME)
            && self.store_lost_for(now) >= STORE_LOSS_TIME;
        (has_store && have_lost_store).then_some(TakeoverCause::NoStore)
    }

    /// Whether hubs have been live for long enough that a replaced instance may ask to be a hub again.
    pub fn may_return(&self, now: Instant) -> bool {
        self.live_since.is_some_and(|since| now.since(since) >= RETURN_TIME)
    }

    /// Number of pairs of stand-ins that may have replaced the hubs by now, so that an instance without hubs sends them
    /// messages.
    pub fn pairs_to_ask(&self, pairs: usize, now: Instant) -> usize {
        let silent = self.silent_since.map_or(Duration::ZERO, |since| now.since(since));
        let Some(elapsed) = silent.checked_sub(TAKEOVER_TIME) else { return 0 };
        let turns = 1 + elapsed.as_millis() / TURN.as_millis();
        usize::try_from(turns).unwrap_or(usize::MAX).min(pairs)
    }
}

fn is_fresh(contact: Option<Instant>, now: Instant) -> bool {
    contact.is_some_and(|contact| now.since(contact) < STORE_STALE)
}

/// What a hub knows about whether other hubs may act in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Number of other instances whose regular messages are expected.
    pub expected: usize,
    /// Number of them that were heard lately.
    pub heard: usize,
    /// Whether the registrations have a replaced instance of the region that is silent; it may still act where it is.
    pub has_silent_replaced: bool,
    /// Whether a hub in touch with this one has the store, which tells it when it is replaced.
    pub has_store: bool,
    /// Whether this process was frozen or heard less than half of the others, and has not listed the registrations since.
    pub is_doubted: bool,
}

impl Reach {
    /// Whether the hub hears less than half of the fleet, so that the others may have replaced it.
    pub const fn is_minority(self) -> bool {
        2 * (1 + self.heard) < 1 + self.expected
    }

    /// Part of the hub's allowances that accrues, from 0 to 1.
    pub fn part(self) -> f64 {
        let (expected, heard) = (1 + self.expected, 1 + self.heard.min(self.expected));
        let is_sole = self.has_store && !self.is_doubted && !self.has_silent_replaced;
        if is_sole { 1.0 } else { heard as f64 / expected as f64 }
    }
}
