//! Settings of an instance, as an adapter reads them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hibiscusladder_core::{
    name::{DataCentre, InstanceId},
    share::Limits,
};

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance; a restart keeps it.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentre, Box<str>>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which readiness is asked for.
    pub readiness: SocketAddr,
    /// Address for other instances, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address for calls of other instances to the members whose connections this one holds.
    pub tunnels: SocketAddr,
    /// What the instance can carry, in thousandths of a core.
    pub capacity: u32,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Time from a request to stop until the process is killed.
    pub grace: Duration,
    /// Time for which a leaving member may get new work.
    pub drain: Duration,
    /// How far a workspace may pass its limits.
    pub tolerance: Tolerance,
}

/// By how much the limits of a workspace may be passed, over all instances together.
///
/// The division among instances is never quite in step with the callers. Without a margin a workspace would be refused
/// below its limits; the gateway uses a part of what is tolerated and leaves the rest to delays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Part of rate and burst.
    pub overage: f64,
    /// Operations.
    pub slack: f64,
    /// Time over which operations are counted against the limits.
    pub window: Duration,
}

/// Part of the tolerated overage and slack that is used.
const USED_TOLERANCE: f64 = 0.5;
/// Part of the tolerated overage and slack that the first tokens of new processes may use, if all instances start again
/// within one window; twice that is left after [`USED_TOLERANCE`].
const START_TOLERANCE: f64 = 0.25;

impl Tolerance {
    /// The limits that the gateway enforces for a contract's.
    pub fn enforced_limits(self, limits: Limits) -> Limits {
        let factor = 1.0 + USED_TOLERANCE * self.overage;
        Limits {
            rate: limits.rate * factor,
            capacity: limits.capacity * factor + USED_TOLERANCE * self.slack,
        }
    }

    /// Operations that all instances together may admit at their start, when it is not known what was used before.
    pub fn startup_tokens(self, limits: Limits) -> f64 {
        let in_window = limits.rate * self.window.as_secs_f64() + limits.capacity;
        START_TOLERANCE * (self.overage * in_window + self.slack)
    }
}

/// How far away a data centre is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The instance's own data centre.
    Local,
    /// Another one in the region.
    Region,
    /// In another region.
    Far,
}

impl Settings {
    /// Distance from the instance to `data_centre`; an unknown one counts as far.
    pub fn distance(&self, data_centre: &DataCentre) -> Distance {
        if *data_centre == self.data_centre {
            return Distance::Local;
        }
        let region = self.regions.get(data_centre);
        if region.is_some() && region == self.regions.get(&self.data_centre) {
            Distance::Region
        } else {
            Distance::Far
        }
    }
}
