//! Evacuation of data centres: which members may get client statements while the operator wants a data centre to be empty.
//!
//! An evacuation has to stop the work at all instances within a bound, although the instances learn of it at different times,
//! restart, and may read it from a store that has lost it ([`StoreVersion`] explains the era of a store). The rule has four
//! parts:
//!
//! - A replica in an evacuated data centre gets no new work. A primary there gets what only it can run for three quarters of
//!   the bound, if a member elsewhere can replace it; the rest of the bound is for statements that are on their way.
//! - An instance that starts during an evacuation does not know for how long the work has been allowed. It gives the primary
//!   none until another instance tells it.
//! - Open transactions go on for the time that a draining member has.
//! - An evacuation that is known from an earlier era of the store stays in force until the operator has had time to write it
//!   again.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     evacuation::{EvacuatedSet, Evacuations, Service},
//!     store_version::StoreVersion,
//! };
//!
//! let start = Instant::default();
//! let mut evacuations = Evacuations::new(Duration::from_secs(4));
//! evacuations.replace(EvacuatedSet::new(StoreVersion::new(0, 7), []), start);
//! evacuations.replace(EvacuatedSet::new(StoreVersion::new(0, 8), ["north".into()]), start);
//! let north = "north".into();
//! assert_eq!(evacuations.service(&north, false, true, start), Service::None);
//! assert_eq!(evacuations.service(&north, true, true, start), Service::OnlyRequired);
//! let later = start.plus(Duration::from_secs(3));
//! assert_eq!(evacuations.service(&north, true, true, later), Service::None);
//! ```

mod notice;
mod promotion;
mod set;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::{
    notice::{Notice, NoticeEntry},
    promotion::{PromotionMember, excluded_members},
    set::EvacuatedSet,
};
use crate::{
    clock::Instant, name::DataCentre, store_era::REWRITE_TIME, store_version::StoreVersion,
};

/// Part of the bound for which a primary still gets work, as numerator and denominator. The rest is for the way of the
/// request to the instances, and for statements that were sent at the end of this time.
const PRIMARY_PART: (u32, u32) = (3, 4);
/// Least time left of an evacuation from an earlier era for which it is taken over from another instance. Without it, two
/// instances could take over the last moments of an evacuation from each other for ever.
const MIN_TAKEN_OVER: Duration = Duration::from_millis(1000);
/// Time after a failed call to the store in which another instance may still send the set to an instance that starts; two
/// rounds of messages.
const MESSAGE_WAIT: Duration = Duration::from_millis(600);

/// Which new work a member may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Any.
    Any,
    /// Only what no member elsewhere can run.
    OnlyRequired,
    /// None.
    None,
}

/// A change of the data centres that are evacuated, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The data centre is evacuated from now on.
    Begun(DataCentre),
    /// The store was restored from a copy without this evacuation, which stays in force for a while.
    Kept(DataCentre),
    /// The data centre is no longer evacuated.
    Ended(DataCentre),
}

/// An evacuation in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct InForce {
    /// When this instance or another one learned of it; `None` when it was in force before any known instance started.
    since: Option<Instant>,
    /// Until when it stays in force although the store, which was restored, does not have it; `None` while it has.
    kept_until: Option<Instant>,
}

/// The evacuations that one instance knows.
#[derive(Debug, Clone)]
pub struct Evacuations {
    bound: Duration,
    /// Version of the set; `None` until the first one is known.
    version: Option<StoreVersion>,
    in_force: BTreeMap<DataCentre, InForce>,
    /// Data centres whose evacuation was withdrawn in the present era, and which are therefore not taken over from instances
    /// that keep it.
    withdrawn: BTreeSet<DataCentre>,
    /// When a call to the store first failed while no set was known.
    store_failed_at: Option<Instant>,
}

impl Evacuations {
    /// Creates the state of an instance that knows no set. `bound` is the time from the operator's request until no statement
    /// reaches a member of the data centre.
    pub const fn new(bound: Duration) -> Self {
        Self {
            bound,
            version: None,
            in_force: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            store_failed_at: None,
        }
    }

