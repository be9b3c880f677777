//! The decision log: one structured line for each decision that touches a request or changes a belief.
//!
//! Lines go to a queue of fixed size that a thread of its own writes out, so that a reader that stands still blocks
//! nothing. Repetitions of one event within a second are left out and counted in the next line of that event.

use std::{
    cell::RefCell,
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hibiscusladder_core::clock::{Clock, Instant};
use hibiscusladder_io::clock::BootClock;
use serde_json::{Map, Value};
use spdlog::{
    ErrorHandler, Logger, ThreadPool,
    formatter::{PatternFormatter, pattern},
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 1024;
/// Lines of one event that are written in a second.
const LINES_PER_SECOND: u32 = 20;

static LOGGER: OnceLock<Arc<Logger>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The process has started.
    Started,
    /// It was asked to stop.
    Stopping,
    /// It ends.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// A configuration is in force.
    ConfigurationApplied,
    /// An object of the store cannot be used.
    ObjectUnreadable,
    /// The store does not answer.
    StoreLost,
    /// The store answers again.
    StoreRegained,
    /// A member appeared or changed.
    MemberChanged,
    /// A member is gone.
    MemberGone,
    /// A member leaves polls unanswered.
    MemberLost,
    /// A member answers again.
    MemberRegained,
    /// A group has another primary, or none.
    LeaderChanged,
    /// A primary is to be replaced.
    FailoverStarted,
    /// A step of a replacement.
    FailoverStep,
    /// A replacement ended.
    FailoverEnded,
    /// Another instance is not heard.
    PeerLost,
    /// Another instance is heard again.
    PeerRegained,
    /// A request was refused.
    RequestRefused,
    /// It is not known whether a request ran.
    RequestUnknown,
    /// A request was sent to another member, or again.
    RequestRetried,
    /// A transaction was ended by the gateway.
    TransactionEnded,
    /// A session was ended by the gateway.
    SessionEnded,
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
            Self::MemberChanged => "member_changed",
            Self::MemberGone => "member_gone",
            Self::MemberLost => "member_lost",
            Self::MemberRegained => "member_regained",
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

/// Sends the lines to the standard output; before this call they are discarded.
pub fn init() {
    let Some(logger) = build() else { return };
    // A second call keeps the first logger.
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

/// Lines that were lost because the queue was full.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes the waiting lines; for the end of the process.
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

/// Writes a line with the fields of the JSON object `fields`, unless the event has been written often in this second.
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

/// Whether a line may be written now, with the number of lines of the event that were left out before.
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
