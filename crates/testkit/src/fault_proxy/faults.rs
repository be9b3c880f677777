//! Faults of a relay.

use std::time::Duration;

/// Faults of a relay; the default has none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults {
    /// Connections are closed, also new ones.
    pub cut: bool,
    /// Nothing is relayed until the fault ends; then everything that has waited is.
    pub freeze: bool,
    /// Connections are accepted, and everything that arrives is lost.
    pub blackhole: bool,
    /// Time that each byte takes in addition, in each direction.
    pub delay: Duration,
    /// Bytes a second in each direction of each connection.
    pub bytes_per_second: Option<u32>,
    /// What happens to answers.
    pub answers: Answers,
}

/// What happens to bytes from the target to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Answers {
    /// They are relayed.
    #[default]
    Pass,
    /// They are lost, and the connection stays open.
    Discard,
    /// The next one is lost and its connection closed, this number of times.
    CutNext(u32),
}
