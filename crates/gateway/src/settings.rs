//! Settings of an instance, which the adapter reads, and the margins over the limits of workspaces.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hibiscusladder_core::{
    budget,
    name::{DataCentre, InstanceId},
    share::Limits,
};

use crate::cold::ColdTolerance;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, which stays the same after a restart.
    pub instance: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentre, Box<str>>,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which readiness probes are answered over HTTP.
    pub readiness: SocketAddr,
    /// Address for other instances: datagrams over UDP, and HTTP requests over TCP.
    pub peers: SocketAddr,
    /// Address for tunnels, over which other instances send calls to members whose connections this instance holds.
    pub tunnels: SocketAddr,
    /// Computing power, in thousandths of a core.
    pub capacity: u32,
    /// Address at which metrics are served over HTTP.
    pub metrics: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Time that a leaving member has until it stops; a leaving primary gets new work for a part of it.
    pub drain: Duration,
    /// Margin by which a workspace may exceed its limits.
    pub tolerance: Tolerance,
    /// Margin by which the requests to a cold member may exceed its configured rate.
    pub cold: ColdTolerance,
    /// Whether the statements that run at a member at once follow its pace.
    pub pace: bool,
    /// Whether requests that wait for the same capacity are ordered by urgency.
    pub priorities: bool,
    /// Time from the request to evacuate a data centre until no client statement reaches its members; `None` when evacuations
    /// are not watched.
    pub evacuate: Option<Duration>,
    /// Whether refused callers are told a time that follows from the expected wait.
    pub return_times: bool,
    /// What peers may use of the instance.
    pub peer_limits: PeerLimits,
}

/// What peers may use of an instance. The defaults are those of the smallest deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Memory of the machine, in MiB.
    pub memory_mb: usize,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
    /// Time from the opening of a connection to the end of its first message.
    pub first_message: Duration,
    /// Time from the first byte of a message to its end.
    pub message: Duration,
    /// Time for which an answer waits for its reader.
    pub answer: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            memory_mb: 160,
            descriptors: 4200,
            first_message: Duration::from_secs(10),
            message: Duration::from_secs(30),
            answer: Duration::from_secs(30),
        }
    }
}

/// Divisor of the memory of a machine that gives what peers may hold. The rest is for the program, the configuration, and what
/// the allocator cannot reuse.
const PEER_MEMORY_DIVISOR: usize = 2;
/// Descriptors that the platform sets aside for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of the other descriptors, in eighths, that peers may use who connect to the instance. The rest is for its connections to
/// members, other instances and the store.
const PEER_EIGHTHS: usize = 7;
/// Part of the other descriptors, in eighths, that callers may use. What is left of the above is for tunnels, probes and
/// metrics.
const CALLER_EIGHTHS: usize = 6;
/// Part of the memory of a machine that one answer of the store may have, as a divisor.
const STORE_ANSWER_DIVISOR: usize = 4;
/// Bytes that are charged for each connection of a peer: its task and its buffers.
const CONNECTION_BYTES: usize = 16 << 10;

impl PeerLimits {
    /// Longest answer of the store, in bytes.
    pub const fn store_answer_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1 << 20) / STORE_ANSWER_DIVISOR
    }

    /// The budget that all peers share.
    pub fn budget(&self) -> budget::Limits {
        let eighth = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / 8;
        budget::Limits {
            bytes: self.memory_mb.saturating_mul(1 << 20) / PEER_MEMORY_DIVISOR,
            connections: (eighth * PEER_EIGHTHS).max(1),
            callers: (eighth * CALLER_EIGHTHS).max(1),
            connection_bytes: CONNECTION_BYTES,
        }
    }
}

/// Margin by which the operations of a workspace may exceed its limits, over all instances together.
///
/// The division of a rate among the instances follows the callers with a delay. Without a margin, a workspace would be
/// refused below its limits. The gateway uses a part of the margin and leaves the rest for delays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Tolerated overage, as a fraction of rate and burst.
    pub overage: f64,
    /// Tolerated operations beyond the overage.
    pub slack: f64,
    /// Time over which operations are counted against the limits.
    pub window: Duration,
}

/// Fraction of the tolerated overage and slack that the enforced limits use.
const USED_TOLERANCE: f64 = 0.5;
/// Fraction of the tolerated overage and slack that start-up tokens may use at one start of all instances. Two starts
/// within one window fit into the fraction that [`USED_TOLERANCE`] leaves.
const START_TOLERANCE: f64 = 0.25;

impl Tolerance {
    /// The limits that the gateway enforces for the limits of a contract.
    pub fn enforced_limits(self, limits: Limits) -> Limits {
        let factor = 1.0 + USED_TOLERANCE * self.overage;
        Limits {
            rate: limits.rate * factor,
            capacity: limits.capacity * factor + USED_TOLERANCE * self.slack,
        }
    }

    /// Tokens that all instances together get at their start, when they do not know the tokens that were used before.
    pub fn startup_tokens(self, limits: Limits) -> f64 {
        let in_window = limits.rate * self.window.as_secs_f64() + limits.capacity;
        START_TOLERANCE * (self.overage * in_window + self.slack)
    }
}

/// Distance of a data centre from the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The instance's own data centre.
    Local,
    /// Another data centre in the same region.
    Region,
    /// A data centre in another region, or without a configured one.
    Far,
}

impl Settings {
    /// Distance from the instance to `data_centre`; a data centre without a configured region counts as far.
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