    /// Version of the set that is in force; `None` before the first.
    pub const fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_failed_at.get_or_insert(now);
    }

    /// Whether the instance may serve clients: it knows the set, or neither the store nor another instance has answered.
    pub fn may_serve(&self, now: Instant) -> bool {
        let is_alone = |failed_at| now.since(failed_at) >= MESSAGE_WAIT;
        self.version.is_some() || self.store_failed_at.is_some_and(is_alone)
    }

    /// Puts a set from the store in force, unless a newer one is known.
    pub fn replace(&mut self, set: EvacuatedSet, now: Instant) -> Vec<Change> {
        self.apply(set, &|_| None, now)
    }

    /// Puts the set of another instance in force, unless a newer one is known. `told_at` is a time before which the notice was
    /// not sent; `None` when no such time is known.
    pub fn notified(
        &mut self,
        notice: &Notice,
        told_at: Option<Instant>,
        now: Instant,
    ) -> Vec<Change> {
        let since = |data_centre: &DataCentre| notice.since(data_centre, told_at);
        let mut changes = self.apply(notice.set(), &since, now);
        // An evacuation that was in force at the start of this process may have begun while another one ran.
        for (data_centre, in_force) in &mut self.in_force {
            in_force.since = in_force.since.or_else(|| since(data_centre));
        }
        if self.version.map(|version| version.era) == Some(notice.version.era) {
            changes.extend(self.take_over_kept(notice, &since, now));
        }
        changes
    }

    fn apply(
        &mut self,
        set: EvacuatedSet,
        since: &dyn Fn(&DataCentre) -> Option<Instant>,
        now: Instant,
    ) -> Vec<Change> {
        if self.version.is_some_and(|known| known >= set.version) {
            return Vec::new();
        }
        let is_first = self.version.is_none();
        let is_restored = self.version.is_some_and(|known| known.era < set.version.era);
        if is_restored {
            self.withdrawn.clear();
        }
        let mut changes = Vec::new();
        let kept_until = now.plus(REWRITE_TIME + self.bound);
        self.in_force.retain(|data_centre, in_force| {
            if set.contains(data_centre) {
                in_force.kept_until = None;
                return true;
            }
            if is_restored {
                in_force.kept_until = Some(kept_until);
                changes.push(Change::Kept(data_centre.clone()));
                return true;
            }
            let is_kept = in_force.kept_until.is_some_and(|until| now < until);
            if !is_kept {
                changes.push(Change::Ended(data_centre.clone()));
                self.withdrawn.insert(data_centre.clone());
            }
            is_kept
        });
        for data_centre in set.data_centres {
            self.withdrawn.remove(&data_centre);
            self.in_force.entry(data_centre).or_insert_with_key(|data_centre| {
                changes.push(Change::Begun(data_centre.clone()));
                let since = since(data_centre).or((!is_first).then_some(now));
                InForce { since, kept_until: None }
            });
        }
        self.version = Some(set.version);
        changes
    }

    fn take_over_kept(
        &mut self,
        notice: &Notice,
        since: &dyn Fn(&DataCentre) -> Option<Instant>,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for (data_centre, left) in notice.kept() {
            let is_known = self.in_force.contains_key(data_centre);
            if is_known || self.withdrawn.contains(data_centre) || left < MIN_TAKEN_OVER {
                continue;
            }
            let in_force = InForce { since: since(data_centre), kept_until: Some(now.plus(left)) };
            self.in_force.insert(data_centre.clone(), in_force);
            changes.push(Change::Kept(data_centre.clone()));
        }
        changes
    }

    /// Ends an evacuation that was withdrawn, as a change in the store shows, so that a new request for it starts anew.
    pub fn withdraw(&mut self, data_centre: &DataCentre) -> Option<Change> {
        self.withdrawn.insert(data_centre.clone());
        self.in_force.remove(data_centre).map(|_| Change::Ended(data_centre.clone()))
    }

    /// Ends the evacuations from an earlier era whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let is_over = |in_force: &InForce| in_force.kept_until.is_some_and(|until| now >= until);
        let mut ended = Vec::new();
        self.in_force.retain(|data_centre, in_force| {
            if is_over(in_force) {
                ended.push(Change::Ended(data_centre.clone()));
            }
            !is_over(in_force)
        });
        ended
    }

    /// Whether the data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.in_force.contains_key(data_centre)
    }

    /// The evacuated data centres, by name.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.in_force.keys()
    }

    /// Whether the evacuation is in force although the store does not have it.
    pub fn is_kept(&self, data_centre: &DataCentre) -> bool {
        self.in_force.get(data_centre).is_some_and(|in_force| in_force.kept_until.is_some())
    }

    /// Number of evacuations that are in force although the store does not have them.
    pub fn kept(&self) -> usize {
        self.in_force.values().filter(|in_force| in_force.kept_until.is_some()).count()
    }

    /// Time for which the data centre has been evacuated, as far as it is known; `None` when it is not evacuated.
    pub fn evacuated_for(&self, data_centre: &DataCentre, now: Instant) -> Option<Duration> {
        let in_force = self.in_force.get(data_centre)?;
        Some(in_force.since.map_or(self.bound, |since| now.since(since)))
    }

    /// The new work that a member in the data centre may get. `has_successor` is whether a member elsewhere can replace it.
    pub fn service(
        &self,
        data_centre: &DataCentre,
        is_primary: bool,
        has_successor: bool,
        now: Instant,
    ) -> Service {
        let Some(evacuated_for) = self.evacuated_for(data_centre, now) else { return Service::Any };
        let (numerator, denominator) = PRIMARY_PART;
        let is_in_time = evacuated_for < self.bound * numerator / denominator;
        if is_primary && has_successor && is_in_time {
            Service::OnlyRequired
        } else {
            Service::None
        }
    }

    /// Whether open transactions at members of the data centre end now; `drain` is the time that a draining member has.
    pub fn ends_transactions(
        &self,
        data_centre: &DataCentre,
        drain: Duration,
        now: Instant,
    ) -> bool {
        let since = self.in_force.get(data_centre).map(|in_force| in_force.since);
        // A process that does not know the beginning has begun no transaction before it.
        since.flatten().is_some_and(|since| now.since(since) >= drain)
    }

    /// What other instances are told; `None` before a set is known.
    pub fn notice(&self, now: Instant) -> Option<Notice> {
        let entries = self.in_force.iter().map(|(data_centre, in_force)| {
            let age = in_force.since.map(|since| now.since(since));
            let kept_for = in_force.kept_until.map(|until| until.since(now));
            NoticeEntry::new(data_centre.clone(), age, kept_for)
        });
        Some(Notice { version: self.version?, entries: entries.collect() })
    }
}
