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
        matches!(self, Self::Leaving | Self::Evacuated | Self::Stalled)
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
