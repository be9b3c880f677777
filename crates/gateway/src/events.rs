//! The decision log: a JSON line for each decision about a request, and for each change that the instance notices in
//! members, groups and other instances.
//!
//! Lines go to a queue of fixed size that a separate thread writes out, so that a reader of the output that stops
//! reading does not block the instance. The number of lines of one event within a second is limited; the next line of
//! that event has the number of suppressed lines.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hibiscusladder_core::clock::{Clock, Instant};
use hibiscusladder_io::clock::BootClock;
use serde_json::{Map, Value, json};
use spdlog::{
    ErrorHandler, Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

use crate::{
    ledger::Limit,
    metrics::{Counter, Metrics},
};

/// Lines that may wait for the writer thread; further lines are dropped.
const QUEUE_LINES: usize = 1024;
/// Largest number of lines of one event that are written within a second.
const LINES_PER_SECOND: u32 = 20;

static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Kind of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The process has started.
    Started,
    /// The process was asked to stop.
    Stopping,
    /// The process ends.
    Stopped,
    /// A reload was requested by SIGHUP; the settings stay as they are.
    Reloaded,
    /// A new configuration is in force.
    ConfigurationApplied,
    /// An object of the store cannot be decoded.
    ObjectUnreadable,
    /// A call to the store failed; further failures are not logged until a call succeeds.
    StoreLost,
    /// A call to the store succeeded after [`StoreLost`](Self::StoreLost).
    StoreRegained,
    /// This instance begins or ends to read the store in place of the hubs.
    StoreReaderChanged,
    /// This instance replaces the hubs of its region, asks to be a hub again, or has failed to.
    HubTakeover,
    /// Another part of the allowances accrues at this hub.
    AllowancePartChanged,
    /// The store has a higher era than the one known before: it was restored from an older copy.
    StoreRestored,
    /// The store lacked a record of a promotion after a restore, and it was written again or could not be.
    PromotionRecordWritten,
    /// The logs of a group were recorded in the store, or could not be.
    LogsRecorded,
    /// Logs that an operator has declared lost no longer prevent a failover.
    LogsGivenUp,
    /// An answer of the store was not used, because of its era.
    StoreAnswerRejected,
    /// A member is new, or its entry changed.
    MemberChanged,
    /// A member was removed, because its entry was missing for too long.
    MemberGone,
    /// A member has not answered polls for the suspicion timeout.
    MemberLost,
    /// A member answers again.
    MemberRegained,
    /// A member counts as cold.
    MemberCold,
    /// A member no longer counts as cold.
    MemberWarm,
    /// A member fails more reads than the others and gets none for a while.
    MemberEjected,
    /// A member is overloaded, and this instance runs fewer statements there at once.
    MemberLimited,
    /// A member is no longer limited after [`MemberLimited`](Self::MemberLimited).
    MemberSteady,
    /// A group has another leader or none, or the leader was fenced or released.
    LeaderChanged,
    /// This instance started a failover.
    FailoverStarted,
    /// A step of a failover was executed.
    FailoverStep,
    /// A failover ended.
    FailoverEnded,
    /// No message came from another instance for the peer timeout, or its snapshot of the store could not be fetched.
    PeerLost,
    /// A message came from another instance that was not live or not known.
    PeerRegained,
    /// A request was refused.
    RequestRefused,
    /// The outcome of a request is unknown: it may have run.
    RequestUnknown,
    /// A request is sent again, to the same or another member.
    RequestRetried,
    /// The gateway ended a transaction.
    TransactionEnded,
    /// The gateway ended a session.
    SessionEnded,
    /// A peer was refused or closed because it has reached a limit.
    PeerLimited,
    /// A task panicked; the others go on.
    TaskFailed,
    /// A data centre is evacuated from now on.
    EvacuationBegun,
    /// An evacuation stays in force although the store, which was restored from an older copy, does not have it.
    EvacuationKept,
    /// A data centre is no longer evacuated.
    EvacuationEnded,
}

