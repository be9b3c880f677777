//! Settings of a simulation, with switches to disable single mechanisms in tests.

use std::time::Duration;

use hibiscusladder_core::{
    home_lease::LEASE_WINDOW,
    promotion::{CLAIM_WAIT, DETECT_MISSES},
    quorum::REPORT_WINDOW,
};

/// A window that never expires within a run.
pub(crate) const INFINITE: Duration = Duration::from_secs(1_000_000);

#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) seed: u64,
    /// Time in which faults may start.
    pub(crate) fault_period: Duration,
    /// Time without faults at the end, in which the group has to recover.
    pub(crate) recovery_period: Duration,
    pub(crate) faults: Faults,
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    /// Fraction of messages that are delayed by up to 400 ms.
    pub(crate) delayed: f64,
    /// Time after which a replica applies an entry.
    pub(crate) lag: Duration,
    pub(crate) sessions: usize,
    /// Longest pause between the steps of a session.
    pub(crate) think_time: Duration,
    /// Report window of the homes' quorum views.
    pub(crate) report_window: Duration,
    /// Window for which a promotion waits.
    pub(crate) fence_window: Duration,
    pub(crate) lease_window: Duration,
    pub(crate) detect_misses: u32,
    pub(crate) claim_wait: Duration,
    /// Members write the start of a term with the number of the new term, as the emulator does.
    pub(crate) start_has_new_term: bool,
    /// Members accept one claimant for each term.
    pub(crate) exclusive_claimants: bool,
    /// Answers of reads are released only while the gate is open.
    pub(crate) gate_reads: bool,
    /// Answers to read-index queries count only while the gate is open.
    pub(crate) gate_read_index: bool,
    /// Reads are routed by the position of the session or the age of the data.
    pub(crate) use_positions: bool,
    /// Sessions check their position against the starts of the terms.
    pub(crate) check_losses: bool,
}

impl Settings {
    pub(crate) const fn new(seed: u64) -> Self {
        Self {
            seed,
            fault_period: Duration::from_secs(40),
            recovery_period: Duration::from_secs(12),
            faults: Faults::Random,
            loss: 0.01,
            delayed: 0.02,
            lag: Duration::from_millis(20),
            sessions: 12,
            think_time: Duration::from_millis(60),
            report_window: REPORT_WINDOW,
            fence_window: REPORT_WINDOW,
            lease_window: LEASE_WINDOW,
            detect_misses: DETECT_MISSES,
            claim_wait: CLAIM_WAIT,
            start_has_new_term: false,
            exclusive_claimants: true,
            gate_reads: true,
            gate_read_index: true,
            use_positions: true,
            check_losses: true,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) enum Faults {
    /// Faults of random kinds at random times, except [`Fault::Leave`] and [`Fault::PauseClaimant`].
    Random,
    /// These faults only.
    Script(Vec<Scheduled>),
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Scheduled {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// Fault of one component; members and homes are numbered by data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The member is reached only by the home and the clients of its own data centre.
    Isolate(usize),
    /// The member is unreachable.
    Crash(usize),
    /// The member is suspended; it handles the requests that arrived meanwhile when it resumes.
    Suspend(usize),
    /// The home is paused; it handles the messages that arrived meanwhile when it resumes.
    Pause(usize),
    /// The data centre is cut off from the others and from the store.
    Cut(usize),
    /// The store is unreachable.
    Outage,
    /// The store's answers are lost after the change took effect.
    LostAnswers,
    /// The member is leaving: its home hands the primary over if the member is primary.
    Leave(usize),
    /// Every claimant is paused for 4 s, beginning 300 ms after its claim, by which time it has raised a majority.
    PauseClaimant,
}
