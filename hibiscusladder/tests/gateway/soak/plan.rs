//! Plan of the faults of a run, which the seed determines.

use std::time::Duration;

use hibiscusladder_platform_standin::StoreFault;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Members of the group.
const MEMBERS: usize = 3;
/// Number of faults that begin in ten seconds of a run.
const FAULTS_PER_TEN_SECONDS: u64 = 12;
/// Range of the time until a fault ends, in milliseconds. The longest are as long as the cuts of the deployments.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..7000;

/// Data centres of the members.
pub(super) const ZONES: [&str; 2] = ["north", "south"];
/// Added to the seed for the evacuations, which are drawn apart so that the other faults of a seed stay as they were.
const EVACUATION_SEED: u64 = 1 << 32;

/// Fault to inject, or the end of one. Numbers are indices of instances or members.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Fault {
    /// An instance is ended by SIGKILL and started again at once.
    Kill(usize),
    /// SIGTERM is sent to an instance.
    Terminate(usize),
    /// An instance is started again after [`Fault::Terminate`].
    Restart(usize),
    /// An instance is suspended by SIGSTOP.
    Freeze(usize),
    /// A suspended instance is resumed by SIGCONT.
    Thaw(usize),
    /// The store gets this fault, or none.
    Store(StoreFault),
    /// The store takes the copy from which it is restored later.
    CopyStore,
    /// The store is restored from its copy. Operator and members write their objects again after this delay.
    RestoreStore(Duration),
    /// A member goes down or comes back.
    Member { member: usize, running: bool },
    /// The primary goes down, or all members that are down come back.
    Primary { running: bool },
    /// A replica receives nothing from primaries, or receives again.
    Deaf { member: usize, deaf: bool },
    /// A replica applies commits this much later than it receives them.
    Lag { member: usize, lag: Duration },
    /// The primary announces that it is going to stop.
    Leaving,
    /// All bytes on the open connections to a member are lost from now on, and the connections stay open.
    BlackholeConnections(usize),
    /// Open connections to a member are closed.
    CloseConnections(usize),
    /// All connections to a member are closed, also new ones.
    Cut { member: usize, cut: bool },
    /// Bytes on the connections to a member are delayed.
    Slow(usize),
    /// A member receives requests, but its answers are lost.
    DropAnswers { member: usize, dropped: bool },
    /// State of the link from an instance to a member.
    MemberLink { instance: usize, member: usize, link: Link },
    /// State of the link from an instance to the platform's promotions.
    PromotionLink { instance: usize, link: Link },
    /// State of the link from an instance to the store.
    StoreLink { instance: usize, link: Link },
    /// State of the link from callers to an instance.
    CallerLink { instance: usize, link: Link },
    /// Statements take much longer than usual, so that requests wait for connections.
    LongStatements { long: bool },
    /// The data centre is evacuated, or no longer.
    Evacuation { zone: &'static str, requested: bool },
    /// A new version of the configuration, in which the first workspace has this rate in operations per second.
    Configure { version: u64, rate: f64 },
}

/// State of a network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// No fault.
    Normal,
    /// Connections are accepted and stay open, and all bytes are lost.
    Blackhole,
    /// Connections are closed, also new ones.
    Cut,
    /// Requests pass, answers are lost.
    OneWay,
    /// Bytes are held until the link is normal again, unless their sender has reset the connection.
    Held,
}

/// Rates of the first workspace in operations per second; the lowest is below the rate at which its callers send.
const RATES: [f64; 3] = [15.0, 40.0, 200.0];

/// Added to the seed for the faults of the hubs of a large fleet, which are drawn apart as well.
const HUB_SEED: u64 = 1 << 33;
/// Instances that are hubs in a large fleet: the first ones, two in each of two regions.
pub(super) const HUBS: std::ops::Range<usize> = 0..4;
/// Range of the time until the hubs act again, in milliseconds; others have replaced them after the longest.
const HUB_FAULT_DURATION_MS: std::ops::Range<u64> = 1000..15_000;

/// A seed that leaves this rest after a division by 2 has data losses of the store. They are drawn apart from the other faults,
/// which stay as they were for every seed.
const DATA_LOSS_REST: u64 = 1;
/// Number of data losses in ten seconds of such a run.
const DATA_LOSSES_PER_TEN_SECONDS: u64 = 2;
/// Age of the copy, and delay of the writers after the restore, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..4000;
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..3000;

/// Version of the first configuration that a run writes.
const FIRST_VERSION: u64 = 10;

/// Faults of a run with their times since its start, in order of time.
pub(super) fn plan(seed: u64, instances: usize, run_time: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (run_time.as_secs() * FAULTS_PER_TEN_SECONDS).div_ceil(10);
    let mut plan = Vec::new();
    for number in 0..count {
        let at = run_time.mul_f64(rng.random_range(0.0..0.8));
        let end = at + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let (begin, ending) = random_fault(&mut rng, instances, number);
        plan.push((at, begin));
        plan.extend(ending.map(|ending| (end, ending)));
    }
    plan.extend(evacuation(seed, run_time));
    if instances > HUBS.end {
        plan.extend(hub_faults(seed, run_time));
    }
    if seed % 2 == DATA_LOSS_REST {
        plan.extend(data_losses(seed, run_time));
    }
    plan.retain(|(at, _)| *at < run_time);
    plan.sort_by_key(|(at, _)| *at);
    // As the operator's do, versions grow with time; instances ignore one that is older than theirs.
    let configured = plan.iter_mut().filter_map(|(_, fault)| match fault {
        Fault::Configure { version, .. } => Some(version),
        _ => None,
    });
    configured.zip(FIRST_VERSION..).for_each(|(version, next)| *version = next);
    plan
}

