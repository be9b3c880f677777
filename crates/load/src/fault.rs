//! Faults that are switched on and off while load runs.

use std::time::{Duration, Instant};

use hyper::Method;
use smol::Timer;

use crate::{config::FaultConfig, http};

/// One fault as it was carried out.
#[derive(Debug, Clone)]
pub struct FaultRecord {
    /// When the admin address had answered, after the start of load.
    pub at: Duration,
    /// Path and body of the request.
    pub what: String,
    /// The error, when the request failed.
    pub error: Option<String>,
}

/// Carries out the timetable, in order of time.
pub async fn run_timetable(mut faults: Vec<FaultConfig>, start: Instant) -> Vec<FaultRecord> {
    faults.sort_by_key(|fault| fault.at_ms);
    let mut records = Vec::new();
    for fault in faults {
        Timer::at(start + Duration::from_millis(fault.at_ms)).await;
        let result = http::call(&fault.address, Method::PUT, &fault.path, &fault.body).await;
        records.push(FaultRecord {
            at: start.elapsed(),
            what: format!("{} {}", fault.path, fault.body),
            error: result.err().map(|error| error.to_string()),
        });
    }
    records
}
