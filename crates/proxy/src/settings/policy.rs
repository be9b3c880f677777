//! Policies that can be exchanged for their baselines, so that a measurement can compare them in one run.

/// Members that serve reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadPolicy {
    /// Replicas that are proved recent enough, else the primary.
    #[default]
    Replicas,
    /// The primary only; a baseline.
    Primary,
}

/// Order in which waiting requests get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueuePolicy {
    /// Fair queueing over workspaces.
    #[default]
    Fair,
    /// First in, first out over all workspaces; a baseline.
    Fifo,
}

/// Use of the parts of a workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitPolicy {
    /// Homes lend each other what they do not use.
    #[default]
    Loans,
    /// Every home keeps its equal part; a baseline.
    EqualSplit,
}

/// Policies of one instance; all instances have to agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Policy {
    /// Members that serve reads.
    pub reads: ReadPolicy,
    /// Order in which waiting requests get a slot.
    pub queue: QueuePolicy,
    /// Use of the parts of a workspace's rate.
    pub limits: LimitPolicy,
}
