//! Policies that can be replaced by a baseline, so that a measurement can compare them in one run.

/// Choice of the members that serve reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadPolicy {
    /// Replicas that provably have the required data, otherwise the primary.
    #[default]
    Replicas,
    /// The primary only; the baseline.
    Primary,
}

/// Order in which waiting requests get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueuePolicy {
    /// Fair queueing over workspaces.
    #[default]
    Fair,
    /// First in, first out over all workspaces; the baseline.
    Fifo,
}

/// Use of the shares of a workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitPolicy {
    /// Homes lend each other the unused parts of their shares.
    #[default]
    Loans,
    /// Every home uses only its equal share; the baseline.
    EqualSplit,
}

/// Policies of one instance, which have to be the same on all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    /// Choice of the members that serve reads.
    pub reads: ReadPolicy,
    /// Order in which waiting requests get a slot.
    pub queue: QueuePolicy,
    /// Use of the shares of a workspace's rate.
    pub limits: LimitPolicy,
}
