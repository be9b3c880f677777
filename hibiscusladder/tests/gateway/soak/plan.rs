//! The plan of a run, which the seed fixes.

use std::time::Duration;

use hibiscusladder_platform_standin::StoreFault;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::INSTANCES;

/// Members of the group.
const MEMBERS: usize = 3;
/// Faults that begin in ten seconds.
const FAULTS_PER_TEN_SECONDS: u64 = 12;
/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..3500;

/// Something that is done to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    /// SIGKILL, and a new process.
    Kill(usize),
    /// SIGTERM.
    Terminate(usize),
    /// A new process after SIGTERM.
    Restart(usize),
    /// SIGSTOP.
    Freeze(usize),
    /// SIGCONT.
    Thaw(usize),
    /// The store fails or works.
    Store(StoreFault),
    /// A member goes down or comes back.
    Member { member: usize, up: bool },
    /// The primary goes down, or all members come back.
    Primary { up: bool },
    /// A replica applies commits late.
    Lag { member: usize, lag: Duration },
    /// The primary announces that it is going to stop.
    Leaving,
    /// Open connections to a member go silent for good.
    Silence(usize),
    /// Open connections to a member are closed.
    Reset(usize),
    /// No connection to a member passes.
    Cut { member: usize, cut: bool },
    /// Connections to a member are slow.
    Slow(usize),
    /// A new version of the configuration.
    Configure(u64),
}

/// The faults of a run with their times, in order.
pub(super) fn plan(seed: u64, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (length.as_secs() * FAULTS_PER_TEN_SECONDS).div_ceil(10);
    let mut plan = Vec::new();
    for number in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let end = at + Duration::from_millis(rng.random_range(LASTS_MS));
        let (begin, ending) = fault(&mut rng, number);
        plan.push((at, begin));
        plan.extend(ending.map(|ending| (end, ending)));
    }
    plan.retain(|(at, _)| *at < length);
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// A fault, and what ends it.
fn fault(rng: &mut StdRng, number: u64) -> (Fault, Option<Fault>) {
    let instance = rng.random_range(0..INSTANCES);
    let member = rng.random_range(0..MEMBERS);
    match rng.random_range(0..14) {
        0 | 1 => (Fault::Kill(instance), None),
        2 => (Fault::Terminate(instance), Some(Fault::Restart(instance))),
        3 => (Fault::Freeze(instance), Some(Fault::Thaw(instance))),
        4 => (Fault::Store(StoreFault::Busy), Some(Fault::Store(StoreFault::None))),
        5 => (Fault::Store(StoreFault::Silent), Some(Fault::Store(StoreFault::None))),
        6 => (Fault::Store(StoreFault::LosesAnswers), Some(Fault::Store(StoreFault::None))),
        7 => (Fault::Primary { up: false }, Some(Fault::Primary { up: true })),
        8 => (Fault::Member { member, up: false }, Some(Fault::Member { member, up: true })),
        9 => (Fault::Leaving, None),
        10 => (Fault::Silence(member), None),
        11 => (Fault::Reset(member), Some(Fault::Slow(member))),
        12 => (Fault::Cut { member, cut: true }, Some(Fault::Cut { member, cut: false })),
        _ if number.is_multiple_of(2) => (Fault::Configure(10 + number), None),
        _ => {
            let lag = Duration::from_millis(rng.random_range(100..2500));
            (Fault::Lag { member, lag }, None)
        }
    }
}
