//! The planned stop of an instance: its plan, and what is open until it ends.

use std::time::Duration;

use event_listener::Event as Notify;
use hibiscusladder_core::{
    clock::Instant,
    shutdown::{Open, StopPlan},
};
use hibiscusladder_io::clock::{sleep, within};
use smol::future::FutureExt;

use super::Node;
use crate::{adapter::Platform, in_flight::InFlightGuard};

impl<P> Node<P>
where
    P: Platform,
{
    /// Begins the stop of the instance, and returns its plan.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::new(self.now(), self.settings.grace);
        self.stop_plan.set(Some(plan));
        self.stop.notify(usize::MAX);
        plan
    }

    /// Plan of the stop; `None` before it begins.
    pub const fn stop_plan(&self) -> Option<StopPlan> {
        self.stop_plan.get()
    }

    /// When the stop began; `None` before.
    pub fn stopping_since(&self) -> Option<Instant> {
        self.stop_plan.get().map(|plan| plan.began())
    }

    /// Time that an open transaction has from now until the stop of the instance ends it; [`Duration::MAX`] while the
    /// instance is not stopping.
    pub fn transaction_time(&self) -> Duration {
        let plan = self.stop_plan.get();
        plan.map_or(Duration::MAX, |plan| plan.transactions_until().since(self.now()))
    }

    /// Time from now that a request may take: `longest`, or less if the process ends earlier.
    pub fn limit_to_deadline(&self, longest: Duration) -> Duration {
        let plan = self.stop_plan.get();
        plan.map_or(longest, |plan| plan.limit_wait(longest, self.now()))
    }

    /// Awaits `future`; `None` when the instance stops and its waits end before, and `future` is dropped then.
    pub async fn until_deadline<F>(&self, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let outcome = async { Some(future.await) };
        let deadline = async {
            self.wait_for_stop().await;
            sleep(self.limit_to_deadline(Duration::MAX)).await;
            None
        };
        outcome.or(deadline).await
    }

    /// Waits until the stop of the instance begins.
    pub async fn wait_for_stop(&self) {
        wait_for(&self.stop, || self.stop_plan.get().is_some()).await;
    }

    /// Makes the listeners of the instance take no new connection.
    pub fn close_listeners(&self) {
        self.has_closed_listeners.set(true);
        self.close_listeners.notify(usize::MAX);
    }

    /// Waits until the listeners are to take no new connection.
    pub async fn wait_for_closed_listeners(&self) {
        wait_for(&self.close_listeners, || self.has_closed_listeners.get()).await;
    }

    /// Counts a listener for as long as the returned guard lives.
    pub fn begin_listening(&self) -> InFlightGuard {
        self.listeners.begin()
    }

    /// Counts a session, or a call of another instance, for as long as the returned guard lives.
    pub fn begin_session(&self) -> InFlightGuard {
        self.sessions.begin()
    }

    /// Number of open sessions and of calls of other instances.
    pub fn sessions(&self) -> usize {
        self.sessions.count()
    }

    /// Listeners and sessions that are open.
    pub fn open(&self) -> Open {
        Open { listeners: self.listeners.count(), sessions: self.sessions() }
    }

    /// Waits until a listener closes or a session ends, at most for `limit`.
    pub async fn wait_for_closing(&self, limit: Duration) {
        let (listener, session) = (self.listeners.ended(), self.sessions.ended());
        within(limit, listener.or(session)).await;
    }
}

/// Waits until `condition` holds, which `changed` notifies about.
async fn wait_for<F>(changed: &Notify, condition: F)
where
    F: Fn() -> bool,
{
    while !condition() {
        let listener = changed.listen();
        if !condition() {
            listener.await;
        }
    }
}
