//! Loads, troubles, and what callers got.

use std::collections::BTreeMap;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub(crate) priority: u32,
    /// Mean work in microseconds.
    pub(crate) work_us: u64,
    pub(crate) target_ms: u64,
    pub(crate) limit_ms: u64,
    pub(crate) worth: f64,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// All workspaces send 1.7 times as much for a time.
    Burst {
        from_ms: u64,
        to_ms: u64,
    },
    /// One workspace sends eight times as much.
    Flood,
    /// Nothing runs for a time; requests wait at the instances.
    Failover {
        from_ms: u64,
        to_ms: u64,
    },
    /// All processes are lost.
    Kill {
        at_ms: u64,
    },
}

/// A load and what happens to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) routes: [Route; 3],
    pub(crate) workspaces: usize,
    /// Work that arrives as a fraction of the capacity.
    pub(crate) load: f64,
    pub(crate) trouble: Trouble,
    pub(crate) seed: u64,
}

/// What callers got of one route or workspace.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) sent: f64,
    pub(crate) on_time: f64,
    pub(crate) answered: f64,
}

impl Tally {
    pub(crate) fn share_on_time(&self) -> f64 {
        self.on_time / self.sent.max(1.0)
    }
}

/// What all callers got.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) routes: [Tally; 3],
    pub(crate) workspaces: BTreeMap<usize, Tally>,
    /// Requests that were refused at their limit, of all refused ones.
    pub(crate) refused_late: f64,
    pub(crate) refused: f64,
}

impl Outcome {
    /// Answers within the target, weighted by worth, of all that were sent.
    pub(crate) fn worth(&self, scenario: &Scenario) -> f64 {
        let weighted = |value: fn(&Tally) -> f64| -> f64 {
            let tallies = self.routes.iter().zip(&scenario.routes);
            tallies.map(|(tally, route)| value(tally) * route.worth).sum()
        };
        weighted(|tally| tally.on_time) / weighted(|tally| tally.sent)
    }

    pub(crate) fn shares(&self) -> [f64; 3] {
        self.routes.map(|tally| tally.share_on_time())
    }

    pub(crate) fn worst_workspace(&self, without: usize) -> f64 {
        let others = self.workspaces.iter().filter(|(workspace, _)| **workspace != without);
        others.map(|(_, tally)| tally.share_on_time()).fold(1.0, f64::min)
    }
}
