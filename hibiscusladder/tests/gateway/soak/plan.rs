//! The plan of a run, which the seed fixes.

use std::time::Duration;

use hibiscusladder_platform_standin::StoreFault;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Members of the group.
const MEMBERS: usize = 3;
/// Faults that begin in ten seconds.
const FAULTS_PER_TEN_SECONDS: u64 = 12;
/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..3500;

/// Something that is done to a run.
#[derive(Debug, Clone, PartialEq)]
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
    /// Nothing that a member answers arrives, though it gets what is sent.
    Mute { member: usize, mute: bool },
    /// One instance does not reach the store, or gets no answers from it.
    StoreLink { instance: usize, link: Link },
    /// The callers of one instance are cut off, or get no answers.
    CallerLink { instance: usize, link: Link },
    /// A new version of the configuration, in which the first workspace has this rate.
    Configure { version: u64, rate: f64 },
}

/// What passes a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// Everything.
    Whole,
    /// Nothing, without a sign.
    Silent,
    /// Nothing; connections are closed.
    Cut,
    /// Only what is sent, not what is answered.
    OneWay,
}

/// Rates of the first workspace in operations a second; the lowest is below what its callers send.
const RATES: [f64; 3] = [15.0, 40.0, 200.0];

/// The faults of a run with their times, in order.
pub(super) fn plan(seed: u64, instances: usize, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (length.as_secs() * FAULTS_PER_TEN_SECONDS).div_ceil(10);
    let mut plan = Vec::new();
    for number in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let end = at + Duration::from_millis(rng.random_range(LASTS_MS));
        let (begin, ending) = fault(&mut rng, instances, number);
        plan.push((at, begin));
        plan.extend(ending.map(|ending| (end, ending)));
    }
    plan.retain(|(at, _)| *at < length);
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// A fault, and what ends it.
fn fault(rng: &mut StdRng, instances: usize, number: u64) -> (Fault, Option<Fault>) {
    let instance = rng.random_range(0..instances);
    let member = rng.random_range(0..MEMBERS);
    let link = [Link::Silent, Link::Cut, Link::OneWay][rng.random_range(0..3)];
    match rng.random_range(0..17) {
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
        13 => (Fault::Mute { member, mute: true }, Some(Fault::Mute { member, mute: false })),
        14 => (
            Fault::StoreLink { instance, link },
            Some(Fault::StoreLink { instance, link: Link::Whole }),
        ),
        15 => (
            Fault::CallerLink { instance, link },
            Some(Fault::CallerLink { instance, link: Link::Whole }),
        ),
        _ if number.is_multiple_of(2) => {
            let rate = RATES[rng.random_range(0..RATES.len())];
            (Fault::Configure { version: 10 + number, rate }, None)
        }
        _ => {
            let lag = Duration::from_millis(rng.random_range(100..2500));
            (Fault::Lag { member, lag }, None)
        }
    }
}
