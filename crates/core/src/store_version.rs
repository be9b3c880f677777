//! Versions of objects in a store that may be restored from an older copy.
//!
//! After a restore, revisions go back and are assigned again. The store counts its restores in the era, so that versions
//! are ordered by era first.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::store_version::StoreVersion;
//!
//! let before_restore = StoreVersion::new(1, 530);
//! let after_restore = StoreVersion::new(2, 521);
//! assert!(after_restore > before_restore);
//! assert_eq!(after_restore.to_string(), "2:521");
//! ```

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of an object or of the whole store: the era of the store, and the revision in it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Number of times the store was restored from an older copy; 0 for a store that does not report it.
    pub era: u64,
    /// Revision, which grows with each change within an era; 0 before the first.
    pub revision: u64,
}

impl StoreVersion {
    /// Creates the version with `revision` in `era`.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
