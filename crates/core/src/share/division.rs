//! Division of a contract over the members of its databases, and earlier divisions that may still be in use.

use std::{collections::BTreeMap, hash::Hasher, time::Duration};

use siphasher::sip::SipHasher24;

use crate::{clock::Instant, config::ConfigView, contract::Contract, name::Database};

/// Time for which a replaced division may still be in use at another home.
///
/// It exceeds the sum of the 5 s for which a home serves without a new proof of its configuration and the 2 s for which
/// an answer is evidence of an outage.
pub const DIVISION_GRACE: Duration = Duration::from_secs(8);

/// Fraction of rate and burst that is usable under the home lease alone.
const ANCHOR_FRACTION: f64 = 0.3;

/// Rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limits {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may be admitted at once.
    pub capacity: f64,
}

impl Limits {
    pub(super) fn divided_by(self, count: usize) -> Self {
        let count = u32::try_from(count).map_or(f64::INFINITY, f64::from);
        if count < 1.0 {
            return Self::default();
        }
        Self { rate: self.rate / count, capacity: self.capacity / count }
    }

    fn scaled(self, factor: f64) -> Self {
        Self { rate: self.rate * factor, capacity: self.capacity * factor }
    }

    fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), capacity: self.capacity.min(other.capacity) }
    }
}

/// The part of a contract that a division assigns to one database.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DatabasePart {
    /// Anchor of each member, usable under its home lease alone.
    pub anchor: Limits,
    /// Term part of the database, to be divided over the members of the term.
    pub term: Limits,
}

impl DatabasePart {
    fn min(self, other: Self) -> Self {
        Self { anchor: self.anchor.min(other.anchor), term: self.term.min(other.term) }
    }
}

/// A contract's rate and burst, and the databases over which they are divided.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Division {
    total: Limits,
    databases: BTreeMap<Database, usize>,
}

impl Division {
    /// Creates a division of `rate` requests per second and a burst of `burst` requests, over no database yet.
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { total: Limits { rate, capacity: burst }, databases: BTreeMap::new() }
    }

    /// Adds a database with its number of members.
    #[must_use]
    pub fn database(mut self, name: Database, members: usize) -> Self {
        self.databases.insert(name, members);
        self
    }

    /// The division of `contract` over the database records in `view`; a database without a record has no part.
    pub fn of(contract: &Contract, view: &ConfigView) -> Self {
        let records = contract.databases.iter().filter_map(|name| view.database(name));
        records.fold(Self::new(contract.rate, contract.burst), |division, record| {
            division.database(record.name.clone(), record.members.len())
        })
    }

    /// Rate and burst of the contract.
    pub const fn total(&self) -> Limits {
        self.total
    }

    /// The part of one database; zero when the database is not in the division.
    pub fn part(&self, database: &Database) -> DatabasePart {
        if !self.databases.contains_key(database) {
            return DatabasePart::default();
        }
        let members = self.databases.values().sum();
        let term = self.total.scaled(1.0 - ANCHOR_FRACTION);
        DatabasePart {
            anchor: self.total.scaled(ANCHOR_FRACTION).divided_by(members),
            term: term.divided_by(self.databases.len()),
        }
    }

    /// Hash that identifies the division; homes lend to each other only when theirs are equal.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher24::new();
        hasher.write(&self.total.rate.to_bits().to_le_bytes());
        hasher.write(&self.total.capacity.to_bits().to_le_bytes());
        for (name, members) in &self.databases {
            hasher.write(&(name.as_str().len() as u64).to_le_bytes());
            hasher.write(name.as_str().as_bytes());
            hasher.write(&(*members as u64).to_le_bytes());
        }
        hasher.finish()
    }

    fn same_databases(&self, other: &Self) -> bool {
        self.databases == other.databases
    }
}

/// The current division and replaced ones that other homes may still use.
///
/// A new rate or burst applies at once; homes that have not received a lower one yet go on using the earlier one.
/// A new list of databases or members moves parts between homes, so for [`DIVISION_GRACE`] the smaller of the old
/// and the new part applies.
#[derive(Debug, Clone)]
pub struct Divisions {
    current: Division,
    replaced: Vec<ReplacedDivision>,
}

#[derive(Debug, Clone)]
struct ReplacedDivision {
    division: Division,
    until: Instant,
}

impl Divisions {
    /// Creates the history of a contract whose creation this process observed, so that no home uses another division.
    pub const fn for_new_contract(division: Division) -> Self {
        Self { current: division, replaced: Vec::new() }
    }

    /// Creates the history of a contract that existed when this process received its first configuration at `now`. The
    /// divisions that were in use before are unknown, so nothing may be used for [`DIVISION_GRACE`].
    pub fn for_existing_contract(division: Division, now: Instant) -> Self {
        let replaced =
            ReplacedDivision { division: Division::default(), until: now.plus(DIVISION_GRACE) };
        Self { current: division, replaced: vec![replaced] }
    }

    /// Records the division that arrived at `now`; a deleted contract has the division without databases.
    pub fn record(&mut self, division: Division, now: Instant) {
        self.replaced.retain(|replaced| replaced.until > now);
        let before = std::mem::replace(&mut self.current, division);
        if !before.same_databases(&self.current) {
            self.replaced
                .push(ReplacedDivision { division: before, until: now.plus(DIVISION_GRACE) });
        }
    }

    /// The division that was recorded last.
    pub const fn current(&self) -> &Division {
        &self.current
    }

    /// The part of one database that may be used at `now`.
    pub fn part(&self, database: &Database, now: Instant) -> DatabasePart {
        let replaced = self.replaced.iter().filter(|replaced| replaced.until > now);
        let parts = replaced.map(|replaced| replaced.division.part(database));
        parts.fold(self.current.part(database), DatabasePart::min)
    }

    /// Times at which the usable part changes without another event.
    pub(super) fn change_times(&self) -> impl Iterator<Item = Instant> {
        self.replaced.iter().map(|replaced| replaced.until)
    }
}
