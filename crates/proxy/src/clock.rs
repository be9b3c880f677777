//! The clock of the running process.

use std::time::Duration;

use hibiscusladder_core::clock::{Clock, Instant};
use rustix::time::{ClockId, clock_gettime};
use smol::Timer;

/// Monotonic time since the machine was started, including the time it was suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Instant::new(Duration::new(seconds, nanos))
    }
}

/// Waits for `duration`.
pub(crate) async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}
