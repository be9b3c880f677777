//! An instance's copy of the configuration, and the proof of its age.
//!
//! The store gives each object the global revision of its last change as its version. A view applies a change only
//! when its version is higher than the one held, and keeps deletions, so an object never returns to an older version.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     clock::Instant,
//!     config::{Change, Changes, ConfigView, Kind},
//!     name::MemberId,
//!     database::UpstreamState,
//! };
//!
//! let mut view = ConfigView::default();
//! let leaving = Change::put(Kind::Upstream, "padron-1", 7, r#"{"state":"leaving"}"#);
//! let stale = Change::put(Kind::Upstream, "padron-1", 6, r#"{"state":"live"}"#);
//! view.apply(leaving).unwrap();
//! view.apply(stale).unwrap();
//! assert_eq!(view.upstream(&MemberId::new("padron-1")), UpstreamState::Leaving);
//! ```

mod change;
mod freshness;
mod validity;
mod view;

pub use self::{
    change::{Change, Changes, InvalidObject, Kind, ParseKindError},
    freshness::Freshness,
    validity::{ConfigValidity, FreshnessPolicy},
    view::{Applied, BatchOutcome, ConfigView},
};
