//! Scheduled faults that are injected while load runs.

use std::time::{Duration, Instant};

use hyper::Method;
use smol::Timer;

use crate::{config::FaultConfig, http};

/// An injected fault and its result.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// Time at which the request had succeeded or failed, after the start of load.
    pub at: Duration,
    /// Path and body of the request.
    pub request: String,
    /// Error of the request; `None` when it succeeded.
    pub error: Option<String>,
}

/// Sends the request of each fault at its time, one after another, and returns the results in order of time.
pub async fn run_schedule(mut faults: Vec<FaultConfig>, start: Instant) -> Vec<FaultRecord> {
    faults.sort_by_key(|fault| fault.at_ms);
    let mut records = Vec::new();
    for fault in faults {
        Timer::at(start + Duration::from_millis(fault.at_ms)).await;
        let result = http::call(&fault.address, Method::PUT, &fault.path, &fault.body).await;
        records.push(FaultRecord {
            at: start.elapsed(),
            request: format!("{} {}", fault.path, fault.body),
            error: result.err().map(|error| error.to_string()),
        });
    }
    records
}
