//! Settings of a promotion.

use std::time::Duration;

use crate::{
    name::{DataCentre, InstanceId},
    quorum::{POLL_INTERVAL, REPORT_WINDOW},
};

/// Number of missed polls after which the primary counts as unresponsive.
pub const DETECT_MISSES: u32 = 3;

/// Time limit of a stage; it prevents a claimant that was paused from continuing its attempt.
pub const STAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without data from its source after which a replica agrees that the primary is unresponsive, with the default
/// settings: the time in which [`DETECT_MISSES`] polls are missed.
pub const SOURCE_TIMEOUT: Duration = Duration::from_millis(750);

/// Time for which another instance's report of an unresponsive primary counts.
pub const AGREEMENT_TTL: Duration = Duration::from_secs(1);

/// Wait for the store's answer to a claim before the promotion continues without it.
pub const CLAIM_WAIT: Duration = Duration::from_millis(400);

/// Time that another claimant has for its term before a higher one is claimed; as long as one stage may take.
pub const PENDING_CLAIM_GRACE: Duration = STAGE_TIMEOUT;

/// Time after which an unanswered raise or promotion is sent again.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an unanswered update of the store, or a command to follow, is repeated.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Largest random part of the wait before another attempt, so that two claimants do not retry at the same time.
pub const RETRY_JITTER: Duration = Duration::from_millis(400);

/// Time for which a planned replacement waits for a replica to catch up.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which writes that were sent before the planned replacement count as finished; a statement that holds a
/// slot takes less.
pub const CATCH_UP_GRACE: Duration = Duration::from_millis(100);

/// Time between two polls while a planned replacement waits.
pub const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a [`Promotion`](super::Promotion).
#[derive(Debug, Clone)]
pub struct PromotionSettings {
    pub(super) instance: InstanceId,
    pub(super) data_centre: DataCentre,
    pub(super) window: Duration,
    pub(super) stage_timeout: Duration,
    pub(super) detect_misses: u32,
    pub(super) claim_wait: Duration,
}

impl PromotionSettings {
    /// Creates the default settings for `instance`, which runs in `data_centre` and claims terms under its identifier.
    pub const fn new(instance: InstanceId, data_centre: DataCentre) -> Self {
        Self {
            instance,
            data_centre,
            window: REPORT_WINDOW,
            stage_timeout: STAGE_TIMEOUT,
            detect_misses: DETECT_MISSES,
            claim_wait: CLAIM_WAIT,
        }
    }

    /// Sets the report window, for which a promotion waits after a majority was raised.
    ///
    /// It must not be shorter than the window of any home's [`QuorumView`](crate::quorum::QuorumView). Zero disables
    /// the wait, which only tests do.
    #[must_use]
    pub const fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the time limit of a stage; it has to be longer than the window.
    #[must_use]
    pub const fn stage_timeout(mut self, timeout: Duration) -> Self {
        self.stage_timeout = timeout;
        self
    }

    /// Sets the number of missed polls after which the primary counts as unresponsive.
    #[must_use]
    pub const fn detect_misses(mut self, misses: u32) -> Self {
        self.detect_misses = misses;
        self
    }

    /// Sets the wait for the store's answer to a claim, after which the promotion continues without it.
    #[must_use]
    pub const fn claim_wait(mut self, wait: Duration) -> Self {
        self.claim_wait = wait;
        self
    }

    /// Time without data from its source after which a replica agrees that the primary is unresponsive.
    pub(super) fn source_timeout(&self) -> Duration {
        POLL_INTERVAL * self.detect_misses
    }
}
