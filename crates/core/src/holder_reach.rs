//! Decides whether calls to a member go through its holders or through standby instances.
//!
//! Handles a member that its holders cannot reach although other instances can: a partition that separates it from the
//! data centres of the holders. Only the word of all holders counts, because one holder may itself be cut off or stopping.
//! While calls go through standby instances, one call in each interval tries the holders again.
//!
//! # Example
//!
//! ```
//! use hibiscusladder_core::{clock::Instant, holder_reach::{HolderReach, Path}};
//!
//! let now = Instant::default();
//! let holders = ["i-1".into(), "i-2".into()];
//! let mut reach = HolderReach::default();
//! reach.record_unreachable(&holders[0], now);
//! assert_eq!(reach.path(&holders, now), Path::Holders);
//! reach.record_unreachable(&holders[1], now);
//! assert_eq!(reach.path(&holders, now), Path::Standbys);
//! ```

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, name::InstanceId};

/// Time between two calls that try the holders while calls go through standby instances. A call that finds them still cut
/// off is delayed by the time limits of its connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after which a report of a holder no longer counts, when no call has followed it.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Instances through which a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The holders of the member.
    Holders,
    /// The standby instances of the member.
    Standbys,
}

/// Reports of the holders of one member that they cannot reach it.
#[derive(Debug, Clone, Default)]
pub struct HolderReach {
    /// Latest report of each holder.
    reported: BTreeMap<InstanceId, Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Instant,
    /// When the holder was last tried.
    tried_at: Instant,
}

impl HolderReach {
    /// Records that `holder` reported that it cannot reach the member.
    pub fn record_unreachable(&mut self, holder: &InstanceId, now: Instant) {
        self.reported.insert(holder.clone(), Report { at: now, tried_at: now });
    }

    /// Records that the member answered through `holder`.
    pub fn record_answer(&mut self, holder: &InstanceId) {
        self.reported.remove(holder);
    }

    /// Whether `holder` has just reported that it cannot reach the member.
    pub fn is_cut_off(&self, holder: &InstanceId, now: Instant) -> bool {
        self.reported.get(holder).is_some_and(|report| now.since(report.at) < PROBE_INTERVAL)
    }

    /// The path of a call that is made now. A call to the holders that is due as a probe is given to one caller only.
    pub fn path(&mut self, holders: &[InstanceId], now: Instant) -> Path {
        self.reported.retain(|holder, report| {
            holders.contains(holder) && now.since(report.at) < REPORT_LIFETIME
        });
        if holders.is_empty() || self.reported.len() < holders.len() {
            return Path::Holders;
        }
        let tried_at = self.reported.values().map(|report| report.tried_at).max();
        if tried_at.is_some_and(|tried_at| now.since(tried_at) < PROBE_INTERVAL) {
            return Path::Standbys;
        }
        for report in self.reported.values_mut() {
            report.tried_at = now;
        }
        Path::Holders
    }
}
