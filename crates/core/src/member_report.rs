//! Order of the entries that a member writes into a store which may be restored from an older copy.
//!
//! After a restore the store has entries again that were replaced or removed before: a draining member looks ready, and
//! a member that has left looks present, until the next report. Members number their reports, so that such an entry is
//! recognised by its number and changes nothing.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::member_report::{KnownReport, MemberReport};
//!
//! let known = KnownReport::new(MemberReport { born: 1_000, sequence: 7 }, 1);
//! let restored = MemberReport { born: 1_000, sequence: 5 };
//! assert!(!known.is_replaced_by(restored, 2));
//! assert!(known.is_replaced_by(MemberReport { sequence: 8, ..restored }, 2));
//! ```

/// Number of a report among all reports of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct MemberReport {
    /// Start of the member's process, in Unix milliseconds; 0 when the entry does not state it.
    pub born: u64,
    /// Number of the report since that start.
    pub sequence: u64,
}

/// The newest report of a member that an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownReport {
    report: MemberReport,
    /// Era of the store in which the entry was read, or found missing.
    era: u64,
    is_missing: bool,
}

impl KnownReport {
    /// Creates the state of a member whose entry was read in `era`.
    pub const fn new(report: MemberReport, era: u64) -> Self {
        Self { report, era, is_missing: false }
    }

    /// Records that the entry is missing in `era`.
    pub const fn set_missing(&mut self, era: u64) {
        if !self.is_missing {
            self.is_missing = true;
            self.era = era;
        }
    }

    /// Whether an entry with `report` that was read in `era` is used in place of the known one.
    ///
    /// A store of era 0 was never restored, so its order holds. So it does for members that do not state their start, whose
    /// numbers begin again at each start.
    pub fn is_replaced_by(&self, report: MemberReport, era: u64) -> bool {
        if era == 0 || report.born == 0 || self.report.born == 0 {
            return true;
        }
        let is_removed_before = self.is_missing && self.era < era;
        report > self.report || report == self.report && !is_removed_before
    }
}
