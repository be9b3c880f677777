//! Reachability and message delays between members, homes and the store.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};

use super::settings::{Fault, Scheduled, Settings};

pub(crate) const MEMBERS: usize = 3;

/// One-way latency between the data centres 0 and 1, which share a region.
const NEAR: Duration = Duration::from_millis(1);
/// One-way latency between the regions.
const FAR: Duration = Duration::from_millis(20);
/// One-way latency within a data centre.
const LOCAL: Duration = Duration::from_micros(200);

#[derive(Debug)]
pub(crate) struct Network {
    faults: Vec<Scheduled>,
    loss: f64,
    delayed: f64,
    /// Time from which messages are no longer lost or delayed at random.
    recovery_from: Duration,
}

impl Network {
    pub(crate) const fn new(settings: &Settings, faults: Vec<Scheduled>) -> Self {
        let recovery_from = settings.fault_period;
        Self { faults, loss: settings.loss, delayed: settings.delayed, recovery_from }
    }

    pub(crate) fn is_active(&self, fault: Fault, now: Duration) -> bool {
        self.active_until(fault, now).is_some()
    }

    /// End of the fault; `None` when it is not active.
    pub(crate) fn active_until(&self, fault: Fault, now: Duration) -> Option<Duration> {
        self.faults
            .iter()
            .filter(|scheduled| scheduled.fault == fault)
            .filter(|scheduled| scheduled.at <= now && now < scheduled.at + scheduled.duration)
            .map(|scheduled| scheduled.at + scheduled.duration)
            .max()
    }

    pub(crate) fn add_fault(&mut self, scheduled: Scheduled) {
        self.faults.push(scheduled);
    }

    fn connected(&self, a: usize, b: usize, now: Duration) -> bool {
        a == b || !(self.is_active(Fault::Cut(a), now) || self.is_active(Fault::Cut(b), now))
    }

    pub(crate) fn homes_connected(&self, a: usize, b: usize, now: Duration) -> bool {
        self.connected(a, b, now)
    }

    pub(crate) fn home_reaches_member(&self, home: usize, member: usize, now: Duration) -> bool {
        let isolated = home != member && self.is_active(Fault::Isolate(member), now);
        !isolated && !self.is_active(Fault::Crash(member), now) && self.connected(home, member, now)
    }

    pub(crate) fn members_connected(&self, a: usize, b: usize, now: Duration) -> bool {
        let reachable = |member| {
            !self.is_active(Fault::Isolate(member), now)
                && !self.is_active(Fault::Crash(member), now)
                && !self.is_active(Fault::Suspend(member), now)
        };
        reachable(a) && reachable(b) && self.connected(a, b, now)
    }

    pub(crate) fn home_reaches_store(&self, home: usize, now: Duration) -> bool {
        !self.is_active(Fault::Outage, now) && !self.is_active(Fault::Cut(home), now)
    }

    /// Delay of a message between two data centres; `None` when it is lost.
    pub(crate) fn delay(
        &self,
        a: usize,
        b: usize,
        now: Duration,
        rng: &mut StdRng,
    ) -> Option<Duration> {
        let base = match (a, b) {
            (a, b) if a == b => LOCAL,
            (0 | 1, 0 | 1) => NEAR,
            _ => FAR,
        };
        let jitter = Duration::from_micros(rng.random_range(0..1000));
        let (lost, delayed) = (rng.random_bool(self.loss), rng.random_bool(self.delayed));
        let extra = Duration::from_millis(rng.random_range(0..400));
        if now >= self.recovery_from {
            return Some(base + jitter);
        }
        match (lost, delayed) {
            (true, _) => None,
            (false, true) => Some(base + jitter + extra),
            (false, false) => Some(base + jitter),
        }
    }
}

/// Draws faults at random, about one every two seconds; [`Fault::Leave`] and [`Fault::PauseClaimant`] only occur in
/// scripts.
pub(crate) fn random_faults(settings: &Settings, rng: &mut StdRng) -> Vec<Scheduled> {
    let mut faults = Vec::new();
    let mut at = Duration::from_secs(3);
    while at < settings.fault_period {
        let index = rng.random_range(0..MEMBERS);
        let fault = match rng.random_range(0..9) {
            0 | 1 => Fault::Isolate(index),
            2 => Fault::Crash(index),
            3 => Fault::Suspend(index),
            4 | 5 => Fault::Pause(index),
            6 => Fault::Cut(index),
            7 => Fault::Outage,
            _ => Fault::LostAnswers,
        };
        let duration = Duration::from_millis(rng.random_range(200..7000));
        let duration = duration.min(settings.fault_period - at);
        faults.push(Scheduled { at, duration, fault });
        at += Duration::from_millis(rng.random_range(100..4000));
    }
    faults
}