/// Draws an evacuation and its end.
fn evacuation(seed: u64, run_time: Duration) -> [(Duration, Fault); 2] {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_add(EVACUATION_SEED));
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    let at = run_time.mul_f64(rng.random_range(0.0..0.8));
    let end = at + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    [(at, true), (end, false)].map(|(at, requested)| (at, Fault::Evacuation { zone, requested }))
}

/// Draws a fault that all hubs have at the same time: they are suspended, lose the store, or are stopped.
fn hub_faults(seed: u64, run_time: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_add(HUB_SEED));
    let at = run_time.mul_f64(rng.random_range(0.0..0.5));
    let end = at + Duration::from_millis(rng.random_range(HUB_FAULT_DURATION_MS));
    let kind = rng.random_range(0..3);
    let faults = HUBS.flat_map(|instance| {
        let (begin, ending) = match kind {
            0 => (Fault::Freeze(instance), Fault::Thaw(instance)),
            1 => {
                let link = |link| Fault::StoreLink { instance, link };
                (link(Link::Cut), link(Link::Normal))
            }
            _ => (Fault::Terminate(instance), Fault::Restart(instance)),
        };
        [(at, begin), (end, ending)]
    });
    faults.collect()
}

/// Draws the data losses of the store.
fn data_losses(seed: u64, run_time: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let count = (run_time.as_secs() * DATA_LOSSES_PER_TEN_SECONDS).div_ceil(10);
    let mut plan = vec![(Duration::ZERO, Fault::CopyStore)];
    for _ in 0..count {
        let at = run_time.mul_f64(rng.random_range(0.0..0.8));
        let age = Duration::from_millis(rng.random_range(COPY_AGE_MS));
        let delay = Duration::from_millis(rng.random_range(REWRITE_DELAY_MS));
        plan.push((at.saturating_sub(age), Fault::CopyStore));
        plan.push((at, Fault::RestoreStore(delay)));
    }
    plan
}

/// Draws a fault, and the one that ends or follows it, if any. `number` is the index of the fault in the run.
fn random_fault(rng: &mut StdRng, instances: usize, number: u64) -> (Fault, Option<Fault>) {
    let instance = rng.random_range(0..instances);
    let member = rng.random_range(0..MEMBERS);
    let link = [Link::Blackhole, Link::Cut, Link::OneWay, Link::Held][rng.random_range(0..4)];
    match rng.random_range(0..22) {
        0 | 1 => (Fault::Kill(instance), None),
        2 => (Fault::Terminate(instance), Some(Fault::Restart(instance))),
        3 => (Fault::Freeze(instance), Some(Fault::Thaw(instance))),
        4 => (Fault::Store(StoreFault::Busy), Some(Fault::Store(StoreFault::None))),
        5 => (Fault::Store(StoreFault::Unresponsive), Some(Fault::Store(StoreFault::None))),
        6 => (Fault::Store(StoreFault::DropsAnswers), Some(Fault::Store(StoreFault::None))),
        7 => (Fault::Primary { running: false }, Some(Fault::Primary { running: true })),
        8 => (
            Fault::Member { member, running: false },
            Some(Fault::Member { member, running: true }),
        ),
        9 => (Fault::Leaving, None),
        10 => (Fault::BlackholeConnections(member), None),
        11 => (Fault::CloseConnections(member), Some(Fault::Slow(member))),
        12 => (Fault::Cut { member, cut: true }, Some(Fault::Cut { member, cut: false })),
        13 => (
            Fault::DropAnswers { member, dropped: true },
            Some(Fault::DropAnswers { member, dropped: false }),
        ),
        14 => (
            Fault::StoreLink { instance, link },
            Some(Fault::StoreLink { instance, link: Link::Normal }),
        ),
        15 => (
            Fault::CallerLink { instance, link },
            Some(Fault::CallerLink { instance, link: Link::Normal }),
        ),
        16 => (Fault::Deaf { member, deaf: true }, Some(Fault::Deaf { member, deaf: false })),
        17 | 18 => (
            Fault::MemberLink { instance, member, link },
            Some(Fault::MemberLink { instance, member, link: Link::Normal }),
        ),
        19 => (
            Fault::PromotionLink { instance, link },
            Some(Fault::PromotionLink { instance, link: Link::Normal }),
        ),
        20 => (Fault::LongStatements { long: true }, Some(Fault::LongStatements { long: false })),
        _ if number.is_multiple_of(2) => {
            let rate = RATES[rng.random_range(0..RATES.len())];
            (Fault::Configure { version: FIRST_VERSION, rate }, None)
        }
        _ => {
            let lag = Duration::from_millis(rng.random_range(100..2500));
            (Fault::Lag { member, lag }, None)
        }
    }
}
