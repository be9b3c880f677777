//! Home regions: where the payload of a request may go.
//!
//! A route and a workspace may each name regions. A request whose route or workspace does so runs only at members in these
//! regions, and its payload passes through no instance elsewhere, except the one to which the client connected. A payload is
//! therefore kept in a [`Guarded`]. It can be taken out only with an [`InHome`], which is the proof that the region of a member
//! or an instance was checked for this payload, so that a new path cannot omit the check.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{
//!     home_region::{Guarded, HomeRegions},
//!     name::Region,
//! };
//!
//! let (north, south) = (Region::new("north"), Region::new("south"));
//! let home = HomeRegions::of(&[north.clone()].into(), &[].into());
//! let payload = Guarded::new("READ a", home.clone());
//! let member = home.check("m-1", Some(&north)).expect("it is in a home region");
//! assert_eq!(payload.open(&member), Some(&"READ a"));
//! assert!(home.check("m-2", Some(&south)).is_err());
//! ```

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::Region;

/// Regions in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRegions(Option<Arc<BTreeSet<Region>>>);

impl HomeRegions {
    /// No restriction.
    pub const ANYWHERE: Self = Self(None);

    /// The home regions of a request, from those of its route and its workspace. An empty set is no restriction; where both
    /// name regions, both restrictions apply, and none may be left.
    pub fn of(route: &BTreeSet<Region>, workspace: &BTreeSet<Region>) -> Self {
        let allowed = match (route.is_empty(), workspace.is_empty()) {
            (true, true) => return Self::ANYWHERE,
            (false, true) => route.clone(),
            (true, false) => workspace.clone(),
            (false, false) => route.intersection(workspace).cloned().collect(),
        };
        Self(Some(Arc::new(allowed)))
    }

    /// Whether the request may run anywhere.
    pub const fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// The regions that are allowed; `None` when all are.
    pub fn regions(&self) -> Option<&BTreeSet<Region>> {
        self.0.as_deref()
    }

    /// Whether a region is a home region. An unknown region is none.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        self.0.as_ref().is_none_or(|allowed| region.is_some_and(|region| allowed.contains(region)))
    }

    /// Checks the region of a member or an instance that is to get the payload.
    ///
    /// # Errors
    ///
    /// The region is no home region, or is not known.
    pub fn check<D>(&self, destination: D, region: Option<&Region>) -> Result<InHome<D>, Outside> {
        if self.allows(region) {
            Ok(InHome { destination, checked: self.clone() })
        } else {
            Err(Outside)
        }
    }
}

/// The region of a member or an instance is no home region of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "its region is not among the home regions of the request; see allowed_regions in the configuration"
)]
pub struct Outside;

/// Proof that a member or an instance may get the payloads of requests with certain home regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InHome<D> {
    destination: D,
    /// Home regions for which the region of the destination was checked.
    checked: HomeRegions,
}

impl<D> InHome<D> {
    /// The member or instance.
    pub const fn destination(&self) -> &D {
        &self.destination
    }
}

/// A payload that can be taken out only for a member or an instance whose region was checked.
#[derive(Debug, Clone)]
pub struct Guarded<T> {
    content: T,
    home: HomeRegions,
}

impl<T> Guarded<T> {
    /// Guards the payload of a request with these home regions.
    pub const fn new(content: T, home: HomeRegions) -> Self {
        Self { content, home }
    }

    /// The home regions of the request.
    pub const fn home(&self) -> &HomeRegions {
        &self.home
    }

    /// The payload, for the destination of `proof`; `None` when the destination was checked for other home regions.
    pub fn open<D>(&self, proof: &InHome<D>) -> Option<&T> {
        (proof.checked == self.home).then_some(&self.content)
    }

    /// A payload of the same request.
    pub fn with<U>(&self, content: U) -> Guarded<U> {
        Guarded { content, home: self.home.clone() }
    }
}
