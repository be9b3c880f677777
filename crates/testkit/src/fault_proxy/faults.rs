//! Faults that a relay injects.

use std::time::Duration;

/// Faults that a relay injects; the default has none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults {
    /// Open and new connections are closed.
    pub cut: bool,
    /// No bytes are relayed until the fault ends; bytes that wait meanwhile are relayed then, unless their sender has
    /// reset the connection.
    pub freeze: bool,
    /// Connections stay open and new ones are accepted, but all bytes are discarded in both directions.
    pub blackhole: bool,
    /// Additional delay of each byte, in each direction.
    pub delay: Duration,
    /// Bandwidth of each direction of each connection in bytes per second; `None` is unlimited.
    pub bytes_per_second: Option<u32>,
    /// Handling of answers.
    pub answers: Answers,
}

/// Handling of answers, which are the bytes from the target to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Answers {
    /// Answers are relayed.
    #[default]
    Pass,
    /// Answers are discarded, and their connections stay open.
    Discard,
    /// The next answer is discarded and its connection closed, this number of times; later answers are relayed.
    CutNext(u32),
}
