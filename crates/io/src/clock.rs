//! Clock of the process, and waits on the timers of the async runtime.

use std::time::Duration;

use hibiscusladder_core::clock::{Clock, Instant};
use rustix::time::{ClockId, clock_gettime};
use smol::{Timer, future::FutureExt};

/// Monotonic time since the machine was booted, including the time it was suspended.
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
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Awaits `future`; `None` when it takes longer than `limit`, and it is dropped then.
pub async fn within<F>(limit: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let outcome = async { Some(future.await) };
    let timer = async {
        Timer::after(limit).await;
        None
    };
    outcome.or(timer).await
}