impl Event {
    /// Name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::Reloaded => "reloaded",
            Self::ConfigurationApplied => "configuration_applied",
            Self::ObjectUnreadable => "object_unreadable",
            Self::StoreLost => "store_lost",
            Self::StoreRegained => "store_regained",
            Self::StoreReaderChanged => "store_reader_changed",
            Self::HubTakeover => "hub_takeover",
            Self::AllowancePartChanged => "allowance_part_changed",
            Self::StoreRestored => "store_restored",
            Self::PromotionRecordWritten => "promotion_record_written",
            Self::LogsRecorded => "logs_recorded",
            Self::LogsGivenUp => "logs_given_up",
            Self::StoreAnswerRejected => "store_answer_rejected",
            Self::MemberChanged => "member_changed",
            Self::MemberGone => "member_gone",
            Self::MemberLost => "member_lost",
            Self::MemberRegained => "member_regained",
            Self::MemberCold => "member_cold",
            Self::MemberWarm => "member_warm",
            Self::MemberEjected => "member_ejected",
            Self::MemberLimited => "member_limited",
            Self::MemberSteady => "member_steady",
            Self::LeaderChanged => "leader_changed",
            Self::FailoverStarted => "failover_started",
            Self::FailoverStep => "failover_step",
            Self::FailoverEnded => "failover_ended",
            Self::PeerLost => "peer_lost",
            Self::PeerRegained => "peer_regained",
            Self::RequestRefused => "request_refused",
            Self::RequestUnknown => "request_unknown",
            Self::RequestRetried => "request_retried",
            Self::TransactionEnded => "transaction_ended",
            Self::SessionEnded => "session_ended",
            Self::PeerLimited => "peer_limited",
            Self::TaskFailed => "task_failed",
            Self::EvacuationBegun => "evacuation_begun",
            Self::EvacuationKept => "evacuation_kept",
            Self::EvacuationEnded => "evacuation_ended",
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct RateWindow {
    started: Instant,
    lines: u32,
    suppressed: u64,
}

thread_local! {
    static RATE_WINDOWS: RefCell<HashMap<Event, RateWindow>> = RefCell::default();
}

/// Starts writing lines to the standard output. Lines before this call are discarded.
pub fn init() {
    let Some(logger) = build() else { return };
    // A second call has no effect.
    let _ = LOGGER.set(logger);
}

fn build() -> Option<Arc<Logger>> {
    let out = StdStreamSink::builder()
        .stdout()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .build_arc()
        .ok()?;
    let capacity = std::num::NonZeroUsize::new(QUEUE_LINES)?;
    let pool = ThreadPool::builder().capacity(capacity).build_arc().ok()?;
    let queue = AsyncPoolSink::builder()
        .sink(out)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }))
        .build_arc()
        .ok()?;
    let logger = Logger::builder().sink(queue).build_arc().ok()?;
    logger.set_error_handler(ErrorHandler::new(|_| {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }));
    Some(logger)
}

/// Number of lines that could not be written, for instance because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes the waiting lines, before the process ends.
pub fn flush() {
    if let Some(logger) = LOGGER.get() {
        logger.flush();
    }
}

/// Adds the fields of the JSON object `more` to those of `fields`.
pub fn extend(fields: &mut Value, more: Value) {
    if let (Value::Object(fields), Value::Object(more)) = (fields, more) {
        fields.extend(more);
    }
}

/// Counts and logs that the peer at `address` was refused or closed because it has reached a limit.
pub fn limited(metrics: &Metrics, limit: Limit, address: Option<SocketAddr>) {
    metrics.count(Counter::LimitedPeers, limit.as_str());
    let address = address.map(|address| address.to_string());
    let (limit, reason) = (limit.as_str(), limit.remedy());
    log(Event::PeerLimited, json!({ "peer": address, "limit": limit, "reason": reason }));
}

/// Writes a line with the fields of the JSON object `fields`, unless the event has reached its limit in this second.
pub fn log(event: Event, fields: Value) {
    let Some(logger) = LOGGER.get() else { return };
    let Some(suppressed) = admit_line(event, BootClock.now()) else { return };
    let mut line = Map::new();
    line.insert("event".into(), event.as_str().into());
    line.insert("time_ms".into(), unix_ms().into());
    if let Value::Object(fields) = fields {
        line.extend(fields);
    }
    if suppressed > 0 {
        line.insert("left_out".into(), suppressed.into());
    }
    spdlog::info!(logger: logger, "{}", Value::Object(line));
}

/// Number of lines of the event that were suppressed before, if a line may be written now; `None` suppresses it.
fn admit_line(event: Event, now: Instant) -> Option<u64> {
    RATE_WINDOWS.with_borrow_mut(|windows| {
        let window = windows.entry(event).or_default();
        if now.since(window.started) >= Duration::from_secs(1) {
            *window = RateWindow { started: now, lines: 0, suppressed: window.suppressed };
        }
        if window.lines >= LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    })
}

/// Whole milliseconds, for a field of a line.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
