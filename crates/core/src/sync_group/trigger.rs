//! Reasons for replacing a primary.

/// Reason for replacing a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// The primary answers no poll.
    Silent,
    /// The primary is going to stop.
    Leaving,
    /// The data centre of the primary is evacuated.
    Evacuated,
    /// The primary answers polls, but its commits do not complete.
    Stalled,
    /// Members hold a term for which no member was promoted.
    Orphaned,
}

impl Trigger {
    /// Whether the primary still answers, so that a failover need not begin before it can succeed.
    pub const fn has_primary(self) -> bool {
        self.is_planned() || matches!(self, Self::Stalled)
    }

    /// Whether the primary serves until it is replaced, so that running writes can complete before the replicas are held.
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }

    /// Name in log events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Stalled => "stalled",
            Self::Orphaned => "orphaned",
        }
    }
}
